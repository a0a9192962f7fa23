#include "plan_builder.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// The engines registered under one name and the newest epoch of it.
struct StandingGroup
{
  std::uint64_t mEpoch = 0;
  std::vector<const EngineRecord*> mMembers;
  const EngineRecord* mHead = nullptr;
};

using StandingGroups = std::map<std::string, StandingGroup>;

void
Add(const EngineRecord& aEngine, StandingGroups& aGroups)
{
  const GroupPlace& place = aEngine.mGroup;
  StandingGroup& group = aGroups[place.mName];
  if (place.mEpoch < group.mEpoch) {
    return;
  }
  if (place.mEpoch > group.mEpoch) {
    group = StandingGroup{};
    group.mEpoch = place.mEpoch;
  }
  group.mMembers.push_back(&aEngine);
  if (place.mRank == 0) {
    group.mHead = &aEngine;
  }
}

std::uint64_t
BornMs(WallTime aBorn)
{
  return static_cast<std::uint64_t>(aBorn.time_since_epoch().count());
}

EngineTarget
TargetOf(const EngineRecord& aEngine)
{
  return { aEngine.mId, aEngine.mAddress, aEngine.mDataCentre, aEngine.mBorn };
}

/// @return whether a member is known not to answer. That one is no longer listed says little: the
/// holder asks it.
bool
HasLost(const StandingGroup& aGroup, const std::function<bool(const std::string&)>& aLost)
{
  return std::any_of(aGroup.mMembers.begin(), aGroup.mMembers.end(), [&](const auto* aMember) {
    return aLost(aMember->mId);
  });
}

std::vector<PoolReplica>
ReplicasOf(const ServiceSpec& aService, const PlanSources& aSources)
{
  StandingGroups groups;
  std::unordered_map<std::uint32_t, const EngineRecord*> byShortId;
  for (const auto& [id, engine] : *aSources.mEngines) {
    if (engine.mService != aService.mName) {
      continue;
    }
    byShortId[ShortId(id)] = &engine;
    if (!engine.mGroup.mName.empty()) {
      Add(engine, groups);
    }
  }
  std::vector<PoolReplica> replicas;
  for (const auto& [name, group] : groups) {
    const auto news = aSources.mNews->find(name);
    const bool newer = news != aSources.mNews->end() && news->second.epoch() > group.mEpoch;
    if (newer || group.mHead == nullptr || group.mHead->mLoadedModels.empty()) {
      continue;
    }
    PoolReplica target;
    target.mGroup = name;
    target.mEpoch = group.mEpoch;
    target.mModel = group.mHead->mLoadedModels.front();
    target.mHead = TargetOf(*group.mHead);
    const bool open = group.mHead->mGroup.mPhase == GroupPhase::kOpen;
    target.mLost = open && HasLost(group, aSources.mLost);
    target.mSuspended = !open || target.mLost || group.mHead->mLeaving;
    if (news != aSources.mNews->end() && news->second.epoch() == group.mEpoch) {
      target.mLost = target.mLost || news->second.lost();
      target.mSuspended = target.mSuspended || !news->second.open();
    }
    replicas.push_back(std::move(target));
  }
  for (const auto& [name, news] : *aSources.mNews) {
    const auto group = groups.find(name);
    const auto head = byShortId.find(news.head());
    const bool known = group != groups.end() && group->second.mEpoch >= news.epoch();
    if (known || head == byShortId.end()) {
      continue;
    }
    if (BornMs(head->second->mBorn) > news.head_born_ms()) {
      continue; // of before the head started again: it is in no replica now
    }
    PoolReplica target;
    target.mGroup = name;
    target.mEpoch = news.epoch();
    target.mModel = news.model();
    target.mHead = TargetOf(*head->second);
    target.mLost = news.lost();
    target.mSuspended = !news.open() || head->second->mLeaving;
    replicas.push_back(std::move(target));
  }
  return replicas;
}

} // namespace

std::shared_ptr<TrafficPlan>
BuildPlan(const PlanSources& aSources)
{
  auto plan = std::make_shared<TrafficPlan>();
  plan->mComplete = aSources.mComplete;
  plan->mRoutes = aSources.mRoutes;
  if (!plan->mRoutes) {
    return plan;
  }
  auto addresses = std::make_shared<EngineAddresses>();
  for (const auto& [id, engine] : *aSources.mEngines) {
    (*addresses)[id] = engine.mAddress;
    if (engine.mBorn != WallTime{}) {
      plan->mIncarnations[id] = engine.mBorn;
    }
    const ServiceSpec* service = plan->mRoutes->FindService(engine.mService);
    if (service != nullptr && !service->mPool && !engine.mLeaving) {
      plan->mEngines[engine.mService].push_back(TargetOf(engine));
    }
  }
  plan->mAddresses = std::move(addresses);
  for (const auto& it : plan->mRoutes->Services()) {
    if (it.mPool) {
      plan->mReplicas[it.mName] = ReplicasOf(it, aSources);
    }
  }
  return plan;
}

std::vector<proto::ReplicaNews>
NewsOf(const std::map<std::string, PlannedReplica>& aReplicas,
       const std::function<WallTime(const std::string& aEngine)>& aBornOf,
       TimePoint aNow,
       Duration aFormTime)
{
  std::vector<proto::ReplicaNews> all;
  for (const auto& [name, replica] : aReplicas) {
    proto::ReplicaNews news;
    news.set_group(name);
    news.set_epoch(replica.mEpoch);
    news.set_model(replica.mModel);
    news.set_head(ShortId(replica.mMembers.front()));
    news.set_head_born_ms(BornMs(aBornOf(replica.mMembers.front())));
    // The head serves a while after it has accepted the order to open.
    news.set_open(replica.mPhase == ReplicaPhase::kOpen && !replica.mLeavingSince &&
                  aNow - replica.mSince >= aFormTime);
    news.set_lost(replica.mPhase == ReplicaPhase::kBroken || replica.mMemberLost);
    all.push_back(std::move(news));
  }
  return all;
}

} // namespace pepperbay
