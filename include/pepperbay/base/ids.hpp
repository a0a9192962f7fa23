/// @file
/// @brief Identities: incarnations of processes and ids of attempts.
#pragma once

#include <cstdint>
#include <string>

namespace pepperbay {

/// A number for this start of this process.
///
/// Later starts on the same machine give larger numbers (wall clock in microseconds), so that a
/// message of an older start can be told from one of a newer. A wall clock that was set back gives
/// a smaller number; peers then ignore the new start until their membership of the old one lapses.
std::uint64_t
NewIncarnation();

/// @return 128 random bits in hexadecimal; unguessable and unique.
std::string
NewAttemptId();

} // namespace pepperbay
