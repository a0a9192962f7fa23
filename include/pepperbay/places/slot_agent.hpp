/// @file
/// @brief Assigns requests to slots at replicas, with one slot allocator per data centre. Pure: no
/// I/O and no clock of its own.
///
/// A slot is the capacity of a replica for one request. If hundreds of nodes each choose by their
/// last reports of the other nodes, all choose the replica that appears least loaded, and engines
/// reject one request in five (measured with 65 nodes). So a node asks the slot allocator of its
/// data centre, which has granted all slots there and knows the exact number of requests in
/// progress. An allocator is an ordinary node that the traffic plan names. Where no allocator
/// answers, a node chooses from its own information.
#pragma once

#include "pepperbay/admission/earned_retries.hpp"
#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/places/local_share.hpp"
#include "pepperbay/places/rate_ledger.hpp"
#include "pepperbay/places/slot_table.hpp"
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

struct SlotAgentOptions
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mAddress; ///< for messages of other nodes; `IP:port`, UDP
  /// A question is sent again once if it is not answered within this time: several round trips
  /// between data centres, so that a lost message costs less than a tenth of the time to a first
  /// event.
  Duration mResendAfter = std::chrono::milliseconds(10);
  /// A question is abandoned after this time; the next allocator is asked, or none.
  Duration mGiveUpAfter = std::chrono::milliseconds(30);
  /// An allocator that did not answer is skipped for this time. Its failure shows in heartbeats
  /// after some 650 ms; until then each question to it would cost mGiveUpAfter.
  Duration mSkipFor = std::chrono::milliseconds(300);
  /// Period at which a node reports the slots that it holds to their allocator. A slot whose end
  /// message was lost stays occupied for up to this time.
  Duration mReportHeldEvery = std::chrono::milliseconds(500);
  /// Second attempts of all nodes together in a window, as a fraction of requests. The slack beyond
  /// this fraction is granted by the retry budget owner, see retries/retry_agent.hpp.
  double mRetryShare = RetryLimits().mShare;
};

struct SlotRequest
{
  std::string mService;
  std::string mModel;
  Duration mWork{ 0 }; ///< time that a replica needs to process the prompt
  /// Target time to the first event; zero: it is missed in any case, or the request resumes after
  /// its first event.
  Duration mObjective{ 0 };
  std::set<std::string> mTried; ///< heads that the request has been sent to already
  bool mSecondAttempt = false;  ///< this is a second attempt, at another engine
  /// Its second attempt is already paid from the retry budget, so it is not counted here.
  bool mBudgetDrawn = false;
  bool mOnce = false; ///< request of a plain service that may run only once
  /// Urgency and customer, which decide the order at engines with a low rate limit.
  Claimant mClaimant{};
};

enum class SlotOutcome
{
  kGranted,
  kFull,      ///< each replica has as many requests as it should have
  kNoReplica, ///< no replica accepts requests
  kNoBudget,  ///< the second attempts that requests have earned are used up
  kLimited,   ///< the replicas with free slots have reached their rate limits
};

const char*
ToString(SlotOutcome aOutcome);

/// A granted slot; return it with `End()`.
struct SlotTicket
{
  std::string mAllocator; ///< node that counts the slot; empty: no node does
  std::uint64_t mId = 0;
};

/// Rate limit of the engine as known to the node that chose it.
struct RateGrant
{
  std::optional<double> mPerSecond; ///< none: no limit was known
  std::string mAllocatorAddress;    ///< empty: this node chose the engine itself
  std::uint64_t mStampNs = 0;       ///< time of the grant by the clock of the allocator
  TimePoint mAt{};                  ///< when this node received the grant
};

/// Answer to a request for a slot.
struct SlotResult
{
  SlotOutcome mOutcome = SlotOutcome::kNoReplica;
  std::string mGroup; ///< replica group; empty for an engine of a plain service
  std::uint64_t mEpoch = 0;
  EngineTarget mHead;
  SlotTicket mTicket;
  /// Age of the registrations by which the head was chosen; none: not known.
  std::optional<Duration> mViewAge;
  RateGrant mRate;
  Duration mRetryAfter{ 0 }; ///< where all engines are limited; zero: not known
};

/// A change of the rate limit of an engine.
struct LimitUpdate
{
  std::uint32_t mEngine = 0; ///< by ShortId()
  LimitChange mChange = LimitChange::kNone;
  std::optional<double> mPerSecond;
  Duration mAge{ 0 }; ///< since the request was sent whose answer stated the limit
  std::string mFrom; ///< node that reported it; empty: the engine itself, in an answer to this node
};

struct SlotAgentHooks
{
  NowFn mNow;
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSend;
  std::function<void(const LimitUpdate&)> mOnLimit = nullptr; ///< may be null
  /// Receives messages about second attempts, which arrive on the same socket; may be null.
  std::function<void(const proto::PlaceMessage&)> mOnRetry = nullptr;
};

