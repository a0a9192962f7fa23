#include "pepperbay/dispatch/attempt.hpp"

#include "pepperbay/dispatch/failure_step.hpp"

namespace pepperbay {

const char*
ToString(Ran aRan)
{
  switch (aRan) {
    case Ran::kNo:
      return "no";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kYes:
      return "yes";
  }
  return "unknown";
}

Delivery::Delivery(DeliveryRequest aRequest)
  : mRequest(aRequest)
{
}

int
Delivery::BeginAttempt()
{
  const bool mayRepeat = !mRequest.mUnrepeatable || !mMayHaveRun;
  if (mFinished || !mayRepeat || mAttempts >= mRequest.mMaxAttempts) {
    return 0;
  }
  return ++mAttempts;
}

NextDecision
Delivery::Finish(const std::string& aReason)
{
  mFinished = true;
  return { NextStep::kAnswer, mMayHaveRun ? Ran::kUnknown : Ran::kNo, aReason };
}

NextDecision
Delivery::OnFailure(const AttemptFailure& aFailure, TimePoint aNow, RetryBudget* aBudget)
{
  if (mFinished) {
    return { NextStep::kAnswer, mMayHaveRun ? Ran::kUnknown : Ran::kNo, "already answered" };
  }
  const bool proved = !aFailure.mByteLeft || aFailure.mBackEndSaysNotRun;
  mMayHaveRun = mMayHaveRun || !proved;
  const bool began = mTokens > 0;
  const bool callerHasPart = began && mRequest.mStreams;
  RequestProgress progress;
  progress.mRepeatable = !mRequest.mUnrepeatable && (!callerHasPart || aFailure.mCanResume);
  progress.mMayHaveRun = mMayHaveRun || began;
  progress.mAnswerBegun = callerHasPart;
  progress.mSent = mAttempts;
  progress.mMaxSent = mRequest.mMaxAttempts;
  progress.mLeft = mRequest.mDeadline - aNow;
  progress.mHasTarget = true; // the caller looks for a target itself
  progress.mHasBudget = aBudget->Left() >= 1.0;
  if (AfterFailure(progress) != FailureStep::kSendAgain) {
    return Finish(RetryDenialReason(progress) + ("; last: " + aFailure.mDetail));
  }
  aBudget->TakeRetry();
  if (began && aFailure.mCanResume) {
    return { NextStep::kResume, Ran::kUnknown, aFailure.mDetail };
  }
  mTokens = 0; // none of them has reached the caller; the next attempt starts over
  return { NextStep::kRetry, Ran::kUnknown, aFailure.mDetail };
}

} // namespace pepperbay
