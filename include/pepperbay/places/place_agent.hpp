/// @file
/// @brief One node's part in sharing out the places at replicas. Pure.
///
/// Hundreds of nodes that each choose by what they last heard of the others all choose the replica
/// that seems emptiest, and engines reject one request in five (65 nodes, measured). So a node asks
/// the desk of its data centre, which has granted all places there and knows what is in progress to
/// the request. A desk is a node like any other; which one is in the plan. Where no desk answers, a
/// node chooses by what it knows itself.
#pragma once

#include "pepperbay/admission/earned_retries.hpp"
#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/places/own_part.hpp"
#include "pepperbay/places/place_book.hpp"
#include "pepperbay/places/rate_ledger.hpp"
#include "pepperbay/routing/balancer.hpp"
#include "pepperbay/routing/traffic_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pepperbay.pb.h>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct PlaceAgentOptions
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mAddress; ///< where this node hears desks and other nodes; `IP:port`, UDP
  /// A question without an answer is sent again after this: several round trips between data
  /// centres, and a loss costs less than a tenth of the time to a first event.
  Duration mResendAfter = std::chrono::milliseconds(10);
  /// And given up after this; the next desk is asked, or none.
  Duration mGiveUpAfter = std::chrono::milliseconds(30);
  /// A desk that did not answer is passed over for this long. Its silence shows in heartbeats at
  /// some 650 ms; until then each question to it would cost mGiveUpAfter.
  Duration mPassOver = std::chrono::milliseconds(300);
  /// What is held of a desk's places is told to it this often; a lost word of an end keeps a place
  /// from others for so long.
  Duration mTellHeldEvery = std::chrono::milliseconds(500);
  /// Second attempts of all nodes together in a window, as a share of requests; what is allowed
  /// beyond it is kept elsewhere, see retries/retry_agent.hpp.
  double mRetryShare = RetryLimits().mShare;
};

struct PlaceRequest
{
  std::string mService;
  std::string mModel;
  Duration mWork{ 0 }; ///< time that a replica takes to read the prompt
  /// To the first event; zero: it is late in any case, or goes on after its first event.
  Duration mObjective{ 0 };
  std::set<std::string> mTried; ///< heads that the request has been sent to
  bool mAgain = false;          ///< goes to a second engine
  bool mDrawn = false;          ///< and that has been drawn elsewhere, so not here
  bool mOnce = false;           ///< of a plain service: it may run only once
  Claimant mClaimant{};         ///< who goes first to engines that take few requests a second
};

enum class PlaceOutcome
{
  kGranted,
  kFull,      ///< each replica has all that it should hold
  kNoReplica, ///< none takes requests
  kNoBudget,  ///< no second attempt is left that requests have earned
  kLimited,   ///< those that have room take no more requests for now
};

const char*
ToString(PlaceOutcome aOutcome);

/// A place that was granted; give it back with `End()`.
struct PlaceTicket
{
  std::string mDesk; ///< that counts it; empty: none does
  std::uint64_t mId = 0;
};

/// What whoever has chosen an engine knew of its limit.
struct RateGrant
{
  std::optional<double> mPerSecond; ///< the request counts against it; none: no limit was known
  std::string mDeskAddress;         ///< of the desk that has granted it; empty: this node chose
  std::uint64_t mStampNs = 0;       ///< of that desk's clock
  TimePoint mAt{};                  ///< when this node got it
};

struct Place
{
  PlaceOutcome mOutcome = PlaceOutcome::kNoReplica;
  std::string mGroup; ///< empty for an engine of a plain service
  std::uint64_t mEpoch = 0;
  EngineTarget mHead;
  PlaceTicket mTicket;
  RateGrant mRate;
  Duration mRetryAfter{ 0 }; ///< where all are limited: when to come back; zero: not known
};

/// What a node hears of an engine's limit.
struct LimitNews
{
  std::uint32_t mEngine = 0; ///< by ShortId()
  LimitChange mChange = LimitChange::kNone;
  std::optional<double> mPerSecond;
  Duration mAge{ 0 }; ///< since the request left to whose answer the engine said so
  std::string mFrom;  ///< node that says so; empty: the engine, to this node
};

struct PlaceAgentHooks
{
  NowFn mNow;
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSend;
  std::function<void(const LimitNews&)> mOnLimit = nullptr; ///< may be null
  /// Questions and answers about second attempts, which come the same way; may be null.
  std::function<void(const proto::PlaceMessage&)> mOnRetry = nullptr;
};

