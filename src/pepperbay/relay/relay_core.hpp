/// @file
/// @brief What all requests of one relay share. Used by the relay's thread only.
#pragma once

#include "connection_pool.hpp"
#include "ending_probe.hpp"
#include "engine_connector.hpp"
#include "pepperbay/quarantine/recent_runs.hpp"
#include "pepperbay/relay/relay.hpp"
#include "pepperbay/retries/retry_agent.hpp"

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
  /// Count how long a new version took to reach this thread.
  void NoteConfiguration(const TrafficPlan& aPlan);
  /// What was learnt from an engine's answers says nothing of it once it has started again.
  void ForgetReplacedStarts(const EngineIncarnations& aBefore, const EngineIncarnations& aNow);
  /// @return what is known against a request; a score of 0 for nothing.
  SuspectRequest SuspectOf(const RequestKey& aKey) const;
  /// An engine ran a request to its end, so it is not the cause of any engine's end.
  void OnRanWhole(const RequestKey& aKey);
  /// The same for the parts of its prompt.
  void OnPartsRan(const std::vector<PromptPart>& aParts);
  /// Tell whoever keeps suspects that one ran to its end, if it is one.
  void TellRan(const RequestKey& aKey);
  /// Charge an engine's end to what it had, unless that has lately run to its end.
  void ChargeEnd(const RecentRuns& aRuns, const RequestKey& aKey, const EngineEnd& aEnd);
  /// Clear those that have lately run to their end at this node; others have seen only the ends.
  void ClearThoseThatRan(const SuspectRequests& aSuspects);
  /// An engine has ended while it had requests of this node.
  void OnEngineEnded(const AttemptTarget& aEngine, const std::vector<BrokenOff>& aRequests);
  /// An engine that is well broke off requests of this node: it fails them. Only that is told to
  /// others; a path that is cut breaks off requests of all engines at once.
  void OnBrokenOffAlive(const AttemptTarget& aEngine, const std::vector<BrokenOff>& aRequests);
  /// A replica's head listens no more: have the holder ask its members.
  /// @param aAsOf what showed it began then
  void OnHeadGone(const std::string& aHead, TimePoint aAsOf);
  /// Own connections to engines are avoided from now on, or used again.
  void OnAvoid(bool aAvoids);
  /// A byte of the engine that a sending went to has come.
  void OnHeard(const Attempt& aAttempt);
  /// @return engines that may be tried to see whether the path works.
  std::vector<AttemptTarget> EnginesToTry() const;
  /// An engine's limit has changed, as far as this node knows.
  void OnLimit(const LimitNews& aNews);
  /// @return limits that engines' answers name, of their present starts.
  EngineLimits Limits() const;
  void Log(const char* aEvent, const std::map<std::string, std::string>& aFields) const;

  boost::asio::io_context& mContext;
  RelayOptions mOptions;
  Dialect mDialect;
  RelayHooks mHooks;
  std::shared_ptr<const TrafficPlan> mPlan;
  Balancer mBalancer;
  PlaceAgent mPlaces;
  StallDetector mStalls;
  RefusalTracker mGoneHeads; ///< heads that listen no more, as told to the holder
  RetryAgent mRetries;       ///< of plain services; places are asked for by mPlaces
  ConnectionPool mConnections;
  EngineConnector mConnector;
  EndingProbe mEndings;
  RecentRuns mRuns;
  RecentRuns mPartRuns; ///< of parts of prompts; a table of its own, since requests are many more
  RelayCounters mCounters;
  std::set<std::shared_ptr<Session>> mSessions;
  std::set<std::shared_ptr<Exchange>> mExchanges;
  bool mStopping = false;
  bool mTakesRequests = true; ///< false late in a stop
};

} // namespace pepperbay
