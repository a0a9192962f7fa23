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

/// Stands for a request in all its repeats, or for all requests with one part of a prompt,
/// whichever node they reach.
///
/// The caller has a half of its own, so that no caller can find a body, or name a part, for which
/// the requests of another one are held back.
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

/// @param aCustomer whom the request's key belongs to; empty where none is asked for
/// @param aTarget path and query, as the caller sent them
/// @param aBody whole, without any transfer encoding
RequestKey
KeyOfRequest(std::string_view aCustomer,
             std::string_view aHost,
             std::string_view aTarget,
             std::string_view aBody);

/// @param aService the engines that read the part; an id may mean another part elsewhere
/// @param aPart its id, in the one form that equal ids have
RequestKey
KeyOfPromptPart(std::string_view aCustomer, std::string_view aService, std::string_view aPart);

/// A part of a prompt that a request shares with others.
struct PromptPart
{
  std::string mId; ///< as the platform names it
  RequestKey mKey;
};

/// @return the ids, separated by commas, as lines name them.
std::string
ToString(const std::vector<PromptPart>& aParts);

/// @return both halves in hexadecimal, as lines and dumps name a request.
std::string
ToString(const RequestKey& aKey);

/// Read what ToString() wrote.
Result<RequestKey>
ParseRequestKey(std::string_view aText);

} // namespace pepperbay
