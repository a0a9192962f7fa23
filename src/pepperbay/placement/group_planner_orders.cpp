#include "group_planner_constants.hpp"
#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>

namespace pepperbay {

void
GroupPlanner::Open(PlannedReplica& aReplica)
{
  aReplica.mPhase = ReplicaPhase::kOpening;
  GroupOrder order;
  order.mFence = mView->mFence;
  order.mGroup = aReplica.mName;
  order.mEpoch = aReplica.mEpoch;
  order.mKind = GroupOrderKind::kOpen;
  order.mEngine = aReplica.mMembers.front();
  QueueOrder(order);
}

void
GroupPlanner::Join(const PlannedReplica& aReplica)
{
  GroupOrder order;
  order.mFence = mView->mFence;
  order.mGroup = aReplica.mName;
  order.mEpoch = aReplica.mEpoch;
  order.mKind = GroupOrderKind::kJoin;
  order.mModel = aReplica.mModel;
  order.mMembers = aReplica.mMembers;
  for (const auto& it : aReplica.mMembers) {
    if (aReplica.mReady.count(it) == 0) {
      order.mEngine = it;
      QueueOrder(order);
    }
  }
}

void
GroupPlanner::AdvanceReplicas()
{
  std::vector<PlannedReplica*> joining;
  for (auto& [name, replica] : mReplicas) {
    if (replica.mPhase != ReplicaPhase::kForming && replica.mPhase != ReplicaPhase::kOpening) {
      continue;
    }
    UpdateReadiness(replica);
    if (replica.AllReady()) {
      Open(replica); // before any joins: the number of orders per round is limited
    } else {
      joining.push_back(&replica);
    }
  }
  for (const auto* it : joining) {
    Join(*it);
  }
}

void
GroupPlanner::UpdateReadiness(PlannedReplica& aReplica)
{
  for (const auto& it : aReplica.mMembers) {
    const EngineRecord* engine = Find(it);
    const GroupPlace& place = engine->mGroup;
    if (!IsNewestIncarnation(it, engine->mBorn)) {
      continue;
    }
    if (place.mName == aReplica.mName && place.mEpoch == aReplica.mEpoch &&
        (place.mPhase == GroupPhase::kReady || place.mPhase == GroupPhase::kOpen)) {
      aReplica.mReady.insert(it);
    }
  }
}

bool
GroupPlanner::IsOrderDue(const std::string& aEngine, GroupOrderKind aKind) const
{
  if (static_cast<int>(mOrders.size()) >= mView->mMaxOrders) {
    return false;
  }
  const auto it = mPending.find(aEngine + " " + ToString(aKind));
  return it == mPending.end() || (!it->second.mWaiting && mView->mNow >= it->second.mDue);
}

bool
GroupPlanner::QueueOrder(GroupOrder aOrder)
{
  if (!IsOrderDue(aOrder.mEngine, aOrder.mKind)) {
    return false;
  }
  const EngineRecord* engine = Find(aOrder.mEngine);
  if (engine == nullptr) {
    return false;
  }
  if (aOrder.mKind == GroupOrderKind::kJoin && !(MayLoadWeights(aOrder) && GuardJoin(aOrder))) {
    return false;
  }
  if (aOrder.mKind == GroupOrderKind::kLeave && !NameAccepted(aOrder)) {
    return false;
  }
  Pending& pending = mPending[aOrder.mEngine + " " + ToString(aOrder.mKind)];
  pending.mWaiting = true;
  pending.mLoads =
    aOrder.mKind == GroupOrderKind::kJoin && JoinTime(*engine, aOrder.mModel) > kRejoinTime;
  aOrder.mAddress = engine->mAddress;
  const auto incarnation = mEngineIncarnations.find(aOrder.mEngine);
  aOrder.mBorn = incarnation == mEngineIncarnations.end() ? WallTime{} : incarnation->second.mBorn;
  mOrders.push_back(std::move(aOrder));
  return true;
}

bool
GroupPlanner::MayLoadWeights(const GroupOrder& aOrder)
{
  // After the restart of a whole domain or more, the joins of its replicas would start one load per
  // engine at once, and the weight store would complete none of them in time. Loads are therefore
  // counted one by one in the order of the replicas, so that the first replicas become whole while
  // others still wait.
  const EngineRecord& engine = *Find(aOrder.mEngine);
  const auto staging = mStaging.find(aOrder.mEngine);
  const bool onItsWay = staging != mStaging.end() && staging->second.mModel == aOrder.mModel;
  if (onItsWay || JoinTime(engine, aOrder.mModel) < LoadTime(aOrder.mModel)) {
    return true;
  }
  std::uint64_t& counted = mLoadCounted[aOrder.mEngine];
  if (counted == aOrder.mEpoch) {
    return true; // a repeated order, already counted
  }
  if (!MayLoad()) {
    return false;
  }
  counted = aOrder.mEpoch;
  return true;
}

bool
GroupPlanner::GuardJoin(GroupOrder& aOrder)
{
  // Two holders can be active for a short time, one of them with orders in transit, and
  // registrations lag. A join decided on outdated state could take an engine out of a replica that
  // has just opened. The engine therefore refuses the join if it has accepted any order unknown to
  // this holder. A repeat of a join that the engine has accepted changes nothing and needs no
  // guard.
  const EngineState& state = mStates[aOrder.mEngine];
  if (state.IsIn(aOrder.mGroup, aOrder.mEpoch)) {
    return true;
  }
  if (IsInOtherReplica(*Find(aOrder.mEngine), aOrder.mGroup)) {
    const auto replica = mReplicas.find(aOrder.mGroup);
    if (replica != mReplicas.end()) {
      Break(replica->second, aOrder.mEngine + " is in another replica", mView->mNow);
      replica->second.mNotBefore = mView->mNow + mOptions.mStalePause;
    }
    return false;
  }
  return NameAccepted(aOrder);
}

bool
GroupPlanner::NameAccepted(GroupOrder& aOrder)
{
  aOrder.mAccepted = mStates[aOrder.mEngine].Accepted();
  if (!aOrder.mAccepted) {
    mEnginesToQuery[aOrder.mEngine] = *Find(aOrder.mEngine);
  }
  return aOrder.mAccepted.has_value();
}

void
GroupPlanner::OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow)
{
  const bool unknown = aAnswer == OrderAnswer::kNone || aAnswer == OrderAnswer::kUnread;
  if (!IsNewestIncarnation(aOrder.mEngine, aOrder.mBorn)) {
    // Only possible later effects matter: a join without an answer may reach the new incarnation.
    if (unknown && aOrder.mKind == GroupOrderKind::kJoin) {
      mUnansweredJoins[aOrder.mEngine] = { aOrder.mGroup,
                                           aOrder.mEpoch,
                                           aNow + mOptions.mLateOrderWindow };
    }
    return;
  }
  Pending& pending = mPending[aOrder.mEngine + " " + ToString(aOrder.mKind)];
  pending.mWaiting = false;
  const bool taken = aAnswer == OrderAnswer::kBegun || aAnswer == OrderAnswer::kHolds;
  if (aOrder.mKind == GroupOrderKind::kStage && !taken) {
    mStaging.erase(aOrder.mEngine); // the transfer may not have started; the order is repeated
  }
  mStates[aOrder.mEngine].OnAnswer(aOrder, aAnswer, aNow);
  if (unknown) {
    pending.mDue = aNow; // repeat at once: the order may or may not have taken effect
    if (aOrder.mKind == GroupOrderKind::kJoin && !IsSpareGroup(aOrder.mGroup)) {
      mUnansweredJoins[aOrder.mEngine] = { aOrder.mGroup,
                                           aOrder.mEpoch,
                                           aNow + mOptions.mLateOrderWindow };
    }
    if (aAnswer == OrderAnswer::kNone && ++pending.mUnanswered >= mOptions.mMaxUnanswered) {
      mUnanswering.insert(aOrder.mEngine);
      pending.mUnanswered = 0;
    }
    return;
  }
  pending.mUnanswered = 0;
  pending.mDue = aNow + RepeatAfter(aOrder, aAnswer, pending.mLoads);
  const auto replica = mReplicas.find(aOrder.mGroup);
  const bool current = replica != mReplicas.end() && replica->second.mEpoch == aOrder.mEpoch;
  if (aAnswer == OrderAnswer::kOtherEngine) {
    mSupersededEngines.insert(aOrder.mEngine);
    return;
  }
  if (aAnswer == OrderAnswer::kStale && current) {
    // The engine has seen a newer order; re-form the replica under a later epoch.
    Break(replica->second, "an order was refused as stale by " + aOrder.mEngine, aNow);
    replica->second.mNotBefore = aNow + mOptions.mStalePause;
    return;
  }
  if (aOrder.mKind == GroupOrderKind::kLeave) {
    return; // EngineState has handled the answer
  }
  if (aOrder.mKind == GroupOrderKind::kJoin) {
    const bool holds = aAnswer == OrderAnswer::kHolds;
    if (aAnswer == OrderAnswer::kBegun || holds) {
      const auto lost = mUnansweredJoins.find(aOrder.mEngine);
      if (lost != mUnansweredJoins.end() && lost->second.mEpoch <= aOrder.mEpoch) {
        mUnansweredJoins.erase(lost);
      }
    }
    if (holds) {
      mLastModel[aOrder.mEngine] = aOrder.mModel;
    }
    if (holds && current) {
      replica->second.mReady.insert(aOrder.mEngine);
    }
    const auto spare = mSpares.find(aOrder.mEngine);
    if (holds && spare != mSpares.end() && spare->second.mEpoch == aOrder.mEpoch) {
      spare->second.mReady = true;
    }
    return;
  }
  if (aOrder.mKind == GroupOrderKind::kOpen && current && taken &&
      replica->second.mPhase == ReplicaPhase::kOpening) {
    replica->second.mPhase = ReplicaPhase::kOpen;
    replica->second.mSince = aNow;
    replica->second.mWhy.clear();
  }
}

