#include "pepperbay/routing/route_table.hpp"

#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

Route
RouteTo(const std::string& aHost, const std::string& aPrefix, const std::string& aService)
{
  Route route;
  route.mName = aHost + aPrefix;
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mSplit = { { aService, 1.0 } };
  return route;
}

Configuration
Shops()
{
  Configuration configuration;
  configuration.mVersion = 3;
  configuration.mRoutes = { RouteTo("shop.example", "/", "front"),
                            RouteTo("shop.example", "/lots/", "lots"),
                            RouteTo("shop.example", "/lots/old/", "archive"),
                            RouteTo("other.example", "/lots/", "other") };
  for (const char* it : { "front", "lots", "archive", "other" }) {
    ServiceSpec service;
    service.mName = it;
    configuration.mServices.push_back(service);
  }
  configuration.mCustomers = { { "school", { "k1", "k2" }, 1 }, { "kitchen", { "k3" }, {} } };
  return configuration;
}

struct RouteCase
{
  const char* mHost;
  const char* mPath;
  const char* mRoute; ///< null: none
};

TEST(RouteTable, TakesTheLongestPrefixOfTheHost)
{
  const RouteTable table(Shops());
  const std::vector<RouteCase> cases = {
    { "shop.example", "/", "shop.example/" },
    { "shop.example", "/lots/7", "shop.example/lots/" },
    { "shop.example", "/lots/old/7?x=/y", "shop.example/lots/old/" },
    { "shop.example", "/lots", "shop.example/" },
    { "SHOP.example:8080", "/lots/7", "shop.example/lots/" },
    { "other.example", "/lots/7", "other.example/lots/" },
    { "other.example", "/x", nullptr },
    { "other.example", "/x?q=/lots/", nullptr },
    { "nobody.example", "/lots/7", nullptr },
    { "", "/lots/7", nullptr },
  };
  for (const auto& it : cases) {
    const Route* route = table.Find(it.mHost, it.mPath);
    ASSERT_EQ(route != nullptr, it.mRoute != nullptr) << it.mHost << it.mPath;
    if (route != nullptr) {
      EXPECT_EQ(route->mName, it.mRoute) << it.mHost << it.mPath;
    }
  }
}

TEST(RouteTable, FindsCustomersByTheirKeys)
{
  const RouteTable table(Shops());
  ASSERT_NE(table.CustomerOf("k2"), nullptr);
  EXPECT_EQ(table.CustomerOf("k2")->mName, "school");
  EXPECT_EQ(table.CustomerOf("k9"), nullptr);
  EXPECT_EQ(table.CustomerOf(""), nullptr);
}

RC_GTEST_PROP(RouteTable, TheRouteHasTheLongestMatchingPrefix, ())
{
  const auto segments =
    *rc::gen::container<std::vector<std::string>>(4, rc::gen::element<std::string>("a", "b", "c"));
  Configuration configuration;
  const auto count = *rc::gen::inRange(0, 8);
  for (int i = 0; i < count; ++i) {
    std::string prefix = "/";
    const auto depth = *rc::gen::inRange(0, 4);
    for (int k = 0; k < depth; ++k) {
      prefix += *rc::gen::element<std::string>("a", "b", "c") + "/";
    }
    configuration.mRoutes.push_back(RouteTo("h", prefix, "s"));
  }
  std::string path;
  for (const auto& it : segments) {
    path += "/" + it;
  }
  std::size_t longest = 0;
  for (const auto& it : configuration.mRoutes) {
    if (path.compare(0, it.mPathPrefix.size(), it.mPathPrefix) == 0) {
      longest = std::max(longest, it.mPathPrefix.size());
    }
  }
  const RouteTable table(std::move(configuration));
  const Route* route = table.Find("h", path);
  RC_ASSERT((route == nullptr ? 0 : route->mPathPrefix.size()) == longest);
}

TEST(RouteTable, SplitsTrafficByWeightAndEachRequestConsistently)
{
  Configuration configuration = Shops();
  configuration.mRoutes[0].mSplit = { { "lots", 90 }, { "archive", 10 } };
  const RouteTable table(std::move(configuration));
  const Route& route = *table.Find("shop.example", "/");
  int archive = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    const auto hash = Hash64("request-" + std::to_string(i));
    archive += table.PickService(route, hash)->mName == "archive" ? 1 : 0;
    EXPECT_EQ(table.PickService(route, hash), table.PickService(route, hash));
  }
  constexpr double kShare = 0.1;
  constexpr double kSpread = 0.02;
  EXPECT_NEAR(archive, kRequests * kShare, kRequests * kSpread);
}

} // namespace
} // namespace pepperbay
