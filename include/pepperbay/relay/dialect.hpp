/// @file
/// @brief What a platform's headers say, as typed values; the relay knows none of their names.
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

/// What a caller says of its request.
struct RequestFacts
{
  std::string mId;                         ///< of one attempt of the caller
  std::optional<Duration> mDeadline;       ///< how long the caller waits
  std::string mKey;                        ///< of its customer; empty: none
  std::string mModel;                      ///< empty: the request asks for no model
  double mPromptTokens = 0;                ///< to be read before the first event; 0: not said
  std::optional<std::uint64_t> mLastEvent; ///< the caller has the events up to this one
  /// Ids of the parts of its prompt that other requests may have as well, in order. The last part,
  /// which is the request's own, is left out; at most kMostPromptParts.
  std::vector<std::string> mPromptParts;
};

/// Further parts of a prompt are not told apart.
inline constexpr std::size_t kMostPromptParts = 64;

/// What the relay says to an engine beside the caller's own headers.
struct RequestStamp
{
  Duration mDeadline{ 0 };                 ///< what is left of the caller's
  std::string mEngine;                     ///< the one meant; any other refuses the request
  std::string mCustomer;                   ///< whom the caller's key belongs to; empty: none
  std::optional<int> mUrgency;             ///< 0 is first; engines take the more urgent first
  std::optional<std::uint64_t> mLastEvent; ///< go on after this event
};

/// What an engine says of its answer.
struct AnswerFacts
{
  bool mSealed = false;      ///< the engine made this answer itself and vouches for it
  bool mNotRun = false;      ///< the engine states that it did not begin the request
  bool mOtherEngine = false; ///< the address belongs to another engine than the one meant
  std::string mRequestId;    ///< of the request that it answers; empty: not said
  /// How long the engine keeps the connection open unused; none: not said.
  std::optional<Duration> mKeepAlive;
  /// Requests a second that the engine takes from all nodes together; none: it names no limit.
  std::optional<double> mLimit;
  /// It names a limit that cannot be read, which does not say that there is none.
  bool mBadLimit = false;
};

struct Dialect
{
  std::function<Result<RequestFacts>(const HeaderFields&)> mReadRequest;
  /// Write the stamp over whatever the caller sent and take out what engines may not see.
  std::function<void(const RequestStamp&, HeaderFields* aFields)> mStampRequest;
  std::function<AnswerFacts(int aStatus, const HeaderFields&)> mReadAnswer;
};

} // namespace pepperbay
