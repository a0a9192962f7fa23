#include "coordinator_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

constexpr int kDomains = 25;
constexpr int kEnginesOfDomain = 35;
constexpr int kEngines = kDomains * kEnginesOfDomain;
/// Replicas that form of them where calls cost the holder nothing.
constexpr std::size_t kLarge = 22;
constexpr std::size_t kSmall = 87;

EnginePool
TwoModels()
{
  EnginePool pool;
  pool.mSlots = 8;
  pool.mFormTime = milliseconds(300);
  pool.mLoadsPerSecond = 1000;
  pool.mLoadsAtOnce = 1000;
  pool.mModels = { { "large", 16, 0.5, 1.0, milliseconds(1600), milliseconds(1600) },
                   { "small", 4, 0.5, 0.6, milliseconds(1200), milliseconds(1100) } };
  return pool;
}

/// One node before so many engines that giving each an order takes it longer than an answer may.
class ManyEnginesWorld : public CoordinatorWorld
{
public:
  ManyEnginesWorld()
    : CoordinatorWorld(TwoModels())
  {
    mEngineLog.mPage = kEngines;
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int i = 0; i < kEnginesOfDomain; ++i) {
        const std::string name = "d" + std::to_string(domain);
        mPool.Add("e" + std::to_string(i) + name, name);
      }
    }
    Configure("1");
    mCallCosts = FakeBusyClientCosts();
  }

  int Orders() const
  {
    int n = 0;
    for (const auto& [kind, orders] : mOrders) {
      n += orders;
    }
    return n;
  }

  /// Run until so many replicas serve. @return for how long that took
  milliseconds TimeUntilServing(std::size_t aLarge, std::size_t aSmall, Duration aMost)
  {
    const TimePoint begin = mClock.Now();
    const auto serve = [&] {
      return mPool.Serving("large") >= aLarge && mPool.Serving("small") >= aSmall;
    };
    while (!serve() && mClock.Now() - begin < aMost) {
      Run(milliseconds(20));
    }
    return ToMs(mClock.Now() - begin);
  }

  /// The pool formed in time, with few calls for each engine.
  void ExpectFormed(milliseconds aTook)
  {
    EXPECT_LT(aTook.count(), 8000);
    EXPECT_LT(Orders(), 4 * kEngines);
    EXPECT_LT(mAsks, 2 * kEngines);
    ExpectNoneLost();
  }

  /// No engine has failed, and none counts as lost.
  void ExpectNoneLost()
  {
    EXPECT_EQ(mLines.count("engine_lost"), 0U) << mLines["engine_lost"];
    for (const auto& [name, replica] : Holder().mPlan->mReplicas) {
      for (const auto& it : replica) {
        EXPECT_FALSE(it.mLost);
      }
    }
    EXPECT_TRUE(mPool.Violations().empty());
  }
};

/// Guards against a pool that never forms because the holder takes its own lateness for the
/// engines' silence: each join of a large pool ended before its answer was read.
TEST(ManyEnginesTest, APoolFormsThoughItsOrdersTakeTheHolderLongerThanAnAnswer)
{
  ManyEnginesWorld world;
  world.AddNode("n");
  const milliseconds took = world.TimeUntilServing(kLarge, kSmall, seconds(20));
  RecordProperty("ms", static_cast<int>(took.count()));
  RecordProperty("orders", world.Orders());
  RecordProperty("asks", world.mAsks);
  world.ExpectFormed(took);
}

/// Guards against the same where the holder is ten times slower for a while.
TEST(ManyEnginesTest, APoolFormsThoughItsHolderIsMuchSlowerForSeconds)
{
  ManyEnginesWorld world;
  world.AddNode("n");
  world.mNodes.front().mClient->SetSlowness(10);
  world.Run(seconds(3));
  world.mNodes.front().mClient->SetSlowness(1);
  const milliseconds took = world.TimeUntilServing(kLarge, kSmall, seconds(20));
  world.ExpectFormed(took);
}

/// Guards against a new holder that takes replicas which serve for broken, as it is late in asking.
TEST(ManyEnginesTest, ANewHolderLeavesAPoolThatServesAsItIs)
{
  ManyEnginesWorld world;
  for (const char* it : { "a", "b", "c" }) {
    world.AddNode(it);
  }
  world.TimeUntilServing(kLarge, kSmall, seconds(20));
  world.Run(seconds(5)); // the spares are ready
  world.mOrders.clear();
  world.mAsks = 0;
  world.Holder().mAlive = false;
  for (int i = 0; i < 100; ++i) {
    world.Run(milliseconds(50));
    ASSERT_EQ(world.mPool.Serving("large"), kLarge);
    ASSERT_EQ(world.mPool.Serving("small"), kSmall);
  }
  EXPECT_TRUE(world.Holder().mCoordinator->HoldsLease());
  EXPECT_LT(world.mAsks, 4 * kEngines);
  world.ExpectNoneLost();
}

/// Guards against a bound on calls that hides the loss of many engines at once.
TEST(ManyEnginesTest, ADomainThatFallsSilentIsFoundAtOnce)
{
  ManyEnginesWorld world;
  world.AddNode("n");
  world.TimeUntilServing(kLarge, kSmall, seconds(20));
  world.Run(seconds(5));
  std::string head;
  for (auto& [id, engine] : world.mPool.Engines()) {
    if (engine.mRecord.mDomain == "d7") {
      engine.mAlive = false;
      const bool open = engine.mRecord.mGroup.mPhase == GroupPhase::kOpen;
      head = open ? id : head;
    }
  }
  world.mNodes.front().mCoordinator->OnSuspect(head, milliseconds(300));
  const TimePoint begin = world.mClock.Now();
  while (world.mLines["engine_lost"] < kEnginesOfDomain &&
         world.mClock.Now() - begin < seconds(5)) {
    world.Run(milliseconds(20));
  }
  RecordProperty("ms", static_cast<int>(ToMs(world.mClock.Now() - begin).count()));
  EXPECT_LT(ToMs(world.mClock.Now() - begin).count(), 800);
}

} // namespace
} // namespace pepperbay
