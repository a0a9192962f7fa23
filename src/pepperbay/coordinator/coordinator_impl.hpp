/// @file
/// @brief The state of a coordinator; its parts are in files by what they do.
#pragma once

#include "engine_calls.hpp"
#include "engine_doubts.hpp"
#include "freshness_book.hpp"
#include "log_reads.hpp"
#include "look_pause.hpp"
#include "news_book.hpp"
#include "node_tree.hpp"
#include "peer_book.hpp"
#include "pepperbay/coordinator/coordinator.hpp"
#include "plan_builder.hpp"
#include "round_pace.hpp"
#include "sight_looks.hpp"
#include "suspect_keeper.hpp"

namespace pepperbay {

/// @return the name of a log in lines and dumps.
const char*
NameOf(FollowedLog aLog);

/// Why a node makes a call to one of the store's logs that it follows.
enum class StoreCallReason
{
  kReader, ///< it reads for others, or nobody reads for it
  kHolder, ///< it holds the lease and needs registrations at once
  kMissed, ///< records that its reader has told of have not come
  kDoubt,  ///< what it is told is too old, or the store has to show that it is back
  kList,   ///< a page of the list
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
  void TakeEngine(EngineRecord aEngine);
  void OnReport(const EngineRecord& aEngine, const EngineReport& aReport);
  /// A log has come back from an older copy; its list is read again.
  void OnStoreRestored(FollowedLog aLog);
  void OnNode(const KeyedRecord& aRecord);
  void OnNodeList(const std::vector<KeyedRecord>& aRecords);
  void PutOwnRecord();
  void OnMessage(const std::string& aBytes);
  void OnBeat(const proto::PeerMessage& aMessage);
  void SendBeat();
  /// What is the same for all who get this heartbeat.
  proto::Beat MakeBeat();
  void AddLoads(proto::Beat* aBeat);
  /// @return the limits of engines whose requests this node counts.
  EngineLimits CountedLimits();
  /// Data centres whose engines with a limit this node should count requests for.
  std::vector<std::string> WantedRateLeases();
  /// Ask for the right to count, where this node needs it.
  void AskRateLeases(proto::Beat* aBeat);
  /// As the holder of the lease, answer who asks.
  void OnRateLeasesAsked(const proto::PeerMessage& aMessage);
  void OnRateLeases(const proto::RateLeases& aGiven);
  /// The holder of the lease needs no message to itself.
  void GiveOwnRateLeases();
  /// The holder of the lease keeps the budget of second attempts.
  void RenewRetryRight();
  /// @return who keeps it, as far as this node knows.
  RetryBudgetOwnerPlan RetryKeeper();
  /// @return limits that nodes tell who count the requests of other data centres' engines.
  EngineLimits OthersLimits() const;
  /// @return these, and those that this node has been told itself.
  EngineLimits AllLimits() const;
  /// @return whether a node needs to know how many requests this one has found places for.
  bool WantsLoads(const std::string& aNode) const;
  /// A message that names this node, without a body.
  proto::PeerMessage NewMessage() const;
  void SendTo(const std::string& aNode, const std::string& aBytes);
  /// Nodes that this one exchanges heartbeats with, by its own choice or theirs.
  std::set<std::string> Neighbours() const;
  void SendToNeighbours(const proto::PeerMessage& aMessage);
  /// Nodes that rely on this one, itself included where it does.
  int Followers() const;
  /// Nodes before this pool, as far as known; more rather than fewer.
  int NodesAtWork() const;
  /// Tell the holder of the lease what this node's streams and requests show of heads.
  void TellHolder(const proto::Suspicions& aSuspicions);
  void OnSuspicions(const proto::Suspicions& aSuspicions);
  /// Ask a node for the news of replicas that are missing here.
  void AskNews(const std::string& aNode);
  void AnswerNewsRequest(const proto::PeerMessage& aMessage);
  /// Take news of the holder and pass them on to the nodes that rely on this one.
  void OnNews(const proto::PeerMessage& aMessage);
  /// The holder's own changes, to the delegates.
  void TellNewsChanges();
  /// @return when the configuration was the newest, by the store or by a peer.
  TimePoint ConfigurationAsOf() const;
  /// @return when all that was in a log was known, by the store or by a peer.
  TimePoint LogAsOf(FollowedLog aLog);
  LogOffsets OwnOffsets() const;
  std::uint64_t ConfigurationVersion() const { return mRoutes ? mRoutes->Version() : 0; }
  /// @return whether peers are asked: another reads, or the store has been silent for longer than a
  /// held read takes.
  bool AsksFreshness() const;
  /// Give a peer that asks and has an older configuration the one in force here.
  void PassConfiguration(const std::string& aAsker, const proto::Beat& aBeat);
  /// The directory's engines by the lower half of the hash of their ids.
  const std::unordered_map<std::uint32_t, std::string>& ShortIds();
  /// @return a listed engine, or a member of a replica, by the short hash of its id; empty for none
  std::string EngineOf(std::uint32_t aShortId);
  void OnSuspect(const std::string& aHead, Duration aSilence);
  void OnRefused(const std::string& aHead);
  /// A node's streams at a head stand still.
  /// @param aSince when nothing has come of it
  void OnSilentHead(const std::string& aHead, TimePoint aSince);
  void AskMembers(const std::string& aHead, std::optional<TimePoint> aSilentSince);
  /// @return a registered engine, or a member of a replica whose registration has lapsed.
  const EngineRecord* FindEngine(const std::string& aEngine) const;
  void OnEngineChange(const EngineRecord& aEngine, const EngineVerdict& aVerdict);
  void LogVerdict(const EngineRecord& aEngine, const EngineVerdict& aVerdict);
  // Ways to engines; see coordinator_reach.cpp.
  EngineDoubtsHooks DoubtsHooks();
  void SetReach(bool aReaches);
  /// @return whether this node's own connections are known not to reach the engines.
  bool IsUnreached() const { return mTrafficUnreached || mWays.Avoids(); }
  /// @return whether a peer is heard that reaches engines.
  bool HearsReached() const;
  /// How a call goes to an engine.
  EngineCallOptions CallOptions(const std::string& aEngine,
                                const std::string& aDataCentre,
                                Duration aTimeout);
  SightLooksHooks LooksHooks();
  /// @return an engine that is well as far as is known, of another domain where there is one; null
  /// for none.
  const EngineRecord* PickForSight(const EngineRecord& aNotThis);
  /// Try whether own connections reach engines again.
  void ProbeWays();
  /// Ask an engine directly, only to see whether this node reaches it.
  void AskForSight(const EngineRecord& aEngine, std::function<void(bool aAnswered)> aDone);
  /// Note what a question through a peer says of the peer.
  void NoteProxy(const EngineCallOptions& aOptions, bool aHeard);
  /// Put the peers together that may be asked, where anything has changed.
  void UpdateProxies();
  void NoteUnreached(const proto::Beat& aBeat);
  /// Tell nodes that do not hear them which others reach no engine.
  void AddUnreached(bool aToFollower, proto::Beat* aBeat);
  void PlanPools();
  void PlanPool(const ServiceSpec& aService);
  void LogComposition(const std::vector<CompositionChange>& aChanges);
  /// Requests of all nodes at the head that the last holder named for a group; see GroupView.
  int InFlightAtFormerHead(const std::string& aGroup, std::uint64_t aEpoch) const;
  void SendOrder(const GroupOrder& aOrder, const std::string& aService);
  /// Note for the other nodes what has changed of one pool's replicas.
  void NoteNews(const GroupPlanner& aPlanner, Duration aFormTime);
  /// Drop what is known of replicas that no pool has any more.
  void ForgetNews();
  void AskAsPlanned(const GroupPlanner& aPlanner);
  void Publish();
  /// Make what traffic knows of suspect requests anew where the book has changed.
  void PublishSuspects();
  /// @return how many requests are held back now.
  std::uint64_t HeldRequests() const;
  /// The parts of a plan that change without the replicas.
  void FillPlan(TrafficPlan* aPlan);
  bool MayOrder() const;
  /// Leave the lease to nodes that have the processor for it.
  void PreferStronger();
  bool IsReady() const;
  /// @return whether configuration and registrations have both been read once.
  bool KnowsAll() const { return mRoutes && mEngineFollower.HasList(); }
  std::unordered_map<std::string, int> OthersInFlight() const;
  /// Log who reads the store for this node when that changes.
  void LogReader();
  /// Follow the logs: from the store, or by what the delegate passes on.
  void FollowLogs();
  /// @return whether no other node reads the store for this one.
  bool ReadsForItself() const;
  void NoteStore();
  /// @return whether to read a log now though another node reads it for this one: what is known by
  /// that node is too old, or the store has to show that it answers again.
  bool LooksAtConfiguration();
  bool LooksAtEngines();
  void LogLook(FollowedLog aLog, Duration aAge);
  /// Make the call to a log that is due there, if it may be made.
  void Ask(FollowedLog aLog, StoreCallReason aReason);
  StoreCallReason ReasonToRead() const;
  /// The hooks of the lease's log, with their calls counted.
  LogLeaseHooks CountedLease();
  /// @return whether calls to the store's logs have failed for a while.
  bool StoreLost() const;
  /// Nodes that go by what this one passes on.
  std::vector<std::string> Dependants() const;
  KeyedFollower& FollowerOf(FollowedLog aLog);
  /// Pass on what was read for other nodes.
  void PassOn(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail);
  /// One message of what was read; one that fits into no datagram is left out.
  void SendFeed(const proto::PeerMessage& aMessage);
  void TakeFeed(const proto::LogFeed& aFeed);
  KeyedFollowerEvents Events(FollowedLog aLog,
                             std::function<void(const std::vector<KeyedRecord>&)> aOnList,
                             std::function<void(const KeyedRecord&)> aOnRecord);
  std::string Dump();

