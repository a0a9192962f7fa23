#include "pepperbay/admission/token_bucket.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ seconds(50) };

TEST(TokenBucket, StartsEmptyAndFillsUpToItsDepth)
{
  TokenBucket bucket({ 2.0, 3.0 }, kStart);
  EXPECT_FALSE(bucket.Take(kStart));
  EXPECT_FALSE(bucket.Take(kStart + milliseconds(499)));
  EXPECT_TRUE(bucket.Take(kStart + milliseconds(500)));
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + seconds(60)), 3.0);
  EXPECT_TRUE(bucket.IsFull(kStart + seconds(60)));
}

TEST(TokenBucket, ANewRateAppliesFromItsChangeOn)
{
  TokenBucket bucket({ 1.0, 4.0 }, kStart);
  bucket.SetOptions({ 10.0, 2.0 }, kStart + seconds(1));
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + seconds(1)), 1.0);
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + milliseconds(1050)), 1.5);
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + seconds(2)), 2.0);
}

TEST(TokenBucket, TokensSpentWithoutTakeAreOwedUpToTheDepth)
{
  TokenBucket bucket({ 1.0, 2.0 }, kStart);
  for (int i = 0; i < 9; ++i) {
    bucket.Spend(kStart);
  }
  EXPECT_DOUBLE_EQ(bucket.Level(kStart), -2.0);
  EXPECT_FALSE(bucket.Take(kStart + milliseconds(2999)));
  EXPECT_TRUE(bucket.Take(kStart + seconds(3)));
}

TEST(TokenBucket, FillsUpToItsDepthAndNoFurther)
{
  TokenBucket bucket({ 1.0, 2.0 }, kStart);
  for (int i = 0; i < 3; ++i) {
    bucket.Spend(kStart);
  }
  bucket.Fill(kStart);
  bucket.Fill(kStart);
  EXPECT_DOUBLE_EQ(bucket.Level(kStart), 2.0);
}

/// Property: in any interval it grants at most its rate times the interval, plus its depth.
RC_GTEST_PROP(TokenBucketProperty, AnyIntervalGetsAtMostTheRateAndTheDepth, ())
{
  const double rate = *rc::gen::inRange(1, 100) / 10.0;
  const double depth = *rc::gen::inRange(1, 5);
  TokenBucket bucket({ rate, depth }, kStart);
  std::vector<TimePoint> taken;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 200));
    if (bucket.Take(now)) {
      taken.push_back(now);
    }
  }
  for (std::size_t i = 0; i < taken.size(); ++i) {
    for (std::size_t j = i; j < taken.size(); ++j) {
      const double span = std::chrono::duration<double>(taken[j] - taken[i]).count();
      RC_ASSERT(static_cast<double>(j - i + 1) <= span * rate + depth + 1e-6);
    }
  }
}

} // namespace
} // namespace pepperbay
