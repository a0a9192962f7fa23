#include "pepperbay/settings/edge_settings.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

const char* const kGood = R"(name: n1
data_centre: levis
callers: 127.0.0.1:8080
admin: 127.0.0.1:8081
ready_path: /ready
peers: 127.0.0.1:8082
store: 127.0.0.1:8083
)";

TEST(EdgeSettings, ReadsAGoodFile)
{
  const auto report = ParseEdgeSettings(
    "e.yaml", std::string(kGood) + "revoke_within: 5000ms\nretry_slack: 134\nleave_within: 4s\n");
  ASSERT_TRUE(report.mProblems.empty()) << ToString(report.mProblems.front());
  EXPECT_EQ(report.mSettings.mStore, "127.0.0.1:8083");
  EXPECT_EQ(report.mSettings.mRevokeWithin, std::chrono::seconds(5));
  EXPECT_EQ(report.mSettings.mLeaveWithin, std::chrono::seconds(4));
  EXPECT_EQ(report.mSettings.mConfigureWithin, std::chrono::seconds(2));
  EXPECT_EQ(report.mSettings.mRetrySlack, 134);
}

/// Symptom: no node of a deployment starts; each ends with "must be a whole number".
/// Sequence: the platform states its limits as it computes them: a share of another deployment's, a
/// bound of a day, none at all.
/// Cause: only the whole and middling numbers seen so far were taken.
TEST(EdgeSettings, TakesEveryLimitThatHasAMeaning)
{
  const std::vector<const char*> cases = {
    "retry_slack: 35.21052631578947\n",
    "retry_slack: 0\n",
    "retry_slack: 4.0e+6\n",
    "retry_share: 1.5\n",
    "retry_share: 0\n",
    "memory_mb: 160.5\n",
    "memory_mb: 3000000\n",
    "cpu_cores: 0.12\n",
    "cpu_cores: 4096\n",
    "configure_within: 4000ms\n",
    "configure_within: 0.5s\n",
    "leave_within: 86400s\n",
    "revoke_within: 86400s\n",
    "revoke_within: 2.5s\n",
    "revoke_within: 1250.5ms\n",
    "stop_within: 0.5s\n",
    "stop_within: 3600s\n",
  };
  for (const char* it : cases) {
    const auto report = ParseEdgeSettings("e.yaml", std::string(kGood) + it);
    EXPECT_TRUE(report.mProblems.empty()) << it << ToString(report.mProblems.front());
  }
  const auto report = ParseEdgeSettings("e.yaml", std::string(kGood) + cases[0]);
  EXPECT_DOUBLE_EQ(report.mSettings.mRetrySlack, 35.21052631578947);
}

struct BadLine
{
  const char* mAdded;
  const char* mKey;
  const char* mSays;
};

TEST(EdgeSettings, NamesWhatIsWrongAndWhere)
{
  const std::vector<BadLine> cases = {
    { "colour: red\n", "colour", "allowed: " },
    { "revoke_within: 5\n", "revoke_within", "unit" },
    { "revoke_within: 1ms\n", "revoke_within", "1s to 24h" },
    { "stop_within: 1ms\n", "stop_within", "100ms to 24h" },
    { "retry_share: -1\n", "retry_share", "0 to 100" },
    { "retry_slack: -1\n", "retry_slack", "0 to " },
    { "retry_slack: some\n", "retry_slack", "number" },
    { "memory_mb: -1\n", "memory_mb", "0 to " },
    { "metrics: here\n", "metrics", "IP:port" },
  };
  for (const auto& it : cases) {
    const auto report = ParseEdgeSettings("e.yaml", std::string(kGood) + it.mAdded);
    ASSERT_EQ(report.mProblems.size(), 1U) << it.mAdded;
    EXPECT_EQ(report.mProblems[0].mKey, it.mKey);
    EXPECT_EQ(report.mProblems[0].mLine, 8);
    EXPECT_NE(report.mProblems[0].mText.find(it.mSays), std::string::npos)
      << report.mProblems[0].mText;
  }
}

TEST(EdgeSettings, NamesWhatIsMissing)
{
  const auto report = ParseEdgeSettings("e.yaml", "name: n1\n");
  EXPECT_EQ(report.mProblems.size(), 6U);
  EXPECT_FALSE(ParseEdgeSettings("e.yaml", ": [").mProblems.empty());
}

TEST(EdgeSettings, NamesTheKeysThatARunningNodeCannotTakeUp)
{
  EdgeSettings running;
  EdgeSettings next = running;
  next.mRetryShare = 0.5;
  next.mRevokeWithin = std::chrono::seconds(9);
  EXPECT_TRUE(KeysForNextStart(running, next).empty());
  next.mStore = "10.0.0.9:1";
  next.mName = "other";
  EXPECT_EQ(KeysForNextStart(running, next), (std::vector<std::string>{ "name", "store" }));
}

} // namespace
} // namespace pepperbay
