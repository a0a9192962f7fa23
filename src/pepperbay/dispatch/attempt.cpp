#include "pepperbay/dispatch/attempt.hpp"

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
  if (mFinished || !mayRepeat || mAttempts >= mRequest.mMostAttempts) {
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
  if (mRequest.mUnrepeatable && mMayHaveRun) {
    return Finish(aFailure.mDetail);
  }
  if (aNow >= mRequest.mDeadline) {
    return Finish("deadline passed; last: " + aFailure.mDetail);
  }
  const bool began = mTokens > 0;
  if (began && !aFailure.mCanResume && mRequest.mStreams) {
    return Finish("cut short and the engine cannot resume: " + aFailure.mDetail);
  }
  if (mAttempts >= mRequest.mMostAttempts) {
    return Finish("all attempts failed; last: " + aFailure.mDetail);
  }
  if (!aBudget->TakeRetry()) {
    return Finish("too many retries are under way; last: " + aFailure.mDetail);
  }
  if (began && aFailure.mCanResume) {
    return { NextStep::kResume, Ran::kUnknown, aFailure.mDetail };
  }
  mTokens = 0; // nothing of them has reached the caller; the next attempt begins anew
  return { NextStep::kRetry, Ran::kUnknown, aFailure.mDetail };
}

} // namespace pepperbay
