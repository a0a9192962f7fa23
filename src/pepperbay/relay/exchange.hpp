/// @file
/// @brief Handles one request of a caller: routes it, sends it to one engine or more, and answers
/// the caller once.
#pragma once

#include "attempt.hpp"
#include "pepperbay/dispatch/attempted_engines.hpp"
#include "pepperbay/dispatch/failure_step.hpp"
#include "pepperbay/quarantine/request_key.hpp"
#include "pepperbay/relay/event_splitter.hpp"
#include "relay_core.hpp"

#include <memory>
#include <set>
#include <string>

namespace pepperbay {

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using CallerAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// Sends the answer to the caller: either one `SendAnswer()`, or `StartStream()`, any number of
/// `Push()` and then one `EndStream()` or `AbortStream()`.
class AnswerWriter
{
public:
  virtual ~AnswerWriter() = default;
  virtual void SendAnswer(CallerAnswer aAnswer) = 0;
  virtual void StartStream(int aStatus, const HeaderFields& aFields) = 0;
  /// @param aDone called when the bytes are written and more may follow
  virtual void Push(const std::string& aBytes, std::function<void()> aDone) = 0;
  virtual void EndStream() = 0;
  /// Aborts the connection, so that the answer cannot look complete.
  virtual void AbortStream() = 0;
};

/// One dispatch of a request to one engine.
struct EngineDispatch
{
  std::uint64_t mSerial = 0; ///< unique in the exchange; identifies events of abandoned dispatches
  std::shared_ptr<Attempt> mAttempt;
  AttemptTarget mTarget;
  std::string mGroup;       ///< target replica; empty for an engine of a plain service
  std::uint64_t mEpoch = 0; ///< epoch of that replica
  SlotTicket mTicket;
  /// Age of the registrations by which the engine was chosen, then; none: not known.
  std::optional<Duration> mViewAge;
  RateGrant mRate;
  TimePoint mSentAt{};
  std::optional<TimePoint> mHeadAt; ///< when the answer began: the engine runs the request
  TimePoint mLastEventAt{};
  TimePoint mHeardAt{}; ///< when bytes last arrived; the zero time for never
  /// Since when the plan reports the replica lost or re-formed.
  std::optional<TimePoint> mLostSince;
  bool mWriting = false; ///< the engine has sent an event
  bool mWatched = false; ///< the engine's silence is measured: the relay is ready to read
  bool mRepeats = false; ///< repeats a dispatch to this engine that failed on a stale connection
  bool mStale = false;   ///< sent on a pooled connection that was closed without an answer
  bool mFailed = false;  ///< the dispatch has failed
  bool mLongRunNoted = false; ///< noted as running too long to be the cause of an exit
};

/// A pooled connection that was closed after a request was sent. The engine may be alive and not
/// have read the request; the next connection to it shows that.
struct StaleConnection
{
  AttemptTarget mTarget;
  InterruptedRequest mRequest; ///< reported if the engine has exited
};

/// A retry that is waiting until an engine can take the request.
struct PendingRetry
{
  std::string mReason; ///< why the last attempt failed
  TimePoint mRetryAt{};
};

/// A request of a caller, from its arrival to the end of its answer. Used by the relay's thread
/// only.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(RelayCore* aCore, AnswerWriter* aCaller, CallerRequest aRequest, TimePoint aArrived);

  void Start();
  /// The caller's connection was closed: stops the work at the engine.
  /// @param aReason for the log
  void OnCallerGone(const std::string& aReason);
  /// @return the request's ID; empty until its headers are parsed.
  const std::string& RequestId() const { return mMetadata.mId; }
  /// Handles deadlines and other time-outs; called every tick.
  void Tick();
  /// Aborts the request because the process is about to exit.
  void Abort();
  /// @return the dispatch whose answer is awaited over a direct connection; null for none.
  const EngineDispatch* DirectDispatch() const;

private:
  enum class Phase
  {
    kAwaitingSlot, ///< waits for a slot at a replica
    kWaiting,      ///< sent to an engine, no answer yet
    kBuffering,    ///< a plain answer is being buffered
    kStreaming,    ///< events are forwarded as they arrive
    kFinished,
  };

