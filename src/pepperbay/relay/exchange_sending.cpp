/// @file
/// @brief Dispatch of a request: an engine or a slot is selected, and the request is sent there.

#include "exchange.hpp"
#include "hop_by_hop.hpp"
#include "pepperbay/base/hash.hpp"
#include "pepperbay/routing/find_engine.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {

/// An engine's deadline is earlier than the caller's by this margin, so that its answer at the
/// deadline arrives before the caller disconnects.
constexpr std::chrono::milliseconds kDeadlineMargin{ 20 };
constexpr int kLeastUrgent = 9;
/// An engine that sent bytes within this time counts as reachable: events are 50 to 80 ms apart.
constexpr std::chrono::milliseconds kHeardLately{ 150 };

} // namespace

const EngineTarget*
Exchange::StaleEngine() const
{
  if (!mStale || mTried.count(mStale->mTarget.mEngine) != 0) {
    return nullptr; // the request was already sent there again
  }
  if (mService->mPool || mCore->mPlaces.HasLimits(mService->mName)) {
    return nullptr; // the node that assigns slots selects the engine
  }
  const EngineTarget* engine = FindEngine(*mCore->mPlan, ShortId(mStale->mTarget.mEngine));
  return engine != nullptr && engine->mBorn == mStale->mTarget.mBorn ? engine : nullptr;
}

std::optional<EngineDispatch>
Exchange::ChooseEngine(bool aHedge) const
{
  const auto plan = mCore->mPlan;
  if (const EngineTarget* engine = StaleEngine()) {
    EngineDispatch again;
    again.mTarget = { engine->mId, engine->mAddress, engine->mBorn, engine->mDataCentre };
    return again;
  }
  Balancer::EngineQuery query;
  query.mTried = ShortIds(ExcludedEngines());
  query.mOnce = !mRoute->Repeatable();
  query.mHedge = aHedge;
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
  EngineDispatch dispatch;
  dispatch.mTarget = { engine.mId, engine.mAddress, engine.mBorn, engine.mDataCentre };
  dispatch.mViewAge = EnginesAge(*plan, mCore->Now());
  return dispatch;
}

SlotRequest
Exchange::MakeSlotRequest(bool aAgain) const
{
  SlotRequest request;
  request.mService = mService->mName;
  request.mTried = ExcludedEngines();
  // A retry gets the highest urgency, since it has waited already.
  request.mClaimant = { aAgain ? 0 : std::clamp(mPriority, 0, kLeastUrgent), ShortId(mCustomer) };
  request.mSecondAttempt = aAgain;
  if (!mService->mPool) {
    request.mOnce = !mRoute->Repeatable();
    request.mBudgetDrawn = aAgain; // AllocateAndSend() has drawn on the budget
    return request;
  }
  const EnginePool& pool = *mService->mPool;
  const ModelSpec* model = pool.FindModel(mMetadata.mModel);
  const double seconds = std::max(0.0, mMetadata.mPromptTokens) /
                         std::max(1.0, pool.mPromptTokensPerSecond) *
                         (model == nullptr ? 1.0 : model->mPace);
  request.mModel = mMetadata.mModel;
  request.mWork = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  request.mObjective = mStreamStarted || aAgain ? Duration::zero() : mRoute->mObjective;
  return request;
}

void
Exchange::RequestSlot(bool aAgain, SlotAgent::Done aDone)
{
  mCore->mPlaces.Ask(
    MakeSlotRequest(aAgain),
    [self = shared_from_this(), done = std::move(aDone)](const SlotResult& aPlace) {
      if (aPlace.mOutcome != SlotOutcome::kNoBudget || self->mPhase == Phase::kFinished) {
        done(aPlace);
        return;
      }
      self->mCore->mRetries.Ask(self->mService->mName, [self, done, aPlace](bool aGranted) {
        if (!aGranted || self->mPhase == Phase::kFinished) {
          done(aPlace);
          return;
        }
        SlotRequest request = self->MakeSlotRequest(true);
        request.mBudgetDrawn = true;
        self->mCore->mPlaces.Ask(request, done);
      });
    });
}

