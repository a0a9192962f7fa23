#include "outage_tracker.hpp"
#include "store_outage_world.hpp"

#include <array>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// An engine receives no request later than this after its registration was removed.
constexpr milliseconds kDrain{ 2000 };
/// The store counts as stable this long after its return.
constexpr milliseconds kStable{ 3000 };
/// Registrations that have lapsed are back after this.
constexpr milliseconds kRegistersAgain{ 1500 };

enum class Outage
{
  kSilent,        ///< no call is answered
  kRefuses,       ///< open connections are silent, new ones are refused
  kErrors,        ///< each call is answered with an error
  kOnlyEngineLog, ///< the log of registrations alone is silent
};
constexpr std::array kOutages{ Outage::kSilent,
                               Outage::kRefuses,
                               Outage::kErrors,
                               Outage::kOnlyEngineLog };

const char*
NameOf(Outage aOutage)
{
  switch (aOutage) {
    case Outage::kSilent:
      return "silent";
    case Outage::kRefuses:
      return "refuses";
    case Outage::kErrors:
      return "errors";
    case Outage::kOnlyEngineLog:
      return "only the log of registrations";
  }
  return "unknown";
}

class OutageWorld : public StoreOutageWorld
{
public:
  /// The store goes away for the first nodes, or comes back.
  void SetAway(Outage aOutage, bool aAway, std::size_t aNodes = 3)
  {
    SetAway(aOutage, aAway, 0, aNodes);
  }
  /// The same for the nodes from one index up to another.
  void SetAway(Outage aOutage, bool aAway, std::size_t aFirst, std::size_t aEnd)
  {
    for (std::size_t i = aFirst; i < aEnd; ++i) {
      TestNode& node = mNodes[i];
      switch (aOutage) {
        case Outage::kSilent:
          node.mLine->SetSilent(aAway);
          break;
        case Outage::kRefuses:
          if (aAway) {
            node.mLine->BreakConnections();
          }
          node.mStoreDown = aAway;
          break;
        case Outage::kErrors:
          node.mStoreDown = aAway;
          break;
        case Outage::kOnlyEngineLog:
          node.mLine->SilenceLog(aAway ? &mEngineLog : nullptr);
          break;
      }
    }
  }

  /// All registrations lapse in an outage.
  void LapseInOutage(Outage aOutage, Duration aFor)
  {
    constexpr milliseconds kLapse{ 300 }; // before its end
    SetAway(aOutage, true);
    Run(aFor - kLapse);
    for (const auto& it : Engines()) {
      Remove(it);
    }
    Run(kLapse);
    SetAway(aOutage, false);
  }

  /// @return nodes that at some time do not use all engines.
  std::set<std::string> Incomplete(Duration aFor)
  {
    std::set<std::string> nodes;
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      Run(kStep);
      for (const auto& it : mNodes) {
        if (UsedBy(it) != Engines()) {
          nodes.insert(it.mName);
        }
      }
    }
    return nodes;
  }

  /// @return for how long any node uses an engine from now on.
  milliseconds UsedFor(const std::string& aEngine, Duration aWithin)
  {
    const TimePoint begin = mClock.Now();
    TimePoint last = begin;
    while (mClock.Now() < begin + aWithin) {
      Run(kStep);
      if (UsedByAny(aEngine)) {
        last = mClock.Now();
      }
    }
    return ToMs(last - begin);
  }
};

/// Guards against nodes that refuse every request after an outage of the store, because another
/// node's word that registrations are gone came before an answer to a call of their own.
TEST(StoreOutages, RegistrationsThatLapsedAreKeptAtEachNodeUntilTheyAreBack)
{
  for (const Outage outage : kOutages) {
    for (milliseconds phase{ 0 }; phase < milliseconds(1000); phase += milliseconds(200)) {
      for (const int length : { 2000, 2900, 4000, 6000, 11000 }) {
        SCOPED_TRACE(std::string(NameOf(outage)) + ", phase " + std::to_string(phase.count()) +
                     ", " + std::to_string(length) + " ms");
        OutageWorld world;
        world.Run(phase);
        world.LapseInOutage(outage, milliseconds(length));
        EXPECT_EQ(world.Incomplete(kRegistersAgain), std::set<std::string>());
        for (const auto& it : StoreOutageWorld::Engines()) {
          world.Register(it);
        }
        EXPECT_EQ(world.Incomplete(seconds(4)), std::set<std::string>());
      }
    }
  }
}

/// Guards against the same after the second of two outages.
TEST(StoreOutages, RegistrationsThatLapsedInASecondOutageAreKept)
{
  for (const Outage outage : kOutages) {
    for (milliseconds between{ 200 }; between < milliseconds(3000); between += milliseconds(400)) {
      SCOPED_TRACE(std::string(NameOf(outage)) + ", between " + std::to_string(between.count()));
      OutageWorld world;
      world.SetAway(outage, true);
      world.Run(seconds(4));
      world.SetAway(outage, false);
      world.Run(between);
      world.LapseInOutage(outage, seconds(4));
      EXPECT_EQ(world.Incomplete(kRegistersAgain), std::set<std::string>());
    }
  }
}

/// Guards against a time of grace that begins anew with each log that answers again.
TEST(StoreOutages, ARegistrationThatDoesNotComeBackIsDropped)
{
  for (const Outage outage : kOutages) {
    for (milliseconds phase{ 0 }; phase < milliseconds(1000); phase += milliseconds(200)) {
      SCOPED_TRACE(std::string(NameOf(outage)) + ", phase " + std::to_string(phase.count()));
      OutageWorld world;
      world.Run(phase);
      world.LapseInOutage(outage, seconds(5));
      EXPECT_LT(world.UsedFor("p0", seconds(8)).count(), kStable.count());
    }
  }
}

