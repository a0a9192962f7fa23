#include "pepperbay/membership/engine_directory.hpp"

#include "pepperbay/membership/stall_detector.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineRecord
Engine(const std::string& aId, bool aLeaving = false)
{
  EngineRecord engine;
  engine.mId = aId;
  engine.mLeaving = aLeaving;
  return engine;
}

TEST(EngineDirectory, FollowsRegistrations)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a"), clock.Now());
  directory.Put(Engine("b"), clock.Now());
  directory.Remove("a", clock.Now());
  EXPECT_EQ(directory.Find("a"), nullptr);
  EXPECT_NE(directory.Find("b"), nullptr);
  directory.Put(Engine("c"), clock.Now());
  directory.KeepOnly({ "c" }, clock.Now());
  EXPECT_EQ(directory.Engines().size(), 1U);
}

/// Symptom: with the first answer of the store after an outage every request is refused.
/// Sequence: registrations lapse while the store is down; it returns with an empty list; engines
/// register again within two seconds.
/// Cause: the empty list was believed at once.
TEST(EngineDirectory, RegistrationsThatLapsedInAnOutageAreKeptForAWhile)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a"), clock.Now());
  directory.Put(Engine("b"), clock.Now());
  directory.OnStoreBack(clock.Now());
  directory.KeepOnly({}, clock.Now());
  EXPECT_EQ(directory.Engines().size(), 2U);
  clock.Advance(seconds(1));
  directory.Put(Engine("a"), clock.Now());
  clock.Advance(seconds(2));
  EXPECT_TRUE(directory.Tick(clock.Now()));
  EXPECT_NE(directory.Find("a"), nullptr);
  EXPECT_EQ(directory.Find("b"), nullptr);
}

/// Requests would go to an engine that has left, when the store comes back from a copy in which it
/// had not.
TEST(EngineDirectory, AnEngineThatHadLeftIsNotTakenFromAnOlderCopyOfTheStore)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a"), clock.Now());
  directory.Put(Engine("left"), clock.Now());
  directory.Put(Engine("back"), clock.Now());
  directory.Remove("left", clock.Now());
  directory.Remove("back", clock.Now());
  clock.Advance(seconds(5));
  directory.OnStoreRestored(clock.Now());
  EXPECT_EQ(directory.Put(Engine("left"), clock.Now()), EngineNews::kInDoubt);
  EXPECT_EQ(directory.Put(Engine("back"), clock.Now()), EngineNews::kInDoubt);
  directory.KeepOnly({ "left", "back" }, clock.Now());
  EXPECT_NE(directory.Find("a"), nullptr) << "it will register again";
  EXPECT_EQ(directory.Find("left"), nullptr);
  clock.Advance(seconds(1));
  directory.Remove("left", clock.Now()); // written again
  directory.Put(Engine("a"), clock.Now());
  clock.Advance(seconds(2));
  EXPECT_TRUE(directory.Tick(clock.Now()));
  EXPECT_EQ(directory.Find("left"), nullptr);
  EXPECT_NE(directory.Find("back"), nullptr) << "it stays listed";
  EXPECT_NE(directory.Find("a"), nullptr);
}

/// What an engine said of its leaving is lost with the copy; it still leaves.
TEST(EngineDirectory, AnEngineThatLeavesDoesSoAfterTheStoreCameBackFromAnOlderCopy)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a", true), clock.Now());
  directory.OnStoreRestored(clock.Now());
  directory.Put(Engine("a"), clock.Now());
  EXPECT_TRUE(directory.Find("a")->mLeaving);
}

/// Symptom: an engine that started again takes no requests for as long as it lives.
/// Sequence: it says that it leaves, ends, and starts again under its id.
/// Cause: leaving was kept by id, though it is one start's.
TEST(EngineDirectory, ANewStartUnderTheSameIdIsNotLeaving)
{
  ManualClock clock;
  EngineDirectory directory;
  EngineRecord first = Engine("a", true);
  first.mBorn = WallTime(milliseconds(1000));
  EXPECT_EQ(directory.Put(first, clock.Now()), EngineNews::kSameStart);
  EngineRecord second = Engine("a");
  second.mBorn = WallTime(milliseconds(2000));
  EXPECT_EQ(directory.Put(second, clock.Now()), EngineNews::kNewStart);
  EXPECT_FALSE(directory.Find("a")->mLeaving);
  second.mLeaving = true;
  directory.Put(second, clock.Now());
  second.mLeaving = false;
  EXPECT_EQ(directory.Put(second, clock.Now()), EngineNews::kSameStart);
  EXPECT_TRUE(directory.Find("a")->mLeaving) << "a start that leaves does so for good";
}

