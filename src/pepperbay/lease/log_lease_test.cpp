#include "pepperbay/lease/log_lease.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A log that appends only at its end, with answers lost before or after the effect and calls
/// carried out late.
struct FakeLeaseLog
{
  enum class Fate
  {
    kArrives,
    kLost,
    kAnswerLost,
    kLate,
  };

  ConditionalAppend Append(std::uint64_t aEnd, const std::string& aRecord)
  {
    ConditionalAppend result;
    result.mAppended = aEnd == mRecords.size();
    if (result.mAppended) {
      mRecords.push_back(aRecord);
    }
    result.mEnd = mRecords.size();
    return result;
  }

  LogLeaseHooks Hooks()
  {
    LogLeaseHooks hooks;
    hooks.mAppend = [this](std::uint64_t aEnd,
                           const std::string& aRecord,
                           const std::function<void(Result<ConditionalAppend>)>& aDone) {
      const Error lost{ Errc::kTimeout, "lease.append", "store", "" };
      switch (mFate ? mFate() : Fate::kArrives) {
        case Fate::kArrives:
          aDone(Append(aEnd, aRecord));
          return;
        case Fate::kLost:
          break;
        case Fate::kAnswerLost:
          Append(aEnd, aRecord);
          break;
        case Fate::kLate:
          mLate.emplace_back(aEnd, aRecord);
          break;
      }
      aDone(lost);
    };
    hooks.mRead = [this](std::uint64_t aFrom, const std::function<void(Result<LeaseTail>)>& aDone) {
      if (mDown) {
        aDone(Error{ Errc::kUnavailable, "lease.read", "store", "" });
        return;
      }
      LeaseTail tail;
      tail.mFirst = std::max<std::uint64_t>(aFrom, mFirst);
      for (std::size_t i = tail.mFirst; i < mRecords.size(); ++i) {
        tail.mRecords.push_back(mRecords[i]);
      }
      aDone(tail);
    };
    return hooks;
  }

  void CarryOutLate()
  {
    for (const auto& [end, record] : mLate) {
      Append(end, record);
    }
    mLate.clear();
  }

  std::vector<std::string> mRecords;
  std::size_t mFirst = 0;
  bool mDown = false;
  std::vector<std::pair<std::uint64_t, std::string>> mLate;
  std::function<Fate()> mFate;
};

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
