/// @file
/// @brief Where a request goes: an engine or a place is found, and the request is sent there.

#include "exchange.hpp"
#include "hop_by_hop.hpp"
#include "pepperbay/base/hash.hpp"
#include "pepperbay/routing/find_engine.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {

/// An engine gets this much less than what is left, so that its own answer at the deadline comes
/// back before the caller leaves.
constexpr std::chrono::milliseconds kDeadlineMargin{ 20 };
constexpr int kLeastUrgent = 9;
/// An engine that was heard within this is reached: its events come 50 to 80 ms apart.
constexpr std::chrono::milliseconds kHeardLately{ 150 };

} // namespace

const EngineTarget*
Exchange::StaleEngine() const
{
  if (!mStale || mTried.count(mStale->mTarget.mEngine) != 0) {
    return nullptr; // the request has gone there again
  }
  if (mService->mPool || mCore->mPlaces.HasLimits(mService->mName)) {
    return nullptr; // whoever finds places chooses
  }
  const EngineTarget* engine = FindEngine(*mCore->mPlan, ShortId(mStale->mTarget.mEngine));
  return engine != nullptr && engine->mBorn == mStale->mTarget.mBorn ? engine : nullptr;
}

std::optional<Sending>
Exchange::ChooseEngine() const
{
  const auto plan = mCore->mPlan;
  if (const EngineTarget* engine = StaleEngine()) {
    Sending again;
    again.mTarget = { engine->mId, engine->mAddress, engine->mBorn, engine->mDataCentre };
    return again;
  }
  Balancer::EngineQuery query;
  query.mTried = ShortIds(LeftOut());
  query.mOnce = !mRoute->Repeatable();
  if (mCore->mPlaces.HasLimits(mService->mName)) {
    query.mStanding = [this](const EngineTarget& aEngine) {
      return mCore->mPlaces.LimitOf(aEngine) ? RateStanding::kExhausted : RateStanding::kFree;
    };
  }
  const auto choice = mCore->mBalancer.PickEngine(*plan, mService->mName, query, mCore->Now());
  if (choice.mEngine == nullptr) {
    return std::nullopt;
  }
  const EngineTarget& engine = *choice.mEngine;
  Sending sending;
  sending.mTarget = { engine.mId, engine.mAddress, engine.mBorn, engine.mDataCentre };
  return sending;
}

PlaceRequest
Exchange::MakePlaceRequest(bool aAgain) const
{
  PlaceRequest request;
  request.mService = mService->mName;
  request.mTried = LeftOut();
  // What goes on, or was let down once, has waited already.
  request.mClaimant = { aAgain ? 0 : std::clamp(mPriority, 0, kLeastUrgent), ShortId(mCustomer) };
  request.mAgain = aAgain;
  if (!mService->mPool) {
    request.mOnce = !mRoute->Repeatable();
    request.mDrawn = aAgain; // see PlaceAndSend()
    return request;
  }
  const EnginePool& pool = *mService->mPool;
  const ModelSpec* model = pool.FindModel(mFacts.mModel);
  const double seconds = std::max(0.0, mFacts.mPromptTokens) /
                         std::max(1.0, pool.mPromptTokensPerSecond) *
                         (model == nullptr ? 1.0 : model->mPace);
  request.mModel = mFacts.mModel;
  request.mWork = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  request.mObjective = mStreamStarted || aAgain ? Duration::zero() : mRoute->mObjective;
  return request;
}

void
Exchange::AskForPlace(bool aAgain, PlaceAgent::Done aDone)
{
  mCore->mPlaces.Ask(
    MakePlaceRequest(aAgain),
    [self = shared_from_this(), done = std::move(aDone)](const Place& aPlace) {
      if (aPlace.mOutcome != PlaceOutcome::kNoBudget || self->mPhase == Phase::kOver) {
        done(aPlace);
        return;
      }
      self->mCore->mRetries.Ask(self->mService->mName, [self, done, aPlace](bool aGranted) {
        if (!aGranted || self->mPhase == Phase::kOver) {
          done(aPlace);
          return;
        }
        PlaceRequest request = self->MakePlaceRequest(true);
        request.mDrawn = true;
        self->mCore->mPlaces.Ask(request, done);
      });
    });
}

Sending
Exchange::SendingTo(const Place& aPlace)
{
  Sending sending;
  sending.mTarget = {
    aPlace.mHead.mId, aPlace.mHead.mAddress, aPlace.mHead.mBorn, aPlace.mHead.mDataCentre
  };
  sending.mEpoch = aPlace.mEpoch;
  sending.mGroup = aPlace.mGroup;
  sending.mTicket = aPlace.mTicket;
  sending.mRate = aPlace.mRate;
  return sending;
}

