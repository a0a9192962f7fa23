#include "pepperbay/dispatch/attempted_engines.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using Names = std::set<std::string>;

bool
Never(const std::string& /*aEngine*/, const AttemptedReplica& /*aAsked*/)
{
  return false;
}

/// Guards against cutting a stream because a refusal used up the attempts of its route.
TEST(AttemptedEngines, OneThatDidNotTakeItMayBeAskedOnceMore)
{
  AttemptedEngines asked;
  asked.OnSent("a", { "g", 1 });
  asked.OnSent("b", { "h", 1 });
  asked.OnNotTaken("b");
  EXPECT_EQ(asked.Retryable(&Never), (Names{ "b" }));
  asked.OnSent("b", { "h", 1 });
  asked.OnNotTaken("b");
  EXPECT_EQ(asked.Retryable(&Never), Names{});
  EXPECT_EQ(asked.Count(), 2);
}

/// Guards against cutting a stream although the head that ran it accepts requests again.
TEST(AttemptedEngines, AHeadOfAReFormedReplicaMayBeAskedOnceMore)
{
  AttemptedEngines asked;
  asked.OnSent("a", { "g", 1 });
  std::uint64_t epoch = 1;
  const auto reFormed = [&epoch](const std::string& aEngine, const AttemptedReplica& aAsked) {
    return aEngine == "a" && aAsked.mGroup == "g" && epoch > aAsked.mEpoch;
  };
  EXPECT_EQ(asked.Retryable(reFormed), Names{});
  epoch = 2;
  EXPECT_EQ(asked.Retryable(reFormed), (Names{ "a" }));
  asked.OnSent("a", { "g", 2 });
  epoch = 3;
  EXPECT_EQ(asked.Retryable(reFormed), Names{});
}

/// Guards against attempts being used up by engines that were never reached.
TEST(AttemptedEngines, OneThatWasNotReachedDoesNotCount)
{
  AttemptedEngines asked;
  asked.OnSent("a", {});
  asked.OnUnreached("a");
  EXPECT_EQ(asked.Count(), 0);
  asked.OnSent("a", {});
  asked.OnNotTaken("a");
  asked.OnSent("a", {});
  asked.OnUnreached("a");
  EXPECT_EQ(asked.Count(), 1);
}

/// Guards against retrying the same engine repeatedly.
RC_GTEST_PROP(AttemptedEngines, NoEngineIsOfferedAThirdTime, ())
{
  AttemptedEngines asked;
  std::map<std::string, int> sent;
  for (int i = 0; i < 30; ++i) {
    const std::string engine(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
    const bool formed = *rc::gen::arbitrary<bool>();
    const auto reFormed = [formed](const std::string&, const AttemptedReplica&) { return formed; };
    const Names again = asked.Retryable(reFormed);
    for (const auto& it : again) {
      RC_ASSERT(sent[it] == 1);
    }
    if (sent[engine] == 0 || again.count(engine) != 0) {
      asked.OnSent(engine, {});
      ++sent[engine];
    } else {
      asked.OnNotTaken(engine);
    }
  }
}

/// Guards against excluding an engine that refused once and was not reached on the second attempt.
TEST(AttemptedEnginesTest, OneThatRefusedMayBeAskedAfterAFailedConnection)
{
  AttemptedEngines asked;
  asked.OnSent("e1", { "g1", 7 });
  asked.OnNotTaken("e1");
  asked.OnSent("e1", { "g1", 7 });
  asked.OnUnreached("e1");
  const auto never = [](const std::string&, const AttemptedReplica&) { return false; };
  EXPECT_EQ(asked.Retryable(never), std::set<std::string>{ "e1" });
}

} // namespace
} // namespace pepperbay
