/// @file
/// @brief The state of a coordinator; its parts are in files by what they do.
#pragma once

#include "engine_doubts.hpp"
#include "freshness_book.hpp"
#include "log_delegate.hpp"
#include "peer_book.hpp"
#include "pepperbay/coordinator/coordinator.hpp"
#include "plan_builder.hpp"

namespace pepperbay {

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
  void OnNode(const KeyedRecord& aRecord);
  void PutOwnRecord();
  void OnBeat(const std::string& aBytes);
  void SendBeat();
  proto::NodeBeat MakeBeat();
  /// @return whether this node answers another's question for freshness.
  /// @param aAlive names of the nodes at work
  bool VouchesFor(const std::string& aNode, const std::vector<std::string>& aAlive) const;
  /// Send the holder of the lease a heartbeat out of turn.
  void TellHolder();
  /// @return when the configuration was the newest, by the store or by a peer.
  TimePoint ConfigurationAsOf() const;
  std::uint64_t ConfigurationVersion() const { return mRoutes ? mRoutes->Version() : 0; }
  /// @return whether the store has been silent for longer than a held read takes.
  bool AsksFreshness() const;
  /// Give a peer that asks and has an older configuration the one in force here.
  void PassConfiguration(const proto::NodeBeat& aAsker);
  void TakePrompts(const proto::NodeBeat& aBeat);
  void TellPrompts(const std::vector<SentPrompt>& aPrompts);
  void OnSuspect(const std::string& aHead, Duration aSilence);
  void AskMembers(const std::string& aHead);
  /// @return a registered engine, or a member of a replica whose registration has lapsed.
  const EngineRecord* FindEngine(const std::string& aEngine) const;
  void OnEngineChange(const EngineRecord& aEngine, bool aLost);
  void PlanPools();
  void PlanPool(const ServiceSpec& aService);
  void SendOrder(const GroupOrder& aOrder, const std::string& aService);
  /// Note for the other nodes what has changed of one pool's replicas.
  void TellNews(const GroupPlanner& aPlanner, Duration aFormTime);
  /// Drop what is known of replicas that no pool has any more.
  void ForgetNews();
  void AskAsPlanned(const GroupPlanner& aPlanner);
  void Publish();
  bool MayOrder() const;
  /// Leave the lease to nodes that have the processor for it.
  void PreferStronger();
  bool IsReady() const;
  /// @return whether configuration and registrations have both been read once.
  bool KnowsAll() const { return mRoutes && mEngineFollower.HasList(); }
  int InFlightEverywhere(const std::string& aEngine) const;
  std::unordered_map<std::string, int> OthersInFlight() const;
  /// Follow the logs: from the store, or by what the delegate passes on.
  void FollowLogs();
  bool StoreLost() const;
  KeyedFollower& FollowerOf(FollowedLog aLog);
  /// The delegate passes on what it has read.
  void PassOn(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail);
  void TakeFeeds(const proto::NodeBeat& aBeat);
  KeyedFollowerEvents Events(FollowedLog aLog,
                             std::function<void(const std::vector<KeyedRecord>&)> aOnList,
                             std::function<void(const KeyedRecord&)> aOnRecord);
  std::string Dump() const;

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
  EngineDoubts mDoubts;
  PeerBook mPeers;
  FreshnessBook mFreshness;
  LogDelegate mDelegate;
  std::shared_ptr<const RouteTable> mRoutes;
  std::string mConfiguration; ///< that mRoutes was made from, as the operator wrote it
  std::map<std::string, GroupPlanner> mPlanners; ///< by service
  std::map<std::string, proto::ReplicaNews> mNews;
  TimePoint mNewsAt{};
  std::unordered_map<std::string, int> mInFlight;
  std::map<std::string, TimePoint> mSuspects;               ///< heads that this node finds silent
  std::map<std::string, TimePoint> mHeadsAsked;             ///< heads whose members were just asked
  std::unordered_map<std::uint32_t, std::string> mShortIds; ///< of the directory's engines
  std::uint64_t mShortIdsOf = 0;                            ///< revision that they are of
  std::uint64_t mPlannedFence = 0;
  std::uint64_t mPublishedRevision = 0;
  bool mChanged = true;
  bool mTraffic = false;
  bool mStopping = false;
  bool mRecordWritten = false;
  bool mRecordOnItsWay = false;
  TimePoint mBeatDue{};
  TimePoint mYieldDue{};
  TimePoint mPublishDue{};
  TimePoint mEngineReadDue{};
};

} // namespace pepperbay
