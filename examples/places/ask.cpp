/// @file
/// @brief Two nodes, one of them the desk of both: a place is asked for, used and given back.

#include "pepperbay/places/slot_agent.hpp"

#include <iostream>
#include <memory>
#include <vector>

using namespace pepperbay; // NOLINT: a small program

namespace {

std::shared_ptr<TrafficPlan>
MakePlan(bool aIsDesk)
{
  Configuration configuration;
  ServiceSpec pool;
  pool.mName = "pool";
  pool.mPool.emplace();
  pool.mPool->mSlots = 2;
  configuration.mServices = { pool };
  auto plan = std::make_shared<TrafficPlan>();
  plan->mRoutes = std::make_shared<RouteTable>(configuration);
  PoolReplica replica;
  replica.mGroup = "r1";
  replica.mModel = "m";
  replica.mHead = { "engine-1", "10.0.0.1:80", "levis" };
  plan->mReplicas["pool"] = { replica };
  plan->mIsAllocator = aIsDesk;
  plan->mAllocators = { { "desk", "desk" } };
  return plan;
}

} // namespace

int
main()
{
  ManualClock clock;
  Balancer deskView(BalancerOptions{ "levis" });
  Balancer nodeView(BalancerOptions{ "levis" });
  std::unique_ptr<SlotAgent> desk;
  std::unique_ptr<SlotAgent> node;
  const auto send = [&](const std::string& aAddress, const std::string& aBytes) {
    (aAddress == "desk" ? *desk : *node).OnMessage(aBytes);
  };
  desk = std::make_unique<SlotAgent>(SlotAgentOptions{ "desk", 1, "levis", "desk" },
                                     SlotAgentHooks{ clock.Hook(), send },
                                     &deskView);
  node = std::make_unique<SlotAgent>(SlotAgentOptions{ "node", 1, "levis", "node" },
                                     SlotAgentHooks{ clock.Hook(), send },
                                     &nodeView);
  desk->SetPlan(MakePlan(true));
  node->SetPlan(MakePlan(false));
  SlotTicket ticket;
  node->Ask({ "pool", "m", std::chrono::milliseconds(30), {}, {}, false },
            [&](const SlotResult& aPlace) {
              ticket = aPlace.mTicket;
              std::cout << ToString(aPlace.mOutcome) << " at " << aPlace.mHead.mId << " by "
                        << ticket.mAllocator << "\n";
            });
  std::cout << "in progress by the desk's account: " << deskView.Own().at("engine-1") << "\n";
  node->End(ticket);
  node->Tick();
  std::cout << "and after the end: " << deskView.Own().count("engine-1") << "\n";
  return 0;
}