  bool CheckCustomer(const TrafficPlan& aPlan);
  /// Answers that the configuration lacks what the request names or, where a newer configuration
  /// may have it, that the request has not run.
  void RefuseMiss(const TrafficPlan& aPlan, int aStatus, const char* aReason, const char* aDetail);
  using OnNoTarget = std::function<void(const std::string& aReason)>;
  /// Selects an engine and sends the request, or calls `aOtherwise` with the reason why none is
  /// available.
  /// @param aAgain this is a retry and draws on the retry budget
  void AllocateAndSend(bool aAgain, const OnNoTarget& aOtherwise);
  /// The same, after the retry budget of a plain service was drawn on.
  void SelectAndSend(bool aAgain, const OnNoTarget& aOtherwise);
  SlotRequest MakeSlotRequest(bool aAgain) const;
  /// Requests a slot in a pool. If the pool's share of the retry budget is used up, the retry is
  /// requested from the node that holds the rest of the budget.
  void RequestSlot(bool aAgain, SlotAgent::Done aDone);
  static EngineDispatch DispatchTo(const SlotResult& aPlace);
  /// @param aHedge another engine has the request and may still answer
  /// @return a dispatch to an engine of a plain service; none if no engine is available.
  std::optional<EngineDispatch> ChooseEngine(bool aHedge) const;
  /// @return the engine of the stale connection, as listed in the plan, until the request is sent
  /// to it again; null for none.
  const EngineTarget* StaleEngine() const;
  /// @return whether the attempt limit allows an engine that the request was not yet sent to.
  bool MayTryNewEngine() const;
  /// @return engines of a pool to which the request may be sent a second time, since no dispatch to
  /// them is pending.
  std::set<std::string> RepeatableEngines() const;
  /// @return engines to which the request must not be sent.
  std::set<std::string> ForbiddenEngines() const;
  /// @return engines to exclude now: the forbidden ones, and for a retry also silent heads, as long
  /// as another engine remains.
  std::set<std::string> ExcludedEngines() const;
  /// @return heads of a pool whose streams at this node have stalled.
  std::set<std::string> SilentHeads() const;
  /// @return whether an engine outside this set could take the request, as far as this node knows.
  bool HasTargetExcluding(const std::set<std::string>& aExcluded) const;
  /// @return whether the request may be sent to the engine of a granted slot.
  bool IsUsable(const SlotResult& aPlace) const;
  /// @return whether another engine could take the request, as far as this node knows.
  bool HasTarget() const;
  /// @return whether the retry budget allows another attempt.
  bool HasBudget() const;
  /// Sends the request to an engine. Precondition: no other dispatch is pending.
  void SendToEngine(EngineDispatch aTo);
  /// Starts a dispatch and counts it. Its events go to the handlers of the current dispatch or of
  /// the hedge.
  void Launch(EngineDispatch* aDispatch);
  /// Counts by how old a view the engine was chosen, and whether this node knows that it leaves.
  void NoteView(const EngineDispatch& aDispatch);
  void OnDeadline();
  /// Notes that the connection to an engine could not be established.
  void NoteUnreached(const EngineDispatch& aDispatch, const std::string& aReason);
  /// @return whether the request may be sent to another engine.
  bool MayHedge() const;
  /// Sends a hedge to a second engine if the first one has been silent for too long.
  void HedgeIfDue();
  /// @return whether a stream may be moved now, if a slot is available.
  bool MayHedgeStream() const;
  /// Requests a slot at another replica, and sends the request there as well.
  void HedgeStream(const std::string& aReason);
  /// Sends a safe request to another engine of a plain service as well.
  void HedgeSafeRequest();

  // The hedge: a second dispatch while the first one is still pending.
  void StartHedge(EngineDispatch aTo, const std::string& aReason);
  void OnHedgeHead(int aStatus, const HeaderFields& aFields);
  void OnHedgeEnd(const AttemptEnd& aEnd);
  /// The hedge has failed; the first dispatch continues.
  void DropHedge(const std::string& aReason, bool aMayHaveRun);
  /// Abandons the first dispatch and makes the hedge the current one.
  void PromoteHedge();
  /// @return the state of the request for AfterFailure(). Precondition: no dispatch is pending.
  RequestProgress Progress() const;
  /// The last attempt has failed: sends the request again, waits until that is possible, or answers
  /// with an error.
  void AfterAttempt(const std::string& aReason, RequestProgress aProgress);
  /// Counts that no engine was found for resuming the request elsewhere.
  void CountRefusedMove(const std::string& aReason);
  /// Retries a request that no engine could take, once that is due.
  void TickPendingRetry();
  /// Releases the resources that are counted for a finished dispatch.
  void EndCounts(EngineDispatch* aDispatch);
  UpstreamRequest MakeUpstreamRequest(const AttemptTarget& aTarget) const;
  Duration TimeLeft() const { return mDeadlineAt - mCore->Now(); }

