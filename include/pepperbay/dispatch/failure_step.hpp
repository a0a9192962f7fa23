/// @file
/// @brief Decides the next step of a request after an engine failed to answer it completely. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <string>

namespace pepperbay {

/// State of a request when an attempt fails.
struct RequestProgress
{
  bool mRepeatable = false;  ///< may run more than once, or resume after its last event
  bool mMayHaveRun = false;  ///< an engine may have started it, in this or an earlier attempt
  bool mAnswerBegun = false; ///< the caller has received the answer's header
  int mSent = 0;             ///< number of engines it was sent to
  int mMaxSent = 1;          ///< number of engines it may be sent to
  Duration mLeft{ 0 };       ///< until its deadline
  bool mHasTarget = false;   ///< another engine is available
  bool mHasBudget = false;   ///< the retry budget allows one more retry
  bool mQuarantined = false; ///< quarantined: engines exited while running it, and others may too
  Duration mCallerWait{ 0 }; ///< how long its caller waits for the next part of the answer
};

enum class FailureStep
{
  kSendAgain,
  kWait,   ///< no engine can take it now, but one may before its caller gives up
  kRefuse, ///< it has not run and will not: answer so, with a time to retry after
  kFail,   ///< it may have run: answer that the outcome is unknown
  kCut,    ///< the answer has begun: abort it so that it cannot look complete
};

/// @code
/// if (AfterFailure(progress) == FailureStep::kSendAgain) { ... }
/// @endcode
FailureStep
AfterFailure(const RequestProgress& aProgress);

/// @return why no further attempt is allowed, for the log; empty if one is.
std::string
RetryDenialReason(const RequestProgress& aProgress);

} // namespace pepperbay
