/// @file
/// @brief Priority between customers where a rate limit is too small for all requests. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace pepperbay {

/// The customer and urgency of a request.
struct Claimant
{
  int mUrgency = 0;            ///< 0 is the most urgent
  std::uint32_t mCustomer = 0; ///< by ShortId()
};

struct FairnessOptions
{
  /// A refused claimant counts as waiting for this long: about the time after which callers retry.
  Duration mRefusalMemory = std::chrono::seconds(1);
  /// Decay time of the count of what a customer was granted.
  Duration mMemory = std::chrono::seconds(5);
};

/// Tracks recent refusals and grants. More urgent requests go first; at equal urgency, the customer
/// that was granted less.
///
/// @code
/// if (tracker.IsOutranked(claimant, now)) { tracker.OnRefused(claimant, now); ... }
/// @endcode
class FairnessTracker
{
public:
  explicit FairnessTracker(FairnessOptions aOptions = {});

  void OnRefused(const Claimant& aClaimant, TimePoint aNow);
  void OnTaken(const Claimant& aClaimant, TimePoint aNow);
  /// @return whether a recently refused claimant has precedence.
  bool IsOutranked(const Claimant& aClaimant, TimePoint aNow) const;
  /// @return whether no refusal or grant is remembered.
  bool IsEmpty(TimePoint aNow) const;

private:
  struct Taken
  {
    double mCount = 0;
    TimePoint mAt{};
  };

  double TakenBy(std::uint32_t aCustomer, TimePoint aNow) const;
  void DropOld(TimePoint aNow);

  FairnessOptions mOptions;
  std::map<std::pair<int, std::uint32_t>, TimePoint> mRefused; ///< by urgency and customer
  std::map<std::uint32_t, Taken> mTaken;                       ///< by customer
};

} // namespace pepperbay
