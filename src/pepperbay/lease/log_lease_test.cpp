#include "pepperbay/lease/log_lease.hpp"

#include "fakes/fake_lease_log.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Holder
{
  Holder(FakeLeaseLog& aLog, const std::string& aName)
  {
    LeaseOptions options;
    options.mScope = "pool";
    options.mHolder = aName;
    options.mIncarnation = 1;
    options.mLength = milliseconds(1200);
    mLease = std::make_unique<LogLease>(options, aLog.Hooks(), mClock.Hook());
  }

  void Step(Duration aBy)
  {
    mClock.Advance(aBy);
    mLease->Tick();
  }

  ManualClock mClock;
  std::unique_ptr<LogLease> mLease;
};

TEST(LogLease, OneTakesItAndKeepsItAndTheOtherTakesOver)
{
  FakeLeaseLog log;
  Holder a(log, "a");
  Holder b(log, "b");
  for (int i = 0; i < 100; ++i) {
    a.Step(milliseconds(50));
    b.Step(milliseconds(50));
    EXPECT_FALSE(a.mLease->Held() && b.mLease->Held());
  }
  EXPECT_TRUE(a.mLease->Held());
  const auto fence = a.mLease->Fence();
  int steps = 0;
  while (!b.mLease->Held() && steps < 100) {
    a.mClock.Advance(milliseconds(50)); // a is paused
    b.Step(milliseconds(50));
    ++steps;
  }
  EXPECT_LT(steps, 40);
  EXPECT_GT(b.mLease->Fence(), fence);
  EXPECT_FALSE(a.mLease->Held());
}

TEST(LogLease, AHintKeepsAChallengerFromTheLog)
{
  FakeLeaseLog log;
  Holder a(log, "a");
  Holder b(log, "b");
  a.Step(milliseconds(50));
  a.Step(milliseconds(50));
  ASSERT_TRUE(a.mLease->Held());
  for (int i = 0; i < 100; ++i) {
    a.Step(milliseconds(50));
    b.mLease->OnHint(a.mLease->Newest());
    b.Step(milliseconds(50));
    EXPECT_FALSE(b.mLease->Held());
  }
}

TEST(LogLease, ALogWhoseRecordsWereDeletedIsHeldBySomebodyUnknown)
{
  FakeLeaseLog log;
  Holder a(log, "a");
  a.Step(milliseconds(50));
  a.Step(milliseconds(50));
  ASSERT_TRUE(a.mLease->Held());
  log.mFirst = log.mRecords.size();
  Holder b(log, "b");
  b.Step(milliseconds(50));
  b.Step(milliseconds(50));
  EXPECT_FALSE(b.mLease->Held()); // first the wait
  for (int i = 0; i < 60 && !b.mLease->Held(); ++i) {
    b.Step(milliseconds(50));
  }
  EXPECT_TRUE(b.mLease->Held());
}

/// The log loses its last claims; a holder that appends at an end that is no more, and reads from
/// there, would never hold the lease again, nor would anybody else.
TEST(LogLease, IsTakenAnewWithAHigherNumberAfterTheLogCameBackFromAnOlderCopy)
{
  FakeLeaseLog log;
  Holder a(log, "a");
  for (int i = 0; i < 100; ++i) {
    a.Step(milliseconds(50));
  }
  ASSERT_TRUE(a.mLease->Held());
  const std::uint64_t fence = a.mLease->Fence();
  log.GoBack(5);
  int steps = 0;
  while (a.mLease->Fence() <= fence || !a.mLease->Held()) {
    a.Step(milliseconds(50));
    ASSERT_LT(++steps, 80); // four seconds
  }
}

/// A holder's claims are the newest of a log that has come back from an older copy.
class RestoredLeaseLog : public testing::Test
{
protected:
  RestoredLeaseLog()
  {
    mFormer.Step(milliseconds(50));
    mFormer.Step(milliseconds(50));
    EXPECT_TRUE(mFormer.mLease->Held());
    mLog.GoBack(0);
  }

  /// Both learn that the log came back. Then the former holder is paused while the other finds the
  /// claims from before and counts their length.
  void ExpectNeverBothHold()
  {
    for (int i = 0; i < 12; ++i) {
      mFormer.Step(milliseconds(50));
      mOther.Step(milliseconds(50));
    }
    for (int i = 0; i < 36; ++i) {
      mFormer.mClock.Advance(milliseconds(50));
      mOther.Step(milliseconds(50));
    }
    int held = 0;
    for (int i = 0; i < 100; ++i) {
      mFormer.Step(milliseconds(50));
      mOther.Step(milliseconds(50));
      EXPECT_FALSE(mFormer.mLease->Held() && mOther.mLease->Held()) << i;
      held += mFormer.mLease->Held() || mOther.mLease->Held() ? 1 : 0;
    }
    EXPECT_GT(held, 50);
  }

  FakeLeaseLog mLog;
  Holder mFormer{ mLog, "former" };
  Holder mOther{ mLog, "other" };
};

/// A node whose claim was refused finds one of its own from before the log came back. Taken for the
/// refused one, it would be in force from now on, while others have counted its length already.
TEST_F(RestoredLeaseLog, AClaimFromBeforeTheLogCameBackIsNotTakenForTheOneJustRefused)
{
  ExpectNeverBothHold();
}

/// The same where the node has not read itself that the log came back, but a peer told it.
TEST_F(RestoredLeaseLog, AnOldClaimHeardFromAPeerIsNotTakenForTheOneJustRefused)
{
  mOther.Step(milliseconds(50));
  mFormer.mLease->OnHint(mOther.mLease->Newest());
  ExpectNeverBothHold();
}

/// Two never hold at once and fencing numbers only grow, under lost and late answers, pauses and
/// clocks that run up to two percent apart.
RC_GTEST_PROP(LogLease, NeverHeldTwice, ())
{
  FakeLeaseLog log;
  log.mFate = [] {
    using Fate = FakeLeaseLog::Fate;
    return *rc::gen::weightedElement<Fate>(
      { { 6, Fate::kArrives }, { 1, Fate::kLost }, { 1, Fate::kAnswerLost }, { 1, Fate::kLate } });
  };
  Holder a(log, "a");
  Holder b(log, "b");
  std::uint64_t highest = 0;
  const auto steps = *rc::gen::inRange(20, 200);
  for (int i = 0; i < steps; ++i) {
    const Duration fast = milliseconds(51);
    const Duration slow = milliseconds(50);
    const bool pause = *rc::gen::inRange(0, 12) == 0;
    for (int k = 0; k < (pause ? 30 : 1); ++k) {
      a.mClock.Advance(slow);
      b.Step(fast);
      RC_ASSERT(!(a.mLease->Held() && b.mLease->Held()));
    }
    a.mLease->Tick();
    if (*rc::gen::inRange(0, 10) == 0) {
      log.CarryOutLate();
    }
    if (*rc::gen::inRange(0, 40) == 0) {
      log.GoBack(*rc::gen::inRange<std::size_t>(0, 8));
    }
    if (*rc::gen::inRange(0, 10) == 0) {
      a.mLease->OnHint(b.mLease->Newest());
      b.mLease->OnHint(a.mLease->Newest());
    }
    RC_ASSERT(!(a.mLease->Held() && b.mLease->Held()));
    for (auto* it : { &a, &b }) {
      if (it->mLease->Held()) {
        RC_ASSERT(it->mLease->Fence() >= highest);
        highest = it->mLease->Fence();
      }
    }
  }
}

} // namespace
} // namespace pepperbay
