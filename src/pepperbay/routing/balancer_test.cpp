#include "pepperbay/routing/balancer.hpp"

#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::seconds;

struct PoolOfThree
{
  PoolOfThree()
  {
    mService.mName = "pool";
    mService.mPool.emplace();
    mService.mPool->mSlots = 4;
    mService.mPool->mModels = { { "m", 3, 1.0, 1.0, seconds(16), seconds(1) } };
    for (const char* it : { "a", "b", "c" }) {
      PoolReplica replica;
      replica.mGroup = std::string("r-") + it;
      replica.mModel = "m";
      replica.mHead = { it, "10.0.0.1:80", it[0] == 'a' ? "here" : "there" };
      mPlan.mReplicas["pool"].push_back(replica);
    }
  }

  std::string Pick(const std::set<std::string>& aTried = {})
  {
    const auto choice = mBalancer.PickReplica(mPlan, mService, "m", aTried, mClock.Now());
    mFull = choice.mFull;
    return choice.mReplica == nullptr ? "" : choice.mReplica->mHead.mId;
  }

  ManualClock mClock;
  ServiceSpec mService;
  TrafficPlan mPlan;
  Balancer mBalancer{ BalancerOptions{ "here" } };
  bool mFull = false;
};

TEST(Balancer, SpreadsOverReplicasAndSlightlyPrefersItsDataCentre)
{
  PoolOfThree pool;
  std::map<std::string, int> picked;
  for (int i = 0; i < 12; ++i) {
    const std::string head = pool.Pick();
    pool.mBalancer.OnStart(head);
    ++picked[head];
  }
  EXPECT_GE(picked["a"], picked["b"]);
  EXPECT_LE(picked["a"] - picked["b"], 3);
  EXPECT_GE(picked["c"], 3);
}

TEST(Balancer, CountsWhatOtherNodesHaveInProgress)
{
  PoolOfThree pool;
  pool.mPlan.mOthersInFlight = { { "a", 5 }, { "b", 5 } };
  EXPECT_EQ(pool.Pick(), "c");
}

TEST(Balancer, ExcludesLostSuspendedAndTriedReplicas)
{
  PoolOfThree pool;
  auto& replicas = pool.mPlan.mReplicas["pool"];
  replicas[0].mLost = true;
  replicas[1].mSuspended = true;
  EXPECT_EQ(pool.Pick(), "c");
  EXPECT_EQ(pool.Pick({ "c" }), "");
  EXPECT_FALSE(pool.mFull);
}

TEST(Balancer, ReportsThatAllAreFull)
{
  PoolOfThree pool;
  pool.mPlan.mOthersInFlight = { { "a", 9 }, { "b", 9 }, { "c", 9 } };
  EXPECT_EQ(pool.Pick(), "");
  EXPECT_TRUE(pool.mFull);
}

/// Load of twice what a pool serves in time. Guards against queues so long that every caller is
/// late: a longer queue does not increase the number of requests served.
TEST(Balancer, AQueueHoldsOnlyRequestsThatCanBeInTime)
{
  BalancerOptions options;
  options.mDataCentre = "here";
  PoolOfThree pool;
  EnginePool& engines = *pool.mService.mPool;
  engines.mSlots = 20;
  engines.mStepTime = std::chrono::milliseconds(10);
  engines.mUsualAnswer = 100; // an answer takes 1 s, so a slot comes free every 50 ms
  const Balancer balancer(options);
  EXPECT_EQ(balancer.MaxRequestsAt(engines, "m", std::chrono::milliseconds(300)), 23);
  EXPECT_EQ(balancer.MaxRequestsAt(engines, "m", std::chrono::milliseconds(100)), 21);
  EXPECT_EQ(balancer.MaxRequestsAt(engines, "m", seconds(5)), 30)
    << "never beyond half of the slots";
  EXPECT_EQ(balancer.MaxRequestsAt(engines, "m", Duration::zero()), 30) << "late in any case";
  engines.mUsualAnswer = 0;
  engines.mUsualPrompt = 0;
  EXPECT_EQ(balancer.MaxRequestsAt(engines, "m", std::chrono::milliseconds(300)), 30)
    << "answer time unknown";
}

TEST(Balancer, AFaultIsRememberedAndForgotten)
{
  PoolOfThree pool;
  pool.mBalancer.OnFault("a", pool.mClock.Now());
  EXPECT_NE(pool.Pick(), "a");
  pool.mClock.Advance(seconds(10));
  EXPECT_EQ(pool.Pick(), "a");
}

/// Prompts of two thousand tokens arrive at random. Guards against two of them at one replica,
/// which stall every stream there for a quarter of a second while other replicas have none to read.
TEST(Balancer, PromptsDoNotMeetInOneReplica)
{
  PoolOfThree pool;
  std::map<std::string, int> picked;
  for (int i = 0; i < 3; ++i) {
    const std::string head = pool.Pick();
    pool.mBalancer.OnPrompt(head, std::chrono::milliseconds(36), pool.mClock.Now());
    ++picked[head];
  }
  EXPECT_EQ(picked.size(), 3U);
}

