/// @file
/// @brief Builds the traffic threads' plan from the control thread's state. Pure.
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
  const EngineDepartures* mDepartures = nullptr;
  /// The lease holder's updates of replicas, by name.
  const std::map<std::string, proto::ReplicaNews>* mUpdates = nullptr;
  std::function<bool(const std::string& aEngine)> mLost;
};

/// Builds a plan. A replica takes requests only while its head is registered and reports that it is
/// open, no member is known to be lost, and the lease holder, which sends status requests to the
/// members, does not say otherwise. The holder's updates take precedence over older registrations.
std::shared_ptr<TrafficPlan>
BuildPlan(const PlanSources& aSources);

/// The holder's updates of its replicas.
/// @param aBornOf returns the start time of an engine's newest incarnation
std::vector<proto::ReplicaNews>
UpdatesOf(const std::map<std::string, PlannedReplica>& aReplicas,
          const std::function<WallTime(const std::string& aEngine)>& aBornOf,
          TimePoint aNow,
          Duration aFormTime);

} // namespace pepperbay
