#include "pepperbay/placement/group_planner.hpp"

#include "group_planner_constants.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

std::vector<std::string>
IdsOf(const std::vector<const EngineRecord*>& aEngines)
{
  std::vector<std::string> ids;
  ids.reserve(aEngines.size());
  for (const auto* it : aEngines) {
    ids.push_back(it->mId);
  }
  return ids;
}

} // namespace

const char*
ToString(ReplicaPhase aPhase)
{
  switch (aPhase) {
    case ReplicaPhase::kForming:
      return "forming";
    case ReplicaPhase::kOpening:
      return "opening";
    case ReplicaPhase::kOpen:
      return "open";
    case ReplicaPhase::kBroken:
      return "broken";
  }
  return "unknown";
}

bool
PlannedReplica::HasMember(const std::string& aEngine) const
{
  return std::find(mMembers.begin(), mMembers.end(), aEngine) != mMembers.end();
}

bool
PlannedReplica::AllReady() const
{
  return std::all_of(mMembers.begin(), mMembers.end(), [this](const std::string& aMember) {
    return mReady.count(aMember) != 0;
  });
}

GroupPlanner::GroupPlanner()
  : GroupPlanner(GroupPlannerOptions{})
{
}

GroupPlanner::GroupPlanner(GroupPlannerOptions aOptions)
  : mOptions(aOptions)
  , mSlotUsage(aOptions.mComposition.mAveragingTime)
{
}

std::vector<GroupOrder>
GroupPlanner::Plan(const GroupView& aView)
{
  mView = &aView;
  mOrders.clear();
  mEnginesExamined = 0;
  for (const auto& [id, engine] : *aView.mEngines) {
    mByDomain[engine.mDomain].push_back(&engine);
  }
  DetectRestarts();
  DiscoverReplicas();
  RequestUnknownStates();
  RememberMembers();
  for (auto& [name, replica] : mReplicas) {
    CheckReplica(replica);
  }
  RepairBroken();
  if (mView->mTraffic && ObserveUse()) {
    RebalanceReplicas();
  }
  FormNew();
  AdvanceReplicas();
  MaintainSpares();
  mByDomain.clear();
  mView = nullptr;
  return std::exchange(mOrders, {});
}

const EngineRecord*
GroupPlanner::FindListed(const std::string& aEngine) const
{
  const auto it = mView->mEngines->find(aEngine);
  return it == mView->mEngines->end() ? nullptr : &it->second;
}

const EngineRecord*
GroupPlanner::Find(const std::string& aEngine) const
{
  if (const EngineRecord* engine = FindListed(aEngine)) {
    return engine;
  }
  const auto known = mMemberRecords.find(aEngine);
  const auto answered = mAnsweredAt.find(aEngine);
  const bool answers = answered != mAnsweredAt.end() &&
                       mView->mNow - answered->second < mOptions.mUnlistedAnswerTimeout;
  return known != mMemberRecords.end() && answers ? &known->second : nullptr;
}

void
GroupPlanner::RememberMembers()
{
  std::map<std::string, EngineRecord> members;
  for (const auto& [name, replica] : mReplicas) {
    for (const auto& it : replica.mMembers) {
      const EngineRecord* listed = FindListed(it);
      const auto known = mMemberRecords.find(it);
      if (listed != nullptr) {
        members[it] = *listed;
        mAnsweredAt[it] = mView->mNow; // a listing counts as an answer
      } else if (known != mMemberRecords.end()) {
        members[it] = known->second;
        mEnginesToQuery[it] = known->second;
      }
    }
  }
  mMemberRecords = std::move(members);
  for (auto it = mSupersededEngines.begin(); it != mSupersededEngines.end();) {
    const bool needed = FindListed(*it) != nullptr || mMemberRecords.count(*it) != 0;
    it = needed ? std::next(it) : mSupersededEngines.erase(it);
  }
  for (auto it = mAnsweredAt.begin(); it != mAnsweredAt.end();) {
    it = mMemberRecords.count(it->first) == 0 ? mAnsweredAt.erase(it) : std::next(it);
  }
}

bool
GroupPlanner::Usable(const EngineRecord& aEngine) const
{
  return aEngine.mService == mView->mService && !aEngine.mLeaving &&
         IsNewestIncarnation(aEngine.mId, aEngine.mBorn) && mUnanswering.count(aEngine.mId) == 0 &&
         mSupersededEngines.count(aEngine.mId) == 0 && !mView->mIsUnreachable(aEngine.mId);
}

