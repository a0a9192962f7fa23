#include "coordinator_world.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace pepperbay {
namespace {

/// A change that the store has acknowledged is in force everywhere within this.
constexpr milliseconds kInForce{ 2000 };
constexpr milliseconds kStep{ 20 };
/// Longest that the store holds a read; what happens may fall anywhere into one.
constexpr milliseconds kLongestHold{ 1600 };

/// Nodes of three small data centres, of which one reads the store for all; reads are held.
class ReadersWorld : public CoordinatorWorld
{
public:
  ReadersWorld()
  {
    AddPool();
    mPool.Add(kLeaver, "another domain");
    mHoldsReads = true;
    mRanked = AddNineNodes();
    Run(seconds(10));
  }

  /// The node that comes so many places behind the reader in the order of readers.
  TestNode& Ranked(std::size_t aIndex)
  {
    return *std::find_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
      return aNode.mName == mRanked[aIndex];
    });
  }

  /// The store falls silent towards the first of that order.
  void Silence(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Ranked(i).mLine->SetSilent(true);
    }
    Run(kStep);
  }

  /// A node that no fault touches.
  static bool Calm(const TestNode& aNode) { return aNode.mAlive && !aNode.mLine->Silent(); }

  /// Run until something holds for all calm nodes. @return for how long that took
  milliseconds TimeUntil(const std::function<bool(const TestNode&)>& aHolds)
  {
    const TimePoint begin = mClock.Now();
    const auto done = [&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return !Calm(aNode) || aHolds(aNode);
      });
    };
    std::set<std::string> refusing; // requests with keys, for want of a configuration they trust
    while (!done() && mClock.Now() - begin < 4 * kInForce) {
      Run(kStep);
      for (const auto& it : mNodes) {
        if (Calm(it) && it.mPlan->mKeysValidUntil <= mClock.Now()) {
          refusing.insert(it.mName);
        }
      }
    }
    EXPECT_TRUE(refusing.empty()) << refusing.size() << " nodes trust no key";
    return ToMs(mClock.Now() - begin);
  }

  /// Take a key away. @return when all calm nodes know
  milliseconds ConfigurationDelay()
  {
    Configure(std::to_string(++mVersion));
    return TimeUntil(
      [this](const TestNode& aNode) { return aNode.mPlan->mRoutes->Version() == mVersion; });
  }

  /// An engine says that it leaves. @return when all calm nodes know
  milliseconds LeaveDelay()
  {
    mPool.At(kLeaver).mRecord.mLeaving = true;
    return TimeUntil(
      [](const TestNode& aNode) { return aNode.mLines.count("engine_leaves") != 0; });
  }

  int Reads() const
  {
    int n = 0;
    for (const auto& [name, reads] : mReads) {
      n += reads;
    }
    return n;
  }

  static constexpr const char* kLeaver = "x";
  std::vector<std::string> mRanked;
  std::uint64_t mVersion = 1;
};

/// Symptom: nodes that reach the store and each other go by an older configuration for seconds:
/// a key that was taken away works, a new route is not found.
/// Sequence: the store falls silent towards the node that reads for the others, and towards those
/// that would be chosen next; then the configuration changes. Each reader in turn waits until its
/// call has run out before it says that it cannot read.
/// Cause: a node that could tell that its configuration was old waited for its reader.
TEST(ReadersTest, AConfigurationIsInForceInTimeBehindReadersThatHearNothing)
{
  for (const std::size_t silent : { 1, 2, 3 }) {
    for (milliseconds phase{ 0 }; phase < kLongestHold; phase += milliseconds(200)) {
      SCOPED_TRACE(std::to_string(silent) + " silent, phase " + std::to_string(phase.count()));
      ReadersWorld world;
      world.Run(phase);
      world.Silence(silent);
      EXPECT_LT(world.ConfigurationDelay().count(), kInForce.count());
      world.Run(milliseconds(700));
      EXPECT_LT(world.ConfigurationDelay().count(), kInForce.count());
    }
  }
}

