#include "pepperbay/quarantine/request_key.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace pepperbay {
namespace {

constexpr std::size_t kHalfDigits = 16;

std::uint64_t
ReadHalf(std::string_view aDigits)
{
  constexpr int kHexadecimal = 16;
  std::uint64_t value = 0;
  std::from_chars(aDigits.data(), aDigits.data() + aDigits.size(), value, kHexadecimal);
  return value;
}

} // namespace

RequestKey
KeyOfRequest(std::string_view aCustomer,
             std::string_view aHost,
             std::string_view aTarget,
             std::string_view aBody)
{
  // Each field seeds the hash of the next, so that moving bytes from one field to another changes
  // the key.
  return { Hash64(aCustomer), Hash64(aBody, Hash64(aTarget, Hash64(aHost))) };
}

RequestKey
KeyOfPromptPart(std::string_view aCustomer, std::string_view aService, std::string_view aPart)
{
  // The seed keeps keys of parts distinct from keys of requests.
  constexpr std::uint64_t kPartSeed = 0x70617274;
  return { Hash64(aCustomer), Hash64(aPart, Hash64(aService, kPartSeed)) };
}

std::string
ToString(const std::vector<PromptPart>& aParts)
{
  std::string ids;
  for (const auto& it : aParts) {
    ids += (ids.empty() ? "" : ",") + it.mId;
  }
  return ids;
}

std::string
ToString(const RequestKey& aKey)
{
  std::array<char, 2 * kHalfDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, aKey.mCaller, aKey.mContent);
  return text.data();
}

Result<RequestKey>
ParseRequestKey(std::string_view aText)
{
  const bool digits = std::all_of(aText.begin(), aText.end(), [](char aIt) {
    return (aIt >= '0' && aIt <= '9') || (aIt >= 'a' && aIt <= 'f');
  });
  if (!digits || aText.size() != 2 * kHalfDigits) {
    return Error{ Errc::kInvalid,
                  "request_key.read",
                  "",
                  "'" + std::string(aText) + "' is no request's key; allowed: 32 digits 0-9a-f" };
  }
  return RequestKey{ ReadHalf(aText.substr(0, kHalfDigits)), ReadHalf(aText.substr(kHalfDigits)) };
}

} // namespace pepperbay
