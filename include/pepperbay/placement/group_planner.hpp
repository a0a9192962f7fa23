/// @file
/// @brief Forms whole replicas of engines on a platform whose engines form groups by orders. Pure.
///
/// Run only by the holder of the lease. The planner learns which replicas exist from the engines
/// themselves, so a new holder needs no state from its predecessor, and replicas that serve are
/// left as they are.
///
/// Terms: the head is the member that receives the replica's requests. A replica is whole if all
/// its members are ready under the same epoch. Epochs order the memberships of a group; a later
/// epoch replaces an earlier one. Spares are free engines kept ready to replace lost members.
/// Survivors are the members of a broken replica that still work.
#pragma once

#include "pepperbay/placement/composition.hpp"
#include "pepperbay/placement/engine_state.hpp"
#include "pepperbay/placement/group_order.hpp"
#include "pepperbay/routing/route_table.hpp"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

/// How free engines of a domain are prepared to replace lost members. `bench/pools` measures the
/// benefit of each policy.
enum class SparePolicy
{
  kIdle,          ///< not prepared: a replacement loads the weights first
  kStaged,        ///< the weights of one model are on their host
  kStandby,       ///< alone in a group of one model: joins a replica of that model in 200 ms
  kStandbyForAll, ///< as kStandby, and the weights of another model are on their host
};

struct GroupPlannerOptions
{
  /// Fraction of the engines of a fabric domain kept free to replace lost members, rounded up.
  /// Without spares, each loss takes a replica out of service for a whole weight load.
  double mSpareShare = 0.1;
  SparePolicy mSpares = SparePolicy::kStandbyForAll;
  /// An open order that arrived before the head was ready is repeated after this time; the replica
  /// does not serve meanwhile.
  Duration mOpenRetryInterval = std::chrono::milliseconds(25);
  /// Any other order that the engine's state does not allow yet is repeated after this time.
  Duration mRetryInterval = std::chrono::milliseconds(250);
  /// A join in progress is repeated after this time, in case the notice of its completion was lost;
  /// the engine answers kHolds once it is ready.
  Duration mJoinPollInterval = std::chrono::milliseconds(240);
  /// As mJoinPollInterval, for a join that has to load weights. Its completion shows at once in the
  /// registration. Repeats every 240 ms made up a third of all orders.
  Duration mLoadPollInterval = std::chrono::milliseconds(1500);
  /// Number of consecutive orders without an answer after which an engine counts as lost.
  int mMaxUnanswered = 3;
  /// Requests in progress at a replica that loses a member may complete for this long before it is
  /// re-formed: the longest time that callers wait for a stream. Leaving engines keep working for
  /// longer.
  Duration mMaxDrainTime = std::chrono::seconds(8);
  /// Interval between checks whether an unlisted head still has requests: half of the interval in
  /// which nodes report their requests in progress.
  Duration mHeadCheckInterval = std::chrono::milliseconds(100);
  /// The first replicas are formed once no engine has registered for this long: the engines of one
  /// domain register within a short time of each other.
  Duration mSettleTime = std::chrono::milliseconds(600);
  /// A broken replica that finds no spare for this long is dissolved. A new engine in its domain
  /// would have loaded the weights by then.
  Duration mGiveUpAfter = std::chrono::seconds(20);
  /// Whether broken replicas of a domain without spares complete each other, and engines that have
  /// to load weights do so outside of replicas. If false, each broken replica waits for engines of
  /// its own.
  bool mJoinSurvivors = true;
  /// A second broken replica of a domain is given up after this time; a spare may become free
  /// before.
  Duration mWaitForSpare = std::chrono::milliseconds(300);
  /// After this time, a broken replica is given up for another even if its engines have to load
  /// weights for that: the domain loses more engines than it regains.
  Duration mWaitForLoads = std::chrono::seconds(3);
  /// A serving replica is given up for a broken one of its domain that lacks fewer engines than it
  /// has, if at most this fraction of the remaining slots of its model would then be in use. At
  /// higher utilisation, requests begin to wait for slots.
  double mMaxServingDonorUtilisation = 0.7;
  /// Decides when replicas of one model are given up for another with more demand.
  CompositionOptions mComposition;
  /// Engines that were released for another model and have not formed replicas of it after this
  /// time count as free again.
  Duration mMaxRebalanceTime = std::chrono::seconds(14);
  /// A broken replica counts as about to serve for this long: most repairs take a second.
  Duration mBrokenCountsFor = std::chrono::seconds(3);
  /// Maximum number of concurrent weight loads onto hosts of members while requests arrive: a
  /// fraction of what the weight store serves at once, and at least mMinPrestageLoads. More of them
  /// would slow down the loads that repairs wait for.
  double mPrestageShare = 0.25;
  int mMinPrestageLoads = 2;
  /// Such loads start in fabric domains that have lost an engine, and in all domains while a model
  /// has more than this fraction of its slots in use. In other domains of a large pool, the next
  /// loss is unlikely to happen soon.
  double mPrestageUtilisation = 0.6;
  /// A join without an answer may still be carried out for this long.
  Duration mLateOrderWindow = std::chrono::seconds(13);
  /// A member without a registration is kept while it answers at least once in this time. It may be
  /// cut off from the store and come back, or be shutting down unannounced; in the latter case it
  /// is then detected as lost like any other member.
  Duration mUnlistedAnswerTimeout = std::chrono::milliseconds(900);
  /// The state of an engine that is neither listed nor in a replica is dropped after this time. By
  /// then, a late order of this node can no longer reach it.
  Duration mForgetAfter = std::chrono::seconds(30);
  /// A healthy engine may pause for this long and continue. Nothing that would end its streams is
  /// done before.
  Duration mMaxPause = std::chrono::milliseconds(1500);
  /// Pause after an order was refused as stale. Another holder may be active; this time is enough
  /// to learn of it from that holder or from the log.
  Duration mStalePause = std::chrono::milliseconds(200);
};

