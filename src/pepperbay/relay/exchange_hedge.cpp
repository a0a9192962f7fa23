/// @file
/// @brief Hedged requests: a request is sent to a second engine while the first dispatch is still
/// pending, and one of the two answers the caller.
///
/// An engine that is silent, or whose replica is reported lost, may still continue, and the second
/// engine may refuse. If the first dispatch were aborted early, both answers could be lost. So the
/// first is aborted only when the second engine answers, and the second when the first one answers.

#include "exchange.hpp"
#include "exchange_constants.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// A head that sent an event on any stream within this time is working, whatever the plan reports:
/// events are 50 to 80 ms apart. Members that leave stop listening long before they stop working,
/// and a replica that is being re-formed works until its engines have joined the new one.
constexpr std::chrono::milliseconds kActiveWithin{ 150 };

} // namespace

bool
Exchange::MayHedge() const
{
  return MayTryNewEngine() && !IsQuarantined() && HasTarget() && HasBudget();
}

void
Exchange::RecordLoss(EngineDispatch* aDispatch) const
{
  if (!IsReportedLost(*aDispatch)) {
    aDispatch->mLostSince.reset();
  } else if (!aDispatch->mLostSince) {
    aDispatch->mLostSince = mCore->Now();
  }
}

void
Exchange::HedgeIfDue()
{
  RecordLoss(&mCurrent);
  if (mHedge) {
    RecordLoss(&*mHedge);
  }
  if (mHedge && IsHedgeTimedOut()) {
    // A pending hedge prevents further hedges and the time-out of the first dispatch.
    DropHedge("replica_lost", true);
  }
  if (mHedge || mHedgePending) {
    return;
  }
  const TimePoint now = mCore->Now();
  if (mRoute->mKind == RequestKind::kSafe) {
    const Duration most =
      std::chrono::duration_cast<Duration>(mRoute->mObjective * mCore->mOptions.mHedgeAfter);
    const bool slow = now - mCurrent.mSentAt > most || IsPathDown(mCurrent);
    if (mPhase == Phase::kWaiting && slow && now >= mHedgeNotBefore && MayHedge()) {
      HedgeSafeRequest();
    }
    return;
  }
  if (!mRoute->Repeatable() || !mService->mPool || !ShouldHedgeStream(mCurrent)) {
    return;
  }
  if (!MayTryNewEngine() && IsSilentFor(mCurrent, kSilentEngineTimeout)) {
    OnFailure("replica_lost", true);
  } else if (now >= mHedgeNotBefore && !IsQuarantined() && MayHedgeStream()) {
    HedgeStream("replica_lost");
  }
}

bool
Exchange::MayHedgeStream() const
{
  // An engine that refused may refuse again and does not get the request a third time. So it is not
  // used while the first engine may only pause.
  const bool again = IsPathDown(mCurrent) || IsSilentFor(mCurrent, kUnservedTimeout);
  const bool fresh = MayTryNewEngine() && HasTargetExcluding(mTried);
  return (fresh || (again && !RepeatableEngines().empty())) && HasTarget();
}

bool
Exchange::ShouldHedgeStream(const EngineDispatch& aDispatch) const
{
  // For a stream that has not begun, events of other streams prove nothing: a head may finish its
  // streams and start no more.
  return !mPushing && (IsStalled(aDispatch) || IsPathDown(aDispatch) ||
                       (!aDispatch.mWriting && IsReportedLost(aDispatch)));
}

bool
Exchange::IsPathDown(const EngineDispatch& aDispatch) const
{
  const EngineConnector& connector = mCore->mConnector;
  const Attempt& attempt = *aDispatch.mAttempt;
  const TimePoint last = std::max(aDispatch.mSentAt, aDispatch.mHeardAt);
  return connector.WayTo(aDispatch.mTarget.mEngine) == Way::kPeer && attempt.Connected() &&
         attempt.Peer().empty() && mCore->Now() - last > kActiveWithin;
}

bool
Exchange::IsSilentFor(const EngineDispatch& aDispatch, Duration aFor) const
{
  // The time before the loss was reported does not count: the stream may have been queued at a head
  // that worked until then.
  const TimePoint last = std::max(aDispatch.mWriting ? aDispatch.mLastEventAt : aDispatch.mSentAt,
                                  aDispatch.mLostSince.value_or(mCore->Now()));
  return mCore->Now() - last > aFor && IsReportedLost(aDispatch) && IsStalled(aDispatch);
}

bool
Exchange::IsHedgeTimedOut() const
{
  if (!IsSilentFor(*mHedge, kUnservedTimeout)) {
    return false;
  }
  const bool another = (MayTryNewEngine() || !RepeatableEngines().empty()) && HasTarget();
  return another || IsSilentFor(*mHedge, kSilentEngineTimeout);
}

bool
Exchange::IsReportedLost(const EngineDispatch& aDispatch) const
{
  const PoolReplica* replica = ReplicaInPlan(aDispatch.mGroup);
  // Lost, or re-formed, perhaps under another head.
  return replica != nullptr && (replica->mLost || replica->mEpoch > aDispatch.mEpoch);
}

bool
Exchange::IsStalled(const EngineDispatch& aDispatch) const
{
  const Duration silence = mCore->mStalls.Silence(aDispatch.mTarget.mEngine, mCore->Now());
  if (silence > mCore->mOptions.mMaxSilence) {
    return true;
  }
  if (mCore->mStalls.Watches(aDispatch.mTarget.mEngine) && silence <= kActiveWithin) {
    return false;
  }
  return IsReportedLost(aDispatch);
}

void
Exchange::CountRefusedMove(const std::string& aReason)
{
  ++mMovesRefused;
  ++mCore->mCounters.mMovesRefused[aReason];
}

