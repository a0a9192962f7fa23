/// @file
/// @brief The control state of one node in front of a pool of engines. Owned by one thread.
///
/// Follows the platform's store, exchanges messages with the other nodes and, while it holds the
/// lease, forms and repairs replicas. A replica is a group of engines of which one, the head,
/// receives the requests. The delegates are the nodes of a data centre that all its other nodes
/// exchange heartbeats with. Opens no socket: everything outgoing goes through hooks, whose answers
/// return on the same thread. Tests run it with fakes and a simulated clock.
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
  std::string mAddress; ///< `IP:port` at which this node receives messages of peers
  /// Where its slot allocator receives messages; see places/slot_agent.hpp.
  std::string mAllocatorAddress;
  /// Where it tunnels connections to engines for other nodes, and the key that these must present;
  /// empty: it does not tunnel. See tunnel/tunnel_server.hpp.
  std::string mTunnelAddress;
  std::string mTunnelKey;
  std::size_t mMaxProxies = 8; ///< peers through which it may tunnel
  /// CPU available to this process, in thousandths of a core; 0: unknown.
  int mCpuPermille = 0;
  /// Additional wait before a node claims the lease that has less than half of another node's CPU,
  /// or that reaches no engine directly while another node does. The lease holder follows every
  /// engine's registration and sends status requests and orders; with an eighth of a core in front
  /// of 160 engines its rounds take 300 ms instead of 20, answers stay unread until their timeouts
  /// have expired, and live engines are taken for lost. Longer than the stagger of all stronger
  /// nodes and a call to the store together; a third of the lease.
  Duration mWeakerNodeDelay = std::chrono::milliseconds(400);
  /// A weaker holder yields the lease to a stronger node at most once in this time. A node that
  /// does not take it has lost the store, or is about to stop.
  Duration mYieldInterval = std::chrono::seconds(15);
  Duration mHeartbeatInterval = std::chrono::milliseconds(200);
  /// A peer that has sent no heartbeat for this long is not counted as live.
  Duration mPeerSilence = std::chrono::milliseconds(1200);
  Duration mLease = std::chrono::milliseconds(1200);
  CoordinatorBounds mBounds;
  /// Long-poll time of a configuration read. It bounds the apparent age of the configuration at a
  /// node whose reader works: this, and a heartbeat with its answer.
  Duration mConfigWait = std::chrono::milliseconds(700);
  /// First pause between direct reads of the store by a node whose forwarded records are too old,
  /// while the store does not answer; doubled each time up to mBounds.mMaxDirectReadPause.
  Duration mMinDirectReadPause = std::chrono::milliseconds(400);
  /// Upper limit of that pause while other nodes forward all records: the node then only probes
  /// whether the store is back.
  Duration mMaxOutageProbePause = std::chrono::seconds(5);
  /// Long-poll time of a registrations read. A dead connection is detected by a read that is not
  /// answered within this and another second; the sum must be below the time in which a node must
  /// stop sending to an engine that leaves.
  Duration mEngineWait = std::chrono::milliseconds(600);
  /// Shortest time between two reads of registrations: by the lease holder, whose repairs wait for
  /// them; by a node that reads for others, or that has missed forwarded records; and by a node
  /// that has no other reader. Replica states come from the holder; each read is a billed call.
  Duration mHolderPause = std::chrono::milliseconds(25);
  Duration mReaderPause = std::chrono::milliseconds(400);
  Duration mOtherPause = std::chrono::milliseconds(1000);
  /// Long-poll time of a read of the list of nodes, and the shortest time between two. All nodes of
  /// a fleet start within a third of a second, before they receive anything from a delegate;
  /// without a pause each node's record completed the reads of all others, 1,400 calls of 36 nodes
  /// in a test.
  Duration mNodeWait = std::chrono::seconds(20);
  Duration mNodePause = std::chrono::milliseconds(250);
  Duration mOrderTimeout = std::chrono::milliseconds(120);
  /// An engine that does not answer within this is considered lost, if a second request sent at the
  /// same time is not answered either.
  Duration mAskTimeout = std::chrono::milliseconds(110);
  /// Pause before the members of a head's replica are probed again. Many nodes have streams at one
  /// head and notice the same pause within some 50 ms of each other. Members answer in 5 ms, so
  /// each node's suspicion would probe them all once more.
  Duration mAskHeadAgain = std::chrono::milliseconds(100);
  /// Interval at which lost engines that are still registered are probed again.
  Duration mAskAgain = std::chrono::milliseconds(700);
  /// Shortest time between two status requests to one engine.
  Duration mAskState = std::chrono::milliseconds(250);
  RateLeaseOptions mRateLeases;
  GroupPlannerOptions mPlanner;
};