/// Guards against requests to an engine that has left, at nodes that take the fault of one node's
/// way to the store for an outage.
TEST(StoreOutages, OneNodeThatIsTurnedAwayKeepsNothing)
{
  for (const Outage outage : kOutages) {
    for (const int removed : { -3000, -100, 0, 100, 600 }) { // after its return
      for (std::size_t turnedAway = 1; turnedAway < 3; ++turnedAway) {
        SCOPED_TRACE(std::string(NameOf(outage)) + ", " + std::to_string(turnedAway) +
                     " nodes, removed after " + std::to_string(removed));
        OutageWorld world;
        world.SetAway(outage, true, turnedAway);
        const milliseconds before = std::min(milliseconds(0), milliseconds(removed));
        world.Run(seconds(5) + before);
        if (removed < 0) {
          world.Remove("p0");
          EXPECT_LT(world.UsedFor("p0", -before).count(),
                    std::min(kDrain, -before + milliseconds(1)).count());
        }
        world.SetAway(outage, false, turnedAway);
        if (removed >= 0) {
          world.Run(milliseconds(removed));
          world.Remove("p0");
        }
        EXPECT_LT(world.UsedFor("p0", seconds(5)).count(), kDrain.count());
        EXPECT_EQ(world.mLines["store_outage_ended"], 0);
      }
    }
  }
}

/// Guards against requests to an engine that has left, at nodes that believe a node which has just
/// started, whose first calls were late, that the store was away.
TEST(StoreOutages, ANodeThatStartsWithLateCallsReportsNoOutage)
{
  for (const Outage outage : kOutages) {
    SCOPED_TRACE(NameOf(outage));
    OutageWorld world;
    world.AddNode("node-d", 0, "a");
    world.AddNode("node-e", 0, "d");
    world.SetAway(outage, true, 3, 5);
    world.Run(seconds(3));
    world.SetAway(outage, false, 3, 5);
    world.Run(seconds(3));
    EXPECT_EQ(world.mLines["store_outage_ended"], 0);
  }
}

/// Guards against the same by nodes that were cut off from the store alone while its history was
/// dropped: the others have records that these lack, and cannot pass them on.
TEST(StoreOutages, ANodeThatIsCutOffWhileTheHistoryIsDroppedReportsNoOutage)
{
  for (const Outage outage : kOutages) {
    SCOPED_TRACE(NameOf(outage));
    OutageWorld world;
    world.SetAway(outage, true, 0, 1);
    world.Run(seconds(1));
    world.Remove("p0");
    world.mEngineLog.Compact();
    world.Run(seconds(5));
    world.SetAway(outage, false, 0, 1);
    world.Run(seconds(3));
    EXPECT_EQ(world.mLines["store_outage_ended"], 0);
    EXPECT_FALSE(world.UsedByAny("p0"));
  }
}

/// Guards against a node that takes what it does not know for a time without answers.
TEST(OutageTracker, ANodeThatNeverHeardOfAnAnswerKnowsOfNoOutage)
{
  ManualClock clock;
  clock.Advance(seconds(1000));
  OutageTracker tracker;
  tracker.OnFailed(clock.Now());
  clock.Advance(seconds(5));
  EXPECT_FALSE(tracker.OnReported(clock.Now()));
  EXPECT_FALSE(tracker.OnOwnAnswer(clock.Now()));
  EXPECT_FALSE(tracker.Ended());
  clock.Advance(seconds(1));
  tracker.OnFailed(clock.Now());
  clock.Advance(seconds(1));
  EXPECT_TRUE(tracker.OnOwnAnswer(clock.Now())) << "it knows of an answer now";
}

/// Guards against an outage that is taken from the failure of one node's call, or of an old one.
TEST(OutageTracker, AnOutageNeedsSilenceTowardsAllAndAFailure)
{
  ManualClock clock;
  OutageTracker tracker;
  tracker.OnOwnAnswer(clock.Now());
  clock.Advance(seconds(5));
  EXPECT_FALSE(tracker.OnOwnAnswer(clock.Now())) << "nothing has failed";
  tracker.OnFailed(clock.Now());
  clock.Advance(seconds(5));
  tracker.OnAnswered(clock.Now() - milliseconds(500));
  EXPECT_FALSE(tracker.OnOwnAnswer(clock.Now())) << "the store has answered others";
  clock.Advance(seconds(5));
  EXPECT_FALSE(tracker.OnOwnAnswer(clock.Now())) << "the failure is from before the last answer";
  clock.Advance(seconds(1));
  tracker.OnFailed(clock.Now());
  clock.Advance(seconds(1));
  EXPECT_TRUE(tracker.OnOwnAnswer(clock.Now()));
  EXPECT_EQ(tracker.Ended(), clock.Now());
}

/// Guards against two ends of one outage, and against the word of a node that was cut off alone.
TEST(OutageTracker, AReportCountsOnceAndUnlessTheStoreHasAnswered)
{
  ManualClock clock;
  OutageTracker tracker;
  tracker.OnOwnAnswer(clock.Now());
  clock.Advance(seconds(5));
  const TimePoint ended = clock.Now();
  clock.Advance(milliseconds(200));
  EXPECT_TRUE(tracker.OnReported(ended));
  EXPECT_FALSE(tracker.OnReported(ended + milliseconds(10)));
  EXPECT_FALSE(tracker.OnOwnAnswer(clock.Now()));
  EXPECT_EQ(tracker.Ended(), ended);
  clock.Advance(seconds(5));
  tracker.OnAnswered(clock.Now() - milliseconds(900));
  EXPECT_FALSE(tracker.OnReported(clock.Now()));
}

} // namespace
} // namespace pepperbay
