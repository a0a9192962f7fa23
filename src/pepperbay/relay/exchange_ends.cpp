#include "exchange.hpp"
#include "exchange_constants.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {

/// Connections that did not stand, after which a request is refused: they cost no engine anything,
/// but each takes time from the caller.
constexpr int kMostConnectFailures = 3;
/// A stream whose replica stands still and that found no place elsewhere asks again after this: a
/// heartbeat, in which places come free.
constexpr std::chrono::milliseconds kMoveAgainAfter{ 200 };
/// A head that gave any stream an event within this moves, whatever is said of its replica: events
/// come 50 to 80 ms apart. Members that leave stop listening long before they stop working, and a
/// replica that is planned anew works on until its engines have joined.
constexpr std::chrono::milliseconds kMovesWithin{ 150 };

std::string
Seconds(Duration aDuration)
{
  std::ostringstream text;
  text << std::chrono::duration<double>(aDuration).count();
  return text.str();
}

} // namespace

void
Exchange::Tick()
{
  if (mPhase == Phase::kOver || !mAttempt) {
    return; // a place is found, or is refused, in a few tens of milliseconds
  }
  const TimePoint now = mCore->Now();
  if (now >= mDeadlineAt) {
    mMayHaveRun = mMayHaveRun || mAttempt->MayHaveRun();
    DropAttempt();
    if (mStreamStarted) {
      Cut("deadline");
    } else if (mMayHaveRun) {
      Answer(kGatewayTimeout, "deadline", "no answer in time; whether it ran is unknown");
    } else {
      Refuse("deadline");
    }
    return;
  }
  if (EngineRestarted()) {
    OnFailure("engine_restarted", mAttempt->MayHaveRun());
    return;
  }
  if (!mAttempt->Connected()) {
    if (now - mSentAt > mCore->mOptions.mConnectTimeout) {
      OnFailure("connect: no answer", false);
    }
    return;
  }
  if (mRoute->mKind == RequestKind::kSafe) {
    const Duration most =
      std::chrono::duration_cast<Duration>(mRoute->mObjective * mCore->mOptions.mSecondAfter);
    if (mPhase == Phase::kWaiting && mSent < mRoute->mMaxAttempts && now - mSentAt > most &&
        HasTarget() && HasBudget()) {
      OnFailure("slow", true);
    }
    return;
  }
  if (!mRoute->Repeatable() || !mService->mPool) {
    return;
  }
  // The replica stands still: go on elsewhere while the caller still waits.
  if (StandsStill() && mSent < mRoute->mMaxAttempts && now >= mMoveNotBefore && !mMoving &&
      HasTarget()) {
    Move("replica_lost");
  }
}

void
Exchange::Move(const std::string& aWhy)
{
  mMoving = true;
  const std::uint64_t serial = mAttemptSerial;
  mCore->mPlaces.Ask(MakePlaceRequest(true),
                     [self = shared_from_this(), serial, aWhy](const Place& aPlace) {
                       self->mMoving = false;
                       if (aPlace.mOutcome != PlaceOutcome::kGranted) {
                         self->mMoveNotBefore = self->mCore->Now() + kMoveAgainAfter;
                         return;
                       }
                       if (self->mPhase == Phase::kOver || self->mAttemptSerial != serial) {
                         self->mCore->mPlaces.End(aPlace.mTicket); // it ended in the meantime
                         return;
                       }
                       self->mMayHaveRun = true;
                       self->mCore->mBalancer.OnFault(self->mTarget.mEngine, self->mCore->Now());
                       self->LogFailedAttempt(aWhy, true, "");
                       self->DropAttempt();
                       self->TakePlace(aPlace);
                       self->SendToEngine();
                     });
}

bool
Exchange::EngineRestarted() const
{
  // An engine that loses power closes no connection; the caller would wait until its deadline.
  const auto start = mCore->mPlan->mStarts.find(mTarget.mEngine);
  return start != mCore->mPlan->mStarts.end() && mTarget.mBorn != WallTime{} &&
         start->second > mTarget.mBorn;
}

const PoolReplica*
Exchange::ReplicaInPlan() const
{
  const auto replicas = mCore->mPlan->mReplicas.find(mService->mName);
  if (replicas == mCore->mPlan->mReplicas.end()) {
    return nullptr;
  }
  const auto it =
    std::find_if(replicas->second.begin(),
                 replicas->second.end(),
                 [this](const PoolReplica& aReplica) { return aReplica.mGroup == mGroup; });
  return it == replicas->second.end() ? nullptr : &*it;
}

bool
Exchange::StandsStill() const
{
  const Duration silence = mCore->mStalls.Silence(mTarget.mEngine, mCore->Now());
  if (silence > mCore->mOptions.mLeaveSilent) {
    return true;
  }
  if (mCore->mStalls.Watches(mTarget.mEngine) && silence <= kMovesWithin) {
    return false;
  }
  const PoolReplica* replica = ReplicaInPlan();
  // Formed anew, perhaps under another head: what was in progress there does not go on.
  return replica != nullptr && (replica->mLost || replica->mEpoch > mEpoch);
}

