#include "pepperbay/relay/relay.hpp"

#include "exchange.hpp"
#include "pepperbay/base/hash.hpp"
#include "pepperbay/routing/find_engine.hpp"
#include "pepperbay/settings/settings.hpp"
#include "pepperbay/tunnel/tunnel_server.hpp"
#include "relay_core.hpp"
#include "session.hpp"
#include "silence_watch.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace pepperbay {

namespace asio = boost::asio;

namespace {

/// A version that reaches the traffic thread later than this gets a line.
constexpr std::chrono::milliseconds kSlowToForce{ 250 };

BalancerOptions
BalancerOptionsOf(const RelayOptions& aOptions)
{
  BalancerOptions options;
  options.mDataCentre = aOptions.mDataCentre;
  options.mSeed = Hash64(aOptions.mNode);
  return options;
}

PlaceAgentOptions
PlaceOptionsOf(const RelayOptions& aOptions)
{
  PlaceAgentOptions options;
  options.mNode = aOptions.mNode;
  options.mIncarnation = aOptions.mIncarnation;
  options.mDataCentre = aOptions.mDataCentre;
  options.mAddress = aOptions.mDeskAddress;
  options.mRetryShare = aOptions.mTuning.mRetryShare;
  options.mRetrySlack = aOptions.mTuning.mRetrySlack;
  return options;
}

EngineConnectorOptions
ConnectorOptionsOf(const RelayOptions& aOptions)
{
  EngineConnectorOptions options;
  options.mNode = aOptions.mNode;
  options.mDataCentre = aOptions.mDataCentre;
  options.mTimeout = aOptions.mConnectTimeout;
  return options;
}

} // namespace

RelayCore::RelayCore(asio::io_context& aContext,
                     RelayOptions aOptions,
                     Dialect aDialect,
                     RelayHooks aHooks)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mDialect(std::move(aDialect))
  , mHooks(std::move(aHooks))
  , mBalancer(BalancerOptionsOf(mOptions))
  , mPlaces(
      PlaceOptionsOf(mOptions),
      { mOptions.mNow, mHooks.mSendToDesk, [this](const LimitNews& aNews) { OnLimit(aNews); } },
      &mBalancer)
  , mConnections(ConnectionPoolOptions{}, mOptions.mNow)
  , mConnector(mContext,
               ConnectorOptionsOf(mOptions),
               { mOptions.mNow,
                 [this](bool aAvoids) { OnAvoid(aAvoids); },
                 [this] { return EnginesToTry(); },
                 [this] { ++mCounters.mCarriedByPeers; },
                 [this](const AttemptTarget& aEngine, EngineSocket aSocket) {
                   mConnections.Put(aEngine.mEngine, std::move(aSocket), std::nullopt, 1);
                 } })
  , mEndings(
      &mConnector,
      mOptions.mNow,
      &mConnections,
      [this](const AttemptTarget& aEngine, const std::vector<BrokenOff>& aRequests) {
        OnEngineEnded(aEngine, aRequests);
      },
      [this](const AttemptTarget& aEngine, const std::vector<BrokenOff>& aRequests) {
        OnBrokenOffAlive(aEngine, aRequests);
      })
{
}

void
RelayCore::SetPlan(std::shared_ptr<const TrafficPlan> aPlan)
{
  if (mPlan) {
    ForgetReplacedStarts(mPlan->mStarts, aPlan->mStarts);
  }
  NoteConfiguration(*aPlan);
  const bool suspects = aPlan->mSuspects && (!mPlan || aPlan->mSuspects != mPlan->mSuspects);
  mPlan = std::move(aPlan);
  if (suspects) {
    ClearThoseThatRan(*mPlan->mSuspects);
  }
  mPlaces.SetPlan(mPlan);
  if (mConnector.SetPeers(mPlan->mProxyPeers)) {
    // One that stops waits until nothing is carried any more.
    mConnections.ForgetCarriedBy(
      [this](const std::string& aPeer) { return !aPeer.empty() && !mConnector.IsPeer(aPeer); });
  }
  for (auto& [service, budget] : mBudgets) {
    budget.SetOptions(BudgetOfThisNode());
  }
}

void
RelayCore::NoteConfiguration(const TrafficPlan& aPlan)
{
  mCounters.mConfigurationAsOf = aPlan.mConfigurationAsOf;
  const std::uint64_t version = aPlan.mRoutes ? aPlan.mRoutes->Version() : 0;
  if (version == mCounters.mConfigurationVersion) {
    return;
  }
  mCounters.mConfigurationVersion = version;
  const Duration took = Now() - aPlan.mConfigurationTaken;
  mCounters.mInForce.Observe(took);
  if (took > kSlowToForce) {
    Log("configuration_late",
        { { "version", std::to_string(version) },
          { "after_ms", std::to_string(ToMs(took).count()) } });
  }
}

