#include "pepperbay/quarantine/request_key.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

TEST(RequestKey, IsTheSameForRepeatsAndNoOthers)
{
  const RequestKey key = KeyOfRequest("school", "h", "/chat/1?a=2", "body");
  EXPECT_EQ(key, KeyOfRequest("school", "h", "/chat/1?a=2", "body"));
  EXPECT_NE(key, KeyOfRequest("kitchen", "h", "/chat/1?a=2", "body"));
  EXPECT_NE(key, KeyOfRequest("school", "g", "/chat/1?a=2", "body"));
  EXPECT_NE(key, KeyOfRequest("school", "h", "/chat/1?a=3", "body"));
  EXPECT_NE(key, KeyOfRequest("school", "h", "/chat/1?a=2", "Body"));
  EXPECT_NE(KeyOfRequest("", "h", "/chat/1", "2"), KeyOfRequest("", "h", "/chat/12", ""));
}

/// Otherwise a customer could choose a body with the same hash as a request of another customer and
/// get that request quarantined.
TEST(RequestKey, KeepsCallersApartWhateverTheySend)
{
  EXPECT_EQ(KeyOfRequest("school", "h", "/", "x").mContent,
            KeyOfRequest("kitchen", "h", "/", "x").mContent);
  EXPECT_NE(KeyOfRequest("school", "h", "/", "x").mCaller,
            KeyOfRequest("kitchen", "h", "/", "x").mCaller);
}

/// A part named by one customer, or at one service, must not quarantine requests of other customers
/// or services.
TEST(RequestKey, APartIsOfOneCustomerAndOneService)
{
  const RequestKey key = KeyOfPromptPart("school", "pool", "5c");
  EXPECT_EQ(key, KeyOfPromptPart("school", "pool", "5c"));
  EXPECT_NE(key, KeyOfPromptPart("kitchen", "pool", "5c"));
  EXPECT_NE(key, KeyOfPromptPart("school", "other", "5c"));
  EXPECT_NE(key, KeyOfPromptPart("school", "pool", "5d"));
  EXPECT_NE(key, KeyOfRequest("school", "pool", "5c", ""));
}

TEST(RequestKey, IsWrittenWithBothHalves)
{
  EXPECT_EQ(ToString(RequestKey{ 1, 0xabc }), "00000000000000010000000000000abc");
}

TEST(RequestKey, IsReadAsItWasWrittenAndNothingElseIs)
{
  const RequestKey key{ 0xfd84a32e0b12def6, 0x0f0c80dec7d47d36 };
  const auto read = ParseRequestKey(ToString(key));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value(), key);
  for (const char* it :
       { "", "0", "0000000000000001000000000000abc", "g0000000000000010000000000000abc" }) {
    const auto bad = ParseRequestKey(it);
    ASSERT_FALSE(bad.has_value()) << it;
    EXPECT_NE(ToString(bad.error()).find("32 digits"), std::string::npos);
  }
}

} // namespace
} // namespace pepperbay
