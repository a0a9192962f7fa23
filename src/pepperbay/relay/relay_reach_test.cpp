/// A node whose direct path to engines is down, next to a peer that reaches them.
#include "relay_reach_fixture.hpp"

#include <pepperbay.pb.h>

namespace pepperbay {
namespace {

/// Guards against refusing all callers of a node that reaches no engine, although other nodes reach
/// all engines.
TEST_F(RelayReach, ANodeThatReachesNoEngineServesAsOthersDo)
{
  ServeBehindPaths();
  EXPECT_EQ(Served(4), 12) << "the path is open";
  for (const auto state : { PathState::kSilent, PathState::kReset, PathState::kRefuses }) {
    Cut(state);
    EXPECT_GE(Served(4), 11) << "path state " << static_cast<int>(state);
    Cut(PathState::kOpen);
  }
}

/// Guards against a node that starts without a direct path and does not detect this, because it has
/// never received anything from an engine.
TEST_F(RelayReach, ANodeThatStartsWithoutADirectPathServesAsOthersDo)
{
  ServeBehindPaths();
  Cut(PathState::kSilent);
  EXPECT_EQ(Served(4), 12);
  EXPECT_FALSE(mDirectPathUp);
  Cut(PathState::kOpen);
  while (!mDirectPathUp) {
    std::this_thread::yield();
  }
  EXPECT_EQ(Served(2), 6);
}

/// Guards against taking an engine's exit, which the request and the probe both find, for a direct
/// path that is down: all requests would then go through peers.
TEST_F(RelayReach, AnEngineExitIsNoPathFailure)
{
  std::promise<void> begun;
  std::promise<void> ends;
  ServeBehindPaths(&ServeAll, 2);
  RawEngine ended([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    begun.set_value();
    ends.get_future().wait();
  });
  mPaths.push_back(std::make_unique<CutProxy>(ended.Address()));
  mPlan.mEngines["plain"] = { { "ended", mPaths.back()->Address(), "" } };
  auto addresses = std::make_shared<EngineAddresses>(*mPlan.mAddresses);
  (*addresses)["ended"] =
    FreeAddress(); // no process listens there: the peer's connection is refused
  mPlan.mAddresses = addresses;
  Peer second("second");
  second.Serve(mPlan);
  SetPeers({ &second });
  Publish();
  auto answer = std::async(std::launch::async, [this] { return AskOnce(); });
  begun.get_future().wait();
  mPaths.back()->Set(PathState::kReset); // as when its process exits
  ends.set_value();
  EXPECT_EQ(answer.get(), 502);
  std::unique_lock<std::mutex> lock(mRecordsMutex);
  mRecordsChanged.wait(lock, [this] { return !mExits.empty(); });
  lock.unlock();
  EXPECT_EQ(Counters().mTunnelledByPeers, 0U);
}

/// Guards against taking resets and refusals of a path that is down for exits of healthy engines:
/// requests would be quarantined at all nodes, and heads reported as lost.
TEST_F(RelayReach, EnginesThatOnlyThisNodeDoesNotReachAreNotReportedAsExited)
{
  std::atomic<int> begun{ 0 };
  std::promise<void> ends;
  auto end = ends.get_future().share();
  ServeBehindPaths([&](RawConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (!request.empty() && ++begun <= 3) {
      end.wait();
    } else if (!request.empty()) {
      AnswerOne(aConnection, request);
    }
  });
  CutWhileThreeRun(begun);
  EXPECT_EQ(Served(3), 9);
  ends.set_value();
  EXPECT_EQ(Counters().mEnginesExited, 0U);
  EXPECT_EQ(mRefusalReports, 0);
  EXPECT_TRUE(mExits.empty());
}

/// Guards against plain services' engines that receive no requests from any node because several
/// nodes of one data centre were cut off from them and reported failures.
TEST_F(RelayReach, RequestsBrokenByAPathFailureAreNotReportedAsEngineFailures)
{
  std::atomic<int> begun{ 0 };
  std::promise<void> ends;
  auto end = ends.get_future().share();
  std::atomic<bool> resets{ false };
  ServeBehindPaths([&](RawConnection& aConnection) {
    std::string request = aConnection.ReadRequest();
    // Keeps the connection open: an unannounced close would use up second attempts.
    while (Has(request, " /stream/")) {
      AnswerOne(aConnection, request);
      request = aConnection.ReadRequest();
    }
    if (request.empty()) {
      return;
    }
    if (resets) {
      aConnection.Reset();
    } else {
      ++begun;
      end.wait();
    }
  });
  mPlan.mIsAllocator = false;
  mPlan.mAllocators = { { "desk", "127.0.0.1:9" } };
  Publish();
  /// @return the number of failing engines listed in the next slot request. It may take several
  /// requests, since an allocator that has not answered is skipped for a while.
  const auto reportedFailing = [this] {
    for (;;) {
      EXPECT_EQ(StatusOf(Ask(Get("/stream/x", "Model: m\r\n"))), 200);
      const std::lock_guard<std::mutex> lock(mRecordsMutex);
      for (const auto& it : std::exchange(mSentToAllocators, {})) {
        proto::PlaceMessage message;
        EXPECT_TRUE(message.ParseFromString(it));
        if (message.has_ask()) {
          return message.ask().failing_size();
        }
      }
    }
  };
  CutWhileThreeRun(begun);
  reportedFailing(); // the engines have been probed by the time of the next slot request
  EXPECT_EQ(reportedFailing(), 0);
  ends.set_value();
  Cut(PathState::kOpen);
  while (!mDirectPathUp) {
    std::this_thread::yield();
  }
  resets = true;
  EXPECT_EQ(AskOnce(), 502);
  while (reportedFailing() == 0) {
  }
}

/// Guards against a stream that waits for data on a connection whose path is down.
TEST_F(RelayReach, AStreamInProgressGoesOnElsewhereThroughAPeer)
{
  std::atomic<int> streams{ 0 };
  std::promise<void> ends;
  auto end = ends.get_future().share();
  ServeBehindPaths([&](RawConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (request.empty()) {
      return;
    }
    const std::string head = std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
    if (++streams == 1) {
      aConnection.Write(head + "f\r\nid: 1\ndata: a\n\n\r\n");
      end.wait();
      return;
    }
    EXPECT_TRUE(Has(request, "Last: 1\r\n"));
    aConnection.Write(head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
  });
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Post("/stream/", "x", "Model: m\r\n"));
  ASSERT_TRUE(caller.ReadUntil("data: a\n\n"));
  Cut(PathState::kSilent);
  EXPECT_TRUE(caller.ReadUntil("data: b\n\n"));
  EXPECT_TRUE(caller.ReadUntil("0\r\n\r\n"));
  ::close(socket);
  ends.set_value();
  EXPECT_GE(mPeer.TunnelStats().mAnswers["open"], 1U);
}

/// Guards against moving a stream whose established connection still works while new connections
/// are refused.
TEST_F(RelayReach, AConnectionThatLivesOnKeepsItsStream)
{
  std::promise<void> rest;
  std::atomic<int> streams{ 0 };
  ServeBehindPaths([&](RawConnection& aConnection) {
    for (;;) {
      const std::string request = aConnection.ReadRequest();
      if (request.empty()) {
        return;
      }
      if (!Has(request, " /stream/")) {
        AnswerOne(aConnection, request);
        continue;
      }
      ++streams;
      const std::string head = std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
      aConnection.Write(head + "f\r\nid: 1\ndata: a\n\n\r\n");
      rest.get_future().wait();
      aConnection.Write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    }
  });
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Post("/stream/", "x", "Model: m\r\n"));
  ASSERT_TRUE(caller.ReadUntil("data: a\n\n"));
  Cut(PathState::kRefuses);
  EXPECT_EQ(AskOnce(), 200) << "through the peer";
  rest.set_value();
  EXPECT_TRUE(caller.ReadUntil("data: b\n\n"));
  ::close(socket);
  EXPECT_EQ(streams, 1);
}

/// Guards against engines that go on working for callers who have disconnected because a peer keeps
/// the tunnelled connection open.
TEST_F(RelayReach, ACallersLeavingReachesTheEngineThroughAPeer)
{
  std::promise<void> begun;
  std::promise<void> closed;
  ServeBehindPaths([&](RawConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      begun.set_value();
      aConnection.ReadToEnd();
      closed.set_value();
    }
  });
  Cut(PathState::kReset);
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Post("/once/x", "b", "Key: k1\r\n"));
  begun.get_future().wait();
  ::close(socket);
  closed.get_future().wait();
}

