#include "store_outage_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// An engine receives no request later than this after its registration was removed.
constexpr milliseconds kDrain{ 2000 };
/// Longest time between two answers of a log to the node that reads it; a fault may fall anywhere
/// into it.
constexpr milliseconds kLongestRead{ 1100 };

/// Ending of the names under which repeated calls are counted.
const std::string kLate = "_late";

/// When the connections of which nodes go dead, and when an engine leaves.
struct Case
{
  std::size_t mNodes = 3;          ///< whose connections go dead
  milliseconds mPhase{ 0 };        ///< of the reads in which they do
  milliseconds mRemoved{ 0 };      ///< until the registration is removed; before it if negative
  std::vector<milliseconds> mNext; ///< until they go dead again
};

/// @return for how long the engine was used after its registration was removed.
milliseconds
UsedFor(const Case& aCase)
{
  StoreOutageWorld world;
  world.Run(aCase.mPhase);
  const TimePoint begin = world.mClock.Now() - std::min(aCase.mRemoved, milliseconds(0));
  const TimePoint removed = begin + aCase.mRemoved;
  std::vector<TimePoint> faults = { begin };
  for (const auto& it : aCase.mNext) {
    faults.push_back(begin + it);
  }
  bool gone = false;
  TimePoint last = removed;
  for (std::size_t next = 0; world.mClock.Now() < begin + seconds(8);) {
    if (!gone && world.mClock.Now() >= removed) {
      gone = true;
      world.Remove("p0");
    }
    if (next < faults.size() && world.mClock.Now() >= faults[next]) {
      ++next;
      for (std::size_t i = 0; i < aCase.mNodes; ++i) {
        world.mNodes[i].mLine->BreakConnections();
      }
    }
    world.Run(StoreOutageWorld::kStep);
    if (gone && world.UsedByAny("p0")) {
      last = world.mClock.Now();
    }
  }
  return ToMs(last - removed);
}

/// Guards against requests to an engine that has left, after the open connections to the store went
/// dead while new ones work.
TEST(DeadConnections, AnEngineThatLeavesMeanwhileIsDroppedInTime)
{
  for (const std::size_t nodes : { 1, 2, 3 }) {
    for (milliseconds phase{ 0 }; phase < kLongestRead; phase += milliseconds(100)) {
      for (const int removed : { -20, 0, 100, 300, 900, 1600, 2200 }) {
        SCOPED_TRACE(std::to_string(nodes) + " nodes, phase " + std::to_string(phase.count()) +
                     ", removed after " + std::to_string(removed));
        const milliseconds used = UsedFor({ nodes, phase, milliseconds(removed), {} });
        EXPECT_LT(used.count(), kDrain.count());
      }
    }
  }
}

/// Guards against the same where the new connections go dead as well.
TEST(DeadConnections, AnEngineIsDroppedInTimeWhereConnectionsGoDeadTwice)
{
  for (milliseconds phase{ 0 }; phase < kLongestRead; phase += milliseconds(200)) {
    for (milliseconds again{ 100 }; again <= milliseconds(2000); again += milliseconds(100)) {
      for (const int removed : { -20, 0, 500, 1000 }) {
        SCOPED_TRACE("phase " + std::to_string(phase.count()) + ", again after " +
                     std::to_string(again.count()) + ", removed after " + std::to_string(removed));
        const milliseconds used = UsedFor({ 3, phase, milliseconds(removed), { again } });
        EXPECT_LT(used.count(), kDrain.count());
      }
    }
  }
}

/// Guards against nodes that take the store for lost, and choose other readers, since their own
/// connections were dead.
TEST(DeadConnections, AreNoOutageOfTheStore)
{
  for (milliseconds phase{ 0 }; phase < kLongestRead; phase += milliseconds(100)) {
    SCOPED_TRACE("phase " + std::to_string(phase.count()));
    StoreOutageWorld world;
    world.Run(phase);
    world.BreakConnections();
    world.Run(seconds(25)); // the log of nodes is read for 20 s at a time
    EXPECT_EQ(world.mLines["store_lost"], 0);
    EXPECT_GE(world.mLines["store_connection_replaced"], 1);
  }
}

/// @return how many calls to the store the nodes have repeated.
std::uint64_t
RepeatedCalls(const CoordinatorWorld& aWorld)
{
  std::uint64_t n = 0;
  for (const auto& it : aWorld.mNodes) {
    for (const auto& [call, calls] : it.mCoordinator->Counters().mStoreCalls) {
      const bool late = call.size() > kLate.size() &&
                        call.compare(call.size() - kLate.size(), kLate.size(), kLate) == 0;
      n += late ? calls : 0;
    }
  }
  return n;
}

/// Guards against a store that is kept slow by its own readers: all nodes of a large fleet repeated
/// each call that was late, twice.
TEST(DeadConnections, RepetitionsAreFewWhileTheStoreIsSlow)
{
  constexpr std::size_t kNodes = 24;
  constexpr seconds kSlow{ 20 };
  constexpr std::uint64_t kMostOfNode = 3;
  for (const int late : { 400, 600, 800 }) {
    SCOPED_TRACE("answers " + std::to_string(late) + " ms late");
    CoordinatorWorld world;
    world.AddPool();
    world.mHoldsReads = true;
    for (std::size_t i = 0; i < kNodes; ++i) {
      world.AddNode("n" + std::to_string(i), 0, i % 2 == 0 ? "a" : "b");
    }
    world.Run(seconds(10));
    for (auto& it : world.mNodes) {
      it.mLine->SetDelay(milliseconds(late));
    }
    world.Run(kSlow);
    EXPECT_LE(RepeatedCalls(world), kNodes * kMostOfNode);
  }
}

} // namespace
} // namespace pepperbay