struct SlotCounters
{
  std::uint64_t mAsked = 0;    ///< questions to allocators on other nodes
  std::uint64_t mResent = 0;   ///< of these, sent again
  std::uint64_t mTimedOut = 0; ///< questions that were not answered in time
  /// Choices made without an allocator though the plan names one.
  std::uint64_t mWithoutAllocator = 0;
  std::uint64_t mGranted = 0; ///< slots granted to other nodes
  /// Slots granted to this node at engines that it knew to leave; not used.
  std::uint64_t mGrantsOfLeaving = 0;
  std::uint64_t mForwarded = 0; ///< questions forwarded to the allocator of another data centre
  /// Requests refused since all replicas with free slots have reached their rate limits.
  std::uint64_t mLimited = 0;
  std::uint64_t mLocalShare = 0; ///< requests sent from the local share of a limit
  std::uint64_t mCounted = 0;    ///< requests of all nodes that were counted against limits here
  std::uint64_t mBadMessages = 0;
};

/// Both sides of slot allocation: asks allocators for slots, and serves other nodes where this node
/// is an allocator. Not thread-safe: used by one thread.
///
/// @code
/// agent.Ask(request, [&](const SlotResult& aResult) {
///   if (aResult.mOutcome == SlotOutcome::kGranted) {
///     send(aResult.mHead);
///     ...
///     agent.End(aResult.mTicket);
///   }
/// });
/// @endcode
class SlotAgent
{
public:
  using Done = std::function<void(const SlotResult&)>;

  /// @param aBalancer counts the slots granted here; its owner counts the requests that this node
  /// sends
  SlotAgent(SlotAgentOptions aOptions, SlotAgentHooks aHooks, Balancer* aBalancer);

  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan);
  void SetRetryShare(double aShare);

  /// @param aDone called exactly once, perhaps before this returns
  void Ask(const SlotRequest& aRequest, Done aDone);
  void End(const SlotTicket& aTicket);
  /// @return whether a second attempt may be granted; an allocator on another node decides when
  /// asked.
  bool MayTryAgain(const std::string& aService);

  /// @return whether a limit of any engine of the service is known; then a slot must be requested
  /// for its engines.
  bool HasLimits(const std::string& aService) const;
  /// @return the limit of an engine in requests per second, as far as this node knows; none: no
  /// limit.
  std::optional<double> LimitOf(const EngineTarget& aEngine) const;
  /// An answer of an engine states its limit, or none. Informs the allocator that counts for the
  /// engine of a change.
  LimitChange OnStatement(const EngineTarget& aEngine,
                          const RateGrant& aGrant,
                          const LimitStatement& aStatement);
  /// This node calls the engine itself (a query or an order), which counts against its limit.
  void OnCall(const std::string& aEngine);

  /// Handle a message of another agent.
  void OnMessage(const std::string& aBytes);
  /// Handle resends, time-outs and reports; call every few tens of milliseconds.
  void Tick();

  const SlotCounters& Counters() const { return mCounters; }

