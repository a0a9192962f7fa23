#include "pepperbay/journal/keyed_log.hpp"

#include "fakes/fake_keyed_log.hpp"
#include "fakes/fake_store_line.hpp"
#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A follower and what its owner has been told.
struct Reader
{
  explicit Reader(FakeKeyedLog& aLog)
    : mFollower({}, aLog.Hooks(), Events(), mClock.Hook())
  {
  }

  KeyedFollowerEvents Events()
  {
    KeyedFollowerEvents events;
    events.mOnList = [this](const std::vector<KeyedRecord>& aList) {
      mSeen.clear();
      for (const auto& it : aList) {
        mSeen[it.mKey] = *it.mValue;
      }
    };
    events.mOnRecord = [this](const KeyedRecord& aRecord) {
      if (aRecord.mValue) {
        mSeen[aRecord.mKey] = *aRecord.mValue;
      } else {
        mSeen.erase(aRecord.mKey);
      }
    };
    events.mOnBack = [this] { ++mBack; };
    events.mOnLost = [this](const Error&) { ++mLost; };
    events.mOnRestored = [this](const Error&) { ++mRestored; };
    events.mOnTail = [this](std::uint64_t aFrom, const KeyedTail& aTail) {
      mTails.emplace_back(aFrom, aTail);
    };
    return events;
  }

  void Run(int aTicks)
  {
    for (int i = 0; i < aTicks; ++i) {
      mClock.Advance(milliseconds(20));
      mFollower.Tick();
    }
  }

  ManualClock mClock;
  std::map<std::string, std::string> mSeen;
  int mBack = 0;
  int mLost = 0;
  int mRestored = 0;
  std::vector<std::pair<std::uint64_t, KeyedTail>> mTails; ///< for others, by offset
  KeyedFollower mFollower;
};

/// What may happen to a log that several followers read.
void
ChangeLog(int aStep, FakeKeyedLog* aLog)
{
  const auto key = *rc::gen::element<std::string>("a", "b", "c", "d", "e", "f");
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
    case 1:
      aLog->Put(key, std::to_string(aStep));
      return;
    case 2:
      aLog->Put(key, std::nullopt);
      return;
    case 3:
      aLog->Compact();
      return;
    default:
      aLog->GoBack(*rc::gen::inRange<std::size_t>(0, 3));
      return;
  }
}

TEST(KeyedFollower, ListsAllPagesAndThenFollows)
{
  FakeKeyedLog log;
  for (const char* it : { "a", "b", "c", "d", "e" }) {
    log.Put(it, "1");
  }
  Reader reader(log);
  reader.Run(4);
  EXPECT_EQ(reader.mSeen.size(), 5U);
  log.Put("b", "2");
  log.Put("c", std::nullopt);
  reader.Run(2);
  EXPECT_EQ(reader.mSeen, log.mNewest);
}

/// Guards against nodes that are told nothing more once the node that reads for them has read the
/// list anew: what has changed in between is told as records that follow on from the last one.
TEST(KeyedFollower, AListThatIsReadAnewTellsWhatHasChanged)
{
  FakeKeyedLog log;
  for (const char* it : { "a", "b", "c", "d" }) {
    log.Put(it, "1");
  }
  ManualClock clock;
  std::map<std::string, std::string> seen;
  std::vector<KeyedTail> tails;
  std::vector<std::uint64_t> froms;
  KeyedFollowerEvents events;
  events.mOnList = [](const auto&) {};
  events.mOnRecord = [](const auto&) {};
  events.mOnBack = [] {};
  events.mOnLost = [](const Error&) {};
  events.mOnTail = [&](std::uint64_t aFrom, const KeyedTail& aTail) {
    froms.push_back(aFrom);
    tails.push_back(aTail);
  };
  KeyedFollower follower({}, log.Hooks(), events, clock.Hook());
  const auto run = [&](int aTicks) {
    for (int i = 0; i < aTicks; ++i) {
      clock.Advance(milliseconds(20));
      follower.Tick();
    }
  };
  run(4);
  EXPECT_TRUE(tails.empty()) << "nobody relies on a first list";
  const std::uint64_t before = log.mEnd;
  log.Put("b", "2");
  log.Put("c", std::nullopt);
  log.Put("d", "1");
  log.Put("e", "1");
  log.Compact();
  run(5);
  ASSERT_EQ(tails.size(), 1U);
  EXPECT_EQ(froms.front(), before);
  EXPECT_EQ(tails.front().mNext, log.mEnd);
  for (const auto& it : tails.front().mRecords) {
    seen[it.mKey] = it.mValue.value_or("gone");
  }
  const std::map<std::string, std::string> changed = { { "b", "2" },
                                                       { "c", "gone" },
                                                       { "e", "1" } };
  EXPECT_EQ(seen, changed);
  log.GoBack(1);
  run(8);
  EXPECT_EQ(tails.size(), 1U) << "a restored log is read by each node";
}

