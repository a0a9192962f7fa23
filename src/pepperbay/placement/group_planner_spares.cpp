#include "group_planner_constants.hpp"
#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>

namespace pepperbay {

void
GroupPlanner::MaintainSpares()
{
  std::map<std::string, std::map<std::string, int>> standby; // number of spares by domain and model
  std::vector<const EngineRecord*> idle;
  for (const auto& [id, engine] : *mView->mEngines) {
    if (!Usable(engine) || engine.mDomain.empty()) {
      continue;
    }
    if (InReplica(id) ? IsAwayFromItsReplicas(engine) : !IsFree(engine)) {
      Dismiss(engine);
      continue;
    }
    if (InReplica(id)) {
      continue;
    }
    const auto spare = mSpares.find(id);
    if (spare != mSpares.end()) {
      ++standby[engine.mDomain][spare->second.mModel];
      continue;
    }
    const auto staging = mStaging.find(id);
    if (staging != mStaging.end()) {
      ++standby[engine.mDomain][staging->second.mModel];
    } else {
      idle.push_back(&engine);
    }
  }
  const bool settled = mView->mNow - mLastNew >= mOptions.mSettleTime || mView->mTraffic;
  if (!settled || mOptions.mSpares == SparePolicy::kIdle) {
    return;
  }
  for (const auto* it : idle) {
    const std::string model = SpareModelFor(*it, standby[it->mDomain]);
    if (model.empty()) {
      continue;
    }
    ++standby[it->mDomain][model];
    if (!it->HasStaged(model)) {
      if (!IsOrderDue(it->mId, GroupOrderKind::kStage) || !MayLoad()) {
        continue;
      }
      GroupOrder order;
      order.mKind = GroupOrderKind::kStage;
      order.mFence = mView->mFence;
      order.mEngine = it->mId;
      order.mModel = model;
      if (QueueOrder(order)) {
        mStaging[it->mId] = { model, mView->mNow };
      }
      continue;
    }
    if (mOptions.mSpares != SparePolicy::kStaged) {
      mSpares[it->mId] = { model, NextEpoch(), false };
    }
  }
  for (auto it = mStaging.begin(); it != mStaging.end();) {
    const EngineRecord* engine = Find(it->first);
    const bool staged = engine == nullptr || engine->HasStaged(it->second.mModel);
    it = staged ? mStaging.erase(it) : std::next(it);
  }
  for (auto it = mSpares.begin(); it != mSpares.end();) {
    if (Find(it->first) == nullptr) {
      it = mSpares.erase(it);
      continue;
    }
    Spare& spare = it->second;
    const bool forAll = mOptions.mSpares == SparePolicy::kStandbyForAll;
    if (forAll && spare.mReady && IsFree(*Find(it->first)) && Usable(it->first)) {
      StageOther(*Find(it->first), spare.mModel);
    }
    if (!spare.mReady && Usable(it->first) && IsFree(*Find(it->first)) &&
        !MayJoinLate(it->first, "")) {
      GroupOrder order;
      order.mKind = GroupOrderKind::kJoin;
      order.mFence = mView->mFence;
      order.mEngine = it->first;
      order.mGroup = kSparePrefix + it->first;
      order.mEpoch = spare.mEpoch;
      order.mModel = spare.mModel;
      order.mMembers = { it->first };
      QueueOrder(order);
    }
    ++it;
  }
  PrestageWeights();
}

bool
GroupPlanner::PrestagesIn(const std::string& aDomain) const
{
  if (!mView->mTraffic || mDomainsWithLosses.count(aDomain) != 0) {
    return true;
  }
  return std::any_of(mUses.begin(), mUses.end(), [this](const ModelUse& aUse) {
    return aUse.mReplicas > 0 &&
           SlotUtilisation(aUse, mView->mPool->mSlots) > mOptions.mPrestageUtilisation;
  });
}

void
GroupPlanner::PrestageWeights()
{
  if (!mOptions.mJoinSurvivors || mOptions.mSpares != SparePolicy::kStandbyForAll) {
    return;
  }
  const int atOnce = mView->mPool->mLoadsAtOnce;
  const int ahead =
    std::max(mOptions.mMinPrestageLoads, static_cast<int>(atOnce * mOptions.mPrestageShare));
  const int most = mView->mTraffic ? ahead : atOnce;
  for (const auto& [name, replica] : mReplicas) {
    if (replica.mPhase != ReplicaPhase::kOpen || !PrestagesIn(replica.mDomain)) {
      continue;
    }
    for (const auto& it : replica.mMembers) {
      if (static_cast<int>(mStaging.size()) >= most) {
        return;
      }
      const EngineRecord* engine = Find(it);
      if (engine != nullptr && Usable(*engine) && engine->HasStaged(replica.mModel)) {
        StageOther(*engine, replica.mModel);
      }
    }
  }
}

void
GroupPlanner::StageOther(const EngineRecord& aEngine, const std::string& aModel)
{
  // A spare joins the model of its last group in 200 ms whatever weights its host holds. The host
  // can therefore hold the weights of another model, and one spare covers two models.
  for (const auto& it : mView->mPool->mModels) {
    if (it.mName == aModel || aEngine.HasStaged(it.mName) || mStaging.count(aEngine.mId) != 0) {
      continue;
    }
    if (!IsOrderDue(aEngine.mId, GroupOrderKind::kStage) || !MayLoad()) {
      return;
    }
    GroupOrder order;
    order.mKind = GroupOrderKind::kStage;
    order.mFence = mView->mFence;
    order.mEngine = aEngine.mId;
    order.mModel = it.mName;
    if (QueueOrder(order)) {
      mStaging[aEngine.mId] = { it.mName, mView->mNow };
    }
    return;
  }
}

bool
GroupPlanner::IsAwayFromItsReplicas(const EngineRecord& aEngine) const
{
  // A broken replica that lacks engines would claim an engine that can join only after leaving
  // another replica.
  const auto& names = mReplicasOf.at(aEngine.mId);
  return std::all_of(names.begin(), names.end(), [&](const std::string& aName) {
    return mReplicas.at(aName).mPhase == ReplicaPhase::kBroken && IsInOtherReplica(aEngine, aName);
  });
}

void
GroupPlanner::Dismiss(const EngineRecord& aEngine)
{
  // The engine was replaced while it could not be reached, and it states that it still belongs to a
  // replica that may serve. Ordering it elsewhere now would put it into two replicas at once.
  mSpares.erase(aEngine.mId);
  GroupOrder order;
  order.mKind = GroupOrderKind::kLeave;
  order.mFence = mView->mFence;
  order.mEngine = aEngine.mId;
  order.mGroup = PositionOf(aEngine).mName;
  order.mEpoch = PositionOf(aEngine).mEpoch;
  QueueOrder(order);
}

std::string
GroupPlanner::SpareModelFor(const EngineRecord& aEngine,
                            const std::map<std::string, int>& aStandby) const
{
  // A spare is most useful for the model whose members in its domain are most likely to be lost:
  // the one with the most members per spare.
  std::map<std::string, std::size_t> members;
  std::map<std::string, std::size_t> missing; // engines that replicas wait for
  for (const auto& [name, replica] : mReplicas) {
    if (replica.mDomain != aEngine.mDomain) {
      continue;
    }
    members[replica.mModel] += replica.mMembers.size();
    if (mOptions.mJoinSurvivors) {
      missing[replica.mModel] += MissingMembers(replica);
    }
  }
  for (const auto& [model, n] : missing) {
    const auto have = aStandby.find(model);
    if (n > static_cast<std::size_t>(have == aStandby.end() ? 0 : have->second)) {
      return model;
    }
  }
  std::string best;
  double bestWorth = 0;
  std::size_t bestSize = 0; // ties go to the smaller model, so that no model is without a spare
  for (const auto& it : mView->mPool->mModels) {
    const auto n = members.find(it.mName);
    const auto have = aStandby.find(it.mName);
    constexpr double kStagedWorth = 1.5; // a saved load outweighs a slightly uneven distribution
    double worth = n == members.end() ? it.mShare : static_cast<double>(n->second);
    worth /= 1.0 + (have == aStandby.end() ? 0 : have->second);
    worth *= aEngine.HasStaged(it.mName) ? kStagedWorth : 1.0;
    if (worth > bestWorth || (worth == bestWorth && it.mSize < bestSize)) {
      best = it.mName;
      bestWorth = worth;
      bestSize = it.mSize;
    }
  }
  return best;
}

bool
GroupPlanner::MayLoad()
{
  const TimePoint now = mView->mNow;
  mLoads.erase(std::remove_if(mLoads.begin(),
                              mLoads.end(),
                              [now](TimePoint aBegun) { return now - aBegun >= kLoadWindow; }),
               mLoads.end());
  if (mView->mTraffic && static_cast<double>(mLoads.size()) + 1 > mView->mPool->mLoadsPerSecond) {
    return false;
  }
  mLoads.push_back(now);
  return true;
}

} // namespace pepperbay
