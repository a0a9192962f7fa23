/// @file
/// @brief Requests that may make engines exit: what is recorded about them, and when they are
/// quarantined.

#include "exchange.hpp"
#include "exchange_constants.hpp"

#include <utility>

namespace pepperbay {
namespace {

/// A prompt part that makes engines exit does so within this time as a rule. A harmless part that
/// has not yet been completed may be quarantined together with the cause. A request with it that
/// runs for longer than this is not aborted; if it continues, it clears the part.
constexpr std::chrono::milliseconds kPartProvenAfter{ 300 };

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
Exchange::QuarantineTimeLeft() const
{
  return std::max(Suspected().mQuarantinedUntil - mCore->Now(), Duration::zero());
}

bool
Exchange::IsQuarantined() const
{
  // If an engine has exited during this request before and the connection was closed just now, this
  // engine may have exited as well. That is known only after a second engine would be used.
  return QuarantineTimeLeft() > Duration::zero() || (mInterrupted && Suspected().mScore > 0);
}

void
Exchange::NoteCompleted(bool aExplicitEnd)
{
  mCore->OnRequestCompleted(mKey);
  if (aExplicitEnd && mStatus < kRedirection) {
    mCore->OnPartsCompleted(mParts);
  }
}

void
Exchange::NoteLongRun()
{
  const auto& headAt = mCurrent.mHeadAt;
  const bool runsOn =
    mCurrent.mWriting && headAt && mCurrent.mLastEventAt - *headAt > mCore->mOptions.mSuspectWithin;
  if (runsOn && !std::exchange(mCurrent.mLongRunNoted, true)) {
    mCore->OnPartsCompleted(mParts);
  }
}

InterruptedRequest
Exchange::MakeInterruptedRequest(const EngineDispatch& aDispatch) const
{
  const TimePoint now = mCore->Now();
  // An engine of a pool begins its answer when it starts to run the request; other engines answer
  // when they have finished it.
  const bool begun = aDispatch.mHeadAt ? now - *aDispatch.mHeadAt <= mCore->mOptions.mSuspectWithin
                                       : !mService->mPool.has_value();
  const Suspicion suspicion = begun ? Suspicion::kBegun : Suspicion::kPresent;
  const bool once = !mService->mPool && !mRoute->Repeatable();
  return { mKey, mMetadata.mId, mParts, suspicion, now, !aDispatch.mGroup.empty(), once };
}

void
Exchange::NoteEnd(EngineDispatch* aDispatch, const AttemptEnd& aEnd)
{
  if (aEnd.mClosed) {
    mCore->mBalancer.Unanswered().OnHeard(aDispatch->mTarget.mEngine);
  }
  if (aEnd.mStale) {
    NoteStale(aDispatch);
    return;
  }
  if (aEnd.mClosed) {
    mInterrupted = true;
    mAvoidsPooled = true; // the same fault may have closed pooled connections
    mCore->mExitProbe.OnInterrupted(aDispatch->mTarget, MakeInterruptedRequest(*aDispatch));
  }
  if (aEnd.mBadBytes) {
    NoteNonRepeatableFailure();
  }
  if (aEnd.mNotListening && !aDispatch->mGroup.empty()) {
    // Its registration expires only after seconds, and it has no stalled stream that could show it.
    mCore->OnHeadNotListening(aDispatch->mTarget.mEngine, aDispatch->mSentAt);
  }
}

void
Exchange::NoteStale(EngineDispatch* aDispatch)
{
  ++mCore->mCounters.mStaleConnections;
  aDispatch->mStale = true;
  mAvoidsPooled = true;
  mTried.erase(aDispatch->mTarget.mEngine);
  mAsked.OnNotTaken(aDispatch->mTarget.mEngine);
  if (Suspected().mScore > 0) {
    mInterrupted = true; // an exiting engine closes pooled connections as well
  }
  mStale = StaleConnection{ aDispatch->mTarget, MakeInterruptedRequest(*aDispatch) };
}

void
Exchange::SettleStale(const EngineDispatch& aDispatch, bool aReached)
{
  const bool same =
    mStale && !aDispatch.mStale && mStale->mTarget.mEngine == aDispatch.mTarget.mEngine;
  if (!same) {
    return;
  }
  const StaleConnection stale = *std::exchange(mStale, std::nullopt);
  if (!aReached) {
    mCore->mExitProbe.OnInterrupted(stale.mTarget, stale.mRequest);
  }
}

void
Exchange::NoteRestarted(const EngineDispatch& aDispatch)
{
  if (aDispatch.mAttempt->MayHaveRun()) {
    mInterrupted = true;
    mCore->OnEngineExited(aDispatch.mTarget, { MakeInterruptedRequest(aDispatch) });
  }
}

bool
Exchange::StopIfQuarantined()
{
  if (QuarantineTimeLeft() == Duration::zero()) {
    return false;
  }
  if (mHedge && !mHedge->mHeadAt) {
    DropHedge("held_back", mHedge->mAttempt->MayHaveRun());
  }
  const auto& headAt = mCurrent.mHeadAt;
  const bool byPart = mCore->SuspectOf(mKey).mQuarantinedUntil <= mCore->Now();
  const Duration most = byPart ? Duration(kPartProvenAfter) : mCore->mOptions.mSuspectWithin;
  const bool proven = headAt && mCore->Now() - *headAt > most;
  if (proven || mHedge) {
    return false; // it has run for longer than requests that make engines exit
  }
  mMayHaveRun = mMayHaveRun || mCurrent.mAttempt->MayHaveRun();
  LogFailedAttempt(mCurrent, "held_back", mMayHaveRun, "engines have ended under it");
  DropAttempt();
  if (mStreamStarted) {
    Cut("held_back");
  } else if (mMayHaveRun) {
    Answer(kBadGateway, "held_back", "engines end when they run it; whether it ran is unknown");
  } else {
    RefuseQuarantined();
  }
  return true;
}

void
Exchange::RefuseQuarantined()
{
  Answer(
    kUnavailable,
    "held_back",
    "the request has not run: engines ended when they ran it before; it is refused until then");
}

} // namespace pepperbay
