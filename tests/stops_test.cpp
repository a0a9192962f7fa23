/// Planned stops of hosts and nodes, and changes of a profile's version, with real processes.

#include "cluster.hpp"
#include "fakes/raw_engine.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace tests {
namespace {

ClusterOptions
Options()
{
  ClusterOptions options;
  options.mNet = 60;
  options.mHostsPerDomain = 9;
  options.mProfiles = R"(profiles:
  - { name: checklist, model: audit, model_version: "1", hosts_per_replica: 4, share: 0.5 }
customers:
  - { name: school, share: 0.5 }
)";
  return options;
}

std::string
SomeMember(const Json& aDump)
{
  return aDump["replicas"].items().begin().value()["members"][2];
}

bool
UsesHost(const Json& aDump, const std::string& aHost)
{
  for (const auto& [name, replica] : aDump["replicas"].items()) {
    for (const auto& it : replica["members"]) {
      if (it == aHost) {
        return true;
      }
    }
  }
  return false;
}

/// From here on the engines themselves count each request that still reaches the host's replica.
void
CountWorkAfterStop(Cluster& aCluster, const std::string& aHost)
{
  const Json dump = aCluster.Dump(0);
  for (const auto& [name, replica] : dump["replicas"].items()) {
    const auto members = replica["members"].get<std::vector<std::string>>();
    if (std::find(members.begin(), members.end(), aHost) != members.end()) {
      for (const auto& it : members) {
        aCluster.Fault("host:" + it, "stopped");
      }
    }
  }
}

pepperbay::HttpFetched
StopHost(Cluster& aCluster, int aNode, const std::string& aHost)
{
  return aCluster.Call(
    "POST", "http://" + aCluster.NodeIp(aNode) + ":8081/stop-host?host=" + aHost, "x");
}

/// Long answers are under way through every node; the host's replica is drained, none is cut, and
/// the host is free only after the last of them.
TEST(PlannedStop, CutsNoAnswerOff)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  cluster.WaitForAll("two replicas", [](const Json& aDump) { return HasWhole(aDump, 2); });
  std::vector<std::future<Answer>> answers;
  for (int i = 0; i < 12; ++i) {
    answers.push_back(std::async(std::launch::async, [&cluster, i] {
      return cluster.Ask(i % 3, 400, true, "long " + std::to_string(i));
    }));
  }
  cluster.WaitForAll("answers under way", [](const Json& aDump) {
    int running = 0;
    for (const auto& [name, replica] : aDump["replicas"].items()) {
      running += replica.value("in_flight_here", 0) > 0 ? 1 : 0;
    }
    return running > 0;
  });
  const std::string host = SomeMember(cluster.Dump(0));
  EXPECT_EQ(StopHost(cluster, 1, host).mResponse.mStatus, 200);
  cluster.WaitForAll("the host is free", [&](const Json& aDump) { return !UsesHost(aDump, host); });
  for (auto& it : answers) {
    EXPECT_TRUE(it.get().mWhole);
  }
  EXPECT_EQ(cluster.Stats()["cut_by_stop"], 0);
  cluster.WaitForAll("two replicas again", [](const Json& aDump) { return HasWhole(aDump, 2); });
}

/// Symptom: a stop announced during an outage of the log takes effect only after it.
/// Cause: spreading it by the log alone.
TEST(PlannedStop, SpreadsByPeersWhileTheLogIsOut)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  cluster.WaitForAll("two replicas", [](const Json& aDump) { return HasWhole(aDump, 2); });
  cluster.Fault("log", "out");
  cluster.WaitForAll("log out",
                     [](const Json& aDump) { return !aDump["log"]["reachable"].get<bool>(); });
  const std::string host = SomeMember(cluster.Dump(0));
  EXPECT_EQ(StopHost(cluster, 0, host).mResponse.mStatus, 200);
  cluster.WaitForAll("closed on every node", [&](const Json& aDump) {
    for (const auto& [name, replica] : aDump["replicas"].items()) {
      for (const auto& it : replica["members"]) {
        if (it == host) {
          return replica.value("closed_here", false);
        }
      }
    }
    return false;
  });
  CountWorkAfterStop(cluster, host);
  Asker asker(cluster, 8);
  asker.WaitWhole(50); // the other replica serves on
  EXPECT_EQ(asker.Stop(), "");
  EXPECT_EQ(cluster.Stats()["after_leaving"], 0);
  cluster.Fault("log", "out", "0");
  cluster.WaitForAll("the host is free", [&](const Json& aDump) { return !UsesHost(aDump, host); });
  EXPECT_EQ(cluster.Stats()["cut_by_stop"], 0);
}

