#include "pepperbay/quarantine/recent_completions.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));

TEST(RecentCompletions, RemembersACompletionForAWhile)
{
  RecentCompletions runs;
  EXPECT_FALSE(runs.HasCompleted({ 1, 2 }, kNow));
  EXPECT_FALSE(runs.HasCompleted({ 0, 0 }, kNow));
  runs.OnCompletion({ 1, 2 }, kNow);
  EXPECT_TRUE(runs.HasCompleted(
    { 1, 2 }, kNow + RecentCompletions::kValidFor - std::chrono::milliseconds(1)));
  EXPECT_FALSE(runs.HasCompleted({ 1, 2 }, kNow + RecentCompletions::kValidFor));
}

/// A request that shares a hash slot with a completed one would be cleared by mistake.
TEST(RecentCompletions, NeverTakesOneRequestForAnother)
{
  RecentCompletions runs(1);
  runs.OnCompletion({ 1, 2 }, kNow);
  EXPECT_FALSE(runs.HasCompleted({ 1, 3 }, kNow));
  runs.OnCompletion({ 1, 3 }, kNow);
  EXPECT_FALSE(runs.HasCompleted({ 1, 2 }, kNow)); // overwritten
  EXPECT_TRUE(runs.HasCompleted({ 1, 3 }, kNow));
}

} // namespace
} // namespace pepperbay
