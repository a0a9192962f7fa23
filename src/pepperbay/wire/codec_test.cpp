#include "pepperbay/wire/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

proto::Envelope
Good()
{
  proto::Envelope envelope;
  envelope.set_format(kWireFormat);
  envelope.set_from("n1");
  envelope.set_incarnation(1);
  envelope.mutable_heartbeat()->set_applied(4);
  return envelope;
}

struct BadEnvelope
{
  const char* mReason;
  std::function<void(proto::Envelope&)> mChange;
};

TEST(Codec, NamesEachReasonToDrop)
{
  EXPECT_TRUE(DecodeEnvelope(EncodeEnvelope(Good())).has_value());
  const std::vector<BadEnvelope> cases = {
    { "unknown_format", [](auto& aIt) { aIt.set_format(kWireFormat + 1); } },
    { "no_sender", [](auto& aIt) { aIt.clear_from(); } },
    { "no_sender", [](auto& aIt) { aIt.clear_incarnation(); } },
    { "unknown_body", [](auto& aIt) { aIt.clear_heartbeat(); } },
  };
  for (const auto& it : cases) {
    proto::Envelope envelope = Good();
    it.mChange(envelope);
    const auto decoded = DecodeEnvelope(EncodeEnvelope(envelope));
    ASSERT_FALSE(decoded.has_value());
    EXPECT_EQ(decoded.error().mDetail, it.mReason);
  }
  EXPECT_EQ(DecodeEnvelope("\x07garbage").error().mDetail, "malformed");
  EXPECT_EQ(DecodeEnvelope(std::string(kMaxMessageBytes + 1, 'x')).error().mDetail, "oversized");
}

/// A message cut or changed at any byte is dropped or understood; it never harms.
RC_GTEST_PROP(Codec, DamagedMessagesDoNoHarm, ())
{
  std::string bytes = EncodeEnvelope(Good());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  const auto decoded = DecodeEnvelope(bytes);
  RC_ASSERT(decoded.has_value() || decoded.error().mCode == Errc::kInvalid);
}

RC_GTEST_PROP(Codec, AnyBytesAreDroppedWithAReason, (const std::string& aBytes))
{
  const auto decoded = DecodeEnvelope(aBytes);
  RC_ASSERT(decoded.has_value() || !decoded.error().mDetail.empty());
}

} // namespace
} // namespace pepperbay
