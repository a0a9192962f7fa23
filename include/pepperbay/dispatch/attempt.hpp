/// @file
/// @brief What follows when an attempt fails: try again, resume, or answer; and whether it ran.
///
/// Pure rules, kept apart from sockets so that every sequence of failures can be tried on them.
#pragma once

#include "pepperbay/admission/retry_budget.hpp"
#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>

namespace pepperbay {

/// Whether a request has had an effect at a back end.
enum class Ran
{
  kNo,      ///< proved: refused before dispatch, no byte left, or the back end said so
  kUnknown, ///< it may have
  kYes,     ///< a complete answer came
};

const char*
ToString(Ran aRan);

/// What the caller asked for, as far as it decides retries.
struct DeliveryRequest
{
  bool mUnrepeatable = false;
  bool mStreams = false; ///< tokens go to the caller as they come
  TimePoint mDeadline{};
  int mMostAttempts = 4;
};

/// How one attempt failed.
struct AttemptFailure
{
  bool mByteLeft = true; ///< false only with proof that no byte of the request was sent
  bool mBackEndSaysNotRun = false;
  bool mRefused = false;   ///< the back end answered that it will not take this request
  bool mCanResume = false; ///< the engine can go on from a token
  std::string mDetail;
};

enum class NextStep
{
  kRetry,  ///< from the start, on another replica
  kResume, ///< on another replica, from the first token that the caller does not have
  kAnswer, ///< no more attempts: tell the caller
};

struct NextDecision
{
  NextStep mStep = NextStep::kAnswer;
  Ran mRan = Ran::kUnknown; ///< for the answer
  std::string mReason;
};

/// The attempts of one accepted request.
///
/// Exactly one final answer comes of it: `OnFailure()` returns kAnswer or `OnComplete()` is called,
/// and after either `Finished()` is true and nothing more may be sent.
class Delivery
{
public:
  explicit Delivery(DeliveryRequest aRequest);

  /// An attempt is about to be sent. @return its number from 1; 0 when none may be made.
  int BeginAttempt();

  /// A token has been passed on to the caller, or kept for it when the answer is not streamed.
  void OnToken() { ++mTokens; }

  /// The attempt has failed.
  NextDecision OnFailure(const AttemptFailure& aFailure, TimePoint aNow, RetryBudget* aBudget);

  /// The attempt brought the whole answer.
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
