/// @file
/// @brief Typed values of the platform's request and response headers. The relay uses only these
/// and does not depend on the header names.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

using HeaderFields = boost::beast::http::fields;

/// Metadata that a caller's headers give about its request.
struct RequestMetadata
{
  std::string mId;                         ///< request ID; identifies one attempt of the caller
  std::optional<Duration> mDeadline;       ///< how long the caller waits
  std::string mKey;                        ///< API key of the customer; empty: none
  std::string mModel;                      ///< requested model; empty: none
  double mPromptTokens = 0;                ///< to be processed before the first event; 0: unknown
  std::optional<std::uint64_t> mLastEvent; ///< ID of the last event that the caller received
  /// IDs of the prompt parts that other requests may share, in order. The last part belongs to this
  /// request only and is left out. At most kMaxPromptParts.
  std::vector<std::string> mPromptParts;
};

/// Limit on the prompt parts of a request; further parts are ignored.
inline constexpr std::size_t kMaxPromptParts = 64;

/// Metadata that the relay adds to the caller's headers when it sends a request to an engine.
struct RequestStamp
{
  Duration mDeadline{ 0 };     ///< time left until the caller's deadline
  std::string mEngine;         ///< ID of the intended engine; any other engine refuses the request
  std::string mCustomer;       ///< owner of the caller's API key; empty: none
  std::optional<int> mUrgency; ///< 0 is the most urgent; engines run urgent requests first
  std::optional<std::uint64_t> mLastEvent; ///< resume the stream after this event
};

/// Metadata that an engine's headers give about its answer.
struct AnswerMetadata
{
  bool mSealed = false; ///< the answer carries the engine's seal: the engine itself produced it
  bool mNotRun = false; ///< the engine states that it did not start the request
  bool mOtherEngine = false; ///< the address now belongs to another engine than the intended one
  std::string mRequestId;    ///< ID of the answered request; empty: not given
  /// How long the engine keeps an idle connection open; none: not given.
  std::optional<Duration> mKeepAlive;
  /// The engine's rate limit over all nodes, in requests per second; none: no limit given.
  std::optional<double> mLimit;
  /// The rate limit could not be parsed. The engine may still have one.
  bool mBadLimit = false;
};

/// Translates between the platform's headers and the relay's types.
struct Dialect
{
  std::function<Result<RequestMetadata>(const HeaderFields&)> mReadRequest;
  /// Overwrites the caller's headers with the stamp and removes those that engines must not see.
  std::function<void(const RequestStamp&, HeaderFields* aFields)> mStampRequest;
  std::function<AnswerMetadata(int aStatus, const HeaderFields&)> mReadAnswer;
};

} // namespace pepperbay
