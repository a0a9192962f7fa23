#include "pepperbay/places/rate_ledger.hpp"

#include "pepperbay/places/local_share.hpp"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ std::chrono::hours(1) };
const RateLeases kHeld = { { "a", { kStart, kStart + std::chrono::hours(1) } } };

int
TakeAllFor(RateLedger* aLedger, const LimitedEngine& aEngine, TimePoint aFrom, Duration aFor)
{
  int n = 0;
  for (TimePoint now = aFrom; now < aFrom + aFor; now += milliseconds(10)) {
    n += aLedger->Take(aEngine, "w", {}, now) ? 1 : 0;
  }
  return n;
}

TEST(RateLedger, GrantsItsShareOfALimit)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  const LimitedEngine engine{ 1, "a", 10.0 };
  EXPECT_FALSE(ledger.Take(engine, "w", {}, kStart)) << "earlier capacity may have been granted";
  const int n = TakeAllFor(&ledger, engine, kStart, seconds(10));
  EXPECT_GE(n, 88);
  EXPECT_LE(n, 90);
  EXPECT_LE(TakeAllFor(&ledger, engine, kStart + seconds(60), milliseconds(10)), 2)
    << "what was not used is not saved up";
}

/// Guards against two nodes that count for the same engines.
TEST(RateLedger, GrantsNothingWithoutTheLease)
{
  RateLedger ledger;
  ledger.SetLeases({ { "a", { kStart, kStart + seconds(1) } } });
  const LimitedEngine engine{ 1, "a", 100.0 };
  EXPECT_FALSE(ledger.Take({ 2, "b", 100.0 }, "w", {}, kStart + milliseconds(900)));
  ledger.Take(engine, "w", {}, kStart);
  EXPECT_TRUE(ledger.Take(engine, "w", {}, kStart + milliseconds(900)));
  EXPECT_FALSE(ledger.Take(engine, "w", {}, kStart + seconds(1)));
  ledger.Spend(engine, kStart + seconds(1));
}

/// Guards against an allocator that regains the lease and uses tokens from before it lost the
/// lease.
TEST(RateLedger, StartsEmptyAfterABreak)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  const LimitedEngine engine{ 1, "a", 4.0 };
  EXPECT_FALSE(ledger.MayTake(engine, "w", {}, kStart));
  EXPECT_TRUE(ledger.MayTake(engine, "w", {}, kStart + seconds(2)));
  ledger.SetLeases({ { "a", { kStart + seconds(3), kStart + seconds(9) } } });
  EXPECT_FALSE(ledger.MayTake(engine, "w", {}, kStart + seconds(3)));
}

TEST(RateLedger, FollowsANewLimit)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  TakeAllFor(&ledger, { 1, "a", 50.0 }, kStart, seconds(2));
  const int n = TakeAllFor(&ledger, { 1, "a", 5.0 }, kStart + seconds(2), seconds(4));
  EXPECT_LE(n, 20);
  EXPECT_GE(n, 16);
}

/// Guards against a limit of 0 that lasts for ever, because no request checks whether it is over.
TEST(RateLedger, ALimitOfZeroIsTriedNowAndThen)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  const int n = TakeAllFor(&ledger, { 1, "a", 0.0 }, kStart, seconds(60));
  EXPECT_GE(n, 10);
  EXPECT_LE(n, 12);
}

TEST(RateLedger, WhatWasSentWithoutAskingCounts)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  const LimitedEngine engine{ 1, "a", 10.0 };
  TakeAllFor(&ledger, engine, kStart, seconds(1));
  for (int i = 0; i < 2; ++i) {
    ledger.Spend(engine, kStart + seconds(1));
  }
  const int n = TakeAllFor(&ledger, engine, kStart + seconds(1), seconds(1));
  EXPECT_LE(n, 7);
}

TEST(RateLedger, BulkWaitsWhileMoreUrgentRequestsAreRefused)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  const LimitedEngine engine{ 1, "a", 4.0 };
  ledger.MayTake(engine, "w", {}, kStart);
  ledger.Refuse("w", 4.0, { 1, 0 }, kStart);
  const TimePoint one = kStart + milliseconds(300);
  EXPECT_FALSE(ledger.MayTake(engine, "w", { 5, 0 }, one));
  EXPECT_TRUE(ledger.MayTake(engine, "other", { 5, 0 }, one)) << "no request waits there";
  EXPECT_TRUE(ledger.MayTake(engine, "w", { 1, 0 }, one));
  EXPECT_TRUE(ledger.MayTake(engine, "w", { 5, 0 }, kStart + milliseconds(600)))
    << "nothing is wasted";
}

/// Guards against retry times at which there is no capacity for the caller.
TEST(RateLedger, RefusedCallersAreToldToRetryAtTheRateOfTheLimit)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  const LimitedEngine engine{ 1, "a", 5.0 };
  std::deque<TimePoint> back;
  TimePoint now = kStart;
  ledger.MayTake(engine, "w", {}, now);
  for (int i = 0; i < 8; ++i) {
    back.push_back(now + ledger.Refuse("w", 5.0, {}, now));
  }
  int served = 0;
  for (const auto it : back) {
    served += ledger.Take(engine, "w", {}, it + milliseconds(1)) ? 1 : 0;
  }
  EXPECT_EQ(served, 8);
  EXPECT_GT(ledger.Refuse("w", 0.0, {}, now), seconds(2))
    << "the actual time, beyond the limit of reservations";
}

TEST(RateLedger, DropsUnusedAccounts)
{
  RateLedger ledger;
  ledger.SetLeases(kHeld);
  ledger.Take({ 1, "a", 5.0 }, "w", {}, kStart);
  EXPECT_EQ(ledger.Size(), 1U);
  ledger.Tick(kStart + seconds(31));
  EXPECT_EQ(ledger.Size(), 0U);
}

/// Guards against nodes without an allocator exceeding the fraction that is set aside for local
/// shares.
TEST(LocalShare, SharesOfAllNodesTogetherStayWithinTheirs)
{
  for (const int nodes : { 1, 8, 75, 295 }) {
    for (const double limit : { 0.5, 3.4, 40.0, 2000.0 }) {
      std::vector<LocalShare> parts;
      for (int i = 0; i < nodes; ++i) {
        parts.emplace_back(LocalShareOptions{ "n" + std::to_string(i) });
      }
      std::deque<TimePoint> sent;
      std::size_t most = 0;
      std::size_t all = 0;
      for (TimePoint now = kStart; now < kStart + seconds(60); now += milliseconds(10)) {
        for (auto& it : parts) {
          if (it.MayUse(7, limit, nodes, now)) {
            it.Use(7, now);
            sent.push_back(now);
            ++all;
          }
        }
        while (!sent.empty() && now - sent.front() >= seconds(4)) {
          sent.pop_front();
        }
        most = std::max(most, sent.size());
      }
      // Four seconds, and half a second for which a send window is open; windows that are offset by
      // a hash coincide now and then, as random arrivals do.
      const double part = 4.5 * limit * 0.1;
      EXPECT_LE(static_cast<double>(most), part + 2 + 3 * std::sqrt(part))
        << nodes << " nodes, " << limit;
      EXPECT_LE(static_cast<double>(all), 60 * limit * 0.1 * 1.3 + 3) << nodes << ", " << limit;
    }
  }
}

TEST(LocalShare, NothingIsLeftOfALimitOfZero)
{
  LocalShare part({ "n" });
  for (TimePoint now = kStart; now < kStart + seconds(60); now += milliseconds(50)) {
    EXPECT_FALSE(part.MayUse(7, 0.0, 8, now));
  }
}

} // namespace
} // namespace pepperbay
