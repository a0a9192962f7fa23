#include "pepperbay/quarantine/crash_tracker.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
const RequestKey kKey{ 1, 2 };

EngineEnd
Begun(std::uint64_t aEngine, TimePoint aAt = kNow)
{
  return { aEngine, Suspicion::kBegun, aAt };
}

EngineEnd
Present(std::uint64_t aEngine)
{
  return { aEngine, Suspicion::kPresent, kNow };
}

TEST(CrashTracker, QuarantinesARequestForLongOnceThreeEnginesExited)
{
  CrashTracker tracker;
  tracker.Add(kKey, Begun(1), kNow);
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), TimePoint{});
  tracker.Add(kKey, Begun(2), kNow);
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), kNow + CrashTrackerOptions().mShortQuarantine);
  tracker.Add(kKey, Begun(3), kNow);
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), kNow + CrashTrackerOptions().mLongQuarantine);
}

/// Many nodes observe the exit of one engine. If each observation counted, a single exit would
/// quarantine a request.
TEST(CrashTracker, CountsEachEngineOnce)
{
  CrashTracker tracker;
  EXPECT_TRUE(tracker.Add(kKey, Begun(1), kNow));
  EXPECT_FALSE(tracker.Add(kKey, Begun(1), kNow + seconds(1)));
  EXPECT_FALSE(tracker.Add(kKey, Present(1), kNow));
  EXPECT_EQ(tracker.Score(kKey), 2);
}

TEST(CrashTracker, AStrongerSuspicionOfTheSameEngineReplacesTheWeaker)
{
  CrashTracker tracker;
  tracker.Add(kKey, Present(1), kNow);
  EXPECT_TRUE(tracker.Add(kKey, Begun(1), kNow));
  EXPECT_EQ(tracker.Score(kKey), 2);
}

/// A request that was merely queued at three engines that exited must not be refused to its caller.
TEST(CrashTracker, ABystanderOfThreeExitsIsNotQuarantined)
{
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(kKey, Present(it), kNow);
  }
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), TimePoint{});
}

TEST(CrashTracker, ACompletionClearsARequest)
{
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  EXPECT_TRUE(tracker.Clear(kKey));
  EXPECT_FALSE(tracker.Clear(kKey));
  EXPECT_EQ(tracker.Score(kKey), 0);
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), TimePoint{});
}

/// Otherwise a caller that repeats such a request for hours makes three engines exit each time the
/// quarantine is over.
TEST(CrashTracker, EachFurtherEngineDoublesTheTime)
{
  const CrashTrackerOptions options;
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 4; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), kNow + 2 * options.mLongQuarantine);
  for (std::uint64_t it = 5; it <= CrashTracker::kMaxEnds + 5; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), kNow + options.mMaxQuarantine);
}

/// Otherwise a bystander of three exits with one cause is refused for ten minutes together with the
/// cause.
TEST(CrashTracker, ExitsOfAStrongerCauseAreNotChargedToBystanders)
{
  const RequestKey bystander{ 1, 3 };
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(bystander, Begun(it), kNow);
  }
  EXPECT_GT(tracker.QuarantinedUntil(bystander), kNow);
  for (std::uint64_t it = 1; it <= 4; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  EXPECT_GT(tracker.QuarantinedUntil(kKey), kNow);
  EXPECT_EQ(tracker.Charge(bystander), 0);
  EXPECT_EQ(tracker.QuarantinedUntil(bystander), TimePoint{});
  EXPECT_EQ(tracker.Suspects().count(bystander), 0U);
  tracker.Clear(kKey); // without the cause, the bystander is a suspect again
  EXPECT_GT(tracker.QuarantinedUntil(bystander), kNow);
}