void
Exchange::PlaceAndSend(bool aAgain, const NoPlace& aOtherwise)
{
  if (mService->mPool || !aAgain) {
    FindAndSend(aAgain, aOtherwise);
    return;
  }
  mPhase = Phase::kPlacing;
  mCore->mRetries.Ask(mService->mName, [self = shared_from_this(), aOtherwise](bool aGranted) {
    if (self->mPhase == Phase::kOver) {
      return; // the caller has left
    }
    if (!aGranted) {
      aOtherwise(ToString(PlaceOutcome::kNoBudget));
      return;
    }
    self->FindAndSend(true, aOtherwise);
  });
}

void
Exchange::FindAndSend(bool aAgain, const NoPlace& aOtherwise)
{
  if (!mService->mPool && !mCore->mPlaces.HasLimits(mService->mName)) {
    auto sending = ChooseEngine();
    if (!sending) {
      aOtherwise("no_engine");
      return;
    }
    SendToEngine(std::move(*sending));
    return;
  }
  mPhase = Phase::kPlacing;
  AskForPlace(aAgain, [self = shared_from_this(), aOtherwise](const Place& aPlace) {
    if (self->mPhase == Phase::kOver) {
      self->mCore->mPlaces.End(aPlace.mTicket); // the caller has left
      return;
    }
    self->mFoundFull = aPlace.mOutcome == PlaceOutcome::kFull;
    self->mLimitedFor = aPlace.mRetryAfter;
    if (aPlace.mOutcome != PlaceOutcome::kGranted) {
      aOtherwise(ToString(aPlace.mOutcome));
      return;
    }
    if (!self->IsUsable(aPlace)) {
      self->mCore->mPlaces.End(aPlace.mTicket);
      aOtherwise(ToString(PlaceOutcome::kNoReplica));
      return;
    }
    self->SendToEngine(SendingTo(aPlace));
  });
}

bool
Exchange::MayAskFurther() const
{
  return mAsked.Count() - (StaleEngine() != nullptr ? 1 : 0) < mRoute->mMaxAttempts;
}

std::set<std::string>
Exchange::AskOnceMore() const
{
  if (!mService->mPool || !mRoute->Repeatable()) {
    return {};
  }
  const auto formedAnew = [this](const std::string& aEngine, const AttemptedReplica& aAsked) {
    const PoolReplica* replica = ReplicaInPlan(aAsked.mGroup);
    return replica != nullptr && replica->mHead.mId == aEngine && replica->mEpoch > aAsked.mEpoch;
  };
  std::set<std::string> engines = mAsked.Retryable(formedAnew);
  if (mCurrent.mAttempt && !mCurrent.mFailed) {
    engines.erase(mCurrent.mTarget.mEngine);
  }
  if (mNext) {
    engines.erase(mNext->mTarget.mEngine);
  }
  return engines;
}

std::set<std::string>
Exchange::SilentHeads() const
{
  std::set<std::string> heads;
  const auto replicas = mCore->mPlan->mReplicas.find(mService->mName);
  if (replicas == mCore->mPlan->mReplicas.end()) {
    return heads;
  }
  for (const auto& it : replicas->second) {
    if (mCore->mStalls.Silence(it.mHead.mId, mCore->Now()) > StallOptions().mSuspectAfter) {
      heads.insert(it.mHead.mId);
    }
  }
  return heads;
}

std::set<std::string>
Exchange::LeftOut() const
{
  std::set<std::string> barred = Barred();
  if (!mService->mPool || mSent == 0) {
    return barred;
  }
  std::set<std::string> all = SilentHeads();
  all.insert(barred.begin(), barred.end());
  all.insert(mUnreached.begin(), mUnreached.end());
  return HasTargetBeside(all) ? all : barred; // one that is silent may go on
}

std::set<std::string>
Exchange::Barred() const
{
  std::set<std::string> engines = mTried;
  const bool further = MayAskFurther();
  if (!mService->mPool || (further && HasTargetBeside(engines))) {
    return engines;
  }
  // A desk knows of engines to leave out, not of some that alone come into question.
  const auto replicas = mCore->mPlan->mReplicas.find(mService->mName);
  if (!further && replicas != mCore->mPlan->mReplicas.end()) {
    for (const auto& it : replicas->second) {
      engines.insert(it.mHead.mId);
    }
  }
  for (const auto& it : AskOnceMore()) {
    engines.erase(it);
  }
  return engines;
}

bool
Exchange::IsUsable(const Place& aPlace) const
{
  return MayAskFurther() || AskOnceMore().count(aPlace.mHead.mId) != 0;
}