/// The input of one planning round.
struct GroupView
{
  const EngineMap* mEngines = nullptr;
  std::string mService;
  const EnginePool* mPool = nullptr;
  TimePoint mNow{};
  std::uint64_t mFence = 0;
  /// Maximum number of orders in this round; the remaining ones are sent in later rounds.
  int mMaxOrders = std::numeric_limits<int>::max();
  /// Requests have arrived: weight loads count against the store's rate limit.
  bool mTraffic = false;
  /// Returns whether the engine does not answer, whatever its registration says.
  std::function<bool(const std::string& aEngine)> mIsUnreachable;
  /// Returns whether an engine that does not answer has exited; otherwise it may only pause. If
  /// null, every such engine counts as exited.
  std::function<bool(const std::string& aEngine)> mHasExited = nullptr;
  /// Returns the number of requests of all nodes in progress at a head.
  std::function<int(const std::string& aHead)> mInFlight;
  /// Returns the rate limit in requests per second that a head accepts from all nodes together;
  /// nullopt if it states no limit. May be null.
  std::function<std::optional<double>(const std::string& aHead)> mLimitOf;
  /// As mInFlight, for the unlisted head that the previous holder named for a group at an epoch; 0
  /// if nothing is known about it. May be null.
  std::function<int(const std::string& aGroup, std::uint64_t aEpoch)> mInFlightAtFormerHead;
  /// Returns whether nodes report that the streams of a head make no progress.
  std::function<bool(const std::string& aHead)> mIsStalled;
};

enum class ReplicaPhase
{
  kForming, ///< members join
  kOpening, ///< all members are ready; the head is ordered to open
  kOpen,
  kBroken, ///< a member is lost
};

const char*
ToString(ReplicaPhase aPhase);

/// A change of the pool's composition: replicas of one model given up for another. For status
/// reports.
struct CompositionChange
{
  std::string mFrom;
  std::string mTo;
  std::string mDomain;
  std::size_t mGiven = 0;  ///< number of replicas given up
  std::size_t mComing = 0; ///< number of replicas to be formed from their engines
  double mInUseFrom = 0;   ///< fraction of the slots in use before the change
  double mInUseTo = 0;
};