bool
GroupPlanner::Usable(const std::string& aEngine) const
{
  const EngineRecord* engine = Find(aEngine);
  return engine != nullptr && Usable(*engine);
}

std::uint64_t
GroupPlanner::NextEpoch()
{
  return mView->mFence * kEpochsPerFence + ++mCounter;
}

void
GroupPlanner::DiscoverReplicas()
{
  std::map<std::string, std::vector<const EngineRecord*>> groups;
  std::size_t n = 0;
  for (const auto& [id, engine] : *mView->mEngines) {
    if (engine.mService != mView->mService) {
      continue;
    }
    ++n;
    const GroupPlace& place = engine.mGroup;
    // An outdated registration would bring back a replica that its engines have left.
    const GroupPlace& newest = PositionOf(engine);
    const bool outdated = place.mName != newest.mName || place.mEpoch != newest.mEpoch;
    if (place.mName.empty() || outdated || !IsNewestIncarnation(id, engine.mBorn)) {
      continue;
    }
    if (!engine.mLoadedModels.empty()) {
      mLastModel[id] = engine.mLoadedModels.front();
    }
    if (IsSpareGroup(place.mName)) {
      if (mLastModel[id].empty()) {
        continue; // still joining by order of an earlier holder; it is assigned a model again
      }
      auto& spare = mSpares[id];
      if (place.mEpoch >= spare.mEpoch) {
        spare.mEpoch = place.mEpoch;
        spare.mModel = mLastModel[id];
        spare.mReady = place.mPhase == GroupPhase::kReady;
      }
      continue;
    }
    groups[place.mName].push_back(&engine);
  }
  if (n > mSeenEngines) {
    mLastNew = mView->mNow;
  }
  mSeenEngines = n;
  for (auto& [name, members] : groups) {
    Adopt(name, members);
  }
}

void
GroupPlanner::RequestUnknownStates()
{
  mEnginesToQuery.clear();
  for (const auto& [id, engine] : *mView->mEngines) {
    if (engine.mService != mView->mService || !mStates[id].ShouldQuery(mView->mNow)) {
      continue;
    }
    const bool fresh = engine.mGroup.mName.empty() && engine.mStagedModels.empty();
    if (fresh && mAssumedNew.insert(id).second) {
      mStates[id] = EngineState::JustStarted(); // otherwise it refuses and is queried
    } else if (Usable(engine)) {
      mEnginesToQuery[id] = engine;
    }
  }
}

void
GroupPlanner::SetMembers(PlannedReplica& aReplica, std::vector<std::string> aMembers)
{
  RemoveFromIndex(aReplica);
  aReplica.mMembers = std::move(aMembers);
  AddToIndex(aReplica);
}

void
GroupPlanner::Adopt(const std::string& aName, const std::vector<const EngineRecord*>& aMembers)
{
  std::uint64_t epoch = 0;
  for (const auto* it : aMembers) {
    epoch = std::max(epoch, it->mGroup.mEpoch);
  }
  std::vector<const EngineRecord*> members;
  for (const auto* it : aMembers) {
    // Registrations lag: an engine that has been ordered into another group since is not a member.
    if (it->mGroup.mEpoch == epoch && !InOtherReplica(it->mId, aName)) {
      members.push_back(it);
    }
  }
  const auto givenUp = mGivenUp.find(aName);
  if (members.empty() || (givenUp != mGivenUp.end() && epoch <= givenUp->second.mEpoch)) {
    return;
  }
  std::sort(members.begin(), members.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mGroup.mRank < aRight->mGroup.mRank;
  });
  const EngineRecord& head = *members.front();
  const bool headListed = head.mGroup.mRank == 0;
  auto known = mReplicas.find(aName);
  if (known != mReplicas.end() && known->second.mEpoch >= epoch) {
    PlannedReplica& replica = known->second;
    const bool same = replica.mEpoch == epoch && replica.mPhase == ReplicaPhase::kOpen &&
                      headListed && replica.mMembers.front() == head.mId;
    if (same && head.mGroup.mPhase == GroupPhase::kBroken) {
      Break(replica, "the head reports that it is broken", mView->mNow);
    } else if (same && members.size() > replica.mMembers.size()) {
      SetMembers(replica, IdsOf(members)); // a member whose registration had lapsed is listed again
    }
    return;
  }
  PlannedReplica replica;
  replica.mName = aName;
  replica.mEpoch = epoch;
  replica.mModel = mLastModel[head.mId];
  replica.mDomain = head.mDomain;
  // The replica has been in this state for an unknown time; a head that states that it is open
  // serves already.
  replica.mSince = mView->mNow - mView->mPool->mFormTime;
  replica.mMembers = IdsOf(members);
  const ModelSpec* model = mView->mPool->FindModel(replica.mModel);
  if (model == nullptr) {
    return; // the model is not in the configuration
  }
  const bool whole = members.size() == model->mSize && headListed;
  const bool open = head.mGroup.mPhase == GroupPhase::kOpen;
  // A head that states that it is open keeps working without an unlisted member until it states
  // otherwise. CheckReplica() finds the missing member.
  replica.mPhase = headListed && open ? ReplicaPhase::kOpen : ReplicaPhase::kBroken;
  replica.mWhy = whole ? "discovered before it was open" : "discovered with members missing";
  replica.mHeadUnlisted = !headListed;
  if (known != mReplicas.end()) {
    // Another holder has re-formed it, perhaps without some members; those are free.
    RemoveFromIndex(known->second);
  }
  AddToIndex(replica);
  mReplicas[aName] = std::move(replica);
}

