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
  Give(order);
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
      Give(order);
    }
  }
}

void
GroupPlanner::Drive()
{
  std::vector<PlannedReplica*> joining;
  for (auto& [name, replica] : mReplicas) {
    if (replica.mPhase != ReplicaPhase::kForming && replica.mPhase != ReplicaPhase::kOpening) {
      continue;
    }
    NoteReadiness(replica);
    if (replica.AllReady()) {
      Open(replica); // before any joins: a round may give only so many orders
    } else {
      joining.push_back(&replica);
    }
  }
  for (const auto* it : joining) {
    Join(*it);
  }
}

void
GroupPlanner::NoteReadiness(PlannedReplica& aReplica)
{
  for (const auto& it : aReplica.mMembers) {
    const EngineRecord* engine = Find(it);
    const GroupPlace& place = engine->mGroup;
    if (!OfNewestStart(it, engine->mBorn)) {
      continue;
    }
    if (place.mName == aReplica.mName && place.mEpoch == aReplica.mEpoch &&
        (place.mPhase == GroupPhase::kReady || place.mPhase == GroupPhase::kOpen)) {
      aReplica.mReady.insert(it);
    }
  }
}

bool
GroupPlanner::IsDue(const std::string& aEngine, GroupOrderKind aKind) const
{
  if (static_cast<int>(mOrders.size()) >= mView->mMostOrders) {
    return false;
  }
  const auto it = mPending.find(aEngine + " " + ToString(aKind));
  return it == mPending.end() || (!it->second.mWaiting && mView->mNow >= it->second.mDue);
}