/// Guards against running a request that must not be repeated twice after the peer that tunnelled
/// it exits.
TEST_F(RelayReach, AnUnrepeatableRequestIsNotSentAgainWhenThePeerExits)
{
  std::promise<void> begun;
  std::promise<void> ends;
  auto end = ends.get_future().share();
  ServeBehindPaths([&](RawConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      begun.set_value();
      end.wait();
    }
  });
  Peer other("other");
  other.Serve(mPlan);
  Cut(PathState::kReset);
  auto answer = std::async(std::launch::async, [this] { return AskOnce(); });
  begun.get_future().wait();
  SetPeers({ &mPeer, &other });
  Publish();
  mPeer.Stop();
  EXPECT_EQ(answer.get(), 502);
  ends.set_value();
  EXPECT_EQ(Requests(), 1);
}

/// Guards against nodes without a direct path that forward connections to each other.
TEST_F(RelayReach, WherePeersHaveNoPathEitherRequestsAreRefusedAsNotRun)
{
  ServeBehindPaths();
  Cut(PathState::kReset);
  // The peer uses the same paths, so engines refuse its connections as well.
  Peer cut("cut");
  auto addresses = std::make_shared<EngineAddresses>();
  for (const auto& it : mPlan.mEngines["plain"]) {
    (*addresses)[it.mId] = it.mAddress;
  }
  TrafficPlan plan = mPlan;
  plan.mAddresses = addresses;
  plan.mProxyPeers = std::make_shared<const ProxyPeers>(ProxyPeers{ mPeer.AsProxy() });
  cut.Serve(plan);
  SetPeers({ &cut });
  Publish();
  const std::string answer = Ask(Post("/once/x", "b", "Key: k1\r\n"));
  EXPECT_EQ(StatusOf(answer), 503);
  EXPECT_TRUE(Has(answer, "\"ran\":\"no\""));
  EXPECT_TRUE(Has(answer, "Retry-After: "));
  EXPECT_EQ(Requests(), 0);
  EXPECT_EQ(mPeer.TunnelStats().mAnswers["open"], 0U) << "no second hop";
  EXPECT_EQ(Counters().mEnginesExited, 0U);
}

