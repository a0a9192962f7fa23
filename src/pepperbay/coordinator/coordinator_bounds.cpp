#include "pepperbay/coordinator/coordinator_bounds.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// From the check of a key to the engine, and the second in which a store that drops its history
/// may tell held reads nothing.
constexpr std::chrono::milliseconds kRevokeMargin{ 1200 };
/// What is known through a reader that is well is up to this old; nodes that looked sooner would
/// all read the store all the time.
constexpr Duration kMinDirectReadAfter = std::chrono::milliseconds(1100);
/// All nodes ask so often in an outage of the store.
constexpr Duration kMinDirectReadPause = std::chrono::milliseconds(400);
constexpr double kDirectReadFraction = 0.6;
constexpr double kEnginesDirectReadFraction = 0.8;
constexpr double kDirectReadPauseFraction = 0.5;

Duration
FractionOf(Duration aWhole, double aFraction)
{
  return std::chrono::duration_cast<Duration>(aWhole * aFraction);
}

} // namespace

CoordinatorBounds
BoundsOf(const InForceWithin& aWithin)
{
  CoordinatorBounds bounds;
  bounds.mKeysTrusted = aWithin.mRevocation - kRevokeMargin;
  bounds.mMissesTrusted = aWithin.mConfiguration;
  bounds.mDirectReadAfter =
    std::max(kMinDirectReadAfter, FractionOf(aWithin.mConfiguration, kDirectReadFraction));
  bounds.mEnginesDirectReadAfter =
    std::max(kMinDirectReadAfter, FractionOf(aWithin.mLeave, kEnginesDirectReadFraction));
  bounds.mMaxDirectReadPause =
    std::max(kMinDirectReadPause, FractionOf(aWithin.mConfiguration, kDirectReadPauseFraction));
  return bounds;
}

} // namespace pepperbay