void
RelayCore::ForgetReplacedStarts(const EngineStarts& aBefore, const EngineStarts& aNow)
{
  for (const auto& [engine, born] : aNow) {
    const auto known = aBefore.find(engine);
    if (known != aBefore.end() && known->second < born) {
      mBalancer.Forget(engine);
      mConnections.Forget(engine);
    }
  }
  for (const auto& [engine, born] : aBefore) {
    if (aNow.count(engine) == 0) {
      mConnector.Forget(engine);
    }
  }
}

void
RelayCore::Tune(const RelayTuning& aTuning)
{
  mOptions.mTuning = aTuning;
  mPlaces.SetBudget(aTuning.mRetryShare, aTuning.mRetrySlack);
  for (auto& [service, budget] : mBudgets) {
    budget.SetOptions(BudgetOfThisNode());
  }
}

RetryBudget::Options
RelayCore::BudgetOfThisNode() const
{
  const int nodes = mPlan ? std::max(1, mPlan->mNodes) : 1;
  return { mOptions.mTuning.mRetryShare, mOptions.mTuning.mRetrySlack / nodes };
}

RetryBudget&
RelayCore::BudgetOf(const std::string& aService)
{
  const auto it = mBudgets.find(aService);
  if (it != mBudgets.end()) {
    return it->second;
  }
  return mBudgets.emplace(aService, RetryBudget(BudgetOfThisNode())).first->second;
}

SuspectRequest
RelayCore::SuspectOf(const RequestKey& aKey) const
{
  if (!mPlan || !mPlan->mSuspects) {
    return {};
  }
  const auto it = mPlan->mSuspects->find(aKey);
  return it == mPlan->mSuspects->end() ? SuspectRequest{} : it->second;
}

void
RelayCore::OnRanWhole(const RequestKey& aKey)
{
  mRuns.OnRun(aKey, Now());
  if (SuspectOf(aKey).mScore > 0 && mHooks.mOnRanWhole) {
    mHooks.mOnRanWhole(aKey);
  }
}

void
RelayCore::ClearThoseThatRan(const SuspectRequests& aSuspects)
{
  for (const auto& [key, suspect] : aSuspects) {
    if (mRuns.HasRun(key, Now()) && mHooks.mOnRanWhole) {
      mHooks.mOnRanWhole(key);
    }
  }
}

void
RelayCore::OnEngineEnded(const AttemptTarget& aEngine, const std::vector<BrokenOff>& aRequests)
{
  ++mCounters.mEnginesEnded;
  const std::uint64_t start = EngineStartHash(aEngine.mEngine, aEngine.mBorn);
  const bool head = std::any_of(
    aRequests.begin(), aRequests.end(), [](const BrokenOff& aIt) { return aIt.mOfReplica; });
  if (head) {
    OnHeadGone(aEngine.mEngine, aRequests.front().mAt);
  }
  for (const auto& it : aRequests) {
    const bool ran = mRuns.HasRun(it.mKey, Now());
    Log("engine_ended",
        { { "engine", aEngine.mEngine },
          { "request", it.mRequest },
          { "key", ToString(it.mKey) },
          { "begun", it.mSuspicion == Suspicion::kBegun ? "true" : "false" },
          { "ran_before", ran ? "true" : "false" },
          { "age_ms", std::to_string(ToMs(Now() - it.mAt).count()) } });
    if (!ran && mHooks.mOnEngineEnded) {
      mHooks.mOnEngineEnded(it.mKey, { start, it.mSuspicion, it.mAt });
    }
  }
}

void
RelayCore::OnBrokenOffAlive(const AttemptTarget& aEngine, const std::vector<BrokenOff>& aRequests)
{
  const bool once =
    std::any_of(aRequests.begin(), aRequests.end(), [](const auto& aIt) { return aIt.mOnce; });
  if (once) {
    mBalancer.Failures().OnFailed(aEngine.mEngine, Now());
  }
}

void
RelayCore::OnHeadGone(const std::string& aHead, TimePoint aAsOf)
{
  if (mGoneHeads.OnRefused(aHead, aAsOf, Now()) && mHooks.mOnRefused) {
    mHooks.mOnRefused(aHead);
  }
}

void
RelayCore::OnLimit(const LimitNews& aNews)
{
  mCounters.mLimitedEngines = mBalancer.Limits().Limited();
  const EngineTarget* engine = mPlan ? FindEngine(*mPlan, aNews.mEngine) : nullptr;
  std::ostringstream perSecond;
  if (aNews.mPerSecond) {
    perSecond << *aNews.mPerSecond;
  }
  Log("engine_limit",
      { { "engine", engine != nullptr ? engine->mId : std::to_string(aNews.mEngine) },
        { "change", ToString(aNews.mChange) },
        { "per_second", perSecond.str() },
        { "age_ms", std::to_string(ToMs(aNews.mAge).count()) },
        { "from", aNews.mFrom.empty() ? "the engine" : aNews.mFrom } });
}

