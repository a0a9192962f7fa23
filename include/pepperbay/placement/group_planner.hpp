/// @file
/// @brief Engines to whole replicas on a platform whose engines form groups by orders. Pure.
///
/// Run by the holder of the lease only. What stands is learnt from the engines themselves, so a new
/// holder needs nothing from the last one, and a replica that serves is left alone.
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

/// How free engines of a domain are kept ready to replace lost members. `bench/pools` measures what
/// each is worth.
enum class SparePolicy
{
  kIdle,          ///< as they are: a replacement loads the weights first
  kStaged,        ///< with the weights of one model on their host
  kStandby,       ///< joined alone to a group of one model: 200 ms away from a replica of it
  kStandbyForAll, ///< the same, with the weights of another model on their host
};

struct GroupPlannerOptions
{
  /// Engines of a fabric domain kept free to replace lost members, as a share, rounded up. With
  /// none, each loss darkens a replica for a whole load of weights.
  double mSpareShare = 0.1;
  SparePolicy mSpares = SparePolicy::kStandbyForAll;
  /// An order to open that came before the head was ready is given again after this; the replica
  /// is dark meanwhile.
  Duration mRepeatOpen = std::chrono::milliseconds(25);
  /// Any other order that does not fit the engine's state yet.
  Duration mRepeat = std::chrono::milliseconds(250);
  /// A join that has begun is asked for again after this, in case the word of its end was lost; a
  /// repeat answers that it holds once the engine is ready.
  Duration mAskJoined = std::chrono::milliseconds(240);
  /// The same for a join that has to load weights first. Its end shows in the registration at
  /// once; asking every 240 ms made up a third of all orders.
  Duration mAskLoaded = std::chrono::milliseconds(1500);
  /// Orders without an answer, in a row, after which an engine counts as lost.
  int mMostUnanswered = 3;
  /// Requests at a replica that loses a member get this long to end before it is formed anew: the
  /// longest that callers wait for a stream. Engines that leave work on for longer than that.
  Duration mDrainMost = std::chrono::seconds(8);
  /// Whether a head that is not listed still has requests is looked at again after this: half the
  /// time in which nodes tell what they have in progress.
  Duration mLookAtHeadAgain = std::chrono::milliseconds(100);
  /// The first replicas are formed once no engine has registered for this long: those of one
  /// domain register within a short time of each other.
  Duration mSettle = std::chrono::milliseconds(600);
  /// A broken replica that finds no spare for so long gives its members up. A new engine in its
  /// domain would have loaded the weights by then.
  Duration mGiveUpAfter = std::chrono::seconds(20);
  /// Broken replicas of a domain without spares complete each other, and engines that have to load
  /// weights do so by themselves. Off: each waits for engines of its own.
  bool mJoinSurvivors = true;
  /// A spare may be about to come free; a second broken replica is given up after this.
  Duration mWaitForSpare = std::chrono::milliseconds(300);
  /// After this, one is given up for another although its engines have to load weights for that:
  /// the domain has lost more than it gets back.
  Duration mWaitForLoads = std::chrono::seconds(3);
  /// A replica that serves is given up for a broken one of its domain that lacks fewer engines than
  /// it has, if its model still has room: no more than this part of the places that are left would
  /// be in use. Fuller than that, callers begin to wait for places.
  double mRoomToGive = 0.7;
  /// When replicas of one model are given up for another that is asked for more.
  CompositionOptions mComposition;
  /// Engines that were given up for another model and have not become replicas of it after this
  /// count as free again.
  Duration mTradeMost = std::chrono::seconds(14);
  /// A broken replica counts as one that is about to serve for so long: most repairs take a second.
  Duration mCountsBroken = std::chrono::seconds(3);
  /// Loads onto the hosts of members that are under way at once while requests come in: a share of
  /// what the store of weights serves at once, and at least so many. Beyond that they would make
  /// the loads longer that a repair waits for.
  double mLoadsAheadShare = 0.25;
  int mLeastLoadsAhead = 2;
  /// They are begun in fabric domains that have lost an engine, and in all while a model has more
  /// than this part of its places in use: elsewhere in a large pool the next loss is far away.
  double mLoadsAheadUse = 0.6;
  /// A join without an answer may still be carried out this much later.
  Duration mLateOrder = std::chrono::seconds(13);
  /// A member whose registration is gone is kept while it answers at least this often. It may be
  /// cut off from the store and come back, or leave without a word; in the second case its end
  /// shows as any other loss does.
  Duration mUnlistedAnswers = std::chrono::milliseconds(900);
  /// What was known of an engine that is neither listed nor in a replica is forgotten after this; a
  /// late order of ours could no longer reach it.
  Duration mForgetAfter = std::chrono::seconds(30);
  /// An engine that is well may be silent for so long and go on. Nothing that would end its streams
  /// is done before.
  Duration mPauseMost = std::chrono::milliseconds(1500);
  /// Pause after an order was refused as stale. Another holder may be at work; its word or the
  /// log's comes within that time.
  Duration mStalePause = std::chrono::milliseconds(200);
};

