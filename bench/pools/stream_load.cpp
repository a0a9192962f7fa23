#include "stream_load.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace pepperbay::pools {
namespace {

constexpr double kStepSeconds = std::chrono::duration<double>(PoolWorld::kStep).count();
/// Prompts may take this much of an engine's time while others write there: up to 2,048 tokens a
/// step, 36 ms, beside some 8 ms of the step itself.
constexpr double kPromptShare = 0.82;
constexpr double kEventsSpread = 0.7;
constexpr int kMostSent = 2;
constexpr double kRetryShare = 0.16; // the users' budget of 0.2 with the product's caution
constexpr double kRetrySlack = 100;

} // namespace

StreamLoad::StreamLoad(LoadOptions aOptions, PoolWorld* aWorld)
  : mOptions(std::move(aOptions))
  , mWorld(aWorld)
  , mBegun(aWorld->Now())
  , mRandom(mOptions.mSeed)
  , mBalancer(mOptions.mBalancer)
  , mBudget({ kRetryShare, kRetrySlack })
{
  mService.mName = "pool";
  mService.mPool = mWorld->Pool();
}

void
StreamLoad::SetLimits()
{
  if (mOptions.mLimits == LimitWay::kNone || !mLimits.empty()) {
    return;
  }
  mLedger.SetLeases({ { "", { mWorld->Now(), TimePoint::max() } } });
  std::map<std::string, double> perSecond;
  for (const auto& it : mOptions.mRequests) {
    perSecond[it.mModel] += it.mPerSecond * mOptions.mFactor;
  }
  std::map<std::string, std::size_t> replicas;
  for (const auto& it : mPlan.mReplicas["pool"]) {
    ++replicas[it.mModel];
  }
  std::size_t n = 0;
  for (const auto& it : mPlan.mReplicas["pool"]) {
    if (n++ % mOptions.mLimitedHeads == 0) {
      mLimits[it.mHead.mId] =
        perSecond[it.mModel] / static_cast<double>(replicas[it.mModel]) * mOptions.mLimitPart;
    }
  }
}

std::optional<double>
StreamLoad::LimitOf(const std::string& aHead) const
{
  const auto it = mLimits.find(aHead);
  return it == mLimits.end() ? std::nullopt : std::optional<double>(it->second);
}

RateStanding
StreamLoad::StandingOf(const EngineTarget& aHead)
{
  const auto limit = LimitOf(aHead.mId);
  if (!limit || mOptions.mLimits == LimitWay::kIgnored) {
    return RateStanding::kFree;
  }
  bool may = false;
  if (mOptions.mLimits == LimitWay::kCounted) {
    may = mLedger.MayTake({ ShortId(aHead.mId), "", *limit }, "", {}, mWorld->Now());
  } else if (mOptions.mLimits == LimitWay::kEvenShares) {
    const TokenBucket::Options part{ *limit / static_cast<double>(mOptions.mNodes), 1.0 };
    may =
      mParts.try_emplace({ aHead.mId, mNode }, part, mBegun).first->second.Level(mWorld->Now()) >=
      1.0;
  }
  return may ? RateStanding::kMayTake : RateStanding::kExhausted;
}

void
StreamLoad::CountLimited(const EngineTarget& aHead)
{
  const auto limit = LimitOf(aHead.mId);
  if (!limit) {
    return;
  }
  ++mResult.mSentToLimited;
  if (mOptions.mLimits == LimitWay::kCounted) {
    mLedger.Take({ ShortId(aHead.mId), "", *limit }, "", {}, mWorld->Now());
  } else if (mOptions.mLimits == LimitWay::kEvenShares) {
    mParts.at({ aHead.mId, mNode }).Take(mWorld->Now());
  }
}

