#include "pepperbay/lease/keeper.hpp"

#include <algorithm>

namespace pepperbay {
namespace {
constexpr int kRenewalsPerLength = 3;
constexpr int kPermille = 1000;
}

LeaseKeeper::LeaseKeeper(LeaseOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
LeaseKeeper::OnFolded(const proto::LeaseState* aLease, TimePoint aNow)
{
  const proto::LeaseState lease = aLease != nullptr ? *aLease : proto::LeaseState();
  if (mStarted && lease.last() == mLease.last()) {
    return;
  }
  mStarted = true;
  const bool mine = lease.holder() == mOptions.mHolder &&
                    lease.incarnation() == mOptions.mIncarnation && !lease.released();
  const bool newTenure = mine && lease.fence() != mLease.fence();
  const bool ours = mine && mClaimPrevious == mLease.last();
  mLease = lease;
  mMine = mine;
  mSeenAt = aNow;
  if (ours) {
    mValidUntil = mFirstSent + mOptions.mLength;
  } else if (!mine) {
    mValidUntil = TimePoint{};
  }
  if (newTenure) {
    mHeldSince = aNow;
  }
  mClaiming = false;
  EndYield();
}

void
LeaseKeeper::OnClaimDone()
{
  mClaiming = false;
  EndYield();
}

void
LeaseKeeper::EndYield()
{
  // Whether the release was folded or its fate is unknown: a renewal made from an end of the log
  // that has moved on is refused, and mValidUntil is over until one succeeds.
  if (mYielding) {
    mYielding = false;
    mReleasing = false;
  }
}

std::optional<proto::Claim>
LeaseKeeper::Tick(TimePoint aNow)
{
  if (!mStarted || mClaiming || mReleasing) {
    return std::nullopt;
  }
  const Duration margin = mOptions.mLength * mOptions.mDriftPermille / kPermille;
  TimePoint due = mSeenAt + mOptions.mLength + margin + mOptions.mStagger;
  if (mMine) {
    due = mLastSent + mOptions.mLength / kRenewalsPerLength;
  } else if (mLease.last() == 0 || mLease.released()) {
    due = mSeenAt + mOptions.mStagger;
  }
  if (aNow < due) {
    return std::nullopt;
  }
  // A claim whose fate is unknown may have been folded elsewhere long ago, and the same claim made
  // again changes nothing there. So the lease counts from the first claim made upon a record, or a
  // challenger's wait could end before this holder's lease does.
  if (mClaimPrevious != mLease.last()) {
    mClaimPrevious = mLease.last();
    mFirstSent = aNow;
  }
  mClaiming = true;
  mLastSent = aNow;
  return MakeClaim();
}

Duration
LeaseKeeper::Remaining(TimePoint aNow) const
{
  if (!mMine || mReleasing) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), mValidUntil - aNow);
}

std::optional<proto::Claim>
LeaseKeeper::Release()
{
  if (!mMine || mReleasing) {
    return std::nullopt;
  }
  mReleasing = true;
  proto::Claim claim = MakeClaim();
  claim.set_release(true);
  return claim;
}

std::optional<proto::Claim>
LeaseKeeper::Yield()
{
  auto claim = Release();
  if (claim) {
    mYielding = true;
    mValidUntil = TimePoint{};
  }
  return claim;
}

proto::Claim
LeaseKeeper::MakeClaim() const
{
  proto::Claim claim;
  claim.set_scope(mOptions.mScope);
  claim.set_holder(mOptions.mHolder);
  claim.set_incarnation(mOptions.mIncarnation);
  claim.set_previous(mLease.last());
  return claim;
}

} // namespace pepperbay
