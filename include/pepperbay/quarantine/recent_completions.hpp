/// @file
/// @brief Requests that engines have lately run to their end. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/quarantine/request_key.hpp"

#include <vector>

namespace pepperbay {

/// Many callers may send the same request all the time. It is then at each engine that ends, for
/// whatever reason, and would be taken for the cause; but it runs to its end elsewhere.
///
/// A table of fixed size: a run may be forgotten for another one's sake, so what it says is true
/// and what it does not say proves nothing.
///
/// @code
/// runs.OnRun(key, now);
/// if (runs.HasRun(key, now)) { ... an engine's end is not charged to it }
/// @endcode
class RecentCompletions
{
public:
  /// A run says nothing after this: what engines run changes, and a request that has begun to end
  /// them must be found out.
  static constexpr std::chrono::seconds kValidFor{ 30 };

  explicit RecentCompletions(std::size_t aSlots = 4096);

  void OnCompletion(const RequestKey& aKey, TimePoint aNow);
  /// @return whether it is known to have run to its end lately.
  bool HasCompleted(const RequestKey& aKey, TimePoint aNow) const;

private:
  struct Run
  {
    RequestKey mKey;
    TimePoint mAt{};
  };

  std::size_t SlotOf(const RequestKey& aKey) const { return RequestKeyHash()(aKey) % mRuns.size(); }

  std::vector<Run> mRuns;
};

} // namespace pepperbay