private:
  struct Pending
  {
    SlotRequest mRequest;
    Done mDone;
    AllocatorAddress mAllocator;
    std::string mBytes;
    TimePoint mSent{};
    bool mResent = false;
    int mAllocatorsAsked = 0;
  };
  /// Slots that this node holds at one allocator.
  struct Held
  {
    std::string mAddress;
    std::set<std::uint64_t> mIds;
    std::vector<std::uint64_t> mEnded; ///< ended slots that are not reported yet
    TimePoint mReportedAt{};
    bool mReportedEmpty = true;
  };
  /// The node that asked.
  struct Asker
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
    std::string mAddress;
  };

  /// For whom a choice is made, which decides how much of a limit may be used.
  enum class Chooser
  {
    kAllocator,  ///< as the allocator, for another node
    kForwarded,  ///< the same, for a question forwarded by another allocator
    kLocal,      ///< for this node, without an allocator
    kLocalShare, ///< the same, from the local share of limits only
  };

  TimePoint Now() const { return mHooks.mNow(); }
  /// @return the best allocator that is not skipped; null for none.
  const AllocatorAddress* UsableAllocator() const;
  /// Ask the best allocator, or choose locally where there is none.
  void AskAllocator(std::uint64_t aId, Pending aPending);
  void Resend(const Pending& aPending);
  /// @param aCounted an allocator has counted the request
  SlotResult ChooseLocally(const SlotRequest& aRequest, Chooser aChooser, bool aCounted);
  struct Choice
  {
    SlotOutcome mOutcome = SlotOutcome::kNoReplica;
    const EngineTarget* mHead = nullptr;
    const PoolReplica* mReplica = nullptr; ///< null for an engine of a plain service
  };
  /// Criteria of a choice, for pools and plain services.
  struct Query
  {
    std::string mService;
    Balancer::ReplicaQuery mReplica;
    bool mOnce = false;
  };
  Choice Choose(const Query& aQuery) const;
  /// Effect of a question on the account of second attempts.
  enum class Account
  {
    kRequest, ///< earns a fraction of a second attempt
    kRetry,   ///< spends a second attempt
    kNothing, ///< counted by another node, or not at all
  };
  /// @param aFound a slot is available
  static Account AccountOf(bool aAgain, bool aDrawn, bool aCounted, bool aFound);
  /// @return false where no second attempt is left to spend
  bool Count(const std::string& aService, Account aAccount);
  EarnedRetries& EarnedOf(const std::string& aService);
  EarnedRetries::Options EarnedOptions() const;
  void OnAsk(const proto::PlaceMessage& aMessage);
  /// Apply what the asker reports of engines in its question, and add what others have reported to
  /// the answer.
  void ApplyReports(const Asker& aAsker, const proto::PlaceAsk& aAsk, proto::PlaceAnswer* aAnswer);
  /// @return the allocator of another data centre, where this node is an allocator; null: none.
  const AllocatorAddress* AllocatorOf(const std::string& aDataCentre) const;
  void Forward(const proto::PlaceAsk& aAsk, const Asker& aAsker, const AllocatorAddress& aDesk);
  void Grant(const Choice& aChoice,
             const Asker& aAsker,
             const proto::PlaceAsk& aAsk,
             proto::PlaceAnswer* aAnswer);
  /// @return an engine of a service by id; `mHead` is null where there is none.
  Choice FindByHead(const std::string& aService, const std::string& aHead) const;

  // Rate limits of engines; see slot_limits.cpp.
  /// @return whether any limit is known, so that choices have to check limits.
  bool KnowsLimits() const;
  RateStandingFn StandingFor(Chooser aChooser, const std::string& aWork, const Claimant& aClaimant);
  RateStanding StandingOf(const EngineTarget& aEngine,
                          Chooser aChooser,
                          const std::string& aWork,
                          const Claimant& aClaimant);
  /// @return the limit by which an allocator ranks an engine that another allocator counts for.
  std::optional<double> LimitElsewhere(const EngineTarget& aEngine) const;
  /// Count a request that this node sends or grants.
  std::optional<double> CountRequest(const EngineTarget& aEngine,
                                     Chooser aChooser,
                                     const std::string& aWork,
                                     const Claimant& aClaimant);
  /// All limits are used up. @return the time after which to retry
  Duration RefuseLimited(const std::string& aService,
                         const std::string& aModel,
                         const Claimant& aClaimant);
  /// Send the limit that the engine stated to the node that granted the slot.
  void SendLimit(const std::string& aAddress,
                 const EngineTarget& aEngine,
                 const RateGrant& aGrant,
                 const LimitStatement& aStatement);
  void OnLimitNote(const proto::PlaceMessage& aMessage);
  void OnCallsMade(const proto::PlaceMessage& aMessage);
  /// Apply the limit in a grant. @return whether the grant may be used
  bool ApplyGrantedLimit(const proto::PlaceMessage& aMessage, const EngineTarget& aHead);
  void FillLimit(const EngineTarget& aHead, proto::PlaceAnswer* aAnswer) const;
  void FillLimited(const std::string& aService, proto::PlaceAnswer* aAnswer) const;
  void ApplyLimited(const std::string& aService, const proto::PlaceAnswer& aAnswer);
  void NoteChange(std::uint32_t aEngine,
                  LimitChange aChange,
                  const LimitStatement& aStatement,
                  const std::string& aFrom) const;
  /// Drop limits of engines that are no longer in the plan.
  void RetainLimits();
  void OnAnswer(const proto::PlaceMessage& aMessage);
  /// An allocator has granted a slot that may be used.
  void OnGranted(const proto::PlaceMessage& aMessage, const SlotTicket& aTicket, Pending aPending);
  void OnEnds(const proto::PlaceMessage& aMessage);
  void OnHeld(const proto::PlaceMessage& aMessage);
  void SendEnded();
  /// @return whether the plan of this node has a newer epoch, or a loss, of the replica in the
  /// answer.
  bool IsOutdated(const proto::PlaceAnswer& aAnswer, const std::string& aService) const;
  proto::PlaceMessage NewMessage() const;

  SlotAgentOptions mOptions;
  SlotAgentHooks mHooks;
  Balancer* mBalancer;
  SlotTable mTable;
  SlotCounters mCounters;
  std::shared_ptr<const TrafficPlan> mPlan;
  std::map<std::string, EarnedRetries> mEarned;   ///< by service
  std::map<std::uint64_t, Pending> mPending;      ///< by question
  std::map<std::string, Held> mHeld;              ///< by allocator
  std::map<std::string, TimePoint> mSkippedUntil; ///< by allocator that did not answer
  RateLedger mLedger;
  LocalShare mLocalShare;
  TimePoint mRetainDue{};
  std::uint64_t mLastId = 0;
};

} // namespace pepperbay
