#include "pepperbay/coordinator/coordinator_bounds.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// Time from the check of a key until the request is at the engine, and the second in which a store
/// that drops its history may leave long polls unanswered.
constexpr std::chrono::milliseconds kRevokeMargin{ 1200 };
/// The age that information reaches through a working reader; with a lower threshold all nodes
/// would read the store all the time.
constexpr Duration kMinDirectReadAfter = std::chrono::milliseconds(1100);
/// All nodes read this often during an outage of the store.
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
