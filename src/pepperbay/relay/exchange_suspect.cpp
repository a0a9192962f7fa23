/// @file
/// @brief Requests under which engines end: what is noted of them, and when they are held back.

#include "exchange.hpp"
#include "exchange_constants.hpp"

#include <utility>

namespace pepperbay {
namespace {

/// An engine that a part ends does so sooner, as a rule. A sound part may be held back with the
/// cause where nobody has seen it run yet; what goes on with it clears it.
constexpr std::chrono::milliseconds kPartGoesOnAfter{ 300 };

} // namespace

SuspectRequest
Exchange::Suspected() const
{
  SuspectRequest suspected = mCore->SuspectOf(mKey);
  for (const auto& it : mParts) {
    const SuspectRequest part = mCore->SuspectOf(it.mKey);
    suspected.mScore = std::max(suspected.mScore, part.mScore);
    suspected.mQuarantinedUntil = std::max(suspected.mQuarantinedUntil, part.mQuarantinedUntil);
  }
  return suspected;
}

Duration
Exchange::HeldFor() const
{
  return std::max(Suspected().mQuarantinedUntil - mCore->Now(), Duration::zero());
}

bool
Exchange::IsHeldBack() const
{
  // One that has just been broken off, and under which an engine has ended before, may have ended
  // this one as well; that shows a moment after the second engine would have been asked.
  return HeldFor() > Duration::zero() || (mBrokenOff && Suspected().mScore > 0);
}

void
Exchange::NoteRan(bool aSaidWhole)
{
  mCore->OnRanWhole(mKey);
  if (aSaidWhole && mStatus < kRedirection) {
    mCore->OnPartsRan(mParts);
  }
}

void
Exchange::NoteRunsOn()
{
  const auto& headAt = mCurrent.mHeadAt;
  const bool runsOn =
    mCurrent.mWriting && headAt && mCurrent.mLastEventAt - *headAt > mCore->mOptions.mSuspectWithin;
  if (runsOn && !std::exchange(mCurrent.mRunsOn, true)) {
    mCore->OnPartsRan(mParts);
  }
}

BrokenOff
Exchange::BrokenOffAt(const Sending& aSending) const
{
  const TimePoint now = mCore->Now();
  // An engine of a pool answers once it runs a request; others answer when they are done.
  const bool begun = aSending.mHeadAt ? now - *aSending.mHeadAt <= mCore->mOptions.mSuspectWithin
                                      : !mService->mPool.has_value();
  const Suspicion suspicion = begun ? Suspicion::kBegun : Suspicion::kPresent;
  const bool once = !mService->mPool && !mRoute->Repeatable();
  return { mKey, mFacts.mId, mParts, suspicion, now, !aSending.mGroup.empty(), once };
}

void
Exchange::NoteEnd(Sending* aSending, const AttemptEnd& aEnd)
{
  if (aEnd.mStale) {
    NoteStale(aSending);
    return;
  }
  if (aEnd.mClosed) {
    mBrokenOff = true;
    mAvoidsKept = true; // what has reset this one may have reset them
    mCore->mEndings.OnBrokenOff(aSending->mTarget, BrokenOffAt(*aSending));
  }
  if (aEnd.mBadBytes) {
    NoteFailedOnce();
  }
  if (aEnd.mGone && !aSending->mGroup.empty()) {
    // Its registration takes seconds to lapse, and no stream of it stands still that could show it.
    mCore->OnHeadGone(aSending->mTarget.mEngine, aSending->mSentAt);
  }
}

void
Exchange::NoteStale(Sending* aSending)
{
  ++mCore->mCounters.mStaleConnections;
  aSending->mStale = true;
  mAvoidsKept = true;
  mTried.erase(aSending->mTarget.mEngine);
  mAsked.OnNotTaken(aSending->mTarget.mEngine);
  if (Suspected().mScore > 0) {
    mBrokenOff = true; // an engine that ends closes kept connections as well
  }
  mStale = StaleConnection{ aSending->mTarget, BrokenOffAt(*aSending) };
}

void
Exchange::SettleStale(const Sending& aSending, bool aReached)
{
  const bool same =
    mStale && !aSending.mStale && mStale->mTarget.mEngine == aSending.mTarget.mEngine;
  if (!same) {
    return;
  }
  const StaleConnection stale = *std::exchange(mStale, std::nullopt);
  if (!aReached) {
    mCore->mEndings.OnBrokenOff(stale.mTarget, stale.mRequest);
  }
}

void
Exchange::NoteRestarted(const Sending& aSending)
{
  if (aSending.mAttempt->MayHaveRun()) {
    mBrokenOff = true;
    mCore->OnEngineEnded(aSending.mTarget, { BrokenOffAt(aSending) });
  }
}

bool
Exchange::StopIfHeldBack()
{
  if (HeldFor() == Duration::zero()) {
    return false;
  }
  if (mNext && !mNext->mHeadAt) {
    DropNext("held_back", mNext->mAttempt->MayHaveRun());
  }
  const auto& headAt = mCurrent.mHeadAt;
  const bool byPart = mCore->SuspectOf(mKey).mQuarantinedUntil <= mCore->Now();
  const Duration most = byPart ? Duration(kPartGoesOnAfter) : mCore->mOptions.mSuspectWithin;
  const bool proven = headAt && mCore->Now() - *headAt > most;
  if (proven || mNext) {
    return false; // it runs for longer than those that ended engines
  }
  mMayHaveRun = mMayHaveRun || mCurrent.mAttempt->MayHaveRun();
  LogFailedAttempt(mCurrent, "held_back", mMayHaveRun, "engines have ended under it");
  DropAttempt();
  if (mStreamStarted) {
    Cut("held_back");
  } else if (mMayHaveRun) {
    Answer(kBadGateway, "held_back", "engines end when they run it; whether it ran is unknown");
  } else {
    RefuseHeldBack();
  }
  return true;
}

void
Exchange::RefuseHeldBack()
{
  Answer(
    kUnavailable,
    "held_back",
    "the request has not run: engines ended when they ran it before; it is refused until then");
}

} // namespace pepperbay
