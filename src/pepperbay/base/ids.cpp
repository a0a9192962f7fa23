#include "pepperbay/base/ids.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <sys/random.h>

namespace pepperbay {

std::uint64_t
NewIncarnation()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::string
NewAttemptId()
{
  std::array<std::uint64_t, 2> words{};
  if (getrandom(words.data(), sizeof words, 0) != static_cast<ssize_t>(sizeof words)) {
    words = { NewIncarnation(), NewIncarnation() };
  }
  std::array<char, 33> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(words[0]),
                static_cast<unsigned long long>(words[1]));
  return buf.data();
}

} // namespace pepperbay