/// Symptom: requests reach an engine seconds after it has said that it leaves.
/// Sequence and cause: as above, with the log of registrations.
TEST(ReadersTest, ALeavingEngineIsKnownInTimeBehindReadersThatHearNothing)
{
  for (const std::size_t silent : { 1, 2, 3 }) {
    for (milliseconds phase{ 0 }; phase < kLongestHold; phase += milliseconds(200)) {
      SCOPED_TRACE(std::to_string(silent) + " silent, phase " + std::to_string(phase.count()));
      ReadersWorld world;
      world.Run(phase);
      world.Silence(silent);
      EXPECT_LT(world.LeaveDelay().count(), kInForce.count());
    }
  }
}

/// Symptom: as above.
/// Sequence: the nodes that read first get no answers from the log of registrations only, so that
/// the configuration stays fresh everywhere.
/// Cause: only the configuration had an age.
TEST(ReadersTest, ALeavingEngineIsKnownInTimeWhileOnlyItsLogIsSilent)
{
  constexpr std::size_t kSilent = 5;
  for (milliseconds phase{ 0 }; phase < kLongestHold; phase += milliseconds(200)) {
    SCOPED_TRACE("phase " + std::to_string(phase.count()));
    ReadersWorld world;
    world.Run(phase);
    std::set<std::string> cut;
    for (std::size_t i = 0; i < kSilent; ++i) {
      world.Ranked(i).mLine->SilenceLog(&world.mEngineLog);
      cut.insert(world.mRanked[i]);
    }
    world.Run(kStep);
    world.mPool.At(ReadersWorld::kLeaver).mRecord.mLeaving = true;
    const milliseconds delay = world.TimeUntil([&](const auto& aNode) {
      return cut.count(aNode.mName) != 0 || aNode.mLines.count("engine_leaves") != 0;
    });
    EXPECT_LT(delay.count(), kInForce.count());
  }
}

/// Guards against requests to an engine that has left, where operators guarantee a longer time: the
/// node's own read comes late, and its connection turns out to be dead.
TEST(ReadersTest, ALeavingEngineIsKnownInTimeByOwnReadsOverDeadConnections)
{
  constexpr seconds kLeave{ 4 };
  /// From a plan until the request has reached the engine.
  constexpr milliseconds kOnTheWay{ 400 };
  for (const std::size_t silent : { 1, 3, 6 }) {
    for (milliseconds phase{ 0 }; phase < kLongestHold; phase += milliseconds(200)) {
      for (const int broken : { 0, 1800, 2600, 3300 }) {
        SCOPED_TRACE(std::to_string(silent) + " silent, phase " + std::to_string(phase.count()) +
                     ", dead after " + std::to_string(broken));
        ReadersWorld world;
        for (auto& it : world.mNodes) {
          it.mCoordinator->SetBounds(BoundsOf({ kLeave, seconds(5), kLeave }));
        }
        world.Run(phase);
        world.Silence(silent);
        const TimePoint left = world.mClock.Now();
        world.mPool.At(ReadersWorld::kLeaver).mRecord.mLeaving = true;
        world.Run(milliseconds(broken));
        for (auto& it : world.mNodes) {
          it.mLine->BreakConnections();
        }
        world.LeaveDelay();
        EXPECT_LE(ToMs(world.mClock.Now() - left).count(), ToMs(kLeave - kOnTheWay).count());
      }
    }
  }
}

/// Symptom: as above.
/// Sequence: the reader ends, and the store is silent towards the next; or the reader is heard by
/// nobody while it hears all, and reads on.
TEST(ReadersTest, AConfigurationIsInForceInTimeWhileTheReaderIsReplaced)
{
  for (milliseconds phase{ 0 }; phase < kLongestHold; phase += milliseconds(200)) {
    SCOPED_TRACE("phase " + std::to_string(phase.count()));
    ReadersWorld ended;
    ended.Run(phase);
    ended.Ranked(0).mAlive = false;
    ended.Ranked(1).mLine->SetSilent(true);
    EXPECT_LT(ended.ConfigurationDelay().count(), kInForce.count());

    ReadersWorld unheard;
    unheard.Run(phase);
    unheard.mLoses = [&](const std::string& aFrom, const std::string&) {
      return aFrom == unheard.mRanked[0];
    };
    EXPECT_LT(unheard.ConfigurationDelay().count(), kInForce.count());
  }
}

