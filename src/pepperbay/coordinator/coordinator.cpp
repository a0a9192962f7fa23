#include "pepperbay/coordinator/coordinator.hpp"

#include "coordinator_impl.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// Interval of plans without other changes. Counts of requests that other allocators have assigned
/// slots to arrive with their heartbeats; this is half of that interval. Nodes that allocate no
/// slots for others need only the time up to which keys are trusted, which advances by seconds.
constexpr std::chrono::milliseconds kPublishEvery{ 100 };
constexpr std::chrono::milliseconds kFollowerPublishEvery{ 400 };
/// Shortest time between two builds of the replicas: one takes half a millisecond in front of 875
/// engines, and while a pool forms every round changes something.
constexpr std::chrono::milliseconds kBuildEvery{ 40 };
/// Upper limit of the addition to a challenger's wait, which differs by node, so that not all claim
/// a free lease at once.
constexpr std::chrono::milliseconds kMaxStagger{ 120 };
/// Updates of a holder that has been silent for this long are not used: the holder may be gone and
/// newer registrations may differ.
constexpr std::chrono::seconds kUpdateLifetime{ 3 };

/// Repetitions of late calls to the store that were of no use. If the store is slow because many
/// nodes ask it, repetitions by all of them make it slower.
constexpr TokenBucket::Options kUselessRepeats{ 0.05, 2 };

/// Messages of up to 56 kB to nodes that ask for records, per second and at once. A node whose link
/// is full of them loses its heartbeats, and other nodes then choose another reader.
constexpr TokenBucket::Options kRecordsForAskers{ 20, 120 };

Duration
StaggerOf(const CoordinatorOptions& aOptions)
{
  return kMaxStagger * static_cast<int>(Hash64(aOptions.mNode) % kMaxStagger.count()) /
         static_cast<int>(kMaxStagger.count());
}

/// @param aBetween pause between two reads that the caller adds
KeyedFollowerOptions
LongPollOptions(Duration aWait, Duration aPause, Duration aBetween = Duration::zero())
{
  /// A slow store still answers within this.
  constexpr std::chrono::milliseconds kSlowStoreMargin{ 300 };
  KeyedFollowerOptions options;
  options.mWait = aWait;
  options.mPause = aPause;
  options.mMostGap = aWait + aBetween + kSlowStoreMargin;
  return options;
}

EngineSuspicionsOptions
SuspicionsOptionsOf(const CoordinatorOptions& aOptions)
{
  EngineSuspicionsOptions options;
  options.mAskTimeout = aOptions.mAskTimeout;
  options.mAskAgain = aOptions.mAskAgain;
  options.mMaxPause = aOptions.mPlanner.mMaxPause;
  options.mAskState = aOptions.mAskState;
  return options;
}

LeaseOptions
LeaseOptionsOf(const CoordinatorOptions& aOptions)
{
  LeaseOptions options;
  options.mScope = "pool";
  options.mHolder = aOptions.mNode;
  options.mIncarnation = aOptions.mIncarnation;
  options.mLength = aOptions.mLease;
  options.mStagger = StaggerOf(aOptions);
  return options;
}

/// Nodes let a briefly quarantined request through one after the other.
constexpr std::chrono::milliseconds kMaxQuarantineSpread{ 2000 };

QuarantineManagerOptions
QuarantineOptionsOf(const CoordinatorOptions& aOptions)
{
  QuarantineManagerOptions options;
  options.mNode = aOptions.mNode;
  const auto part =
    Hash64(aOptions.mNode) % static_cast<std::uint64_t>(kMaxQuarantineSpread.count());
  options.mCrashes.mSpread = std::chrono::milliseconds(part);
  return options;
}

} // namespace

const char*
NameOf(FollowedLog aLog)
{
  switch (aLog) {
    case FollowedLog::kConfiguration:
      return "configuration";
    case FollowedLog::kEngines:
      return "engines";
    case FollowedLog::kNodes:
      return "nodes";
  }
  return "unknown";
}

