/// Nodes whose new connections fail while old ones still work: data received over old connections
/// does not prove that the node reaches engines.
#include "pepperbay/reach/tunnel_wire.hpp"
#include "relay_reach_fixture.hpp"

namespace pepperbay {
namespace {

/// A stream that sends the next event when its caller has read the last one, so that the relay
/// receives data from its engine continuously.
class EndlessStream
{
public:
  ~EndlessStream() { Stop(); }
  EndlessStream() = default;
  EndlessStream(const EndlessStream&) = delete;
  EndlessStream& operator=(const EndlessStream&) = delete;

  /// The engine's side: writes events until `Stop()`.
  void Write(RawConnection& aConnection)
  {
    aConnection.Write(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1;; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: a\n\n";
      std::ostringstream chunk;
      chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
      aConnection.Write(chunk.str());
      std::unique_lock<std::mutex> lock(mMutex);
      mChanged.wait(lock, [&] { return mRead >= i || mStop; });
      if (mStop) {
        return;
      }
    }
  }

  /// The caller's side: starts a thread that reads events until `Stop()`. Returns after the first
  /// event.
  /// @param aSocket connected to a relay; `Stop()` closes it
  void Read(int aSocket)
  {
    mSocket = aSocket;
    std::promise<void> begun;
    mThread = std::thread([this, &begun] {
      RawConnection caller(mSocket);
      caller.Write("GET /stream/x HTTP/1.1\r\nHost: h\r\nReq: q1\r\nModel: m\r\n\r\n");
      for (int i = 1; caller.ReadUntil("data: a\n\n"); ++i) {
        if (i == 1) {
          begun.set_value();
        }
        const std::lock_guard<std::mutex> lock(mMutex);
        mRead = i;
        mChanged.notify_all();
      }
    });
    begun.get_future().wait();
  }

  void Stop()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStop = true;
    }
    mChanged.notify_all();
    if (mThread.joinable()) {
      ::shutdown(mSocket, SHUT_RDWR);
      mThread.join();
      ::close(mSocket);
    }
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mRead = 0;
  bool mStop = false;
  int mSocket = -1;
  std::thread mThread;
};

/// Streams go to the first engine, all other requests to the second.
class RelayReachability : public RelayReach
{
protected:
  void TearDown() override
  {
    mStream.Stop();
    RelayReach::TearDown();
  }

  void ServeStreamsApart(const RawEngine::Script& aOthers)
  {
    ServeBehindPaths([this, aOthers](RawConnection& aConnection) {
      const std::string request = aConnection.ReadRequest();
      if (Has(request, " /stream/")) {
        mStream.Write(aConnection);
      } else if (!request.empty()) {
        aOthers(aConnection);
      }
    });
    mPlan.mReplicas["pool"].resize(1);
    mPlan.mEngines["plain"] = { mPlan.mEngines["plain"][1] };
    Publish();
  }

  EndlessStream mStream;
};

/// Guards against reporting healthy engines as exited by a node whose direct path is down, because
/// it still receives data from another engine over an older connection.
TEST_F(RelayReachability, AnEngineIsNotReportedAsExitedByANodeWithoutADirectPath)
{
  std::promise<void> begun;
  std::promise<void> breaks;
  ServeStreamsApart([&](RawConnection& aConnection) {
    begun.set_value();
    breaks.get_future().wait();
    aConnection.Reset();
  });
  Peer cut("cut");
  cut.Serve(PlanBehindPaths());
  SetPeers({ &cut });
  Publish();
  mStream.Read(Connect());
  auto answer = std::async(std::launch::async, [this] { return AskOnce(); });
  begun.get_future().wait();
  Cut(PathState::kRefuses);
  breaks.set_value();
  EXPECT_EQ(answer.get(), 502) << "whether it ran is unknown";
  while (cut.TunnelStats().mAnswers["refused"] == 0) {
    std::this_thread::yield(); // waits until the peer was asked for the engine that reset the
                               // request
  }
  EXPECT_EQ(AskOnce(), 503) << "the engine refuses this node as well, after the peer's answer";
  EXPECT_EQ(Counters().mEnginesExited, 0U);
  EXPECT_TRUE(mExits.empty());
}

/// Guards against reporting an engine as lost because of a peer that is cut off itself, but still
/// receives data from another engine over an older connection.
TEST_F(RelayReachability, APeerWhoseNewConnectionsFailReportsNoReachability)
{
  ServeStreamsApart([](RawConnection&) {});
  Peer cut("cut");
  cut.Serve(PlanBehindPaths());
  mStream.Read(ConnectTo(cut.mOptions.mCallers));
  mPaths[0]->Set(PathState::kRefuses);
  mPaths[1]->Set(PathState::kSilent);
  mPaths[2]->Set(PathState::kRefuses);
  const int socket = ConnectTo(cut.mOptions.mTunnel);
  RawConnection asker(socket);
  std::string request = "CONNECT " + mPaths[1]->Address() + " HTTP/1.1\r\nHost: e\r\n";
  for (const auto& it : HeadersOf({ "e1", "node", cut.mOptions.mTunnelKey, milliseconds(60) })) {
    request += it.mName + ": " + it.mValue + "\r\n";
  }
  asker.Write(request + "\r\n");
  const std::string answer = asker.ReadAnswer();
  ::close(socket);
  EXPECT_EQ(StatusOf(answer), StatusOf(TunnelAnswer::kSilent));
  EXPECT_FALSE(Has(answer, kTunnelSight));
}

} // namespace
} // namespace pepperbay