/// All that one round looks at.
struct GroupView
{
  const EngineMap* mEngines = nullptr;
  std::string mService;
  const EnginePool* mPool = nullptr;
  TimePoint mNow{};
  std::uint64_t mFence = 0;
  /// Orders that may be given in this round; what is left comes in the next ones.
  int mMostOrders = std::numeric_limits<int>::max();
  bool mTraffic = false; ///< requests have come: loads now count against the weight store's rate
  /// The engine does not answer, whatever its registration says.
  std::function<bool(const std::string& aEngine)> mDead;
  /// Such an engine will not go on; one that has not ended may only pause. Null: each of them has.
  std::function<bool(const std::string& aEngine)> mEnded = nullptr;
  /// Requests of all nodes in progress at a head.
  std::function<int(const std::string& aHead)> mInFlight;
  /// Requests a second that a head takes from all nodes together; none: it names no limit. May be
  /// null.
  std::function<std::optional<double>(const std::string& aHead)> mLimitOf;
  /// As mInFlight, for the head that the last holder named for a group at an epoch, where that head
  /// is not listed; 0 where nothing is known of it. May be null.
  std::function<int(const std::string& aGroup, std::uint64_t aEpoch)> mInFlightAtFormerHead;
  /// Nodes say that the streams of a head stand still.
  std::function<bool(const std::string& aHead)> mStandsStill;
};

enum class ReplicaPhase
{
  kForming, ///< members join
  kOpening, ///< every member is ready; the head is told to open
  kOpen,
  kBroken, ///< a member is lost
};

const char*
ToString(ReplicaPhase aPhase);

/// Replicas of one model that are given up for another, for people.
struct CompositionChange
{
  std::string mFrom;
  std::string mTo;
  std::string mDomain;
  std::size_t mGiven = 0;  ///< replicas
  std::size_t mComing = 0; ///< replicas that their engines become
  double mInUseFrom = 0;   ///< part of the places in use before
  double mInUseTo = 0;
};

/// A replica as the planner sees it.
struct PlannedReplica
{
  std::string mName;
  std::uint64_t mEpoch = 0;
  std::string mModel;
  std::string mDomain;
  std::vector<std::string> mMembers; ///< the first is the head
  ReplicaPhase mPhase = ReplicaPhase::kForming;
  std::set<std::string> mReady;           ///< members that were ready under this epoch
  std::set<std::string> mRestarted;       ///< members that started again and know nothing of it
  TimePoint mSince{};                     ///< of the phase
  std::optional<TimePoint> mLeavingSince; ///< a member leaves; what is in progress may end
  bool mMemberLost = false;               ///< a member does not answer; it may work on
  bool mHeadUnknown = false;              ///< found by its other members; the head may work on
  TimePoint mNotBefore{};                 ///< a broken one is not formed anew before
  bool mGivenUp = false;                  ///< its engines are needed by another
  std::string mWhy;                       ///< why it does not serve

