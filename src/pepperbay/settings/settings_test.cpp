#include "pepperbay/settings/settings.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

const char* const kGood = R"(node:
  name: n1
  data_centre: levis
  callers: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  peers: 127.0.0.1:8082
platform:
  log: 127.0.0.2:7000
  hosts: 127.0.0.2:7001
)";

TEST(Settings, ReadsAGoodFile)
{
  const auto report = ParseSettings("n.yaml", std::string(kGood) + "control:\n  lease: 3s\n");
  ASSERT_TRUE(report.mProblems.empty()) << ToString(report.mProblems.front());
  EXPECT_EQ(report.mSettings.mPlace.mName, "n1");
  EXPECT_EQ(report.mSettings.mControl.mLease, std::chrono::seconds(3));
  EXPECT_EQ(report.mSettings.mControl.mHeartbeat, std::chrono::milliseconds(500));
}

struct BadCase
{
  const char* mAdded;
  int mLine;
  const char* mKey;
  const char* mSays;
};

/// Each mistake is named with its line, its key and what is allowed instead.
TEST(Settings, NamesWhatIsWrongAndWhere)
{
  const std::vector<BadCase> cases = {
    { "control:\n  leese: 3s\n", 11, "control.leese", "allowed: " },
    { "control:\n  lease: 3\n", 11, "control.lease", "unit of us, ms, s, min or h" },
    { "control:\n  lease: 3 parsecs\n", 11, "control.lease", "unit" },
    { "control:\n  lease: 1h\n", 11, "control.lease", "must be 100ms to 5min" },
    { "control:\n  lease: 1s\n", 11, "control.lease", "longer than order_timeout" },
    { "control:\n  freshness: 600ms\n", 11, "control.freshness", "longer than probe" },
    { "control:\n  probers_per_host: 0\n", 11, "control.probers_per_host", "must be 1 to 16" },
    { "control: 7\n", 10, "control", "must be a mapping" },
    { "requests:\n  threads: many\n", 11, "requests.threads", "whole number" },
    { "requests:\n  retry_share: 1.5\n", 11, "requests.retry_share", "0 to 1" },
    { "surprise: 1\n", 10, "surprise", "allowed: control, node" },
  };
  for (const auto& it : cases) {
    const auto report = ParseSettings("n.yaml", std::string(kGood) + it.mAdded);
    ASSERT_EQ(report.mProblems.size(), 1U) << it.mAdded;
    const YamlProblem& problem = report.mProblems.front();
    EXPECT_EQ(problem.mFile, "n.yaml");
    EXPECT_EQ(problem.mLine, it.mLine) << it.mAdded;
    EXPECT_EQ(problem.mKey, it.mKey);
    EXPECT_NE(problem.mText.find(it.mSays), std::string::npos) << problem.mText;
  }
}

TEST(Settings, NamesEachMissingKey)
{
  const auto report = ParseSettings("n.yaml", "node:\n  name: n1\n");
  std::string all;
  for (const auto& it : report.mProblems) {
    all += ToString(it) + "\n";
  }
  for (const char* key : { "node.data_centre", "node.callers", "node.peers", "platform" }) {
    EXPECT_NE(all.find(key), std::string::npos) << all;
  }
}

TEST(Settings, RefusesNamesInPlaceOfIpNumbers)
{
  for (const char* bad :
       { "localhost:80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:70000", "1.2.3:80", "" }) {
    EXPECT_FALSE(ParseEndpoint(bad).has_value()) << bad;
  }
  EXPECT_EQ(ParseEndpoint("127.0.0.1:80").value().mPort, 80);
}

RC_GTEST_PROP(Settings, AnyTextGivesProblemsAndNoCrash, (const std::string& aText))
{
  const auto report = ParseSettings("n.yaml", aText);
  RC_ASSERT(!report.mProblems.empty());
}

RC_GTEST_PROP(Settings, DurationsSurviveFormatting, ())
{
  const auto us = *rc::gen::inRange<std::int64_t>(1, 10'000'000'000);
  const Duration duration = std::chrono::microseconds(us);
  RC_ASSERT(ParseDuration(FormatDuration(duration)).value() == duration);
}

} // namespace
} // namespace pepperbay