/// A follower over a line that holds reads.
struct HeldReader
{
  void Run(Duration aFor, bool aReads)
  {
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      mClock.Advance(milliseconds(20));
      mLine.Advance();
      if (aReads) {
        mFollower.Tick();
      }
    }
  }

  static KeyedFollowerOptions Options()
  {
    KeyedFollowerOptions options;
    options.mWait = milliseconds(700);
    options.mMostGap = milliseconds(1000);
    return options;
  }

  static KeyedFollowerEvents Events()
  {
    KeyedFollowerEvents events;
    events.mOnList = [](const auto&) {};
    events.mOnRecord = [](const auto&) {};
    events.mOnBack = [] {};
    events.mOnLost = [](const Error&) {};
    return events;
  }
  KeyedFollowerEvents CountingEvents()
  {
    KeyedFollowerEvents events = Events();
    events.mOnReplaced = [this](TimePoint, Duration) { ++mReplaced; };
    events.mMayRepeat = [this] { return mMayRepeat; };
    events.mOnList = [this](const auto&) { ++mLists; };
    return events;
  }

  int mReplaced = 0;
  int mLists = 0;
  bool mMayRepeat = true;
  ManualClock mClock;
  FakeKeyedLog mLog;
  FakeStoreLine mLine{ mClock.Hook() };
  KeyedFollower mFollower{ Options(), mLine.Hooks(&mLog), CountingEvents(), mClock.Hook() };
};

/// Symptom: a node that takes over reading finds out only after a whole held read that the log does
/// not answer it, or that its view is fresh.
TEST(KeyedFollower, AReadAfterAWhileWithoutAnyIsNotHeld)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.Run(seconds(3), false);
  reader.Run(milliseconds(60), true);
  EXPECT_LE(reader.mClock.Now() - reader.mFollower.AsOf(), milliseconds(60));
}

/// Symptom: a node goes on relying on a connection that was cut until its call has run out.
TEST(KeyedFollower, ACallIsOverdueOnceItsHoldIsOver)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.mLine.SetSilent(true);
  reader.Run(milliseconds(760), true);
  EXPECT_TRUE(reader.mFollower.Overdue());
  EXPECT_FALSE(reader.mFollower.Lost()) << "the call is still under way";
  reader.mLine.SetSilent(false);
  reader.Run(seconds(2), true);
  EXPECT_FALSE(reader.mFollower.Overdue());
}

/// Guards against a log that counts as lost, and a view that grows old, because one connection is
/// dead.
TEST(KeyedFollower, ALateCallIsRepeatedOverANewConnection)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.mLine.BreakConnections();
  for (int i = 0; i < 100; ++i) {
    reader.Run(milliseconds(20), true);
    EXPECT_FALSE(reader.mFollower.Lost());
    // The hold of 700 ms, 300 ms until the call is late, and a tick for each of the two calls.
    EXPECT_LE(reader.mClock.Now() - reader.mFollower.AsOf(), milliseconds(1060));
  }
  EXPECT_EQ(reader.mReplaced, 1);
}