std::optional<GroupPlanner::LostMember>
GroupPlanner::FindLost(const PlannedReplica& aReplica) const
{
  std::optional<LostMember> silent;
  for (const auto& it : aReplica.mMembers) {
    const EngineRecord* engine = Find(it);
    const bool answers = !mView->mIsUnreachable(it) && mUnanswering.count(it) == 0;
    const bool leaves = engine != nullptr && engine->mLeaving && answers;
    if (leaves || (engine != nullptr && Usable(*engine))) {
      continue;
    }
    if (HasExited(it)) {
      return LostMember{ it, true };
    }
    silent = silent ? silent : LostMember{ it, false };
  }
  const ModelSpec* model = mView->mPool->FindModel(aReplica.mModel);
  const bool all = model == nullptr || aReplica.mMembers.size() >= model->mSize;
  if (!silent && !all) {
    // The member's registration may have lapsed in a pause.
    const bool waited =
      aReplica.mLeavingSince && mView->mNow - *aReplica.mLeavingSince >= mOptions.mMaxPause;
    return LostMember{ "that is not listed", waited };
  }
  return silent;
}

bool
GroupPlanner::HasExited(const std::string& aMember) const
{
  const bool dead = mView->mIsUnreachable(aMember);
  if (dead && (!mView->mHasExited || mView->mHasExited(aMember))) {
    return true;
  }
  const auto answered = mAnsweredAt.find(aMember);
  if (answered == mAnsweredAt.end()) {
    return true; // a stale incarnation
  }
  const EngineRecord* engine = Find(aMember);
  if (engine == nullptr) {
    // Neither a registration nor an answer: both the platform and this node have lost contact with
    // it.
    return mView->mNow - answered->second >= mOptions.mUnlistedAnswerTimeout + mOptions.mMaxPause;
  }
  return mSupersededEngines.count(aMember) != 0 || engine->mService != mView->mService ||
         !IsNewestIncarnation(aMember, engine->mBorn);
}

bool
GroupPlanner::HasSilentMember(const PlannedReplica& aReplica) const
{
  return std::any_of(
    aReplica.mMembers.begin(), aReplica.mMembers.end(), [this](const std::string& aMember) {
      const bool silent = mView->mIsUnreachable(aMember) || mUnanswering.count(aMember) != 0;
      return silent && !HasExited(aMember);
    });
}

bool
GroupPlanner::MustDrain(const PlannedReplica& aReplica) const
{
  // Requests must not go to an engine without a registration, and they go to the head.
  if (aReplica.mGivenUp || FindListed(aReplica.mMembers.front()) == nullptr) {
    return true;
  }
  return std::any_of(
    aReplica.mMembers.begin(), aReplica.mMembers.end(), [this](const std::string& aMember) {
      const EngineRecord* engine = Find(aMember);
      return engine != nullptr && engine->mLeaving;
    });
}