  void OnHead(int aStatus, const HeaderFields& aFields);
  /// Notes that bytes of the engine were received.
  void NoteHeard(EngineDispatch* aDispatch);
  /// Notes what the headers of an answer show about the engine.
  void NoteHead(const EngineDispatch& aDispatch, const AnswerMetadata& aMetadata);
  /// Notes the rate limit in the headers of an answer.
  void NoteLimit(const EngineDispatch& aDispatch, const AnswerMetadata& aMetadata);
  /// Counts a dispatch to an engine that has a rate limit.
  void CountIfLimited(const EngineDispatch& aDispatch);
  /// @return why an answer with these headers must not be forwarded; empty if it may be.
  std::string HeadFault(const AnswerMetadata& aMetadata) const;
  /// Handles the beginning of the current engine's answer.
  void BeginAnswer(int aStatus, const HeaderFields& aFields, const AnswerMetadata& aMetadata);
  void OnBody(std::string_view aBytes);
  void OnEnd(const AttemptEnd& aEnd);
  /// @param aExplicitEnd see NoteCompleted()
  void OnCompleteAnswer(bool aExplicitEnd);
  void ForwardEvents(std::string_view aBytes);
  /// Updates the count of buffered bytes. @return whether they are within the limits
  bool CountBuffered();
  /// Forwards events; nothing more is read from the engine until they are written.
  void PushToCaller(const std::string& aEvents);
  /// Starts or stops measuring the silence of a dispatch's engine.
  void Watch(EngineDispatch* aDispatch);
  void Unwatch(EngineDispatch* aDispatch);

  // Requests that may make engines exit; see exchange_suspect.cpp.
  /// @return the suspicion against the request and the parts of its prompt: the latest end of a
  /// quarantine, and the highest score.
  SuspectRequest Suspected() const;
  /// @return whether the request is quarantined: too many engines have exited while they ran it.
  bool IsQuarantined() const;
  /// Notes that an engine completed the request.
  /// @param aExplicitEnd the answer has an explicit end; if only the end of the connection marks
  /// it, an engine that exited looks the same
  void NoteCompleted(bool aExplicitEnd);
  /// Clears the request's prompt parts once the engine has streamed for longer than it would if
  /// they made it exit.
  void NoteLongRun();
  /// @return the record of the request to report if the engine of a dispatch has just exited.
  InterruptedRequest MakeInterruptedRequest(const EngineDispatch& aDispatch) const;
  /// A dispatch has failed: notes what that shows about its engine and about the request.
  void NoteEnd(EngineDispatch* aDispatch, const AttemptEnd& aEnd);
  /// A dispatch's pooled connection was closed without a byte of an answer.
  void NoteStale(EngineDispatch* aDispatch);
  /// Handles the engine of a stale connection once another connection has shown its state.
  void SettleStale(const EngineDispatch& aDispatch, bool aReached);
  /// The engine of a dispatch has restarted since, so its former process has exited.
  void NoteRestarted(const EngineDispatch& aDispatch);
  /// Aborts a request that an engine has only just begun, if it is quarantined by now.
  /// @return whether the request is finished
  bool StopIfQuarantined();
  /// @return time until the request may run again; zero: it may run now.
  Duration QuarantineTimeLeft() const;

  /// The current attempt has failed.
  void OnFailure(const std::string& aReason, bool aMayHaveRun);
  /// Notes that the engine has failed a request that must not run twice.
  void NoteNonRepeatableFailure();
  void DropAttempt();
  /// Closes a dispatch's connection, so that its engine stops, and releases what is counted for it.
  void Drop(EngineDispatch* aDispatch);
  /// @return the replica in the current plan; null for none.
  const PoolReplica* ReplicaInPlan(const std::string& aGroup) const;
  /// @return whether the replica has stalled. Its own events decide first, then what the plan
  /// reports.
  bool IsStalled(const EngineDispatch& aDispatch) const;
  /// @return whether the plan reports the replica as lost or re-formed; it may still answer.
  bool IsReportedLost(const EngineDispatch& aDispatch) const;
  /// @return whether the dispatch uses a direct connection that is silent while the network path to
  /// its engine is known to be faulty.
  bool IsPathDown(const EngineDispatch& aDispatch) const;
  /// @return whether the request should be sent to another engine as well.
  bool ShouldHedgeStream(const EngineDispatch& aDispatch) const;
  /// Records since when the plan reports the replica of a dispatch as lost.
  void RecordLoss(EngineDispatch* aDispatch) const;
  /// @return whether the replica has stalled, is reported lost, and has sent nothing for this long
  /// since the report.
  bool IsSilentFor(const EngineDispatch& aDispatch, Duration aFor) const;
  /// @return whether the hedge is to be abandoned although it has not failed.
  bool IsHedgeTimedOut() const;
  bool IsCurrent(std::uint64_t aSerial) const
  {
    return mPhase != Phase::kFinished && mCurrent.mAttempt && mCurrent.mSerial == aSerial;
  }
  bool IsHedge(std::uint64_t aSerial) const
  {
    return mPhase != Phase::kFinished && mHedge && mHedge->mSerial == aSerial;
  }
  /// @return whether the dispatch's engine has restarted since, so that no answer will come.
  bool EngineRestarted(const EngineDispatch& aDispatch) const;
  void LogFailedAttempt(const EngineDispatch& aDispatch,
                        const std::string& aReason,
                        bool aMayHaveRun,
                        const std::string& aNotAgain) const;
  /// Adds what is known about the replica of a dispatch, and the age of that information.
  void AddReplicaFields(const EngineDispatch& aDispatch,
                        std::map<std::string, std::string>* aFields) const;
  /// Forwards the engine's error response that was kept.
  void AnswerFallback(const std::string& aReason);

