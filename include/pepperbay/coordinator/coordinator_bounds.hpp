/// @file
/// @brief How old what a node knows may be, by what operators promise. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

namespace pepperbay {

/// How old what a node knows may be. All follow from the times that operators promise; see
/// BoundsOf().
struct CoordinatorBounds
{
  /// Keys of a configuration older than this are not trusted. Below the time within which a key
  /// that was taken away must be refused, by the time that a request takes to reach an engine.
  Duration mKeysTrusted = std::chrono::milliseconds(4300);
  /// A route or key that a configuration older than this does not have may have been added since:
  /// the time in which a configuration must be in force everywhere.
  Duration mMissesTrusted = std::chrono::milliseconds(2000);
  /// A node whose configuration was the newest so long ago, as far as it can show, reads the store
  /// itself: above what it is while the reader is well and one heartbeat is lost, and well below
  /// the time in which a configuration must be in force everywhere. The same for registrations.
  Duration mDirectReadAfter = std::chrono::milliseconds(1200);
  Duration mEnginesDirectReadAfter = std::chrono::milliseconds(1600);
  /// Longest pause between two such reads that the store does not answer. With a call that ends
  /// after a second it has to stay below the time in which a node that the store answers again must
  /// be in step.
  Duration mMaxDirectReadPause = std::chrono::seconds(1);
};

/// What operators promise; each counts from the store's acknowledgement.
struct InForceWithin
{
  Duration mConfiguration = std::chrono::seconds(2); ///< a configuration is in force everywhere
  Duration mRevocation = std::chrono::seconds(5);    ///< a key that was taken away is refused
  Duration mLeave = std::chrono::seconds(2);         ///< no request goes to an engine that leaves
};

/// @return how old what a node knows may be for the promises to hold; see "How old a reader's word
/// may be" in docs/DESIGN.md for the sums.
///
/// @code
/// CoordinatorOptions options;
/// options.mBounds = BoundsOf({ std::chrono::seconds(4), std::chrono::seconds(5) });
/// @endcode
CoordinatorBounds
BoundsOf(const InForceWithin& aWithin);

} // namespace pepperbay
