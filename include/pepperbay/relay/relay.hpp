/// @file
/// @brief Reverse proxy that forwards callers' requests to engines and returns the answers.
///
/// The relay makes every decision about a request: its route, its engine, whether and where it is
/// retried, and when it is abandoned. It runs on one traffic thread and sees the control state only
/// as immutable plans.
#pragma once

#include "pepperbay/admission/connection_gate.hpp"
#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/membership/stall_detector.hpp"
#include "pepperbay/places/slot_agent.hpp"
#include "pepperbay/quarantine/crash_tracker.hpp"
#include "pepperbay/relay/dialect.hpp"
#include "pepperbay/relay/latency.hpp"
#include "pepperbay/retries/retry_agent.hpp"
#include "pepperbay/routing/balancer.hpp"
#include "pepperbay/routing/traffic_plan.hpp"
#include "pepperbay/tunnel/tunnel_server.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pepperbay {

/// Settings that may change while a relay runs.
struct RelayTuning
{
  /// Retry budget of all nodes together: a share of the requests in a window, plus a fixed number
  /// of retries in that window.
  double mRetryShare = 0.2;
  double mRetrySlack = 100;
  /// Requests that still run this long after the stop was requested are aborted.
  Duration mMaxStopTime = std::chrono::milliseconds(7200);
};

struct RelayOptions
{
  std::string mCallers;    ///< `IP:port` where callers connect
  std::string mDataCentre; ///< of this node
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mAllocatorAddress; ///< `IP:port` (UDP) for messages between the nodes' slot agents
  /// `IP:port` (TCP) where this node accepts tunnels to engines from its peers; empty: it does not.
  std::string mTunnel;
  std::string mTunnelKey; ///< key that peers must present to open a tunnel
  std::size_t mMaxTunnelled = kMostCarried;
  ConnectionGateOptions mGate;
  RelayTuning mTuning;
  /// Connect timeout. Several round trips between data centres, and short enough to try another
  /// engine within a latency objective.
  Duration mConnectTimeout = std::chrono::milliseconds(120);
  /// A safe request without an answer after this share of its latency objective is also sent to a
  /// second engine.
  double mHedgeAfter = 0.55;
  /// Streams are moved away from a replica that has been silent for this long, whether or not its
  /// loss is confirmed. Longer than any pause that prompt processing causes.
  Duration mMaxSilence = std::chrono::milliseconds(450);
  /// A new process accepts connections once its plan is complete, which takes about 40 ms, or after
  /// this time, so that callers are refused instead of kept waiting when the store is unreachable.
  /// Until then connections wait in the listen queue. Without this wait, 162 of 330 requests per
  /// second were refused during these 40 ms after all nodes restarted at once.
  Duration mWaitForPlan = std::chrono::milliseconds(300);
  /// Retry-After for refused callers: about the time that a replica needs to re-form.
  Duration mRetryAfter = std::chrono::milliseconds(600);
  /// Largest jitter added to the Retry-After of callers that are refused because all replicas are
  /// full, so that they do not all return at once.
  Duration mRetryJitter = std::chrono::milliseconds(1200);
  /// An engine that exits within this time after it began to answer a request may have exited
  /// because of that request.
  Duration mSuspectWithin = std::chrono::seconds(1);
  /// Limit on the bytes of incomplete answers and events that are buffered for all requests
  /// together. An answer that would exceed it is aborted.
  std::size_t mMaxBufferedBytes = std::size_t{ 48 } << 20U;
  /// Time after a stop request until the load balancer sends no more connections.
  Duration mStopGrace = std::chrono::milliseconds(2600);
  Duration mTick = std::chrono::milliseconds(20);
  NowFn mNow = &BootClock::now;
};