  void Answer(int aStatus, const std::string& aReason, const std::string& aDetail);
  /// @return the Retry-After time for a refused caller.
  Duration RetryAfter() const;
  void Refuse(const std::string& aReason);
  void RefuseQuarantined();
  /// Aborts an answer that has begun, so that it cannot look complete.
  void Cut(const std::string& aReason);
  /// Calls Release(). @return the writer for the end of the answer; null if the caller has gone
  AnswerWriter* Finish();
  void Release();
  void LogSentToLeaving(const EngineDispatch& aDispatch, const EngineDeparture& aDeparture) const;
  void LogEnd(const char* aOutcome, const std::string& aReason) const;

  RelayCore* mCore;
  AnswerWriter* mCaller; ///< null once the caller has gone
  CallerRequest mRequest;
  TimePoint mArrived;
  TimePoint mDeadlineAt{};
  RequestMetadata mMetadata;
  std::shared_ptr<const RouteTable> mRoutes; ///< keeps mRoute and mService alive
  const Route* mRoute = nullptr;
  const ServiceSpec* mService = nullptr;
  std::string mCustomer;
  RequestKey mKey;                ///< the same for all repetitions of this request
  std::vector<PromptPart> mParts; ///< prompt parts that other requests may share
  int mPriority = 0;

  Phase mPhase = Phase::kWaiting;
  EngineDispatch mCurrent;              ///< the dispatch whose answer the caller gets
  std::optional<EngineDispatch> mHedge; ///< the hedge, in case the current dispatch has stalled
  std::string mHedgeReason;             ///< why the hedge was sent
  std::uint64_t mLastSerial = 0;
  std::set<std::string> mTried;     ///< engines that are no longer candidates
  std::set<std::string> mUnreached; ///< unreachable targets of hedges; used after all others
  AttemptedEngines mAsked;
  std::optional<StaleConnection> mStale; ///< the last one, until the state of its engine is known
  bool mAvoidsPooled = false;  ///< one connection was closed early; pooled ones may be dead as well
  bool mHedgePending = false;  ///< a slot elsewhere is being requested
  TimePoint mHedgeNotBefore{}; ///< no earlier hedge, since no slot was found or the hedge failed
  int mMovesRefused = 0;       ///< times that no slot was found
  std::optional<PendingRetry> mPendingRetry;
  int mSent = 0; ///< dispatches, without failed connects and repeats after a stale connection
  int mConnectFailures = 0;
  Duration mRateLimitedFor{ 0 }; ///< time until engines with free slots are below their rate limit
  bool mAllFull = false;         ///< all replicas were at capacity when a slot was requested
  bool mInterrupted = false;     ///< an engine closed the connection during the request
  bool mMayHaveRun = false;

  int mStatus = 0;
  HeaderFields mFields;
  std::string mBody;
  EventSplitter mSplitter;
  std::size_t mBuffered = 0;               ///< bytes of mBody and mSplitter, as last counted
  std::optional<std::uint64_t> mLastEvent; ///< last event ID that the caller has
  TimePoint mForwardedAt{};                ///< when the last event was forwarded
  bool mStreamStarted = false;             ///< the status and headers were sent to the caller
  bool mPushing = false;                   ///< events are being written to the caller
  /// An engine's error response, kept while a second engine is tried.
  std::optional<CallerAnswer> mFallback;
};

} // namespace pepperbay