const char*
NameOf(StoreCallReason aReason)
{
  switch (aReason) {
    case StoreCallReason::kReader:
      return "reader";
    case StoreCallReason::kHolder:
      return "holder";
    case StoreCallReason::kMissed:
      return "missed";
    case StoreCallReason::kStale:
      return "doubt";
    case StoreCallReason::kList:
      return "list";
    case StoreCallReason::kLate:
      return "late";
  }
  return "unknown";
}

Coordinator::Impl::Impl(CoordinatorOptions aOptions, CoordinatorHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mConfigFollower(LongPollOptions(mOptions.mConfigWait, std::chrono::milliseconds(50)),
                    mHooks.mConfigLog,
                    Events(
                      FollowedLog::kConfiguration,
                      [this](const auto& aList) {
                        for (const auto& it : aList) {
                          OnConfiguration(it);
                        }
                      },
                      [this](const KeyedRecord& aRecord) { OnConfiguration(aRecord); }),
                    mHooks.mNow)
  , mEngineFollower(LongPollOptions(mOptions.mEngineWait, Duration::zero(), mOptions.mReaderPause),
                    mHooks.mEngineLog,
                    Events(
                      FollowedLog::kEngines,
                      [this](const auto& aList) { OnEngineList(aList); },
                      [this](const KeyedRecord& aRecord) { OnEngine(aRecord); }),
                    mHooks.mNow)
  , mNodeFollower(KeyedFollowerOptions{ mOptions.mNodeWait, mOptions.mNodePause },
                  mHooks.mNodeLog,
                  Events(
                    FollowedLog::kNodes,
                    [this](const auto& aList) { OnNodeList(aList); },
                    [this](const KeyedRecord& aRecord) { OnNode(aRecord); }),
                  mHooks.mNow)
  , mLease(LeaseOptionsOf(mOptions), CountedLease(), mHooks.mNow)
  , mCalls({}, { mHooks.mNow, mHooks.mOrder, mHooks.mAsk })
  , mProxies(ProxyChoiceOptionsOf(mOptions.mNode, mOptions.mDataCentre))
  , mReachabilityProbes(ReachabilityHooks())
  , mEngineSuspicions(SuspicionsOptionsOf(mOptions), SuspicionsHooks())
  , mPeers(mOptions.mNode, mOptions.mPeerSilence)
  , mFreshness(mOptions.mNode, mOptions.mIncarnation)
  , mSuspects(QuarantineOptionsOf(mOptions),
              { mHooks.mNow,
                [this](const std::string& aKey,
                       const std::string& aValue,
                       std::function<void(Result<void>)> aDone) {
                  ++mCounters.mStoreCalls["nodes_put"];
                  mHooks.mPutNode(aKey, aValue, std::move(aDone));
                },
                [this](const proto::SuspectNews& aUpdate) {
                  proto::PeerMessage message = NewMessage();
                  *message.mutable_suspects() = aUpdate;
                  SendToNeighbours(message);
                },
                mHooks.mLog })
  , mTree({ mOptions.mNode, mOptions.mDataCentre, mOptions.mCpuPermille })
  , mRecordsSent(kRecordsForAskers, mHooks.mNow())
  , mConfigurationBackoff(mOptions.mMinDirectReadPause, mOptions.mMaxOutageProbePause)
  , mEnginesBackoff(mOptions.mMinDirectReadPause, mOptions.mMaxOutageProbePause)
  , mRepeats(kUselessRepeats, mHooks.mNow())
  , mGrantedRateLeases(mOptions.mRateLeases)
  , mGrantedRetryLeases(mOptions.mRateLeases)
{
  mRepeats.Fill(Now());
  mRecordsSent.Fill(Now());
}

LogLeaseHooks
Coordinator::Impl::CountedLease()
{
  LogLeaseHooks hooks;
  hooks.mAppend = [this](std::uint64_t aEnd, const std::string& aRecord, auto aDone) {
    ++mCounters.mStoreCalls["lease_append"];
    mHooks.mLeaseLog.mAppend(aEnd, aRecord, std::move(aDone));
  };
  hooks.mRead = [this](std::uint64_t aFrom, auto aDone) {
    ++mCounters.mStoreCalls["lease_read"];
    mHooks.mLeaseLog.mRead(aFrom, std::move(aDone));
  };
  return hooks;
}

KeyedFollowerEvents
Coordinator::Impl::Events(FollowedLog aLog,
                          std::function<void(const std::vector<KeyedRecord>&)> aOnList,
                          std::function<void(const KeyedRecord&)> aOnRecord)
{
  const char* const name = NameOf(aLog);
  KeyedFollowerEvents events;
  events.mOnTail = [this, aLog](std::uint64_t aFrom, const KeyedTail& aTail) {
    ForwardRecords(aLog, aFrom, aTail);
  };
  events.mOnList = std::move(aOnList);
  events.mOnRecord = std::move(aOnRecord);
  if (aLog == FollowedLog::kEngines) {
    events.mOnAnswer = [this] { OnEnginesAnswer(); };
  }
  events.mOnBack = [this, name] { mHooks.mLog("store_back", { { "log", name } }); };
  events.mOnRestored = [this, name, aLog](const Error& aError) {
    mHooks.mLog("store_restored", { { "log", name }, { "error", ToString(aError) } });
    OnStoreRestored(aLog);
  };
  events.mOnFailure = [this] { mOutages.OnFailed(Now()); };
  events.mOnReplaced = [this, aLog](TimePoint aOpened, Duration aLate) {
    OnConnectionsReplaced(aLog, aOpened, aLate);
  };
  events.mMayRepeat = [this] { return mRepeats.Level(Now()) >= 1.0; };
  events.mOnLost = [this, name](const Error& aError) {
    mHooks.mLog("store_lost", { { "log", name }, { "error", ToString(aError) } });
  };
  return events;
}

void
Coordinator::Impl::OnStoreRestored(FollowedLog aLog)
{
  ++mCounters.mStoreRestored;
  switch (aLog) {
    case FollowedLog::kConfiguration:
      return; // a running process never returns to an older version
    case FollowedLog::kEngines:
      mDirectory.OnStoreRestored(Now());
      return;
    case FollowedLog::kNodes:
      mRecordWritten = false; // it may be gone, and nodes that start would not learn of this one
      return;
  }
}

void
Coordinator::Impl::OnConfiguration(const KeyedRecord& aRecord)
{
  if (aRecord.mKey != mHooks.mConfigKey || !aRecord.mValue) {
    return;
  }
  auto configuration = mHooks.mDecodeConfiguration(*aRecord.mValue);
  if (!configuration.has_value()) {
    ++mCounters.mBadConfigurations;
    mHooks.mLog("configuration_refused", { { "error", ToString(configuration.error()) } });
    return;
  }
  // A running process never returns to an older version, which may come from an outdated read.
  if (mRoutes && configuration.value().mVersion <= mRoutes->Version()) {
    return;
  }
  const std::uint64_t version = configuration.value().mVersion;
  const std::size_t routes = configuration.value().mRoutes.size();
  mRoutes = std::make_shared<RouteTable>(std::move(configuration.value()));
  mConfiguration = *aRecord.mValue;
  mConfigurationTaken = Now();
  mChanged = true;
  mHooks.mLog("configuration",
              { { "version", std::to_string(version) }, { "routes", std::to_string(routes) } });
}

void
Coordinator::Impl::Tick()
{
  const TimePoint now = Now();
  if (now >= mHeartbeatDue) {
    PutOwnRecord();
  }
  mTree.Tick(
    mPeers, { StoreLost(), mStopping, mLease.Newest().holder(), mLease.LastIsMine() }, now);
  FollowLogs();
  const bool candidate = mTree.IsCandidate() && mNodeFollower.HasList();
  if (!mStopping && (candidate || mLease.LastIsMine())) {
    // If all nodes claimed an expired lease at once, that would be as many calls to the store,
    // repeated every few hundred milliseconds while it is down.
    PreferStronger();
    mLease.Tick();
  }
  mOutages.OnAnswered(EnginesAnsweredAt());
  mDirectory.Tick(now);
  UpdateProxies();
  if (MayOrder()) {
    ProbePaths();
    mEngineSuspicions.Tick([this](const std::string& aEngine) { return FindEngine(aEngine); });
  }
  PlanPools();
  mSuspects.Tick(mLease.Held());
  if (now >= mHeartbeatDue) {
    SendBeat();
  }
  Publish();
}

void
Coordinator::Impl::PreferStronger()
{
  const TimePoint now = Now();
  const bool weaker = mPeers.HasStronger(mOptions.mCpuPermille, now);
  // A node without a direct path can send orders through peers, only slower, so it keeps a lease
  // that it holds.
  const bool waits = weaker || (IsUnreached() && HasReachingPeer());
  mLease.SetStagger(StaggerOf(mOptions) + (waits ? mOptions.mWeakerNodeDelay : Duration::zero()));
  if (weaker && mLease.Held() && now >= mYieldDue) {
    mYieldDue = now + mOptions.mYieldInterval;
    mLease.Yield();
    mHeartbeatDue = now; // the others wait less once they know
    mHooks.mLog("lease_yielded", { { "cpu_permille", std::to_string(mOptions.mCpuPermille) } });
  }
}

bool
Coordinator::Impl::IsReady() const
{
  return !mStopping && HasFullState();
}

void
Coordinator::Impl::FillPlan(TrafficPlan* aPlan)
{
  aPlan->mOthersInFlight = OthersInFlight();
  aPlan->mProxyPeers = mProxyPeers;
  aPlan->mUpdate = { mUpdates.Fence(), mUpdates.Change(), mUpdates.AsOf() };
  aPlan->mEnginesAsOf = LogAsOf(FollowedLog::kEngines);
  aPlan->mConfigurationAsOf = ConfigurationAsOf();
  aPlan->mConfigurationTaken = mConfigurationTaken;
  aPlan->mKeysValidUntil = ConfigurationAsOf() + mOptions.mBounds.mKeysTrusted;
  aPlan->mMissesValidUntil = ConfigurationAsOf() + mOptions.mBounds.mMissesTrusted;
  aPlan->mSuspects = mSuspectRequests;
  aPlan->mNodes = LiveNodes();
  aPlan->mIsAllocator = mTree.FollowsItself();
  aPlan->mAllocators.clear();
  const auto allocatorOf = [this](const std::string& aNode) {
    const KnownPeer* peer = mPeers.Find(aNode);
    return AllocatorAddress{ aNode, peer == nullptr ? std::string() : peer->mAllocatorAddress };
  };
  for (const auto& it : mTree.Delegates()) {
    aPlan->mAllocators.push_back(allocatorOf(it));
  }
  aPlan->mAllocatorsOf.clear();
  for (const auto& [scope, delegates] : mTree.OtherDelegates()) {
    if (!delegates.empty()) {
      aPlan->mAllocatorsOf[scope] = allocatorOf(delegates.front());
    }
  }
  aPlan->mListedNodes = std::max(LiveNodes(), static_cast<int>(mPeers.Peers().size()) + 1);
  aPlan->mRateLeases = mRateLeases.Current(Now());
  aPlan->mOthersLimits = OthersLimits();
  aPlan->mRetryBudgetOwner = FindRetryBudgetOwner();
}

void
Coordinator::Impl::Publish()
{
  const TimePoint now = Now();
  const bool changed = mChanged || mDirectory.Revision() != mPublishedRevision;
  const bool build = changed && now - mLastBuild >= kBuildEvery;
  const bool suspects = mSuspects.QuarantineRevision() != mPublishedQuarantine;
  if (!build && !suspects && mPlan && now < mPublishDue) {
    return;
  }
  PublishSuspects();
  mPublishDue = now + (mTree.IsInUpperTier() ? kPublishEvery : kFollowerPublishEvery);
  if (!build && mPlan) {
    auto plan = std::make_shared<TrafficPlan>(*mPlan);
    FillPlan(plan.get());
    mPlan = std::move(plan);
    mHooks.mPublish(mPlan);
    return;
  }
  mChanged = false;
  mPublishedRevision = mDirectory.Revision();
  mLastBuild = now;
  static const std::map<std::string, proto::ReplicaNews> kNoUpdates;
  PlanSources sources;
  sources.mComplete = HasFullState();
  sources.mRoutes = mRoutes;
  sources.mEngines = &mDirectory.Engines();
  sources.mDepartures = &mDirectory.Departures();
  sources.mUpdates = now - mUpdates.AsOf() < kUpdateLifetime ? &mUpdates.Replicas() : &kNoUpdates;
  sources.mLost = [this](const std::string& aEngine) { return mEngineSuspicions.IsLost(aEngine); };
  auto plan = BuildPlan(sources);
  FillPlan(plan.get());
  plan->mEnginesTaken = std::exchange(mEnginesTaken, std::nullopt).value_or(now);
  mPlan = std::move(plan);
  mHooks.mPublish(mPlan);
}

void
Coordinator::Impl::PublishSuspects()
{
  const CrashTracker& crashes = mSuspects.Crashes();
  mPublishedQuarantine = mSuspects.QuarantineRevision();
  if (mSuspectRequests && crashes.Revision() == mPublishedSuspects) {
    return;
  }
  mPublishedSuspects = crashes.Revision();
  mSuspectRequests = std::make_shared<SuspectRequests>(crashes.Suspects());
}

std::uint64_t
Coordinator::Impl::QuarantinedRequests() const
{
  if (!mSuspectRequests) {
    return 0;
  }
  const TimePoint now = Now();
  return static_cast<std::uint64_t>(
    std::count_if(mSuspectRequests->begin(), mSuspectRequests->end(), [now](const auto& aIt) {
      return aIt.second.mQuarantinedUntil > now;
    }));
}

Coordinator::Coordinator(CoordinatorOptions aOptions, CoordinatorHooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aHooks)))
{
}

