#include "pepperbay/dispatch/attempt.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::seconds;

struct FailureCase
{
  const char* mWhat;
  bool mUnrepeatable;
  bool mStreams;
  std::uint64_t mTokens;
  AttemptFailure mFailure;
  NextStep mStep;
  Ran mRan;
};

AttemptFailure
Failure(bool aByteLeft, bool aSaysNotRun, bool aCanResume)
{
  AttemptFailure failure;
  failure.mByteLeft = aByteLeft;
  failure.mBackEndSaysNotRun = aSaysNotRun;
  failure.mCanResume = aCanResume;
  return failure;
}

TEST(Delivery, DecidesWhatFollowsAFailure)
{
  const std::vector<FailureCase> cases = {
    { "never sent", false, true, 0, Failure(false, false, false), NextStep::kRetry, Ran::kUnknown },
    { "sent", false, true, 0, Failure(true, false, false), NextStep::kRetry, Ran::kUnknown },
    { "cut, can resume",
      false,
      true,
      3,
      Failure(true, false, true),
      NextStep::kResume,
      Ran::kUnknown },
    { "cut, cannot",
      false,
      true,
      3,
      Failure(true, false, false),
      NextStep::kAnswer,
      Ran::kUnknown },
    { "cut, kept here",
      false,
      false,
      3,
      Failure(true, false, false),
      NextStep::kRetry,
      Ran::kUnknown },
    { "once, never sent",
      true,
      false,
      0,
      Failure(false, false, false),
      NextStep::kRetry,
      Ran::kUnknown },
    { "once, not run",
      true,
      false,
      0,
      Failure(true, true, false),
      NextStep::kRetry,
      Ran::kUnknown },
    { "once, sent", true, false, 0, Failure(true, false, false), NextStep::kAnswer, Ran::kUnknown },
  };
  for (const auto& it : cases) {
    RetryBudget budget({ 0.1, 10 });
    Delivery delivery({ it.mUnrepeatable, it.mStreams, TimePoint(seconds(60)), 4 });
    ASSERT_EQ(delivery.BeginAttempt(), 1);
    for (std::uint64_t i = 0; i < it.mTokens; ++i) {
      delivery.OnToken();
    }
    const auto next = delivery.OnFailure(it.mFailure, TimePoint(seconds(1)), &budget);
    EXPECT_EQ(next.mStep, it.mStep) << it.mWhat;
    if (next.mStep == NextStep::kAnswer) {
      EXPECT_EQ(next.mRan, it.mRan) << it.mWhat;
    }
  }
}

/// Guards against an answer without its first words: an answer that is not streamed fails half-way
/// at an engine that cannot resume, discarded tokens are still counted, and the next attempt
/// resumes from the middle.
TEST(Delivery, ABufferedAnswerStartsOverWhenTheEngineCannotResume)
{
  RetryBudget budget({ 0.1, 10 });
  Delivery delivery({ false, false, TimePoint(seconds(60)), 4 });
  delivery.BeginAttempt();
  delivery.OnToken();
  EXPECT_EQ(delivery.OnFailure(Failure(true, false, false), TimePoint(), &budget).mStep,
            NextStep::kRetry);
  EXPECT_EQ(delivery.Tokens(), 0U);
}

/// For any sequence of outcomes: an unrepeatable request is not sent again once it may have run;
/// "not run" is answered only when no attempt may have run; there is exactly one final answer; the
/// retry budget is never exceeded.
RC_GTEST_PROP(Delivery, NeverRepeatsAndNeverClaimsNotRunWithoutProof, ())
{
  const bool unrepeatable = *rc::gen::arbitrary<bool>();
  const bool streams = *rc::gen::arbitrary<bool>();
  const double budgetLeft = *rc::gen::inRange(0, 4);
  RetryBudget budget({ 0.1, budgetLeft });
  Delivery delivery({ unrepeatable, streams, TimePoint(seconds(30)), 4 });
  bool mayHaveRun = false;
  int answers = 0;
  int retries = 0;
  TimePoint now(seconds(1));
  for (int i = 0; i < 10; ++i) {
    const int attempt = delivery.BeginAttempt();
    if (attempt == 0) {
      break;
    }
    RC_ASSERT(answers == 0);
    RC_ASSERT(!unrepeatable || !mayHaveRun);
    retries += attempt > 1 ? 1 : 0;
    if (*rc::gen::inRange(0, 5) == 0) {
      delivery.OnComplete();
      ++answers;
      continue;
    }
    for (int t = *rc::gen::inRange(0, 3); t > 0; --t) {
      delivery.OnToken();
    }
    const AttemptFailure failure = Failure(
      *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
    mayHaveRun = mayHaveRun || (failure.mByteLeft && !failure.mBackEndSaysNotRun);
    now += seconds(*rc::gen::inRange(0, 12));
    const auto next = delivery.OnFailure(failure, now, &budget);
    if (next.mStep == NextStep::kAnswer) {
      ++answers;
      RC_ASSERT(next.mRan == (mayHaveRun ? Ran::kUnknown : Ran::kNo));
      RC_ASSERT(delivery.Finished());
    }
  }
  RC_ASSERT(answers == 1);
  RC_ASSERT(retries <= budgetLeft);
}

RC_GTEST_PROP(RetryBudget, RetriesStayAShareOfRequests, (const std::vector<bool>& aRequests))
{
  RetryBudget budget({ 0.1, 5 });
  int requests = 0;
  int retries = 0;
  for (const bool request : aRequests) {
    if (request) {
      budget.OnRequest();
      ++requests;
    } else {
      retries += budget.TakeRetry() ? 1 : 0;
    }
    RC_ASSERT(retries <= 5 + requests / 10 + 1);
  }
}

} // namespace
} // namespace pepperbay
