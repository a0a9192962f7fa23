/// @file
/// @brief Bounds on the age of a node's information, from the operators' guarantees. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

namespace pepperbay {

/// Bounds on the age of a node's information. All follow from the times that operators guarantee;
/// see BoundsOf().
struct CoordinatorBounds
{
  /// API keys of a configuration older than this are not trusted. The time within which a revoked
  /// key must be refused, less the time that a request takes to reach an engine.
  Duration mKeysTrusted = std::chrono::milliseconds(4300);
  /// A route or key that is missing in a configuration older than this may have been added since:
  /// the time within which a configuration must be in force everywhere.
  Duration mMissesTrusted = std::chrono::milliseconds(2000);
  /// A node that can only show that its configuration was the newest this long ago reads the store
  /// directly. Above the age that occurs while the reader works and one heartbeat is lost, and well
  /// below the time within which a configuration must be in force everywhere. The second is the
  /// same for registrations.
  Duration mDirectReadAfter = std::chrono::milliseconds(1200);
  Duration mEnginesDirectReadAfter = std::chrono::milliseconds(1600);
  /// Longest pause between two direct reads while the store does not answer. With a call that times
  /// out after a second it must stay below the time within which a node must be up to date once the
  /// store answers again.
  Duration mMaxDirectReadPause = std::chrono::seconds(1);
};

/// Guarantees of the operators; each time counts from the store's acknowledgement.
struct InForceWithin
{
  Duration mConfiguration = std::chrono::seconds(2); ///< a configuration is in force everywhere
  Duration mRevocation = std::chrono::seconds(5);    ///< a revoked key is refused
  Duration mLeave = std::chrono::seconds(2);         ///< no request goes to an engine that leaves
};

/// @return the bounds with which the guarantees hold; see "How old a reader's word may be" in
/// docs/DESIGN.md for the calculation.
///
/// @code
/// CoordinatorOptions options;
/// options.mBounds = BoundsOf({ std::chrono::seconds(4), std::chrono::seconds(5) });
/// @endcode
CoordinatorBounds
BoundsOf(const InForceWithin& aWithin);

} // namespace pepperbay