void
StreamLoad::Step()
{
  MakePlan();
  SetLimits();
  for (const auto& [head, limit] : mLimits) {
    mResult.mLimitsAllow += limit * kStepSeconds;
  }
  Arrive();
  for (const auto& [name, replica] : mWorld->Planned()) {
    Replica& state = mReplicas[replica.mMembers.front()];
    DropImpatient(replica.mMembers.front(), state);
    if (mWorld->IsWhole(replica)) {
      state.mStillSince = TimePoint{};
      Work(replica, state);
    } else if (state.mStillSince == TimePoint{}) {
      state.mStillSince = mWorld->Now();
    }
  }
  for (auto& [head, state] : mReplicas) {
    if (state.mStillSince != TimePoint{} &&
        mWorld->Now() - state.mStillSince >= mOptions.mLeaveSilent) {
      LeaveStill(head, state);
    }
  }
}

void
StreamLoad::MakePlan()
{
  mPlan.mReplicas["pool"].clear();
  std::set<std::string> heads;
  for (const auto& [name, replica] : mWorld->Planned()) {
    PoolReplica target;
    target.mGroup = name;
    target.mEpoch = replica.mEpoch;
    target.mModel = replica.mModel;
    target.mHead = { replica.mMembers.front(), "", "" };
    // A head that was told to open serves a while after that.
    target.mSuspended = replica.mPhase != ReplicaPhase::kOpen || replica.mLeavingSince ||
                        mWorld->Now() - replica.mSince < mWorld->Pool().mFormTime;
    heads.insert(target.mHead.mId);
    mPlan.mReplicas["pool"].push_back(std::move(target));
  }
  // A head that is gone from the plan stands still for good.
  for (auto& [head, state] : mReplicas) {
    if (heads.count(head) == 0 && state.mStillSince == TimePoint{}) {
      state.mStillSince = mWorld->Now();
    }
  }
}

void
StreamLoad::Arrive()
{
  std::vector<Stream> back;
  for (auto it = mAway.begin(); it != mAway.end();) {
    if (mWorld->Now() < it->first) {
      ++it;
      continue;
    }
    back.push_back(it->second);
    it = mAway.erase(it);
  }
  for (auto& it : back) {
    it.mTriedAt = mWorld->Now();
    Send(std::move(it));
  }
  for (const auto& spec : mOptions.mRequests) {
    const double perSecond = spec.mPerSecond * mOptions.mFactor * FactorOf(spec.mModel);
    std::poisson_distribution<int> arrivals(perSecond * kStepSeconds);
    for (int n = arrivals(mRandom); n > 0; --n) {
      Stream stream;
      stream.mSpec = &spec;
      stream.mArrived = mWorld->Now();
      stream.mTriedAt = stream.mArrived;
      stream.mPrompt = std::min(spec.mMost, LogNormal(spec.mPrompt, spec.mSpread));
      stream.mEventsLeft = std::max(1.0, LogNormal(spec.mEvents, kEventsSpread));
      ++mResult.mAsked;
      ++mResult.mModels[spec.mModel].mAsked;
      mBudget.OnRequest();
      Send(std::move(stream));
    }
  }
}

double
StreamLoad::FactorOf(const std::string& aModel) const
{
  double factor = 1;
  const Duration since = mWorld->Now() - mBegun;
  for (const auto& it : mOptions.mTurns) {
    factor *= it.mModel == aModel && since >= it.mFrom && since < it.mTo ? it.mFactor : 1.0;
  }
  return factor;
}

int
StreamLoad::InFlight(const std::string& aHead) const
{
  const auto it = mReplicas.find(aHead);
  return it == mReplicas.end() ? 0 : static_cast<int>(it->second.mStreams.size());
}

double
StreamLoad::LogNormal(double aMean, double aSpread)
{
  std::lognormal_distribution<double> draw(std::log(aMean) - aSpread * aSpread / 2, aSpread);
  return draw(mRandom);
}