  bool HasMember(const std::string& aEngine) const;
  /// @return whether each member was ready. Numbers do not tell: at the address of an engine that
  /// has ended another may answer, and be a member here under its own id.
  bool AllReady() const;
};

class GroupPlanner
{
public:
  GroupPlanner();
  explicit GroupPlanner(GroupPlannerOptions aOptions);

  /// @return the orders to give now. Report the answer of each with OnAnswer().
  std::vector<GroupOrder> Plan(const GroupView& aView);
  void OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow);
  /// An engine was asked and says where it stands.
  void OnReport(const std::string& aEngine, const EngineReport& aReport, TimePoint aNow);
  /// Engines whose state has to be known: ask them, OnReport().
  const std::map<std::string, EngineRecord>& Wanted() const { return mWanted; }

  const std::map<std::string, PlannedReplica>& Replicas() const { return mReplicas; }
  /// Members of the replicas, as they were listed last; some may be listed no more.
  const std::map<std::string, EngineRecord>& Members() const { return mKnown; }
  /// Engines that left orders unanswered; they count as lost until they are heard again.
  const std::set<std::string>& Unanswering() const { return mUnanswering; }
  void Forgive(const std::string& aEngine);
  /// @return the changes of composition since the last call.
  std::vector<CompositionChange> TakeChanges();
  /// @return the models' replicas and the use of their places, as of the last round.
  const std::vector<ModelUse>& Uses() const { return mUses; }
  /// @return how often an engine was looked at in the last round to find free ones.
  std::size_t LookedAt() const { return mLookedAt; }

