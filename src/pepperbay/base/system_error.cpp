#include "pepperbay/base/system_error.hpp"

#include <algorithm>
#include <array>
#include <cerrno>

namespace pepperbay {

bool
IsShortage(int aError)
{
  constexpr std::array<int, 5> kShortages{ EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL };
  return std::find(kShortages.begin(), kShortages.end(), aError) != kShortages.end();
}

} // namespace pepperbay
