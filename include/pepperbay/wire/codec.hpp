/// @file
/// @brief Bytes between nodes to messages, with every reason to drop one counted.
#pragma once

#include "pepperbay/base/error.hpp"

#include <pepperbay.pb.h>
#include <string>
#include <string_view>

namespace pepperbay {

/// The layout of messages this version writes and the newest it reads.
constexpr std::uint32_t kWireFormat = 1;
/// Larger messages are dropped unread; a snapshot of the target size is about 2 MB.
constexpr std::size_t kMaxMessageBytes = 16U << 20U;

/// @return the message, or kInvalid with what is wrong: size, bytes, format, sender or body.
Result<proto::Envelope>
DecodeEnvelope(std::string_view aBytes);

std::string
EncodeEnvelope(const proto::Envelope& aEnvelope);

} // namespace pepperbay