EngineDispatch
Exchange::DispatchTo(const SlotResult& aPlace)
{
  EngineDispatch dispatch;
  dispatch.mTarget = {
    aPlace.mHead.mId, aPlace.mHead.mAddress, aPlace.mHead.mBorn, aPlace.mHead.mDataCentre
  };
  dispatch.mEpoch = aPlace.mEpoch;
  dispatch.mGroup = aPlace.mGroup;
  dispatch.mTicket = aPlace.mTicket;
  dispatch.mViewAge = aPlace.mViewAge;
  dispatch.mRate = aPlace.mRate;
  return dispatch;
}

void
Exchange::AllocateAndSend(bool aAgain, const OnNoTarget& aOtherwise)
{
  if (mService->mPool || !aAgain) {
    SelectAndSend(aAgain, aOtherwise);
    return;
  }
  mPhase = Phase::kAwaitingSlot;
  mCore->mRetries.Ask(mService->mName, [self = shared_from_this(), aOtherwise](bool aGranted) {
    if (self->mPhase == Phase::kFinished) {
      return; // the caller has disconnected
    }
    if (!aGranted) {
      aOtherwise(ToString(SlotOutcome::kNoBudget));
      return;
    }
    self->SelectAndSend(true, aOtherwise);
  });
}

void
Exchange::SelectAndSend(bool aAgain, const OnNoTarget& aOtherwise)
{
  if (!mService->mPool && !mCore->mPlaces.HasLimits(mService->mName)) {
    auto dispatch = ChooseEngine(false);
    if (!dispatch) {
      aOtherwise("no_engine");
      return;
    }
    SendToEngine(std::move(*dispatch));
    return;
  }
  mPhase = Phase::kAwaitingSlot;
  RequestSlot(aAgain, [self = shared_from_this(), aOtherwise](const SlotResult& aPlace) {
    if (self->mPhase == Phase::kFinished) {
      self->mCore->mPlaces.End(aPlace.mTicket); // the caller has disconnected
      return;
    }
    self->mAllFull = aPlace.mOutcome == SlotOutcome::kFull;
    self->mRateLimitedFor = aPlace.mRetryAfter;
    if (aPlace.mOutcome != SlotOutcome::kGranted) {
      aOtherwise(ToString(aPlace.mOutcome));
      return;
    }
    if (!self->IsUsable(aPlace)) {
      self->mCore->mPlaces.End(aPlace.mTicket);
      aOtherwise(ToString(SlotOutcome::kNoReplica));
      return;
    }
    self->SendToEngine(DispatchTo(aPlace));
  });
}

bool
Exchange::MayTryNewEngine() const
{
  return mAsked.Count() - (StaleEngine() != nullptr ? 1 : 0) < mRoute->mMaxAttempts;
}

