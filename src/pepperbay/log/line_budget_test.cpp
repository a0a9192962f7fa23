#include "line_budget.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// Symptom: an error that repeats thousands of times a second drowns all other lines and takes the
/// processor from requests.
TEST(LineBudget, BoundsEachKindByItselfAndTellsWhatWasLeftOut)
{
  LineBudget budget({ 2 });
  const LineBudget::Clock::time_point start{ std::chrono::hours(1) };
  std::uint64_t leftOut = 0;
  EXPECT_TRUE(budget.Take("a", start, &leftOut));
  EXPECT_TRUE(budget.Take("a", start, &leftOut));
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(budget.Take("a", start, &leftOut));
  }
  EXPECT_TRUE(budget.Take("b", start, &leftOut));
  EXPECT_EQ(leftOut, 0U);
  EXPECT_TRUE(budget.Take("a", start + std::chrono::seconds(1), &leftOut));
  EXPECT_EQ(leftOut, 5U);
  EXPECT_EQ(budget.LeftOut(), 5U);
}

} // namespace
} // namespace pepperbay
