/// @file
/// @brief The state of a coordinator; its member functions are in files by topic.
#pragma once

#include "direct_read_backoff.hpp"
#include "engine_calls.hpp"
#include "engine_suspicions.hpp"
#include "freshness_tracker.hpp"
#include "log_feeds.hpp"
#include "log_reads.hpp"
#include "node_tree.hpp"
#include "outage_tracker.hpp"
#include "peer_table.hpp"
#include "pepperbay/admission/token_bucket.hpp"
#include "pepperbay/coordinator/coordinator.hpp"
#include "plan_builder.hpp"
#include "quarantine_manager.hpp"
#include "reachability_probes.hpp"
#include "round_pace.hpp"
#include "update_tracker.hpp"

namespace pepperbay {

/// @return the name of a log in log lines and dumps.
const char*
NameOf(FollowedLog aLog);

/// Why a node makes a call to one of the store's logs that it follows.
enum class StoreCallReason
{
  kReader, ///< it reads for others, or no other node reads for it
  kHolder, ///< it holds the lease and needs registrations at once
  kMissed, ///< records that its reader has announced have not arrived
  kStale,  ///< forwarded records are too old, or the call probes whether the store is back
  kList,   ///< a page of the list
  kLate,   ///< the call under way is not answered; it is repeated over a new connection
};

const char*
NameOf(StoreCallReason aReason);

struct Coordinator::Impl
{
  Impl(CoordinatorOptions aOptions, CoordinatorHooks aHooks);