void
Exchange::HedgeStream(const std::string& aReason)
{
  mHedgePending = true;
  RequestSlot(
    true,
    [self = shared_from_this(), serial = mCurrent.mSerial, aReason](const SlotResult& aPlace) {
      self->mHedgePending = false;
      if (aPlace.mOutcome != SlotOutcome::kGranted) {
        self->CountRefusedMove(ToString(aPlace.mOutcome));
        self->mHedgeNotBefore = self->mCore->Now() + kSlotRetryDelay;
        return;
      }
      if (!self->IsCurrent(serial) || !self->ShouldHedgeStream(self->mCurrent)) {
        self->mCore->mPlaces.End(aPlace.mTicket); // no longer needed
        return;
      }
      if (!self->IsUsable(aPlace)) {
        self->mCore->mPlaces.End(aPlace.mTicket);
        self->CountRefusedMove(ToString(SlotOutcome::kNoReplica));
        self->mHedgeNotBefore = self->mCore->Now() + kSlotRetryDelay;
        return;
      }
      self->StartHedge(DispatchTo(aPlace), aReason);
    });
}

void
Exchange::HedgeSafeRequest()
{
  if (!ChooseEngine(true)) {
    return;
  }
  mHedgePending = true;
  mCore->mRetries.Ask(mService->mName,
                      [self = shared_from_this(), serial = mCurrent.mSerial](bool aGranted) {
                        self->mHedgePending = false;
                        if (!aGranted) {
                          self->mHedgeNotBefore = self->mCore->Now() + kSlotRetryDelay;
                          return;
                        }
                        const bool waits = self->IsCurrent(serial) &&
                                           self->mPhase == Phase::kWaiting && !self->mHedge;
                        if (auto dispatch = waits ? self->ChooseEngine(true) : std::nullopt) {
                          self->StartHedge(std::move(*dispatch), "slow");
                        } else {
                          self->mHedgeNotBefore = self->mCore->Now() + kSlotRetryDelay;
                        }
                      });
}

void
Exchange::StartHedge(EngineDispatch aTo, const std::string& aReason)
{
  mHedge = std::move(aTo);
  mHedgeReason = aReason;
  Launch(&*mHedge);
}

void
Exchange::OnHedgeHead(int aStatus, const HeaderFields& aFields)
{
  NoteHeard(&*mHedge);
  SettleStale(*mHedge, true);
  const AnswerMetadata metadata = mCore->mDialect.mReadAnswer(aStatus, aFields);
  const bool events = mRoute->mKind == RequestKind::kStream && mStreamStarted;
  std::string fault = HeadFault(metadata);
  if (fault.empty() && (aStatus >= kServerFailure || (events && aStatus != kOk))) {
    fault = "the second engine failed";
  }
  NoteHead(*mHedge, metadata);
  if (!fault.empty()) {
    if (metadata.mNotRun) {
      mAsked.OnNotTaken(mHedge->mTarget.mEngine);
    } else {
      mCore->mBalancer.OnFault(mHedge->mTarget.mEngine, mCore->Now());
    }
    DropHedge(fault, !metadata.mNotRun);
    return;
  }
  if (events) {
    // The caller already has the first engine's headers. The first engine to send another event
    // wins.
    mHedge->mHeadAt = mCore->Now();
    mHedge->mAttempt->SetKeepAlive(metadata.mKeepAlive);
    mHedge->mAttempt->ReadMore();
    return;
  }
  PromoteHedge();
  BeginAnswer(aStatus, aFields, metadata);
}

void
Exchange::OnHedgeEnd(const AttemptEnd& aEnd)
{
  NoteEnd(&*mHedge, aEnd);
  DropHedge(aEnd.mComplete ? "the second engine had no more events" : aEnd.mReason,
            aEnd.mMayHaveRun);
}

void
Exchange::DropHedge(const std::string& aReason, bool aMayHaveRun)
{
  const bool reached = mHedge->mAttempt->Connected();
  const bool stale = mHedge->mStale;
  mMayHaveRun = mMayHaveRun || aMayHaveRun;
  LogFailedAttempt(*mHedge, aReason, aMayHaveRun, "");
  SettleStale(*mHedge, reached);
  if (!reached) {
    NoteUnreached(*mHedge, aReason);
    mTried.erase(mHedge->mTarget.mEngine); // the engine may only pause
    mUnreached.insert(mHedge->mTarget.mEngine);
  }
  Drop(&*mHedge);
  mHedge.reset();
  mHedgeNotBefore = mCore->Now() + (stale ? Duration::zero() : kSlotRetryDelay);
}

void
Exchange::PromoteHedge()
{
  if (mCurrent.mAttempt) {
    ++mCore->mCounters.mOvertaken;
    mMayHaveRun = mMayHaveRun || mCurrent.mAttempt->MayHaveRun();
    mCore->mBalancer.OnFault(mCurrent.mTarget.mEngine, mCore->Now());
    mCore->mBalancer.Unanswered().OnOvertaken(mCurrent.mTarget.mEngine, mCore->Now());
    if (!mCurrent.mAttempt->Peer().empty()) {
      mCore->mConnector.OnPeerSilent(mCurrent.mAttempt->Peer()); // or the engine has stalled
    }
    LogFailedAttempt(mCurrent, mHedgeReason, true, "");
  }
  Drop(&mCurrent);
  mCurrent = std::move(*mHedge);
  mHedge.reset();
  mBody.clear();
  mSplitter.Reset();
  mPhase = mStreamStarted ? Phase::kStreaming : Phase::kWaiting;
}

} // namespace pepperbay
