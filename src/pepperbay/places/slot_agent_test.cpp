#include "pepperbay/admission/retry_account.hpp"
#include "slot_simulation.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = SlotSimulation::kSlots;

/// Guards against engines that reject a fifth of the requests while other slots are free: many
/// nodes with a few requests each choose at once, and every node picks the replica that appeared
/// least loaded to all.
TEST(Slots, ManyNodesFillAllSlotsAndNoneTwice)
{
  SlotSimulation simulation;
  simulation.AddReplicas(12, "a");
  for (int i = 0; i < 48; ++i) {
    simulation.AddNode("n" + std::to_string(i));
  }
  simulation.Publish({ { "a", { "n0" } } });
  std::map<std::string, int> taken;
  for (auto& it : simulation.mNodes) {
    const SlotResult result = simulation.Ask(it);
    ASSERT_EQ(result.mOutcome, SlotOutcome::kGranted);
    ++taken[result.mHead.mId];
    if (&it == &simulation.mNodes.front()) {
      it.mBalancer->OnStart(
        result.mHead.mId); // request of the allocator itself, counted when it is sent
    }
  }
  EXPECT_EQ(taken.size(), 12U);
  for (const auto& [head, n] : taken) {
    EXPECT_EQ(n, kSlots) << head;
  }
}

/// Guards against callers of each node getting errors of an engine of a plain service that two
/// nodes have reported already: each node sends the engine only a request now and then.
TEST(Slots, ReportsOfTwoNodesAboutAnEngineTellAll)
{
  SlotSimulation simulation;
  simulation.AddReplicas(2, "a");
  for (const char* it : { "desk", "one", "two", "three" }) {
    simulation.AddNode(it);
  }
  simulation.Publish({ { "a", { "desk" } } });
  const std::uint32_t engine = ShortId("plain");
  const auto fails = [&](std::size_t aNode) {
    return simulation.mNodes[aNode].mBalancer->Failures().Fails(engine, simulation.mClock.Now());
  };
  simulation.mNodes[1].mBalancer->Failures().OnFailed("plain", simulation.mClock.Now());
  simulation.Ask(simulation.mNodes[1]);
  simulation.Ask(simulation.mNodes[3]);
  EXPECT_FALSE(fails(3)) << "any engine fails a request now and then";
  simulation.mNodes[2].mBalancer->Failures().OnFailed("plain", simulation.mClock.Now());
  simulation.Ask(simulation.mNodes[2]);
  simulation.Ask(simulation.mNodes[3]);
  EXPECT_TRUE(fails(3));
  EXPECT_TRUE(fails(0));
}

TEST(Slots, ASlotIsFreeAgainOnceItIsReturned)
{
  SlotSimulation simulation;
  simulation.AddReplicas(1, "a");
  auto& allocator = simulation.AddNode("desk");
  auto& node = simulation.AddNode("n");
  simulation.Publish({ { "a", { "desk" } } });
  const SlotResult result = simulation.Ask(node);
  ASSERT_EQ(result.mOutcome, SlotOutcome::kGranted);
  EXPECT_EQ(result.mTicket.mAllocator, "desk");
  EXPECT_EQ(result.mHead.mAddress, "10.0.0.1:80");
  EXPECT_EQ(simulation.InProgress(allocator, "e0"), 1);
  node.mAgent->End(result.mTicket);
  node.mAgent->End(result.mTicket);
  simulation.Run(milliseconds(40));
  EXPECT_EQ(simulation.InProgress(allocator, "e0"), 0);
}

