/// The whole path and the command line, with real processes.

#include "cluster.hpp"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace tests {
namespace {

ClusterOptions
SmallCluster()
{
  ClusterOptions options;
  options.mNet = 40;
  options.mHostsPerDomain = 4;
  return options;
}

struct CommandResult
{
  int mCode;
  std::string mOutput;
};

CommandResult
RunCommand(const Cluster& aCluster, std::vector<std::string> aArguments)
{
  const std::string file = aCluster.FilePath("command.out");
  std::ofstream(file, std::ios::trunc).close();
  aArguments.insert(aArguments.begin(), PEPPERBAY);
  Process process(aArguments, file);
  const int code = process.Wait();
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return { code, text.str() };
}

std::string
Write(const Cluster& aCluster, const std::string& aName, const std::string& aText)
{
  std::string file = aCluster.FilePath(aName);
  std::ofstream(file) << aText;
  return file;
}

struct CommandCase
{
  const char* mWhat;
  std::vector<std::string> mArguments;
  int mCode;
  const char* mSays;
};

TEST(CommandLine, SaysWhatIsWrongAndExitsAccordingly)
{
  Cluster cluster(SmallCluster());
  cluster.StartAndPublish();
  const std::string admin = "--admin=" + cluster.NodeIp(1) + ":8081";
  const std::string nobody = "--admin=" + cluster.NodeIp(1) + ":1";
  const auto file = [&](const char* aName, const char* aText) {
    return Write(cluster, aName, aText);
  };
  const std::string stale =
    file("stale.yaml", "customers:\n  - { name: school, share: 0.1, if_version: 7 }\n");
  const std::string tooMuch = file("much.yaml", "customers:\n  - { name: mill, share: 0.9 }\n");
  const std::string typo = file("typo.yaml", "customers:\n  - { name: mill, shar: 0.9 }\n");
  const std::string upper = file("upper.yaml", "customers:\n  - name: Mill\n    share: 0.1\n");
  const std::string good = file("good.yaml", "customers:\n  - { name: mill, share: 0.1 }\n");
  const std::vector<CommandCase> cases = {
    { "no command", {}, 2, "COMMAND" },
    { "unknown command", { "fly" }, 2, "no command 'fly'" },
    { "help", { "publish", "--help" }, 0, "if_version" },
    { "version", { "version" }, 0, "pepperbay " },
    { "no config", { "serve" }, 2, "--config" },
    { "absent file", { "check-config", "--config=/nonexistent" }, 3, "cannot be read" },
    { "wrong file", { "serve", "--config=" + typo }, 3, "typo.yaml:1: customers: is not a key" },
    { "unknown key", { "publish", typo, admin }, 3, "typo.yaml:2: customers[0].shar" },
    { "bad name", { "publish", upper, admin }, 3, "upper.yaml:2: customers[0].name" },
    { "conflict", { "publish", stale, admin }, 4, "is at version 1, not 7" },
    { "refused", { "publish", tooMuch, admin }, 5, "of 1000 thousandths" },
    { "unreachable", { "publish", good, nobody }, 7, "unavailable" },
    { "accepted", { "publish", good, admin, "--wait" }, 0, "in force on every node" },
    { "status", { "status", admin }, 0, "customers/mill  version 1" },
    { "status as JSON", { "status", admin, "--json" }, 0, "\"customers/mill\"" },
    { "dump", { "dump", admin }, 0, "\"applied\"" },
    { "unknown host", { "stop-host", "nowhere", admin }, 5, "not a host of this data centre" },
  };
  for (const auto& it : cases) {
    const CommandResult result = RunCommand(cluster, it.mArguments);
    EXPECT_EQ(result.mCode, it.mCode) << it.mWhat << "\n" << result.mOutput;
    EXPECT_NE(result.mOutput.find(it.mSays), std::string::npos) << it.mWhat << "\n"
                                                                << result.mOutput;
  }
}

struct BadRequest
{
  const char* mWhat;
  std::string mBody;
  std::vector<pepperbay::HttpHeader> mHeaders;
  int mStatus;
  const char* mField;
};

/// Contract of the callers' interface: every mistake gets a 4xx that names the field, and "ran:
/// no".
TEST(CallersInterface, BadInputNamesTheField)
{
  Cluster cluster(SmallCluster());
  cluster.StartAndPublish();
  const std::string good = R"({"model":"checklist","messages":[{"role":"user","content":"x"}]})";
  const pepperbay::HttpHeader school{ "X-Customer", "school" };
  const std::vector<BadRequest> cases = {
    { "no JSON", "{", { school }, 400, "body" },
    { "no object", "[]", { school }, 400, "body" },
    { "no model", R"({"messages":[]})", { school }, 400, "model" },
    { "no messages", R"({"model":"checklist","messages":[]})", { school }, 400, "messages" },
    { "odd message", R"({"model":"checklist","messages":[7]})", { school }, 400, "messages" },
    { "odd stream",
      R"({"model":"checklist","messages":[{"role":"u"}],"stream":1})",
      { school },
      400,
      "stream" },
    { "unknown profile", R"({"model":"x","messages":[{"role":"u"}]})", { school }, 404, "model" },
    { "no customer", good, {}, 400, "X-Customer" },
    { "unknown customer", good, { { "X-Customer", "nobody" } }, 403, "X-Customer" },
    { "two customers", good, { school, { "X-Customer", "mill" } }, 400, "X-Customer" },
    { "absurd deadline", good, { school, { "X-Deadline-Ms", "99999999" } }, 400, "X-Deadline-Ms" },
    { "negative deadline", good, { school, { "X-Deadline-Ms", "-1" } }, 400, "X-Deadline-Ms" },
    { "odd priority", good, { school, { "X-Priority", "10" } }, 400, "X-Priority" },
    { "odd flag", good, { school, { "X-Unrepeatable", "maybe" } }, 400, "X-Unrepeatable" },
    { "long key",
      good,
      { school, { "Idempotency-Key", std::string(300, 'k') } },
      400,
      "Idempotency-Key" },
    { "odd key", good, { school, { "Idempotency-Key", "\xff\xfe" } }, 400, "Idempotency-Key" },
    { "oversized", std::string(2U << 20U, ' '), { school }, 413, "body" },
  };
  const std::string url = "http://" + cluster.NodeIp(0) + ":8080/v1/chat/completions";
  for (const auto& it : cases) {
    const auto fetched = cluster.Call("POST", url, it.mBody, it.mHeaders);
    EXPECT_EQ(fetched.mResponse.mStatus, it.mStatus) << it.mWhat;
    const Json json = Json::parse(fetched.mResponse.mBody, nullptr, false);
    ASSERT_TRUE(json.is_object()) << it.mWhat << fetched.mResponse.mBody;
    EXPECT_EQ(json.value("/error/field"_json_pointer, ""), it.mField) << it.mWhat;
    EXPECT_EQ(json.value("ran", ""), "no") << it.mWhat;
  }
  const auto path = cluster.Call("GET", "http://" + cluster.NodeIp(0) + ":8080/elsewhere");
  EXPECT_EQ(path.mResponse.mStatus, 404);
  EXPECT_EQ(cluster.Stats()["requests"], 0) << "none of them reached an engine";
}

TEST(Path, StreamedAndWholeAnswersServicesMetricsAndAnOrderlyEnd)
{
  Cluster cluster(SmallCluster());
  cluster.StartAndPublish();
  for (int i = 0; i < cluster.Nodes(); ++i) {
    EXPECT_TRUE(cluster.Ask(i, 8, true).mWhole);
    EXPECT_TRUE(cluster.Ask(i, 8, false).mWhole);
  }
  const auto booked = cluster.Call("POST",
                                   "http://" + cluster.NodeIp(0) + ":8080/services/lots/book",
                                   "lot 7",
                                   { { "X-Customer", "school" } });
  EXPECT_EQ(booked.mResponse.mStatus, 200);
  EXPECT_EQ(cluster.Runs()["body:lot 7"], 1);
  const auto metrics = cluster.Call("GET", "http://" + cluster.NodeIp(0) + ":8081/metrics");
  EXPECT_NE(metrics.mResponse.mBody.find("pepperbay_completed_total 3"), std::string::npos)
    << metrics.mResponse.mBody;
  for (int i = 0; i < cluster.Nodes(); ++i) {
    cluster.Node(i).Signal(SIGTERM);
    EXPECT_EQ(cluster.Node(i).Wait(), 0);
  }
}

} // namespace
} // namespace tests
