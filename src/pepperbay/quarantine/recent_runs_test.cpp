#include "pepperbay/quarantine/recent_runs.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));

TEST(RecentRuns, KnowsARunForAWhile)
{
  RecentRuns runs;
  EXPECT_FALSE(runs.HasRun({ 1, 2 }, kNow));
  EXPECT_FALSE(runs.HasRun({ 0, 0 }, kNow));
  runs.OnRun({ 1, 2 }, kNow);
  EXPECT_TRUE(runs.HasRun({ 1, 2 }, kNow + RecentRuns::kFor - std::chrono::milliseconds(1)));
  EXPECT_FALSE(runs.HasRun({ 1, 2 }, kNow + RecentRuns::kFor));
}

/// A request that shares a slot with one that ran would be cleared of what it did.
TEST(RecentRuns, NeverTakesOneRequestForAnother)
{
  RecentRuns runs(1);
  runs.OnRun({ 1, 2 }, kNow);
  EXPECT_FALSE(runs.HasRun({ 1, 3 }, kNow));
  runs.OnRun({ 1, 3 }, kNow);
  EXPECT_FALSE(runs.HasRun({ 1, 2 }, kNow)); // forgotten, which proves nothing
  EXPECT_TRUE(runs.HasRun({ 1, 3 }, kNow));
}

} // namespace
} // namespace pepperbay