/// Guards against requests that wait for seconds after the allocator has failed: until heartbeats
/// show the failure, each question waited for its answer for ever, or each one for its own
/// time-out.
TEST(Slots, ASilentAllocatorCostsOneTimeout)
{
  SlotSimulation simulation;
  simulation.AddReplicas(4, "a");
  auto& first = simulation.AddNode("first");
  simulation.AddNode("second");
  auto& node = simulation.AddNode("n");
  simulation.Publish({ { "a", { "first", "second" } } });
  first.mAlive = false;
  const TimePoint before = simulation.mClock.Now();
  EXPECT_EQ(simulation.Ask(node).mTicket.mAllocator, "second");
  EXPECT_LE(simulation.mClock.Now() - before, milliseconds(60));
  const TimePoint later = simulation.mClock.Now();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(simulation.Ask(node).mTicket.mAllocator, "second");
  }
  EXPECT_EQ(simulation.mClock.Now(), later) << "the silent allocator is skipped for now";
  EXPECT_EQ(node.mAgent->Counters().mTimedOut, 1U);
}

/// Guards against requests to engines that have left: an allocator that is cut off from the store
/// goes on granting slots at engines that the asking node knows to leave, or to be gone.
TEST(Slots, AGrantOfAnEngineThatTheAskerKnowsToLeaveIsNotUsed)
{
  for (const bool gone : { false, true }) {
    SCOPED_TRACE(gone ? "gone" : "leaves");
    SlotSimulation simulation;
    simulation.AddReplicas(4, "a");
    auto& allocator = simulation.AddNode("desk");
    auto& node = simulation.AddNode("n");
    simulation.Publish({ { "a", { "desk" } } });
    allocator.mIgnoresPlans = true;
    const PoolReplica left = simulation.mReplicas[1];
    simulation.mDepartures[left.mHead.mId] = { simulation.mClock.Now(), left.mHead.mBorn };
    if (gone) {
      simulation.mReplicas.erase(simulation.mReplicas.begin() + 1);
    } else {
      simulation.mReplicas[1].mSuspended = true;
    }
    simulation.Publish({ { "a", { "desk" } } });
    for (int i = 0; i < 3 * kSlots; ++i) {
      const SlotResult result = simulation.Ask(node);
      ASSERT_EQ(result.mOutcome, SlotOutcome::kGranted) << i;
      EXPECT_NE(result.mHead.mId, left.mHead.mId) << i;
      EXPECT_EQ(result.mTicket.mAllocator, "desk") << "it still counts the slots";
    }
    simulation.Run(milliseconds(40));
    EXPECT_EQ(simulation.InProgress(allocator, left.mHead.mId), 0);
  }
}

/// Guards against an engine that started again and is refused for what its former start said.
TEST(Slots, AGrantOfANewStartIsUsedThoughTheFormerOneLeft)
{
  SlotSimulation simulation;
  simulation.AddReplicas(1, "a");
  simulation.mReplicas[0].mHead.mBorn = WallTime(milliseconds(2000));
  simulation.AddNode("desk");
  auto& node = simulation.AddNode("n");
  simulation.mDepartures["e0"] = { simulation.mClock.Now(), WallTime(milliseconds(1000)) };
  simulation.Publish({ { "a", { "desk" } } });
  EXPECT_EQ(simulation.Ask(node).mHead.mId, "e0");
}

/// Without an allocator, nodes choose from their own information, and nodes that do not know of
/// each other must not all start with the same replica.
TEST(Slots, NodesWithoutAnAllocatorSpreadOverTheReplicas)
{
  SlotSimulation simulation;
  simulation.AddReplicas(8, "a");
  auto& allocator = simulation.AddNode("desk");
  for (int i = 0; i < 32; ++i) {
    simulation.AddNode("n" + std::to_string(i));
  }
  simulation.Publish({ { "a", { "desk" } } });
  allocator.mAlive = false;
  std::map<std::string, int> taken;
  for (auto& it : simulation.mNodes) {
    if (&it == &allocator) {
      continue;
    }
    const SlotResult result = simulation.Ask(it);
    ASSERT_EQ(result.mOutcome, SlotOutcome::kGranted);
    EXPECT_TRUE(result.mTicket.mAllocator.empty());
    ++taken[result.mHead.mId];
  }
  EXPECT_GE(taken.size(), 7U);
  for (const auto& [head, n] : taken) {
    EXPECT_LE(n, 10) << head;
  }
}

