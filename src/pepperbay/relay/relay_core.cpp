#include "relay_core.hpp"

#include "exchange.hpp"
#include "pepperbay/base/hash.hpp"
#include "pepperbay/routing/find_engine.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace pepperbay {

namespace {

/// A configuration version, or a change of registrations, that takes longer than this to reach the
/// traffic thread is logged.
constexpr std::chrono::milliseconds kSlowPlan{ 250 };
/// Registrations are old beyond this age: half of the shortest time that operators allow between an
/// engine's word that it leaves and its last request.
constexpr std::chrono::milliseconds kOldView{ 2000 };

BalancerOptions
BalancerOptionsOf(const RelayOptions& aOptions)
{
  BalancerOptions options;
  options.mDataCentre = aOptions.mDataCentre;
  options.mSeed = Hash64(aOptions.mNode);
  return options;
}

SlotAgentOptions
PlaceOptionsOf(const RelayOptions& aOptions)
{
  SlotAgentOptions options;
  options.mNode = aOptions.mNode;
  options.mIncarnation = aOptions.mIncarnation;
  options.mDataCentre = aOptions.mDataCentre;
  options.mAddress = aOptions.mAllocatorAddress;
  options.mRetryShare = aOptions.mTuning.mRetryShare;
  return options;
}

RetryLimits
RetryLimitsOf(const RelayTuning& aTuning)
{
  RetryLimits limits;
  limits.mShare = aTuning.mRetryShare;
  limits.mSlack = aTuning.mRetrySlack;
  return limits;
}

RetryAgentOptions
RetryOptionsOf(const RelayOptions& aOptions)
{
  RetryAgentOptions options;
  options.mNode = aOptions.mNode;
  options.mIncarnation = aOptions.mIncarnation;
  options.mAddress = aOptions.mAllocatorAddress;
  options.mLimits = RetryLimitsOf(aOptions.mTuning);
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

RelayCore::RelayCore(boost::asio::io_context& aContext,
                     RelayOptions aOptions,
                     Dialect aDialect,
                     RelayHooks aHooks)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mDialect(std::move(aDialect))
  , mHooks(std::move(aHooks))
  , mBalancer(BalancerOptionsOf(mOptions))
  , mPlaces(PlaceOptionsOf(mOptions),
            { mOptions.mNow,
              mHooks.mSendToAllocator,
              [this](const LimitUpdate& aNews) { OnLimit(aNews); },
              [this](const proto::PlaceMessage& aMessage) { mRetries.OnMessage(aMessage); } },
            &mBalancer)
  , mRetries(RetryOptionsOf(mOptions), { mOptions.mNow, mHooks.mSendToAllocator })
  , mConnections(ConnectionPoolOptions{}, mOptions.mNow)
  , mConnector(mContext,
               ConnectorOptionsOf(mOptions),
               { mOptions.mNow,
                 [this](bool aDown) { OnDirectPathChange(aDown); },
                 [this] { return EnginesToProbe(); },
                 [this] { ++mCounters.mTunnelledByPeers; },
                 [this](const AttemptTarget& aEngine, EngineSocket aSocket) {
                   mConnections.Put(aEngine.mEngine, std::move(aSocket), std::nullopt, 1);
                 } })
  , mExitProbe(
      &mConnector,
      mOptions.mNow,
      &mConnections,
      [this](const AttemptTarget& aEngine, const std::vector<InterruptedRequest>& aRequests) {
        OnEngineExited(aEngine, aRequests);
      },
      [this](const AttemptTarget& aEngine, const std::vector<InterruptedRequest>& aRequests) {
        OnInterruptedAlive(aEngine, aRequests);
      })
{
}

void
RelayCore::SetPlan(std::shared_ptr<const TrafficPlan> aPlan)
{
  if (mPlan) {
    ForgetStaleIncarnations(mPlan->mIncarnations, aPlan->mIncarnations);
  }
  NoteConfiguration(*aPlan);
  NoteEngines(*aPlan);
  const bool suspects = aPlan->mSuspects && (!mPlan || aPlan->mSuspects != mPlan->mSuspects);
  mPlan = std::move(aPlan);
  if (suspects) {
    ClearCompletedSuspects(*mPlan->mSuspects);
  }
  mPlaces.SetPlan(mPlan);
  if (mConnector.SetPeers(mPlan->mProxyPeers)) {
    // A peer that is stopping waits until its tunnels are closed, so idle ones must not be kept.
    mConnections.ForgetByPeer(
      [this](const std::string& aPeer) { return !aPeer.empty() && !mConnector.IsPeer(aPeer); });
  }
  const RetryBudgetOwnerPlan& keeper = mPlan->mRetryBudgetOwner;
  const RetryBudgetLease right =
    keeper.mOwn ? RetryBudgetLease{ keeper.mOwn->mSince, keeper.mOwn->mUntil } : RetryBudgetLease{};
  mRetries.SetFleet({ keeper.mAddress, right, mPlan->mListedNodes });
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
  if (took > kSlowPlan) {
    Log("configuration_late",
        { { "version", std::to_string(version) },
          { "after_ms", std::to_string(ToMs(took).count()) } });
  }
}

void
RelayCore::NoteEngines(const TrafficPlan& aPlan)
{
  if (aPlan.mEnginesTaken == mCounters.mEnginesTaken) {
    return;
  }
  mCounters.mEnginesTaken = aPlan.mEnginesTaken;
  const Duration took = Now() - aPlan.mEnginesTaken;
  mCounters.mEnginesInForce.Observe(took);
  if (took > kSlowPlan) {
    Log("engines_late", { { "after_ms", std::to_string(ToMs(took).count()) } });
  }
}

void
RelayCore::NoteViewAge(Duration aAge)
{
  mCounters.mViewAge.Observe(aAge);
  if (aAge > kOldView) {
    if (!mOldestView) {
      Log("engines_view_old", { { "age_ms", std::to_string(ToMs(aAge).count()) } });
    }
    mOldestView = std::max(mOldestView.value_or(aAge), aAge);
  } else if (mOldestView) {
    Log("engines_view_fresh", { { "oldest_ms", std::to_string(ToMs(*mOldestView).count()) } });
    mOldestView.reset();
  }
}

void
RelayCore::ForgetStaleIncarnations(const EngineIncarnations& aBefore,
                                   const EngineIncarnations& aNow)
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
      mBalancer.Unanswered().Forget(engine);
    }
  }
}

