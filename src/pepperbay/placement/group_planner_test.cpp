#include "group_planner_world.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

/// Guards against a holder whose first round takes longer than its lease because the work grows
/// with the square of the number of engines.
TEST(GroupPlanner, ARoundOfALargePoolExaminesEachEngineAFewTimes)
{
  constexpr std::size_t kDomains = 300;
  constexpr std::size_t kPerDomain = 10;
  constexpr std::size_t kMaxExaminations = 10; // per engine
  World world(kDomains, kPerDomain);
  GroupPlanner planner;
  std::size_t most = 0;
  for (int round = 0; round < 100 && planner.Replicas().size() < kDomains; ++round) {
    world.Run(planner, milliseconds(20));
    most = std::max(most, planner.EnginesExamined());
  }
  EXPECT_GE(planner.Replicas().size(), kDomains);
  EXPECT_LE(most, kMaxExaminations * kDomains * kPerDomain);
}

TEST(GroupPlanner, FormsEachModelInEachDomainAndKeepsSpares)
{
  World world(6);
  GroupPlanner planner;
  world.Run(planner, seconds(20));
  EXPECT_EQ(world.mPool.Serving("big"), 6U);
  EXPECT_EQ(world.mPool.Serving("small"), 6U);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against a replica that is out of service for a whole weight load after one loss although
/// engines are free. A member dies and a free engine replaces it; only an engine whose last group
/// was of the model joins quickly.
TEST(GroupPlanner, ASpareStandsReadyForEachModel)
{
  for (const char* model : { "big", "small" }) {
    World world(1);
    GroupPlanner planner;
    world.Run(planner, seconds(40));
    world.Kill(world.MemberOf(planner, model, 0));
    world.Run(planner, milliseconds(700));
    EXPECT_EQ(world.mPool.Serving(model), 1U) << model;
    EXPECT_TRUE(world.mPool.Violations().empty());
  }
}

TEST(GroupPlanner, LeavesStandingReplicasAloneAfterATakeover)
{
  World world(2);
  GroupPlanner first;
  world.Run(first, kAllStaged, 1, milliseconds(100));
  world.mGiven.clear();
  GroupPlanner second;
  world.mTraffic = true;
  world.Run(second, seconds(3), 7);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kLeave], 0);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kStage], 0);
  EXPECT_EQ(world.mPool.Serving("big"), 2U);
}

/// Guards against replicas that take no requests for the forming time after a takeover. The new
/// holder adopts open replicas and publishes them to the nodes. The failure occurs if they count as
/// opened at the moment of the takeover.
TEST(GroupPlanner, AnAdoptedOpenReplicaHasServedForLong)
{
  World world(1);
  GroupPlanner first;
  world.Run(first, seconds(40));
  GroupPlanner second;
  world.Round(second, 7);
  for (const auto& [name, replica] : second.Replicas()) {
    EXPECT_EQ(replica.mPhase, ReplicaPhase::kOpen);
    EXPECT_GE(world.Now() - replica.mSince, world.mPool.Pool().mFormTime);
  }
}

/// Guards against an engine in two replicas: joined to a spare's group while the replica that it
/// never left serves. A member does not answer for a while, is replaced, and answers again. An
/// engine in no planned replica is not free while it states that it is in a group.
TEST(GroupPlanner, AReplacedMemberThatComesBackLeavesFirst)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string lost = world.MemberOf(planner, "big", 3);
  world.mDetectedLost.insert(lost); // alive but unreachable
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  world.mDetectedLost.erase(lost);
  world.Run(planner, seconds(20));
  EXPECT_TRUE(world.mPool.Violations().empty()) << world.mPool.Violations().front();
  EXPECT_GE(world.mGiven[GroupOrderKind::kLeave], 1);
}