/// Symptom: an engine that has just started counts as leaving, or as part of a replica that it
/// knows nothing of.
/// Sequence: it starts again and registers; a write of its former start is carried out late, also
/// after the registration of the new one has lapsed.
/// Cause: whatever came last was believed.
TEST(EngineDirectory, WhatAFormerStartWroteIsNotTaken)
{
  ManualClock clock;
  EngineDirectory directory;
  EngineRecord former = Engine("a", true);
  former.mBorn = WallTime(milliseconds(1000));
  EngineRecord now = Engine("a");
  now.mBorn = WallTime(milliseconds(2000));
  directory.Put(now, clock.Now());
  EXPECT_EQ(directory.Put(former, clock.Now()), EngineNews::kFormerStart);
  EXPECT_FALSE(directory.Find("a")->mLeaving);
  directory.Remove("a", clock.Now());
  clock.Advance(seconds(13));
  directory.Tick(clock.Now());
  EXPECT_EQ(directory.Put(former, clock.Now()), EngineNews::kFormerStart);
  EXPECT_EQ(directory.Find("a"), nullptr);
  EXPECT_EQ(directory.NewestStart("a"), now.mBorn);
}

/// A registration that was overwritten by something else is not kept through an outage.
TEST(EngineDirectory, AWithdrawnRegistrationIsGoneAtOnce)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a"), clock.Now());
  directory.OnStoreBack(clock.Now());
  directory.Withdraw("a", clock.Now());
  EXPECT_EQ(directory.Find("a"), nullptr);
}

TEST(EngineDirectory, OneThatSaidItLeavesIsNotKept)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a", true), clock.Now());
  directory.OnStoreBack(clock.Now());
  directory.Remove("a", clock.Now());
  EXPECT_EQ(directory.Find("a"), nullptr);
}

/// Guards against requests that follow another node's older view to an engine that has left: what
/// this node knows of a leaving must outlast the registration.
TEST(EngineDirectory, RemembersSinceWhenEnginesLeaveOrAreGone)
{
  ManualClock clock;
  EngineDirectory directory;
  for (const char* it : { "says so", "removed", "back", "stays" }) {
    directory.Put(Engine(it), clock.Now());
  }
  EXPECT_TRUE(directory.Departures().empty());
  const TimePoint known = clock.Now();
  directory.Put(Engine("says so", true), clock.Now());
  directory.Remove("removed", clock.Now());
  directory.Remove("back", clock.Now());
  clock.Advance(seconds(2));
  directory.Put(Engine("back"), clock.Now());
  directory.Remove("says so", clock.Now());
  EXPECT_EQ(directory.Departures().size(), 2U);
  EXPECT_EQ(directory.Departures().at("says so").mSince, known);
  EXPECT_EQ(directory.Departures().at("removed").mSince, known);
  clock.Advance(seconds(100));
  directory.Tick(clock.Now());
  EXPECT_TRUE(directory.Departures().empty());
}

TEST(EngineDirectory, LeavingIsForGood)
{
  ManualClock clock;
  EngineDirectory directory;
  directory.Put(Engine("a", true), clock.Now());
  directory.Put(Engine("a", false), clock.Now()); // an older record, read again
  EXPECT_TRUE(directory.Find("a")->mLeaving);
}

TEST(StallDetector, SilenceOfAllStreamsStandsForTheHead)
{
  ManualClock clock;
  StallDetector detector;
  detector.OnWriting("h", clock.Now());
  detector.OnWriting("h", clock.Now());
  detector.OnWriting("other", clock.Now());
  clock.Advance(milliseconds(150));
  detector.OnEvent("other", clock.Now());
  EXPECT_TRUE(detector.Suspects(clock.Now()).empty());
  clock.Advance(milliseconds(40));
  EXPECT_EQ(detector.Suspects(clock.Now()), std::vector<std::string>{ "h" });
  EXPECT_TRUE(detector.Suspects(clock.Now()).empty()); // told once
  detector.OnEvent("h", clock.Now());
  EXPECT_EQ(detector.Silence("h", clock.Now()), Duration::zero());
}

TEST(StallDetector, AHeadWithoutStreamsIsNotSilent)
{
  ManualClock clock;
  StallDetector detector;
  detector.OnWriting("h", clock.Now());
  detector.OnDone("h");
  clock.Advance(seconds(5));
  EXPECT_TRUE(detector.Suspects(clock.Now()).empty());
  EXPECT_EQ(detector.Silence("h", clock.Now()), Duration::zero());
}

} // namespace
} // namespace pepperbay
