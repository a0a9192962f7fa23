/// @file
/// @brief Holding, renewing and losing a lease that lives in the log.
///
/// The fold knows no clock: a claim counts if it names the last accepted one. This side adds time.
/// A challenger waits, on its own clock, for the lease's length plus a margin after it *saw* the
/// last claim; a holder counts its lease from *before* it sent the renewal. Clocks may differ in
/// rate by `mDriftPermille` and in reading by anything.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

struct LeaseOptions
{
  std::string mScope;
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  Duration mLength = std::chrono::seconds(6);
  unsigned mDriftPermille = 20; ///< how much faster one clock may run than another
  Duration mStagger{ 0 };       ///< extra wait of this challenger, so that not all claim at once
};

/// One node's view of one lease. Pure: the caller appends the claims.
///
/// @code
/// keeper.OnFolded(state, now);                     // after each change of the folded lease
/// if (auto claim = keeper.Tick(now)) append(*claim);
/// if (keeper.Held(now)) giveOrders(keeper.Fence());
/// @endcode
class LeaseKeeper
{
public:
  explicit LeaseKeeper(LeaseOptions aOptions);

  /// The folded lease of the scope, or null when nobody has claimed it yet.
  void OnFolded(const proto::LeaseState* aLease, TimePoint aNow);

  /// The last claim asked for was refused or its fate is unknown; another may be made.
  void OnClaimDone();

  /// @return a claim to append now.
  std::optional<proto::Claim> Tick(TimePoint aNow);

  /// @return whether this node may act as holder.
  bool Held(TimePoint aNow) const { return Remaining(aNow) > Duration::zero(); }

  /// @return how long this node may go on acting as holder without a renewal; zero when it may not.
  Duration Remaining(TimePoint aNow) const;

  /// @return the fencing number of this node's orders; 0 when it does not hold the lease.
  std::uint64_t Fence() const { return mMine ? mLease.fence() : 0; }

  /// @return when this tenure's first claim was folded here.
  TimePoint HeldSince() const { return mHeldSince; }

  /// @return a claim that gives the lease back, when held.
  std::optional<proto::Claim> Release();
  /// The same, and this node takes part again afterwards, like any challenger.
  std::optional<proto::Claim> Yield();
  /// From now on wait this much longer than the lease, or than its release, before claiming it.
  void SetStagger(Duration aStagger) { mOptions.mStagger = aStagger; }

private:
  proto::Claim MakeClaim() const;
  void EndYield();

  LeaseOptions mOptions;
  proto::LeaseState mLease;
  bool mMine = false;
  bool mClaiming = false;
  bool mReleasing = false;
  bool mYielding = false; ///< releasing, and to come back
  std::optional<std::uint64_t> mClaimPrevious;
  TimePoint mFirstSent{};
  TimePoint mLastSent{};
  TimePoint mValidUntil{};
  TimePoint mSeenAt{};
  TimePoint mHeldSince{};
  bool mStarted = false;
};

} // namespace pepperbay