void
Exchange::OnFailure(const std::string& aWhy, bool aMayHaveRun)
{
  const bool reached = mAttempt && mAttempt->Connected();
  mMayHaveRun = mMayHaveRun || aMayHaveRun;
  if (aMayHaveRun || !reached) {
    mCore->mBalancer.OnFault(mTarget.mEngine, mCore->Now());
  }
  if (!reached) {
    // No engine was asked, so nothing is spent but time.
    --mSent;
    ++mConnectFailures;
  }
  RequestProgress progress;
  progress.mRepeatable = mRoute->Repeatable();
  progress.mMayHaveRun = mMayHaveRun;
  progress.mAnswerBegun = mStreamStarted;
  progress.mSent = mSent;
  progress.mMostSent = mRoute->mMaxAttempts;
  progress.mLeft = Left();
  progress.mHasTarget = mConnectFailures < kMostConnectFailures && HasTarget();
  progress.mHasBudget = mSent == 0 || HasBudget();
  LogFailedAttempt(aWhy, aMayHaveRun, WhyNotAgain(progress));
  DropAttempt();
  AfterAttempt(aWhy, progress);
}

void
Exchange::AfterAttempt(const std::string& aWhy, RequestProgress aProgress)
{
  switch (AfterFailure(aProgress)) {
    case FailureStep::kSendAgain:
      PlaceAndSend(mSent > 0, [this, aWhy, aProgress](const std::string& aNoPlace) {
        LogFailedAttempt(aWhy, mMayHaveRun, aNoPlace);
        RequestProgress last = aProgress;
        last.mHasTarget = false;
        AfterAttempt(aWhy, last);
      });
      return;
    case FailureStep::kRefuse:
      Refuse(aWhy);
      return;
    case FailureStep::kFail:
      if (mFallback) {
        AnswerFallback("second attempt failed");
        return;
      }
      Answer(kBadGateway, aWhy, "the engine's answer was lost; whether it ran is unknown");
      return;
    case FailureStep::kCut:
      Cut(aWhy);
      return;
  }
}

void
Exchange::AnswerFallback(const std::string& aReason)
{
  ++mCore->mCounters.mAnswered;
  LogEnd("answered", aReason);
  Finish()->SendWhole(std::move(*mFallback));
}

void
Exchange::Answer(int aStatus, const std::string& aReason, const std::string& aDetail)
{
  auto& counters = mCore->mCounters;
  if (aStatus == kUnavailable) {
    ++counters.mRefused;
  } else if (aStatus >= kServerFailure) {
    ++counters.mFailed;
  } else {
    ++counters.mInvalid;
  }
  ++counters.mReasons[aReason];
  CallerAnswer answer;
  answer.result(static_cast<unsigned>(aStatus));
  answer.set(http::field::content_type, "application/json");
  if (aStatus == kUnavailable) {
    answer.set(http::field::retry_after, Seconds(mCore->mOptions.mRetryAfter));
  }
  const nlohmann::json body = {
    { "error",
      { { "reason", aReason }, { "detail", aDetail }, { "ran", mMayHaveRun ? "unknown" : "no" } } }
  };
  answer.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  answer.prepare_payload();
  LogEnd(aStatus == kUnavailable ? "refused" : "failed", aReason);
  if (CallerSide* caller = Finish()) {
    caller->SendWhole(std::move(answer));
  }
}

void
Exchange::Cut(const std::string& aReason)
{
  ++mCore->mCounters.mCut;
  ++mCore->mCounters.mReasons[aReason];
  LogEnd("cut", aReason);
  Finish()->Break();
}

CallerSide*
Exchange::Finish()
{
  CallerSide* caller = mCaller;
  Over();
  return caller;
}

void
Exchange::Refuse(const std::string& aReason)
{
  Answer(kUnavailable, aReason, "the request has not run; come back later");
}

void
Exchange::Over()
{
  if (mPhase == Phase::kOver) {
    return;
  }
  mPhase = Phase::kOver;
  if (mAttempt) {
    // Its answer was whole; only the counts are left to settle.
    EndCounts();
    mAttempt.reset();
  }
  mCaller = nullptr;
  --mCore->mCounters.mOpen;
  mCore->mExchanges.erase(shared_from_this());
}

void
Exchange::GiveUp()
{
  if (mPhase == Phase::kOver) {
    return;
  }
  mMayHaveRun = mMayHaveRun || (mAttempt && mAttempt->MayHaveRun());
  DropAttempt();
  if (mStreamStarted) {
    Cut("stopping");
  } else if (mMayHaveRun) {
    Answer(kBadGateway, "stopping", "this node stops; whether the request ran is unknown");
  } else {
    Refuse("stopping");
  }
}

void
Exchange::OnCallerGone()
{
  if (mPhase == Phase::kOver) {
    return;
  }
  ++mCore->mCounters.mCallerGone;
  LogEnd("caller_gone", "");
  DropAttempt();
  Over();
}

} // namespace pepperbay