const PoolReplica*
StreamLoad::Choose(const Stream& aStream)
{
  if (mOptions.mChoice == Choice::kBalancer) {
    Balancer::ReplicaQuery query;
    query.mModel = aStream.mSpec->mModel;
    query.mObjective = aStream.mSent == 0 ? aStream.mSpec->mObjective : Duration::zero();
    query.mTried = ShortIds(aStream.mTried);
    if (!mLimits.empty()) {
      query.mStanding = [this](const EngineTarget& aHead) { return StandingOf(aHead); };
    }
    return mBalancer.PickReplica(mPlan, mService, query, mWorld->Now()).mReplica;
  }
  std::vector<const PoolReplica*> fit;
  for (const auto& it : mPlan.mReplicas["pool"]) {
    const auto state = mReplicas.find(it.mHead.mId);
    const std::size_t n = state == mReplicas.end() ? 0 : state->second.mStreams.size();
    const auto most = static_cast<std::size_t>(mService.mPool->mSlots * 3 / 2);
    const bool tried = aStream.mTried.count(it.mHead.mId) != 0;
    if (!it.mSuspended && it.mModel == aStream.mSpec->mModel && n < most && !tried) {
      fit.push_back(&it);
    }
  }
  if (fit.empty()) {
    return nullptr;
  }
  if (mOptions.mChoice == Choice::kRoundRobin) {
    return fit[mTurn++ % fit.size()];
  }
  return *std::min_element(fit.begin(), fit.end(), [this](const auto* aLeft, const auto* aRight) {
    return mReplicas[aLeft->mHead.mId].mStreams.size() <
           mReplicas[aRight->mHead.mId].mStreams.size();
  });
}

void
StreamLoad::Send(Stream aStream)
{
  mNode = mRandom() % mOptions.mNodes;
  const PoolReplica* replica = Choose(aStream);
  if (replica == nullptr) {
    Refuse(std::move(aStream));
    return;
  }
  ++aStream.mSent;
  aStream.mTried.insert(replica->mHead.mId);
  aStream.mPromptLeft = aStream.mPrompt;
  const std::string& head = replica->mHead.mId;
  CountLimited(replica->mHead);
  mBalancer.OnStart(head);
  const double seconds = aStream.mPrompt / mService.mPool->mPromptTokensPerSecond;
  mBalancer.OnPrompt(head,
                     std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                     mWorld->Now());
  mReplicas[head].mStreams.push_back(std::move(aStream));
}

void
StreamLoad::Refuse(Stream aStream)
{
  if (aStream.mCameBack || aStream.mBegun) {
    mResult.mRefused += aStream.mBegun ? 0 : 1;
    mResult.mCut += aStream.mBegun ? 1 : 0;
    CountEnd(aStream, false);
    return;
  }
  aStream.mCameBack = true;
  std::uniform_real_distribution<double> part(0, 1);
  const auto spread = std::chrono::duration_cast<Duration>(mOptions.mSpread * part(mRandom));
  mAway.emplace_back(mWorld->Now() + mOptions.mComesBack + spread, std::move(aStream));
}

void
StreamLoad::Work(const PlannedReplica& aReplica, Replica& aState)
{
  if (aState.mStreams.empty()) {
    return;
  }
  const EnginePool& pool = *mService.mPool;
  const double pace = pool.FindModel(aReplica.mModel)->mPace;
  const auto slots = static_cast<std::size_t>(pool.mSlots);
  const std::size_t active = std::min(aState.mStreams.size(), slots);
  std::size_t writers = 0;
  double backlog = 0;
  for (std::size_t i = 0; i < active; ++i) {
    writers += aState.mStreams[i].mPromptLeft <= 0 ? 1 : 0;
    backlog += aState.mStreams[i].mPromptLeft;
  }
  const double rate = pool.mPromptTokensPerSecond / pace;
  const double share = writers == 0 ? 1.0 : kPromptShare;
  double tokens = std::min(backlog, rate * kStepSeconds * share);
  const double reading = tokens / rate;
  const double step =
    pace * std::chrono::duration<double>(pool.mStepTime +
                                         pool.mStepTimePerRequest * static_cast<int>(writers))
             .count();
  aState.mProgress += writers == 0 ? 0 : (kStepSeconds - reading) / step / pool.mStepsPerEvent;
  const double events = std::floor(aState.mProgress);
  aState.mProgress -= events;
  const TimePoint now = mWorld->Now() + PoolWorld::kStep;
  std::vector<Stream> left;
  for (std::size_t i = 0; i < aState.mStreams.size(); ++i) {
    Stream& it = aState.mStreams[i];
    if (i >= active) {
      left.push_back(std::move(it));
      continue;
    }
    if (it.mPromptLeft > 0) {
      const double part = std::min(it.mPromptLeft, tokens);
      tokens -= part;
      it.mPromptLeft -= part;
      left.push_back(std::move(it));
      continue;
    }
    if (events == 0) {
      left.push_back(std::move(it));
      continue;
    }
    if (!it.mBegun) {
      it.mBegun = true;
      it.mLate = now - it.mArrived > it.mSpec->mObjective;
    } else if (now - it.mLastEvent > it.mSpec->mLongestPause) {
      it.mLate = true;
    }
    it.mLastEvent = now;
    it.mEventsLeft -= events;
    if (it.mEventsLeft > 0) {
      left.push_back(std::move(it));
    } else {
      mBalancer.OnEnd(aReplica.mMembers.front());
      End(it, false);
    }
  }
  if (events > 0) {
    mBalancer.OnPause(aReplica.mMembers.front(), now - aState.mLastEvent, now);
    aState.mLastEvent = now;
  }
  aState.mStreams = std::move(left);
}

