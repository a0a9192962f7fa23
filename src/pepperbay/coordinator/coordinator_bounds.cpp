#include "pepperbay/coordinator/coordinator_bounds.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// From the check of a key to the engine, and the second in which a store that drops its history
/// may tell held reads nothing.
constexpr std::chrono::milliseconds kRevokeMargin{ 1200 };
/// What is known through a reader that is well is up to this old; nodes that looked sooner would
/// all read the store all the time.
constexpr Duration kLeastLookAfter = std::chrono::milliseconds(1100);
/// All nodes ask so often in an outage of the store.
constexpr Duration kLeastLookAgain = std::chrono::milliseconds(400);
constexpr double kLookPart = 0.6;
constexpr double kEnginesLookPart = 0.8;
constexpr double kLookAgainPart = 0.5;

Duration
PartOf(Duration aWhole, double aPart)
{
  return std::chrono::duration_cast<Duration>(aWhole * aPart);
}

} // namespace

CoordinatorBounds
BoundsOf(const InForceWithin& aWithin)
{
  CoordinatorBounds bounds;
  bounds.mKeysTrusted = aWithin.mRevocation - kRevokeMargin;
  bounds.mMissesTrusted = aWithin.mConfiguration;
  bounds.mLookAfter = std::max(kLeastLookAfter, PartOf(aWithin.mConfiguration, kLookPart));
  bounds.mEnginesLookAfter = std::max(kLeastLookAfter, PartOf(aWithin.mLeave, kEnginesLookPart));
  bounds.mLookAgainMost = std::max(kLeastLookAgain, PartOf(aWithin.mConfiguration, kLookAgainPart));
  return bounds;
}

} // namespace pepperbay
