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

/// The smaller model has more demand than slots, the larger one hardly any. Guards against requests
/// of one model waiting while engines of the other are idle.
TEST(Composition, BurstOfTheSmallerModelTakesReplicasOfTheLarger)
{
  const auto need = NextRebalance({ Use("big", 8, 9, 33), Use("small", 2, 36, 700) }, kSlots, {});
  ASSERT_TRUE(need.has_value());
  EXPECT_EQ(need->mFrom, "big");
  EXPECT_EQ(need->mTo, "small");
}

/// Demand shifts back to the larger model. Guards against engines that stay with the model of the
/// last burst.
TEST(Composition, BurstOfTheLargerModelTakesReplicasOfTheSmaller)
{
  const auto need = NextRebalance({ Use("big", 8, 5, 110), Use("small", 2, 52, 490) }, kSlots, {});
  ASSERT_TRUE(need.has_value());
  EXPECT_EQ(need->mFrom, "small");
  EXPECT_EQ(need->mTo, "big");
}

/// Both models are full. Guards against refusing requests of one model for the sake of the other.
TEST(Composition, AFullModelGivesUpNoReplicas)
{
  EXPECT_FALSE(
    NextRebalance({ Use("big", 8, 9, 170), Use("small", 2, 36, 1000) }, kSlots, {}).has_value());
}

/// Guards against leaving a model with so few replicas that it cannot lose one.
TEST(Composition, EachModelKeepsItsMinimumOfReplicas)
{
  EXPECT_FALSE(
    NextRebalance({ Use("big", 8, 2, 0), Use("small", 2, 36, 1000) }, kSlots, {}).has_value());
}

/// Guards against a change of replicas although the operator has chosen fixed shares.
TEST(Composition, FixedSharesDisableRebalances)
{
  CompositionOptions options;
  options.mPolicy = CompositionPolicy::kShares;
  EXPECT_FALSE(NextRebalance({ Use("big", 8, 9, 10), Use("small", 2, 36, 1000) }, kSlots, options)
                 .has_value());
}

/// Guards against flapping: under constant demand, no sequence of rebalances reverses itself, and
/// each leaves every model its minimum of replicas.
RC_GTEST_PROP(Composition, RebalancesEndAndAreNotReversed, ())
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
    const auto need = NextRebalance(uses, kSlots, options);
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
    RC_ASSERT(from.mReplicas >= options.mMinReplicas);
    RC_ASSERT(SlotUtilisation(from, kSlots) <= options.mMaxDonorUtilisation);
  }
  RC_FAIL("trades without end");
}

/// Guards against decisions based on momentary arrivals.
TEST(Composition, UseIsAveragedOverTime)
{
  SlotUsage use(milliseconds(700));
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