/// Guards against a replica that is re-formed every round and never serves, because an engine that
/// has left another replica still counts as its member. A replaced member returns, leaves and is
/// chosen for a broken replica; the first join is lost, so the engine is queried. The failure
/// occurs if its report, older than its leave, permanently overrides its registration.
TEST(GroupPlanner, AnOldReportDoesNotHoldAnEngineThatHasLeft)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string back = world.MemberOf(planner, "big", 3);
  world.mDetectedLost.insert(back); // alive but unreachable
  world.Run(planner, seconds(2));
  for (const auto& [id, engine] : world.mPool.Engines()) {
    if (engine.mRecord.mGroup.mName.rfind("spare-", 0) == 0) {
      world.Kill(id);
    }
  }
  world.Kill(world.MemberOf(planner, "small", 1));
  world.Run(planner, milliseconds(200));
  world.mDetectedLost.erase(back);
  world.mGiven.clear();
  int joins = 0;
  world.mDeliveryOf = [&](const GroupOrder& aOrder) {
    const bool first =
      aOrder.mKind == GroupOrderKind::kJoin && aOrder.mEngine == back && joins++ == 0;
    return first ? OrderDelivery::kLost : OrderDelivery::kArrives;
  };
  world.Run(planner, seconds(20));
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  EXPECT_LT(world.mGiven[GroupOrderKind::kJoin], 60);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against several replicas re-forming at once and waiting for loads although none of their
/// engines has failed. Some engines are cut off from the store; their registrations lapse while
/// they serve. An engine without a registration must be queried before it counts as lost.
TEST(GroupPlanner, AMemberThatIsNoLongerListedButAnswersStays)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mGiven.clear();
  world.mPool.At(world.MemberOf(planner, "big", 3)).mListed = false;
  world.mPool.At(world.MemberOf(planner, "small", 2)).mListed = false;
  world.Run(planner, seconds(5));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0);
}

/// A head without a registration must get no requests: another member becomes the head.
TEST(GroupPlanner, AHeadThatIsNoLongerListedHandsOver)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  world.mPool.At(head).mListed = false;
  world.Run(planner, seconds(1));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_NE(world.MemberOf(planner, "big", 0), head);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// A member that left unannounced is replaced once its host refuses connections.
TEST(GroupPlanner, AnUnlistedMemberThatStopsAnsweringIsReplaced)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string member = world.MemberOf(planner, "big", 3);
  world.mPool.At(member).mListed = false;
  world.Run(planner, seconds(2));
  world.Kill(member);
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Guards against a replica that waits forever for a member that is neither listed nor answers.
TEST(GroupPlanner, AnUnlistedMemberThatIsSilentForLongerThanAPauseIsReplaced)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string member = world.MemberOf(planner, "big", 3);
  world.mPool.At(member).mListed = false;
  world.Run(planner, seconds(2));
  world.mPool.At(member).mAlive = false;
  world.Run(planner, seconds(3));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

TEST(GroupPlanner, AReplicaWithALeavingMemberDrainsAndThenReplacesIt)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string leaving = world.MemberOf(planner, "big", 2);
  world.mInFlight = 5;
  world.mPool.At(leaving).mRecord.mLeaving = true;
  world.Run(planner, milliseconds(500));
  EXPECT_EQ(world.mPool.Serving("big"), 1U); // still works on its requests in progress
  world.mInFlight = 0;
  world.Run(planner, milliseconds(700));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_NE(world.MemberOf(planner, "big", 2), leaving);
}