Coordinator::~Coordinator() = default;

void
Coordinator::Tick()
{
  mImpl->Tick();
}

void
Coordinator::OnMessage(const std::string& aBytes)
{
  mImpl->OnMessage(aBytes);
}

void
Coordinator::OnSuspect(const std::string& aHead, Duration aSilence)
{
  mImpl->OnSuspect(aHead, aSilence);
}

void
Coordinator::OnRefused(const std::string& aHead)
{
  mImpl->OnRefused(aHead);
}

void
Coordinator::SetReach(bool aReaches)
{
  mImpl->SetReach(aReaches);
}

void
Coordinator::OnEngineEnded(const RequestKey& aRequest, const EngineEnd& aEnd)
{
  mImpl->mSuspects.OnEnd(aRequest, aEnd);
}

void
Coordinator::OnRanToCompletion(const RequestKey& aRequest)
{
  mImpl->mSuspects.OnRanToCompletion(aRequest);
}

bool
Coordinator::Lift(const RequestKey& aRequest)
{
  return mImpl->mSuspects.Lift(aRequest);
}

void
Coordinator::SetInFlight(std::unordered_map<std::string, int> aInFlight, bool aTraffic)
{
  mImpl->mInFlight = std::move(aInFlight);
  mImpl->mTraffic = mImpl->mTraffic || aTraffic;
}

