/// Connection bursts: a load balancer sends most new connections to one node.
#include "relay_fixture.hpp"

namespace pepperbay {
namespace {

/// Guards against an overloaded node that accepts the connections of a whole region, answers all of
/// them late, and is taken out of rotation for its latency.
TEST_F(RelayTest, ConnectionsThatTheGateRejectsAreClosedUnread)
{
  RawEngine engine([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
    }
  });
  RelayOptions options;
  options.mGate.mMaxOpen = 1;
  Serve({ &engine }, options);
  const int first = Connect();
  RawConnection persistent(first);
  persistent.Write("GET /safe/ HTTP/1.1\r\nHost: h\r\nReq: q1\r\n\r\n");
  EXPECT_EQ(StatusOf(persistent.ReadAnswer()), 200);
  EXPECT_EQ(Ask(Get("/safe/")), "");
  const RelayCounters counters = Counters();
  EXPECT_EQ(counters.mClosedUnread, 1U);
  EXPECT_EQ(counters.mRequests, 1U);
  EXPECT_EQ(AwaitLogLine("closed_unread")["connections"], "1");
  // An accepted connection is still served.
  persistent.Write(Get("/safe/"));
  EXPECT_EQ(StatusOf(persistent.ReadAnswer()), 200);
  EXPECT_EQ(persistent.ReadToEnd(), "");
  ::close(first);
  constexpr int kTries = 1000; // until the relay has seen the close
  int status = 0;
  for (int i = 0; i < kTries && status != 200; ++i) {
    status = StatusOf(Ask(Get("/safe/")));
  }
  EXPECT_EQ(status, 200);
}

} // namespace
} // namespace pepperbay
