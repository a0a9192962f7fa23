#include "registration_parts.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

/// Parts in any order, doubled, with parts of another state between them: what comes out is one
/// state, whole.
RC_GTEST_PROP(RegistrationParts, PartsOfTwoStatesAreNeverMixed, ())
{
  const auto first = *rc::gen::arbitrary<RawRegistrations>();
  const auto second = *rc::gen::arbitrary<RawRegistrations>();
  std::vector<proto::StateReply> replies = CutIntoParts(first, 20);
  const auto others = CutIntoParts(second, 20);
  replies.insert(replies.end(), others.begin(), others.end());
  PartCollector collector;
  const auto turns = *rc::gen::inRange(1, 60);
  for (int i = 0; i < turns; ++i) {
    const auto whole = collector.Add(replies[*rc::gen::inRange<std::size_t>(0, replies.size())]);
    RC_ASSERT(!whole || *whole == first || *whole == second);
  }
}

TEST(RegistrationParts, AllPartsMakeTheWhole)
{
  RawRegistrations all;
  for (int i = 0; i < 50; ++i) {
    all["e" + std::to_string(i)] = std::string(100, 'x');
  }
  const auto parts = CutIntoParts(all, 1000);
  EXPECT_GT(parts.size(), 4U);
  PartCollector collector;
  std::optional<RawRegistrations> whole;
  for (const auto& it : parts) {
    EXPECT_FALSE(whole);
    whole = collector.Add(it);
  }
  ASSERT_TRUE(whole);
  EXPECT_EQ(*whole, all);
  EXPECT_NE(HashOf(all), HashOf({}));
}

} // namespace
} // namespace pepperbay
