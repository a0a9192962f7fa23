#include "pepperbay/routing/engine_limit_table.hpp"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kEngine = 7;
const WallTime kBorn{ milliseconds(1000) };
const TimePoint kStart{ seconds(100) };

/// An answer that took 200 ms, to a request sent this long after the start.
LimitStatement
Statement(std::optional<double> aPerSecond, Duration aSentAfter, WallTime aBorn = kBorn)
{
  const TimePoint left = kStart + aSentAfter;
  return { aBorn, aPerSecond, left, left + milliseconds(200) };
}

TEST(EngineLimitTable, ALimitHoldsForAsLongAsTheEngineSaysSo)
{
  EngineLimitTable table;
  EXPECT_EQ(table.OnStatement(kEngine, Statement({}, seconds(0))), LimitChange::kNone);
  EXPECT_EQ(table.OnStatement(kEngine, Statement(3.4, seconds(1))), LimitChange::kLearned);
  EXPECT_EQ(table.OnStatement(kEngine, Statement(3.4, seconds(2))), LimitChange::kNone);
  EXPECT_EQ(table.LimitOf(kEngine, kBorn), 3.4);
  EXPECT_EQ(table.OnStatement(kEngine, Statement(5.0, seconds(3))), LimitChange::kChanged);
  EXPECT_EQ(table.OnStatement(kEngine, Statement(0.0, seconds(4))), LimitChange::kChanged);
  EXPECT_EQ(table.LimitOf(kEngine, kBorn), 0.0);
  EXPECT_EQ(table.Limited(), 1U);
  EXPECT_EQ(table.OnStatement(kEngine, Statement({}, seconds(5))), LimitChange::kOver);
  EXPECT_FALSE(table.LimitOf(kEngine, kBorn));
  EXPECT_EQ(table.Limited(), 0U);
}

/// Guards against a late answer lifting a limit, or restoring one that has ended.
TEST(EngineLimitTable, AnAnswerToAnEarlierRequestChangesNothing)
{
  EngineLimitTable table;
  table.OnStatement(kEngine, Statement(3.4, seconds(5)));
  EXPECT_EQ(table.OnStatement(kEngine, Statement({}, seconds(4))), LimitChange::kNone);
  EXPECT_EQ(table.OnStatement(kEngine, Statement(9.0, seconds(4))), LimitChange::kNone);
  EXPECT_EQ(table.LimitOf(kEngine, kBorn), 3.4);
  table.OnStatement(kEngine, Statement({}, seconds(6)));
  EXPECT_EQ(table.OnStatement(kEngine, Statement(3.4, seconds(5))), LimitChange::kNone);
  EXPECT_FALSE(table.LimitOf(kEngine, kBorn));
}

/// Two requests are in progress when a limit begins. Guards against the quicker answer of the two
/// lifting it.
TEST(EngineLimitTable, AnAnswerThatCameBeforeALimitWasStatedDoesNotLiftIt)
{
  EngineLimitTable table;
  LimitStatement slow = Statement(3.4, milliseconds(0));
  slow.mAnswered = kStart + seconds(1);
  table.OnStatement(kEngine, slow);
  EXPECT_EQ(table.OnStatement(kEngine, Statement({}, milliseconds(100))), LimitChange::kNone);
  EXPECT_EQ(table.LimitOf(kEngine, kBorn), 3.4);
}

TEST(EngineLimitTable, ALimitAppliesToOneIncarnationOnly)
{
  EngineLimitTable table;
  const WallTime later = kBorn + seconds(9);
  table.OnStatement(kEngine, Statement(3.4, seconds(1)));
  EXPECT_FALSE(table.LimitOf(kEngine, later));
  EXPECT_EQ(table.OnStatement(kEngine, Statement({}, seconds(0), later)), LimitChange::kOver);
  EXPECT_EQ(table.OnStatement(kEngine, Statement(3.4, seconds(3))), LimitChange::kNone)
    << "of a stale incarnation";
  EXPECT_FALSE(table.LimitOf(kEngine, kBorn));
  table.OnStatement(kEngine, Statement(2.0, seconds(4), later));
  table.Forget(kEngine);
  EXPECT_FALSE(table.LimitOf(kEngine, later));
}

TEST(EngineLimitTable, KeepsOnlyEnginesThatAreListed)
{
  EngineLimitTable table;
  table.OnStatement(1, Statement(1.0, seconds(1)));
  table.OnStatement(2, Statement(1.0, seconds(1)));
  table.Retain({ 2, 3 });
  EXPECT_FALSE(table.LimitOf(1, kBorn));
  EXPECT_TRUE(table.LimitOf(2, kBorn));
}

/// Property: once an engine has stated a limit, its answer to the request that was sent last takes
/// effect, whatever the order in which answers arrive.
RC_GTEST_PROP(EngineLimitTableProperty, TheAnswerToTheLastRequestCountsInAnyOrder, ())
{
  const auto values =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4)); // 0: states none
  std::vector<std::size_t> order(values.size());
  std::iota(order.begin(), order.end(), 0);
  for (std::size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
  }
  const auto limitOf = [&](std::size_t aIndex) {
    return values[aIndex] == 0 ? std::nullopt : std::optional<double>(values[aIndex]);
  };
  EngineLimitTable table;
  table.OnStatement(kEngine, Statement(9.0, milliseconds(0)));
  for (const auto it : order) {
    table.OnStatement(kEngine,
                      Statement(limitOf(it), milliseconds(300) * static_cast<int>(it + 1)));
  }
  const auto last = values.empty() ? std::optional<double>(9.0) : limitOf(values.size() - 1);
  RC_ASSERT(table.LimitOf(kEngine, kBorn) == last);
}

} // namespace
} // namespace pepperbay