/// All slots of one data centre are full, since one of its failure domains is down, and another
/// data centre has free ones. The allocator there knows which slots are occupied, so it grants and
/// counts the slot.
TEST(Slots, AFullDataCentreUsesTheSlotsOfAnother)
{
  SlotSimulation simulation;
  simulation.AddReplicas(1, "a");
  simulation.AddReplicas(2, "b");
  auto& here = simulation.AddNode("here", "a");
  auto& node = simulation.AddNode("n", "a");
  auto& there = simulation.AddNode("there", "b");
  simulation.Publish({ { "a", { "here" } }, { "b", { "there" } } });
  std::map<std::string, int> taken;
  std::vector<SlotTicket> elsewhere;
  for (int i = 0; i < 2 * kSlots; ++i) {
    const SlotResult result = simulation.Ask(node);
    ASSERT_EQ(result.mOutcome, SlotOutcome::kGranted);
    ++taken[result.mTicket.mAllocator];
    if (result.mTicket.mAllocator == "there") {
      elsewhere.push_back(result.mTicket);
    }
  }
  EXPECT_GE(taken["here"], kSlots - 1);
  EXPECT_GE(taken["there"], kSlots - 1);
  EXPECT_EQ(simulation.InProgress(there), taken["there"]);
  EXPECT_EQ(simulation.InProgress(here), taken["here"]);
  for (const auto& it : elsewhere) {
    node.mAgent->End(it);
  }
  simulation.Run(milliseconds(40));
  EXPECT_EQ(simulation.InProgress(there), 0);
}

/// Guards against second attempts being refused at one node with many failures while most of what
/// the requests of all nodes have earned is unspent, and against more second attempts than were
/// earned.
TEST(Slots, WhatAllNodesRequestsHaveEarnedIsForAnyOfThem)
{
  SlotSimulation simulation;
  simulation.AddReplicas(40, "a");
  for (int i = 0; i < 20; ++i) {
    simulation.AddNode("n" + std::to_string(i)).mAgent->SetRetryShare(0.2);
  }
  simulation.Publish({ { "a", { "n0" } } });
  constexpr int kRequests = 250;
  for (int i = 0; i < kRequests; ++i) {
    auto& node = simulation.mNodes[static_cast<std::size_t>(i) % simulation.mNodes.size()];
    node.mAgent->End(simulation.Ask(node).mTicket);
    simulation.Run(milliseconds(20));
  }
  SlotRequest request;
  request.mService = "pool";
  request.mModel = "m";
  request.mSecondAttempt = true;
  int granted = 0;
  for (int i = 0; i < 60; ++i) { // all at one node
    granted +=
      simulation.Ask(simulation.mNodes[5], request).mOutcome == SlotOutcome::kGranted ? 1 : 0;
  }
  EXPECT_GE(granted, 0.2 * kRequests / 2);
  EXPECT_LE(granted, 0.2 * kRequests);
  request.mBudgetDrawn = true;
  EXPECT_EQ(simulation.Ask(simulation.mNodes[5], request).mOutcome, SlotOutcome::kGranted);
}

/// Guards against requests that earn twice, since the answer of the first allocator was lost and
/// another one was asked, or the question was sent again.
TEST(Slots, ARequestThatSeveralAllocatorsAreAskedForEarnsOnce)
{
  SlotSimulation simulation;
  simulation.AddReplicas(40, "a");
  for (const char* it : { "d1", "d2", "n" }) {
    simulation.AddNode(it);
  }
  simulation.Publish({ { "a", { "d1", "d2" } } });
  simulation.mLoses = [](const std::string& aFrom, const std::string&) { return aFrom == "d1"; };
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    simulation.Ask(simulation.mNodes[2]);
    simulation.Run(milliseconds(400)); // until d1 is no longer skipped
  }
  EXPECT_EQ(simulation.mNodes[2].mAgent->Counters().mTimedOut, 20U);
  simulation.mLoses = nullptr;
  SlotRequest request;
  request.mService = "pool";
  request.mModel = "m";
  request.mSecondAttempt = true;
  int granted = 0;
  for (const char* allocator : { "d1", "d2" }) {
    simulation.Publish({ { "a", { allocator } } });
    while (simulation.Ask(simulation.mNodes[2], request).mOutcome == SlotOutcome::kGranted) {
      ++granted;
    }
  }
  EXPECT_GE(granted, 1);
  EXPECT_LE(granted, kRequests * RetryLimits().mShare * RetryParts().mEarned);
}

