#include "pepperbay/lease/log_lease.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// After a failed call: a fraction of a lease at first, and at most the time that a store that is
/// back may wait for its first claim. Thirty nodes contend for a lease.
constexpr std::chrono::milliseconds kRetryFirst{ 100 };
constexpr std::chrono::milliseconds kRetryMost{ 400 };
}

LogLease::LogLease(const LeaseOptions& aOptions, LogLeaseHooks aHooks, NowFn aNow)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mNow(std::move(aNow))
  , mKeeper(aOptions)
{
}

void
LogLease::Tick()
{
  if (mBusy || mNow() < mRetryAt) {
    return;
  }
  if (mMustRead) {
    Read();
    return;
  }
  if (const auto claim = mKeeper.Tick(mNow())) {
    Claim(*claim);
  }
}

bool
LogLease::LastIsMine() const
{
  return mState.last() != 0 && mState.holder() == mOptions.mHolder &&
         mState.incarnation() == mOptions.mIncarnation && !mState.released();
}

void
LogLease::OnHint(const proto::LeaseState& aState)
{
  if (aState.last() <= mState.last()) {
    return;
  }
  if (aState.holder() == mOptions.mHolder && aState.incarnation() == mOptions.mIncarnation) {
    mMustRead = true; // its answer was lost, or it is from before claims were lost; the log tells
    return;
  }
  mState = aState;
  mMustRead = false;
  mMayBeHeld = mMayBeHeld || aState.holder().empty();
  mKeeper.OnFolded(&mState, mNow());
}

void
LogLease::Doubt()
{
  mMustRead = true;
}

void
LogLease::Release()
{
  if (const auto claim = mKeeper.Release()) {
    Claim(*claim);
  }
}

void
LogLease::Yield()
{
  if (mBusy) {
    return; // a renewal is on its way; ask again
  }
  if (const auto claim = mKeeper.Yield()) {
    Claim(*claim);
  }
}

void
LogLease::Read()
{
  mBusy = true;
  mHooks.mRead(mState.last(), [this](const Result<LeaseTail>& aTail) { OnTail(aTail); });
}

void
LogLease::OnTail(const Result<LeaseTail>& aTail)
{
  mBusy = false;
  if (!aTail.has_value()) {
    Failed();
    return;
  }
  mLost = false;
  mMustRead = false;
  std::uint64_t offset = aTail.value().mFirst;
  if (offset > mState.last()) {
    // Claims in between are no longer kept. Whoever holds the lease is unknown, which counts as
    // somebody: the wait for its end starts now.
    proto::LeaseState unknown;
    unknown.set_last(offset);
    mState = unknown;
    mMayBeHeld = true;
  }
  for (const auto& it : aTail.value().mRecords) {
    proto::Claim claim;
    if (claim.ParseFromString(it)) {
      Apply(offset, claim);
    }
    ++offset;
  }
  if (offset > mState.last()) {
    mState.set_last(offset); // a foreign record at the end still moves the end
  }
  DisownOldClaim();
  mKeeper.OnClaimDone();
  mKeeper.OnFolded(&mState, mNow());
}

void
LogLease::Claim(const proto::Claim& aClaim)
{
  mBusy = true;
  mHooks.mAppend(
    aClaim.previous(),
    aClaim.SerializeAsString(),
    [this, aClaim](const Result<ConditionalAppend>& aResult) { OnAppended(aClaim, aResult); });
}

void
LogLease::OnAppended(const proto::Claim& aClaim, const Result<ConditionalAppend>& aResult)
{
  mBusy = false;
  if (!aResult.has_value()) {
    // It may have been appended all the same, now or later; the next claim or a read tells.
    mKeeper.OnClaimDone();
    Failed();
    return;
  }
  mLost = false;
  if (!aResult.value().mAppended) {
    mKeeper.OnClaimDone();
    mMustRead = true;
    return;
  }
  mMayBeHeld = false;
  Apply(aClaim.previous(), aClaim);
  mKeeper.OnFolded(&mState, mNow());
}

void
LogLease::Apply(std::uint64_t aOffset, const proto::Claim& aClaim)
{
  const bool renewal = mState.holder() == aClaim.holder() &&
                       mState.incarnation() == aClaim.incarnation() && !mState.released();
  const std::uint64_t fence = renewal ? mState.fence() : aOffset + 1;
  mState.set_holder(aClaim.holder());
  mState.set_incarnation(aClaim.incarnation());
  mState.set_fence(fence);
  mState.set_last(aOffset + 1);
  mState.set_released(aClaim.release());
}

/// A claim of this node from before claims were lost proves nothing: others have counted its length
/// from when they saw it, or have held the lease since.
void
LogLease::DisownOldClaim()
{
  if (mMayBeHeld && LastIsMine()) {
    mState.clear_holder();
    mState.clear_incarnation();
  }
}

void
LogLease::Failed()
{
  mRetry = mLost ? std::min<Duration>(2 * mRetry, kRetryMost) : Duration(kRetryFirst);
  mLost = true;
  mRetryAt = mNow() + mRetry;
}

} // namespace pepperbay