void
RelayCore::OnAvoid(bool aAvoids)
{
  std::string peers;
  for (const auto& it : mPlan && mPlan->mProxyPeers ? *mPlan->mProxyPeers : ProxyPeers{}) {
    peers += (peers.empty() ? "" : ",") + it.mNode;
  }
  Log(aAvoids ? "engines_unreached" : "engines_reached",
      { { "peers", peers },
        { "heard_any_ms_ago", std::to_string(ToMs(Now() - mConnector.HeardAt()).count()) },
        { "for_ms",
          aAvoids ? "" : std::to_string(ToMs(Now() - mConnector.AvoidsSince()).count()) } });
  if (aAvoids) {
    // They may be cut and show nothing; a request that is sent over one would be lost.
    mConnections.ForgetCarriedBy([](const std::string& aPeer) { return aPeer.empty(); });
  }
  if (mHooks.mOnReach) {
    mHooks.mOnReach(!aAvoids);
  }
}

void
RelayCore::OnHeard(const Attempt& aAttempt)
{
  mConnector.OnHeard(aAttempt.Target().mEngine, aAttempt.Peer());
  if (aAttempt.Peer().empty()) {
    mCounters.mEngineHeardAt = Now();
  }
}

std::vector<AttemptTarget>
RelayCore::EnginesToTry() const
{
  std::vector<AttemptTarget> engines;
  if (!mPlan) {
    return engines;
  }
  const auto add = [&engines](const EngineTarget& aEngine) {
    engines.push_back({ aEngine.mId, aEngine.mAddress, aEngine.mBorn, aEngine.mDataCentre });
  };
  for (const auto& [service, all] : mPlan->mEngines) {
    std::for_each(all.begin(), all.end(), add);
  }
  for (const auto& [service, replicas] : mPlan->mReplicas) {
    for (const auto& it : replicas) {
      add(it.mHead);
    }
  }
  return engines;
}

EngineLimits
RelayCore::Limits() const
{
  EngineLimits limits;
  for (const auto& it : mBalancer.Limits().Limits()) {
    limits[it.mEngine] = it.mPerSecond;
  }
  return limits;
}

void
RelayCore::Log(const char* aEvent, const std::map<std::string, std::string>& aFields) const
{
  if (mHooks.mLog) {
    mHooks.mLog(aEvent, aFields);
  }
}

namespace {

using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         asio::io_context::executor_type>;

/// Ticks between two looks at idle connections.
constexpr unsigned kSessionTicks = 10;

/// A thread that does its work this much too late has none to spare for other nodes' callers.
constexpr std::chrono::milliseconds kMostLag{ 20 };
constexpr int kLagWeight = 8; ///< ticks that the lag is averaged over

class RelayImpl : public Relay
{
public:
  RelayImpl(asio::io_context& aContext, RelayOptions aOptions, Dialect aDialect, RelayHooks aHooks)
    : mCore(aContext, std::move(aOptions), std::move(aDialect), std::move(aHooks))
    , mAcceptor(aContext)
    , mTimer(aContext)
  {
  }

