/// @file
/// @brief A second engine is asked while the first still stands: one of them answers the caller.
///
/// An engine that is silent, or of whose replica something is said, may go on all the same; and the
/// second one may refuse. A request that had left its first engine by then would be lost to both.
/// So the first is let go only when the second gives an answer, and the second when the first does.

#include "exchange.hpp"
#include "exchange_constants.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// A head that gave any stream an event within this moves, whatever is said of its replica: events
/// come 50 to 80 ms apart. Members that leave stop listening long before they stop working, and a
/// replica that is planned anew works on until its engines have joined.
constexpr std::chrono::milliseconds kMovesWithin{ 150 };

} // namespace

bool
Exchange::MayAskSecond() const
{
  return MayAskFurther() && !IsHeldBack() && HasTarget() && HasBudget();
}

void
Exchange::NoteLoss(Sending* aSending) const
{
  if (!SaidToBeLost(*aSending)) {
    aSending->mLostSince.reset();
  } else if (!aSending->mLostSince) {
    aSending->mLostSince = mCore->Now();
  }
}

void
Exchange::AskSecondIfDue()
{
  NoteLoss(&mCurrent);
  if (mNext) {
    NoteLoss(&*mNext);
  }
  if (mNext && IsNextHopeless()) {
    // While it is asked, no other engine is, and the first one's end is not looked at either.
    DropNext("replica_lost", true);
  }
  if (mNext || mMoving) {
    return;
  }
  const TimePoint now = mCore->Now();
  if (mRoute->mKind == RequestKind::kSafe) {
    const Duration most =
      std::chrono::duration_cast<Duration>(mRoute->mObjective * mCore->mOptions.mSecondAfter);
    const bool slow = now - mCurrent.mSentAt > most || IsCutOff(mCurrent);
    if (mPhase == Phase::kWaiting && slow && now >= mMoveNotBefore && MayAskSecond()) {
      AskSecondEngine();
    }
    return;
  }
  if (!mRoute->Repeatable() || !mService->mPool || !ShouldLeave(mCurrent)) {
    return;
  }
  if (!MayAskFurther() && IsSilentFor(mCurrent, kGivenUpAfter)) {
    OnFailure("replica_lost", true);
  } else if (now >= mMoveNotBefore && !IsHeldBack() && MayMove()) {
    Move("replica_lost");
  }
}

bool
Exchange::MayMove() const
{
  // Who has refused may refuse again, and is not asked a third time: not while the first engine may
  // only pause.
  const bool again = IsCutOff(mCurrent) || IsSilentFor(mCurrent, kHopelessAfter);
  const bool fresh = MayAskFurther() && HasTargetBeside(mTried);
  return (fresh || (again && !AskOnceMore().empty())) && HasTarget();
}

bool
Exchange::ShouldLeave(const Sending& aSending) const
{
  // Events of other streams say nothing of one that has not begun: a head may write what it has and
  // begin nothing more.
  return !mPushing && (StandsStill(aSending) || IsCutOff(aSending) ||
                       (!aSending.mWriting && SaidToBeLost(aSending)));
}

bool
Exchange::IsCutOff(const Sending& aSending) const
{
  const EngineConnector& connector = mCore->mConnector;
  const Attempt& attempt = *aSending.mAttempt;
  const TimePoint last = std::max(aSending.mSentAt, aSending.mHeardAt);
  return connector.WayTo(aSending.mTarget.mEngine) == Way::kPeer && attempt.Connected() &&
         attempt.Peer().empty() && mCore->Now() - last > kMovesWithin;
}

bool
Exchange::IsSilentFor(const Sending& aSending, Duration aFor) const
{
  // A stream may have waited at a head that was well until then.
  const TimePoint last = std::max(aSending.mWriting ? aSending.mLastEventAt : aSending.mSentAt,
                                  aSending.mLostSince.value_or(mCore->Now()));
  return mCore->Now() - last > aFor && SaidToBeLost(aSending) && StandsStill(aSending);
}

bool
Exchange::IsNextHopeless() const
{
  if (!IsSilentFor(*mNext, kHopelessAfter)) {
    return false;
  }
  const bool another = (MayAskFurther() || !AskOnceMore().empty()) && HasTarget();
  return another || IsSilentFor(*mNext, kGivenUpAfter);
}

bool
Exchange::SaidToBeLost(const Sending& aSending) const
{
  const PoolReplica* replica = ReplicaInPlan(aSending.mGroup);
  // Lost, or formed anew, perhaps under another head.
  return replica != nullptr && (replica->mLost || replica->mEpoch > aSending.mEpoch);
}

bool
Exchange::StandsStill(const Sending& aSending) const
{
  const Duration silence = mCore->mStalls.Silence(aSending.mTarget.mEngine, mCore->Now());
  if (silence > mCore->mOptions.mLeaveSilent) {
    return true;
  }
  if (mCore->mStalls.Watches(aSending.mTarget.mEngine) && silence <= kMovesWithin) {
    return false;
  }
  return SaidToBeLost(aSending);
}

void
Exchange::CountRefusedMove(const std::string& aWhy)
{
  ++mMovesRefused;
  ++mCore->mCounters.mMovesRefused[aWhy];
}