  CoordinatorOptions mOptions;
  CoordinatorHooks mHooks;
  CoordinatorCounters mCounters;
  KeyedFollower mConfigFollower;
  KeyedFollower mEngineFollower;
  KeyedFollower mNodeFollower;
  LogLease mLease;
  EngineDirectory mDirectory;
  /// Keys of registrations that name no engine, with the reason that was logged; an entry that is
  /// written again and again gives one line.
  std::map<std::string, std::string> mRefusedEntries;
  EngineCalls mCalls;
  WayBook mWays; ///< of orders and questions
  ProxyChoice mProxies;
  std::shared_ptr<const ProxyPeers> mProxyPeers;
  std::size_t mProxiesOf = 0;     ///< what they were put together from
  bool mTrafficUnreached = false; ///< connections for requests do not reach the engines
  bool mToldUnreached = false;
  SightLooks mSightLooks;
  std::size_t mLooks = 0;
  EngineDoubts mDoubts;
  PeerBook mPeers;
  FreshnessBook mFreshness;
  SuspectKeeper mSuspects;
  NodeTree mTree;
  LogReads mReads;
  std::optional<TimePoint> mStoreLostSince;
  bool mToldStoreLost = false; ///< what the last heartbeats said
  std::string mToldReader;     ///< the last that was logged
  LookPause mConfigurationLook;
  LookPause mEnginesLook;
  std::shared_ptr<const RouteTable> mRoutes;
  std::string mConfiguration;      ///< that mRoutes was made from, as the operator wrote it
  TimePoint mConfigurationTaken{}; ///< when this node took it in
  std::map<std::string, GroupPlanner> mPlanners; ///< by service
  RoundPace mPlanPace;
  NewsBook mNews;
  /// What the last holder told of its replicas, until this one has planned once: its first round
  /// finds most of them as they were, and logs only what differs.
  std::map<std::string, proto::ReplicaNews> mFormerNews;
  /// The same, for the whole tenure: heads that are listed no more are named here only.
  std::map<std::string, proto::ReplicaNews> mFormerHeads;
  std::uint64_t mNewsTold = 0; ///< the last change that was sent out
  TimePoint mNewsAskDue{};
  std::unordered_map<std::string, int> mInFlight;
  EngineLimits mLimits; ///< as this node has been told
  RateLeaseBook mRateLeasesGiven;
  RateLeaseHold mRateLeases;
  RateLeaseBook mRetryRightsGiven; ///< to this node itself, while it holds the lease
  RateLeaseHold mRetryRights;
  std::map<std::string, proto::RateLeases> mRateLeaseAnswers; ///< to be sent, by node
  std::map<std::string, TimePoint> mSilentHeads; ///< heads whose streams stand still, as last told
  std::map<std::string, TimePoint> mHeadsAsked;  ///< heads whose members were just asked
  std::unordered_map<std::uint32_t, std::string> mShortIds; ///< of the directory's engines
  std::uint64_t mShortIdsOf = 0;                            ///< revision that they are of
  std::uint64_t mPlannedFence = 0;
  std::uint64_t mPublishedRevision = 0;
  std::uint64_t mPublishedSuspects = 0; ///< revision of the book that the plan goes by
  std::uint64_t mPublishedHeld = 0;     ///< the same for what is held back, which is told at once
  std::shared_ptr<const SuspectRequests> mSuspectRequests; ///< as the plan has them
  std::shared_ptr<const TrafficPlan> mPlan;                ///< the last that was published
  bool mChanged = true;
  bool mTraffic = false;
  bool mStopping = false;
  bool mRecordWritten = false;
  bool mRecordOnItsWay = false;
  TimePoint mBeatDue{};
  TimePoint mYieldDue{};
  TimePoint mPublishDue{};
  TimePoint mBuilt{}; ///< when the replicas were last put together
  TimePoint mEngineReadDue{};
};

} // namespace pepperbay