/// Guards against more second attempts in a window than requests have earned, when allocators fail
/// one after the other, nodes choose locally, and questions are lost or resent.
RC_GTEST_PROP(SlotsProperty, SecondAttemptsStayWithinWhatRequestsEarn, ())
{
  SlotSimulation simulation;
  simulation.AddReplicas(40, "a");
  for (const char* it : { "d1", "d2", "d3", "n1", "n2", "n3" }) {
    simulation.AddNode(it);
  }
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto chance = [&](int aPercent) { return static_cast<int>(random() % 100) < aPercent; };
  const int lost = *rc::gen::element(0, 10, 50);
  simulation.mLoses = [&](const std::string&, const std::string&) { return chance(lost); };
  simulation.mDelays = [&] { return milliseconds(chance(20) ? 25 : 0); };
  RetryAccount account({ RetryLimits().mShare, 0, RetryLimits().mWindow });
  std::vector<std::string> allocators = { "d1", "d2", "d3" };
  const int phases = *rc::gen::inRange(2, 6);
  for (int phase = 0; phase < phases; ++phase) {
    std::rotate(allocators.begin(), allocators.begin() + 1, allocators.end());
    for (auto& it : simulation.mNodes) {
      it.mAlive = it.mName != allocators.back() || chance(50);
    }
    simulation.Publish({ { "a", allocators } });
    const int perStep = *rc::gen::element(0, 1, 4);
    const int fails = *rc::gen::element(0, 20, 100);
    const auto ask = [&](SlotSimulation::Node& aNode, bool aAgain) {
      SlotRequest request;
      request.mService = "pool";
      request.mModel = "m";
      request.mSecondAttempt = aAgain;
      aNode.mAgent->Ask(request, [&, aAgain, node = &aNode](const SlotResult& aResult) {
        node->mAgent->End(aResult.mTicket);
        if (aAgain && aResult.mOutcome == SlotOutcome::kGranted) {
          account.OnRetry(simulation.mClock.Now());
        }
      });
    };
    for (int step = *rc::gen::inRange(10, 400); step > 0; --step) {
      for (int i = 0; i < perStep; ++i) {
        auto& node = simulation.mNodes[3 + random() % 3];
        account.OnRequest(simulation.mClock.Now());
        ask(node, false);
        if (chance(fails)) {
          ask(node, true);
        }
      }
      simulation.Run(milliseconds(20));
    }
    simulation.Run(seconds(1));
  }
  RC_ASSERT(account.Excess() <= 0);
}

/// Guards against a slot that is granted and returned at once while its request is never sent: the
/// answer arrives before the call that sends the question has returned, so the question must be
/// stored before it is sent.
TEST(Slots, AnAnswerMayComeWithinTheCall)
{
  SlotSimulation simulation;
  simulation.AddReplicas(1, "a");
  simulation.AddNode("desk");
  auto& node = simulation.AddNode("n");
  simulation.Publish({ { "a", { "desk" } } });
  simulation.mDeliversAtOnce = true;
  EXPECT_EQ(simulation.Ask(node).mTicket.mAllocator, "desk");
}