/// The planner's record of a replica.
struct PlannedReplica
{
  std::string mName;
  std::uint64_t mEpoch = 0;
  std::string mModel;
  std::string mDomain;
  std::vector<std::string> mMembers; ///< the first is the head
  ReplicaPhase mPhase = ReplicaPhase::kForming;
  std::set<std::string> mReady;     ///< members that have been ready under this epoch
  std::set<std::string> mRestarted; ///< members that have restarted and lost their group state
  TimePoint mSince{};               ///< start of the phase
  std::optional<TimePoint> mLeavingSince; ///< a member leaves; requests in progress may complete
  bool mMemberLost = false;               ///< a member does not answer but may still work
  bool mHeadUnlisted = false;             ///< discovered without its head, which may still work
  TimePoint mNotBefore{};                 ///< if broken, it is not re-formed before
  bool mGivenUp = false;                  ///< its engines are needed by another replica
  std::string mWhy;                       ///< the reason why it does not serve

  bool HasMember(const std::string& aEngine) const;
  /// @return whether each member has been ready. Counting ready reports is not enough: another
  /// engine may answer at the address of an exited one under its own id.
  bool AllReady() const;
};

class GroupPlanner
{
public:
  GroupPlanner();
  explicit GroupPlanner(GroupPlannerOptions aOptions);

  /// @return the orders to send now. Report the answer to each with OnAnswer().
  std::vector<GroupOrder> Plan(const GroupView& aView);
  void OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow);
  /// Handles an engine's report of its own state.
  void OnReport(const std::string& aEngine, const EngineReport& aReport, TimePoint aNow);
  /// Engines to query for their state; pass each report to OnReport().
  const std::map<std::string, EngineRecord>& EnginesToQuery() const { return mEnginesToQuery; }

  const std::map<std::string, PlannedReplica>& Replicas() const { return mReplicas; }
  /// Members of the replicas, with the last listed record of each; some may no longer be listed.
  const std::map<std::string, EngineRecord>& Members() const { return mMemberRecords; }
  /// Engines that left orders unanswered; they count as lost until they answer again.
  const std::set<std::string>& Unanswering() const { return mUnanswering; }
  void ReinstateEngine(const std::string& aEngine);
  /// @return the changes of composition since the last call.
  std::vector<CompositionChange> TakeChanges();
  /// @return the replicas of each model and the use of their slots, as of the last round.
  const std::vector<ModelUse>& Uses() const { return mUses; }
  /// @return how many engine records the last round examined to find free engines.
  std::size_t EnginesExamined() const { return mEnginesExamined; }