/// Symptom: a host is taken out of its replica while a node that is cut off still streams from it.
/// Cause: counting only the nodes that answer. Here the cut node has an answer under way: the
/// replica stays closing until that node is heard again or can no longer be working.
TEST(PlannedStop, WaitsForANodeThatIsCutOff)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  cluster.WaitForAll("two replicas", [](const Json& aDump) { return HasWhole(aDump, 2); });
  const int holder = cluster.Holder();
  const int cut = (holder + 1) % 3;
  std::vector<std::future<Answer>> answers;
  for (int i = 0; i < 4; ++i) {
    answers.push_back(std::async(std::launch::async, [&cluster, cut, i] {
      return cluster.Ask(cut, 600, true, "cut " + std::to_string(i));
    }));
  }
  std::string host;
  cluster.WaitFor(cut, "answers under way", [&](const Json& aDump) {
    for (const auto& [name, replica] : aDump["replicas"].items()) {
      if (replica.value("in_flight_here", 0) > 0) {
        host = replica["members"][1];
        return true;
      }
    }
    return false;
  });
  cluster.CutLog(cut, true);
  for (int i = 0; i < 3; ++i) {
    cluster.CutPeer(i, cut, true);
    cluster.CutPeer(cut, i, true);
  }
  EXPECT_EQ(StopHost(cluster, holder, host).mResponse.mStatus, 200);
  cluster.WaitFor(holder, "waits for the cut node", [&](const Json& aDump) {
    return aDump["holder"]["waiting"].dump().find("requests may be in progress") !=
           std::string::npos;
  });
  for (auto& it : answers) {
    EXPECT_TRUE(it.get().mWhole);
  }
  EXPECT_EQ(cluster.Stats()["cut_by_stop"], 0);
  cluster.CutLog(cut, false);
  for (int i = 0; i < 3; ++i) {
    cluster.CutPeer(i, cut, false);
    cluster.CutPeer(cut, i, false);
  }
  cluster.WaitForAll("the host is free", [&](const Json& aDump) { return !UsesHost(aDump, host); });
  EXPECT_EQ(cluster.Stats()["cut_by_stop"], 0);
}

TEST(PlannedStop, ANodeEndsItsAnswersFirst)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  auto answer = std::async(std::launch::async, [&] { return cluster.Ask(0, 400); });
  cluster.WaitFor(0, "an answer under way", [](const Json& aDump) {
    for (const auto& [name, replica] : aDump["replicas"].items()) {
      if (replica.value("in_flight_here", 0) > 0) {
        return true;
      }
    }
    return false;
  });
  cluster.Node(0).Signal(SIGTERM);
  cluster.WaitFor(
    1, "readiness fails first", [](const Json& aDump) { return aDump["ready"].get<bool>(); });
  const Answer whole = answer.get();
  const std::string& body = whole.mFetched.mResponse.mBody;
  EXPECT_TRUE(whole.mWhole) << body.substr(body.size() - std::min<std::size_t>(body.size(), 200));
  EXPECT_EQ(cluster.Node(0).Wait(), 0);
}

/// A caller that keeps its connection and goes on asking until it is told to close.
class KeptCaller
{
public:
  enum class End
  {
    kToldToClose,
    kLost, ///< closed without an answer
  };

  KeptCaller(const Cluster& aCluster, std::atomic<int>* aAnswers)
    : mSocket(aCluster.Connect(0))
    , mConnection(mSocket)
    , mAnswers(aAnswers)
  {
  }
  ~KeptCaller() { ::close(mSocket); }
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

  End Run()
  {
    for (;;) {
      mConnection.Write("POST /services/lots/book HTTP/1.1\r\nHost: h\r\nX-Customer: school\r\n"
                        "Content-Length: 1\r\n\r\nx");
      const std::string answer = mConnection.ReadAnswer();
      if (answer.empty()) {
        return End::kLost;
      }
      ++*mAnswers;
      if (answer.find("Connection: close") != std::string::npos) {
        return End::kToldToClose;
      }
    }
  }

private:
  int mSocket;
  pepperbay::RawConnection mConnection;
  std::atomic<int>* mAnswers;
};