Duration
GroupPlanner::RepeatAfter(const GroupOrder& aOrder, OrderAnswer aAnswer, bool aLoads) const
{
  if (aOrder.mKind == GroupOrderKind::kOpen) {
    return mOptions.mOpenRetryInterval;
  }
  if (aOrder.mKind == GroupOrderKind::kStage) {
    return mOptions
      .mLoadPollInterval; // refused while another load is in progress, which takes seconds
  }
  if (aOrder.mKind == GroupOrderKind::kJoin && aAnswer == OrderAnswer::kBegun) {
    return aLoads ? mOptions.mLoadPollInterval : mOptions.mJoinPollInterval;
  }
  return mOptions.mRetryInterval;
}

void
GroupPlanner::OnReport(const std::string& aEngine, const EngineReport& aReport, TimePoint aNow)
{
  if (!IsNewestIncarnation(aEngine, aReport.mBorn)) {
    return; // reports lag: this one is from before the engine's restart
  }
  RecordIncarnation(aEngine, aReport.mBorn, aNow);
  mStates[aEngine].OnReport(aReport.mGroup, aReport.mAccepted, aNow);
  mAnsweredAt[aEngine] = aNow;
  const GroupPlace& place = aReport.mGroup;
  const auto it = mReplicas.find(place.mName);
  const bool ready = place.mPhase == GroupPhase::kReady || place.mPhase == GroupPhase::kOpen;
  if (it != mReplicas.end() && it->second.mEpoch == place.mEpoch && ready &&
      it->second.HasMember(aEngine)) {
    it->second.mReady.insert(aEngine);
  }
  BreakIfInOtherGroup(aEngine, place, aNow);
}

void
GroupPlanner::BreakIfInOtherGroup(const std::string& aEngine,
                                  const GroupPlace& aPosition,
                                  TimePoint aNow)
{
  // A member that has restarted, or that another holder has ordered away, still answers but no
  // longer works in the replica. The head makes no progress although every member seems to be
  // alive.
  const auto names = mReplicasOf.find(aEngine);
  if (names == mReplicasOf.end()) {
    return;
  }
  for (const auto& name : names->second) {
    PlannedReplica& replica = mReplicas.at(name);
    const bool in = aPosition.mName == name && aPosition.mEpoch == replica.mEpoch;
    const bool settled = aNow - replica.mSince >= 2 * EngineState::kMaxReportAge;
    if (replica.mPhase == ReplicaPhase::kOpen && settled && !in) {
      Break(replica, aEngine + " reports that it is not in this replica", aNow);
    }
  }
}

void
GroupPlanner::ReinstateEngine(const std::string& aEngine)
{
  mUnanswering.erase(aEngine);
}

} // namespace pepperbay
