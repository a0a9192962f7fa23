#include "limited_engines.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace pepperbay {
namespace {

using Allocators = std::map<std::string, std::vector<std::string>>;

/// Nodes in the data centres a, b and c with four replicas in each. A small fleet has one pair of
/// allocators for all data centres, a large one has a pair in each data centre.
class Fleet
{
public:
  explicit Fleet(int aNodes, int aSlots = 26)
    : mSimulation(aSlots)
  {
    for (const char* it : { "a", "b", "c" }) {
      mSimulation.AddReplicas(4, it);
    }
    for (int i = 0; i < aNodes; ++i) {
      const std::string centre(1, static_cast<char>('a' + i % 3));
      mSimulation.AddNode(centre + std::to_string(i / 3), centre);
    }
    for (const std::string it : { "a", "b", "c" }) {
      const std::string of = aNodes < 15 ? "a" : it;
      mAllocators[it] = { of + "0", of + "1" };
    }
    Renew();
  }

  /// Acts as the holder of the lease: renews the rate lease of the node that has it, and gives it
  /// to the next running allocator once it has expired.
  void Renew()
  {
    const TimePoint now = mSimulation.mClock.Now();
    for (const auto& [centre, allocators] : mAllocators) {
      SlotSimulation::Counting& counting = mSimulation.mCounting[centre];
      for (const auto& allocator : allocators) {
        const SlotSimulation::Node& node = At(allocator);
        if (!node.mAlive || node.mFrozen) {
          continue;
        }
        if (counting.mNode != allocator && now < counting.mLease.mUntil) {
          continue;
        }
        if (now >= counting.mLease.mUntil) {
          counting = { allocator, { now, now } };
        }
        counting.mLease.mUntil = now + seconds(1);
        break;
      }
    }
    mSimulation.Publish(mAllocators);
  }

  void Run(LimitedEngines* aLoad, Duration aFor)
  {
    for (const TimePoint end = mSimulation.mClock.Now() + aFor; mSimulation.mClock.Now() < end;) {
      Renew();
      aLoad->Run(milliseconds(200));
    }
  }

  SlotSimulation::Node& At(const std::string& aName)
  {
    return *std::find_if(mSimulation.mNodes.begin(),
                         mSimulation.mNodes.end(),
                         [&](const auto& aNode) { return aNode.mName == aName; });
  }

  SlotSimulation mSimulation;
  Allocators mAllocators;
};

/// Maximum number of requests of an engine in any four seconds: its limit, and a burst of two
/// requests.
double
MaxAllowed(double aLimit)
{
  return 4 * aLimit + 2;
}

/// The same for requests counted by allocators: nine tenths of the limit, and a burst of two
/// requests.
double
MaxCounted(double aLimit)
{
  return 4 * 0.9 * aLimit + 2;
}

/// The same for local shares: a tenth of the limit in four seconds and in the half second for which
/// a send window is open. Windows coincide like random arrivals.
double
MaxByLocalShares(double aLimit)
{
  const double part = 4.5 * 0.1 * aLimit;
  return part + 2 + 3 * std::sqrt(part);
}

/// Maximum that an engine may get from all nodes under any combination of failures.
double
MaxExpected(double aLimit)
{
  return 1.5 * 4 * aLimit + 5;
}

/// Guards against an engine with a limit that still gets the full rate of requests from all nodes
/// together.
TEST(LimitedEngines, AnEngineGetsNoMoreThanItsLimit)
{
  for (const int nodes : { 8, 75, 295 }) {
    Fleet fleet(nodes);
    LimitedLoadOptions options;
    options.mPerSecond = 100;
    LimitedEngines load(&fleet.mSimulation, options);
    fleet.Run(&load, seconds(3));
    load.SetLimit("e1", 3.4);
    fleet.Run(&load, seconds(3));
    const TimePoint from = load.Now();
    fleet.Run(&load, seconds(12));
    EXPECT_LE(load.MaxInFourSeconds("e1", from), MaxAllowed(3.4)) << nodes << " nodes";
    EXPECT_EQ(load.Refused(), 0) << "others have room";
  }
}

/// Guards against unused capacity of a limit while callers are refused.
TEST(LimitedEngines, ALimitIsUsedWhileCallersWait)
{
  for (const int nodes : { 8, 75, 295 }) {
    for (const double limit : { 3.4, 0.6, 12.0 }) {
      Fleet fleet(nodes, 4);
      LimitedLoadOptions options;
      options.mPerSecond = 150; // three times the capacity of all replicas
      LimitedEngines load(&fleet.mSimulation, options);
      load.SetLimit("e1", limit);
      fleet.Run(&load, seconds(5));
      const TimePoint from = load.Now();
      fleet.Run(&load, seconds(40));
      const double all = 40 * std::min(limit, 6.0); // its slots alone allow 6 per second
      EXPECT_GE(load.Got("e1", from, load.Now()), 0.8 * std::min(all, 40 * limit))
        << nodes << " nodes, " << limit;
      EXPECT_LE(load.MaxInFourSeconds("e1", from), MaxAllowed(limit)) << nodes << ", " << limit;
    }
  }
}

/// Guards against waiting where all engines of a model are limited: callers that cannot be served
/// are refused at once, with a retry time.
TEST(LimitedEngines, WhereAllAreLimitedCallersAreToldWhenToRetry)
{
  Fleet fleet(8);
  LimitedLoadOptions options;
  options.mPerSecond = 60;
  LimitedEngines load(&fleet.mSimulation, options);
  for (int i = 0; i < 12; ++i) {
    load.SetLimit("e" + std::to_string(i), 1.5);
  }
  fleet.Run(&load, seconds(6));
  const TimePoint from = load.Now();
  const int before = load.Refused();
  fleet.Run(&load, seconds(20));
  int got = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string engine = "e" + std::to_string(i);
    EXPECT_LE(load.MaxInFourSeconds(engine, from), MaxAllowed(1.5)) << engine;
    got += load.Got(engine, from, load.Now());
  }
  EXPECT_GE(got, 0.8 * 20 * 12 * 1.5);
  EXPECT_GT(load.Refused(), before);
  EXPECT_EQ(load.RefusedWithoutTime(), 0);
}