/// Guards against repetitions beyond what the owner allows.
TEST(KeyedFollower, ALateCallIsNotRepeatedUnlessItMayBe)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.mMayRepeat = false;
  reader.mLine.BreakConnections();
  reader.Run(seconds(1) + milliseconds(200), true);
  EXPECT_FALSE(reader.mFollower.IsLate());
  EXPECT_EQ(reader.mReplaced, 0);
  reader.mMayRepeat = true;
  reader.Run(milliseconds(60), true);
  EXPECT_EQ(reader.mReplaced, 1);
}

/// Guards against a log that is never taken for lost, since each new connection is given a chance.
TEST(KeyedFollower, ALogThatAnswersOverNoConnectionIsLost)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.mLine.SetSilent(true);
  reader.Run(milliseconds(700) + FakeStoreLine::kTimeout + milliseconds(40), true);
  EXPECT_TRUE(reader.mFollower.Lost());
  EXPECT_EQ(reader.mReplaced, 0);
}

/// Guards against a read that is held for long over a connection which another log has found dead,
/// and against two logs that make each other repeat their calls for ever.
TEST(KeyedFollower, ACallThatAnotherLogSuspectsIsRepeatedAtOnceAndTellsNobody)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.mLine.BreakConnections();
  reader.Run(milliseconds(20), true);
  reader.mFollower.SuspectConnection(reader.mClock.Now() + milliseconds(1));
  EXPECT_TRUE(reader.mFollower.IsLate());
  reader.Run(milliseconds(40), true);
  EXPECT_FALSE(reader.mFollower.Overdue());
  EXPECT_LE(reader.mClock.Now() - reader.mFollower.AsOf(), milliseconds(60));
  EXPECT_EQ(reader.mReplaced, 0);
}

/// Guards against a repetition of calls that were sent after the new connection was opened.
TEST(KeyedFollower, ACallThatWasSentOverTheNewConnectionIsNotSuspected)
{
  HeldReader reader;
  reader.Run(seconds(3), true);
  reader.mFollower.SuspectConnection(TimePoint{});
  EXPECT_FALSE(reader.mFollower.IsLate());
}

/// Symptom: a node that was told of a record sooner than it read it asks again and again, since its
/// view seems old.
/// Sequence: a read leaves; a record comes by another node; the answer of before that record comes.
TEST(KeyedFollower, AnAnswerThatAFeedOvertookStillShowsHowOldTheViewIs)
{
  ManualClock clock;
  std::function<void(Result<KeyedTail>)> answer;
  KeyedLogHooks hooks;
  hooks.mNewest = [](const std::string&, const auto& aDone) { aDone(KeyedPage{}); };
  hooks.mRead = [&](std::uint64_t, Duration, const auto& aDone) { answer = aDone; };
  KeyedFollower follower(HeldReader::Options(), hooks, HeldReader::Events(), clock.Hook());
  follower.Tick();
  clock.Advance(seconds(1));
  follower.Tick();
  const TimePoint sent = clock.Now();
  clock.Advance(milliseconds(100));
  KeyedTail fed;
  fed.mRecords = { { "a", "2" } };
  fed.mNext = fed.mEnd = 1;
  EXPECT_TRUE(follower.Feed(0, fed));
  answer(KeyedTail{});
  EXPECT_EQ(follower.AsOf(), sent);
  EXPECT_EQ(follower.Next(), 1U);
}

/// Symptom: an engine that registered while the list was being read is never seen.
/// Sequence: page one, a new record with a key before page two, page two, then reads from the end.
/// Cause: reading went on from the end that the last page gave.
TEST(KeyedFollower, ARecordBetweenTwoPagesIsNotMissed)
{
  FakeKeyedLog log;
  for (const char* it : { "b", "c", "d" }) {
    log.Put(it, "1");
  }
  Reader reader(log);
  log.mBetweenPages = [&] {
    log.mBetweenPages = nullptr;
    log.Put("a", "new");
  };
  reader.Run(5);
  EXPECT_EQ(reader.mSeen, log.mNewest);
}

