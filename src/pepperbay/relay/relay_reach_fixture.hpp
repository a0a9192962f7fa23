/// @file
/// @brief Test fixture: a relay whose paths to engines can be cut, and peers that tunnel for it.
#pragma once

#include "fakes/cut_proxy.hpp"
#include "relay_fixture.hpp"

namespace pepperbay {

using std::chrono::milliseconds;

inline constexpr const char* kEvents = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Answers a request: a stream with one event, any other with a short body.
inline void
AnswerOne(RawConnection& aConnection, const std::string& aRequest)
{
  if (Has(aRequest, " /stream/")) {
    aConnection.Write(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n" + kEvents);
  } else {
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  }
}

inline void
ServeAll(RawConnection& aConnection)
{
  for (;;) {
    const std::string request = aConnection.ReadRequest();
    if (request.empty()) {
      return;
    }
    AnswerOne(aConnection, request);
  }
}

/// Another node in front of the same engines, on its own thread, that tunnels connections.
class Peer
{
public:
  explicit Peer(const std::string& aName)
  {
    const RawEngine callers([](RawConnection&) {});
    const RawEngine tunnel([](RawConnection&) {});
    mOptions.mNode = aName;
    mOptions.mCallers = callers.Address();
    mOptions.mTunnel = tunnel.Address();
    mOptions.mTunnelKey = "key of " + aName;
  }

  ~Peer() { Stop(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void Serve(const TrafficPlan& aPlan)
  {
    RelayHooks hooks;
    hooks.mOnSuspect = [](const std::string&, Duration) {};
    mRelay = std::move(Relay::Open(mContext, mOptions, TestDialect(), std::move(hooks)).value());
    mRelay->SetPlan(std::make_shared<TrafficPlan>(aPlan));
    mThread = std::thread([this] { mContext.run(); });
  }

  /// Stops it abruptly, as if its process were killed.
  void Stop()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
    mRelay.reset();
  }

  /// Stops it gracefully, as a signal does. Returns once it has stopped.
  void StopGracefully()
  {
    std::promise<void> stopped;
    asio::post(mContext, [&] { mRelay->BeginStop([&] { stopped.set_value(); }); });
    stopped.get_future().wait();
  }

  /// @return whether it still accepts callers.
  bool AcceptsCallers() const
  {
    const int socket = ConnectTo(mOptions.mCallers);
    ::close(socket);
    return socket >= 0;
  }

  TunnelCounters TunnelStats()
  {
    std::promise<TunnelCounters> promise;
    asio::post(mContext, [&] { promise.set_value(mRelay->Counters().mTunnels); });
    return promise.get_future().get();
  }

  ProxyPeer AsProxy() const
  {
    return { mOptions.mNode, mOptions.mTunnel, mOptions.mTunnelKey, "" };
  }

  RelayOptions mOptions; ///< change before `Serve()`

private:
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork{ mContext.get_executor() };
  std::unique_ptr<Relay> mRelay;
  std::thread mThread;
};

/// Three engines, each behind its own path from the node under test, and a peer that reaches all
/// of them.
class RelayReach : public RelayTest
{
protected:
  void ServeBehindPaths(const RawEngine::Script& aScript = &ServeAll, int aEngines = 3)
  {
    std::vector<RawEngine*> engines;
    for (int i = 0; i < aEngines; ++i) {
      mEngines.push_back(std::make_unique<RawEngine>(aScript));
      mPaths.push_back(std::make_unique<CutProxy>(mEngines.back()->Address()));
      engines.push_back(mEngines.back().get());
    }
    mPublishAtOnce = false;
    RelayOptions options;
    options.mNode = "node";
    Serve(engines, options);
    auto addresses = std::make_shared<EngineAddresses>();
    for (const auto& it : mPlan.mEngines["plain"]) {
      (*addresses)[it.mId] = it.mAddress;
    }
    mPlan.mAddresses = addresses;
    mPeer.Serve(mPlan);
    SetPeers({ &mPeer });
    for (std::size_t i = 0; i < mPaths.size(); ++i) {
      mPlan.mEngines["plain"][i].mAddress = mPaths[i]->Address();
      mPlan.mReplicas["pool"][i].mHead.mAddress = mPaths[i]->Address();
    }
    Publish();
  }

  void SetPeers(const std::vector<const Peer*>& aPeers)
  {
    auto peers = std::make_shared<ProxyPeers>();
    for (const auto* it : aPeers) {
      peers->push_back(it->AsProxy());
    }
    mPlan.mProxyPeers = std::move(peers);
  }

  /// @return the plan of a node that has the same paths to engines as the one under test.
  TrafficPlan PlanBehindPaths() const
  {
    auto addresses = std::make_shared<EngineAddresses>();
    for (std::size_t i = 0; i < mPaths.size(); ++i) {
      (*addresses)["e" + std::to_string(i)] = mPaths[i]->Address();
    }
    TrafficPlan plan = mPlan;
    plan.mAddresses = addresses;
    plan.mProxyPeers = nullptr;
    return plan;
  }

  void Cut(PathState aState)
  {
    for (const auto& it : mPaths) {
      it->Set(aState);
    }
  }

  /// Sends requests of three kinds, each without retries by the caller.
  /// @param aOfEach requests of each kind
  /// @return the number that were answered 200
  int Served(int aOfEach)
  {
    int served = 0;
    for (int i = 0; i < aOfEach; ++i) {
      for (const char* path : { "/safe/x", "/stream/x" }) {
        served += StatusOf(Ask(Get(path, "Model: m\r\n"))) == 200 ? 1 : 0;
      }
      served += AskOnce() == 200 ? 1 : 0;
    }
    return served;
  }

  int AskOnce() const { return StatusOf(Ask(Post("/once/x", "b", "Key: k1\r\n"))); }

  /// Resets all paths while three requests that must not be repeated are in progress at engines.
  /// @param aBegun the number of requests that engines have read
  void CutWhileThreeRun(const std::atomic<int>& aBegun)
  {
    std::vector<std::future<int>> answers;
    for (int i = 0; i < 3; ++i) {
      answers.push_back(std::async(std::launch::async, [this] { return AskOnce(); }));
    }
    while (aBegun < 3) {
      std::this_thread::yield();
    }
    Cut(PathState::kReset);
    for (auto& it : answers) {
      EXPECT_EQ(it.get(), 502) << "whether it ran is unknown";
    }
  }

  int Requests() const
  {
    int n = 0;
    for (const auto& it : mEngines) {
      n += it->Requests();
    }
    return n;
  }

  std::vector<std::unique_ptr<RawEngine>> mEngines;
  std::vector<std::unique_ptr<CutProxy>> mPaths;
  Peer mPeer{ "peer" };
};

} // namespace pepperbay
