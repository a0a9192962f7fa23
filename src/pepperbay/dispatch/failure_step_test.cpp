#include "pepperbay/dispatch/failure_step.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

RequestProgress
AnyProgress()
{
  RequestProgress progress;
  progress.mRepeatable = *rc::gen::arbitrary<bool>();
  progress.mMayHaveRun = *rc::gen::arbitrary<bool>();
  progress.mAnswerBegun = *rc::gen::arbitrary<bool>();
  progress.mSent = *rc::gen::inRange(0, 4);
  progress.mMaxSent = *rc::gen::inRange(1, 4);
  progress.mLeft = std::chrono::milliseconds(*rc::gen::inRange(-100, 8000));
  progress.mHasTarget = *rc::gen::arbitrary<bool>();
  progress.mHasBudget = *rc::gen::arbitrary<bool>();
  progress.mCallerWait = std::chrono::milliseconds(*rc::gen::inRange(-100, 200));
  return progress;
}

RC_GTEST_PROP(FailureStep, WhatMayHaveRunIsNeverSentAgainUnlessItMayRepeat, ())
{
  const RequestProgress progress = AnyProgress();
  if (AfterFailure(progress) == FailureStep::kSendAgain) {
    RC_ASSERT(progress.mRepeatable || !progress.mMayHaveRun);
    RC_ASSERT(progress.mSent < progress.mMaxSent);
    RC_ASSERT(progress.mHasBudget && progress.mHasTarget);
    RC_ASSERT(progress.mLeft > Duration::zero());
  }
}

RC_GTEST_PROP(FailureStep, ARequestThatIsNotSentAgainHasAReason, ())
{
  const RequestProgress progress = AnyProgress();
  RC_ASSERT(RetryDenialReason(progress).empty() ==
            (AfterFailure(progress) == FailureStep::kSendAgain));
}

/// Guards against keeping callers waiting when no attempt can follow, or longer than they wait.
RC_GTEST_PROP(FailureStep, OnlyWhatMayBeSentAgainLaterWaits, ())
{
  const RequestProgress progress = AnyProgress();
  if (AfterFailure(progress) == FailureStep::kWait) {
    RC_ASSERT(progress.mCallerWait > Duration::zero());
    RC_ASSERT(progress.mRepeatable && progress.mMayHaveRun);
    RC_ASSERT(progress.mSent < progress.mMaxSent);
    RC_ASSERT(!progress.mHasBudget || !progress.mHasTarget);
  }
}

RC_GTEST_PROP(FailureStep, NotRunIsSaidOnlyWithProof, ())
{
  const RequestProgress progress = AnyProgress();
  const FailureStep step = AfterFailure(progress);
  RC_ASSERT(step != FailureStep::kRefuse || !progress.mMayHaveRun);
  RC_ASSERT(step != FailureStep::kRefuse || !progress.mAnswerBegun);
  RC_ASSERT(step != FailureStep::kFail || !progress.mAnswerBegun);
  RC_ASSERT(step != FailureStep::kCut || progress.mAnswerBegun);
}

TEST(FailureStep, TakesAnotherEngineWhileItMay)
{
  RequestProgress progress;
  progress.mRepeatable = true;
  progress.mMayHaveRun = true;
  progress.mSent = 1;
  progress.mMaxSent = 2;
  progress.mLeft = std::chrono::seconds(1);
  progress.mHasTarget = true;
  progress.mHasBudget = true;
  EXPECT_EQ(AfterFailure(progress), FailureStep::kSendAgain);
  progress.mHasBudget = false;
  EXPECT_EQ(AfterFailure(progress), FailureStep::kFail);
  progress.mCallerWait = std::chrono::seconds(1);
  EXPECT_EQ(AfterFailure(progress), FailureStep::kWait);
  progress.mMayHaveRun = false;
  EXPECT_EQ(AfterFailure(progress), FailureStep::kRefuse);
}

} // namespace
} // namespace pepperbay
