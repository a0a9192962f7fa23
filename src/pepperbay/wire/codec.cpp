#include "pepperbay/wire/codec.hpp"

namespace pepperbay {
namespace {

Error
Bad(const std::string& aDetail)
{
  return Error{ Errc::kInvalid, "wire.decode", "", aDetail };
}

} // namespace

Result<proto::Envelope>
DecodeEnvelope(std::string_view aBytes)
{
  if (aBytes.size() > kMaxMessageBytes) {
    return Bad("oversized");
  }
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Bad("malformed");
  }
  if (envelope.format() != kWireFormat) {
    return Bad("unknown_format");
  }
  const bool named = !envelope.from().empty() && envelope.incarnation() != 0;
  if (!named && envelope.sender_join() == 0) {
    return Bad("no_sender");
  }
  if (envelope.body_case() == proto::Envelope::BODY_NOT_SET) {
    return Bad("unknown_body");
  }
  return envelope;
}

std::string
EncodeEnvelope(const proto::Envelope& aEnvelope)
{
  return aEnvelope.SerializeAsString();
}

} // namespace pepperbay
