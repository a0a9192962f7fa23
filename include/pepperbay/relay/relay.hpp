/// @file
/// @brief Callers' requests passed on to engines as they are, and the answers back.
///
/// The relay owns every decision about one request: its route, its engine, whether and where it is
/// sent again, when it is given up. It runs on one traffic thread and knows the control state only
/// through immutable plans.
#pragma once

#include "pepperbay/admission/connection_gate.hpp"
#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/membership/stall_detector.hpp"
#include "pepperbay/places/place_agent.hpp"
#include "pepperbay/quarantine/crash_book.hpp"
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

/// What may change while a relay runs.
struct RelayTuning
{
  /// Second attempts of all nodes together, as a share of requests and beyond it, in a window.
  double mRetryShare = 0.2;
  double mRetrySlack = 100;
  /// What still runs is broken off this long after the stop was asked for.
  Duration mStopMost = std::chrono::milliseconds(7200);
};

struct RelayOptions
{
  std::string mCallers;    ///< `IP:port` for callers
  std::string mDataCentre; ///< of this node
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mDeskAddress; ///< `IP:port` (UDP) where place agents hear each other
  /// `IP:port` (TCP) where this node carries connections for others; empty: it does not.
  std::string mTunnel;
  std::string mTunnelKey; ///< which others have to name
  std::size_t mMostCarried = kMostCarried;
  ConnectionGateOptions mGate;
  RelayTuning mTuning;
  /// A connection to an engine that does not stand after this is given up; several round trips
  /// between data centres, and short enough to go elsewhere within an objective.
  Duration mConnectTimeout = std::chrono::milliseconds(120);
  /// A safe request without an answer after this share of its objective goes to a second engine.
  double mSecondAfter = 0.55;
  /// Streams leave a replica that is silent for this long, confirmed or not. Above the longest
  /// pause that reading prompts causes.
  Duration mLeaveSilent = std::chrono::milliseconds(450);
  /// A new process takes up connections once its plan is complete, which takes some 40 ms, or after
  /// this, so that callers are refused and not kept waiting when the store is away. Until then they
  /// wait in the listener's queue. After a restart of all nodes at once 162 of 330 requests a
  /// second were refused in these 40 ms.
  Duration mWaitForPlan = std::chrono::milliseconds(300);
  /// When a refused caller should come back: about the time in which a replica forms anew.
  Duration mRetryAfter = std::chrono::milliseconds(600);
  /// Callers who are refused because all replicas are full are told to come back up to so much
  /// later than that, each at a time of its own.
  Duration mSpreadReturns = std::chrono::milliseconds(1200);
  /// An engine that ends so soon after it began to answer a request may have ended for it.
  Duration mSuspectWithin = std::chrono::seconds(1);
  /// Bytes of answers, and of events, that are kept until they are whole, of all requests together;
  /// an answer that would make it more is broken off.
  std::size_t mMostKeptBytes = std::size_t{ 48 } << 20U;
  /// After a stop is asked for, the balancer needs this long to send no more connections.
  Duration mStopGrace = std::chrono::milliseconds(2600);
  Duration mTick = std::chrono::milliseconds(20);
  NowFn mNow = &BootClock::now;
};