/// Guards against callers on kept connections losing their next request when a node stops.
TEST(PlannedStop, CallersOnKeptConnectionsAreToldToCloseAndLoseNothing)
{
  constexpr int kCallers = 16;
  constexpr int kAnswersEach = 4;
  Cluster cluster(Options());
  cluster.StartAndPublish();
  std::atomic<int> answers{ 0 };
  std::vector<std::future<KeptCaller::End>> ends;
  for (int i = 0; i < kCallers; ++i) {
    ends.push_back(
      std::async(std::launch::async, [&] { return KeptCaller(cluster, &answers).Run(); }));
  }
  while (answers < kCallers * kAnswersEach) {
    std::this_thread::yield();
  }
  cluster.Node(0).Signal(SIGTERM);
  int lost = 0;
  for (auto& it : ends) {
    lost += it.get() == KeptCaller::End::kLost ? 1 : 0;
  }
  EXPECT_EQ(lost, 0) << "of " << kCallers;
  EXPECT_EQ(cluster.Node(0).Wait(), 0);
}

/// The same of a caller whose answer was under way when the stop began: its head could not tell it
/// to close, and its next request comes on the same connection.
TEST(PlannedStop, ACallerWhoseAnswerWasUnderWayLosesNothing)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  const int socket = cluster.Connect(0);
  pepperbay::RawConnection caller(socket);
  const std::string body = R"({"model":"checklist","stream":true,"max_tokens":400,)"
                           R"("messages":[{"role":"user","content":"long"}]})";
  const std::string request =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Customer: school\r\n"
    "Content-Type: application/json\r\nContent-Length: " +
    std::to_string(body.size()) + "\r\n\r\n" + body;
  caller.Write(request);
  ASSERT_TRUE(caller.ReadUntil("data: "));
  cluster.Node(0).Signal(SIGTERM);
  ASSERT_TRUE(caller.ReadUntil("[DONE]"));
  ASSERT_TRUE(caller.ReadUntil("\r\n0\r\n\r\n")) << "the end of the answer";
  caller.Write(request);
  const std::string answer = caller.ReadAnswer();
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  ::close(socket);
  EXPECT_EQ(cluster.Node(0).Wait(), 0);
}

std::string
VersionYaml(const std::string& aVersion)
{
  return "profiles:\n  - { name: checklist, model: audit, model_version: \"" + aVersion +
         "\", hosts_per_replica: 4, share: 0.5 }\n";
}

bool
AllServe(const Json& aDump, const std::string& aVersion)
{
  for (const auto& [name, replica] : aDump["replicas"].items()) {
    if (replica["model_version"] != aVersion || replica["closing"].get<bool>()) {
      return false;
    }
  }
  return HasWhole(aDump, 2);
}

/// A new version rolls replica by replica under load; callers never go without.
TEST(VersionChange, RollsReplicaByReplica)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  cluster.WaitForAll("two replicas", [](const Json& aDump) { return HasWhole(aDump, 2); });
  Asker asker(cluster, 20);
  asker.WaitWhole(3);
  cluster.PublishYaml(0, VersionYaml("2"));
  cluster.WaitForAll("version 2", [](const Json& aDump) { return AllServe(aDump, "2"); });
  asker.WaitWhole(5);
  EXPECT_EQ(asker.Stop(), "");
  EXPECT_EQ(cluster.Stats()["cut_by_stop"], 0);
}

/// A version that does not load stops the roll; the old one serves on and comes back.
TEST(VersionChange, ABadVersionStopsTheRoll)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  cluster.WaitForAll("two replicas", [](const Json& aDump) { return HasWhole(aDump, 2); });
  cluster.Fault("domain:levis-d1", "fail_version", "bad");
  Asker asker(cluster, 20);
  asker.WaitWhole(3);
  cluster.PublishYaml(0, VersionYaml("bad"));
  cluster.WaitForAll("the version is known to fail", [](const Json& aDump) {
    return aDump["failed_versions"].value("checklist", "") == "bad";
  });
  cluster.WaitForAll("all serve the old version",
                     [](const Json& aDump) { return AllServe(aDump, "1"); });
  asker.WaitWhole(5);
  EXPECT_EQ(asker.Stop(), "");
  // A good version afterwards rolls as usual.
  cluster.PublishYaml(0, VersionYaml("3"));
  cluster.WaitForAll("version 3", [](const Json& aDump) { return AllServe(aDump, "3"); });
}

} // namespace
} // namespace tests