  Result<void> Listen()
  {
    const auto endpoint = ParseEndpoint(mCore.mOptions.mCallers);
    if (!endpoint.has_value()) {
      return endpoint.error();
    }
    try {
      const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.value().mHost),
                                            static_cast<std::uint16_t>(endpoint.value().mPort));
      mAcceptor.open(address.protocol());
      mAcceptor.set_option(Acceptor::reuse_address(true));
      mAcceptor.bind(address);
      mAcceptor.listen(kBacklog);
    } catch (const boost::system::system_error& error) {
      return Error{
        Errc::kUnavailable, "relay.listen", mCore.mOptions.mCallers, error.code().message()
      };
    }
    mListeningSince = mCore.Now();
    Tick();
    return ListenForPeers();
  }

  /// Carry connections for nodes that reach no engine.
  Result<void> ListenForPeers()
  {
    if (mCore.mOptions.mTunnel.empty()) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    TunnelServerOptions options;
    options.mAddress = mCore.mOptions.mTunnel;
    options.mKey = mCore.mOptions.mTunnelKey;
    options.mNow = mCore.mOptions.mNow;
    TunnelServerHooks hooks;
    hooks.mAddressOf = [this](const std::string& aEngine) { return AddressOf(aEngine); };
    hooks.mWhyNot = [this] { return WhyCarriesNothing(); };
    hooks.mOnHeard = [this](const std::string& aEngine) { mCore.mConnector.OnHeard(aEngine, ""); };
    hooks.mFindSight =
      [this](const std::string& aEngine, TimePoint aSince, std::function<void(bool)> aDone) {
        mCore.mConnector.FindSight(aEngine, aSince, std::move(aDone));
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
    AcceptOnceKnown();
  }

  void Tune(const RelayTuning& aTuning) override { mCore.Tune(aTuning); }

  void OnDeskMessage(const std::string& aBytes) override { mCore.mPlaces.OnMessage(aBytes); }

  std::unordered_map<std::string, int> InFlight() const override { return mCore.mBalancer.Own(); }

  EngineLimits Limits() const override { return mCore.Limits(); }
  void OnCall(const std::string& aEngine) override { mCore.mPlaces.OnCall(aEngine); }

  const RelayCounters& Counters() const override { return mCore.mCounters; }
  const PlaceCounters& Places() const override { return mCore.mPlaces.Counters(); }

  void BeginStop(std::function<void()> aDone) override
  {
    if (mCore.mStopping) {
      return;
    }
    mCore.mStopping = true;
    mStopAt = mCore.Now();
    mStopped = std::move(aDone);
  }

private:
  static constexpr int kBacklog = 1024; // connections that wait to be taken up

  void AcceptOnceKnown()
  {
    const bool known = mCore.mPlan && mCore.mPlan->mComplete;
    const bool waited = mCore.Now() - mListeningSince >= mCore.mOptions.mWaitForPlan;
    if (!mAccepting && (known || waited)) {
      mAccepting = true;
      Accept();
    }
  }

  void Accept()
  {
    mAcceptor.async_accept([this](boost::system::error_code aError, Socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        const auto session = std::make_shared<Session>(&mCore, std::move(aSocket));
        mCore.mSessions.insert(session);
        session->Start();
      } else {
        mCore.Log("accept_failed", { { "detail", aError.message() } });
      }
      Accept();
    });
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
    if (mTickedAt != TimePoint{}) {
      const Duration late = std::max(Duration::zero(), now - mTickedAt - mCore.mOptions.mTick);
      mLag = (mLag * (kLagWeight - 1) + late) / kLagWeight;
    }
    mTickedAt = now;
    AcceptOnceKnown();
    for (const auto& it : mCore.mStalls.Suspects(now)) {
      mCore.mHooks.mOnSuspect(it, mCore.mStalls.Silence(it, now));
    }
    mCore.mPlaces.Tick();
    mCore.mConnector.Tick();
    mCore.mEndings.Tick();
    mSilence.Tick();
    if (mTunnels) {
      mTunnels->Tick();
    }
    // Copies, since an exchange that ends leaves the set.
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

  void TickStop(TimePoint aNow)
  {
    const Duration since = aNow - mStopAt;
    if (!mStopped || since < mCore.mOptions.mStopGrace) {
      return;
    }
    if (mAcceptor.is_open()) {
      // A balancer that has no better node would send connections until the end, and what comes
      // late could not be answered whole before the process is killed.
      boost::system::error_code ec;
      mAcceptor.close(ec);
      mCore.mTakesRequests = false;
    }
    const std::vector<std::shared_ptr<Session>> sessions(mCore.mSessions.begin(),
                                                         mCore.mSessions.end());
    for (const auto& it : sessions) {
      it->CloseWhenIdle();
    }
    const bool last = since >= mCore.mOptions.mTuning.mStopMost;
    if (last) {
      const std::vector<std::shared_ptr<Exchange>> exchanges(mCore.mExchanges.begin(),
                                                             mCore.mExchanges.end());
      for (const auto& it : exchanges) {
        it->GiveUp();
      }
    }
    const bool carries = mCore.mCounters.mTunnels.mOpen > 0;
    if ((mCore.mSessions.empty() && !carries) || last) {
      std::exchange(mStopped, nullptr)();
    }
  }

  /// @return why this node carries nothing more for others; empty: it does.
  std::string WhyCarriesNothing() const
  {
    if (mCore.mStopping) {
      return "stopping";
    }
    if (mCore.mConnector.Avoids()) {
      return "unreached"; // a second hop could go in circles
    }
    return mLag > kMostLag ? "late" : "";
  }

  RelayCore mCore;
  SilenceWatch mSilence{ &mCore };
  std::unique_ptr<TunnelServer> mTunnels;
  Duration mLag{ 0 }; ///< how late this thread is, averaged over some ticks
  TimePoint mTickedAt{};
  Acceptor mAcceptor;
  Timer mTimer;
  unsigned mTicks = 0;
  TimePoint mListeningSince{};
  bool mAccepting = false;
  TimePoint mStopAt{};
  std::function<void()> mStopped;
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