void
Exchange::Move(const std::string& aWhy)
{
  mMoving = true;
  AskForPlace(
    true, [self = shared_from_this(), serial = mCurrent.mSerial, aWhy](const SlotResult& aPlace) {
      self->mMoving = false;
      if (aPlace.mOutcome != SlotOutcome::kGranted) {
        self->CountRefusedMove(ToString(aPlace.mOutcome));
        self->mMoveNotBefore = self->mCore->Now() + kMoveAgainAfter;
        return;
      }
      if (!self->IsCurrent(serial) || !self->ShouldLeave(self->mCurrent)) {
        self->mCore->mPlaces.End(aPlace.mTicket); // it ended, or goes on, in the meantime
        return;
      }
      if (!self->IsUsable(aPlace)) {
        self->mCore->mPlaces.End(aPlace.mTicket);
        self->CountRefusedMove(ToString(SlotOutcome::kNoReplica));
        self->mMoveNotBefore = self->mCore->Now() + kMoveAgainAfter;
        return;
      }
      self->StartNext(SendingTo(aPlace), aWhy);
    });
}

void
Exchange::AskSecondEngine()
{
  if (!ChooseEngine()) {
    return;
  }
  mMoving = true;
  mCore->mRetries.Ask(
    mService->mName, [self = shared_from_this(), serial = mCurrent.mSerial](bool aGranted) {
      self->mMoving = false;
      if (!aGranted) {
        self->mMoveNotBefore = self->mCore->Now() + kMoveAgainAfter;
        return;
      }
      const bool waits = self->IsCurrent(serial) && self->mPhase == Phase::kWaiting && !self->mNext;
      if (auto sending = waits ? self->ChooseEngine() : std::nullopt) {
        self->StartNext(std::move(*sending), "slow");
      } else {
        self->mMoveNotBefore = self->mCore->Now() + kMoveAgainAfter;
      }
    });
}

void
Exchange::StartNext(Sending aTo, const std::string& aWhy)
{
  mNext = std::move(aTo);
  mNextWhy = aWhy;
  Launch(&*mNext);
}

void
Exchange::OnNextHead(int aStatus, const HeaderFields& aFields)
{
  NoteHeard(&*mNext);
  SettleStale(*mNext, true);
  const AnswerFacts facts = mCore->mDialect.mReadAnswer(aStatus, aFields);
  const bool events = mRoute->mKind == RequestKind::kStream && mStreamStarted;
  std::string fault = HeadFault(facts);
  if (fault.empty() && (aStatus >= kServerFailure || (events && aStatus != kOk))) {
    fault = "the second engine failed";
  }
  NoteHead(*mNext, facts);
  if (!fault.empty()) {
    if (facts.mNotRun) {
      mAsked.OnNotTaken(mNext->mTarget.mEngine);
    } else {
      mCore->mBalancer.OnFault(mNext->mTarget.mEngine, mCore->Now());
    }
    DropNext(fault, !facts.mNotRun);
    return;
  }
  if (events) {
    // The caller has the first engine's head. Which of the two goes on shows by the next event.
    mNext->mHeadAt = mCore->Now();
    mNext->mAttempt->SetKeepAlive(facts.mKeepAlive);
    mNext->mAttempt->ReadMore();
    return;
  }
  TakeNext();
  TakeHead(aStatus, aFields, facts);
}

void
Exchange::OnNextEnd(const AttemptEnd& aEnd)
{
  NoteEnd(&*mNext, aEnd);
  DropNext(aEnd.mComplete ? "the second engine had no more events" : aEnd.mWhy, aEnd.mMayHaveRun);
}

void
Exchange::DropNext(const std::string& aWhy, bool aMayHaveRun)
{
  const bool reached = mNext->mAttempt->Connected();
  const bool stale = mNext->mStale;
  mMayHaveRun = mMayHaveRun || aMayHaveRun;
  LogFailedAttempt(*mNext, aWhy, aMayHaveRun, "");
  SettleStale(*mNext, reached);
  if (!reached) {
    NoteUnreached(*mNext, aWhy);
    mTried.erase(mNext->mTarget.mEngine); // it may only pause
    mUnreached.insert(mNext->mTarget.mEngine);
  }
  Drop(&*mNext);
  mNext.reset();
  mMoveNotBefore = mCore->Now() + (stale ? Duration::zero() : kMoveAgainAfter);
}

void
Exchange::TakeNext()
{
  if (mCurrent.mAttempt) {
    mMayHaveRun = mMayHaveRun || mCurrent.mAttempt->MayHaveRun();
    mCore->mBalancer.OnFault(mCurrent.mTarget.mEngine, mCore->Now());
    if (!mCurrent.mAttempt->Peer().empty()) {
      mCore->mConnector.OnPeerSilent(mCurrent.mAttempt->Peer()); // it, or the engine behind it
    }
    LogFailedAttempt(mCurrent, mNextWhy, true, "");
  }
  Drop(&mCurrent);
  mCurrent = std::move(*mNext);
  mNext.reset();
  mBody.clear();
  mSplitter.Reset();
  mPhase = mStreamStarted ? Phase::kEvents : Phase::kWaiting;
}

} // namespace pepperbay
