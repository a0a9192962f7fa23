#include "pepperbay/journal/appender.hpp"
#include "pepperbay/journal/follower.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

proto::Record
DrainOf(const std::string& aHost)
{
  proto::Record record;
  record.mutable_drain()->set_host(aHost);
  record.mutable_drain()->set_host_incarnation(1);
  return record;
}

std::uint64_t
SequenceOf(const std::string& aBytes)
{
  proto::Record record;
  EXPECT_TRUE(record.ParseFromString(aBytes));
  return record.id().sequence();
}

/// Symptom: a record applied twice, or lost, after the log's answer was lost.
/// Sequence: append takes effect, the answer does not arrive, the writer tries again.
/// Cause without record ids: the second try is a new record to the fold.
TEST(Appender, SendsTheSameIdsAgainUntilFolded)
{
  ManualClock clock;
  Appender appender({ "n1", 7 });
  int done = 0;
  ASSERT_TRUE(appender
                .Submit(DrainOf("a"),
                        clock.Now() + seconds(60),
                        [&](auto aOffset) { done += aOffset.has_value() ? 1 : 100; })
                .has_value());
  const auto first = appender.Next(clock.Now());
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(appender.Next(clock.Now()).empty()) << "one batch at a time";
  appender.OnAnswer(false, clock.Now());
  EXPECT_TRUE(appender.Next(clock.Now()).empty()) << "waits before trying again";
  clock.Advance(seconds(3));
  const auto second = appender.Next(clock.Now());
  EXPECT_EQ(first, second);
  appender.OnFolded(1, std::uint64_t{ 41 });
  appender.OnFolded(1, std::uint64_t{ 42 });
  EXPECT_EQ(done, 1);
  EXPECT_EQ(appender.Waiting(), 0U);
}

/// Symptom: a record never takes effect although the log is well.
/// Sequence: record 1 is appended and its answer lost; record 2 goes out alone and is folded
/// first; record 1 comes later and the fold, which takes growing ids only, drops it as a duplicate.
/// Cause: a batch that did not begin with the oldest record still waiting.
TEST(Appender, ABatchBeginsWithTheOldestRecordWaiting)
{
  ManualClock clock;
  Appender appender({ "n1", 7 });
  ASSERT_TRUE(appender.Submit(DrainOf("a"), clock.Now() + seconds(60), {}).has_value());
  (void)appender.Next(clock.Now());
  appender.OnAnswer(true, clock.Now());
  ASSERT_TRUE(appender.Submit(DrainOf("b"), clock.Now() + seconds(60), {}).has_value());
  const auto batch = appender.Next(clock.Now());
  ASSERT_EQ(batch.size(), 2U);
  EXPECT_EQ(SequenceOf(batch[0]), 1U);
  EXPECT_EQ(SequenceOf(batch[1]), 2U);
}

TEST(Appender, RefusesAtOnceWhenTooManyWait)
{
  ManualClock clock;
  AppenderOptions options{ "n1", 7 };
  options.mMaxWaiting = 2;
  Appender appender(options);
  EXPECT_TRUE(appender.Submit(DrainOf("a"), clock.Now(), {}).has_value());
  EXPECT_TRUE(appender.Submit(DrainOf("b"), clock.Now(), {}).has_value());
  const auto third = appender.Submit(DrainOf("c"), clock.Now(), {});
  ASSERT_FALSE(third.has_value());
  EXPECT_EQ(third.error().mCode, Errc::kUnavailable);
}

/// A log that loses answers and delays appends arbitrarily, against the rule "growing ids only":
/// whatever happens, each record is folded at most once, in order, and is reported once.
RC_GTEST_PROP(Appender, EachRecordIsFoldedAtMostOnceAndReportedOnce, ())
{
  const auto script = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
  ManualClock clock;
  Appender appender({ "n1", 7 });
  std::vector<std::vector<std::string>> delayed;
  std::vector<std::uint64_t> folded;
  std::map<std::uint64_t, int> reports;
  std::uint64_t submitted = 0;
  const auto arrive = [&](const std::vector<std::string>& aBatch) {
    for (const auto& it : aBatch) {
      const std::uint64_t sequence = SequenceOf(it);
      if (folded.empty() || sequence > folded.back()) {
        folded.push_back(sequence);
        appender.OnFolded(sequence, sequence);
      }
    }
  };
  for (const int step : script) {
    clock.Advance(milliseconds(700));
    if (step == 0) {
      const std::uint64_t id = ++submitted;
      (void)appender.Submit(
        DrainOf("h"), clock.Now() + seconds(20), [&reports, id](const auto&) { ++reports[id]; });
    }
    const auto batch = appender.Next(clock.Now());
    if (!batch.empty()) {
      if (step == 1) {
        delayed.push_back(batch); // lost or late: arrives after later ones, or never
        appender.OnAnswer(false, clock.Now());
      } else if (step == 2) {
        arrive(batch);
        appender.OnAnswer(false, clock.Now()); // the answer was lost after the effect
      } else {
        arrive(batch);
        appender.OnAnswer(true, clock.Now());
      }
    }
    if (step == 3 && !delayed.empty()) {
      arrive(delayed.back());
      delayed.pop_back();
    }
    appender.ExpireBefore(clock.Now());
  }
  clock.Advance(seconds(60));
  appender.ExpireBefore(clock.Now());
  RC_ASSERT(std::is_sorted(folded.begin(), folded.end()));
  RC_ASSERT(std::adjacent_find(folded.begin(), folded.end()) == folded.end());
  RC_ASSERT(reports.size() == submitted);
  for (const auto& [id, n] : reports) {
    RC_ASSERT(n == 1);
  }
}