void
GroupPlanner::CheckReplica(PlannedReplica& aReplica)
{
  if (aReplica.mPhase == ReplicaPhase::kBroken) {
    return;
  }
  const std::optional<LostMember> lost = FindLost(aReplica);
  aReplica.mMemberLost = lost.has_value();
  if (!lost && !MustDrain(aReplica)) {
    aReplica.mLeavingSince.reset();
    return;
  }
  std::string why = "a member leaves";
  if (lost) {
    why = (lost->mHasExited ? "lost member " : "silent member ") + lost->mName;
  } else if (aReplica.mGivenUp) {
    why = "its engines are needed by another replica";
  }
  if (aReplica.mPhase != ReplicaPhase::kOpen) {
    Break(aReplica, std::move(why), mView->mNow);
    return;
  }
  if (!aReplica.mLeavingSince) {
    aReplica.mLeavingSince = mView->mNow;
  }
  aReplica.mWhy = why;
  // A member that is only silent may continue, and all streams with it.
  const bool mayGoOn = lost && !lost->mHasExited;
  if (!mayGoOn && !HasRequestsInProgress(aReplica)) {
    Break(aReplica, std::move(why), mView->mNow);
  }
}

bool
GroupPlanner::HasRequestsInProgress(const PlannedReplica& aReplica) const
{
  // The first member that joins again ends the group and all its streams in progress. A member that
  // stopped listening keeps working until its head has no requests in progress; a member that has
  // exited shows by streams that make no progress.
  const std::string& head = aReplica.mMembers.front();
  const bool standsStill = aReplica.mMemberLost && mView->mIsStalled(head);
  const bool waited = mView->mNow - *aReplica.mLeavingSince >= mOptions.mMaxDrainTime;
  return mView->mInFlight(head) > 0 && !standsStill && !waited;
}

bool
GroupPlanner::UnlistedHeadHasRequests(const PlannedReplica& aReplica) const
{
  const bool asks = aReplica.mHeadUnlisted && mView->mInFlightAtFormerHead;
  return asks && mView->mNow - aReplica.mSince < mOptions.mMaxDrainTime &&
         mView->mInFlightAtFormerHead(aReplica.mName, aReplica.mEpoch) > 0;
}

void
GroupPlanner::Break(PlannedReplica& aReplica, std::string aWhy, TimePoint aNow)
{
  aReplica.mPhase = ReplicaPhase::kBroken;
  aReplica.mSince = aNow;
  aReplica.mWhy = std::move(aWhy);
  aReplica.mLeavingSince.reset();
  mDomainsWithLosses.insert(aReplica.mDomain);
}

bool
GroupPlanner::IsFree(const EngineRecord& aEngine) const
{
  return !InReplica(aEngine.mId) && !IsInOtherReplica(aEngine, "");
}

const GroupPlace&
GroupPlanner::PositionOf(const EngineRecord& aEngine) const
{
  const auto it = mStates.find(aEngine.mId);
  return it == mStates.end() ? aEngine.mGroup : it->second.Position();
}

bool
GroupPlanner::IsInOtherReplica(const EngineRecord& aEngine, const std::string& aGroup) const
{
  const std::string& group = PositionOf(aEngine).mName;
  return !group.empty() && !IsSpareGroup(group) && group != aGroup;
}

bool
GroupPlanner::MayJoinLate(const std::string& aEngine, const std::string& aGroup) const
{
  // An engine that left a join unanswered may carry it out seconds later. If it were ordered
  // elsewhere meanwhile, it could enter the first replica, and the second join could then take it
  // out while that replica serves, before its registration shows the first join. Once the engine
  // answers any join, the late one is too old to be carried out.
  const auto it = mUnansweredJoins.find(aEngine);
  return it != mUnansweredJoins.end() && it->second.mGroup != aGroup &&
         mView->mNow < it->second.mUntil;
}

bool
GroupPlanner::InOtherReplica(const std::string& aEngine, const std::string& aName) const
{
  const auto it = mReplicasOf.find(aEngine);
  return it != mReplicasOf.end() && it->second.size() > it->second.count(aName);
}

void
GroupPlanner::AddToIndex(const PlannedReplica& aReplica)
{
  for (const auto& it : aReplica.mMembers) {
    mReplicasOf[it].insert(aReplica.mName);
  }
}

void
GroupPlanner::RemoveFromIndex(const PlannedReplica& aReplica)
{
  for (const auto& it : aReplica.mMembers) {
    const auto names = mReplicasOf.find(it);
    if (names == mReplicasOf.end()) {
      continue;
    }
    names->second.erase(aReplica.mName);
    if (names->second.empty()) {
      mReplicasOf.erase(names);
    }
  }
}

} // namespace pepperbay