TEST(KeyedFollower, ListsAnewAfterRecordsWereDeletedUnread)
{
  FakeKeyedLog log;
  log.Put("a", "1");
  Reader reader(log);
  reader.Run(3);
  log.Put("a", std::nullopt);
  log.Put("b", "1");
  log.Compact();
  reader.Run(4);
  EXPECT_EQ(reader.mSeen, log.mNewest);
}

TEST(KeyedFollower, TellsHowOldItsViewIsAndBacksOff)
{
  FakeKeyedLog log;
  log.Put("a", "1");
  Reader reader(log);
  reader.Run(3);
  const TimePoint fresh = reader.mFollower.AsOf();
  log.mDown = true;
  log.mCalls = 0;
  reader.Run(100);
  EXPECT_EQ(reader.mFollower.AsOf(), fresh);
  EXPECT_TRUE(reader.mFollower.Lost());
  EXPECT_EQ(reader.mLost, 1);
  EXPECT_LT(log.mCalls, 12); // two seconds
  log.mDown = false;
  reader.Run(30);
  EXPECT_EQ(reader.mBack, 1);
  EXPECT_GT(reader.mFollower.AsOf(), fresh);
}

/// A follower whose reads the test answers by hand.
struct HeldReads
{
  HeldReads()
    : mFollower({ seconds(1) }, Hooks(), Events(), mClock.Hook())
  {
  }

  KeyedLogHooks Hooks()
  {
    KeyedLogHooks hooks;
    hooks.mNewest = [](const std::string&, const std::function<void(Result<KeyedPage>)>& aDone) {
      aDone(KeyedPage{});
    };
    hooks.mRead =
      [this](std::uint64_t, Duration aWait, std::function<void(Result<KeyedTail>)> aDone) {
        mWait = aWait;
        mDone = std::move(aDone);
      };
    return hooks;
  }

  static KeyedFollowerEvents Events()
  {
    return { [](const auto&) {}, [](const auto&) {}, [] {}, [](const Error&) {} };
  }

  ManualClock mClock;
  Duration mWait{ -1 };
  std::function<void(Result<KeyedTail>)> mDone;
  KeyedFollower mFollower;
};

/// Symptom: soon after the store is lost, keys are refused though they were confirmed a moment ago.
/// Cause: a read that was held for its whole wait without news counted from when it was sent.
TEST(KeyedFollower, AReadHeldToItsEndShowsThatNothingCameAllTheWhile)
{
  HeldReads reads;
  reads.mFollower.Tick();
  reads.mFollower.Tick();
  const TimePoint sent = reads.mClock.Now();
  reads.mClock.Advance(milliseconds(1004));
  reads.mDone(KeyedTail{});
  EXPECT_EQ(reads.mFollower.AsOf(), sent + seconds(1));
  reads.mFollower.Tick();
  const TimePoint again = reads.mClock.Now();
  reads.mClock.Advance(milliseconds(300)); // answered early: nothing is known of the rest
  reads.mDone(KeyedTail{});
  EXPECT_EQ(reads.mFollower.AsOf(), again);
}

/// Symptom: keys are refused for a whole wait after the store has come back.
/// Cause: the first read after the outage was held as all others are.
TEST(KeyedFollower, TheFirstReadAfterAnOutageIsNotHeld)
{
  HeldReads reads;
  reads.mFollower.Tick();
  reads.mFollower.Tick();
  reads.mDone(Error{ Errc::kUnavailable, "log.read", "store", "" });
  reads.mClock.Advance(seconds(1));
  reads.mFollower.Tick();
  EXPECT_EQ(reads.mWait, Duration::zero());
  reads.mDone(KeyedTail{});
  reads.mFollower.Tick();
  EXPECT_EQ(reads.mWait, seconds(1));
}

/// A log that comes back from an older copy gives the same offsets out again; a follower that reads
/// on from its own would miss what stands before it.
TEST(KeyedFollower, ReadsTheListAgainWhenTheLogComesBackFromAnOlderCopy)
{
  FakeKeyedLog log;
  log.Put("a", "1");
  Reader reader(log);
  reader.Run(4);
  log.Put("a", "2");
  log.Put("b", "2");
  reader.Run(4);
  log.GoBack(2);
  log.Put("c", "3");
  log.Put("d", "3");
  reader.Run(6);
  EXPECT_EQ(reader.mSeen, log.mNewest);
  EXPECT_EQ(reader.mRestored, 1);
}