/// A prompt sent by another node counts like this node's own until it has been read.
TEST(Balancer, APromptOfAnotherNodeCountsUntilItIsRead)
{
  PoolOfThree pool;
  pool.mBalancer.OnPrompt("a", std::chrono::milliseconds(36), pool.mClock.Now());
  EXPECT_NE(pool.Pick(), "a");
  pool.mClock.Advance(std::chrono::milliseconds(40));
  EXPECT_EQ(pool.Pick(), "a");
}

/// One slow member makes its whole replica several times slower.
TEST(Balancer, ASlowReplicaIsAvoidedAndTriedAgain)
{
  PoolOfThree pool;
  for (int i = 0; i < 10; ++i) {
    pool.mBalancer.OnPause("a", std::chrono::milliseconds(250), pool.mClock.Now());
    pool.mBalancer.OnPause("b", std::chrono::milliseconds(55), pool.mClock.Now());
    pool.mBalancer.OnPause("c", std::chrono::milliseconds(60), pool.mClock.Now());
  }
  pool.mPlan.mOthersInFlight = { { "b", 3 }, { "c", 3 } };
  EXPECT_NE(pool.Pick(), "a");
  pool.mClock.Advance(seconds(4));
  EXPECT_EQ(pool.Pick(), "a");
}

TEST(Balancer, AReplicaWithoutAFreeSlotComesLast)
{
  PoolOfThree pool;
  pool.mPlan.mOthersInFlight = { { "a", 4 }, { "b", 3 }, { "c", 4 } };
  pool.mBalancer.OnPrompt("b", std::chrono::milliseconds(30), pool.mClock.Now());
  EXPECT_EQ(pool.Pick(), "b");
}

TEST(Balancer, APlainServiceGoesToTheLeastBusyAndTheFaultyLast)
{
  PoolOfThree pool;
  pool.mPlan.mEngines["alerts"] = { { "x", "10.0.0.1:80", "there" },
                                    { "y", "10.0.0.2:80", "here" } };
  const auto pick = [&](const std::set<std::string>& aTried) {
    const auto* engine =
      pool.mBalancer.PickEngine(pool.mPlan, "alerts", aTried, false, pool.mClock.Now());
    return engine == nullptr ? std::string() : engine->mId;
  };
  EXPECT_EQ(pick({}), "y");
  pool.mBalancer.OnStart("y");
  EXPECT_EQ(pick({}), "x");
  pool.mBalancer.OnFault("x", pool.mClock.Now());
  EXPECT_EQ(pick({}), "y");
  EXPECT_EQ(pick({ "y" }), "x");
  EXPECT_EQ(pick({ "x", "y" }), "");
}

/// One of three engines answers with errors. Guards against further alerts, which may run only
/// once, being sent there; repeatable requests show when it has recovered.
TEST(Balancer, RequestsThatMayRunOnlyOnceAvoidAnEngineThatFailsThem)
{
  ManualClock clock;
  TrafficPlan plan;
  plan.mEngines["alerts"] = { { "a", "10.0.0.1:80", "here" }, { "b", "10.0.0.2:80", "there" } };
  Balancer balancer{ BalancerOptions{ "here" } };
  balancer.Failures().OnAllocatorReport(ShortId("a"), clock.Now());
  EXPECT_EQ(balancer.PickEngine(plan, "alerts", {}, true, clock.Now())->mId, "b");
  EXPECT_EQ(balancer.PickEngine(plan, "alerts", {}, false, clock.Now())->mId, "a");
  balancer.Failures().OnAllocatorReport(ShortId("b"), clock.Now());
  EXPECT_NE(balancer.PickEngine(plan, "alerts", {}, true, clock.Now()), nullptr)
    << "one of them is still chosen";
}

/// Guards against remembering faults by id only: an engine that fails requests, exits and restarts
/// under the same id would get no requests for seconds.
TEST(Balancer, FaultsOfAStaleIncarnationAreForgotten)
{
  ManualClock clock;
  Balancer balancer(BalancerOptions{});
  TrafficPlan plan;
  plan.mEngines["s"] = { { "a", "", "", {} }, { "b", "", "", {} } };
  balancer.OnStart("b");
  balancer.OnFault("a", clock.Now());
  EXPECT_EQ(balancer.PickEngine(plan, "s", {}, false, clock.Now())->mId, "b");
  balancer.Forget("a");
  EXPECT_EQ(balancer.PickEngine(plan, "s", {}, false, clock.Now())->mId, "a");
}

} // namespace
} // namespace pepperbay
