#include "pepperbay/reach/tunnel_wire.hpp"

#include <gtest/gtest.h>
#include <map>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

std::map<std::string, std::string>
Headers()
{
  std::map<std::string, std::string> headers;
  for (const auto& it : HeadersOf({ "i-1", "node-a", "k1", milliseconds(70) })) {
    headers[it.mName] = it.mValue;
  }
  return headers;
}

Result<TunnelRequest>
Read(const std::map<std::string, std::string>& aHeaders)
{
  return ReadTunnelRequest([&](const char* aName) {
    const auto it = aHeaders.find(aName);
    return it == aHeaders.end() ? std::string() : it->second;
  });
}

TEST(TunnelWire, WhatIsAskedIsRead)
{
  const auto request = Read(Headers());
  ASSERT_TRUE(request.has_value());
  EXPECT_EQ(request.value().mEngine, "i-1");
  EXPECT_EQ(request.value().mFrom, "node-a");
  EXPECT_EQ(request.value().mKey, "k1");
  EXPECT_EQ(request.value().mWithin, milliseconds(70));
}

TEST(TunnelWire, WhatIsMissingOrOddIsRefusedWithAReason)
{
  const std::map<std::string, std::vector<std::string>> odd = {
    { kTunnelKey, { "", "k1", "Basic k1", "Pepperbay ", "Pepperbay " + std::string(300, 'k') } },
    { kTunnelEngine, { "", std::string(300, 'e') } },
    { kTunnelFrom, { "" } },
    { kTunnelWithin, { "", "0", "-1", "x", "70ms", "99999", "99999999999999999999" } },
  };
  for (const auto& [name, values] : odd) {
    for (const auto& it : values) {
      auto headers = Headers();
      headers[name] = it;
      const auto request = Read(headers);
      ASSERT_FALSE(request.has_value()) << name << ": " << it;
      EXPECT_FALSE(request.error().mDetail.empty());
    }
  }
}

TEST(TunnelWire, EachAnswerHasAStatusOfItsOwn)
{
  for (const auto it : { TunnelAnswer::kOpen,
                         TunnelAnswer::kRefused,
                         TunnelAnswer::kSilent,
                         TunnelAnswer::kNotNow,
                         TunnelAnswer::kUnknown,
                         TunnelAnswer::kNone }) {
    EXPECT_EQ(TunnelAnswerOf(StatusOf(it)), it) << ToString(it);
  }
  EXPECT_EQ(TunnelAnswerOf(403), TunnelAnswer::kNone);
}

} // namespace
} // namespace pepperbay
