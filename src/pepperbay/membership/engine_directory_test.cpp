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
  directory.Replace({ Engine("c") }, clock.Now());
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
  directory.Replace({}, clock.Now());
  EXPECT_EQ(directory.Engines().size(), 2U);
  clock.Advance(seconds(1));
  directory.Put(Engine("a"), clock.Now());
  clock.Advance(seconds(2));
  EXPECT_TRUE(directory.Tick(clock.Now()));
  EXPECT_NE(directory.Find("a"), nullptr);
  EXPECT_EQ(directory.Find("b"), nullptr);
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