  TimePoint Now() const { return mHooks.mNow(); }
  void Tick();
  void OnConfiguration(const KeyedRecord& aRecord);
  void OnEngine(const KeyedRecord& aRecord);
  void OnEngineList(const std::vector<KeyedRecord>& aRecords);
  /// Logs that a registration was removed, who told this node, and whether the engine is kept.
  void LogRemoval(const std::string& aEngine);
  void TakeEngine(EngineRecord aEngine);
  void OnReport(const EngineRecord& aEngine, const EngineReport& aReport);
  /// Handles a log that was restored from an older copy; its list is read again.
  void OnStoreRestored(FollowedLog aLog);
  void OnNode(const KeyedRecord& aRecord);
  void OnNodeList(const std::vector<KeyedRecord>& aRecords);
  void PutOwnRecord();
  void OnMessage(const std::string& aBytes);
  void OnBeat(const proto::PeerMessage& aMessage);
  void SendBeat();
  /// Builds the part of a heartbeat that is the same for all recipients.
  proto::Beat MakeBeat();
  void AddLoads(proto::Beat* aBeat);
  /// @return the limits of engines whose requests this node counts.
  EngineLimits CountedLimits();
  /// @return data centres with rate-limited engines whose requests this node should count.
  std::vector<std::string> WantedRateLeases();
  /// Requests the rate leases that this node needs.
  void AskRateLeases(proto::Beat* aBeat);
  /// As the lease holder, answers requests for rate leases.
  void OnRateLeasesAsked(const proto::PeerMessage& aMessage);
  void OnRateLeases(const proto::RateLeases& aGranted);
  /// Grants the lease holder its own rate leases, without a message.
  void GrantOwnRateLeases();
  /// Renews the retry lease, which the lease holder grants to itself.
  void RenewRetryLease();
  /// @return the owner of the retry budget, as far as this node knows.
  RetryBudgetOwnerPlan FindRetryBudgetOwner();
  /// @return limits reported by the nodes that count the requests to other data centres' engines.
  EngineLimits OthersLimits() const;
  /// @return these, and the limits that engines have reported to this node.
  EngineLimits AllLimits() const;
  /// @return whether a node needs the counts of requests that this one has assigned slots to.
  bool WantsLoads(const std::string& aNode) const;
  /// @return a message that names this node, without a body.
  proto::PeerMessage NewMessage() const;
  void SendTo(const std::string& aNode, const std::string& aBytes);
  /// Nodes that this one exchanges heartbeats with, by its own choice or theirs.
  std::set<std::string> Neighbours() const;
  void SendToNeighbours(const proto::PeerMessage& aMessage);
  /// Number of nodes that follow this one, including itself if it does.
  int Followers() const;
  /// Live nodes in front of this pool, as far as known; rather too many than too few.
  int LiveNodes() const;
  /// Reports to the lease holder what this node's streams and requests show of heads.
  void NotifyHolder(const proto::Suspicions& aSuspicions);
  void OnSuspicions(const proto::Suspicions& aSuspicions);
  /// Requests replica updates that are missing here from a node.
  void RequestUpdates(const std::string& aNode);
  void AnswerUpdateRequest(const proto::PeerMessage& aMessage);
  /// Applies updates of the lease holder and forwards them to the nodes that rely on this one.
  void OnUpdates(const proto::PeerMessage& aMessage);
  /// As the lease holder, sends its new updates to the delegates.
  void SendUpdates();
  /// @return when the configuration here was the newest, according to the store or a peer.
  TimePoint ConfigurationAsOf() const;
  /// @return when all records of a log were known here, according to the store or a peer.
  TimePoint LogAsOf(FollowedLog aLog);
  /// @return when the log of registrations last answered any node; the zero time: not known.
  TimePoint EnginesAnsweredAt();
  LogOffsets OwnOffsets() const;
  std::uint64_t ConfigurationVersion() const { return mRoutes ? mRoutes->Version() : 0; }
  /// @return whether to ask peers for freshness: another node reads, or the store has been silent
  /// for longer than a long poll takes.
  bool AsksFreshness() const;
  /// Sends a peer that asks and has an older configuration the one in force here.
  void ForwardConfiguration(const std::string& aAsker, const proto::Beat& aBeat);
  /// The directory's engines by the lower half of the hash of their ids.
  const std::unordered_map<std::uint32_t, std::string>& ShortIds();
  /// @return a listed engine, or a member of a replica, by the short hash of its id; empty for none
  std::string EngineOf(std::uint32_t aShortId);
  void OnSuspect(const std::string& aHead, Duration aSilence);
  void OnRefused(const std::string& aHead);
  /// Handles a report that a node's streams at a head have stalled.
  /// @param aSince time of the last event of the streams
  void OnSilentHead(const std::string& aHead, TimePoint aSince);
  void AskMembers(const std::string& aHead, std::optional<TimePoint> aSilentSince);
  /// @return a registered engine, or a member of a replica whose registration has lapsed.
  const EngineRecord* FindEngine(const std::string& aEngine) const;
  void OnEngineChange(const EngineRecord& aEngine, const EngineVerdict& aVerdict);
  void LogVerdict(const EngineRecord& aEngine, const EngineVerdict& aVerdict);
  // Paths to engines; see coordinator_reach.cpp.
  EngineSuspicionsHooks SuspicionsHooks();
  void SetReach(bool aReaches);
  /// @return whether this node's own connections are known not to reach the engines.
  bool IsUnreached() const { return mTrafficUnreached || mPaths.Avoids(); }
  /// @return whether a live peer reaches engines.
  bool HasReachingPeer() const;
  /// @return the options of a call to an engine: directly or through a peer.
  EngineCallOptions CallOptions(const std::string& aEngine,
                                const std::string& aDataCentre,
                                Duration aTimeout);
  ReachabilityProbesHooks ReachabilityHooks();
  /// @return an engine that is healthy as far as is known, of another domain if possible; null:
  /// none.
  const EngineRecord* PickProbeTarget(const EngineRecord& aNotThis);
  /// Probes whether direct connections reach engines again.
  void ProbePaths();
  /// Sends a direct status request, only to check whether this node reaches the engine.
  void ProbeReachability(const EngineRecord& aEngine, std::function<void(bool aAnswered)> aDone);
  /// Records whether a call through a peer worked.
  void NoteProxy(const EngineCallOptions& aOptions, bool aAnswered);
  /// Updates the peers that may be used for tunnels, if anything has changed.
  void UpdateProxies();
  void NoteUnreached(const proto::Beat& aBeat);
  /// Adds the nodes that reach no engine, for recipients without contact to these.
  void AddUnreached(bool aToFollower, proto::Beat* aBeat);
  void PlanPools();
  void PlanPool(const ServiceSpec& aService);
  void LogComposition(const std::vector<CompositionChange>& aChanges);
  /// @return requests of all nodes in flight at the head that the former holder named; see
  /// GroupView.
  int InFlightAtFormerHead(const std::string& aGroup, std::uint64_t aEpoch) const;
  void SendOrder(const GroupOrder& aOrder, const std::string& aService);
  /// Records changes of one pool's replicas as updates for the other nodes.
  void RecordUpdates(const GroupPlanner& aPlanner, Duration aFormTime);
  /// Drops replicas that no pool has any more.
  void DropRemovedReplicas();
  void QueryPlannedEngines(const GroupPlanner& aPlanner);
  void Publish();
  /// Rebuilds the suspect requests of the plan if the tracker has changed.
  void PublishSuspects();
  /// @return how many requests are quarantined now.
  std::uint64_t QuarantinedRequests() const;
  /// Fills the parts of a plan that change independently of the replicas.
  void FillPlan(TrafficPlan* aPlan);
  bool MayOrder() const;
  /// Leaves the lease to nodes with more CPU or with a direct path to engines.
  void PreferStronger();
  bool IsReady() const;
  /// @return whether configuration and registrations have both been read once.
  bool HasFullState() const { return mRoutes && mEngineFollower.HasList(); }
  std::unordered_map<std::string, int> OthersInFlight() const;
  /// Logs which node reads the store for this one, on a change.
  void LogReader();
  /// Follows the logs: by reads of the store, or by records that another node forwards.
  void FollowLogs();
  /// @return whether no other node reads the store for this one.
  bool ReadsForItself() const;
  void NoteStore();
  /// @return whether to read a log directly although another node reads it for this one: the
  /// forwarded records are too old, or the call probes whether the store is back.
  bool ReadsConfigurationDirectly();
  bool ReadsEnginesDirectly();
  void LogDirectRead(FollowedLog aLog, Duration aAge);
  /// Makes the call to a log that is due, if it may be made.
  void Ask(FollowedLog aLog, StoreCallReason aReason);
  StoreCallReason ReasonToRead() const;
  /// @return the hooks of the lease's log, with their calls counted.
  LogLeaseHooks CountedLease();
  /// @return whether calls to the store's logs have failed for a while.
  bool StoreLost() const;
  /// Nodes that rely on the records that this one forwards.
  std::vector<std::string> Dependants() const;
  KeyedFollower& FollowerOf(FollowedLog aLog);
  /// Forwards records to nodes that rely on this one.
  void ForwardRecords(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail);
  void ForwardBatch(const RecordBatch& aBatch);
  void SendBatch(const std::vector<std::string>& aNodes, const RecordBatch& aBatch);
  /// @param aFrom the node that forwards the records
  void ApplyFeed(const std::string& aFrom, const proto::LogFeed& aFeed);
  /// @return whether this node needs a log's list and waits for a peer that may have sent it only
  /// what has changed.
  bool AwaitsPeersRecords(FollowedLog aLog);
  /// Asks a peer for the records of a log that it has and this node does not, if there is one.
  void RequestRecords(FollowedLog aLog);
  /// @return a live peer that has records of a log which are missing here; empty: none is known.
  std::string PeerAhead(FollowedLog aLog);
  void AnswerRecordsRequest(const std::string& aNode, const proto::FeedRequest& aRequest);
  RecentRecords& RecentOf(FollowedLog aLog) { return mRecent[static_cast<std::size_t>(aLog)]; }
  KeyedFollowerEvents Events(FollowedLog aLog,
                             std::function<void(const std::vector<KeyedRecord>&)> aOnList,
                             std::function<void(const KeyedRecord&)> aOnRecord);
  /// Handles an answer of the log of registrations, before what it says.
  void OnEnginesAnswer();
  /// Handles another node's word that an outage of the store has ended.
  void OnOutageReported(const proto::PeerMessage& aMessage);
  /// Keeps the registrations that are missing since the end of an outage.
  /// @param aReporter the node that reports it; empty: this one
  void OnOutageEnded(const std::string& aReporter);
  /// A log was answered over a new connection only.
  void OnConnectionsReplaced(FollowedLog aLog, TimePoint aOpened, Duration aLate);
  std::string Dump();