/// Counters since process start; see docs/OPERATIONS.md.
struct RelayCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;   ///< an engine's complete answer was forwarded
  std::uint64_t mInvalid = 0;    ///< answered 4xx
  std::uint64_t mRefused = 0;    ///< answered 503: the request has not run
  std::uint64_t mFailed = 0;     ///< answered with another 5xx
  std::uint64_t mCut = 0;        ///< aborted after the answer had begun
  std::uint64_t mCallerGone = 0; ///< the caller disconnected before the end of its answer
  std::uint64_t mAttempts = 0;   ///< requests sent to engines
  std::uint64_t mSecondAttempts = 0;
  /// Requests sent to engines that this node knew to leave or to have left.
  std::uint64_t mSentToLeaving = 0;
  /// Requests withdrawn from an engine because a second one answered first.
  std::uint64_t mOvertaken = 0;
  std::uint64_t mSilentEngines = 0; ///< engines of plain services that have unanswered requests
  std::uint64_t mResumes = 0;       ///< second attempts that resumed a stream on another engine
  /// Times that no slot was found for moving a stream, by reason; a stream may be counted again
  /// when it retries.
  std::map<std::string, std::uint64_t> mMovesRefused;
  std::uint64_t mForeignAnswers = 0; ///< answers to another request; discarded
  /// Pooled connections that engines closed after a request was sent, without a byte of an answer.
  std::uint64_t mStaleConnections = 0;
  std::uint64_t mEnginesExited = 0; ///< engines that exited while they had requests of this node
  /// Failed connection attempts to engines, by error.
  std::map<std::string, std::uint64_t> mConnectsFailed;
  TimePoint mEngineHeardAt{}; ///< last byte received from any engine over a direct connection
  std::uint64_t mTunnelledByPeers = 0; ///< connections to engines that were tunnelled through peers
  TunnelCounters mTunnels;             ///< tunnels that this node provides for its peers
  /// Requests sent to engines that have a rate limit, by kind; see docs/OPERATIONS.md.
  std::map<std::string, std::uint64_t> mSentToLimited;
  std::uint64_t mLimitedEngines = 0; ///< engines that currently have a rate limit
  std::uint64_t mBadLimits = 0;      ///< answers with a rate limit that could not be parsed
  std::uint64_t mClosedUnread = 0;   ///< callers' connections closed before any byte was read
  std::uint64_t mOpen = 0;           ///< requests in progress
  std::uint64_t mBufferedBytes = 0;  ///< bytes of incomplete answers that are buffered now
  LatencyHistogram mFirstEvent;      ///< from a request's first byte to its stream's first event
  LatencyHistogram mWholeAnswer;     ///< from a request's first byte to a complete plain answer
  /// Age of the registrations by which an engine was chosen.
  LatencyHistogram mViewAge;
  /// Gap in a resumed stream as the caller sees it: from the last event of one engine to the first
  /// event of the next.
  LatencyHistogram mResumePause;
  /// From the moment when the control thread has a configuration until requests use it.
  LatencyHistogram mInForce;
  /// The same for changes of registrations.
  LatencyHistogram mEnginesInForce;
  TimePoint mEnginesTaken{};                     ///< of the changes that were observed last
  std::uint64_t mConfigurationVersion = 0;       ///< version that requests use
  TimePoint mConfigurationAsOf{};                ///< when that version was last known to be current
  std::map<std::string, std::uint64_t> mReasons; ///< refusals, failures and aborts, by reason
};

/// Callbacks of the relay, called on its own thread. A replica's head is the member that receives
/// the replica's requests.
struct RelayHooks
{
  /// A replica's head has been silent for too long while it had streams. To be handled on another
  /// thread than the relay's.
  std::function<void(const std::string& aHead, Duration aSilence)> mOnSuspect;
  /// A replica's head refuses requests or no longer listens. Rate-limited, see RefusalTracker.
  std::function<void(const std::string& aHead)> mOnRefused;
  /// An engine exited while it had this request.
  std::function<void(const RequestKey& aRequest, const EngineEnd& aEnd)> mOnEngineExited;
  /// Direct connections from this node to engines work again, or have stopped working.
  std::function<void(bool aReaches)> mOnReachability;
  /// An engine completed a request that the plan lists as a suspect.
  std::function<void(const RequestKey& aRequest)> mOnSuspectCompleted;
  /// Sends a message to another node's slot agent; null where there are no other nodes.
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSendToAllocator;
  /// Writes a log line; see log.hpp.
  std::function<void(const char* aEvent, const std::map<std::string, std::string>& aFields)> mLog;
};

/// @code
/// auto relay = Relay::Open(context, options, dialect, hooks);
/// if (relay.has_value()) { relay.value()->SetPlan(plan); }
/// @endcode
class Relay
{
public:
  /// Listens for callers, and for peers if `mTunnel` is set.
  /// @return an error if an address cannot be bound.
  static Result<std::unique_ptr<Relay>> Open(boost::asio::io_context& aContext,
                                             RelayOptions aOptions,
                                             Dialect aDialect,
                                             RelayHooks aHooks);
  virtual ~Relay() = default;

  // All methods must be called on the relay's own thread.
  virtual void SetPlan(std::shared_ptr<const TrafficPlan> aPlan) = 0;
  virtual void Tune(const RelayTuning& aTuning) = 0;
  /// Handles a message from another node's slot agent.
  virtual void OnAllocatorMessage(const std::string& aBytes) = 0;
  /// Requests in progress by engine: those of this node and those that it assigned slots to for
  /// other nodes.
  virtual std::unordered_map<std::string, int> InFlight() const = 0;
  /// Rate limits of engines in requests per second, as learnt from their answers by this node and
  /// by the nodes that it assigns slots for.
  virtual EngineLimits Limits() const = 0;
  /// Notes that the control thread sends a status query or an order to an engine.
  virtual void OnCall(const std::string& aEngine) = 0;
  virtual const RelayCounters& Counters() const = 0;
  virtual const SlotCounters& Places() const = 0;
  virtual const RetryCounters& Retries() const = 0;
  /// Lets the requests in progress finish, within the limits of the options, then calls `aDone`
  /// once.
  virtual void BeginStop(std::function<void()> aDone) = 0;
};

} // namespace pepperbay
