/// @file
/// @brief One request of a caller: routed, sent to an engine, perhaps to a second, answered once.
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

/// The way back to the caller. One of `SendWhole()`, or `StartStream()` with `Push()`es and one of
/// `EndStream()` and `Break()`.
class CallerSide
{
public:
  virtual ~CallerSide() = default;
  virtual void SendWhole(CallerAnswer aAnswer) = 0;
  virtual void StartStream(int aStatus, const HeaderFields& aFields) = 0;
  /// @param aDone called when the bytes have gone out and more may follow
  virtual void Push(const std::string& aBytes, std::function<void()> aDone) = 0;
  virtual void EndStream() = 0;
  /// Cut the connection, so that the answer cannot look complete.
  virtual void Break() = 0;
};

/// One sending of a request to one engine.
struct Sending
{
  std::uint64_t mSerial = 0; ///< events of sendings that were dropped are told apart by it
  std::shared_ptr<Attempt> mAttempt;
  AttemptTarget mTarget;
  std::string mGroup;       ///< the replica that it went to; empty for a plain engine
  std::uint64_t mEpoch = 0; ///< of that replica
  PlaceTicket mTicket;
  RateGrant mRate;
  TimePoint mSentAt{};
  std::optional<TimePoint> mHeadAt; ///< its answer began: it runs the request
  TimePoint mLastEventAt{};
  TimePoint mHeardAt{};                ///< its last byte; the zero time for none
  std::optional<TimePoint> mLostSince; ///< the plan speaks against its replica since then
  bool mWriting = false;               ///< it has given an event
  bool mWatched = false;               ///< its silence counts: nothing else keeps its events back
  bool mRepeats = false; ///< its engine was counted for a sending whose connection was stale
  bool mStale = false;   ///< it went on a kept connection that was closed without an answer
  bool mFailed = false;  ///< it has come to nothing
  bool mRunsOn = false;  ///< noted as one that ends no engine
};

/// A kept connection that was closed under a request. The engine may not have read the request and
/// may be well: the next connection there shows it.
struct StaleConnection
{
  AttemptTarget mTarget;
  BrokenOff mRequest; ///< what is noted if the engine has ended
};

/// What could be sent nowhere, and is tried again.
struct AwaitedAttempt
{
  std::string mWhy; ///< the last one came to nothing
  TimePoint mAskAt{};
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(RelayCore* aCore, CallerSide* aCaller, CallerRequest aRequest, TimePoint aArrived);

  void Start();
  /// The caller's connection has ended: stop the work at the engine.
  /// @param aWhy for people
  void OnCallerGone(const std::string& aWhy);
  /// @return the request's id; empty until its head is understood.
  const std::string& RequestId() const { return mFacts.mId; }
  /// Do what is due by time; called every tick.
  void Tick();
  /// The process is about to end.
  void GiveUp();
  /// @return the sending whose answer is awaited over an own connection; null for none.
  const Sending* DirectSending() const;

private:
  enum class Phase
  {
    kPlacing, ///< waits for a place at a replica
    kWaiting, ///< sent to an engine, no answer yet
    kWhole,   ///< an answer is being collected
    kEvents,  ///< events are passed on as they come
    kOver,
  };

  bool CheckCustomer(const TrafficPlan& aPlan);
  /// Answer that the configuration does not have what the request names, or, where a newer one may
  /// have it, that the request has not run.
  void RefuseMiss(const TrafficPlan& aPlan, int aStatus, const char* aReason, const char* aDetail);
  using NoPlace = std::function<void(const std::string& aWhy)>;
  /// Find an engine and send, or call `aOtherwise` with the reason why there is none.
  /// @param aAgain draws on the budget of second attempts
  void PlaceAndSend(bool aAgain, const NoPlace& aOtherwise);
  /// The same, with the budget drawn where it is a plain service's.
  void FindAndSend(bool aAgain, const NoPlace& aOtherwise);
  PlaceRequest MakePlaceRequest(bool aAgain) const;
  /// Ask for a place in a pool. A second attempt that requests have not earned is asked for from
  /// whoever keeps the rest of the budget.
  void AskForPlace(bool aAgain, PlaceAgent::Done aDone);
  static Sending SendingTo(const Place& aPlace);
  /// To an engine of a plain service; nothing when there is none.
  std::optional<Sending> ChooseEngine() const;
  /// @return the engine of the stale connection, as the plan lists it, until the request goes there
  /// again; null for none.
  const EngineTarget* StaleEngine() const;
  /// @return whether it may be sent to an engine that it has not been sent to.
  bool MayAskFurther() const;
  /// @return engines of a pool that may have it once more, where none of it stands.
  std::set<std::string> AskOnceMore() const;
  /// @return engines that it may not be sent to.
  std::set<std::string> Barred() const;
  /// @return engines that it is not sent to now: those, and for a second attempt heads that are
  /// silent, while another one takes it.
  std::set<std::string> LeftOut() const;
  /// @return heads of a pool whose streams at this node stand still.
  std::set<std::string> SilentHeads() const;
  /// @return whether an engine beside those could take it, as far as this node knows.
  bool HasTargetBeside(const std::set<std::string>& aLeftOut) const;
  /// @return whether a place that was granted is one that it may go to.
  bool IsUsable(const Place& aPlace) const;
  /// @return whether another engine could take it, as far as this node knows.
  bool HasTarget() const;
  /// @return whether the pool bears one more second attempt.
  bool HasBudget() const;
  /// Send it there, in place of what was dropped.
  void SendToEngine(Sending aTo);
  /// Begin a sending: it counts, and its events go to the current one's or the next one's handlers.
  void Launch(Sending* aSending);
  void OnDeadline();
  /// The connection to an engine did not stand.
  void NoteUnreached(const Sending& aSending, const std::string& aWhy);
  /// @return whether the request may be sent to another engine.
  bool MayAskSecond() const;
  /// Ask a second engine where the first one is silent for too long.
  void AskSecondIfDue();
  /// @return whether a stream may be moved now, if there is a place for it.
  bool MayMove() const;
  /// Ask for a place at another replica, and send the request there as well.
  void Move(const std::string& aWhy);
  /// Send a request that may run again to another plain engine as well.
  void AskSecondEngine();

