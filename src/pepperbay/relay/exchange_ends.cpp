#include "exchange.hpp"
#include "exchange_constants.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {

/// Failed connects after which a request is refused. They put no load on engines, but each one
/// costs the caller time.
constexpr int kMaxConnectFailures = 3;

/// Callers wait for at most this fraction (one third) of their remaining time before they retry.
constexpr int kMaxWaitDivisor = 3;

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
  if (mPendingRetry) {
    TickPendingRetry();
    return;
  }
  if (mPhase == Phase::kFinished || !mCurrent.mAttempt) {
    return; // a slot is granted or refused within some tens of milliseconds
  }
  const TimePoint now = mCore->Now();
  if (now >= mDeadlineAt) {
    OnDeadline();
    return;
  }
  if (mPushing) {
    // Nothing is read from the engine meanwhile, so its silence proves nothing. And the output of
    // another engine could be mixed into the events that are being written.
    return;
  }
  if (mHedge && EngineRestarted(*mHedge)) {
    NoteRestarted(*mHedge);
    DropHedge("engine_restarted", mHedge->mAttempt->MayHaveRun());
  }
  if (StopIfQuarantined()) {
    return;
  }
  if (EngineRestarted(mCurrent)) {
    NoteRestarted(mCurrent);
    OnFailure("engine_restarted", mCurrent.mAttempt->MayHaveRun());
    return;
  }
  const auto unconnected = [&](const EngineDispatch& aDispatch) {
    return !aDispatch.mAttempt->Connected() &&
           now - aDispatch.mSentAt > mCore->mOptions.mConnectTimeout;
  };
  if (mHedge && unconnected(*mHedge)) {
    DropHedge("connect: no answer", false);
  }
  if (!mCurrent.mAttempt->Connected()) {
    if (unconnected(mCurrent)) {
      OnFailure("connect: no answer", false);
    }
    return;
  }
  HedgeIfDue();
}

void
Exchange::OnDeadline()
{
  mMayHaveRun = mMayHaveRun || (mCurrent.mAttempt && mCurrent.mAttempt->MayHaveRun());
  DropAttempt();
  if (mStreamStarted) {
    Cut("deadline");
  } else if (mMayHaveRun) {
    Answer(kGatewayTimeout, "deadline", "no answer in time; whether it ran is unknown");
  } else {
    Refuse("deadline");
  }
}

bool
Exchange::EngineRestarted(const EngineDispatch& aDispatch) const
{
  // An engine that loses power closes no connection. Without this check the caller would wait until
  // its deadline.
  const AttemptTarget& target = aDispatch.mTarget;
  const auto start = mCore->mPlan->mIncarnations.find(target.mEngine);
  return start != mCore->mPlan->mIncarnations.end() && target.mBorn != WallTime{} &&
         start->second > target.mBorn;
}

const PoolReplica*
Exchange::ReplicaInPlan(const std::string& aGroup) const
{
  const auto replicas = mCore->mPlan->mReplicas.find(mService->mName);
  if (replicas == mCore->mPlan->mReplicas.end()) {
    return nullptr;
  }
  const auto it =
    std::find_if(replicas->second.begin(),
                 replicas->second.end(),
                 [&aGroup](const PoolReplica& aReplica) { return aReplica.mGroup == aGroup; });
  return it == replicas->second.end() ? nullptr : &*it;
}

void
Exchange::OnFailure(const std::string& aReason, bool aMayHaveRun)
{
  const bool reached = mCurrent.mAttempt && mCurrent.mAttempt->Connected();
  mMayHaveRun = mMayHaveRun || aMayHaveRun;
  if ((aMayHaveRun && !mCurrent.mStale) || !reached) {
    mCore->mBalancer.OnFault(mCurrent.mTarget.mEngine, mCore->Now());
  }
  SettleStale(mCurrent, reached);
  if (!reached) {
    NoteUnreached(mCurrent, aReason);
    ++mConnectFailures;
  }
  if (mHedge) {
    LogFailedAttempt(mCurrent, aReason, aMayHaveRun, "");
    Drop(&mCurrent);
    PromoteHedge();
    return;
  }
  mCurrent.mFailed = true;
  const RequestProgress progress = Progress();
  LogFailedAttempt(mCurrent, aReason, aMayHaveRun, RetryDenialReason(progress));
  DropAttempt();
  AfterAttempt(aReason, progress);
}

RequestProgress
Exchange::Progress() const
{
  RequestProgress progress;
  progress.mRepeatable = mRoute->Repeatable();
  progress.mMayHaveRun = mMayHaveRun;
  progress.mAnswerBegun = mStreamStarted;
  const bool again = StaleEngine() != nullptr || !RepeatableEngines().empty();
  progress.mSent = mAsked.Count() - (again ? 1 : 0);
  progress.mMaxSent = mRoute->mMaxAttempts;
  progress.mLeft = TimeLeft();
  progress.mHasTarget = mConnectFailures < kMaxConnectFailures && HasTarget();
  progress.mHasBudget = mSent == 0 || HasBudget();
  progress.mQuarantined = IsQuarantined();
  if (mService->mPool && !mFallback) {
    const TimePoint last = mStreamStarted ? mForwardedAt : mArrived;
    progress.mCallerWait = last + kUnservedTimeout - mCore->Now();
  }
  return progress;
}

