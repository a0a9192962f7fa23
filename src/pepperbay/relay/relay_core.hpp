/// @file
/// @brief State shared by all requests of one relay. Used by the relay's thread only.
#pragma once

#include "connection_pool.hpp"
#include "engine_connector.hpp"
#include "exit_probe.hpp"
#include "pepperbay/quarantine/recent_completions.hpp"
#include "pepperbay/relay/relay.hpp"
#include "pepperbay/retries/retry_agent.hpp"

#include <optional>
#include <set>

namespace pepperbay {

class Exchange;
class Session;

struct RelayCore
{
  RelayCore(boost::asio::io_context& aContext,
            RelayOptions aOptions,
            Dialect aDialect,
            RelayHooks aHooks);

  TimePoint Now() const { return mOptions.mNow(); }
  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan);
  void Tune(const RelayTuning& aTuning);
  /// Records how long a new configuration version took to reach this thread.
  void NoteConfiguration(const TrafficPlan& aPlan);
  /// The same for changes of registrations.
  void NoteEngines(const TrafficPlan& aPlan);
  /// Logs when requests begin to be sent by old registrations, and when they no longer are.
  /// @param aAge of the registrations by which an engine was chosen
  void NoteViewAge(Duration aAge);
  /// Discards what was learnt about engines that have restarted or are no longer listed: it does
  /// not hold for the new process.
  void ForgetStaleIncarnations(const EngineIncarnations& aBefore, const EngineIncarnations& aNow);
  /// @return the suspicion against a request; a score of 0 means none.
  SuspectRequest SuspectOf(const RequestKey& aKey) const;
  /// An engine completed a request, so the request did not cause any engine to exit.
  void OnRequestCompleted(const RequestKey& aKey);
  /// An engine completed a request with these prompt parts.
  void OnPartsCompleted(const std::vector<PromptPart>& aParts);
  /// Reports that a request or prompt part was completed, if it is a suspect.
  void ReportCompleted(const RequestKey& aKey);
  /// Counts an engine's exit against a request or prompt part that it had, unless that was
  /// completed recently.
  void ChargeExit(const RecentCompletions& aRuns, const RequestKey& aKey, const EngineEnd& aEnd);
  /// Clears the suspects that were recently completed at this node. Other nodes have seen only the
  /// exits.
  void ClearCompletedSuspects(const SuspectRequests& aSuspects);
  /// An engine exited while it had requests of this node.
  void OnEngineExited(const AttemptTarget& aEngine,
                      const std::vector<InterruptedRequest>& aRequests);
  /// An engine that is alive closed the connections of requests, so it counts as failing them. Only
  /// this case is reported: a network partition breaks connections to all engines at once.
  void OnInterruptedAlive(const AttemptTarget& aEngine,
                          const std::vector<InterruptedRequest>& aRequests);
  /// A replica's head no longer listens: the coordinator is to check its members.
  /// @param aAsOf when the attempt that showed it was started
  void OnHeadNotListening(const std::string& aHead, TimePoint aAsOf);
  /// Direct connections to engines are avoided from now on, or used again.
  void OnDirectPathChange(bool aDown);
  /// Bytes of the attempt's engine were received.
  void OnHeard(const Attempt& aAttempt);
  /// @return engines that may be connected to in order to test the network path.
  std::vector<AttemptTarget> EnginesToProbe() const;
  /// An engine's rate limit, as known to this node, has changed.
  void OnLimit(const LimitUpdate& aNews);
  /// @return the rate limits in the answers of the current engine processes.
  EngineLimits Limits() const;
  void Log(const char* aEvent, const std::map<std::string, std::string>& aFields) const;

  boost::asio::io_context& mContext;
  RelayOptions mOptions;
  Dialect mDialect;
  RelayHooks mHooks;
  std::shared_ptr<const TrafficPlan> mPlan;
  Balancer mBalancer;
  SlotAgent mPlaces;
  StallDetector mStalls;
  RefusalTracker mUnreachableHeads; ///< heads that no longer listen and were reported
  RetryAgent mRetries; ///< retry budget of plain services; slots are requested through mPlaces
  ConnectionPool mConnections;
  EngineConnector mConnector;
  ExitProbe mExitProbe;
  RecentCompletions mRuns;
  /// Prompt parts; in mRuns the more numerous requests would evict them.
  RecentCompletions mPartRuns;
  RelayCounters mCounters;
  std::optional<Duration> mOldestView; ///< while requests are sent by old registrations
  std::set<std::shared_ptr<Session>> mSessions;
  std::set<std::shared_ptr<Exchange>> mExchanges;
  bool mStopping = false;
  bool mAcceptsRequests = true; ///< false late in a shutdown
};

} // namespace pepperbay