  // The second engine that is asked while the first still stands.
  void StartNext(Sending aTo, const std::string& aWhy);
  void OnNextHead(int aStatus, const HeaderFields& aFields);
  void OnNextEnd(const AttemptEnd& aEnd);
  /// The second engine came to nothing; the first goes on.
  void DropNext(const std::string& aWhy, bool aMayHaveRun);
  /// The second engine has the request from here on.
  void TakeNext();
  /// How far the request has come, where no attempt stands.
  RequestProgress Progress() const;
  /// The last attempt has failed: send again, wait until that is possible, or say so.
  void AfterAttempt(const std::string& aWhy, RequestProgress aProgress);
  /// What was to go on elsewhere could be sent nowhere.
  void CountRefusedMove(const std::string& aWhy);
  /// Try again what could be sent nowhere, once that is due.
  void TickAwaited();
  /// Give back what is counted for a sending that is over.
  void EndCounts(Sending* aSending);
  UpstreamRequest MakeUpstreamRequest(const AttemptTarget& aTarget) const;
  Duration Left() const { return mDeadlineAt - mCore->Now(); }

  void OnHead(int aStatus, const HeaderFields& aFields);
  /// A byte of the engine has come.
  void NoteHeard(Sending* aSending);
  /// What the head of an answer says of the engine that gave it.
  void NoteHead(const Sending& aSending, const AnswerFacts& aFacts);
  /// What it says of the requests that the engine takes.
  void NoteLimit(const Sending& aSending, const AnswerFacts& aFacts);
  /// Count a sending to an engine that has a limit.
  void CountIfLimited(const Sending& aSending);
  /// @return why an answer with this head is not one to pass on; empty when it is.
  std::string HeadFault(const AnswerFacts& aFacts) const;
  /// The current engine's answer begins.
  void TakeHead(int aStatus, const HeaderFields& aFields, const AnswerFacts& aFacts);
  void OnBody(std::string_view aBytes);
  void OnEnd(const AttemptEnd& aEnd);
  /// @param aSaidWhole see NoteRan()
  void OnWholeAnswer(bool aSaidWhole);
  void PassEvents(std::string_view aBytes);
  /// Count what is kept of the answer until it is whole. @return whether that may be kept
  bool CountKept();
  /// Pass events on; nothing more is read of the engine until they have gone out.
  void PushToCaller(const std::string& aEvents);
  /// Count a sending's silence from now on, or no longer.
  void Watch(Sending* aSending);
  void Unwatch(Sending* aSending);

  // Requests under which engines end; see exchange_suspect.cpp.
  /// @return what is known against the request, or against a part of its prompt: the longest hold,
  /// and the highest score.
  SuspectRequest Suspected() const;
  /// @return whether the request goes to no engine now: too many have ended under it.
  bool IsHeldBack() const;
  /// An engine ran the request to its end.
  /// @param aSaidWhole the answer itself says so; where its end is that of the connection, an
  /// engine that ended looks the same
  void NoteRan(bool aSaidWhole);
  /// The engine writes for longer than those that the request's parts could have ended.
  void NoteRunsOn();
  /// What is noted of the request if the engine of a sending has ended just now.
  BrokenOff BrokenOffAt(const Sending& aSending) const;
  /// A sending came to nothing: note what that says of its engine, and of the request.
  void NoteEnd(Sending* aSending, const AttemptEnd& aEnd);
  /// A sending's kept connection was closed without a byte of an answer.
  void NoteStale(Sending* aSending);
  /// What another connection has shown of the engine of a stale one.
  void SettleStale(const Sending& aSending, bool aReached);
  /// An engine has started again since, so it has ended.
  void NoteRestarted(const Sending& aSending);
  /// Stop what an engine has only begun, where the request is held back by now.
  /// @return whether the request is over
  bool StopIfHeldBack();
  /// @return when the request may run again at the earliest, from now; the zero duration: now.
  Duration HeldFor() const;