/// Otherwise two simultaneous causes clear one another, and both go on making engines exit.
TEST(CrashTracker, ACauseIsChargedWithItsOwnExitsBesideAnother)
{
  const RequestKey other{ 1, 3 };
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 5; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  tracker.Add(other, Begun(5), kNow);
  for (std::uint64_t it = 6; it <= 7; ++it) {
    tracker.Add(other, Begun(it), kNow);
    tracker.Add(kKey, Present(it), kNow);
  }
  EXPECT_EQ(tracker.Charge(other), 4);
  tracker.Add(other, Begun(8), kNow);
  EXPECT_EQ(tracker.Charge(other), 6);
  EXPECT_GT(tracker.QuarantinedUntil(other), kNow + minutes(1));
  EXPECT_GT(tracker.QuarantinedUntil(kKey), kNow + minutes(1));
}

/// Otherwise a session that was at one engine of each of three causes is refused for ten minutes.
TEST(CrashTracker, ABystanderOfOneExitOfEachOfThreeCausesIsNotQuarantined)
{
  const RequestKey bystander{ 2, 9 };
  CrashTracker tracker;
  for (std::uint64_t cause = 1; cause <= 3; ++cause) {
    tracker.Add(bystander, Begun(10 * cause), kNow);
  }
  EXPECT_GT(tracker.QuarantinedUntil(bystander), kNow);
  for (std::uint64_t cause = 1; cause <= 3; ++cause) {
    for (std::uint64_t it = 0; it < 3; ++it) {
      tracker.Add({ 1, cause }, Begun(10 * cause + it), kNow);
    }
  }
  EXPECT_EQ(tracker.Charge(bystander), 0);
  for (std::uint64_t cause = 1; cause <= 3; ++cause) {
    EXPECT_EQ(tracker.Charge({ 1, cause }), 6);
  }
}

/// Requests with the same exits cannot be distinguished and are quarantined together. If they
/// cleared one another, the cause would make a fourth engine exit.
TEST(CrashTracker, EqualCausesDoNotClearOneAnother)
{
  const RequestKey other{ 1, 3 };
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
    tracker.Add(other, Begun(it), kNow);
  }
  EXPECT_GT(tracker.QuarantinedUntil(kKey), kNow + minutes(1));
  EXPECT_GT(tracker.QuarantinedUntil(other), kNow + minutes(1));
}

TEST(CrashTracker, ForgetsARequestAnHourAfterItMayRunAgain)
{
  const CrashTrackerOptions options;
  CrashTracker tracker;
  tracker.Add(kKey, Begun(1), kNow);
  EXPECT_TRUE(tracker.Expire(kNow + options.mKeepFor - milliseconds(1)).empty());
  EXPECT_EQ(tracker.Expire(kNow + options.mKeepFor).size(), 1U);
  EXPECT_EQ(tracker.Size(), 0U);
}

/// A faulty node may report an exit time in the future, which would quarantine a request for ever.
TEST(CrashTracker, AnExitTimeIsNeverLaterThanNow)
{
  CrashTracker tracker;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(kKey, Begun(it, kNow + std::chrono::hours(99)), kNow);
  }
  EXPECT_EQ(tracker.QuarantinedUntil(kKey), kNow + CrashTrackerOptions().mLongQuarantine);
}

/// Once a cause is evicted, its exits must be charged to the other requests again; otherwise these
/// stay cleared for ever.
TEST(CrashTracker, ExitsOfAnEvictedCauseAreChargedAgain)
{
  CrashTrackerOptions options;
  options.mMaxRequests = 2;
  CrashTracker tracker(options);
  const RequestKey other{ 1, 3 };
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  for (std::uint64_t it = 11; it <= 14; ++it) {
    tracker.Add(other, Begun(it), kNow + seconds(1));
  }
  tracker.Add({ 1, 4 }, Begun(1), kNow + seconds(2)); // evicts kKey, which has the lower score
  EXPECT_EQ(tracker.Score(kKey), 0);
  EXPECT_EQ(tracker.Charge({ 1, 4 }), 2);
}