std::set<std::string>
Exchange::RepeatableEngines() const
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
  if (mHedge) {
    engines.erase(mHedge->mTarget.mEngine);
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
Exchange::ExcludedEngines() const
{
  std::set<std::string> forbidden = ForbiddenEngines();
  if (!mService->mPool || mSent == 0) {
    return forbidden;
  }
  std::set<std::string> all = SilentHeads();
  all.insert(forbidden.begin(), forbidden.end());
  all.insert(mUnreached.begin(), mUnreached.end());
  return HasTargetExcluding(all) ? all : forbidden; // a silent engine may continue
}

std::set<std::string>
Exchange::ForbiddenEngines() const
{
  std::set<std::string> engines = mTried;
  const bool further = MayTryNewEngine();
  if (!mService->mPool || (further && HasTargetExcluding(engines))) {
    return engines;
  }
  // A slot request can exclude engines but cannot list the only permitted ones. So all other heads
  // are excluded.
  const auto replicas = mCore->mPlan->mReplicas.find(mService->mName);
  if (!further && replicas != mCore->mPlan->mReplicas.end()) {
    for (const auto& it : replicas->second) {
      engines.insert(it.mHead.mId);
    }
  }
  for (const auto& it : RepeatableEngines()) {
    engines.erase(it);
  }
  return engines;
}

bool
Exchange::IsUsable(const SlotResult& aPlace) const
{
  return MayTryNewEngine() || RepeatableEngines().count(aPlace.mHead.mId) != 0;
}

bool
Exchange::HasTargetExcluding(const std::set<std::string>& aExcluded) const
{
  const TrafficPlan& plan = *mCore->mPlan;
  const Balancer& balancer = mCore->mBalancer;
  const TimePoint now = mCore->Now();
  if (!mService->mPool) {
    return balancer.PickEngine(plan, mService->mName, aExcluded, !mRoute->Repeatable(), now) !=
           nullptr;
  }
  return balancer.PickReplica(plan, *mService, mMetadata.mModel, aExcluded, now).mReplica !=
         nullptr;
}

bool
Exchange::HasTarget() const
{
  return HasTargetExcluding(ForbiddenEngines());
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
  stamp.mDeadline = std::max<Duration>(TimeLeft() - kDeadlineMargin, std::chrono::milliseconds(1));
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
Exchange::SendToEngine(EngineDispatch aTo)
{
  mPhase = Phase::kWaiting;
  mBody.clear();
  mSplitter.Reset();
  mCurrent = std::move(aTo);
  Launch(&mCurrent);
}

void
Exchange::NoteView(const EngineDispatch& aDispatch)
{
  if (aDispatch.mViewAge) {
    mCore->NoteViewAge(*aDispatch.mViewAge);
  }
  const AttemptTarget& target = aDispatch.mTarget;
  const EngineDeparture* departure = FindDeparture(*mCore->mPlan, target.mEngine, target.mBorn);
  if (departure != nullptr) {
    ++mCore->mCounters.mSentToLeaving;
    LogSentToLeaving(aDispatch, *departure);
  }
}

void
Exchange::Launch(EngineDispatch* aDispatch)
{
  const std::uint64_t serial = ++mLastSerial;
  aDispatch->mSerial = serial;
  aDispatch->mSentAt = mCore->Now();
  mTried.insert(aDispatch->mTarget.mEngine);
  ++mCore->mCounters.mAttempts;
  NoteView(*aDispatch);
  aDispatch->mRepeats = mStale && mStale->mTarget.mEngine == aDispatch->mTarget.mEngine;
  if (mSent > 0) {
    ++mCore->mCounters.mSecondAttempts;
    mCore->mCounters.mResumes += mStreamStarted ? 1 : 0;
  }
  if (!mService->mPool) {
    mCore->mBalancer.Unanswered().OnSent(aDispatch->mTarget.mEngine, mSent > 0, aDispatch->mSentAt);
  }
  mSent += aDispatch->mRepeats ? 0 : 1;
  mAsked.OnSent(aDispatch->mTarget.mEngine, { aDispatch->mGroup, aDispatch->mEpoch });
  CountIfLimited(*aDispatch);
  mCore->mBalancer.OnStart(aDispatch->mTarget.mEngine);
  aDispatch->mAttempt =
    std::make_shared<Attempt>(&mCore->mConnector, &mCore->mConnections, aDispatch->mTarget);
  aDispatch->mAttempt->SetMaxIdle(
    MaxIdleConnections(mService->mMaxConnections, mCore->mPlan->mListedNodes));
  // A cancelled attempt reports no events; the serial distinguishes the current one from the hedge.
  AttemptEvents events;
  events.mOnHead = [self = shared_from_this(), serial](int aStatus, const HeaderFields& aFields) {
    if (self->IsCurrent(serial)) {
      self->OnHead(aStatus, aFields);
    } else if (self->IsHedge(serial)) {
      self->OnHedgeHead(aStatus, aFields);
    }
  };
  events.mOnBody = [self = shared_from_this(), serial](std::string_view aBytes) {
    if (self->IsHedge(serial)) {
      self->PromoteHedge(); // it sends events, and the first engine has sent none since the hedge
    }
    if (self->IsCurrent(serial)) {
      self->OnBody(aBytes);
    }
  };
  events.mOnEnd = [self = shared_from_this(), serial](const AttemptEnd& aEnd) {
    if (self->IsCurrent(serial)) {
      self->OnEnd(aEnd);
    } else if (self->IsHedge(serial)) {
      self->OnHedgeEnd(aEnd);
    }
  };
  // The first attempt may have failed because of the network path, which a pooled connection does
  // not show. So a retry uses a new connection unless the engine was reached recently.
  const bool heard =
    mCore->Now() - mCore->mConnector.HeardAt(aDispatch->mTarget.mEngine) < kHeardLately;
  const bool fresh = !mRoute->Repeatable() || mAvoidsPooled || (mSent > 1 && !heard);
  aDispatch->mAttempt->Start(MakeUpstreamRequest(aDispatch->mTarget), fresh, std::move(events));
}

} // namespace pepperbay