void
Coordinator::SetLimits(EngineLimits aLimits)
{
  mImpl->mLimits = std::move(aLimits);
}

void
Coordinator::BeginStop()
{
  mImpl->mStopping = true;
  mImpl->mLease.Release();
  mImpl->mHeartbeatDue = mImpl->Now();
}

void
Coordinator::SetBounds(const CoordinatorBounds& aBounds)
{
  mImpl->mOptions.mBounds = aBounds;
}

bool
Coordinator::IsReady() const
{
  return mImpl->IsReady();
}

bool
Coordinator::HoldsLease() const
{
  return mImpl->mLease.Held();
}

const CoordinatorCounters&
Coordinator::Counters() const
{
  mImpl->mCounters.mAsks = mImpl->mEngineSuspicions.Asked();
  mImpl->mCounters.mUndecided = mImpl->mEngineSuspicions.Undecided();
  mImpl->mCounters.mSuspectRequests = mImpl->mSuspects.Crashes().Size();
  mImpl->mCounters.mQuarantinedRequests = mImpl->QuarantinedRequests();
  mImpl->mCounters.mBadSuspects = mImpl->mSuspects.BadRecords();
  return mImpl->mCounters;
}

std::string
Coordinator::Dump() const
{
  return mImpl->Dump();
}

} // namespace pepperbay
