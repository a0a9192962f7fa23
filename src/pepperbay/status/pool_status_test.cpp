#include "pepperbay/status/pool_status.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

std::string
Dump(const std::string& aNode, bool aHolds, int aConfiguration)
{
  const std::string replicas = R"([{"name":"r3-1-pool","service":"pool","epoch":300001,"model":"m",
    "domain":"d1","members":["i-1","i-2"],"phase":"open","why":"","since_ms":61000},
    {"name":"r3-2-pool","service":"pool","epoch":300007,"model":"m","domain":"d2",
    "members":["i-3","i-4"],"phase":"broken","why":"no spare in domain d2","since_ms":2500}])";
  return R"({"node":")" + aNode + R"(","incarnation":5,"ready":true,"holds_lease":)" +
         (aHolds ? "true" : "false") +
         R"(,"lease":{"holder":"n1","fence":3,"log_lost":false},"configuration":{"version":)" +
         std::to_string(aConfiguration) +
         R"(,"age_ms":140},"engines":11,"lost_engines":["i-9"],"replicas":)" +
         (aHolds ? replicas : "[]") + R"(,"delegates":{"followed":"n1","followers":)" +
         (aNode == "n1" ? "2" : "0") + R"(},"news":{"age_ms":1500},)" +
         R"("store_read_by":{"node":"n3","lost":false},"logs":{"engines":{"age_ms":2400}},)" +
         R"("limits":[{"engine":"i-1","data_centre":"here","per_second":)" +
         (aNode == "n1" ? "3.4" : "9") + R"(}],"counts_for":)" +
         (aNode == "n1" ? R"(["here"])" : "[]") + "," +
         R"("held_requests":[{"key":"00ab","engines":3,"score":6,"for_ms":59000}],)" +
         R"("peers":[{"node":"n1","address":"a","alive":true,"configuration":7}]})";
}

AskedNode
Asked(const std::string& aNode, bool aHolds, int aConfiguration)
{
  return { aNode, ParseNodeStatus(aNode, Dump(aNode, aHolds, aConfiguration)) };
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

TEST(PoolStatus, SaysWhoHoldsTheLeaseAndWhyAReplicaDoesNotServe)
{
  const std::string text = PoolReport({ Asked("n1", true, 7), Asked("n2", false, 7) });
  EXPECT_TRUE(Has(text, "holds it, fence 3")) << text;
  EXPECT_TRUE(Has(text, "of n1, fence 3"));
  EXPECT_TRUE(Has(text, "for 2.5 s, epoch 300007: no spare in domain d2"));
  EXPECT_TRUE(Has(text, "members i-3 i-4"));
  EXPECT_TRUE(Has(text, "lost: i-9"));
  EXPECT_FALSE(Has(text, "behind"));
}

TEST(PoolStatus, SaysWhichRequestsAreHeldBackAndByHowManyNodes)
{
  const AskedNode away{ "n3", Error{ Errc::kTimeout, "status.ask", "n3", "" } };
  const std::string text = PoolReport({ Asked("n1", true, 7), Asked("n2", false, 7), away });
  EXPECT_TRUE(
    Has(text, "held back: request 00ab, 3 engines ended under it, for 59.0 s more, by 2 of 2"))
    << text;
}

TEST(PoolStatus, SaysWhichEnginesAreLimitedAndWhoCountsWhatTheyGet)
{
  const std::string counted = PoolReport({ Asked("n2", false, 7), Asked("n1", true, 7) });
  EXPECT_TRUE(Has(counted, "limited: engine i-1 takes 3.4 requests a second, counted by n1"))
    << counted;
  const std::string uncounted = PoolReport({ Asked("n2", false, 7) });
  EXPECT_TRUE(Has(uncounted, "takes 9 requests a second, counted by none of these nodes"))
    << uncounted;
}

TEST(PoolStatus, SaysWhichNodesReachNoEngineAndThroughWhomTheyGo)
{
  std::string dump = Dump("n2", false, 7);
  dump.insert(1, R"("engines_reached":{"directly":false,"through":["n1","n3"],"undecided":0},)");
  const AskedNode cut{ "n2", ParseNodeStatus("n2", dump) };
  const std::string text = PoolReport({ Asked("n1", true, 7), cut });
  EXPECT_TRUE(Has(text, "n2 reaches no engine by its own connections; it goes through n1 n3"))
    << text;
  EXPECT_FALSE(Has(text, "n1 reaches no engine")) << "and one of an earlier version does not say";
}

TEST(PoolStatus, SaysWhoseDelegateANodeIsAndHowOldItsNewsAre)
{
  const auto status = Asked("n2", false, 7).mStatus;
  ASSERT_TRUE(status.has_value());
  EXPECT_EQ(status.value().mDelegate, "n1");
  EXPECT_EQ(status.value().mNewsAge, std::chrono::milliseconds(1500));
  const std::string text = PoolReport({ Asked("n1", true, 7) });
  EXPECT_TRUE(Has(text, "itself")) << text;
  EXPECT_TRUE(Has(text, "1.5 s")) << text;
}

TEST(PoolStatus, SaysWhoReadsTheStoreForANodeAndHowOldWhatItKnowsIs)
{
  const auto status = Asked("n2", false, 7).mStatus;
  ASSERT_TRUE(status.has_value());
  EXPECT_EQ(status.value().mReader, "n3");
  EXPECT_EQ(status.value().mEnginesAge, std::chrono::milliseconds(2400));
  const std::string text = PoolReport({ Asked("n2", false, 7) });
  EXPECT_TRUE(Has(text, "READER")) << text;
  EXPECT_TRUE(Has(text, "n3")) << text;
  EXPECT_TRUE(Has(text, "2.4 s")) << text;
}

TEST(PoolStatus, SaysWhatDoesNotFitTogether)
{
  const Error silent{ Errc::kTimeout, "http.get", "10.0.0.3:8081", "no answer" };
  const std::string text =
    PoolReport({ Asked("n1", true, 7), Asked("n2", true, 6), { "10.0.0.3:8081", silent } });
  EXPECT_TRUE(Has(text, "2 nodes hold the lease")) << text;
  EXPECT_TRUE(Has(text, "n2 is behind: configuration 6 of 7"));
  EXPECT_TRUE(Has(text, "no answer: "));
  EXPECT_TRUE(Has(PoolReport({ Asked("n2", false, 7) }), "none of these nodes holds the lease"));
}

TEST(PoolStatus, ADumpThatCannotBeReadIsAnErrorThatNamesTheNode)
{
  for (const char* it : { "", "[]", "{}", R"({"node":3})" }) {
    const auto status = ParseNodeStatus("10.0.0.1:8081", it);
    ASSERT_FALSE(status.has_value()) << it;
    EXPECT_EQ(status.error().mPeer, "10.0.0.1:8081");
  }
}

RC_GTEST_PROP(PoolStatus, AnyBytesAreSurvived, (const std::string& aBytes))
{
  RC_ASSERT(!ParseNodeStatus("n", aBytes).has_value());
}

} // namespace
} // namespace pepperbay
