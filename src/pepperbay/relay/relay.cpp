#include "pepperbay/relay/relay.hpp"

#include "pepperbay/tunnel/listener.hpp"
#include "pepperbay/tunnel/tunnel_server.hpp"
#include "relay_core.hpp"
#include "session.hpp"
#include "silence_watch.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

namespace pepperbay {

namespace asio = boost::asio;

namespace {

using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         asio::io_context::executor_type>;

/// Ticks between two checks of idle connections.
constexpr unsigned kSessionTicks = 10;

/// If the relay's thread lags by more than this, it has no capacity for other nodes' tunnels.
constexpr std::chrono::milliseconds kMaxLag{ 20 };
constexpr int kLagWeight = 8; ///< weight of the moving average of the lag, in ticks
constexpr std::chrono::seconds kLogUnreadEvery{ 1 };

class RelayImpl : public Relay
{
public:
  RelayImpl(asio::io_context& aContext, RelayOptions aOptions, Dialect aDialect, RelayHooks aHooks)
    : mCore(aContext, std::move(aOptions), std::move(aDialect), std::move(aHooks))
    , mListener(aContext,
                { [this](Socket aSocket) { OnAccepted(std::move(aSocket)); },
                  [this](const std::string& aDetail) {
                    mCore.Log("accept_failed", { { "detail", aDetail } });
                  } })
    , mTimer(aContext)
  {
  }

  Result<void> Listen()
  {
    auto listening = mListener.Open("relay.listen", mCore.mOptions.mCallers, kBacklog);
    if (!listening.has_value()) {
      return listening;
    }
    mListeningSince = mCore.Now();
    Tick();
    return ListenForPeers();
  }

  /// Accepts tunnels of nodes that cannot reach engines directly.
  Result<void> ListenForPeers()
  {
    if (mCore.mOptions.mTunnel.empty()) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    TunnelServerOptions options;
    options.mAddress = mCore.mOptions.mTunnel;
    options.mKey = mCore.mOptions.mTunnelKey;
    options.mMost = mCore.mOptions.mMaxTunnelled;
    options.mNow = mCore.mOptions.mNow;
    TunnelServerHooks hooks;
    hooks.mAddressOf = [this](const std::string& aEngine) { return AddressOf(aEngine); };
    hooks.mWhyNot = [this] { return TunnelRefusalReason(); };
    hooks.mOnHeard = [this](const std::string& aEngine) {
      mCore.mConnector.OnHeard(aEngine, "");
      mCore.mBalancer.Unanswered().OnHeard(aEngine);
    };
    hooks.mFindSight =
      [this](const std::string& aEngine, TimePoint aSince, std::function<void(bool)> aDone) {
        mCore.mConnector.CheckReachability(aEngine, aSince, std::move(aDone));
      };
    hooks.mLog = [this](const char* aEvent, const std::map<std::string, std::string>& aFields) {
      mCore.Log(aEvent, aFields);
    };
    auto server = TunnelServer::Open(
      mCore.mContext, std::move(options), std::move(hooks), &mCore.mCounters.mTunnels);
    if (!server.has_value()) {
      return server.error();
    }
    mTunnels = std::move(server.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  std::string AddressOf(const std::string& aEngine) const
  {
    if (!mCore.mPlan || !mCore.mPlan->mAddresses) {
      return "";
    }
    const auto it = mCore.mPlan->mAddresses->find(aEngine);
    return it == mCore.mPlan->mAddresses->end() ? "" : it->second;
  }

  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan) override
  {
    mCore.SetPlan(std::move(aPlan));
    AcceptWhenPlanKnown();
  }

  void Tune(const RelayTuning& aTuning) override { mCore.Tune(aTuning); }

  void OnAllocatorMessage(const std::string& aBytes) override { mCore.mPlaces.OnMessage(aBytes); }

  std::unordered_map<std::string, int> InFlight() const override { return mCore.mBalancer.Own(); }

  EngineLimits Limits() const override { return mCore.Limits(); }
  void OnCall(const std::string& aEngine) override { mCore.mPlaces.OnCall(aEngine); }

  const RelayCounters& Counters() const override { return mCore.mCounters; }
  const SlotCounters& Places() const override { return mCore.mPlaces.Counters(); }
  const RetryCounters& Retries() const override { return mCore.mRetries.Counters(); }

  void BeginStop(std::function<void()> aDone) override
  {
    if (mCore.mStopping) {
      return;
    }
    mCore.mStopping = true;
    mStopAt = mCore.Now();
    mOnStopped = std::move(aDone);
  }

private:
  static constexpr int kBacklog = 1024; // listen queue, in connections

  void AcceptWhenPlanKnown()
  {
    const bool known = mCore.mPlan && mCore.mPlan->mComplete;
    const bool waited = mCore.Now() - mListeningSince >= mCore.mOptions.mWaitForPlan;
    if (!mAccepting && (known || waited)) {
      mAccepting = true;
      mListener.Start();
    }
  }

  void OnAccepted(Socket aSocket)
  {
    if (!mGate.Takes(mCore.mSessions.size(), mCore.Now())) {
      ++mCore.mCounters.mClosedUnread;
      CloseNow(aSocket); // no byte of a request was read, so another node can take it
      return;
    }
    const auto session = std::make_shared<Session>(&mCore, std::move(aSocket));
    mCore.mSessions.insert(session);
    session->Start();
  }

  void Tick()
  {
    mTimer.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(mCore.mOptions.mTick));
    mTimer.async_wait([this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      OnTick();
      Tick();
    });
  }

