#include "coordinator_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

constexpr int kDomains = 25;
constexpr int kEnginesOfDomain = 35;
constexpr int kEngines = kDomains * kEnginesOfDomain;

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

  /// No engine has failed, and none counts as lost.
  void ExpectNoneLost()
  {
    EXPECT_EQ(mLines.count("engine_lost"), 0U) << mLines["engine_lost"];
    for (const auto& [name, replica] : mNodes.front().mPlan->mReplicas) {
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
  const milliseconds took = world.TimeUntilServing(22, 87, seconds(20));
  RecordProperty("ms", static_cast<int>(took.count()));
  RecordProperty("orders", world.Orders());
  RecordProperty("asks", world.mAsks);
  EXPECT_LT(took.count(), 8000);
  EXPECT_LT(world.Orders(), 4 * kEngines);
  EXPECT_LT(world.mAsks, 2 * kEngines);
  world.ExpectNoneLost();
}

} // namespace
} // namespace pepperbay