/// Guards against engines of a plain service, which nodes choose by themselves, getting more than
/// their limits.
TEST(LimitedEngines, AnEngineOfAPlainServiceGetsNoMoreThanItsLimit)
{
  for (const int nodes : { 8, 75 }) {
    Fleet fleet(nodes);
    for (const std::string it : { "a", "b", "c" }) {
      fleet.mSimulation.AddPlainEngine("p" + it, it);
    }
    LimitedLoadOptions options;
    options.mPerSecond = 60;
    options.mPlain = true;
    options.mHeadAfter = milliseconds(30);
    options.mEndAfter = milliseconds(30);
    LimitedEngines load(&fleet.mSimulation, options);
    fleet.Run(&load, seconds(2));
    load.SetLimit("pa", 3.4);
    fleet.Run(&load, seconds(3));
    const TimePoint from = load.Now();
    fleet.Run(&load, seconds(12));
    EXPECT_LE(load.MaxInFourSeconds("pa", from), MaxAllowed(3.4)) << nodes << " nodes";
    EXPECT_EQ(load.Refused(), 0) << "others take all";
    load.SetLimit("pb", 2.0);
    load.SetLimit("pc", 2.0);
    fleet.Run(&load, seconds(6));
    const TimePoint all = load.Now();
    fleet.Run(&load, seconds(12));
    EXPECT_GT(load.Refused(), 0);
    EXPECT_LE(load.MaxInFourSeconds("pc", all), MaxAllowed(2.0)) << nodes << " nodes";
    EXPECT_GE(load.Got("pc", all, load.Now()), 0.8 * 12 * 2.0) << nodes << " nodes";
  }
}

/// Guards against a limit that stays in force after the engine has stopped stating it, and against
/// a changed limit that is not applied.
TEST(LimitedEngines, ALimitIsFollowedAsItChangesAndEnds)
{
  for (const int nodes : { 8, 75 }) {
    Fleet fleet(nodes);
    LimitedLoadOptions options;
    options.mPerSecond = 100;
    LimitedEngines load(&fleet.mSimulation, options);
    load.SetLimit("e1", 3.4);
    fleet.Run(&load, seconds(6));
    load.SetLimit("e1", 1.0);
    fleet.Run(&load, seconds(4));
    TimePoint from = load.Now();
    fleet.Run(&load, seconds(6));
    EXPECT_LE(load.MaxInFourSeconds("e1", from), MaxAllowed(1.0));
    load.SetLimit("e1", 0.0);
    fleet.Run(&load, seconds(4));
    from = load.Now();
    fleet.Run(&load, seconds(10));
    EXPECT_LE(load.MaxInFourSeconds("e1", from), MaxAllowed(0.0));
    load.SetLimit("e1", std::nullopt);
    fleet.Run(&load, seconds(7));
    from = load.Now();
    fleet.Run(&load, seconds(6));
    EXPECT_GE(load.Got("e1", from, load.Now()), 6 * 5) << nodes << " nodes";
  }
}