  void OnTick()
  {
    const TimePoint now = mCore.Now();
    if (mLastTickAt != TimePoint{}) {
      const Duration late = std::max(Duration::zero(), now - mLastTickAt - mCore.mOptions.mTick);
      mLag = (mLag * (kLagWeight - 1) + late) / kLagWeight;
    }
    mLastTickAt = now;
    mGate.OnTick(mLag, now);
    LogClosedUnread(now);
    AcceptWhenPlanKnown();
    mListener.Tick();
    for (const auto& it : mCore.mStalls.Suspects(now)) {
      mCore.mHooks.mOnSuspect(it, mCore.mStalls.Silence(it, now));
    }
    mCore.mPlaces.Tick();
    mCore.mRetries.Tick();
    mCore.mConnector.Tick();
    mCore.mExitProbe.Tick();
    mCore.mCounters.mSilentEngines = mCore.mBalancer.Unanswered().Silent(mCore.Now());
    mSilence.Tick();
    if (mTunnels) {
      mTunnels->Tick();
    }
    // Copies, since a finished exchange removes itself from the set.
    const std::vector<std::shared_ptr<Exchange>> exchanges(mCore.mExchanges.begin(),
                                                           mCore.mExchanges.end());
    for (const auto& it : exchanges) {
      it->Tick();
    }
    if (++mTicks % kSessionTicks == 0) {
      const std::vector<std::shared_ptr<Session>> sessions(mCore.mSessions.begin(),
                                                           mCore.mSessions.end());
      for (const auto& it : sessions) {
        it->Tick();
      }
      mCore.mConnections.Tick();
    }
    if (mCore.mStopping) {
      TickStop(now);
    }
  }

  /// Logs the connections that were closed unread, at most once a second.
  void LogClosedUnread(TimePoint aNow)
  {
    const std::uint64_t n = mCore.mCounters.mClosedUnread - mLoggedUnread;
    if (n == 0 || aNow - mLoggedUnreadAt < kLogUnreadEvery) {
      return;
    }
    mLoggedUnread = mCore.mCounters.mClosedUnread;
    mLoggedUnreadAt = aNow;
    mCore.Log("closed_unread",
              { { "connections", std::to_string(n) },
                { "open", std::to_string(mCore.mSessions.size()) },
                { "usual_per_second", std::to_string(mGate.UsualPerSecond()) },
                { "lag_ms", std::to_string(ToMs(mLag).count()) } });
  }

  void TickStop(TimePoint aNow)
  {
    const Duration since = aNow - mStopAt;
    if (!mOnStopped || since < mCore.mOptions.mStopGrace) {
      return;
    }
    if (mListener.IsOpen()) {
      // A load balancer without a better node would send connections until the end, and late
      // requests could not be completed before the process is killed.
      mListener.Close();
      mCore.mAcceptsRequests = false;
    }
    const std::vector<std::shared_ptr<Session>> sessions(mCore.mSessions.begin(),
                                                         mCore.mSessions.end());
    for (const auto& it : sessions) {
      it->CloseWhenIdle();
    }
    const bool last = since >= mCore.mOptions.mTuning.mMaxStopTime;
    if (last) {
      const std::vector<std::shared_ptr<Exchange>> exchanges(mCore.mExchanges.begin(),
                                                             mCore.mExchanges.end());
      for (const auto& it : exchanges) {
        it->Abort();
      }
    }
    const bool carries = mCore.mCounters.mTunnels.mOpen > 0;
    if ((mCore.mSessions.empty() && !carries) || last) {
      std::exchange(mOnStopped, nullptr)();
    }
  }

  /// @return why this node accepts no more tunnels of other nodes; empty: it accepts them.
  std::string TunnelRefusalReason() const
  {
    if (mCore.mStopping) {
      return "stopping";
    }
    if (mCore.mConnector.IsDirectPathDown()) {
      return "unreached"; // a second hop could form a loop
    }
    return mLag > kMaxLag ? "late" : "";
  }

  RelayCore mCore;
  ConnectionGate mGate{ mCore.mOptions.mGate };
  std::uint64_t mLoggedUnread = 0; ///< part of mClosedUnread that was logged
  TimePoint mLoggedUnreadAt{};
  SilenceWatch mSilence{ &mCore };
  std::unique_ptr<TunnelServer> mTunnels;
  Duration mLag{ 0 }; ///< lag of this thread, moving average
  TimePoint mLastTickAt{};
  Listener mListener;
  Timer mTimer;
  unsigned mTicks = 0;
  TimePoint mListeningSince{};
  bool mAccepting = false;
  TimePoint mStopAt{};
  std::function<void()> mOnStopped;
};

} // namespace

Result<std::unique_ptr<Relay>>
Relay::Open(asio::io_context& aContext, RelayOptions aOptions, Dialect aDialect, RelayHooks aHooks)
{
  auto relay = std::make_unique<RelayImpl>(
    aContext, std::move(aOptions), std::move(aDialect), std::move(aHooks));
  const auto listening = relay->Listen();
  if (!listening.has_value()) {
    return listening.error();
  }
  return std::unique_ptr<Relay>(std::move(relay));
}

} // namespace pepperbay
