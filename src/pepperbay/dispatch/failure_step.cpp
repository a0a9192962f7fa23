#include "pepperbay/dispatch/failure_step.hpp"

namespace pepperbay {
namespace {
/// Less time is not enough to connect, run and answer on any engine: a retry would only take a slot
/// from a request that can still be served.
constexpr Duration kMinUsefulTime = std::chrono::milliseconds(40);
}

std::string
RetryDenialReason(const RequestProgress& aProgress)
{
  if (aProgress.mMayHaveRun && !aProgress.mRepeatable) {
    return "it may have run and cannot be sent again";
  }
  if (aProgress.mQuarantined) {
    return "engines have ended under it";
  }
  if (aProgress.mSent >= aProgress.mMaxSent) {
    return "all attempts failed";
  }
  if (aProgress.mLeft <= kMinUsefulTime) {
    return "no time is left for another attempt";
  }
  if (!aProgress.mHasTarget) {
    return "no other engine can take it";
  }
  if (!aProgress.mHasBudget) {
    return "too many second attempts are under way";
  }
  return "";
}

FailureStep
AfterFailure(const RequestProgress& aProgress)
{
  if (RetryDenialReason(aProgress).empty()) {
    return FailureStep::kSendAgain;
  }
  RequestProgress later = aProgress;
  later.mHasTarget = true;
  later.mHasBudget = true;
  // A request that has not run is refused instead, with a time to retry after.
  const bool waits = aProgress.mMayHaveRun && aProgress.mCallerWait > Duration::zero();
  if (waits && RetryDenialReason(later).empty()) {
    return FailureStep::kWait;
  }
  if (aProgress.mAnswerBegun) {
    return FailureStep::kCut;
  }
  return aProgress.mMayHaveRun ? FailureStep::kFail : FailureStep::kRefuse;
}

} // namespace pepperbay
