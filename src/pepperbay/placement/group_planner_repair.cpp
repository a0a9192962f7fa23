#include "group_planner_constants.hpp"
#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pepperbay {

void
GroupPlanner::RepairBroken()
{
  std::vector<std::string> done;
  for (auto& [name, replica] : mReplicas) {
    if (replica.mPhase == ReplicaPhase::kBroken && replica.mGivenUp) {
      mGivenUp[name] = { replica.mEpoch, mView->mNow };
      done.push_back(name);
      continue;
    }
    if (replica.mPhase == ReplicaPhase::kBroken && UnlistedHeadHasRequests(replica)) {
      replica.mNotBefore = mView->mNow + mOptions.mHeadCheckInterval;
    }
    if (replica.mPhase != ReplicaPhase::kBroken || mView->mNow < replica.mNotBefore) {
      continue;
    }
    const bool anyListed =
      std::any_of(replica.mMembers.begin(),
                  replica.mMembers.end(),
                  [this](const std::string& aMember) { return Find(aMember) != nullptr; });
    // Members that wait for a spare in vain are more useful in another replica.
    const bool hopeless = mView->mNow - replica.mSince >= mOptions.mGiveUpAfter;
    if (!anyListed || (!Repair(replica) && hopeless && AnyUsable(replica))) {
      done.push_back(name);
    }
  }
  for (const auto& it : done) {
    Drop(it);
  }
  if (mOptions.mJoinSurvivors) {
    JoinSurvivors();
    if (mView->mTraffic) {
      GiveUpServing();
    }
  }
}

void
GroupPlanner::Drop(const std::string& aName)
{
  const auto replica = mReplicas.find(aName);
  RemoveFromIndex(replica->second);
  mReplicas.erase(replica);
}

