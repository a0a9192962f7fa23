/// @file
/// @brief Which requests are repeats of one another, or share a part of their prompts. Pure.
#pragma once

#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pepperbay {

/// Identifies a request with all its repeats, or all requests that contain one part of a prompt,
/// the same on every node.
///
/// The customer is a separate half of the key, so that no customer can craft a body, or name a
/// part, that gets the requests of another customer quarantined.
struct RequestKey
{
  std::uint64_t mCaller = 0;  ///< hash of the customer
  std::uint64_t mContent = 0; ///< hash of host, path with query, and body; or of service and part

  bool operator==(const RequestKey& aOther) const
  {
    return mCaller == aOther.mCaller && mContent == aOther.mContent;
  }
  bool operator!=(const RequestKey& aOther) const { return !(*this == aOther); }
  bool operator<(const RequestKey& aOther) const
  {
    return std::tie(mCaller, mContent) < std::tie(aOther.mCaller, aOther.mContent);
  }
};

/// For hashed containers.
struct RequestKeyHash
{
  std::size_t operator()(const RequestKey& aKey) const { return aKey.mCaller ^ aKey.mContent; }
};

/// @param aCustomer owner of the API key of the request; empty where no key is required
/// @param aTarget path and query, as the caller sent them
/// @param aBody the complete body, with transfer encoding removed
RequestKey
KeyOfRequest(std::string_view aCustomer,
             std::string_view aHost,
             std::string_view aTarget,
             std::string_view aBody);

/// @param aService service whose engines read the part; the same id may mean another part at
/// another service
/// @param aPart id of the part in its canonical form
RequestKey
KeyOfPromptPart(std::string_view aCustomer, std::string_view aService, std::string_view aPart);

/// A part of a prompt that a request shares with others.
struct PromptPart
{
  std::string mId; ///< id given by the platform
  RequestKey mKey;
};

/// @return the ids separated by commas, as in log lines.
std::string
ToString(const std::vector<PromptPart>& aParts);

/// @return both halves as 32 hexadecimal digits, as in log lines and state dumps.
std::string
ToString(const RequestKey& aKey);

/// Parse the output of ToString(). Fails with Errc::kInvalid on any other text.
Result<RequestKey>
ParseRequestKey(std::string_view aText);

} // namespace pepperbay