  /// The attempt came to nothing.
  void OnFailure(const std::string& aWhy, bool aMayHaveRun);
  /// The engine has failed a request that may run only once.
  void NoteFailedOnce();
  void DropAttempt();
  /// Close a sending's connection, so that its engine stops, and give back its counts.
  void Drop(Sending* aSending);
  /// @return a replica as the plan has it now; null for none.
  const PoolReplica* ReplicaInPlan(const std::string& aGroup) const;
  /// @return whether the replica stands still: by what it does first, then by what is said of it.
  bool StandsStill(const Sending& aSending) const;
  /// @return whether the plan speaks against the replica; it may still answer.
  bool SaidToBeLost(const Sending& aSending) const;
  /// @return whether it was sent over an own connection that is silent, and the path to the engine
  /// is known to be at fault.
  bool IsCutOff(const Sending& aSending) const;
  /// @return whether another engine is to be asked for what this one was sent.
  bool ShouldLeave(const Sending& aSending) const;
  /// Keep the time at which the plan began to speak against a sending's replica.
  void NoteLoss(Sending* aSending) const;
  /// @return whether it stands still, is said to be lost, and has given nothing for so long since.
  bool IsSilentFor(const Sending& aSending, Duration aFor) const;
  /// @return whether the second engine is let go though no end of it shows.
  bool IsNextHopeless() const;
  bool IsCurrent(std::uint64_t aSerial) const
  {
    return mPhase != Phase::kOver && mCurrent.mAttempt && mCurrent.mSerial == aSerial;
  }
  bool IsNext(std::uint64_t aSerial) const
  {
    return mPhase != Phase::kOver && mNext && mNext->mSerial == aSerial;
  }
  /// @return whether the engine that works on this has started again since: no answer will come.
  bool EngineRestarted(const Sending& aSending) const;
  void LogFailedAttempt(const Sending& aSending,
                        const std::string& aWhy,
                        bool aMayHaveRun,
                        const std::string& aNotAgain) const;
  /// What is known of the replica of the present attempt, and how old the word of it is.
  void AddReplicaFields(const Sending& aSending, std::map<std::string, std::string>* aFields) const;
  /// Pass on the engine's own failure that was kept.
  void AnswerFallback(const std::string& aReason);

  void Answer(int aStatus, const std::string& aReason, const std::string& aDetail);
  /// @return when a caller that is refused should come back.
  Duration RetryAfter() const;
  void Refuse(const std::string& aReason);
  void RefuseHeldBack();
  /// Break the begun answer off, so that it cannot look complete.
  void Cut(const std::string& aReason);
  /// Over(), and @return the way to the caller for the last word; null when the caller has gone.
  CallerSide* Finish();
  void Over();
  void LogEnd(const char* aOutcome, const std::string& aReason) const;

  RelayCore* mCore;
  CallerSide* mCaller; ///< null once the caller has gone
  CallerRequest mRequest;
  TimePoint mArrived;
  TimePoint mDeadlineAt{};
  RequestFacts mFacts;
  std::shared_ptr<const RouteTable> mRoutes; ///< keeps mRoute and mService alive
  const Route* mRoute = nullptr;
  const ServiceSpec* mService = nullptr;
  std::string mCustomer;
  RequestKey mKey;                ///< the same for all repeats of this request
  std::vector<PromptPart> mParts; ///< that other requests may have as well
  int mPriority = 0;

  Phase mPhase = Phase::kWaiting;
  Sending mCurrent;             ///< whose answer the caller gets
  std::optional<Sending> mNext; ///< asked as well, in case the current one stands still
  std::string mNextWhy;         ///< why it was asked
  std::uint64_t mLastSerial = 0;
  std::set<std::string> mTried;     ///< engines that come into question no more
  std::set<std::string> mUnreached; ///< second engines that took no connection; asked after others
  AttemptedEngines mAsked;
  std::optional<StaleConnection> mStale; ///< the last, until it is known what became of its engine
  bool mAvoidsKept = false;   ///< a connection was closed under it; kept ones may be dead as well
  bool mMoving = false;       ///< asks for a place elsewhere
  TimePoint mMoveNotBefore{}; ///< no place was found just now, or it was refused
  int mMovesRefused = 0;      ///< times that no place was found
  std::optional<AwaitedAttempt> mAwaited;
  int mSent = 0; ///< times
  int mConnectFailures = 0;
  Duration mLimitedFor{ 0 }; ///< engines with room take no more for so long
  bool mFoundFull = false; ///< each replica had all that it should hold when a place was asked for
  bool mBrokenOff = false; ///< an engine closed its connection in the middle of it
  bool mMayHaveRun = false;

  int mStatus = 0;
  HeaderFields mFields;
  std::string mBody;
  EventSplitter mSplitter;
  std::size_t mKept = 0;                   ///< bytes of these two, as they are counted
  std::optional<std::uint64_t> mLastEvent; ///< passed on to the caller, or had before
  TimePoint mPassedAt{};                   ///< the last event was passed on
  bool mStreamStarted = false;             ///< the caller has the head
  bool mPushing = false;                   ///< events are on their way to the caller
  /// An engine's own failure, kept while a second engine is asked.
  std::optional<CallerAnswer> mFallback;
};

} // namespace pepperbay