struct PlaceCounters
{
  std::uint64_t mAsked = 0;    ///< questions to other nodes' desks
  std::uint64_t mResent = 0;   ///< of these, sent again
  std::uint64_t mGivenUp = 0;  ///< desks that did not answer in time
  std::uint64_t mAlone = 0;    ///< choices without a desk though the plan names one
  std::uint64_t mGranted = 0;  ///< places granted to other nodes
  std::uint64_t mPassedOn = 0; ///< questions passed on to the desk of another data centre
  std::uint64_t mLimited = 0;  ///< requests refused as all that had room take no more for now
  std::uint64_t mOwnPart = 0;  ///< requests sent by this node's own part of a limit
  std::uint64_t mCounted = 0;  ///< requests counted against limits, of all nodes
  std::uint64_t mBadMessages = 0;
};

/// Asks, answers, and keeps the accounts of both sides. Used by one thread.
///
/// @code
/// agent.Ask(request, [&](const Place& aPlace) {
///   if (aPlace.mOutcome == PlaceOutcome::kGranted) { send(aPlace.mHead); ...
///   agent.End(aPlace.mTicket); }
/// });
/// @endcode
class PlaceAgent
{
public:
  using Done = std::function<void(const Place&)>;

  /// @param aBalancer counts the places granted here; the owner counts the requests that it sends
  PlaceAgent(PlaceAgentOptions aOptions, PlaceAgentHooks aHooks, Balancer* aBalancer);

  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan);
  void SetRetryShare(double aShare);

  /// @param aDone called exactly once, perhaps before this returns
  void Ask(const PlaceRequest& aRequest, Done aDone);
  void End(const PlaceTicket& aTicket);
  /// @return whether a second attempt may be granted; a desk elsewhere decides when it is asked.
  bool MayTryAgain(const std::string& aService);

  /// @return whether a limit is known of an engine of a service; then its engines are asked for.
  bool HasLimits(const std::string& aService) const;
  /// @return requests a second that an engine takes, as far as this node knows; none: no limit.
  std::optional<double> LimitOf(const EngineTarget& aEngine) const;
  /// An engine's answer says what it takes. The desk that counts is told what it did not know.
  LimitChange OnStatement(const EngineTarget& aEngine,
                          const RateGrant& aGrant,
                          const LimitStatement& aStatement);
  /// This node sends a question or an order to an engine, which counts against its limit.
  void OnCall(const std::string& aEngine);

  /// Bytes from another node's agent.
  void OnMessage(const std::string& aBytes);
  /// Do what is due; call every few tens of milliseconds.
  void Tick();

  const PlaceCounters& Counters() const { return mCounters; }