/// Counts since the start; see docs/OPERATIONS.md.
struct RelayCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;   ///< an engine's whole answer was passed on
  std::uint64_t mInvalid = 0;    ///< answered 4xx
  std::uint64_t mRefused = 0;    ///< answered "not run"
  std::uint64_t mFailed = 0;     ///< answered 5xx otherwise
  std::uint64_t mCut = 0;        ///< broken off after the answer had begun
  std::uint64_t mCallerGone = 0; ///< the caller left first
  std::uint64_t mAttempts = 0;   ///< requests sent to engines
  std::uint64_t mSecondAttempts = 0;
  std::uint64_t mResumes = 0; ///< of these, streams that went on elsewhere
  /// Streams that were to go on elsewhere and found no place, by why; some of them ask again.
  std::map<std::string, std::uint64_t> mMovesRefused;
  std::uint64_t mForeignAnswers = 0; ///< of another request; dropped
  /// Kept connections that engines closed under a request, without a byte of an answer.
  std::uint64_t mStaleConnections = 0;
  std::uint64_t mEnginesEnded = 0; ///< engines that ended while they had requests of this node
  /// Connections to engines that did not stand, by what was wrong.
  std::map<std::string, std::uint64_t> mConnectsFailed;
  TimePoint mEngineHeardAt{};        ///< the last byte of any engine came, not through a peer
  std::uint64_t mCarriedByPeers = 0; ///< connections to engines that peers carried for this node
  TunnelCounters mTunnels;           ///< connections that this node carries for others
  /// Requests sent to engines that have a limit, by how they came there; see docs/OPERATIONS.md.
  std::map<std::string, std::uint64_t> mSentToLimited;
  std::uint64_t mLimitedEngines = 0; ///< engines that have a limit; now
  std::uint64_t mBadLimits = 0;      ///< answers with a limit that could not be read
  std::uint64_t mClosedUnread = 0;   ///< connections of callers that were not taken up
  std::uint64_t mOpen = 0;           ///< requests in progress
  std::uint64_t mKeptBytes = 0;      ///< of answers that are kept until they are whole; now
  LatencyHistogram mFirstEvent;      ///< from a request's first byte to its stream's first event
  LatencyHistogram mWholeAnswer;     ///< the same to an answer without a stream
  /// From a stream's last event of one engine to the first of another, at the caller.
  LatencyHistogram mResumePause;
  /// From the moment at which the control thread has a configuration until requests go by it.
  LatencyHistogram mInForce;
  std::uint64_t mConfigurationVersion = 0;       ///< that requests go by
  TimePoint mConfigurationAsOf{};                ///< when it was the newest for certain
  std::map<std::string, std::uint64_t> mReasons; ///< of refusals, failures and cuts
};

struct RelayHooks
{
  /// A replica's head has been silent; any thread's business but the relay's.
  std::function<void(const std::string& aHead, Duration aSilence)> mOnSuspect;
  /// A replica's head refuses requests, or listens no more; told once a pause, see RefusalTracker.
  std::function<void(const std::string& aHead)> mOnRefused;
  /// An engine has ended that had this request.
  std::function<void(const RequestKey& aRequest, const EngineEnd& aEnd)> mOnEngineEnded;
  /// This node reaches engines by its own connections again, or no longer.
  std::function<void(bool aReaches)> mOnReach;
  /// An engine ran a request to its end that the plan names as suspect.
  std::function<void(const RequestKey& aRequest)> mOnRanWhole;
  /// A message to another node's place agent; null where there are no other nodes.
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSendToDesk;
  /// A line for the log; see log.hpp.
  std::function<void(const char* aEvent, const std::map<std::string, std::string>& aFields)> mLog;
};

class Relay
{
public:
  static Result<std::unique_ptr<Relay>> Open(boost::asio::io_context& aContext,
                                             RelayOptions aOptions,
                                             Dialect aDialect,
                                             RelayHooks aHooks);
  virtual ~Relay() = default;

  // All of these on the relay's own thread.
  virtual void SetPlan(std::shared_ptr<const TrafficPlan> aPlan) = 0;
  virtual void Tune(const RelayTuning& aTuning) = 0;
  /// Bytes from another node's place agent.
  virtual void OnDeskMessage(const std::string& aBytes) = 0;
  /// Requests in progress, by engine: this node's own and those that it found places for.
  virtual std::unordered_map<std::string, int> InFlight() const = 0;
  /// Requests a second that engines take, as their answers have said to this node and to those that
  /// it finds places for.
  virtual EngineLimits Limits() const = 0;
  /// The control thread sends a question or an order to an engine.
  virtual void OnCall(const std::string& aEngine) = 0;
  virtual const RelayCounters& Counters() const = 0;
  virtual const PlaceCounters& Places() const = 0;
  virtual const RetryCounters& Retries() const = 0;
  /// Answer what is in progress, then call `aDone` once.
  virtual void BeginStop(std::function<void()> aDone) = 0;
};

} // namespace pepperbay
