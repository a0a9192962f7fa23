/// @file
/// @brief Requests that engines have completed recently. Pure: no I/O and no clock of its own.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/quarantine/request_key.hpp"

#include <vector>

namespace pepperbay {

/// Many callers may send the same request all the time. It is then present at each engine that
/// exits, for whatever reason, and would be taken for the cause although other engines complete it.
///
/// A hash table of fixed size in which a newer entry overwrites an older one in the same slot.
/// There are no false positives; a missing entry proves nothing.
///
/// @code
/// completions.OnCompletion(key, now);
/// if (completions.HasCompleted(key, now)) { ... the exit of an engine is not charged to it }
/// @endcode
class RecentCompletions
{
public:
  /// Time for which a completion counts. It is short since the model or the software of the engines
  /// may change, and a request that begins to make them exit must then be detected.
  static constexpr std::chrono::seconds kValidFor{ 30 };

  explicit RecentCompletions(std::size_t aSlots = 4096);

  void OnCompletion(const RequestKey& aKey, TimePoint aNow);
  /// @return whether the request is known to have completed within `kValidFor`.
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