private:
  struct Pending
  {
    PlaceRequest mRequest;
    Done mDone;
    AllocatorAddress mDesk;
    std::string mBytes;
    TimePoint mSent{};
    bool mResent = false;
    int mDesksAsked = 0;
  };
  /// What this node holds of another's places.
  struct Held
  {
    std::string mAddress;
    std::set<std::uint64_t> mIds;
    std::vector<std::uint64_t> mEnded; ///< to be told
    TimePoint mToldAt{};
    bool mToldEmpty = true;
  };
  /// Who asks a desk.
  struct Asker
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
    std::string mAddress;
  };

  /// For whom a choice is made, which decides what of a limit may be used.
  enum class Chooser
  {
    kDesk,    ///< for another node that asks
    kLastHop, ///< the same, where another desk has passed the question on
    kAlone,   ///< for this node itself
    kOwnPart, ///< the same, by its own part of the limits only
  };

  TimePoint Now() const { return mHooks.mNow(); }
  /// @return the best desk that has not failed to answer lately; null for none.
  const AllocatorAddress* UsableDesk() const;
  /// Ask the best desk, or choose alone where there is none.
  void AskDesk(std::uint64_t aId, Pending aPending);
  void Resend(const Pending& aPending);
  /// @param aCounted a desk has counted the request
  Place ChooseAlone(const PlaceRequest& aRequest, Chooser aChooser, bool aCounted);
  struct Choice
  {
    PlaceOutcome mOutcome = PlaceOutcome::kNoReplica;
    const EngineTarget* mHead = nullptr;
    const PoolReplica* mReplica = nullptr; ///< null for an engine of a plain service
  };
  /// What is asked of a choice, for pools and plain services.
  struct Query
  {
    std::string mService;
    Balancer::ReplicaQuery mReplica;
    bool mOnce = false;
  };
  Choice Choose(const Query& aQuery) const;
  /// What a question does to the account of second attempts.
  enum class Account
  {
    kRequest, ///< earns a part of one
    kRetry,   ///< draws one
    kNothing, ///< has been counted elsewhere
  };
  /// @param aFound there is a place for it
  static Account AccountOf(bool aAgain, bool aDrawn, bool aCounted, bool aFound);
  /// @return false where there is none left to draw
  bool Count(const std::string& aService, Account aAccount);
  EarnedRetries& EarnedOf(const std::string& aService);
  EarnedRetries::Options EarnedOptions() const;
  void OnAsk(const proto::PlaceMessage& aMessage);
  /// What an asker says of engines beside its question, and what others have said.
  void TakeWord(const Asker& aAsker, const proto::PlaceAsk& aAsk, proto::PlaceAnswer* aAnswer);
  /// @return the desk of another data centre, where this node is a desk; null: nowhere.
  const AllocatorAddress* DeskOf(const std::string& aDataCentre) const;
  void PassOn(const proto::PlaceAsk& aAsk, const Asker& aAsker, const AllocatorAddress& aDesk);
  void Grant(const Choice& aChoice,
             const Asker& aAsker,
             const proto::PlaceAsk& aAsk,
             proto::PlaceAnswer* aAnswer);
  /// @return an engine of a service by its id; without a head where there is none.
  Choice FindByHead(const std::string& aService, const std::string& aHead) const;

  // Limits of engines; see place_limits.cpp.
  /// @return whether any limit is known, so that choices have to look at them.
  bool KnowsLimits() const;
  RateStandingFn StandingFor(Chooser aChooser, const std::string& aWork, const Claimant& aClaimant);
  RateStanding StandingOf(const EngineTarget& aEngine,
                          Chooser aChooser,
                          const std::string& aWork,
                          const Claimant& aClaimant);
  /// @return the limit by which a desk ranks an engine that another desk counts for.
  std::optional<double> LimitElsewhere(const EngineTarget& aEngine) const;
  /// Count a request that this node sends, or lets another send.
  std::optional<double> CountRequest(const EngineTarget& aEngine,
                                     Chooser aChooser,
                                     const std::string& aWork,
                                     const Claimant& aClaimant);
  /// Nothing is left of any limit. @return when to come back
  Duration RefuseLimited(const std::string& aService,
                         const std::string& aModel,
                         const Claimant& aClaimant);
  /// Tell whoever has granted a place what the engine says.
  void TellLimit(const std::string& aAddress,
                 const EngineTarget& aEngine,
                 const RateGrant& aGrant,
                 const LimitStatement& aStatement);
  void OnLimitNote(const proto::PlaceMessage& aMessage);
  void OnCallsMade(const proto::PlaceMessage& aMessage);
  /// Note what a desk says of limits. @return whether its grant may be used
  bool TakeGrantedLimit(const proto::PlaceMessage& aMessage, const EngineTarget& aHead);
  void FillLimit(const EngineTarget& aHead, proto::PlaceAnswer* aAnswer) const;
  void FillLimited(const std::string& aService, proto::PlaceAnswer* aAnswer) const;
  void TakeLimited(const std::string& aService, const proto::PlaceAnswer& aAnswer);
  void NoteChange(std::uint32_t aEngine,
                  LimitChange aChange,
                  const LimitStatement& aStatement,
                  const std::string& aFrom) const;
  /// Forget engines that are gone from the plan.
  void RetainLimits();
  void OnAnswer(const proto::PlaceMessage& aMessage);
  /// A desk has granted a place that may be used.
  void OnGranted(const proto::PlaceMessage& aMessage, const PlaceTicket& aTicket, Pending aPending);
  void OnEnds(const proto::PlaceMessage& aMessage);
  void OnHeld(const proto::PlaceMessage& aMessage);
  void TellEnds();
  /// @return whether this node's own plan speaks against a replica that a desk has named.
  bool KnowsBetter(const proto::PlaceAnswer& aAnswer, const std::string& aService) const;
  proto::PlaceMessage NewMessage() const;

  PlaceAgentOptions mOptions;
  PlaceAgentHooks mHooks;
  Balancer* mBalancer;
  PlaceBook mBook;
  PlaceCounters mCounters;
  std::shared_ptr<const TrafficPlan> mPlan;
  std::map<std::string, EarnedRetries> mEarned; ///< by service
  std::map<std::uint64_t, Pending> mPending;    ///< by question
  std::map<std::string, Held> mHeld;            ///< by desk
  std::map<std::string, TimePoint> mPassOver;   ///< desks that did not answer, until when
  RateLedger mLedger;
  OwnPart mOwnPart;
  TimePoint mRetainDue{};
  std::uint64_t mLastId = 0;
};

} // namespace pepperbay