void
Exchange::TickPendingRetry()
{
  const TimePoint now = mCore->Now();
  if (now >= mDeadlineAt) {
    mPendingRetry.reset();
    OnDeadline();
  } else if (now >= mPendingRetry->mRetryAt) {
    const std::string reason = mPendingRetry->mReason;
    mPendingRetry.reset();
    AfterAttempt(reason, Progress());
  }
}

void
Exchange::NoteUnreached(const EngineDispatch& aDispatch, const std::string& aReason)
{
  ++mCore->mCounters.mConnectsFailed[aReason];
  // No engine received the request, so the attempt does not count towards the limit.
  mSent -= aDispatch.mRepeats ? 0 : 1;
  mAsked.OnUnreached(aDispatch.mTarget.mEngine);
}

void
Exchange::AfterAttempt(const std::string& aReason, RequestProgress aProgress)
{
  switch (AfterFailure(aProgress)) {
    case FailureStep::kSendAgain:
      AllocateAndSend(mSent > 0, [this, aReason, aProgress](const std::string& aNoTarget) {
        LogFailedAttempt(mCurrent, aReason, mMayHaveRun, aNoTarget);
        RequestProgress last = aProgress;
        last.mHasTarget = false;
        AfterAttempt(aReason, last);
      });
      return;
    case FailureStep::kWait:
      mPhase = Phase::kAwaitingSlot;
      CountRefusedMove(RetryDenialReason(aProgress));
      mPendingRetry = PendingRetry{ aReason, mCore->Now() + kSlotRetryDelay };
      return;
    case FailureStep::kRefuse:
      Refuse(aReason);
      return;
    case FailureStep::kFail:
      if (mFallback) {
        AnswerFallback("second attempt failed");
        return;
      }
      Answer(kBadGateway, aReason, "the engine's answer was lost; whether it ran is unknown");
      return;
    case FailureStep::kCut:
      Cut(aReason);
      return;
  }
}

void
Exchange::AnswerFallback(const std::string& aReason)
{
  ++mCore->mCounters.mAnswered;
  LogEnd("answered", aReason);
  Finish()->SendAnswer(std::move(*mFallback));
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
    answer.set(http::field::retry_after, Seconds(RetryAfter()));
  }
  const nlohmann::json body = {
    { "error",
      { { "reason", aReason }, { "detail", aDetail }, { "ran", mMayHaveRun ? "unknown" : "no" } } }
  };
  answer.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  answer.prepare_payload();
  LogEnd(aStatus == kUnavailable ? "refused" : "failed", aReason);
  if (AnswerWriter* caller = Finish()) {
    caller->SendAnswer(std::move(answer));
  }
}

Duration
Exchange::RetryAfter() const
{
  Duration after = mCore->mOptions.mRetryAfter;
  if (mRateLimitedFor > Duration::zero()) {
    after = mRateLimitedFor; // the node that counts the limit has already spread the retries
  } else if (mAllFull) {
    // Callers that are refused together and return together would find the replicas full again. So
    // each gets a jitter, derived from its request ID.
    const Duration most =
      std::min(mCore->mOptions.mRetryJitter, TimeLeft() / kMaxWaitDivisor - after);
    constexpr std::uint64_t kParts = 1024;
    const auto part = static_cast<Duration::rep>(Hash64(mMetadata.mId) % kParts);
    after += std::max(Duration::zero(), most) * part / static_cast<Duration::rep>(kParts);
  }
  // A quarantined request is refused at every node, so an earlier retry is useless.
  return std::max(after, QuarantineTimeLeft());
}

void
Exchange::Cut(const std::string& aReason)
{
  ++mCore->mCounters.mCut;
  ++mCore->mCounters.mReasons[aReason];
  LogEnd("cut", aReason);
  Finish()->AbortStream();
}

AnswerWriter*
Exchange::Finish()
{
  AnswerWriter* caller = mCaller;
  Release();
  return caller;
}

void
Exchange::Refuse(const std::string& aReason)
{
  Answer(kUnavailable, aReason, "the request has not run; come back later");
}

void
Exchange::Release()
{
  if (mPhase == Phase::kFinished) {
    return;
  }
  mPhase = Phase::kFinished;
  mPendingRetry.reset();
  if (mStale) {
    // No other connection has shown whether this engine has exited.
    mCore->mExitProbe.OnInterrupted(mStale->mTarget, mStale->mRequest);
  }
  if (mCurrent.mAttempt) {
    // The answer was complete; only the counts have to be released.
    EndCounts(&mCurrent);
  }
  DropAttempt();
  mCaller = nullptr;
  --mCore->mCounters.mOpen;
  mCore->mCounters.mBufferedBytes -= std::exchange(mBuffered, 0);
  mCore->mExchanges.erase(shared_from_this());
}

void
Exchange::Abort()
{
  if (mPhase == Phase::kFinished) {
    return;
  }
  mMayHaveRun = mMayHaveRun || (mCurrent.mAttempt && mCurrent.mAttempt->MayHaveRun());
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
Exchange::OnCallerGone(const std::string& aReason)
{
  if (mPhase == Phase::kFinished) {
    return;
  }
  ++mCore->mCounters.mCallerGone;
  LogEnd("caller_gone", aReason);
  DropAttempt();
  Release();
}

} // namespace pepperbay