bool
Exchange::HasTargetBeside(const std::set<std::string>& aLeftOut) const
{
  const TrafficPlan& plan = *mCore->mPlan;
  const Balancer& balancer = mCore->mBalancer;
  const TimePoint now = mCore->Now();
  if (!mService->mPool) {
    return balancer.PickEngine(plan, mService->mName, aLeftOut, !mRoute->Repeatable(), now) !=
           nullptr;
  }
  return balancer.PickReplica(plan, *mService, mFacts.mModel, aLeftOut, now).mReplica != nullptr;
}

bool
Exchange::HasTarget() const
{
  return HasTargetBeside(Barred());
}

bool
Exchange::HasBudget() const
{
  return (mService->mPool && mCore->mPlaces.MayTryAgain(mService->mName)) ||
         mCore->mRetries.MayTry(mService->mName);
}

UpstreamRequest
Exchange::MakeUpstreamRequest(const AttemptTarget& aTarget) const
{
  UpstreamRequest request(mRequest);
  DropHopByHop(&request);
  request.erase(http::field::expect);
  RequestStamp stamp;
  stamp.mDeadline = std::max<Duration>(Left() - kDeadlineMargin, std::chrono::milliseconds(1));
  stamp.mEngine = aTarget.mEngine;
  stamp.mCustomer = mCustomer;
  stamp.mLastEvent = mLastEvent;
  if (mService->mPool) {
    stamp.mUrgency = std::clamp(mPriority, 0, kLeastUrgent);
  }
  mCore->mDialect.mStampRequest(stamp, &request);
  const bool hadBody =
    !mRequest.body().empty() || mRequest.has_content_length() || mRequest.chunked();
  if (hadBody) {
    request.content_length(request.body().size());
  }
  return request;
}

void
Exchange::SendToEngine(Sending aTo)
{
  mPhase = Phase::kWaiting;
  mBody.clear();
  mSplitter.Reset();
  mCurrent = std::move(aTo);
  Launch(&mCurrent);
}

void
Exchange::Launch(Sending* aSending)
{
  const std::uint64_t serial = ++mLastSerial;
  aSending->mSerial = serial;
  aSending->mSentAt = mCore->Now();
  mTried.insert(aSending->mTarget.mEngine);
  ++mCore->mCounters.mAttempts;
  aSending->mRepeats = mStale && mStale->mTarget.mEngine == aSending->mTarget.mEngine;
  if (mSent > 0) {
    ++mCore->mCounters.mSecondAttempts;
    mCore->mCounters.mResumes += mStreamStarted ? 1 : 0;
  }
  mSent += aSending->mRepeats ? 0 : 1;
  mAsked.OnSent(aSending->mTarget.mEngine, { aSending->mGroup, aSending->mEpoch });
  CountIfLimited(*aSending);
  mCore->mBalancer.OnStart(aSending->mTarget.mEngine);
  aSending->mAttempt =
    std::make_shared<Attempt>(&mCore->mConnector, &mCore->mConnections, aSending->mTarget);
  aSending->mAttempt->SetMostIdle(
    MostIdleConnections(mService->mMaxConnections, mCore->mPlan->mListedNodes));
  // A sending that was dropped reports nothing; the serial tells apart the two that may stand.
  AttemptEvents events;
  events.mOnHead = [self = shared_from_this(), serial](int aStatus, const HeaderFields& aFields) {
    if (self->IsCurrent(serial)) {
      self->OnHead(aStatus, aFields);
    } else if (self->IsNext(serial)) {
      self->OnNextHead(aStatus, aFields);
    }
  };
  events.mOnBody = [self = shared_from_this(), serial](std::string_view aBytes) {
    if (self->IsNext(serial)) {
      self->TakeNext(); // it writes, and the first one has not since it was asked
    }
    if (self->IsCurrent(serial)) {
      self->OnBody(aBytes);
    }
  };
  events.mOnEnd = [self = shared_from_this(), serial](const AttemptEnd& aEnd) {
    if (self->IsCurrent(serial)) {
      self->OnEnd(aEnd);
    } else if (self->IsNext(serial)) {
      self->OnNextEnd(aEnd);
    }
  };
  // What has failed once may have failed by the path, which a kept connection does not show.
  const bool heard =
    mCore->Now() - mCore->mConnector.HeardAt(aSending->mTarget.mEngine) < kHeardLately;
  const bool fresh = !mRoute->Repeatable() || mAvoidsKept || (mSent > 1 && !heard);
  aSending->mAttempt->Start(MakeUpstreamRequest(aSending->mTarget), fresh, std::move(events));
}

} // namespace pepperbay
