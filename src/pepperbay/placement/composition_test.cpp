#include "pepperbay/placement/composition.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 20;

ModelUse
Use(const char* aModel, std::size_t aSize, std::size_t aReplicas, double aInUse)
{
  return { aModel, aSize, aReplicas, aInUse };
}

/// Pattern: the smaller model is asked for more than its places hold, the larger one is hardly
/// asked for. Guards against callers of one model waiting beside idle engines of the other.
TEST(Composition, BurstOfTheSmallerModelTakesReplicasOfTheLarger)
{
  const auto need = NextTrade({ Use("big", 8, 9, 33), Use("small", 2, 36, 700) }, kSlots, {});
  ASSERT_TRUE(need.has_value());
  EXPECT_EQ(need->mFrom, "big");
  EXPECT_EQ(need->mTo, "small");
}

/// Pattern: the mix turns back. Guards against engines that stay where the last burst put them.
TEST(Composition, BurstOfTheLargerModelTakesReplicasOfTheSmaller)
{
  const auto need = NextTrade({ Use("big", 8, 5, 110), Use("small", 2, 52, 490) }, kSlots, {});
  ASSERT_TRUE(need.has_value());
  EXPECT_EQ(need->mFrom, "small");
  EXPECT_EQ(need->mTo, "big");
}

/// Pattern: both models are full. Guards against one model's callers paying for the other's.
TEST(Composition, AModelThatIsFullGivesNothing)
{
  EXPECT_FALSE(
    NextTrade({ Use("big", 8, 9, 170), Use("small", 2, 36, 1000) }, kSlots, {}).has_value());
}

/// Guards against a model that is left with fewer replicas than the loss of one allows.
TEST(Composition, EachModelKeepsItsLeastReplicas)
{
  EXPECT_FALSE(
    NextTrade({ Use("big", 8, 2, 0), Use("small", 2, 36, 1000) }, kSlots, {}).has_value());
}

/// Guards against a pool whose operator wants the shares to stand.
TEST(Composition, SharesStandWhereThePolicySaysSo)
{
  CompositionOptions options;
  options.mPolicy = CompositionPolicy::kShares;
  EXPECT_FALSE(
    NextTrade({ Use("big", 8, 9, 10), Use("small", 2, 36, 1000) }, kSlots, options).has_value());
}

/// Guards against flapping: with the same work, no sequence of trades turns back on itself, and
/// each leaves every model with what it must keep.
RC_GTEST_PROP(Composition, TradesEndAndDoNotTurnBack, ())
{
  const auto sizeOf = [] { return *rc::gen::inRange<std::size_t>(1, 17); };
  std::vector<ModelUse> uses;
  const int n = *rc::gen::inRange(2, 5);
  for (int i = 0; i < n; ++i) {
    uses.push_back({ "m" + std::to_string(i),
                     sizeOf(),
                     *rc::gen::inRange<std::size_t>(1, 60),
                     static_cast<double>(*rc::gen::inRange(0, 1500)) });
  }
  const CompositionOptions options;
  std::set<std::pair<std::string, std::string>> done;
  for (int step = 0; step < 400; ++step) {
    const auto need = NextTrade(uses, kSlots, options);
    if (!need) {
      return;
    }
    RC_ASSERT(done.count({ need->mTo, need->mFrom }) == 0);
    done.insert({ need->mFrom, need->mTo });
    const auto find = [&](const std::string& aModel) -> ModelUse& {
      return *std::find_if(
        uses.begin(), uses.end(), [&](const ModelUse& aUse) { return aUse.mModel == aModel; });
    };
    ModelUse& from = find(need->mFrom);
    ModelUse& to = find(need->mTo);
    const std::size_t gives = from.mSize >= to.mSize ? 1 : (to.mSize + from.mSize - 1) / from.mSize;
    from.mReplicas -= gives;
    to.mReplicas += from.mSize >= to.mSize ? from.mSize / to.mSize : 1;
    RC_ASSERT(from.mReplicas >= options.mLeastReplicas);
    RC_ASSERT(PartInUse(from, kSlots) <= options.mMostAfterGiving);
  }
  RC_FAIL("trades without end");
}

/// Guards against a decision by the arrivals of one moment.
TEST(Composition, UseIsAveragedOverTime)
{
  PlaceUse use(milliseconds(700));
  TimePoint now{ seconds(1) };
  use.Observe("small", 100, now);
  now += milliseconds(200);
  use.Observe("small", 500, now);
  EXPECT_GT(use.InUse("small"), 100);
  EXPECT_LT(use.InUse("small"), 300);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(200);
    use.Observe("small", 500, now);
  }
  EXPECT_NEAR(use.InUse("small"), 500, 5);
}

} // namespace
} // namespace pepperbay
