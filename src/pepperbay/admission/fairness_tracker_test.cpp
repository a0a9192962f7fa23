#include "pepperbay/admission/fairness_tracker.hpp"

#include "pepperbay/admission/token_bucket.hpp"

#include <gtest/gtest.h>
#include <random>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ seconds(100) };

TEST(FairnessTracker, TheMoreUrgentGoFirstWhileTheyWait)
{
  FairnessTracker turns;
  EXPECT_FALSE(turns.IsOutranked({ 5, 1 }, kStart));
  turns.OnRefused({ 2, 2 }, kStart);
  EXPECT_TRUE(turns.IsOutranked({ 5, 1 }, kStart));
  EXPECT_FALSE(turns.IsOutranked({ 2, 1 }, kStart));
  EXPECT_FALSE(turns.IsOutranked({ 0, 1 }, kStart));
  EXPECT_FALSE(turns.IsOutranked({ 5, 1 }, kStart + seconds(1)))
    << "they no longer count as waiting";
}

TEST(FairnessTracker, AtEqualUrgencyTheCustomerGrantedLessGoesFirst)
{
  FairnessTracker turns;
  turns.OnTaken({ 1, 1 }, kStart);
  turns.OnTaken({ 1, 1 }, kStart);
  turns.OnRefused({ 1, 2 }, kStart);
  EXPECT_TRUE(turns.IsOutranked({ 1, 1 }, kStart));
  EXPECT_FALSE(turns.IsOutranked({ 1, 2 }, kStart));
  EXPECT_FALSE(turns.IsOutranked({ 0, 1 }, kStart)) << "more urgent than the waiting claimants";
}

/// Guards against a customer with many callers taking most of a small rate.
TEST(FairnessTracker, ACustomerWithTenTimesTheCallersGetsNoMoreOfASmallRate)
{
  FairnessTracker turns;
  TokenBucket bucket({ 4.0, 2.0 }, kStart);
  std::mt19937 random(7);
  int got[2] = { 0, 0 };
  for (TimePoint now = kStart; now < kStart + seconds(60); now += milliseconds(20)) {
    const Claimant claimant{ 1, random() % 11 == 0 ? 1U : 0U };
    const bool goes =
      bucket.Level(now) >= 1 && (bucket.IsFull(now) || !turns.IsOutranked(claimant, now));
    if (goes && bucket.Take(now)) {
      turns.OnTaken(claimant, now);
      ++got[claimant.mCustomer];
    } else {
      turns.OnRefused(claimant, now);
    }
  }
  EXPECT_GE(got[0] + got[1], 60 * 4 * 8 / 10) << "the rate is used";
  EXPECT_GE(got[1], got[0] * 6 / 10);
}

TEST(FairnessTracker, ForgetsAllEventually)
{
  FairnessTracker turns;
  turns.OnTaken({ 1, 1 }, kStart);
  turns.OnRefused({ 1, 2 }, kStart);
  EXPECT_FALSE(turns.IsEmpty(kStart));
  EXPECT_TRUE(turns.IsEmpty(kStart + std::chrono::minutes(1)));
}

} // namespace
} // namespace pepperbay