TEST(GroupPlanner, UnansweredOrdersAreRepeated)
{
  World world(1);
  GroupPlanner planner;
  int n = 0;
  world.mDeliveryOf = [&n](const GroupOrder&) {
    return ++n % 3 == 0 ? OrderDelivery::kLost : OrderDelivery::kArrives;
  };
  world.Run(planner, seconds(60));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against a pool that never forms because the holder can send only few orders per round.
TEST(GroupPlanner, FormsThePoolWithFewOrdersInEachRound)
{
  World world(6);
  world.mMaxOrders = 2;
  GroupPlanner planner;
  world.Run(planner, seconds(20));
  EXPECT_EQ(world.mPool.Serving("big"), 6U);
  EXPECT_EQ(world.mPool.Serving("small"), 6U);
  EXPECT_EQ(world.mMaxGiven, 2);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against engines that count as lost because the holder read their answers too late.
TEST(GroupPlanner, AnAnswerReadTooLateProvesNothingAboutTheEngine)
{
  World world(1);
  GroupPlanner planner;
  const TimePoint late = world.Now() + seconds(5);
  world.mDeliveryOf = [&](const GroupOrder&) {
    return world.Now() < late ? OrderDelivery::kUnread : OrderDelivery::kArrives;
  };
  while (world.Now() < late) {
    world.Run(planner, milliseconds(100));
    ASSERT_TRUE(planner.Unanswering().empty());
  }
  world.Run(planner, seconds(20));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
}

/// Guards against taking an answer for a sign of life of another engine. A member cut off from the
/// store exits and restarts under another id. The list still shows the old id, and the new process
/// answers queries at its address. The failure stalls a replica for seconds, sends a third of all
/// orders to engines that refuse them, and re-forms a replica without a spare four times per
/// second.
TEST(GroupPlanner, AnEngineWhoseAddressBelongsToAnotherHasExited)
{
  World world(1);
  for (auto& [id, engine] : world.mPool.Engines()) {
    engine.mRecord.mBorn = WallTime{}; // these engines do not report their start time
  }
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string gone = world.MemberOf(planner, "big", 2);
  world.mPool.At(gone).mReborn = true;
  world.mGiven.clear();
  int refused = 0;
  world.mDeliveryOf = [&](const GroupOrder& aOrder) {
    refused += aOrder.mEngine == gone ? 1 : 0;
    return OrderDelivery::kArrives;
  };
  // The head's streams make no progress, and its members are queried.
  planner.OnReport(gone, world.mPool.Report(gone), world.Now());
  world.Run(planner, milliseconds(800));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  for (int i = 0; i < 20; ++i) {
    planner.OnReport(gone, world.mPool.Report(gone), world.Now());
    planner.ReinstateEngine(gone);
    world.Run(planner, milliseconds(250));
  }
  EXPECT_LE(refused, 2);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

enum class InjectedFault
{
  kNone,
  kDies,
  kSeemsLost, ///< alive but unreachable
  kPauses,    ///< alive but silent; may continue
  kIsFound,
  kLeaves,
  kComes,        ///< a new engine appears
  kHolder,       ///< another holder takes over
  kUnlisted,     ///< or listed again
  kRestarts,     ///< under its id
  kCutOff,       ///< registrations of a replica and of its domain's spares become outdated
  kRegistersAnew ///< all outdated registrations are updated
};

/// A pool with short load times, so that engines soon change models without a load.
EnginePool
QuickLoads()
{
  EnginePool pool = TwoModels();
  for (auto& it : pool.mModels) {
    it.mLoadTime = seconds(1);
    it.mWarmupTime = milliseconds(300);
  }
  return pool;
}

/// Random faults in the two domains of a world, one per step, and the holders that plan it.
struct FaultSequence
{
  static constexpr std::size_t kPerDomain = 11;
  static constexpr std::size_t kMaxHolders = 4;

  FaultSequence() { mHolders.push_back(std::make_unique<GroupPlanner>()); }

  void Draw(int aStep)
  {
    const auto d = *rc::gen::inRange<std::size_t>(0, 2);
    const std::string engine = World::Name(d, *rc::gen::inRange<std::size_t>(0, kPerDomain));
    switch (*rc::gen::weightedElement<InjectedFault>({ { 8, InjectedFault::kNone },
                                                       { 4, InjectedFault::kDies },
                                                       { 2, InjectedFault::kSeemsLost },
                                                       { 2, InjectedFault::kPauses },
                                                       { 2, InjectedFault::kIsFound },
                                                       { 2, InjectedFault::kLeaves },
                                                       { 2, InjectedFault::kComes },
                                                       { 1, InjectedFault::kHolder },
                                                       { 1, InjectedFault::kUnlisted },
                                                       { 2, InjectedFault::kRestarts },
                                                       { 4, InjectedFault::kCutOff },
                                                       { 1, InjectedFault::kRegistersAnew } })) {
      case InjectedFault::kNone:
        break;
      case InjectedFault::kDies:
        mWorld.Kill(engine);
        break;
      case InjectedFault::kSeemsLost:
        mWorld.mDetectedLost.insert(engine);
        break;
      case InjectedFault::kPauses:
        mWorld.mSilent.insert(engine);
        break;
      case InjectedFault::kIsFound:
        mWorld.mSilent.erase(engine);
        if (mWorld.mPool.At(engine).mAlive) {
          mWorld.mDetectedLost.erase(engine);
        }
        break;
      case InjectedFault::kLeaves:
        mWorld.mPool.At(engine).mRecord.mLeaving = true;
        break;
      case InjectedFault::kComes:
        mWorld.mPool.Add("n" + std::to_string(mAdded++), "d" + std::to_string(d));
        break;
      case InjectedFault::kHolder:
        if (mHolders.size() < kMaxHolders) {
          mHolders.push_back(std::make_unique<GroupPlanner>());
        }
        break;
      case InjectedFault::kUnlisted:
        mWorld.mPool.At(engine).mListed = !mWorld.mPool.At(engine).mListed;
        break;
      case InjectedFault::kRestarts:
        mWorld.mPool.Restart(engine, WallTime(seconds(100 + aStep)));
        mWorld.mDetectedLost.erase(engine);
        break;
      case InjectedFault::kCutOff:
        CutOffReplicaOf(engine);
        break;
      case InjectedFault::kRegistersAnew:
        mWorld.mCutOff.clear();
        break;
    }
  }

  /// Cuts off a replica and the spares of its domain from the platform's list.
  void CutOffReplicaOf(const std::string& aEngine)
  {
    const std::string group = mWorld.mPool.At(aEngine).mRecord.mGroup.mName;
    for (const auto& [id, engine] : mWorld.mPool.Engines()) {
      const bool spare = engine.mRecord.mGroup.mName.rfind("spare-", 0) == 0;
      const bool near = engine.mRecord.mDomain == mWorld.mPool.At(aEngine).mRecord.mDomain;
      if (engine.mRecord.mGroup.mName == group || (spare && near)) {
        mWorld.CutOff(id);
      }
    }
  }

  /// Runs some rounds of the newest holder, and of its predecessor, which has not noticed the
  /// change.
  void Rounds()
  {
    constexpr int kRounds = 5;
    for (int k = 0; k < kRounds; ++k) {
      for (std::size_t i = mHolders.size() < 2 ? 0 : mHolders.size() - 2; i < mHolders.size();
           ++i) {
        mWorld.Round(*mHolders[i], i + 1);
      }
      mWorld.Step();
    }
  }

  /// Ends all faults and adds as many new engines to each domain as it had.
  void End()
  {
    mWorld.mDeliveryOf = nullptr;
    mWorld.mCutOff.clear();
    mWorld.mSilent.clear();
    for (std::size_t d = 0; d < 2; ++d) {
      for (std::size_t i = 0; i < kPerDomain; ++i) {
        mWorld.mPool.Add("f" + std::to_string(d) + "-" + std::to_string(i),
                         "d" + std::to_string(d));
      }
    }
  }

  World mWorld{ 2, kPerDomain, QuickLoads() };
  std::vector<std::unique_ptr<GroupPlanner>> mHolders; ///< one per tenure, in order
  std::size_t mAdded = 0;
};

/// Invariants under any sequence of losses, returns, departures, outdated registrations, lost, slow
/// and late answers, and successive holders of which two may be active at once: a replica serves
/// only if it is whole under its epoch and member list, and no engine joins another replica while a
/// replica that it has not left serves. Once the faults end, every replica is restored.
RC_GTEST_PROP(GroupPlanner, NeverServesPartOrTwice, ())
{
  FaultSequence troubles;
  World& world = troubles.mWorld;
  constexpr milliseconds kCoarse{ 100 };
  world.Run(*troubles.mHolders.front(), seconds(30), 1, kCoarse);
  world.mTraffic = true;
  world.mDeliveryOf = [](const GroupOrder&) {
    return *rc::gen::weightedElement<OrderDelivery>({ { 8, OrderDelivery::kArrives },
                                                      { 1, OrderDelivery::kLost },
                                                      { 1, OrderDelivery::kAnswerLost },
                                                      { 1, OrderDelivery::kLate },
                                                      { 1, OrderDelivery::kSlow },
                                                      { 1, OrderDelivery::kAnswerSlow } });
  };
  const auto steps = *rc::gen::inRange(20, 120);
  for (int i = 0; i < steps; ++i) {
    troubles.Draw(i);
    troubles.Rounds();
    RC_ASSERT(world.mPool.Violations() == std::vector<std::string>());
  }
  troubles.End();
  world.Run(*troubles.mHolders.back(), seconds(90), troubles.mHolders.size(), kCoarse);
  RC_ASSERT(world.mPool.Violations() == std::vector<std::string>());
  RC_ASSERT(world.mPool.Serving("big") >= 2U);
  RC_ASSERT(world.mPool.Serving("small") >= 2U);
}

} // namespace
} // namespace pepperbay