/// Guards against a node that sends to a replica that it knows to be lost: the update of the lease
/// holder has reached the node but not yet its allocator.
TEST(Slots, ANodeDoesNotUseASlotAtAReplicaThatItKnowsToBeLost)
{
  SlotSimulation simulation;
  simulation.AddReplicas(2, "a");
  simulation.AddNode("desk");
  auto& node = simulation.AddNode("n");
  simulation.Publish({ { "a", { "desk" } } });
  TrafficPlan newer;
  newer.mRoutes = simulation.mRoutes;
  newer.mReplicas["pool"] = simulation.mReplicas;
  newer.mReplicas["pool"][0].mLost = true;
  newer.mIsAllocator = false;
  newer.mAllocators = { { "desk", "desk" } };
  node.mAgent->SetPlan(std::make_shared<TrafficPlan>(newer));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(simulation.Ask(node).mHead.mId, "e1");
  }
}

TEST(Slots, MalformedMessagesAreCountedAndDropped)
{
  SlotSimulation simulation;
  auto& node = simulation.AddNode("n");
  node.mAgent->OnMessage("\xff\xff garbage");
  node.mAgent->OnMessage("");
  EXPECT_EQ(node.mAgent->Counters().mBadMessages, 2U);
}

/// Guards against an allocator that refuses requests though nothing is in progress, since it counts
/// slots that no node holds, or that frees slots that are held. Messages are lost, duplicated and
/// reordered; nodes ask, return slots, fail and restart. Each question is answered once, and once
/// the network has recovered an allocator counts exactly the slots that nodes hold.
RC_GTEST_PROP(SlotsProperty, AnAllocatorCountsWhatIsHeldOnceTheNetworkIsHealthy, ())
{
  SlotSimulation simulation;
  simulation.AddReplicas(5, "a");
  for (const char* it : { "d1", "d2", "n1", "n2", "n3" }) {
    simulation.AddNode(it);
  }
  simulation.Publish({ { "a", { "d1", "d2" } } });
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto chance = [&](int aPercent) { return static_cast<int>(random() % 100) < aPercent; };
  bool harmed = true;
  simulation.mLoses = [&](const std::string&, const std::string&) { return harmed && chance(25); };
  std::map<std::string, std::vector<SlotTicket>> held; // by node
  std::map<std::string, int> asked;
  std::map<std::string, int> answered;
  SlotRequest request;
  request.mService = "pool";
  request.mModel = "m";
  for (int step = 0; step < 150; ++step) {
    for (auto& it : simulation.mNodes) {
      if (it.mName[0] != 'n') {
        continue;
      }
      if (chance(40)) {
        ++asked[it.mName];
        it.mAgent->Ask(request, [&, name = it.mName](const SlotResult& aResult) {
          ++answered[name];
          if (aResult.mOutcome == SlotOutcome::kGranted && !aResult.mTicket.mAllocator.empty()) {
            held[name].push_back(aResult.mTicket);
          }
        });
      }
      auto& tickets = held[it.mName];
      if (!tickets.empty() && chance(45)) {
        it.mAgent->End(tickets.back());
        tickets.pop_back();
      }
    }
    if (simulation.mInTransit.size() > 1 && chance(30)) {
      std::swap(simulation.mInTransit.front(), simulation.mInTransit.back());
    }
    if (!simulation.mInTransit.empty() && chance(20)) {
      simulation.mInTransit.push_back(simulation.mInTransit.front());
    }
    if (chance(70)) {
      simulation.Run(milliseconds(20));
    }
  }
  harmed = false;
  simulation.Run(seconds(5));
  RC_ASSERT(asked == answered);
  std::map<std::string, int> expected;
  for (const auto& [node, tickets] : held) {
    for (const auto& it : tickets) {
      ++expected[it.mAllocator];
    }
  }
  for (const char* it : { "d1", "d2" }) {
    auto& allocator = *std::find_if(simulation.mNodes.begin(),
                                    simulation.mNodes.end(),
                                    [&](const auto& aNode) { return aNode.mName == it; });
    RC_ASSERT(simulation.InProgress(allocator) == expected[it]);
  }
}

} // namespace
} // namespace pepperbay