void
StreamLoad::DropImpatient(const std::string& aHead, Replica& aState)
{
  const auto left = [&](const Stream& aStream) {
    const Duration age = mWorld->Now() - aStream.mArrived;
    const Duration tried = mWorld->Now() - aStream.mTriedAt;
    if (age < aStream.mSpec->mDeadline && (aStream.mBegun || tried < mOptions.mPatience)) {
      return false;
    }
    mBalancer.OnEnd(aHead);
    ++mResult.mGone;
    CountEnd(aStream, false);
    return true;
  };
  auto& streams = aState.mStreams;
  streams.erase(std::remove_if(streams.begin(), streams.end(), left), streams.end());
}

void
StreamLoad::LeaveStill(const std::string& aHead, Replica& aState)
{
  std::vector<Stream> streams;
  streams.swap(aState.mStreams);
  for (auto& it : streams) {
    mBalancer.OnEnd(aHead);
    RequestProgress progress;
    progress.mRepeatable = true;
    progress.mMayHaveRun = true;
    progress.mAnswerBegun = it.mBegun;
    progress.mSent = it.mSent;
    progress.mMaxSent = kMostSent;
    progress.mLeft = it.mSpec->mDeadline - (mWorld->Now() - it.mArrived);
    progress.mHasTarget = Choose(it) != nullptr;
    progress.mHasBudget = mBudget.Left() >= 1;
    if (AfterFailure(progress) != FailureStep::kSendAgain) {
      End(it, true);
      continue;
    }
    mBudget.TakeRetry();
    ++mResult.mResumed;
    Send(std::move(it));
  }
}

void
StreamLoad::End(const Stream& aStream, bool aCut)
{
  const bool onTime = !aCut && !aStream.mLate;
  mResult.mCut += aCut ? 1 : 0;
  mResult.mOnTime += onTime ? 1 : 0;
  mResult.mLate += !aCut && aStream.mLate ? 1 : 0;
  ModelResult& model = mResult.mModels[aStream.mSpec->mModel];
  model.mOnTime += onTime ? 1 : 0;
  model.mLate += !aCut && aStream.mLate ? 1 : 0;
  CountEnd(aStream, onTime);
}

void
StreamLoad::CountEnd(const Stream& aStream, bool aOnTime)
{
  auto& [asked, onTime] =
    mSeconds[std::chrono::duration_cast<std::chrono::seconds>(aStream.mArrived.time_since_epoch())
               .count()];
  ++asked;
  onTime += aOnTime ? 1 : 0;
}

LoadResult
StreamLoad::Result() const
{
  LoadResult result = mResult;
  for (const auto& [second, counts] : mSeconds) {
    const double share = static_cast<double>(counts.second) /
                         static_cast<double>(std::max<std::size_t>(1, counts.first));
    result.mWorstSecond = std::min(result.mWorstSecond, share);
  }
  return result;
}

} // namespace pepperbay::pools
