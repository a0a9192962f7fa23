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

/// Connections that did not stand, after which a request is refused: they cost no engine anything,
/// but each takes time from the caller.
constexpr int kMostConnectFailures = 3;

/// Callers wait for no longer than this part of the time that they have left.
constexpr int kCallersWait = 3;

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
  if (mAwaited) {
    TickAwaited();
    return;
  }
  if (mPhase == Phase::kOver || !mCurrent.mAttempt) {
    return; // a place is found, or is refused, in a few tens of milliseconds
  }
  const TimePoint now = mCore->Now();
  if (now >= mDeadlineAt) {
    OnDeadline();
    return;
  }
  if (mPushing) {
    // Nothing is read of the engine meanwhile, so its silence says nothing; and what another one
    // wrote would come in the middle of what is on its way.
    return;
  }
  if (mNext && EngineRestarted(*mNext)) {
    NoteRestarted(*mNext);
    DropNext("engine_restarted", mNext->mAttempt->MayHaveRun());
  }
  if (StopIfHeldBack()) {
    return;
  }
  if (EngineRestarted(mCurrent)) {
    NoteRestarted(mCurrent);
    OnFailure("engine_restarted", mCurrent.mAttempt->MayHaveRun());
    return;
  }
  const auto unconnected = [&](const Sending& aSending) {
    return !aSending.mAttempt->Connected() &&
           now - aSending.mSentAt > mCore->mOptions.mConnectTimeout;
  };
  if (mNext && unconnected(*mNext)) {
    DropNext("connect: no answer", false);
  }
  if (!mCurrent.mAttempt->Connected()) {
    if (unconnected(mCurrent)) {
      OnFailure("connect: no answer", false);
    }
    return;
  }
  AskSecondIfDue();
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
Exchange::EngineRestarted(const Sending& aSending) const
{
  // An engine that loses power closes no connection; the caller would wait until its deadline.
  const AttemptTarget& target = aSending.mTarget;
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
Exchange::OnFailure(const std::string& aWhy, bool aMayHaveRun)
{
  const bool reached = mCurrent.mAttempt && mCurrent.mAttempt->Connected();
  mMayHaveRun = mMayHaveRun || aMayHaveRun;
  if ((aMayHaveRun && !mCurrent.mStale) || !reached) {
    mCore->mBalancer.OnFault(mCurrent.mTarget.mEngine, mCore->Now());
  }
  SettleStale(mCurrent, reached);
  if (!reached) {
    NoteUnreached(mCurrent, aWhy);
    ++mConnectFailures;
  }
  if (mNext) {
    LogFailedAttempt(mCurrent, aWhy, aMayHaveRun, "");
    Drop(&mCurrent);
    TakeNext();
    return;
  }
  mCurrent.mFailed = true;
  const RequestProgress progress = Progress();
  LogFailedAttempt(mCurrent, aWhy, aMayHaveRun, RetryDenialReason(progress));
  DropAttempt();
  AfterAttempt(aWhy, progress);
}

RequestProgress
Exchange::Progress() const
{
  RequestProgress progress;
  progress.mRepeatable = mRoute->Repeatable();
  progress.mMayHaveRun = mMayHaveRun;
  progress.mAnswerBegun = mStreamStarted;
  const bool again = StaleEngine() != nullptr || !AskOnceMore().empty();
  progress.mSent = mAsked.Count() - (again ? 1 : 0);
  progress.mMaxSent = mRoute->mMaxAttempts;
  progress.mLeft = Left();
  progress.mHasTarget = mConnectFailures < kMostConnectFailures && HasTarget();
  progress.mHasBudget = mSent == 0 || HasBudget();
  progress.mQuarantined = IsHeldBack();
  if (mService->mPool && !mFallback) {
    const TimePoint last = mStreamStarted ? mPassedAt : mArrived;
    progress.mCallerWait = last + kHopelessAfter - mCore->Now();
  }
  return progress;
}

void
Exchange::TickAwaited()
{
  const TimePoint now = mCore->Now();
  if (now >= mDeadlineAt) {
    mAwaited.reset();
    OnDeadline();
  } else if (now >= mAwaited->mAskAt) {
    const std::string why = mAwaited->mWhy;
    mAwaited.reset();
    AfterAttempt(why, Progress());
  }
}

void
Exchange::NoteUnreached(const Sending& aSending, const std::string& aWhy)
{
  ++mCore->mCounters.mConnectsFailed[aWhy];
  // No engine was asked, so nothing is spent but time.
  mSent -= aSending.mRepeats ? 0 : 1;
  mAsked.OnUnreached(aSending.mTarget.mEngine);
}

void
Exchange::AfterAttempt(const std::string& aWhy, RequestProgress aProgress)
{
  switch (AfterFailure(aProgress)) {
    case FailureStep::kSendAgain:
      PlaceAndSend(mSent > 0, [this, aWhy, aProgress](const std::string& aNoPlace) {
        LogFailedAttempt(mCurrent, aWhy, mMayHaveRun, aNoPlace);
        RequestProgress last = aProgress;
        last.mHasTarget = false;
        AfterAttempt(aWhy, last);
      });
      return;
    case FailureStep::kWait:
      mPhase = Phase::kPlacing;
      CountRefusedMove(RetryDenialReason(aProgress));
      mAwaited = AwaitedAttempt{ aWhy, mCore->Now() + kMoveAgainAfter };
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
    answer.set(http::field::retry_after, Seconds(RetryAfter()));
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

Duration
Exchange::RetryAfter() const
{
  Duration after = mCore->mOptions.mRetryAfter;
  if (mLimitedFor > Duration::zero()) {
    after = mLimitedFor; // whoever counts has set it apart from others' returns
  } else if (mFoundFull) {
    // Callers who are refused in the same moment find the replicas full again if they come back in
    // the same moment. Which one waits how long follows from the request.
    const Duration most = std::min(mCore->mOptions.mSpreadReturns, Left() / kCallersWait - after);
    constexpr std::uint64_t kParts = 1024;
    const auto part = static_cast<Duration::rep>(Hash64(mFacts.mId) % kParts);
    after += std::max(Duration::zero(), most) * part / static_cast<Duration::rep>(kParts);
  }
  // A request that is held back is refused at every node: coming back sooner helps nobody.
  return std::max(after, HeldFor());
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
  mAwaited.reset();
  if (mStale) {
    // No other connection has shown whether its engine has ended.
    mCore->mEndings.OnBrokenOff(mStale->mTarget, mStale->mRequest);
  }
  if (mCurrent.mAttempt) {
    // Its answer was whole; only the counts are left to settle.
    EndCounts(&mCurrent);
  }
  DropAttempt();
  mCaller = nullptr;
  --mCore->mCounters.mOpen;
  mCore->mCounters.mKeptBytes -= std::exchange(mKept, 0);
  mCore->mExchanges.erase(shared_from_this());
}

void
Exchange::GiveUp()
{
  if (mPhase == Phase::kOver) {
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
Exchange::OnCallerGone(const std::string& aWhy)
{
  if (mPhase == Phase::kOver) {
    return;
  }
  ++mCore->mCounters.mCallerGone;
  LogEnd("caller_gone", aWhy);
  DropAttempt();
  Over();
}

} // namespace pepperbay