bool
GroupPlanner::Give(GroupOrder aOrder)
{
  if (!IsDue(aOrder.mEngine, aOrder.mKind)) {
    return false;
  }
  const EngineRecord* engine = Find(aOrder.mEngine);
  if (engine == nullptr) {
    return false;
  }
  if (aOrder.mKind == GroupOrderKind::kJoin && !(MayBringWeights(aOrder) && Guard(aOrder))) {
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
  const auto start = mStarts.find(aOrder.mEngine);
  aOrder.mBorn = start == mStarts.end() ? WallTime{} : start->second.mBorn;
  mOrders.push_back(std::move(aOrder));
  return true;
}

bool
GroupPlanner::MayBringWeights(const GroupOrder& aOrder)
{
  // After a whole domain or more has restarted, the joins of its replicas would begin as many loads
  // as there are engines at once; the store of weights then serves none of them in time. Counted
  // one by one in the order of the replicas, the first replicas are whole while others still wait.
  const EngineRecord& engine = *Find(aOrder.mEngine);
  const auto staging = mStaging.find(aOrder.mEngine);
  const bool onItsWay = staging != mStaging.end() && staging->second.mModel == aOrder.mModel;
  if (onItsWay || JoinTime(engine, aOrder.mModel) < LoadTime(aOrder.mModel)) {
    return true;
  }
  std::uint64_t& counted = mLoadCounted[aOrder.mEngine];
  if (counted == aOrder.mEpoch) {
    return true; // a repeat
  }
  if (!MayLoad()) {
    return false;
  }
  counted = aOrder.mEpoch;
  return true;
}

bool
GroupPlanner::Guard(GroupOrder& aOrder)
{
  // Two holders can be at work for a moment, one of them with orders still on their way, and
  // registrations are a little old. Decided on such a view, a join could take an engine out of a
  // replica that has just opened. The engine itself refuses it when it has accepted any order that
  // this holder does not know of. A repeat of a join that it has taken needs no guard: it changes
  // nothing.
  const EngineState& state = mStates[aOrder.mEngine];
  if (state.IsIn(aOrder.mGroup, aOrder.mEpoch)) {
    return true;
  }
  if (IsElsewhere(*Find(aOrder.mEngine), aOrder.mGroup)) {
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
    mWanted[aOrder.mEngine] = *Find(aOrder.mEngine);
  }
  return aOrder.mAccepted.has_value();
}

void
GroupPlanner::OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow)
{
  const bool unknown = aAnswer == OrderAnswer::kNone || aAnswer == OrderAnswer::kUnread;
  if (!OfNewestStart(aOrder.mEngine, aOrder.mBorn)) {
    // Only what may still come of it matters: a join without an answer may reach the new start.
    if (unknown && aOrder.mKind == GroupOrderKind::kJoin) {
      mLostJoins[aOrder.mEngine] = { aOrder.mGroup, aOrder.mEpoch, aNow + mOptions.mLateOrder };
    }
    return;
  }
  Pending& pending = mPending[aOrder.mEngine + " " + ToString(aOrder.mKind)];
  pending.mWaiting = false;
  const bool taken = aAnswer == OrderAnswer::kBegun || aAnswer == OrderAnswer::kHolds;
  if (aOrder.mKind == GroupOrderKind::kStage && !taken) {
    mStaging.erase(aOrder.mEngine); // no weights are known to be on their way; it is told again
  }
  mStates[aOrder.mEngine].OnAnswer(aOrder, aAnswer, aNow);
  if (unknown) {
    pending.mDue = aNow; // at once again: the effect may be there or not
    if (aOrder.mKind == GroupOrderKind::kJoin && !IsSpareGroup(aOrder.mGroup)) {
      mLostJoins[aOrder.mEngine] = { aOrder.mGroup, aOrder.mEpoch, aNow + mOptions.mLateOrder };
    }
    if (aAnswer == OrderAnswer::kNone && ++pending.mUnanswered >= mOptions.mMostUnanswered) {
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
    mGone.insert(aOrder.mEngine);
    return;
  }
  if (aAnswer == OrderAnswer::kStale && current) {
    // Something newer was ordered there; form anew under a later epoch.
    Break(replica->second, "an order was refused as stale by " + aOrder.mEngine, aNow);
    replica->second.mNotBefore = aNow + mOptions.mStalePause;
    return;
  }
  if (aOrder.mKind == GroupOrderKind::kLeave) {
    return; // what follows from it, its state knows
  }
  if (aOrder.mKind == GroupOrderKind::kJoin) {
    const bool holds = aAnswer == OrderAnswer::kHolds;
    if (aAnswer == OrderAnswer::kBegun || holds) {
      const auto lost = mLostJoins.find(aOrder.mEngine);
      if (lost != mLostJoins.end() && lost->second.mEpoch <= aOrder.mEpoch) {
        mLostJoins.erase(lost);
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
    return mOptions.mRepeatOpen;
  }
  if (aOrder.mKind == GroupOrderKind::kStage) {
    return mOptions.mAskLoaded; // refused while another load is under way, which takes seconds
  }
  if (aOrder.mKind == GroupOrderKind::kJoin && aAnswer == OrderAnswer::kBegun) {
    return aLoads ? mOptions.mAskLoaded : mOptions.mAskJoined;
  }
  return mOptions.mRepeat;
}

void
GroupPlanner::OnReport(const std::string& aEngine, const EngineReport& aReport, TimePoint aNow)
{
  if (!OfNewestStart(aEngine, aReport.mBorn)) {
    return; // reports are a little old: this one is of before the engine started again
  }
  NoteStart(aEngine, aReport.mBorn, aNow);
  mStates[aEngine].OnReport(aReport.mGroup, aReport.mAccepted, aNow);
  mAnsweredAt[aEngine] = aNow;
  const GroupPlace& place = aReport.mGroup;
  const auto it = mReplicas.find(place.mName);
  const bool ready = place.mPhase == GroupPhase::kReady || place.mPhase == GroupPhase::kOpen;
  if (it != mReplicas.end() && it->second.mEpoch == place.mEpoch && ready &&
      it->second.HasMember(aEngine)) {
    it->second.mReady.insert(aEngine);
  }
  BreakIfElsewhere(aEngine, place, aNow);
}

void
GroupPlanner::BreakIfElsewhere(const std::string& aEngine, const GroupPlace& aPlace, TimePoint aNow)
{
  // A member that has started anew, or was ordered away by another holder, answers and does not
  // work in the replica any more; its head stands still with every member seemingly alive.
  const auto names = mReplicasOf.find(aEngine);
  if (names == mReplicasOf.end()) {
    return;
  }
  for (const auto& name : names->second) {
    PlannedReplica& replica = mReplicas.at(name);
    const bool in = aPlace.mName == name && aPlace.mEpoch == replica.mEpoch;
    const bool settled = aNow - replica.mSince >= 2 * EngineState::kReportAge;
    if (replica.mPhase == ReplicaPhase::kOpen && settled && !in) {
      Break(replica, aEngine + " says that it is not in it", aNow);
    }
  }
}

void
GroupPlanner::Forgive(const std::string& aEngine)
{
  mUnanswering.erase(aEngine);
}

} // namespace pepperbay