/// Guards against an allocator that was frozen and counts by an expired rate lease, beside the node
/// that has the lease now.
TEST(LimitedEngines, AnAllocatorThatWasFrozenCountsNothingUntilItIsGivenTheLease)
{
  Fleet fleet(8);
  LimitedLoadOptions options;
  options.mPerSecond = 100;
  LimitedEngines load(&fleet.mSimulation, options);
  load.SetLimit("e1", 3.4);
  fleet.Run(&load, seconds(5));
  auto& allocator = fleet.At(fleet.mAllocators["a"][0]);
  allocator.mFrozen = true;
  fleet.Run(&load, seconds(4));
  for (const char* it : { "b0", "b1", "c0", "c1" }) {
    fleet.At(it).mAllocators = { fleet.mAllocators["a"][1] };
  }
  allocator.mFrozen = false;
  allocator.mIgnoresPlans = true;
  const TimePoint from = load.Now();
  fleet.Run(&load, seconds(8));
  EXPECT_LE(load.MaxInFourSeconds("e1", from, LimitedEngines::Which::kCounted), MaxCounted(3.4));
  EXPECT_LE(load.MaxInFourSeconds("e1", from), MaxExpected(3.4));
}

/// Guards against the sum over all nodes exceeding a limit under failures. Allocators fail, freeze
/// and come back, nodes have different allocators in their plans, and messages are lost, late and
/// duplicated; an engine gets no more than its limit from the nodes that know the limit.
RC_GTEST_PROP(LimitedEnginesProperty, TheSumHoldsWhateverFails, ())
{
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto chance = [&](int aPercent) { return static_cast<int>(random() % 100) < aPercent; };
  Fleet fleet(chance(80) ? 8 : chance(80) ? 75 : 295);
  SlotSimulation& simulation = fleet.mSimulation;
  LimitedLoadOptions options;
  options.mPerSecond = 100;
  options.mSeed = random();
  LimitedEngines load(&simulation, options);
  const double limit = chance(50) ? 3.4 : chance(50) ? 0.5 : 12.0;
  load.SetLimit("e1", limit);
  load.SetLimit("e6", limit);
  fleet.Run(&load, seconds(4));
  const TimePoint from = load.Now();
  bool harmed = false;
  std::set<std::string> cut;
  simulation.mLoses = [&](const std::string& aFrom, const std::string& aTo) {
    return cut.count(aFrom) != 0 || cut.count(aTo) != 0 || (harmed && chance(15));
  };
  simulation.mDelays = [&]() -> Duration {
    return harmed && chance(5) ? milliseconds(random() % 2500) : milliseconds(0);
  };
  for (int step = 0; step < 16; ++step) {
    auto& node = chance(60) ? fleet.At(fleet.mAllocators["a"][random() % 2])
                            : simulation.mNodes[random() % simulation.mNodes.size()];
    switch (random() % 7) {
      case 0:
        node.mAlive = !node.mAlive;
        break;
      case 1:
        node.mIgnoresPlans = node.mFrozen; // resumes with its old plan
        node.mFrozen = !node.mFrozen;
        break;
      case 2:
        node.mAllocators = { fleet.mAllocators[node.mDataCentre][1] };
        break;
      case 3:
        cut.insert(node.mName);
        break;
      case 4:
        cut.clear();
        break;
      case 5:
        harmed = !harmed;
        break;
      default:
        for (auto& it : simulation.mNodes) {
          it.mAlive = true;
          it.mFrozen = false;
          it.mIgnoresPlans = false;
          it.mAllocators.clear();
        }
        break;
    }
    fleet.Run(&load, milliseconds(200 + random() % 1500));
  }
  using Which = LimitedEngines::Which;
  for (const char* it : { "e1", "e6" }) {
    RC_ASSERT(load.MaxInFourSeconds(it, from, Which::kCounted) <= MaxCounted(limit));
    RC_ASSERT(load.MaxInFourSeconds(it, from, Which::kLocalShare) <= MaxByLocalShares(limit));
    RC_ASSERT(load.MaxInFourSeconds(it, from) <= MaxExpected(limit));
  }
}

} // namespace
} // namespace pepperbay
