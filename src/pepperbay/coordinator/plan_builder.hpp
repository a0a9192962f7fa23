/// @file
/// @brief From what the control thread knows to what traffic threads may use. Pure.
#pragma once

#include "peer_table.hpp"
#include "pepperbay/membership/engine_directory.hpp"
#include "pepperbay/placement/group_planner.hpp"
#include "pepperbay/routing/traffic_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pepperbay {

struct PlanSources
{
  bool mComplete = false;
  std::shared_ptr<const RouteTable> mRoutes;
  const EngineMap* mEngines = nullptr;
  /// What the holder of the lease says of replicas, by name.
  const std::map<std::string, proto::ReplicaNews>* mUpdates = nullptr;
  std::function<bool(const std::string& aEngine)> mLost;
};

/// A replica takes requests only while its head is registered and says that it is open, no member
/// is known to be lost, and the holder, who asks the members, does not say otherwise. The holder's
/// word goes before older registrations.
std::shared_ptr<TrafficPlan>
BuildPlan(const PlanSources& aSources);

/// What the holder tells of its replicas.
/// @param aBornOf the newest start of an engine
std::vector<proto::ReplicaNews>
UpdatesOf(const std::map<std::string, PlannedReplica>& aReplicas,
          const std::function<WallTime(const std::string& aEngine)>& aBornOf,
          TimePoint aNow,
          Duration aFormTime);

} // namespace pepperbay
