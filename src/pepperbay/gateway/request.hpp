/// @file
/// @brief Callers' requests and engines' answers as they stand on the wire: checks, events, errors.
#pragma once

#include "pepperbay/dispatch/attempt.hpp"
#include "pepperbay/http/message.hpp"

#include <functional>
#include <optional>
#include <string>

namespace pepperbay {

/// What is wrong with a caller's request: which field, and what is allowed.
struct BadField
{
  int mStatus = 400;
  std::string mField;
  std::string mMessage;
};

/// A caller's request after its checks.
struct CallerRequest
{
  std::string mTarget; ///< profile or service
  bool mService = false;
  std::string mServicePath; ///< what follows the service's name
  std::string mMethod;
  std::string mCustomer;
  std::uint32_t mPriority = 5;
  Duration mTimeLeft{ 0 };
  bool mUnrepeatable = false;
  bool mStream = false;
  bool mForwarded = false; ///< came from a node of another data centre
  std::string mKey;        ///< idempotency key; empty when there is none
  std::string mContentType;
  std::string mBody;
  std::string mPrompt; ///< for prefix routing
};

/// Limits that the checks apply.
struct RequestLimits
{
  Duration mDefaultDeadline{ 0 };
  Duration mLongestDeadline{ 0 };
};

/// Check a request to `/v1/chat/completions` or `/services/NAME/...`.
/// @return the request, or the field that is wrong
struct ParsedRequest
{
  CallerRequest mRequest;
  std::optional<BadField> mBad;
};

ParsedRequest
ParseModelRequest(HttpRequest aRequest, const RequestLimits& aLimits);

ParsedRequest
ParseServiceRequest(HttpRequest aRequest, const RequestLimits& aLimits);

/// The body of every answer that is not a success.
HttpResponse
ErrorResponse(int aStatus, const std::string& aMessage, Ran aRan, Duration aRetryAfter);

HttpResponse
BadFieldResponse(const BadField& aBad);

/// One token of a streamed answer, as clients of chat APIs know it.
std::string
ChunkEvent(const std::string& aId, const std::string& aText);

/// The end of a streamed answer that is whole.
std::string
LastEvents(const std::string& aId);

/// The end of one that is not.
std::string
ErrorEvent(const std::string& aMessage, Ran aRan);

/// One event of an engine's answer stream.
struct EnginePart
{
  enum class Kind
  {
    kToken,
    kFinish, ///< the engine says how many tokens there were
    kError,
    kForeign, ///< of another attempt, or not understood
  };
  Kind mKind = Kind::kForeign;
  std::uint64_t mIndex = 0; ///< of the token; for kFinish the number of tokens
  std::string mText;
};

/// Understand one `data:` line of an engine's stream.
EnginePart
ParseEnginePart(const std::string& aData, const std::string& aAttemptId);

/// Takes the `data:` lines out of a stream of server-sent events that comes in any pieces.
class EventLines
{
public:
  /// @return false when a line is longer than any event may be.
  bool Feed(std::string_view aBytes, const std::function<void(const std::string& aData)>& aOnData);

private:
  std::string mPartial;
};

} // namespace pepperbay