/// A fold that only counts: offset of the next record, and whether it ever went back.
struct CountingFold
{
  std::uint64_t mNext = 0;
  bool mWentBack = false;

  FollowerHooks Hooks()
  {
    return { [this] { return mNext; },
             [this](std::uint64_t aOffset, const std::string&) {
               mWentBack = mWentBack || aOffset != mNext;
               mNext = aOffset + 1;
             },
             [this](const proto::Snapshot& aSnapshot) {
               mWentBack = mWentBack || aSnapshot.next_offset() <= mNext;
               mNext = aSnapshot.next_offset();
             } };
  }
};

proto::LogRecords
LogOf(std::uint64_t aEarliest, std::uint64_t aEnd, std::uint64_t aFrom, std::uint64_t aSnapshotAt)
{
  proto::LogRecords records;
  records.set_earliest(aEarliest);
  records.set_end(aEnd);
  records.set_first_offset(std::max(aFrom, aEarliest));
  for (std::uint64_t i = records.first_offset(); i < aEnd; ++i) {
    proto::Record record;
    record.set_format(1);
    if (i == aSnapshotAt) {
      record.mutable_snapshot()->set_next_offset(aSnapshotAt - 1);
    } else {
      record.mutable_drain()->set_host("h");
    }
    records.add_records(record.SerializeAsString());
  }
  return records;
}

/// Symptom: a node that starts empty after retention has cut the stream never becomes ready, or
/// folds a tail onto nothing. Cause: the records it needs are gone; only a snapshot helps.
TEST(Follower, StartsFromASnapshotWhenRetentionHasCutTheStream)
{
  ManualClock clock;
  CountingFold fold;
  Follower follower({}, fold.Hooks());
  LogRead read;
  ASSERT_TRUE(follower.NextRead(clock.Now(), &read));
  EXPECT_EQ(read.mFrom, 0U);
  follower.OnRead(LogOf(100, 120, 0, 110), clock.Now());
  EXPECT_EQ(fold.mNext, 109U) << "the snapshot's own position, before its offset";
  ASSERT_TRUE(follower.NextRead(clock.Now(), &read));
  EXPECT_EQ(read.mFrom, 109U);
  follower.OnRead(LogOf(100, 120, 109, 110), clock.Now());
  EXPECT_EQ(fold.mNext, 120U);
  EXPECT_TRUE(follower.CaughtUp());
  EXPECT_FALSE(fold.mWentBack);
}

TEST(Follower, ServesRecentRecordsToPeersAndNothingItNoLongerHas)
{
  ManualClock clock;
  CountingFold fold;
  FollowerOptions options;
  options.mKeepBytes = 200;
  Follower follower(options, fold.Hooks());
  LogRead read;
  ASSERT_TRUE(follower.NextRead(clock.Now(), &read));
  follower.OnRead(LogOf(0, 100, 0, 1000), clock.Now());
  EXPECT_EQ(follower.Serve(0).records_size(), 0);
  EXPECT_EQ(follower.Serve(98).records_size(), 2);
}

/// Old snapshots, overlapping and distant records from peers, cut and failing reads, in any order:
/// the fold sees each offset once and never an older state.
RC_GTEST_PROP(Follower, NeverGoesBack, ())
{
  const auto script = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 40)));
  ManualClock clock;
  CountingFold fold;
  Follower follower({}, fold.Hooks());
  std::uint64_t highest = 0;
  for (const auto& [kind, value] : script) {
    clock.Advance(milliseconds(1200));
    const auto at = static_cast<std::uint64_t>(value);
    LogRead read;
    if (kind == 0 && follower.NextRead(clock.Now(), &read)) {
      follower.OnRead(LogOf(at / 2, std::max<std::uint64_t>(at, 1), read.mFrom, at / 2 + 2),
                      clock.Now());
    } else if (kind == 1 && follower.NextRead(clock.Now(), &read)) {
      follower.OnReadFailed(clock.Now());
    } else if (kind == 2) {
      proto::Snapshot snapshot;
      snapshot.set_next_offset(at);
      follower.OnPeerSnapshot(snapshot);
    } else if (kind == 3) {
      proto::Records records;
      records.set_first_offset(at);
      records.add_records("x");
      records.add_records("y");
      follower.OnPeerRecords(records);
    }
    RC_ASSERT(!fold.mWentBack);
    RC_ASSERT(fold.mNext >= highest);
    highest = fold.mNext;
  }
}

} // namespace
} // namespace pepperbay
