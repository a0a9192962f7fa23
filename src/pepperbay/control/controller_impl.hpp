/// @file
/// @brief The controller's parts, shared by controller.cpp (fold, log, loop), controller_peers.cpp,
/// controller_hosts.cpp, traffic_view.cpp and dump.cpp.
#pragma once

#include "pepperbay/control/controller.hpp"

#include "claim_desk.hpp"
#include "drain_ledger.hpp"
#include "holder.hpp"
#include "host_watch.hpp"

#include "pepperbay/journal/appender.hpp"

#include <deque>
#include <set>

namespace pepperbay {

/// How long a record may wait for the fold before its writer is told that the outcome is unknown.
constexpr Duration kRecordPatience = std::chrono::seconds(10);

/// A planned stop that was asked for here and is not yet known widely enough.
struct PendingStop
{
  proto::Drain mDrain;
  TimePoint mGiveUp{};
  std::function<void(Result<void>)> mDone;
};

/// Work by profile, then customer.
using UsageByProfile = std::map<std::string, std::map<std::string, CustomerUsage>>;

/// What a peer last said, beside its membership.
struct PeerWord
{
  UsageByProfile mUsage;         ///< its own, told to the collector only
  std::set<std::string> mDrains; ///< hosts it knows to be stopping and not in its fold
};

/// A replica's load as it last reported it.
struct LastReport
{
  TimePoint mAt{};
  OthersEstimate mOthers;
};

/// What is known of another data centre.
struct RemoteCentre
{
  proto::DataCentreSummary mSummary;
  TimePoint mSaid{};
};

struct Controller::Impl
{
  Impl(const Settings& aSettings, std::uint64_t aIncarnation, ControllerHooks aHooks);

  // ---- controller.cpp: the loop ----
  void Tick();
  void OnMessage(std::string_view aBytes);
  void OnHeartbeat(const std::string& aFrom, const proto::Heartbeat& aHeartbeat);
  void OnFetch(const std::string& aFrom, const proto::FetchRecords& aFetch);
  void Fold(std::uint64_t aOffset, const std::string& aBytes);
  void AfterFold(const FoldResult& aResult);
  void Install(const proto::Snapshot& aSnapshot);
  void ReadLog();
  void AppendDue();
  void ListHosts();
  void ProbeDue();
  std::vector<ProbeTarget> ProbeTargets();
  void Heartbeat();
  proto::Envelope MakeHeartbeat() const;
  std::string Collector() const;
  std::string OwnerOf(const std::string& aThing) const;
  ClaimDeskHooks MakeClaimHooks();
  std::vector<std::string> AliveHere() const;
  UsageByProfile TotalUsage(const UsageByProfile& aOwn) const;
  static void AddUsage(const UsageByProfile& aUsage, proto::Heartbeat* aHeartbeat);
  void OnUsage(const std::string& aFrom, const proto::Heartbeat& aHeartbeat);
  void AskSeeds();
  void JoinWhenDue();
  void RemoveLapsedNodes();
  void ShareDrains();
  void SettleStops();
  void Lead();
  void TakeRepair(const proto::Assign& aRepair);
  /// The folded state with the repairs made without the log.
  const State& Effective();
  Result<void> Submit(proto::Record aRecord, TimePoint aGiveUp, Appender::Done aDone);

  proto::Envelope MakeEnvelope() const;
  void Send(const std::string& aNode, proto::Envelope aEnvelope);
  std::vector<std::string> HeartbeatTargets() const;
  bool IsDelegate() const;
  std::vector<std::string> NodesOf(const std::string& aDataCentre) const;
  void AddSummaries(proto::Heartbeat* aHeartbeat) const;
  std::vector<HostView> OwnHosts() const;
  bool Draining(const std::string& aHost) const;
  bool Drained(const std::string& aReplica, std::uint64_t aGeneration) const;

  // ---- traffic_view.cpp ----
  void BuildView();
  void BuildPools(TrafficView* aView);
  void AddReplica(TrafficView* aView, const std::string& aName, const proto::ReplicaState& aState);
  void BuildPoolStates(TrafficView* aView) const;
  std::map<std::string, CustomerUsage> OthersUsage(const std::string& aProfile) const;
  void BuildSpill(TrafficView* aView) const;
  std::string WhyNotReady() const;
  std::string WhyBehindPeers() const;
  std::size_t SilentNodes() const;
  bool ViewIsCurrent() const;
  ReplicaLoad& LoadOf(const ReplicaKey& aKey);

  // ---- dump.cpp ----
  std::string Dump() const;

  Settings mSettings;
  std::uint64_t mIncarnation;
  ControllerHooks mHooks;
  TimePoint mStarted;
  State mState;
  Roster mRoster;
  HostWatch mWatch;
  DrainLedger mLedger;
  Appender mAppender;
  Follower mFollower;
  Holder mHolder;
  ClaimDesk mClaims;
  ControllerCounters mCounters;
  std::vector<HostListing> mListing;
  std::vector<ProbeTarget> mTargets;
  bool mTargetsStale = true;
  bool mListingInFlight = false;
  TimePoint mNextListing{};
  TimePoint mNextHeartbeat{};
  TimePoint mNextSeeds{};
  TimePoint mNextJoin{};
  TimePoint mNextSweep{};
  TimePoint mNextRead{};
  TimePoint mNextView{};
  bool mViewDirty = true;
  bool mJoinOutstanding = false;
  bool mStopping = false;
  std::uint64_t mRevision = 1;
  std::map<std::string, PeerWord> mWords;
  UsageByProfile mUsageTotal;   ///< of all nodes here, by the collector
  UsageByProfile mUsageInTotal; ///< this node's own part of it
  UsageByProfile mUsageTold;    ///< what this node last told the collector
  TimePoint mUsageTotalAt{};
  std::map<std::string, std::uint64_t> mLocalDrains; ///< host to incarnation, from anywhere
  std::set<std::string> mDrainsSubmitted;
  OutageRepairs mRepairs;
  State mEffective;
  bool mEffectiveStale = true;
  TimePoint mAdoptUntil{}; ///< after it, repairs that the fold refuses are dropped
  std::vector<PendingStop> mStops;
  std::map<std::string, RemoteCentre> mRemotes;
  std::map<ReplicaKey, std::shared_ptr<ReplicaLoad>> mLoads;
  std::map<ReplicaKey, TimePoint> mWholeSince;
  std::map<ReplicaKey, WholenessReport> mReports;
  std::map<std::string, LastReport> mLastReports; ///< by replica
  std::set<std::string> mEjected;                 ///< stragglers, as published
  std::set<std::string> mLeaving;                 ///< hosts that the platform lists as leaving
  std::string mLastWhyNot = "starting";
  bool mPeerState = false; ///< the folded state came from a peer
};

} // namespace pepperbay