/// Symptom: as above.
/// Sequence: the store was silent towards a node for a while, and answers it again. Later it falls
/// silent towards all others that may read.
/// Cause: a node that relied on another made no call that could show that the store was back, and
/// was passed over as a reader for good.
TEST(ReadersTest, ANodeThatTheStoreAnswersAgainMayReadAgain)
{
  ReadersWorld world;
  world.Silence(1);
  world.Run(seconds(10));
  world.Ranked(0).mLine->SetSilent(false);
  world.Run(seconds(10));
  EXPECT_NE(world.Ranked(0).mCoordinator->Dump().find(R"("lost": false)"), std::string::npos);
}

/// Guards against a node that goes by an older configuration for seconds after the store answers it
/// again, because its pause between two looks has grown during the outage.
TEST(ReadersTest, ANodeThatTheStoreAnswersAgainIsInTimeWhileAllThatMayReadAreCut)
{
  constexpr std::size_t kMayRead = 6;
  /// Faults of the store and of a node count for so long after their end.
  constexpr milliseconds kStable{ 3000 };
  for (milliseconds outage{ 5000 }; outage < seconds(12); outage += milliseconds(400)) {
    SCOPED_TRACE("outage of " + std::to_string(outage.count()) + " ms");
    ReadersWorld world;
    world.Silence(world.mNodes.size());
    world.Run(outage);
    for (std::size_t i = kMayRead; i < world.mNodes.size(); ++i) {
      world.Ranked(i).mLine->SetSilent(false);
    }
    world.Configure(std::to_string(++world.mVersion));
    world.Run(kStable);
    for (std::size_t i = kMayRead; i < world.mNodes.size(); ++i) {
      EXPECT_EQ(world.Ranked(i).mPlan->mRoutes->Version(), world.mVersion) << world.mRanked[i];
    }
  }
}

/// Guards against a look at the store that finds the records deleted and does not read the list.
TEST(ReadersTest, ALookThatFindsItsRecordsDeletedReadsTheListAtOnce)
{
  constexpr std::size_t kMayRead = 6;
  constexpr milliseconds kOneLook{ 1400 }; // it is due 1.2 s after the last fresh word
  ReadersWorld world;
  world.Silence(kMayRead);
  world.Configure(std::to_string(++world.mVersion));
  world.mConfigLog.Compact();
  const milliseconds delay = world.TimeUntil(
    [&](const auto& aNode) { return aNode.mPlan->mRoutes->Version() == world.mVersion; });
  EXPECT_LT(delay.count(), kOneLook.count());
}

/// Guards against requests to an engine that leaves, at nodes that are cut off from the store
/// alone: once its history was dropped, none of their peers could tell them of any record. Guards
/// as well against a call of every node to the store each time that this happens.
TEST(ReadersTest, WhatChangesWhileTheHistoryIsDroppedIsPassedOn)
{
  for (const bool leaves : { false, true }) {
    SCOPED_TRACE(leaves ? "an engine leaves" : "nothing changes");
    ReadersWorld world;
    world.Run(seconds(10)); // the pool has formed
    const std::size_t last = world.mNodes.size() - 1;
    world.Ranked(last).mLine->SetSilent(true);
    world.Run(seconds(1));
    const std::string holder = world.Holder().mName;
    world.mReads.clear();
    if (leaves) {
      world.mPool.At(ReadersWorld::kLeaver).mRecord.mLeaving = true;
    } else {
      world.mEngineLog.Put("stranger", std::nullopt);
    }
    world.Register();
    world.mEngineLog.Compact();
    world.Run(kInForce);
    const std::string next = "\"next\": " + std::to_string(world.mEngineLog.mEnd);
    for (const auto& it : world.mNodes) {
      EXPECT_NE(it.mCoordinator->Dump().find(next), std::string::npos) << it.mName;
      EXPECT_EQ(it.mLines.count("engine_leaves") != 0, leaves) << it.mName;
      const bool reads = it.mName == world.mRanked[0] || it.mName == holder;
      EXPECT_TRUE(reads || world.mReads[it.mName] == 0)
        << it.mName << " " << world.mReads[it.mName];
    }
  }
}

