/// @file
/// @brief Decides what follows a failed attempt (retry, resume or answer) and whether the request
/// ran.
///
/// Pure rules without sockets, so that tests can apply every sequence of failures.
#pragma once

#include "pepperbay/admission/retry_budget.hpp"
#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>

namespace pepperbay {

/// Whether a request has had an effect at a back end.
enum class Ran
{
  kNo,      ///< proven: refused before dispatch, no byte sent, or the back end said so
  kUnknown, ///< it may have run
  kYes,     ///< a complete answer was received
};

const char*
ToString(Ran aRan);

/// Properties of the request that decide retries.
struct DeliveryRequest
{
  bool mUnrepeatable = false;
  bool mStreams = false; ///< tokens are passed to the caller as they arrive
  TimePoint mDeadline{};
  int mMaxAttempts = 4;
};

/// How one attempt failed.
struct AttemptFailure
{
  bool mByteLeft = true; ///< false only with proof that no byte of the request was sent
  bool mBackEndSaysNotRun = false;
  bool mRefused = false;   ///< the back end answered that it does not accept this request
  bool mCanResume = false; ///< the engine can resume from a given token
  std::string mDetail;
};

enum class NextStep
{
  kRetry,  ///< from the start, on another replica
  kResume, ///< on another replica, from the first token that the caller does not have
  kAnswer, ///< no more attempts: send the final answer
};

struct NextDecision
{
  NextStep mStep = NextStep::kAnswer;
  Ran mRan = Ran::kUnknown; ///< for the answer
  std::string mReason;
};

/// The attempts of one accepted request.
///
/// There is exactly one final answer: `OnFailure()` returns kAnswer or `OnComplete()` is called,
/// and after either `Finished()` is true and nothing more may be sent.
class Delivery
{
public:
  explicit Delivery(DeliveryRequest aRequest);

  /// Registers an attempt about to be sent. @return its number from 1; 0: no attempt may be made.
  int BeginAttempt();

  /// A token has been passed on to the caller, or buffered when the answer is not streamed.
  void OnToken() { ++mTokens; }

  /// The attempt has failed.
  NextDecision OnFailure(const AttemptFailure& aFailure, TimePoint aNow, RetryBudget* aBudget);

  /// The attempt returned the complete answer.
  void OnComplete() { mFinished = true; }

  std::uint64_t Tokens() const { return mTokens; }
  bool Finished() const { return mFinished; }
  int Attempts() const { return mAttempts; }

private:
  NextDecision Finish(const std::string& aReason);

  DeliveryRequest mRequest;
  int mAttempts = 0;
  std::uint64_t mTokens = 0;
  bool mMayHaveRun = false;
  bool mFinished = false;
};

} // namespace pepperbay
