/// Bad input on the paths between processes: dropped, counted, named; nothing crashes or is lost.

#include "cluster.hpp"

#include "pepperbay/wire/codec.hpp"
#include "pepperbay/wire/peer_link.hpp"

#include <gtest/gtest.h>

namespace tests {
namespace {

namespace proto = pepperbay::proto;

ClusterOptions
Options()
{
  ClusterOptions options;
  options.mNet = 80;
  options.mHostsPerDomain = 4;
  return options;
}

proto::Envelope
From(const std::string& aNode, std::uint64_t aIncarnation, const std::string& aCentre)
{
  proto::Envelope envelope;
  envelope.set_format(pepperbay::kWireFormat);
  envelope.set_from(aNode);
  envelope.set_incarnation(aIncarnation);
  envelope.set_data_centre(aCentre);
  envelope.mutable_heartbeat()->set_applied(1);
  return envelope;
}

struct BadMessage
{
  const char* mReason;
  std::string mBytes;
};

TEST(BadMessages, AreDroppedCountedAndNamedInTheDump)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  const std::uint64_t incarnation =
    At(cluster.Dump(0), "/peers/n1/incarnation").get<std::uint64_t>();
  proto::Envelope newer = From("n1", incarnation, "levis");
  newer.set_format(pepperbay::kWireFormat + 1);
  const std::vector<BadMessage> cases = {
    { "malformed", "\x07no message" },
    { "unknown_format", newer.SerializeAsString() },
    { "old_incarnation", From("n1", incarnation - 1, "levis").SerializeAsString() },
    { "wrong_data_centre", From("n1", incarnation, "vanier").SerializeAsString() },
    { "no_sender", From("", incarnation, "levis").SerializeAsString() },
    { "own", From("n0", incarnation, "levis").SerializeAsString() },
  };
  pepperbay::PeerLinkOptions options;
  options.mAddress = "127.80.0.9:9999";
  auto link = pepperbay::PeerLink::Open(options);
  ASSERT_TRUE(link.has_value());
  for (const auto delivery : { pepperbay::Delivery::kQueued, pepperbay::Delivery::kMayBeLost }) {
    for (const auto& it : cases) {
      const Json::json_pointer counter = Json::json_pointer("/dropped_messages") / it.mReason;
      const auto before = cluster.Dump(0).value(counter, 0);
      // A datagram may be lost, so send until the node has counted it.
      cluster.WaitFor(0, it.mReason, [&](const Json& aDump) {
        link.value()->Send(cluster.NodeIp(0) + ":8082", it.mBytes, delivery);
        return aDump.value(counter, 0) > before;
      });
    }
  }
  EXPECT_TRUE(cluster.Ask(0).mWhole);
  EXPECT_EQ(At(cluster.Dump(0), "/peers/n1/incarnation"), incarnation);
}

/// Anyone who can reach the log can write to it. Records that are none change nothing on any node.
TEST(BadRecords, ChangeNothingOnAnyNode)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  const Json before = cluster.Dump(0)["documents"];
  proto::LogAppend append;
  append.add_records("garbage");
  append.add_records("");
  append.add_records(std::string(70000, 'x'));
  proto::Record newer;
  newer.set_format(99);
  newer.mutable_id()->set_author("stranger");
  newer.mutable_id()->set_incarnation(1);
  newer.mutable_id()->set_sequence(1);
  append.add_records(newer.SerializeAsString());
  const auto appended = cluster.Call(
    "POST", "http://" + cluster.PlatformIp() + ":7000/streams/control", append.SerializeAsString());
  EXPECT_EQ(appended.mResponse.mStatus, 200);
  cluster.WaitForAll("counted as malformed", [](const Json& aDump) {
    return aDump["records_folded"].value("malformed", 0) == 4;
  });
  for (int i = 0; i < cluster.Nodes(); ++i) {
    EXPECT_EQ(cluster.Dump(i)["documents"], before);
  }
  EXPECT_NE(cluster.PublishYaml(1, "customers:\n  - { name: mill, share: 0.1 }\n")
              .mResponse.mBody.find("accepted"),
            std::string::npos);
}

/// Guards against a node that ends because its answer to an operator would repeat bytes that are no
/// text.
TEST(BadRequests, OddBytesOfAnOperatorEndNoNode)
{
  Cluster cluster(Options());
  cluster.StartAndPublish();
  const std::string admin = "http://" + cluster.NodeIp(0) + ":8081";
  for (const char* it : { "customers:\n  - { name: \"a\xff\", share: 0.1 }\n",
                          "\xff: 1\n",
                          "customers:\n  - { name: a, \xfe: 0.1 }\n",
                          "customers: \"\xff\xfe\"\n" }) {
    cluster.PublishYaml(0, it);
    cluster.Call("POST", admin + "/stop-host?host=%ff%fe");
    EXPECT_TRUE(cluster.Ask(0).mWhole) << it;
  }
}

/// Two data centres: what is published here is in force there, and a request whose profile has no
/// whole replica here is served there.
TEST(TwoDataCentres, ShareConfigurationAndSpill)
{
  ClusterOptions options = Options();
  options.mCentres = { "levis", "vanier" };
  options.mNodesPerCentre = 2;
  Cluster cluster(options);
  cluster.StartAndPublish();
  cluster.WaitForAll("the other data centre", [](const Json& aDump) {
    const Json& others = aDump["other_data_centres"];
    return others.size() == 1 && others.begin().value().contains("free_slots") &&
           others.begin().value()["nodes_alive"] == 2;
  });
  cluster.Fault("domain:levis-d1", "kill");
  cluster.WaitFor(0, "nothing whole here", [](const Json& aDump) { return !HasWhole(aDump); });
  cluster.WaitFor(0, "answered there", [&](const Json&) { return cluster.Ask(0).mWhole; });
  const auto metrics = cluster.Call("GET", "http://" + cluster.NodeIp(0) + ":8081/metrics");
  EXPECT_EQ(metrics.mResponse.mBody.find("pepperbay_spilled_total 0"), std::string::npos);
  EXPECT_TRUE(cluster.Ask(0, 8, false).mWhole);
}

} // namespace
} // namespace tests
