#include "plan_builder.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// The engines registered under one replica name, and its newest epoch.
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

/// @return whether a member is known to be lost. A member that is no longer registered is no
/// evidence: the holder probes it.
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
    const auto update = aSources.mUpdates->find(name);
    const bool newer = update != aSources.mUpdates->end() && update->second.epoch() > group.mEpoch;
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
    if (update != aSources.mUpdates->end() && update->second.epoch() == group.mEpoch) {
      target.mLost = target.mLost || update->second.lost();
      target.mSuspended = target.mSuspended || !update->second.open();
    }
    replicas.push_back(std::move(target));
  }
  for (const auto& [name, update] : *aSources.mUpdates) {
    const auto group = groups.find(name);
    const auto head = byShortId.find(update.head());
    const bool known = group != groups.end() && group->second.mEpoch >= update.epoch();
    if (known || head == byShortId.end()) {
      continue;
    }
    if (BornMs(head->second->mBorn) > update.head_born_ms()) {
      continue; // from before the head restarted: it is in no replica now
    }
    PoolReplica target;
    target.mGroup = name;
    target.mEpoch = update.epoch();
    target.mModel = update.model();
    target.mHead = TargetOf(*head->second);
    target.mLost = update.lost();
    target.mSuspended = !update.open() || head->second->mLeaving;
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
  if (aSources.mDepartures != nullptr && !aSources.mDepartures->empty()) {
    plan->mDepartures = std::make_shared<EngineDepartures>(*aSources.mDepartures);
  }
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
UpdatesOf(const std::map<std::string, PlannedReplica>& aReplicas,
          const std::function<WallTime(const std::string& aEngine)>& aBornOf,
          TimePoint aNow,
          Duration aFormTime)
{
  std::vector<proto::ReplicaNews> updates;
  for (const auto& [name, replica] : aReplicas) {
    proto::ReplicaNews update;
    update.set_group(name);
    update.set_epoch(replica.mEpoch);
    update.set_model(replica.mModel);
    update.set_head(ShortId(replica.mMembers.front()));
    update.set_head_born_ms(BornMs(aBornOf(replica.mMembers.front())));
    // The head starts to serve some time after it has accepted the order to open.
    update.set_open(replica.mPhase == ReplicaPhase::kOpen && !replica.mLeavingSince &&
                    aNow - replica.mSince >= aFormTime);
    update.set_lost(replica.mPhase == ReplicaPhase::kBroken || replica.mMemberLost);
    updates.push_back(std::move(update));
  }
  return updates;
}

} // namespace pepperbay
