#include "pepperbay/quarantine/request_key.hpp"

#include "pepperbay/base/hash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace pepperbay {

RequestKey
KeyOfRequest(std::string_view aCustomer,
             std::string_view aHost,
             std::string_view aTarget,
             std::string_view aBody)
{
  // Each part seeds the next, so that bytes cannot move from one part to another unnoticed.
  return { Hash64(aCustomer), Hash64(aBody, Hash64(aTarget, Hash64(aHost))) };
}

std::string
ToString(const RequestKey& aKey)
{
  constexpr std::size_t kDigits = 33; // two halves and the end of the text
  std::array<char, kDigits> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, aKey.mCaller, aKey.mContent);
  return text.data();
}

} // namespace pepperbay