private:
  struct Spare
  {
    std::string mModel;
    std::uint64_t mEpoch = 0;
    bool mReady = false;
  };
  /// Weights on their way to an engine's host.
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
  /// A join that was not answered; see InDoubt().
  struct LostJoin
  {
    std::string mGroup;
    std::uint64_t mEpoch = 0;
    TimePoint mUntil{};
  };
  /// Engines of a domain on their way from one model to another.
  struct Trade
  {
    std::string mFrom;
    std::string mTo;
    std::size_t mComing = 0; ///< replicas still to be formed
    TimePoint mUntil{};
  };
  /// What a domain would give up for a model, and get.
  struct TradeOffer
  {
    std::string mDomain;
    std::vector<PlannedReplica*> mDonors; ///< empty: nothing
    std::size_t mGets = 0;                ///< replicas
    int mInUse = 0;                       ///< requests at the donors
  };
  /// One start of an engine.
  struct Start
  {
    WallTime mBorn{};
    TimePoint mLastSeen{};
  };
  /// Orders in progress and their spacing, by engine and kind.
  struct Pending
  {
    bool mWaiting = false;
    TimePoint mDue{};    ///< not again before
    bool mLoads = false; ///< takes longer than a rejoin
    int mUnanswered = 0;
  };

  bool Usable(const EngineRecord& aEngine) const;
  bool Usable(const std::string& aEngine) const;
  const EngineRecord* FindListed(const std::string& aEngine) const;
  /// The same, and members that are no longer listed but answer.
  const EngineRecord* Find(const std::string& aEngine) const;
  void RememberMembers();
  std::uint64_t NextEpoch();

  /// Notice engines that have started again, and forget those that are long gone.
  void NoteStarts();
  void NoteStart(const std::string& aEngine, WallTime aBorn, TimePoint aNow);
  /// Nothing that was known of an engine holds any more.
  void ForgetStart(const std::string& aEngine, TimePoint aNow);
  /// @return false for what a start that has been replaced said or was told.
  bool OfNewestStart(const std::string& aEngine, WallTime aBorn) const;
  void LearnStanding();
  void WantUnknown();
  void Adopt(const std::string& aName, const std::vector<const EngineRecord*>& aMembers);
  void Judge(PlannedReplica& aReplica);
  struct LostMember
  {
    std::string mName;   ///< for people
    bool mEnded = false; ///< otherwise it may only pause
  };
  /// @return a member that is not there or does not answer, one that has ended before others.
  std::optional<LostMember> FindLost(const PlannedReplica& aReplica) const;
  /// @return whether a member that is lost will not go on.
  bool HasEnded(const std::string& aMember) const;
  /// @return whether a member does not answer and may go on at any moment.
  bool HasSilentMember(const PlannedReplica& aReplica) const;
  /// @return whether a replica is to take no new requests although all its members answer.
  bool IsToLeave(const PlannedReplica& aReplica) const;
  /// @return whether a replica that takes no new requests still has some in progress.
  bool WorksOn(const PlannedReplica& aReplica) const;
  /// @return whether the head of a replica that was found without it still has requests.
  bool UnknownHeadWorks(const PlannedReplica& aReplica) const;
  void Break(PlannedReplica& aReplica, std::string aWhy, TimePoint aNow);
  /// Give the orders that replicas which form or open need.
  void Drive();
  void Open(PlannedReplica& aReplica);
  void Join(const PlannedReplica& aReplica);
  void NoteReadiness(PlannedReplica& aReplica);
  void RepairBroken();
  /// Give a broken replica up where its members complete another that waits in the same domain.
  void JoinSurvivors();
  /// Give up a replica that serves a model with room for a broken one that lacks few engines.
  void GiveUpServing();
  /// @return the open replicas to be given up for a broken one; empty where that is not worth it
  std::vector<PlannedReplica*> ServingDonors(const PlannedReplica& aTarget);
  /// Average the use of places, and drop trades that have come to nothing.
  /// @return whether there was anything new to see
  bool ObserveUse();
  std::vector<ModelUse> CountUses() const;
  /// @return requests in progress at an open replica, and slots that its head's limit leaves empty.
  int PlacesInUse(const PlannedReplica& aReplica) const;
  /// @return whether a replica has places for requests, now or in a moment.
  bool CountsAsServing(const PlannedReplica& aReplica) const;
  /// Give up replicas of a model whose places are hardly used for one that is short of them.
  void TradeReplicas();
  /// @return whether a domain was found where that can be done at once
  bool BeginTrade(const CompositionNeed& aNeed);
  /// @return of the domains where no trade is under way, what gets most replicas; of equals, what
  /// has fewest requests to wait for.
  TradeOffer BestOffer(const ModelSpec& aFrom, const ModelSpec& aTo);
  void NoteChange(const std::string& aFrom, const std::string& aTo, const TradeOffer& aOffer);
  /// Let replicas of a model that are only about to be given up serve on.
  /// @return whether there were any
  bool TakeBack(const std::string& aModel);
  /// @return replicas of a model that take requests.
  std::size_t OpenReplicas(const std::string& aModel) const;
  /// @return the replicas of a model in a domain to be given up for one of another; empty for none.
  std::vector<PlannedReplica*> TradeDonors(const std::string& aDomain,
                                           const ModelSpec& aFrom,
                                           const ModelSpec& aTo);
  /// @return members of some replicas that join a model without a load of weights.
  std::size_t QuickMembers(const std::vector<PlannedReplica*>& aReplicas,
                           const std::string& aModel) const;
  std::size_t MovingEngines() const;
  /// @return the model that free engines of a domain form a replica of: what a trade there is for,
  /// or what is furthest below its share of the engines; null where they are too few.
  const ModelSpec* MostShort(const std::string& aDomain,
                             std::size_t aFree,
                             std::size_t aEngines,
                             const std::map<std::string, std::size_t>& aHave) const;
  /// Count a new replica as one of those that a trade was to bring.
  void NoteFormed(const std::string& aDomain, const std::string& aModel);
  /// @return the part of a model's places in use if so many of its open replicas were not there;
  /// beyond 1 while requests wait, and infinite where none would be left.
  double PlacesInUse(const std::string& aModel, std::size_t aWithout) const;
  /// @return engines that a broken replica lacks and that no ready engine of its domain can be.
  std::size_t LacksReady(const PlannedReplica& aReplica) const;
  /// @return the replica to be given up; empty: none helps another
  std::string DonorAmong(std::vector<PlannedReplica*> aWaiting) const;
  enum class Ready
  {
    kAtOnce,     ///< engines that can join without loading weights
    kAfterLoads, ///< any
  };
  /// @return the smallest other replica that has so many engines to give; null for none
  const PlannedReplica* LeastDonor(const PlannedReplica& aTarget,
                                   const std::vector<PlannedReplica*>& aWaiting,
                                   std::size_t aMissing,
                                   Ready aReady) const;
  void Drop(const std::string& aName);
  /// Members that are well and still in the replica.
  std::vector<std::string> Survivors(const PlannedReplica& aReplica) const;
  /// @return engines that a broken replica needs beside its survivors; 0 where there are none.
  std::size_t MissingMembers(const PlannedReplica& aReplica) const;
  /// @return whether the engine can be part of the model without loading weights.
  bool IsQuick(const EngineRecord& aEngine, const std::string& aModel) const;
  /// @return engines in open replicas of a model against its share.
  double OpenShare(const std::string& aModel) const;
  /// @return whether a repair may begin with an engine that has to load weights first.
  bool WaitsForLoads() const;
  /// @return whether enough free engines of a domain are ready for a new replica of a model.
  bool EnoughForNew(const std::string& aDomain, const ModelSpec& aModel) const;
  /// Weights of another model onto the hosts of members, so that survivors can change models.
  void StageAhead();
  /// @return whether weights are to be loaded ahead onto hosts of a domain.
  bool LoadsAheadIn(const std::string& aDomain) const;
  bool Repair(PlannedReplica& aReplica);
  bool AnyUsable(const PlannedReplica& aReplica) const;
  void FormNew();
  /// @return a replica's name that no other holder of the lease and no other pool gives.
  std::string NewName();
  void CareForSpares();
  std::string SpareModelFor(const EngineRecord& aEngine,
                            const std::map<std::string, int>& aStandby) const;

  /// Engines of a domain that may join the group of this name, cheapest to join the model first.
  std::vector<const EngineRecord*> FreeEngines(const std::string& aDomain,
                                               const std::string& aModel,
                                               const std::string& aGroup) const;
  /// @return whether an engine is in no replica, neither by plan nor by its own word.
  bool IsFree(const EngineRecord& aEngine) const;
  /// The newest place that is known of an engine, by whichever of its words.
  const GroupPlace& PlaceOf(const EngineRecord& aEngine) const;
  /// @return whether by its own word an engine is in a replica other than the named one.
  bool IsElsewhere(const EngineRecord& aEngine, const std::string& aGroup) const;
  /// @return whether an engine is planned for broken replicas only, and by its own word elsewhere.
  bool IsAwayFromItsReplicas(const EngineRecord& aEngine) const;
  void Dismiss(const EngineRecord& aEngine);
  void StageOther(const EngineRecord& aEngine, const std::string& aModel);
  /// @return whether a join to another group than this may still be carried out at the engine.
  bool InDoubt(const std::string& aEngine, const std::string& aGroup) const;
  Duration JoinTime(const EngineRecord& aEngine, const std::string& aModel) const;
  Duration LoadTime(const std::string& aModel) const;
  bool InReplica(const std::string& aEngine) const { return InOtherReplica(aEngine, ""); }
  bool InOtherReplica(const std::string& aEngine, const std::string& aName) const;
  void SetMembers(PlannedReplica& aReplica, std::vector<std::string> aMembers);
  /// Keep mReplicasOf in step with a replica's members.
  void AddToIndex(const PlannedReplica& aReplica);
  void RemoveFromIndex(const PlannedReplica& aReplica);
  void Begin(PlannedReplica& aReplica, std::vector<std::string> aMembers);
  /// @return whether an order of this kind may be given to the engine now.
  bool IsDue(const std::string& aEngine, GroupOrderKind aKind) const;
  bool Give(GroupOrder aOrder);
  /// Let the engine refuse a join that was decided on an old view of it.
  bool Guard(GroupOrder& aOrder);
  /// Let the engine refuse an order if it is not in the state that is known of it.
  /// @return false while that is not known; the engine is asked.
  bool NameAccepted(GroupOrder& aOrder);
  /// A replica is broken when a member says that it is in none, or in another.
  void BreakIfElsewhere(const std::string& aEngine, const GroupPlace& aPlace, TimePoint aNow);
  /// @return whether a join may begin now, should it have to bring weights from their store.
  bool MayBringWeights(const GroupOrder& aOrder);
  Duration RepeatAfter(const GroupOrder& aOrder, OrderAnswer aAnswer, bool aLoads) const;
  bool MayLoad();

  GroupPlannerOptions mOptions;
  std::map<std::string, PlannedReplica> mReplicas;
  /// Engine to the names of replicas that it is planned for. Looking through all replicas for each
  /// engine of a round made a round's time grow with the square of the pool.
  std::unordered_map<std::string, std::set<std::string>> mReplicasOf;
  /// Replicas that were given up while they served, by name. Their engines' registrations go on
  /// naming them until they have left, and taken up again each would serve and be given up anew.
  std::map<std::string, GivenUp> mGivenUp;
  std::map<std::string, Trade> mTrades; ///< by domain
  std::vector<CompositionChange> mChanges;
  std::set<std::string> mDomainsWithLosses; ///< in this tenure, replicas of them have broken
  PlaceUse mPlaceUse;
  std::vector<ModelUse> mUses;
  TimePoint mUseDue{};
  std::map<std::string, Spare> mSpares;
  std::map<std::string, Pending> mPending;
  std::map<std::string, Staging> mStaging;              ///< engines told to stage, until they have
  std::map<std::string, std::string> mLastModel;        ///< of the last group that an engine was in
  std::unordered_map<std::string, EngineState> mStates; ///< of the newest starts, by engine
  /// Engines that were supposed to have accepted no order yet, without being asked. Once each: one
  /// that has, and looks new all the same, would be sent a join that it refuses for ever.
  std::set<std::string> mTakenForNew;
  std::map<std::string, EngineRecord> mWanted;
  std::map<std::string, EngineRecord> mKnown; ///< members, as they were listed last
  std::map<std::string, TimePoint> mAnsweredAt;
  std::map<std::string, LostJoin> mLostJoins; ///< by engine
  std::set<std::string> mUnanswering;
  /// Engines whose address belongs to another engine by that one's own word. They come back only
  /// by starting again; until then, whatever answers questions there is not they.
  std::set<std::string> mGone;
  std::unordered_map<std::string, Start> mStarts; ///< the newest known, by engine
  TimePoint mForgetDue{};
  std::vector<TimePoint> mLoads;                     ///< begun in the last second
  std::map<std::string, std::uint64_t> mLoadCounted; ///< by engine: epoch of the join that loads
  std::uint64_t mCounter = 0;
  std::uint64_t mNames = 0;
  std::size_t mSeenEngines = 0;
  TimePoint mLastNew{};
  const GroupView* mView = nullptr;                                  ///< of the round in progress
  std::map<std::string, std::vector<const EngineRecord*>> mByDomain; ///< the round's engines
  mutable std::size_t mLookedAt = 0;
  std::vector<GroupOrder> mOrders;
};

} // namespace pepperbay
