/// @file
/// @brief The control state of one node before a pool of engines. One thread owns it.
///
/// Follows the platform's store, talks to the other nodes, and, while it holds the lease, forms and
/// repairs replicas. It opens no socket: all that goes out goes through hooks, whose answers come
/// back on the same thread. Tests drive it with fakes and a paused clock.
#pragma once

#include "pepperbay/coordinator/coordinator_bounds.hpp"
#include "pepperbay/coordinator/engine_call.hpp"
#include "pepperbay/coordinator/rate_leases.hpp"
#include "pepperbay/journal/keyed_log.hpp"
#include "pepperbay/lease/log_lease.hpp"
#include "pepperbay/membership/engine_directory.hpp"
#include "pepperbay/placement/group_planner.hpp"
#include "pepperbay/quarantine/crash_tracker.hpp"
#include "pepperbay/routing/traffic_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <pepperbay.pb.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct CoordinatorOptions
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mAddress;     ///< where this node hears its peers
  std::string mDeskAddress; ///< where its place desk hears others; see places/slot_agent.hpp
  /// Where it carries connections to engines for others, and what those have to name; empty: it
  /// does not. See tunnel/tunnel_server.hpp.
  std::string mTunnelAddress;
  std::string mTunnelKey;
  std::size_t mMostProxies = 8; ///< peers that it may ask for connections to engines
  /// Processor that this process may use, in thousandths of a core; 0: not told.
  int mCpuPermille = 0;
  /// A node with less than half of another's processor, or one that reaches no engine by itself
  /// while another does, waits this much longer for the lease. Whoever holds it follows every
  /// engine's registration, asks and orders; with an eighth of a core before 160 engines its rounds
  /// take 300 ms in place of 20, answers lie unread until their timeouts have run out, and engines
  /// that live are taken for lost. Longer than the stagger of all stronger nodes and a call to the
  /// store together, a third of the lease.
  Duration mWeakerWaits = std::chrono::milliseconds(400);
  /// A weaker holder gives the lease to a stronger node at most once in this time; one that does
  /// not take it has lost the store, or is about to end.
  Duration mYieldEvery = std::chrono::seconds(15);
  Duration mBeat = std::chrono::milliseconds(200);
  /// A peer that is silent for this long does not count as a node at work.
  Duration mPeerSilence = std::chrono::milliseconds(1200);
  Duration mLease = std::chrono::milliseconds(1200);
  CoordinatorBounds mBounds;
  /// How long the store holds a read of the configuration. It bounds how old the configuration of a
  /// node whose reader is well may seem: this, and a heartbeat with its answer.
  Duration mConfigWait = std::chrono::milliseconds(700);
  /// A store that does not answer a node which doubts what it is told is asked again after this,
  /// and then after twice the time up to mBounds.mLookAgainMost.
  Duration mLookAgainFirst = std::chrono::milliseconds(400);
  /// The same for a node that is told all by others: it asks only whether the store is back.
  Duration mProbeMost = std::chrono::seconds(5);
  /// How long the store holds a read of registrations. A connection that has gone silent shows by
  /// a read that is not answered after it and a second more, which together have to be below the
  /// time in which a node must stop sending to an engine that leaves.
  Duration mEngineWait = std::chrono::milliseconds(600);
  /// Shortest time between two reads of registrations: of the holder, whose repairs wait for them;
  /// of a node that reads for others, or that has missed what was passed on; and of one that has
  /// nobody to read for it. Replicas are heard of from the holder; each read is a paid call.
  Duration mHolderPause = std::chrono::milliseconds(25);
  Duration mReaderPause = std::chrono::milliseconds(400);
  Duration mOtherPause = std::chrono::milliseconds(1000);
  /// How long the store holds a read of the list of nodes, and the shortest time between two. All
  /// nodes of a fleet start within a third of a second, each before it hears a delegate; without a
  /// pause each of their records answered the reads of all, 1,400 calls of 36 nodes in a test.
  Duration mNodeWait = std::chrono::seconds(20);
  Duration mNodePause = std::chrono::milliseconds(250);
  Duration mOrderTimeout = std::chrono::milliseconds(120);
  /// An engine that does not answer within this is taken for lost, if a second question that was
  /// sent at the same moment has no answer either.
  Duration mAskTimeout = std::chrono::milliseconds(110);
  /// Many nodes have streams at one head and notice the same pause within some 50 ms of each other.
  /// Their members answer in 5 ms, so each suspicion asked them all once more.
  Duration mAskHeadAgain = std::chrono::milliseconds(100);
  /// Lost engines that are still registered are asked again after this.
  Duration mAskAgain = std::chrono::milliseconds(700);
  /// An engine is asked for its state at most this often.
  Duration mAskState = std::chrono::milliseconds(250);
  RateLeaseOptions mRateLeases;
  GroupPlannerOptions mPlanner;
};

