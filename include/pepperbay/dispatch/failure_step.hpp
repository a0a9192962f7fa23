/// @file
/// @brief What to do with a request after an engine did not answer it whole. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <string>

namespace pepperbay {

/// How far a request has come when an attempt fails.
struct RequestProgress
{
  bool mRepeatable = false;  ///< may run more than once, or go on after its last event
  bool mMayHaveRun = false;  ///< an engine may have begun it, in this attempt or an earlier one
  bool mAnswerBegun = false; ///< the caller has the head of the answer
  int mSent = 0;             ///< engines that it was sent to
  int mMostSent = 1;         ///< engines that it may be sent to
  Duration mLeft{ 0 };       ///< until its deadline
  bool mHasTarget = false;   ///< another engine could take it
  bool mHasBudget = false;   ///< the pool bears one more second attempt
  bool mHeldBack = false;    ///< engines have ended under it, and another one might
  Duration mPatience{ 0 };   ///< its caller waits so long for the next piece of an answer
};

enum class FailureStep
{
  kSendAgain,
  kWait,   ///< nothing can take it now, and something may before its caller leaves
  kRefuse, ///< it has not run and never will: say so, and when to come back
  kFail,   ///< it may have run: say that nobody knows
  kCut,    ///< the answer has begun: break it off so that it cannot look complete
};

/// @code
/// if (AfterFailure(progress) == FailureStep::kSendAgain) { ... }
/// @endcode
FailureStep
AfterFailure(const RequestProgress& aProgress);

/// @return what forbids another attempt, for the log; empty when nothing does.
std::string
WhyNotAgain(const RequestProgress& aProgress);

} // namespace pepperbay