/// Whatever happens to the log, a follower that can read it ends with what it holds.
RC_GTEST_PROP(KeyedFollower, EndsWithWhatTheLogHolds, ())
{
  FakeKeyedLog log;
  Reader reader(log);
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const auto key = *rc::gen::element<std::string>("a", "b", "c", "d", "e", "f");
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
      case 1:
        log.Put(key, std::to_string(i));
        break;
      case 2:
        log.Put(key, std::nullopt);
        break;
      case 3:
        log.Compact();
        break;
      case 4:
        log.mDown = !log.mDown;
        break;
      case 5:
        log.GoBack(*rc::gen::inRange<std::size_t>(0, 5));
        break;
      default:
        reader.Run(*rc::gen::inRange(1, 4));
        break;
    }
  }
  log.mDown = false;
  reader.Run(40);
  RC_ASSERT(reader.mSeen == log.mNewest);
}

/// Guards against keys that one follower keeps for good: another one read the list anew and told it
/// what had changed, and the keys had come and gone since that one's last offset.
RC_GTEST_PROP(KeyedFollower, EndsWithWhatTheLogHoldsWhereAnotherTellsIt, ())
{
  FakeKeyedLog log;
  Reader teller(log);
  Reader told(log);
  told.Run(4);
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        teller.Run(*rc::gen::inRange(1, 6));
        break;
      case 1:
        told.Run(*rc::gen::inRange(1, 6));
        break;
      case 2:
        for (const auto& [from, tail] : std::exchange(teller.mTails, {})) {
          told.mFollower.Feed(from, tail);
        }
        break;
      default:
        ChangeLog(i, &log);
        break;
    }
  }
  told.Run(40);
  RC_ASSERT(told.mSeen == log.mNewest);
}

/// Guards against requests to an engine that is gone for good: its key had come and gone since the
/// offset at which the node that tells of the list knew the log.
TEST(KeyedFollower, AKeyThatAToldListLacksIsGone)
{
  FakeKeyedLog log;
  log.Put("a", "1");
  Reader teller(log);
  Reader told(log);
  teller.Run(4);
  told.Run(4);
  log.Put("b", "1");
  told.Run(4);
  log.Put("b", std::nullopt);
  log.Compact();
  teller.Run(4);
  ASSERT_EQ(teller.mTails.size(), 1U);
  EXPECT_TRUE(told.mFollower.Feed(teller.mTails.front().first, teller.mTails.front().second));
  EXPECT_EQ(told.mSeen, log.mNewest);
}

/// Guards against nodes that all read a list whose changes another one has told them: an answer to
/// a call that is under way counts no more.
TEST(KeyedFollower, AListThatAnotherHasToldIsNotReadOn)
{
  HeldReader reader;
  reader.mLog.Put("a", "1");
  reader.Run(milliseconds(500), true);
  const std::uint64_t known = reader.mFollower.Next();
  reader.mLog.Put("a", "2");
  reader.mLog.Compact();
  while (!reader.mFollower.NeedsList()) {
    reader.Run(milliseconds(20), true);
  }
  ASSERT_TRUE(reader.mFollower.IsReadingList());
  const int lists = reader.mLists;
  KeyedTail changes;
  changes.mRecords = { { "a", "2" } };
  changes.mNext = reader.mLog.mEnd;
  changes.mOfList = true;
  changes.mListed = { ShortId("a") };
  EXPECT_TRUE(reader.mFollower.Feed(known, changes));
  EXPECT_FALSE(reader.mFollower.NeedsList());
  reader.Run(milliseconds(500), true);
  EXPECT_EQ(reader.mLists, lists);
  EXPECT_EQ(reader.mFollower.Next(), reader.mLog.mEnd);
}

} // namespace
} // namespace pepperbay