/// The outside world as the coordinator needs it.
struct CoordinatorHooks
{
  NowFn mNow;
  KeyedLogHooks mConfigLog;
  KeyedLogHooks mEngineLog;
  /// The nodes' own log: where each hears its peers, and requests that all hold back.
  KeyedLogHooks mNodeLog;
  LogLeaseHooks mLeaseLog;
  /// The key under which the operator's configuration stands in its log.
  std::string mConfigKey;
  std::function<Result<Configuration>(const std::string& aBody)> mDecodeConfiguration;
  std::function<Result<EngineRecord>(const std::string& aId, const std::string& aBody)>
    mDecodeEngine;
  /// Write a record of the nodes' log; without a value its key is dropped.
  std::function<
    void(const std::string& aKey, const std::string& aValue, std::function<void(Result<void>)>)>
    mPutNode;
  std::function<void(const GroupOrder&, const EngineCallOptions&, std::function<void(OrderAnswer)>)>
    mOrder;
  std::function<
    void(const EngineRecord&, const EngineCallOptions&, std::function<void(Result<EngineReport>)>)>
    mAsk;
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSend;
  std::function<void(std::shared_ptr<const TrafficPlan>)> mPublish;
  std::function<void(const char* aEvent, const std::map<std::string, std::string>& aFields)> mLog;
};

/// Counts since the start; see docs/OPERATIONS.md.
struct CoordinatorCounters
{
  std::map<std::string, std::uint64_t> mOrders; ///< by kind and answer
  /// Replicas given up for a model that is asked for more, by the model that they served.
  std::map<std::string, std::uint64_t> mReplicasGivenUp;
  std::map<std::string, std::uint64_t> mStoreCalls; ///< by log and reason
  std::uint64_t mAsks = 0;
  /// Times that an engine was found not to answer, by whose words; see LostBy.
  std::map<std::string, std::uint64_t> mLostEngines;
  /// Times that one of them had ended, by the evidence; see LostEvidence.
  std::map<std::string, std::uint64_t> mEndedEngines;
  std::uint64_t mPauses = 0;    ///< lost engines that answered before they counted as ended
  std::uint64_t mUndecided = 0; ///< times that no node with sight had a word on a silent engine
  std::uint64_t mBeats = 0;
  std::uint64_t mFeeds = 0; ///< times that another node passed records of the store on
  std::uint64_t mLooks = 0; ///< reads of the store because what others told was too old
  std::uint64_t mBadMessages = 0;
  std::uint64_t mBadConfigurations = 0;
  std::uint64_t mBadRegistrations = 0; ///< entries that name no engine
  std::uint64_t mRestarts = 0;         ///< engines that started again under their id
  std::uint64_t mFormerStarts = 0;     ///< words of a start that has been replaced; not taken
  std::uint64_t mSuspectRequests = 0;  ///< under which engines have ended; now
  std::uint64_t mHeldRequests = 0;     ///< of these, held back; now
  std::uint64_t mStoreRestored = 0;    ///< logs that came back from an older copy
  std::uint64_t mBadSuspects = 0;      ///< words of suspect requests that could not be read
};

class Coordinator
{
public:
  Coordinator(CoordinatorOptions aOptions, CoordinatorHooks aHooks);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Do all that is due; call every few tens of milliseconds.
  void Tick();
  /// Bytes of one message of a peer.
  void OnMessage(const std::string& aBytes);
  /// A head has been silent towards this node's streams.
  void OnSuspect(const std::string& aHead, Duration aSilence);
  /// A head refuses this node's requests.
  void OnRefused(const std::string& aHead);
  /// This node's own connections for requests reach engines again, or no longer.
  void SetReach(bool aReaches);
  /// An engine ended that had a request of this node.
  void OnEngineEnded(const RequestKey& aRequest, const EngineEnd& aEnd);
  /// An engine ran a request to its end under which others have ended.
  void OnRanWhole(const RequestKey& aRequest);
  /// An operator lets a request run again. @return whether anything was known of it
  bool Lift(const RequestKey& aRequest);
  /// Requests in progress, by engine: this node's own and those that it found places for.
  void SetInFlight(std::unordered_map<std::string, int> aInFlight, bool aTraffic);
  /// Limits of engines as this node and those that it finds places for have been told.
  void SetLimits(EngineLimits aLimits);
  /// Fail readiness and give the lease back.
  void BeginStop();
  /// New promises take force at once.
  void SetBounds(const CoordinatorBounds& aBounds);

  bool IsReady() const;
  bool HoldsLease() const;
  const CoordinatorCounters& Counters() const;
  /// @return the whole control state as JSON, for people.
  std::string Dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace pepperbay