private:
  struct Spare
  {
    std::string mModel;
    std::uint64_t mEpoch = 0;
    bool mReady = false;
  };
  /// A weight transfer to an engine's host.
  struct Staging
  {
    std::string mModel;
    TimePoint mSince{};
  };
  struct GivenUp
  {
    std::uint64_t mEpoch = 0;
    TimePoint mAt{};
  };
  /// A join that was not answered; see MayJoinLate().
  struct UnansweredJoin
  {
    std::string mGroup;
    std::uint64_t mEpoch = 0;
    TimePoint mUntil{};
  };
  /// Engines of a domain that are moving from one model to another.
  struct Rebalance
  {
    std::string mFrom;
    std::string mTo;
    std::size_t mComing = 0; ///< number of replicas still to be formed
    TimePoint mUntil{};
  };
  /// The replicas that a domain would give up for a model, and the gain.
  struct RebalanceOffer
  {
    std::string mDomain;
    std::vector<PlannedReplica*> mDonors; ///< empty if there is nothing to give up
    std::size_t mGained = 0;              ///< number of new replicas
    int mInUse = 0;                       ///< requests in progress at the donors
  };
  /// One incarnation of an engine.
  struct Incarnation
  {
    WallTime mBorn{};
    TimePoint mLastSeen{};
  };
  /// State of an order in progress and its repeat time, by engine and kind.
  struct Pending
  {
    bool mWaiting = false;
    TimePoint mDue{};    ///< not repeated before
    bool mLoads = false; ///< takes longer than a rejoin
    int mUnanswered = 0;
  };

  bool Usable(const EngineRecord& aEngine) const;
  bool Usable(const std::string& aEngine) const;
  const EngineRecord* FindListed(const std::string& aEngine) const;
  /// As FindListed(), but also finds members that are no longer listed and still answer.
  const EngineRecord* Find(const std::string& aEngine) const;
  void RememberMembers();
  std::uint64_t NextEpoch();

  /// Detects restarted engines, and drops the state of engines that are long gone.
  void DetectRestarts();
  void RecordIncarnation(const std::string& aEngine, WallTime aBorn, TimePoint aNow);
  /// Discards the state of an engine's previous incarnation.
  void ForgetIncarnation(const std::string& aEngine, TimePoint aNow);
  /// @return false if a message was from or to a stale incarnation of the engine.
  bool IsNewestIncarnation(const std::string& aEngine, WallTime aBorn) const;
  void DiscoverReplicas();
  void RequestUnknownStates();
  void Adopt(const std::string& aName, const std::vector<const EngineRecord*>& aMembers);
  void CheckReplica(PlannedReplica& aReplica);
  struct LostMember
  {
    std::string mName;       ///< for status reports
    bool mHasExited = false; ///< false: it may only pause
  };
  /// @return a member that is missing or does not answer; members that have exited take precedence.
  std::optional<LostMember> FindLost(const PlannedReplica& aReplica) const;
  /// @return whether a lost member has exited and will not continue.
  bool HasExited(const std::string& aMember) const;
  /// @return whether a member does not answer and may continue at any moment.
  bool HasSilentMember(const PlannedReplica& aReplica) const;
  /// @return whether a replica must take no new requests although all its members answer.
  bool MustDrain(const PlannedReplica& aReplica) const;
  /// @return whether a replica that takes no new requests still has some in progress.
  bool HasRequestsInProgress(const PlannedReplica& aReplica) const;
  /// @return whether the unlisted head of a discovered replica still has requests in progress.
  bool UnlistedHeadHasRequests(const PlannedReplica& aReplica) const;
  void Break(PlannedReplica& aReplica, std::string aWhy, TimePoint aNow);
  /// Queues the orders that forming and opening replicas need.
  void AdvanceReplicas();
  void Open(PlannedReplica& aReplica);
  void Join(const PlannedReplica& aReplica);
  void UpdateReadiness(PlannedReplica& aReplica);
  void RepairBroken();
  /// Gives up a broken replica if its members complete another one that waits in the same domain.
  void JoinSurvivors();
  /// Gives up a serving replica of a model with free slots for a broken one that lacks few engines.
  void GiveUpServing();
  /// @return the open replicas to give up for a broken one; empty if that is not worth it.
  std::vector<PlannedReplica*> ServingDonors(const PlannedReplica& aTarget);
  /// Averages the use of slots, and drops rebalances that are over.
  /// @return whether there was a new observation
  bool ObserveUse();
  std::vector<ModelUse> CountUses() const;
  /// @return requests in progress at an open replica plus the slots that its head's rate limit
  /// leaves empty.
  int SlotsInUse(const PlannedReplica& aReplica) const;
  /// @return whether a replica has slots for requests now or will have them shortly.
  bool CountsAsServing(const PlannedReplica& aReplica) const;
  /// Gives up replicas of a model whose slots are hardly used for a model that is short of slots.
  void RebalanceReplicas();
  /// @return whether a domain was found where this can be done at once
  bool BeginRebalance(const CompositionNeed& aNeed);
  /// @return the offer that yields most replicas among the domains without a rebalance in progress;
  /// ties are broken by the fewest requests to wait for.
  RebalanceOffer BestOffer(const ModelSpec& aFrom, const ModelSpec& aTo);
  void RecordChange(const std::string& aFrom, const std::string& aTo, const RebalanceOffer& aOffer);
  /// Keeps replicas of a model that were to be given up but still serve.
  /// @return whether there were any
  bool KeepServing(const std::string& aModel);
  /// @return the number of replicas of a model that take requests.
  std::size_t CountOpenReplicas(const std::string& aModel) const;
  /// @return the replicas of a model in a domain to give up for one of another model; empty if
  /// none.
  std::vector<PlannedReplica*> RebalanceDonors(const std::string& aDomain,
                                               const ModelSpec& aFrom,
                                               const ModelSpec& aTo);
  /// @return the number of members of the replicas that can join a model without loading weights.
  std::size_t MembersJoiningWithoutLoad(const std::vector<PlannedReplica*>& aReplicas,
                                        const std::string& aModel) const;
  std::size_t MovingEngines() const;
  /// @return the model that free engines of a domain form a replica of: the target of a rebalance
  /// there, or the model furthest below its share of the engines; null if there are too few
  /// engines.
  const ModelSpec* MostUnderprovisioned(const std::string& aDomain,
                                        std::size_t aFree,
                                        std::size_t aEngines,
                                        const std::map<std::string, std::size_t>& aHave) const;
  /// Counts a new replica towards the rebalance in progress.
  void CountFormed(const std::string& aDomain, const std::string& aModel);
  /// @return the fraction of a model's slots in use if aWithout of its open replicas were missing;
  /// above 1 while requests wait, infinite if none would be left.
  double ModelSlotUtilisation(const std::string& aModel, std::size_t aWithout) const;
  /// @return the number of engines that a broken replica lacks and that no ready engine of its
  /// domain can replace.
  std::size_t MissingReady(const PlannedReplica& aReplica) const;
  /// @return the replica to give up; empty if none helps another
  std::string DonorAmong(std::vector<PlannedReplica*> aWaiting) const;
  enum class Ready
  {
    kAtOnce,     ///< only engines that can join without loading weights
    kAfterLoads, ///< any engine
  };
  /// @return the smallest other replica with enough engines to give; null if none
  const PlannedReplica* SmallestDonor(const PlannedReplica& aTarget,
                                      const std::vector<PlannedReplica*>& aWaiting,
                                      std::size_t aMissing,
                                      Ready aReady) const;
  void Drop(const std::string& aName);
  /// Healthy members that are still in the replica.
  std::vector<std::string> Survivors(const PlannedReplica& aReplica) const;
  /// @return the number of engines that a broken replica needs besides its survivors; 0 if it has
  /// none.
  std::size_t MissingMembers(const PlannedReplica& aReplica) const;
  /// @return whether the engine can join a replica of the model without loading weights.
  bool JoinsWithoutLoad(const EngineRecord& aEngine, const std::string& aModel) const;
  /// @return the number of engines in open replicas of a model, relative to its share.
  double OpenShare(const std::string& aModel) const;
  /// @return whether a repair may start with an engine that has to load weights first.
  bool WaitsForLoads() const;
  /// @return whether enough free engines of a domain are ready for a new replica of a model.
  bool EnoughForNew(const std::string& aDomain, const ModelSpec& aModel) const;
  /// Loads weights of another model onto the hosts of members, so that survivors can change models.
  void PrestageWeights();
  /// @return whether weights are loaded ahead onto hosts of a domain.
  bool PrestagesIn(const std::string& aDomain) const;
  bool Repair(PlannedReplica& aReplica);
  bool AnyUsable(const PlannedReplica& aReplica) const;
  void FormNew();
  /// @return a replica name that is unique across holders of the lease and pools.
  std::string NewName();
  void MaintainSpares();
  std::string SpareModelFor(const EngineRecord& aEngine,
                            const std::map<std::string, int>& aStandby) const;

  /// Engines of a domain that may join the named group, the cheapest to join the model first.
  std::vector<const EngineRecord*> FreeEngines(const std::string& aDomain,
                                               const std::string& aModel,
                                               const std::string& aGroup) const;
  /// @return whether an engine is in no replica, neither by plan nor by its own statement.
  bool IsFree(const EngineRecord& aEngine) const;
  /// The newest known position of an engine, from its answers, reports and registration.
  const GroupPlace& PositionOf(const EngineRecord& aEngine) const;
  /// @return whether the engine itself states that it is in a replica other than the named one.
  bool IsInOtherReplica(const EngineRecord& aEngine, const std::string& aGroup) const;
  /// @return whether an engine is planned for broken replicas only, and states that it is in
  /// another.
  bool IsAwayFromItsReplicas(const EngineRecord& aEngine) const;
  void Dismiss(const EngineRecord& aEngine);
  void StageOther(const EngineRecord& aEngine, const std::string& aModel);
  /// @return whether the engine may still carry out a join to another group than this.
  bool MayJoinLate(const std::string& aEngine, const std::string& aGroup) const;
  Duration JoinTime(const EngineRecord& aEngine, const std::string& aModel) const;
  Duration LoadTime(const std::string& aModel) const;
  bool InReplica(const std::string& aEngine) const { return InOtherReplica(aEngine, ""); }
  bool InOtherReplica(const std::string& aEngine, const std::string& aName) const;
  void SetMembers(PlannedReplica& aReplica, std::vector<std::string> aMembers);
  /// Keep mReplicasOf consistent with a replica's members.
  void AddToIndex(const PlannedReplica& aReplica);
  void RemoveFromIndex(const PlannedReplica& aReplica);
  void Begin(PlannedReplica& aReplica, std::vector<std::string> aMembers);
  /// @return whether an order of this kind may be sent to the engine now.
  bool IsOrderDue(const std::string& aEngine, GroupOrderKind aKind) const;
  bool QueueOrder(GroupOrder aOrder);
  /// Makes the engine refuse a join that was planned on outdated state of it.
  bool GuardJoin(GroupOrder& aOrder);
  /// Makes the engine refuse an order unless it is in the known state.
  /// @return false while that state is unknown; the engine is queried.
  bool NameAccepted(GroupOrder& aOrder);
  /// Marks a replica as broken if a member states that it is in no replica or in another one.
  void BreakIfInOtherGroup(const std::string& aEngine, const GroupPlace& aPosition, TimePoint aNow);
  /// @return whether a join may start now, considering the rate limit if it has to load weights.
  bool MayLoadWeights(const GroupOrder& aOrder);
  Duration RepeatAfter(const GroupOrder& aOrder, OrderAnswer aAnswer, bool aLoads) const;
  bool MayLoad();

  GroupPlannerOptions mOptions;
  std::map<std::string, PlannedReplica> mReplicas;
  /// Names of the replicas that an engine is planned for, by engine. Without this index, each round
  /// searched all replicas for each engine, and its time grew with the square of the pool size.
  std::unordered_map<std::string, std::set<std::string>> mReplicasOf;
  /// Replicas that were given up while they served, by name. Registrations of their engines name
  /// them until the engines have left. Without this record, such a replica would be adopted and
  /// given up again.
  std::map<std::string, GivenUp> mGivenUp;
  std::map<std::string, Rebalance> mRebalances; ///< by domain
  std::vector<CompositionChange> mChanges;
  std::set<std::string> mDomainsWithLosses; ///< domains with replicas that broke in this tenure
  SlotUsage mSlotUsage;
  std::vector<ModelUse> mUses;
  TimePoint mUseDue{};
  std::map<std::string, Spare> mSpares;
  std::map<std::string, Pending> mPending;
  std::map<std::string, Staging> mStaging;       ///< by engine: weights ordered but not yet staged
  std::map<std::string, std::string> mLastModel; ///< by engine: model of its last group
  std::unordered_map<std::string, EngineState> mStates; ///< of the newest incarnations, by engine
  /// Engines assumed, without a query, to have accepted no order yet. Each is assumed so only once:
  /// an engine that looks new but has accepted orders would otherwise be sent a join that it always
  /// refuses.
  std::set<std::string> mAssumedNew;
  std::map<std::string, EngineRecord> mEnginesToQuery;
  std::map<std::string, EngineRecord> mMemberRecords; ///< members, with their last listed record
  std::map<std::string, TimePoint> mAnsweredAt;
  std::map<std::string, UnansweredJoin> mUnansweredJoins; ///< by engine
  std::set<std::string> mUnanswering;
  /// Engines whose address belongs to another engine, as stated by that engine. They return only by
  /// a restart; until then, answers from the address are not theirs.
  std::set<std::string> mSupersededEngines;
  std::unordered_map<std::string, Incarnation> mEngineIncarnations; ///< newest, by engine
  TimePoint mForgetDue{};
  std::vector<TimePoint> mLoads;                     ///< started in the last second
  std::map<std::string, std::uint64_t> mLoadCounted; ///< by engine: epoch of the join that loads
  std::uint64_t mCounter = 0;
  std::uint64_t mNames = 0;
  std::size_t mSeenEngines = 0;
  TimePoint mLastNew{};
  const GroupView* mView = nullptr;                                  ///< input of the current round
  std::map<std::string, std::vector<const EngineRecord*>> mByDomain; ///< of the round
  mutable std::size_t mEnginesExamined = 0;
  std::vector<GroupOrder> mOrders;
};

} // namespace pepperbay
