#include "pepperbay/dispatch/failure_step.hpp"

namespace pepperbay {
namespace {
/// Less time than this is not enough to connect, run and answer anywhere: a second attempt would
/// only take a place from a request that can still be served.
constexpr Duration kLeastUsefulTime = std::chrono::milliseconds(40);
}

FailureStep
AfterFailure(const RequestProgress& aProgress)
{
  const bool may = aProgress.mRepeatable || !aProgress.mMayHaveRun;
  const bool can = aProgress.mSent < aProgress.mMostSent && aProgress.mHasTarget &&
                   aProgress.mHasBudget && aProgress.mLeft > kLeastUsefulTime;
  if (may && can) {
    return FailureStep::kSendAgain;
  }
  if (aProgress.mAnswerBegun) {
    return FailureStep::kCut;
  }
  return aProgress.mMayHaveRun ? FailureStep::kFail : FailureStep::kRefuse;
}

} // namespace pepperbay