bool
GroupPlanner::JoinsWithoutLoad(const EngineRecord& aEngine, const std::string& aModel) const
{
  const ModelSpec* model = mView->mPool->FindModel(aModel);
  // A pool may configure no time for joining with the weights on the host, or one below
  // kRejoinTime.
  return model != nullptr &&
         JoinTime(aEngine, aModel) <= std::max<Duration>(model->mWarmupTime, kRejoinTime);
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
  std::vector<std::string> members = Survivors(aReplica);
  if (members.empty()) {
    return false; // nothing to keep; its engines are free once they return
  }
  // An engine without a registration may be about to stop listening, and seconds later its head
  // would refuse all requests. It is used only if there is no other.
  const auto unlisted =
    std::stable_partition(members.begin(), members.end(), [this](const std::string& aMember) {
      return FindListed(aMember) != nullptr;
    });
  const std::vector<std::string> inNeed(unlisted, members.end());
  members.erase(unlisted, members.end());
  members.resize(std::min(members.size(), model->mSize));
  const auto free = FreeEngines(aReplica.mDomain, aReplica.mModel, aReplica.mName);
  for (const auto* it : free) {
    // An engine that has to load weights would keep the other members waiting meanwhile. It loads
    // as a spare instead and then joins whichever replica needs it.
    const bool takes = WaitsForLoads() || JoinsWithoutLoad(*it, aReplica.mModel);
    if (members.size() < model->mSize && takes) {
      members.push_back(it->mId);
    }
  }
  for (const auto& it : inNeed) {
    if (members.size() < model->mSize) {
      members.push_back(it);
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

bool
GroupPlanner::WaitsForLoads() const
{
  return !mView->mTraffic || mOptions.mSpares == SparePolicy::kIdle || !mOptions.mJoinSurvivors;
}

void
GroupPlanner::Begin(PlannedReplica& aReplica, std::vector<std::string> aMembers)
{
  for (const auto& it : aMembers) {
    mSpares.erase(it);
    mPending.erase(it + " join");
  }
  SetMembers(aReplica, std::move(aMembers));
  aReplica.mEpoch = NextEpoch();
  aReplica.mPhase = ReplicaPhase::kForming;
  aReplica.mReady.clear();
  aReplica.mRestarted.clear();
  aReplica.mSince = mView->mNow;
  aReplica.mLeavingSince.reset();
  aReplica.mMemberLost = false;
  aReplica.mHeadUnlisted = false;
  mPending.erase(aReplica.mMembers.front() + " open");
}

std::string
GroupPlanner::NewName()
{
  return "r" + std::to_string(mView->mFence) + "-" + std::to_string(++mNames) + "-" +
         mView->mService;
}

bool
GroupPlanner::EnoughForNew(const std::string& aDomain, const ModelSpec& aModel) const
{
  if (WaitsForLoads() || mOptions.mSpares != SparePolicy::kStandbyForAll) {
    return true;
  }
  // While requests arrive, engines that still have to load are more useful as spares: they can join
  // whichever replica breaks next.
  const auto free = FreeEngines(aDomain, aModel.mName, "");
  const auto quick = std::count_if(free.begin(), free.end(), [&](const EngineRecord* aEngine) {
    return JoinsWithoutLoad(*aEngine, aModel.mName);
  });
  return static_cast<std::size_t>(quick) >= aModel.mSize;
}

void
GroupPlanner::FormNew()
{
  if (mView->mNow - mLastNew < mOptions.mSettleTime) {
    return;
  }
  struct Domain
  {
    std::size_t mAll = 0;
    std::size_t mFree = 0;
  };
  std::map<std::string, Domain> domains;
  std::size_t all = 0;
  for (const auto& [name, engines] : mByDomain) {
    if (name.empty()) {
      continue;
    }
    Domain& domain = domains[name];
    for (const auto* it : engines) {
      if (Usable(*it)) {
        ++domain.mAll;
        domain.mFree += IsFree(*it) && !MayJoinLate(it->mId, "") ? 1 : 0;
      }
    }
    all += domain.mAll;
  }
  std::map<std::string, std::size_t> have;
  for (const auto& [name, replica] : mReplicas) {
    have[replica.mModel] += replica.mPhase != ReplicaPhase::kBroken || AnyUsable(replica) ? 1 : 0;
  }
  std::set<std::string> waiting; // domains where a broken replica waits for free engines
  for (const auto& [name, replica] : mReplicas) {
    if (MissingMembers(replica) > 0 && !WaitsForLoads()) {
      waiting.insert(replica.mDomain);
    }
  }
  for (auto& [name, domain] : domains) {
    if (waiting.count(name) != 0) {
      continue;
    }
    const auto reserve =
      static_cast<std::size_t>(std::ceil(static_cast<double>(domain.mAll) * mOptions.mSpareShare));
    while (domain.mFree > reserve) {
      const ModelSpec* best = MostUnderprovisioned(name, domain.mFree - reserve, all, have);
      // No other model is formed instead: the model below its share would never get its engines.
      if (best == nullptr || !EnoughForNew(name, *best)) {
        break;
      }
      PlannedReplica replica;
      replica.mName = NewName();
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
      CountFormed(name, best->mName);
      mReplicas[replica.mName] = std::move(replica);
    }
  }
}

std::vector<const EngineRecord*>
GroupPlanner::FreeEngines(const std::string& aDomain,
                          const std::string& aModel,
                          const std::string& aGroup) const
{
  std::vector<std::pair<Duration, const EngineRecord*>> ranked;
  const auto domain = mByDomain.find(aDomain);
  if (domain == mByDomain.end()) {
    return {};
  }
  mEnginesExamined += domain->second.size();
  for (const auto* engine : domain->second) {
    const std::string& id = engine->mId;
    const bool free = IsFree(*engine) || (!InReplica(id) && !IsInOtherReplica(*engine, aGroup));
    if (Usable(*engine) && free && !MayJoinLate(id, aGroup)) {
      ranked.emplace_back(JoinTime(*engine, aModel), engine);
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

Duration
GroupPlanner::LoadTime(const std::string& aModel) const
{
  const ModelSpec* model = mView->mPool->FindModel(aModel);
  return model == nullptr ? Duration::max() : model->mLoadTime;
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

} // namespace pepperbay
