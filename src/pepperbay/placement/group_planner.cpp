#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pepperbay {
namespace {

/// Epochs of one tenure follow its fencing number, so every order of a later holder goes before
/// every order of an earlier one. A tenure gives fewer orders than this.
constexpr std::uint64_t kEpochsPerFence = 100000;
/// Groups of a single engine that is never opened: a spare that is 200 ms away from a replica.
constexpr const char* kSparePrefix = "spare-";
constexpr std::chrono::milliseconds kRejoinTime{ 200 };
constexpr std::chrono::seconds kLoadWindow{ 1 };

bool
IsSpareGroup(const std::string& aName)
{
  return aName.rfind(kSparePrefix, 0) == 0;
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

GroupPlanner::GroupPlanner(GroupPlannerOptions aOptions)
  : mOptions(aOptions)
{
}

void
GroupPlanner::Reset()
{
  mReplicas.clear();
  mSpares.clear();
  mPending.clear();
  mStaging.clear();
  mUnanswering.clear();
  mLostJoins.clear();
  mAccepted.clear();
  mReported.clear();
  mLeftAt.clear();
  mJoinsGiven.clear();
  mCounter = 0;
}

std::vector<GroupOrder>
GroupPlanner::Plan(const GroupView& aView)
{
  mView = &aView;
  mOrders.clear();
  LearnStanding();
  WantUnknown();
  RememberMembers();
  for (auto& [name, replica] : mReplicas) {
    Judge(replica);
  }
  RepairBroken();
  FormNew();
  for (auto& [name, replica] : mReplicas) {
    Drive(replica);
  }
  CareForSpares();
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
  const auto known = mKnown.find(aEngine);
  const auto answered = mAnsweredAt.find(aEngine);
  const bool answers =
    answered != mAnsweredAt.end() && mView->mNow - answered->second < mOptions.mUnlistedAnswers;
  return known != mKnown.end() && answers ? &known->second : nullptr;
}

void
GroupPlanner::RememberMembers()
{
  std::map<std::string, EngineRecord> members;
  for (const auto& [name, replica] : mReplicas) {
    for (const auto& it : replica.mMembers) {
      const EngineRecord* listed = FindListed(it);
      const auto known = mKnown.find(it);
      if (listed != nullptr) {
        members[it] = *listed;
        mAnsweredAt[it] = mView->mNow; // being listed is as good as an answer
      } else if (known != mKnown.end()) {
        members[it] = known->second;
        mWanted[it] = known->second;
      }
    }
  }
  mKnown = std::move(members);
  for (auto it = mAnsweredAt.begin(); it != mAnsweredAt.end();) {
    it = mKnown.count(it->first) == 0 ? mAnsweredAt.erase(it) : std::next(it);
  }
}

bool
GroupPlanner::Usable(const EngineRecord& aEngine) const
{
  return aEngine.mService == mView->mService && !aEngine.mLeaving &&
         mUnanswering.count(aEngine.mId) == 0 && !mView->mDead(aEngine.mId);
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
GroupPlanner::LearnStanding()
{
  std::map<std::string, std::vector<const EngineRecord*>> groups;
  std::size_t n = 0;
  for (const auto& [id, engine] : *mView->mEngines) {
    if (engine.mService != mView->mService) {
      continue;
    }
    ++n;
    const GroupPlace& place = engine.mGroup;
    if (place.mName.empty()) {
      continue;
    }
    if (!engine.mLoadedModels.empty()) {
      mLastModel[id] = engine.mLoadedModels.front();
    }
    if (IsSpareGroup(place.mName)) {
      if (mLastModel[id].empty()) {
        continue; // still joining for an earlier holder; it is given a model anew
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
GroupPlanner::WantUnknown()
{
  mWanted.clear();
  for (const auto& [id, engine] : *mView->mEngines) {
    if (engine.mService != mView->mService || mAccepted.count(id) != 0) {
      continue;
    }
    const bool fresh = engine.mGroup.mName.empty() && engine.mStagedModels.empty();
    if (fresh) {
      mAccepted[id] = 0; // an engine that has just started; if not, it refuses and is asked
    } else if (Usable(engine)) {
      mWanted[id] = engine;
    }
  }
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
    // Registrations are a little old: an engine that has been ordered elsewhere since is no member.
    if (it->mGroup.mEpoch == epoch && !InOtherReplica(it->mId, aName)) {
      members.push_back(it);
    }
  }
  if (members.empty()) {
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
      replica.mPhase = ReplicaPhase::kBroken;
      replica.mSince = mView->mNow;
      replica.mWhy = "the head says that it is broken";
    }
    return;
  }
  PlannedReplica replica;
  replica.mName = aName;
  replica.mEpoch = epoch;
  replica.mModel = mLastModel[head.mId];
  replica.mDomain = head.mDomain;
  // It has been so for an unknown time; a head that says it is open serves already.
  replica.mSince = mView->mNow - mView->mPool->mFormTime;
  for (const auto* it : members) {
    replica.mMembers.push_back(it->mId);
  }
  const ModelSpec* model = mView->mPool->FindModel(replica.mModel);
  if (model == nullptr) {
    return; // of a model that the configuration does not have
  }
  const bool whole = members.size() == model->mSize && headListed;
  const bool open = head.mGroup.mPhase == GroupPhase::kOpen;
  replica.mPhase = whole && open ? ReplicaPhase::kOpen : ReplicaPhase::kBroken;
  replica.mWhy = whole ? "found not open" : "found without all members";
  mReplicas[aName] = std::move(replica);
}

void
GroupPlanner::Judge(PlannedReplica& aReplica)
{
  if (aReplica.mPhase == ReplicaPhase::kBroken) {
    return;
  }
  bool leaving = false;
  for (const auto& it : aReplica.mMembers) {
    const EngineRecord* engine = Find(it);
    const bool listed = engine != nullptr;
    if (listed && engine->mLeaving && !mView->mDead(it) && mUnanswering.count(it) == 0) {
      leaving = true;
    } else if (!listed || !Usable(*engine)) {
      aReplica.mPhase = ReplicaPhase::kBroken;
      aReplica.mSince = mView->mNow;
      aReplica.mWhy = "lost member " + it;
      aReplica.mLeavingSince.reset();
      return;
    }
  }
  // Requests may not go to an engine whose registration is gone, and they go to the head.
  leaving = leaving || FindListed(aReplica.mMembers.front()) == nullptr;
  if (!leaving) {
    aReplica.mLeavingSince.reset();
    return;
  }
  if (aReplica.mPhase != ReplicaPhase::kOpen) {
    aReplica.mPhase = ReplicaPhase::kBroken;
    aReplica.mSince = mView->mNow;
    aReplica.mWhy = "a member leaves";
    return;
  }
  if (!aReplica.mLeavingSince) {
    aReplica.mLeavingSince = mView->mNow;
  }
  const bool idle = mView->mInFlight(aReplica.mMembers.front()) == 0;
  if (idle || mView->mNow - *aReplica.mLeavingSince >= mOptions.mDrainWait) {
    aReplica.mPhase = ReplicaPhase::kBroken;
    aReplica.mSince = mView->mNow;
    aReplica.mWhy = "a member leaves";
    aReplica.mLeavingSince.reset();
  }
}

void
GroupPlanner::RepairBroken()
{
  std::vector<std::string> done;
  for (auto& [name, replica] : mReplicas) {
    if (replica.mPhase != ReplicaPhase::kBroken || mView->mNow < replica.mNotBefore) {
      continue;
    }
    const bool anyListed =
      std::any_of(replica.mMembers.begin(), replica.mMembers.end(), [this](const std::string& it) {
        return Find(it) != nullptr;
      });
    // Members that wait for a spare that does not come are worth more in another replica.
    const bool hopeless = mView->mNow - replica.mSince >= mOptions.mGiveUpAfter;
    if (!anyListed || (!Repair(replica) && hopeless && AnyUsable(replica))) {
      done.push_back(name);
    }
  }
  for (const auto& it : done) {
    mReplicas.erase(it);
  }
}

bool
GroupPlanner::AnyUsable(const PlannedReplica& aReplica) const
{
  return std::any_of(aReplica.mMembers.begin(),
                     aReplica.mMembers.end(),
                     [this](const std::string& aMember) { return Usable(aMember); });
}

bool
GroupPlanner::Repair(PlannedReplica& aReplica)
{
  const ModelSpec* model = mView->mPool->FindModel(aReplica.mModel);
  if (model == nullptr) {
    return false;
  }
  std::vector<std::string> members;
  for (const auto& it : aReplica.mMembers) {
    const bool here =
      Usable(it) && !InOtherReplica(it, aReplica.mName) && !IsElsewhere(*Find(it), aReplica.mName);
    if (here && members.size() < model->mSize) {
      members.push_back(it);
    }
  }
  if (members.empty()) {
    return false; // nothing to keep together; its engines are free once they are back
  }
  const auto free = FreeEngines(aReplica.mDomain, aReplica.mModel, aReplica.mName);
  for (const auto* it : free) {
    if (members.size() < model->mSize) {
      members.push_back(it->mId);
    }
  }
  const auto head =
    std::find_if(members.begin(), members.end(), [this](const std::string& aMember) {
      return FindListed(aMember) != nullptr;
    });
  if (members.size() < model->mSize || head == members.end()) {
    aReplica.mWhy = "no spare in domain " + aReplica.mDomain;
    return false;
  }
  std::iter_swap(members.begin(), head);
  Begin(aReplica, std::move(members));
  return true;
}

void
GroupPlanner::Begin(PlannedReplica& aReplica, std::vector<std::string> aMembers)
{
  for (const auto& it : aMembers) {
    mSpares.erase(it);
    mPending.erase(it + " join");
  }
  aReplica.mMembers = std::move(aMembers);
  aReplica.mEpoch = NextEpoch();
  aReplica.mPhase = ReplicaPhase::kForming;
  aReplica.mReady.clear();
  aReplica.mSince = mView->mNow;
  aReplica.mLeavingSince.reset();
  mPending.erase(aReplica.mMembers.front() + " open");
}

std::vector<const EngineRecord*>
GroupPlanner::FreeEngines(const std::string& aDomain,
                          const std::string& aModel,
                          const std::string& aGroup) const
{
  std::vector<std::pair<Duration, const EngineRecord*>> ranked;
  for (const auto& [id, engine] : *mView->mEngines) {
    const bool free = IsFree(engine) || (!InReplica(id) && !IsElsewhere(engine, aGroup));
    if (engine.mDomain == aDomain && Usable(engine) && free && !InDoubt(id, aGroup)) {
      ranked.emplace_back(JoinTime(engine, aModel), &engine);
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  std::vector<const EngineRecord*> free;
  free.reserve(ranked.size());
  for (const auto& it : ranked) {
    free.push_back(it.second);
  }
  return free;
}

bool
GroupPlanner::IsFree(const EngineRecord& aEngine) const
{
  return !InReplica(aEngine.mId) && !IsElsewhere(aEngine, "");
}

const GroupPlace&
GroupPlanner::PlaceOf(const EngineRecord& aEngine) const
{
  const auto reported = mReported.find(aEngine.mId);
  const bool newer = reported != mReported.end() &&
                     reported->second.mPlace.mEpoch > aEngine.mGroup.mEpoch &&
                     mView->mNow - reported->second.mAt < mOptions.mReportLife;
  return newer ? reported->second.mPlace : aEngine.mGroup;
}

bool
GroupPlanner::IsElsewhere(const EngineRecord& aEngine, const std::string& aGroup) const
{
  const std::string& group = PlaceOf(aEngine).mName;
  return !group.empty() && !IsSpareGroup(group) && group != aGroup;
}

bool
GroupPlanner::InDoubt(const std::string& aEngine, const std::string& aGroup) const
{
  // An engine that left a join unanswered may carry it out seconds later. Ordered elsewhere in the
  // meantime, it could enter the first replica and, before its registration shows that, be taken
  // out of it again by the second join while that replica serves. Any join that it answers makes
  // the late one too old to be carried out.
  const auto it = mLostJoins.find(aEngine);
  return it != mLostJoins.end() && it->second.mGroup != aGroup && mView->mNow < it->second.mUntil;
}

bool
GroupPlanner::InOtherReplica(const std::string& aEngine, const std::string& aName) const
{
  return std::any_of(mReplicas.begin(), mReplicas.end(), [&](const auto& aReplica) {
    const auto& members = aReplica.second.mMembers;
    return aReplica.first != aName &&
           std::find(members.begin(), members.end(), aEngine) != members.end();
  });
}

Duration
GroupPlanner::JoinTime(const EngineRecord& aEngine, const std::string& aModel) const
{
  const ModelSpec* model = mView->mPool->FindModel(aModel);
  if (model == nullptr) {
    return Duration::max();
  }
  const auto last = mLastModel.find(aEngine.mId);
  const auto spare = mSpares.find(aEngine.mId);
  if (last != mLastModel.end() && last->second == aModel &&
      (spare == mSpares.end() || spare->second.mReady)) {
    return kRejoinTime;
  }
  if (aEngine.HasStaged(aModel)) {
    return model->mWarmupTime;
  }
  const auto staging = mStaging.find(aEngine.mId);
  if (staging != mStaging.end() && staging->second.mModel == aModel) {
    return std::max<Duration>(model->mLoadTime - (mView->mNow - staging->second.mSince),
                              model->mWarmupTime);
  }
  return model->mLoadTime;
}

void
GroupPlanner::FormNew()
{
  if (mView->mNow - mLastNew < mOptions.mSettle) {
    return;
  }
  struct Domain
  {
    std::size_t mAll = 0;
    std::size_t mFree = 0;
  };
  std::map<std::string, Domain> domains;
  std::size_t all = 0;
  for (const auto& [id, engine] : *mView->mEngines) {
    if (!Usable(engine) || engine.mDomain.empty()) {
      continue;
    }
    ++all;
    ++domains[engine.mDomain].mAll;
    domains[engine.mDomain].mFree += IsFree(engine) && !InDoubt(id, "") ? 1 : 0;
  }
  std::map<std::string, std::size_t> have;
  for (const auto& [name, replica] : mReplicas) {
    have[replica.mModel] += replica.mPhase != ReplicaPhase::kBroken || AnyUsable(replica) ? 1 : 0;
  }
  for (auto& [name, domain] : domains) {
    const auto reserve =
      static_cast<std::size_t>(std::ceil(static_cast<double>(domain.mAll) * mOptions.mSpareShare));
    for (;;) {
      // The model that is furthest below its share of the engines, of those that fit.
      const ModelSpec* best = nullptr;
      double bestRatio = 0;
      for (const auto& it : mView->mPool->mModels) {
        const double due = it.mShare * static_cast<double>(all) / static_cast<double>(it.mSize);
        const double ratio = static_cast<double>(have[it.mName]) / std::max(due, 1e-9);
        if (domain.mFree >= it.mSize + reserve && (best == nullptr || ratio < bestRatio)) {
          best = &it;
          bestRatio = ratio;
        }
      }
      if (best == nullptr) {
        break;
      }
      PlannedReplica replica;
      replica.mName = "r" + std::to_string(mView->mFence) + "-" + std::to_string(++mNames);
      replica.mModel = best->mName;
      replica.mDomain = name;
      std::vector<std::string> members;
      for (const auto* it : FreeEngines(name, best->mName, replica.mName)) {
        if (members.size() < best->mSize) {
          members.push_back(it->mId);
        }
      }
      Begin(replica, std::move(members));
      domain.mFree -= best->mSize;
      ++have[best->mName];
      mReplicas[replica.mName] = std::move(replica);
    }
  }
}

void
GroupPlanner::NoteReadiness(PlannedReplica& aReplica)
{
  for (const auto& it : aReplica.mMembers) {
    const EngineRecord* engine = Find(it);
    const GroupPlace& place = engine->mGroup;
    if (place.mName == aReplica.mName && place.mEpoch == aReplica.mEpoch &&
        (place.mPhase == GroupPhase::kReady || place.mPhase == GroupPhase::kOpen)) {
      aReplica.mReady.insert(it);
    }
  }
}

void
GroupPlanner::Drive(PlannedReplica& aReplica)
{
  if (aReplica.mPhase != ReplicaPhase::kForming && aReplica.mPhase != ReplicaPhase::kOpening) {
    return;
  }
  NoteReadiness(aReplica);
  GroupOrder order;
  order.mFence = mView->mFence;
  order.mGroup = aReplica.mName;
  order.mEpoch = aReplica.mEpoch;
  if (aReplica.mReady.size() < aReplica.mMembers.size()) {
    order.mKind = GroupOrderKind::kJoin;
    order.mModel = aReplica.mModel;
    order.mMembers = aReplica.mMembers;
    for (const auto& it : aReplica.mMembers) {
      if (aReplica.mReady.count(it) == 0) {
        order.mEngine = it;
        Give(order);
      }
    }
    return;
  }
  aReplica.mPhase = ReplicaPhase::kOpening;
  order.mKind = GroupOrderKind::kOpen;
  order.mEngine = aReplica.mMembers.front();
  Give(order);
}

bool
GroupPlanner::Give(GroupOrder aOrder)
{
  Pending& pending = mPending[aOrder.mEngine + " " + ToString(aOrder.mKind)];
  if (pending.mWaiting || mView->mNow < pending.mDue) {
    return false;
  }
  const EngineRecord* engine = Find(aOrder.mEngine);
  if (engine == nullptr) {
    return false;
  }
  if (aOrder.mKind == GroupOrderKind::kJoin && !Guard(aOrder)) {
    return false;
  }
  pending.mWaiting = true;
  pending.mLoads =
    aOrder.mKind == GroupOrderKind::kJoin && JoinTime(*engine, aOrder.mModel) > kRejoinTime;
  aOrder.mAddress = engine->mAddress;
  mOrders.push_back(std::move(aOrder));
  return true;
}

bool
GroupPlanner::Guard(GroupOrder& aOrder)
{
  // Two holders can be at work for a moment, one of them with orders still on their way, and
  // registrations are a little old. Decided on such a view, a join could take an engine out of a
  // replica that has just opened. The engine itself refuses it when it has accepted any order that
  // this holder does not know of. A repeat of a join that was answered needs no guard: it changes
  // nothing.
  std::uint64_t& given = mJoinsGiven[aOrder.mEngine];
  if (given == aOrder.mEpoch) {
    return true;
  }
  if (IsElsewhere(*Find(aOrder.mEngine), aOrder.mGroup)) {
    const auto replica = mReplicas.find(aOrder.mGroup);
    if (replica != mReplicas.end()) {
      replica->second.mPhase = ReplicaPhase::kBroken;
      replica->second.mSince = mView->mNow;
      replica->second.mNotBefore = mView->mNow + mOptions.mStalePause;
      replica->second.mWhy = aOrder.mEngine + " is in another replica";
    }
    return false;
  }
  const auto accepted = mAccepted.find(aOrder.mEngine);
  if (accepted == mAccepted.end()) {
    mWanted[aOrder.mEngine] = *Find(aOrder.mEngine);
    return false;
  }
  aOrder.mAccepted = accepted->second;
  given = aOrder.mEpoch;
  return true;
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

void
GroupPlanner::CareForSpares()
{
  std::map<std::string, std::map<std::string, int>> standby; // domain and model to spares
  std::vector<const EngineRecord*> idle;
  for (const auto& [id, engine] : *mView->mEngines) {
    if (!Usable(engine) || engine.mDomain.empty() || InReplica(id)) {
      continue;
    }
    if (!IsFree(engine)) {
      Dismiss(engine);
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
  if (mView->mNow - mLastNew < mOptions.mSettle && !mView->mTraffic) {
    return;
  }
  for (const auto* it : idle) {
    const std::string model = SpareModelFor(*it, standby[it->mDomain]);
    if (model.empty()) {
      continue;
    }
    ++standby[it->mDomain][model];
    if (!it->HasStaged(model)) {
      if (!MayLoad()) {
        continue;
      }
      GroupOrder order;
      order.mKind = GroupOrderKind::kStage;
      order.mFence = mView->mFence;
      order.mEngine = it->mId;
      order.mModel = model;
      if (Give(order)) {
        mStaging[it->mId] = { model, mView->mNow };
      }
      continue;
    }
    mSpares[it->mId] = { model, NextEpoch(), false };
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
    if (spare.mReady && IsFree(*Find(it->first)) && Usable(it->first)) {
      StageOther(*Find(it->first), spare.mModel);
    }
    if (!spare.mReady && Usable(it->first) && IsFree(*Find(it->first)) && !InDoubt(it->first, "")) {
      GroupOrder order;
      order.mKind = GroupOrderKind::kJoin;
      order.mFence = mView->mFence;
      order.mEngine = it->first;
      order.mGroup = kSparePrefix + it->first;
      order.mEpoch = spare.mEpoch;
      order.mModel = spare.mModel;
      order.mMembers = { it->first };
      Give(order);
    }
    ++it;
  }
}

void
GroupPlanner::StageOther(const EngineRecord& aEngine, const std::string& aModel)
{
  // A spare joins the model of its last group in 200 ms whatever its host holds. So the weights on
  // the host can be those of another model, and one spare stands in for two.
  for (const auto& it : mView->mPool->mModels) {
    if (it.mName == aModel || aEngine.HasStaged(it.mName) || mStaging.count(aEngine.mId) != 0) {
      continue;
    }
    if (!MayLoad()) {
      return;
    }
    GroupOrder order;
    order.mKind = GroupOrderKind::kStage;
    order.mFence = mView->mFence;
    order.mEngine = aEngine.mId;
    order.mModel = it.mName;
    if (Give(order)) {
      mStaging[aEngine.mId] = { it.mName, mView->mNow };
    }
    return;
  }
}

void
GroupPlanner::Dismiss(const EngineRecord& aEngine)
{
  // It was replaced while nobody could reach it, and by its own word it still belongs to a replica
  // that may serve. To order it elsewhere now would have it in two at once.
  mSpares.erase(aEngine.mId);
  GroupOrder order;
  order.mKind = GroupOrderKind::kLeave;
  order.mFence = mView->mFence;
  order.mEngine = aEngine.mId;
  order.mGroup = PlaceOf(aEngine).mName;
  order.mEpoch = PlaceOf(aEngine).mEpoch;
  Give(order);
}

std::string
GroupPlanner::SpareModelFor(const EngineRecord& aEngine,
                            const std::map<std::string, int>& aStandby) const
{
  // A spare is worth most for the model whose members in its domain are most likely to be lost,
  // which is the one with the most members for each spare that it has.
  std::map<std::string, std::size_t> members;
  for (const auto& [name, replica] : mReplicas) {
    if (replica.mDomain == aEngine.mDomain) {
      members[replica.mModel] += replica.mMembers.size();
    }
  }
  std::string best;
  double bestWorth = 0;
  std::size_t bestSize = 0; // of equals the smaller model's: no model goes without a spare
  for (const auto& it : mView->mPool->mModels) {
    const auto n = members.find(it.mName);
    const auto have = aStandby.find(it.mName);
    constexpr double kStagedWorth = 1.5; // a load saved outweighs a little evenness
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

void
GroupPlanner::OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow)
{
  Pending& pending = mPending[aOrder.mEngine + " " + ToString(aOrder.mKind)];
  pending.mWaiting = false;
  NoteAccepted(aOrder, aAnswer);
  if (aAnswer == OrderAnswer::kNone) {
    pending.mDue = aNow; // at once again: the effect may be there or not
    if (aOrder.mKind == GroupOrderKind::kJoin && !IsSpareGroup(aOrder.mGroup)) {
      mLostJoins[aOrder.mEngine] = { aOrder.mGroup, aNow + mOptions.mLateOrder };
    }
    if (++pending.mUnanswered >= mOptions.mMostUnanswered) {
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
    mUnanswering.insert(aOrder.mEngine);
    return;
  }
  if (aAnswer == OrderAnswer::kStale && current) {
    // Something newer was ordered there; form anew under a later epoch.
    replica->second.mPhase = ReplicaPhase::kBroken;
    replica->second.mSince = aNow;
    replica->second.mNotBefore = aNow + mOptions.mStalePause;
    replica->second.mWhy = "an order was refused as stale by " + aOrder.mEngine;
    return;
  }
  if (aOrder.mKind == GroupOrderKind::kLeave) {
    mReported.erase(aOrder.mEngine);
    mLeftAt[aOrder.mEngine] = aNow;
    return;
  }
  if (aOrder.mKind == GroupOrderKind::kJoin) {
    const bool holds = aAnswer == OrderAnswer::kHolds;
    if (aAnswer == OrderAnswer::kBegun || holds) {
      mLostJoins.erase(aOrder.mEngine);
      // Its registration will say so a little later; until then it must not count as free.
      mReported[aOrder.mEngine] = { { aOrder.mGroup, aOrder.mEpoch, 0, GroupPhase::kJoining },
                                    aNow };
      mLeftAt.erase(aOrder.mEngine);
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
  const bool accepted = aAnswer == OrderAnswer::kBegun || aAnswer == OrderAnswer::kHolds;
  if (aOrder.mKind == GroupOrderKind::kOpen && current && accepted &&
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
  if (aOrder.mKind == GroupOrderKind::kJoin && aAnswer == OrderAnswer::kBegun) {
    return aLoads ? mOptions.mAskLoaded : mOptions.mAskJoined;
  }
  return mOptions.mRepeat;
}

void
GroupPlanner::NoteAccepted(const GroupOrder& aOrder, OrderAnswer aAnswer)
{
  const auto known = mAccepted.find(aOrder.mEngine);
  const bool refused = aAnswer == OrderAnswer::kNotNow && aOrder.mKind == GroupOrderKind::kJoin;
  if (aAnswer == OrderAnswer::kBegun && known != mAccepted.end()) {
    ++known->second;
  } else if (aAnswer == OrderAnswer::kNone || refused) {
    mAccepted.erase(aOrder.mEngine); // unknown until it is asked
  }
  if (aAnswer == OrderAnswer::kNone || refused) {
    mJoinsGiven.erase(aOrder.mEngine);
  }
}

void
GroupPlanner::OnReport(const std::string& aEngine, const EngineReport& aReport, TimePoint aNow)
{
  mAccepted[aEngine] = aReport.mAccepted;
  mAnsweredAt[aEngine] = aNow;
  const auto left = mLeftAt.find(aEngine);
  if (left == mLeftAt.end() || aNow - left->second >= mOptions.mReportLife) {
    mReported[aEngine] = { aReport.mGroup, aNow };
  }
  const GroupPlace& place = aReport.mGroup;
  const auto it = mReplicas.find(place.mName);
  const bool ready = place.mPhase == GroupPhase::kReady || place.mPhase == GroupPhase::kOpen;
  if (it != mReplicas.end() && it->second.mEpoch == place.mEpoch && ready) {
    it->second.mReady.insert(aEngine);
  }
}

void
GroupPlanner::Forgive(const std::string& aEngine)
{
  mUnanswering.erase(aEngine);
}

} // namespace pepperbay