/// Guards against a node that goes on using peers after its direct path has recovered.
TEST_F(RelayReach, ARecoveredDirectPathIsDetectedAndUsedAgain)
{
  ServeBehindPaths();
  Cut(PathState::kReset);
  EXPECT_EQ(Served(4), 12);
  EXPECT_GT(Counters().mTunnelledByPeers, 0U);
  EXPECT_FALSE(mDirectPathUp);
  Cut(PathState::kOpen);
  while (!mDirectPathUp) {
    std::this_thread::yield();
  }
  const std::uint64_t carried = Counters().mTunnelledByPeers;
  EXPECT_EQ(Served(4), 12);
  EXPECT_EQ(Counters().mTunnelledByPeers, carried);
}

/// Guards against truncated answers when the node that tunnels them is stopped gracefully.
TEST_F(RelayReach, AStoppingPeerCompletesItsTunnelsFirst)
{
  mPeer.mOptions.mStopGrace = milliseconds(1);
  std::promise<void> begun;
  std::promise<void> answers;
  auto rest = answers.get_future().share();
  ServeBehindPaths([&](RawConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      begun.set_value();
      rest.wait();
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
    }
  });
  Cut(PathState::kReset);
  auto answer = std::async(std::launch::async, [this] { return AskOnce(); });
  begun.get_future().wait();
  auto stopped = std::async(std::launch::async, [this] { mPeer.StopGracefully(); });
  while (mPeer.AcceptsCallers()) {
    std::this_thread::yield();
  }
  // Only the tunnelled connection still keeps it from stopping.
  EXPECT_EQ(stopped.wait_for(seconds(0)), std::future_status::timeout);
  answers.set_value();
  EXPECT_EQ(answer.get(), 200);
  SetPeers({}); // this node learns that the peer stops, and closes its connections through it
  Publish();
  stopped.wait();
}

} // namespace
} // namespace pepperbay