void
RelayCore::Tune(const RelayTuning& aTuning)
{
  mOptions.mTuning = aTuning;
  mPlaces.SetRetryShare(aTuning.mRetryShare);
  mRetries.SetLimits(RetryLimitsOf(aTuning));
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
RelayCore::OnRequestCompleted(const RequestKey& aKey)
{
  mRuns.OnCompletion(aKey, Now());
  ReportCompleted(aKey);
}

void
RelayCore::OnPartsCompleted(const std::vector<PromptPart>& aParts)
{
  for (const auto& it : aParts) {
    mPartRuns.OnCompletion(it.mKey, Now());
    ReportCompleted(it.mKey);
  }
}

void
RelayCore::ReportCompleted(const RequestKey& aKey)
{
  if (SuspectOf(aKey).mScore > 0 && mHooks.mOnSuspectCompleted) {
    mHooks.mOnSuspectCompleted(aKey);
  }
}

void
RelayCore::ClearCompletedSuspects(const SuspectRequests& aSuspects)
{
  for (const auto& [key, suspect] : aSuspects) {
    const bool ran = mRuns.HasCompleted(key, Now()) || mPartRuns.HasCompleted(key, Now());
    if (ran && mHooks.mOnSuspectCompleted) {
      mHooks.mOnSuspectCompleted(key);
    }
  }
}

void
RelayCore::OnEngineExited(const AttemptTarget& aEngine,
                          const std::vector<InterruptedRequest>& aRequests)
{
  ++mCounters.mEnginesExited;
  const std::uint64_t start = EngineIncarnationHash(aEngine.mEngine, aEngine.mBorn);
  const bool head = std::any_of(aRequests.begin(),
                                aRequests.end(),
                                [](const InterruptedRequest& aIt) { return aIt.mOfReplica; });
  if (head) {
    OnHeadNotListening(aEngine.mEngine, aRequests.front().mAt);
  }
  for (const auto& it : aRequests) {
    const bool ran = mRuns.HasCompleted(it.mKey, Now());
    Log("engine_ended",
        { { "engine", aEngine.mEngine },
          { "request", it.mRequest },
          { "key", ToString(it.mKey) },
          { "parts", ToString(it.mParts) },
          { "begun", it.mSuspicion == Suspicion::kBegun ? "true" : "false" },
          { "ran_before", ran ? "true" : "false" },
          { "age_ms", std::to_string(ToMs(Now() - it.mAt).count()) } });
    const EngineEnd end{ start, it.mSuspicion, it.mAt };
    ChargeExit(mRuns, it.mKey, end);
    for (const auto& part : it.mParts) {
      ChargeExit(mPartRuns, part.mKey, end);
    }
  }
}

void
RelayCore::ChargeExit(const RecentCompletions& aRuns, const RequestKey& aKey, const EngineEnd& aEnd)
{
  if (!aRuns.HasCompleted(aKey, Now()) && mHooks.mOnEngineExited) {
    mHooks.mOnEngineExited(aKey, aEnd);
  }
}

void
RelayCore::OnInterruptedAlive(const AttemptTarget& aEngine,
                              const std::vector<InterruptedRequest>& aRequests)
{
  const bool once = std::any_of(
    aRequests.begin(), aRequests.end(), [](const auto& aIt) { return aIt.mNonRepeatable; });
  if (once) {
    mBalancer.Failures().OnFailed(aEngine.mEngine, Now());
  }
}

void
RelayCore::OnHeadNotListening(const std::string& aHead, TimePoint aAsOf)
{
  if (mUnreachableHeads.OnRefused(aHead, aAsOf, Now()) && mHooks.mOnRefused) {
    mHooks.mOnRefused(aHead);
  }
}

void
RelayCore::OnLimit(const LimitUpdate& aNews)
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
RelayCore::OnDirectPathChange(bool aDown)
{
  std::string peers;
  for (const auto& it : mPlan && mPlan->mProxyPeers ? *mPlan->mProxyPeers : ProxyPeers{}) {
    peers += (peers.empty() ? "" : ",") + it.mNode;
  }
  Log(aDown ? "engines_unreached" : "engines_reached",
      { { "peers", peers },
        { "heard_any_ms_ago", std::to_string(ToMs(Now() - mConnector.HeardAt()).count()) },
        { "for_ms",
          aDown ? "" : std::to_string(ToMs(Now() - mConnector.DirectPathDownSince()).count()) } });
  if (aDown) {
    // Direct connections may be cut by the partition without showing it; a request that is sent
    // over one would be lost.
    mConnections.ForgetByPeer([](const std::string& aPeer) { return aPeer.empty(); });
  }
  if (mHooks.mOnReachability) {
    mHooks.mOnReachability(!aDown);
  }
}

void
RelayCore::OnHeard(const Attempt& aAttempt)
{
  mConnector.OnHeard(aAttempt.Target().mEngine, aAttempt.Peer());
  mBalancer.Unanswered().OnHeard(aAttempt.Target().mEngine);
  if (aAttempt.Peer().empty()) {
    mCounters.mEngineHeardAt = Now();
  }
}

std::vector<AttemptTarget>
RelayCore::EnginesToProbe() const
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

} // namespace pepperbay
