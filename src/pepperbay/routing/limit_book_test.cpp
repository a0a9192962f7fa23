#include "pepperbay/routing/limit_book.hpp"

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
Said(std::optional<double> aPerSecond, Duration aLeftAfter, WallTime aBorn = kBorn)
{
  const TimePoint left = kStart + aLeftAfter;
  return { aBorn, aPerSecond, left, left + milliseconds(200) };
}

TEST(LimitBook, ALimitHoldsForAsLongAsTheEngineSaysSo)
{
  LimitBook book;
  EXPECT_EQ(book.OnStatement(kEngine, Said({}, seconds(0))), LimitChange::kNone);
  EXPECT_EQ(book.OnStatement(kEngine, Said(3.4, seconds(1))), LimitChange::kLearned);
  EXPECT_EQ(book.OnStatement(kEngine, Said(3.4, seconds(2))), LimitChange::kNone);
  EXPECT_EQ(book.LimitOf(kEngine, kBorn), 3.4);
  EXPECT_EQ(book.OnStatement(kEngine, Said(5.0, seconds(3))), LimitChange::kChanged);
  EXPECT_EQ(book.OnStatement(kEngine, Said(0.0, seconds(4))), LimitChange::kChanged);
  EXPECT_EQ(book.LimitOf(kEngine, kBorn), 0.0);
  EXPECT_EQ(book.Limited(), 1U);
  EXPECT_EQ(book.OnStatement(kEngine, Said({}, seconds(5))), LimitChange::kOver);
  EXPECT_FALSE(book.LimitOf(kEngine, kBorn));
  EXPECT_EQ(book.Limited(), 0U);
}

/// Guards against a late answer lifting a limit, or restoring one that has ended.
TEST(LimitBook, AnAnswerToAnEarlierRequestChangesNothing)
{
  LimitBook book;
  book.OnStatement(kEngine, Said(3.4, seconds(5)));
  EXPECT_EQ(book.OnStatement(kEngine, Said({}, seconds(4))), LimitChange::kNone);
  EXPECT_EQ(book.OnStatement(kEngine, Said(9.0, seconds(4))), LimitChange::kNone);
  EXPECT_EQ(book.LimitOf(kEngine, kBorn), 3.4);
  book.OnStatement(kEngine, Said({}, seconds(6)));
  EXPECT_EQ(book.OnStatement(kEngine, Said(3.4, seconds(5))), LimitChange::kNone);
  EXPECT_FALSE(book.LimitOf(kEngine, kBorn));
}

/// Two requests are in progress when a limit begins. Guards against the quicker answer of the two
/// lifting it.
TEST(LimitBook, AnAnswerThatCameBeforeALimitWasStatedDoesNotLiftIt)
{
  LimitBook book;
  LimitStatement slow = Said(3.4, milliseconds(0));
  slow.mAnswered = kStart + seconds(1);
  book.OnStatement(kEngine, slow);
  EXPECT_EQ(book.OnStatement(kEngine, Said({}, milliseconds(100))), LimitChange::kNone);
  EXPECT_EQ(book.LimitOf(kEngine, kBorn), 3.4);
}

TEST(LimitBook, ALimitAppliesToOneIncarnationOnly)
{
  LimitBook book;
  const WallTime later = kBorn + seconds(9);
  book.OnStatement(kEngine, Said(3.4, seconds(1)));
  EXPECT_FALSE(book.LimitOf(kEngine, later));
  EXPECT_EQ(book.OnStatement(kEngine, Said({}, seconds(0), later)), LimitChange::kOver);
  EXPECT_EQ(book.OnStatement(kEngine, Said(3.4, seconds(3))), LimitChange::kNone)
    << "of a stale incarnation";
  EXPECT_FALSE(book.LimitOf(kEngine, kBorn));
  book.OnStatement(kEngine, Said(2.0, seconds(4), later));
  book.Forget(kEngine);
  EXPECT_FALSE(book.LimitOf(kEngine, later));
}

TEST(LimitBook, KeepsOnlyEnginesThatAreListed)
{
  LimitBook book;
  book.OnStatement(1, Said(1.0, seconds(1)));
  book.OnStatement(2, Said(1.0, seconds(1)));
  book.Retain({ 2, 3 });
  EXPECT_FALSE(book.LimitOf(1, kBorn));
  EXPECT_TRUE(book.LimitOf(2, kBorn));
}

/// Property: once an engine has stated a limit, its answer to the request that was sent last takes
/// effect, whatever the order in which answers arrive.
RC_GTEST_PROP(LimitBookProperty, TheAnswerToTheLastRequestCountsInAnyOrder, ())
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
  LimitBook book;
  book.OnStatement(kEngine, Said(9.0, milliseconds(0)));
  for (const auto it : order) {
    book.OnStatement(kEngine, Said(limitOf(it), milliseconds(300) * static_cast<int>(it + 1)));
  }
  const auto last = values.empty() ? std::optional<double>(9.0) : limitOf(values.size() - 1);
  RC_ASSERT(book.LimitOf(kEngine, kBorn) == last);
}

} // namespace
} // namespace pepperbay