/// Guards against the same where the reader is replaced while the history is dropped: it reads the
/// list anew while nobody relies on it, and the next reader did so before.
TEST(ReadersTest, WhatChangesWhileTheReaderIsReplacedIsPassedOn)
{
  for (const int silent : { 400, 800, 1200, 1600 }) {
    SCOPED_TRACE("the store is silent for " + std::to_string(silent) + " ms");
    ReadersWorld world;
    world.Run(seconds(10)); // the pool has formed
    const std::size_t last = world.mNodes.size() - 1;
    world.Silence(world.mNodes.size());
    world.Run(milliseconds(silent));
    world.mPool.At(ReadersWorld::kLeaver).mRecord.mLeaving = true;
    world.Register();
    world.mEngineLog.Compact();
    for (std::size_t i = 0; i < last; ++i) {
      world.Ranked(i).mLine->SetSilent(false);
    }
    world.Run(seconds(4));
    EXPECT_NE(world.Ranked(last).mLines.count("engine_leaves"), 0U) << "cut off from the store";
  }
}

/// Guards against a call of every node to the store whenever many engines register at once.
TEST(ReadersTest, RecordsThatFillManyMessagesArePassedOn)
{
  constexpr int kRecords = 300;
  const std::string longValue(1000, 'x');
  ReadersWorld world;
  for (int i = 0; i < kRecords; ++i) {
    world.mPool.Add("many" + std::to_string(i), "another domain");
    world.mRegistered["many" + std::to_string(i)] = "listed";
  }
  const std::string holder = world.Holder().mName;
  world.mReads.clear();
  for (int i = 0; i < kRecords; ++i) {
    world.mEngineLog.Put("many" + std::to_string(i), longValue);
  }
  world.Run(seconds(15)); // they have joined replicas, and nothing changes any more
  for (const auto& it : world.mNodes) {
    const bool reads = it.mName == world.mRanked[0] || it.mName == holder;
    EXPECT_TRUE(reads || world.mReads[it.mName] == 0) << it.mName << " " << world.mReads[it.mName];
    const std::string next = "\"next\": " + std::to_string(world.mEngineLog.mEnd);
    EXPECT_NE(it.mCoordinator->Dump().find(next), std::string::npos) << it.mName;
  }
}

/// What the nodes' own looks at the store may cost: nothing while the reader is well, and few calls
/// while nobody reaches the store.
TEST(ReadersTest, NodesThatAreToldMakeNoCallsAndOnesThatAreNotMakeFew)
{
  ReadersWorld world;
  world.Run(seconds(10)); // the pool has formed
  world.mReads.clear();
  world.Run(seconds(10));
  const std::string holder = world.Holder().mName;
  for (const auto& it : world.mNodes) {
    const bool reads = it.mName == world.mRanked[0] || it.mName == holder;
    EXPECT_TRUE(reads || world.mReads[it.mName] == 0) << it.mName << " " << world.mReads[it.mName];
  }
  RecordProperty("calm_reads_in_10_s", world.Reads());
  for (auto& it : world.mNodes) {
    it.mLine->SetSilent(true);
  }
  world.mReads.clear();
  world.Run(seconds(10));
  constexpr int kCallsPerSecond = 40; // of all nodes together
  RecordProperty("outage_reads_in_10_s", world.Reads());
  EXPECT_LE(world.Reads(), kCallsPerSecond * 10);
}

} // namespace
} // namespace pepperbay
