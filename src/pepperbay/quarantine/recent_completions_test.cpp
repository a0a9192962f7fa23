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

/// A request that shares a slot with one that ran would be cleared of what it did.
TEST(RecentCompletions, NeverTakesOneRequestForAnother)
{
  RecentCompletions runs(1);
  runs.OnCompletion({ 1, 2 }, kNow);
  EXPECT_FALSE(runs.HasCompleted({ 1, 3 }, kNow));
  runs.OnCompletion({ 1, 3 }, kNow);
  EXPECT_FALSE(runs.HasCompleted({ 1, 2 }, kNow)); // forgotten, which proves nothing
  EXPECT_TRUE(runs.HasCompleted({ 1, 3 }, kNow));
}

} // namespace
} // namespace pepperbay