/// Callers that send many such requests must not exhaust the memory or evict quarantined requests.
TEST(CrashTracker, KeepsABoundedNumberAndTheMostSuspectedOfThem)
{
  CrashTrackerOptions options;
  options.mMaxRequests = 10;
  CrashTracker tracker(options);
  for (std::uint64_t it = 1; it <= 3; ++it) {
    tracker.Add(kKey, Begun(it), kNow);
  }
  for (std::uint64_t it = 0; it < 200; ++it) {
    tracker.Add({ 7, it }, Begun(it), kNow + milliseconds(it));
  }
  EXPECT_EQ(tracker.Size(), 10U);
  EXPECT_EQ(tracker.Score(kKey), 6);
  EXPECT_EQ(tracker.Score({ 7, 199 }), 2);
}

/// Nodes that receive the same exits in another order, or several times, must agree on which
/// requests to refuse.
RC_GTEST_PROP(CrashTrackerProperty, TrackersWithTheSameReportsAgree, ())
{
  struct EndReportOf
  {
    RequestKey mKey;
    EngineEnd mEnd;
  };
  std::vector<EndReportOf> reports;
  const auto n = *rc::gen::inRange<std::size_t>(0, 40);
  for (std::size_t i = 0; i < n; ++i) {
    reports.push_back({ { 1, *rc::gen::inRange<std::uint64_t>(0, 4) },
                        { *rc::gen::inRange<std::uint64_t>(0, 6),
                          *rc::gen::element(Suspicion::kPresent, Suspicion::kBegun),
                          kNow - seconds(*rc::gen::inRange(0, 60)) } });
  }
  CrashTracker one;
  CrashTracker other;
  for (const auto& it : reports) {
    one.Add(it.mKey, it.mEnd, kNow);
  }
  std::vector<EndReportOf> again = reports;
  again.insert(again.end(), reports.begin(), reports.end());
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  std::shuffle(again.begin(), again.end(), random);
  for (const auto& it : again) {
    other.Add(it.mKey, it.mEnd, kNow);
  }
  RC_ASSERT(one.Size() == other.Size());
  for (const auto& it : one.Keys()) {
    RC_ASSERT(one.Score(it) == other.Score(it));
    RC_ASSERT(one.Charge(it) == other.Charge(it));
    RC_ASSERT(one.Ends(it).size() == other.Ends(it).size());
    RC_ASSERT((one.QuarantinedUntil(it) == TimePoint{}) ==
              (other.QuarantinedUntil(it) == TimePoint{}));
  }
}

/// A whole failure domain fails at one moment, and requests that move elsewhere complete there:
/// none of them may be refused, nor those of a second domain that fails later.
RC_GTEST_PROP(CrashTrackerProperty, SimultaneousExitsQuarantineNoRequest, ())
{
  CrashTracker tracker;
  const auto engines = *rc::gen::inRange<std::uint64_t>(1, 12);
  const auto requests = *rc::gen::inRange<std::uint64_t>(1, 300);
  for (std::uint64_t it = 0; it < requests; ++it) {
    const auto suspicion = *rc::gen::element(Suspicion::kPresent, Suspicion::kBegun);
    tracker.Add(
      { 1, it }, { it % engines, suspicion, kNow }, kNow); // each request is at one engine only
  }
  for (std::uint64_t it = 0; it < requests; ++it) {
    RC_ASSERT(tracker.QuarantinedUntil({ 1, it }) == TimePoint{});
  }
}

TEST(EngineIncarnationHash, DistinguishesIncarnationsOfOneEngine)
{
  EXPECT_EQ(EngineIncarnationHash("e", WallTime(milliseconds(1))),
            EngineIncarnationHash("e", WallTime(milliseconds(1))));
  EXPECT_NE(EngineIncarnationHash("e", WallTime(milliseconds(1))),
            EngineIncarnationHash("e", WallTime(milliseconds(2))));
}

} // namespace
} // namespace pepperbay