/// Everything outside of the process that the coordinator uses.
struct CoordinatorHooks
{
  NowFn mNow;
  KeyedLogHooks mConfigLog;
  KeyedLogHooks mEngineLog;
  /// The nodes' own log: the addresses of nodes, and requests that all nodes quarantine.
  KeyedLogHooks mNodeLog;
  LogLeaseHooks mLeaseLog;
  /// The key of the operator's configuration in its log.
  std::string mConfigKey;
  std::function<Result<Configuration>(const std::string& aBody)> mDecodeConfiguration;
  std::function<Result<EngineRecord>(const std::string& aId, const std::string& aBody)>
    mDecodeEngine;
  /// Writes a record of the nodes' log; an empty value removes the key.
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

/// Counters since the start of the process, and gauges where marked `now`; see docs/OPERATIONS.md.
struct CoordinatorCounters
{
  std::map<std::string, std::uint64_t> mOrders; ///< by kind and answer
  /// Replicas dissolved in favour of a model with more demand, by the model that they served.
  std::map<std::string, std::uint64_t> mReplicasGivenUp;
  std::map<std::string, std::uint64_t> mStoreCalls; ///< by log and reason
  std::uint64_t mAsks = 0;
  /// Times that an engine became lost, by the vantage points that found it; see LostBy.
  std::map<std::string, std::uint64_t> mLostEngines;
  /// Times that a lost engine was found to have exited, by the evidence; see LostEvidence.
  std::map<std::string, std::uint64_t> mExitedEngines;
  std::uint64_t mPauses = 0; ///< lost engines that answered again before they counted as exited
  /// Times that no node that reaches engines had evidence on a silent engine.
  std::uint64_t mUndecided = 0;
  std::uint64_t mBeats = 0;
  std::uint64_t mFeeds = 0;          ///< batches of store records forwarded by another node
  std::uint64_t mRecordRequests = 0; ///< requests to peers for records that were missed
  /// Direct reads of the store because forwarded records were too old.
  std::uint64_t mDirectReads = 0;
  std::uint64_t mBadMessages = 0;
  std::uint64_t mBadConfigurations = 0;
  std::uint64_t mBadRegistrations = 0;    ///< registrations that could not be decoded
  std::uint64_t mRestarts = 0;            ///< engines that restarted under the same id
  std::uint64_t mStaleIncarnations = 0;   ///< messages of a stale incarnation, ignored
  std::uint64_t mSuspectRequests = 0;     ///< requests under which engines have exited; now
  std::uint64_t mQuarantinedRequests = 0; ///< of these, quarantined; now
  /// Late calls to the store's logs that were answered over a new connection.
  std::uint64_t mReplacedConnections = 0;
  std::uint64_t mOutages = 0;       ///< of the store, long enough for registrations to lapse
  std::uint64_t mStoreRestored = 0; ///< logs that the store restored from an older copy
  /// Records or messages on suspect requests that could not be decoded.
  std::uint64_t mBadSuspects = 0;
};

class Coordinator
{
public:
  Coordinator(CoordinatorOptions aOptions, CoordinatorHooks aHooks);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Performs all due work; call every few tens of milliseconds.
  void Tick();
  /// Handles the bytes of one message of a peer.
  void OnMessage(const std::string& aBytes);
  /// Reports that a head has sent nothing on this node's streams for `aSilence`.
  void OnSuspect(const std::string& aHead, Duration aSilence);
  /// Reports that a head refuses this node's requests.
  void OnRefused(const std::string& aHead);
  /// Reports whether this node's own connections for requests reach engines.
  void SetReach(bool aReaches);
  /// Reports that an engine exited while it had a request of this node.
  void OnEngineEnded(const RequestKey& aRequest, const EngineEnd& aEnd);
  /// Reports that an engine completed a request under which others had exited.
  void OnRanToCompletion(const RequestKey& aRequest);
  /// Releases a request from quarantine on behalf of an operator. @return whether it was known
  bool Lift(const RequestKey& aRequest);
  /// Sets the requests in flight by engine: this node's own and those that it assigned slots to.
  void SetInFlight(std::unordered_map<std::string, int> aInFlight, bool aTraffic);
  /// Sets the engines' limits as known to this node and to those that it assigns slots for.
  void SetLimits(EngineLimits aLimits);
  /// Fails readiness and releases the lease.
  void BeginStop();
  /// Applies new bounds at once.
  void SetBounds(const CoordinatorBounds& aBounds);

  bool IsReady() const;
  bool HoldsLease() const;
  const CoordinatorCounters& Counters() const;
  /// @return the complete control state as JSON, for people.
  std::string Dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace pepperbay