  CoordinatorOptions mOptions;
  CoordinatorHooks mHooks;
  CoordinatorCounters mCounters;
  KeyedFollower mConfigFollower;
  KeyedFollower mEngineFollower;
  KeyedFollower mNodeFollower;
  LogLease mLease;
  EngineDirectory mDirectory;
  /// Keys of registrations that could not be decoded, with the logged reason; a key that is
  /// rewritten again and again is logged once per reason.
  std::map<std::string, std::string> mRefusedEntries;
  EngineCalls mCalls;
  WayBook mPaths; ///< of orders and status requests
  ProxyChoice mProxies;
  std::shared_ptr<const ProxyPeers> mProxyPeers;
  std::size_t mProxiesOf = 0;     ///< hash of the inputs that mProxyPeers was built from
  bool mTrafficUnreached = false; ///< connections for requests do not reach the engines
  bool mReportedUnreached = false;
  ReachabilityProbes mReachabilityProbes;
  std::size_t mNextProbe = 0;
  EngineSuspicions mEngineSuspicions;
  PeerTable mPeers;
  FreshnessTracker mFreshness;
  QuarantineManager mSuspects;
  NodeTree mTree;
  LogReads mReads;
  std::array<RecentRecords, kFollowedLogs> mRecent;
  std::array<BatchAssembler, kFollowedLogs> mAssemblers;
  std::array<TimePoint, kFollowedLogs> mRecordsRequestDue{};
  std::array<std::optional<TimePoint>, kFollowedLogs> mAwaitsRecordsSince{};
  TokenBucket mRecordsSent; ///< messages to nodes that asked for records
  std::string mFeeder;      ///< the node whose forwarded records are being applied; empty: none
  std::optional<TimePoint> mStoreLostSince;
  bool mReportedStoreLost = false; ///< as reported in the last heartbeats
  std::string mLoggedReader;       ///< the last reader that was logged
  OutageTracker mOutages;
  DirectReadBackoff mConfigurationBackoff;
  DirectReadBackoff mEnginesBackoff;
  TokenBucket mRepeats; ///< of late calls to the store; full again once one was of use
  std::shared_ptr<const RouteTable> mRoutes;
  std::string mConfiguration; ///< the text that mRoutes was built from, as the operator wrote it
  TimePoint mConfigurationTaken{};               ///< when this node received it
  std::map<std::string, GroupPlanner> mPlanners; ///< by service
  RoundPace mPlanPace;
  UpdateTracker mUpdates;
  /// The former holder's updates, until this one has planned once: its first round finds most
  /// replicas unchanged, and logs only differences.
  std::map<std::string, proto::ReplicaNews> mFormerUpdates;
  /// The same, for the whole term: only these name heads that are no longer registered.
  std::map<std::string, proto::ReplicaNews> mFormerHeads;
  std::uint64_t mLastSentChange = 0; ///< the last change that was sent
  TimePoint mUpdateRequestDue{};
  std::unordered_map<std::string, int> mInFlight;
  EngineLimits mLimits; ///< as reported to this node
  RateLeaseTable mGrantedRateLeases;
  HeldRateLeases mRateLeases;
  RateLeaseTable mGrantedRetryLeases; ///< granted to this node itself, while it holds the lease
  HeldRateLeases mRetryLeases;
  std::map<std::string, proto::RateLeases> mRateLeaseAnswers; ///< to be sent, by node
  /// Heads whose streams have stalled, when last reported.
  std::map<std::string, TimePoint> mSilentHeads;
  std::map<std::string, TimePoint> mHeadsAsked; ///< heads whose members were just probed
  std::unordered_map<std::uint32_t, std::string> mShortIds; ///< of the directory's engines
  std::uint64_t mShortIdsOf = 0; ///< revision of the directory that they were built from
  std::uint64_t mPlannedFence = 0;
  std::uint64_t mPublishedRevision = 0;
  /// When the earliest change of registrations that is not published yet was received.
  std::optional<TimePoint> mEnginesTaken;
  std::uint64_t mPublishedSuspects = 0; ///< revision of the tracker that the plan was built from
  /// The same for quarantined requests, which are published at once.
  std::uint64_t mPublishedQuarantine = 0;
  std::shared_ptr<const SuspectRequests> mSuspectRequests; ///< as in the plan
  std::shared_ptr<const TrafficPlan> mPlan;                ///< the last published plan
  bool mChanged = true;
  bool mTraffic = false;
  bool mStopping = false;
  bool mRecordWritten = false;
  bool mRecordPending = false;
  TimePoint mHeartbeatDue{};
  TimePoint mYieldDue{};
  TimePoint mPublishDue{};
  TimePoint mLastBuild{}; ///< when the replicas were last built
  TimePoint mEngineReadDue{};
};

} // namespace pepperbay
