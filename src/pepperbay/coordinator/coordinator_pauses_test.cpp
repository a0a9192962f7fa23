/// Engines that fall silent and go on as if nothing had happened, as the control state takes them.
#include "coordinator_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

constexpr int kReplicas = 3;
constexpr Duration kStep = milliseconds(20);
/// A head's streams have stood still for so long when their node says so, and says it again.
constexpr Duration kSuspectAfter = milliseconds(180);
constexpr Duration kSuspectEvery = milliseconds(200);
/// The longest pause of an engine that is sound.
constexpr Duration kLongestPause = milliseconds(1500);
/// Engines and replicas are in use again so long after a pause.
constexpr Duration kReturn = seconds(1);
/// A replica is formed anew so long after the last word of an engine that stays silent.
constexpr milliseconds kSilentForGood{ 2500 };
/// A new holder of the lease is at work so long after the former one has ended.
constexpr Duration kTakeover = seconds(4);

/// Nodes before fifteen engines in three domains, with a replica in each and streams at all heads.
class PausingWorld : public CoordinatorWorld
{
public:
  explicit PausingWorld(int aNodes)
  {
    for (const char* domain : { "d0", "d1", "d2" }) {
      for (int i = 0; i < 5; ++i) {
        mPool.Add(std::string(domain) + "-e" + std::to_string(i), domain);
      }
    }
    Configure("1");
    for (int i = 0; i < aNodes; ++i) {
      AddNode("n" + std::to_string(i), 0, i % 2 == 0 ? "a" : "b");
    }
    mReaches = [this](const std::string& aNode, const std::string&) {
      return mCut.count(aNode) == 0;
    };
    Run(seconds(10));
    mEpochs = EpochsOf(mNodes.front());
    std::unordered_map<std::string, int> streams;
    for (const auto& [head, epoch] : mEpochs) {
      streams[head] = 2;
      const auto& members = mPool.At(head).mMembers;
      mServed.insert(members.begin(), members.end());
    }
    for (auto& it : mNodes) {
      it.mCoordinator->SetInFlight(streams, true);
    }
    Run(milliseconds(400)); // nodes tell each other
    mOnOrder = [this](const GroupOrder& aOrder) {
      const bool stages = aOrder.mKind == GroupOrderKind::kStage;
      if (!stages && mServed.count(aOrder.mEngine) != 0) {
        mHarmful.push_back(std::string(ToString(aOrder.mKind)) + " " + aOrder.mEngine);
        mFirstHarm = mFirstHarm.value_or(mClock.Now());
      }
    };
  }

  bool AllUsable() const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [](const TestNode& aNode) {
      return !aNode.mAlive || Usable(aNode) == kReplicas;
    });
  }

  /// @return whether each node still knows the replicas with the epochs that they had before.
  bool EpochsAreAsBefore() const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [this](const TestNode& aNode) {
      return !aNode.mAlive || EpochsOf(aNode) == mEpochs;
    });
  }

  std::string Head(int aReplica) const { return std::next(mEpochs.begin(), aReplica)->first; }
  std::string Member(int aReplica) { return mPool.At(Head(aReplica)).mMembers.at(kReplicas - 1); }
  std::string Spare() const
  {
    for (const auto& [id, engine] : mPool.All()) {
      if (mServed.count(id) == 0) {
        return id;
      }
    }
    return "";
  }

  void Pause(const std::string& aEngine, Duration aFor)
  {
    const TimePoint until = mClock.Now() + aFor;
    mPool.Pause(aEngine, until);
    mLastEnd = std::max(mLastEnd, until);
  }

  /// The platform lists an engine no longer, until that goes on.
  void LapseWhilePaused(const std::string& aEngine)
  {
    mEngineLog.Put(aEngine, std::nullopt);
    mRegistered.erase(aEngine);
  }

  /// Let the time go on; streams that stand still are noticed where they are.
  void Go(Duration aFor)
  {
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      Run(kStep);
      for (const auto& [head, epoch] : mEpochs) {
        NoteStreams(head);
      }
    }
  }

  /// Go on up to so long after the end of the last pause.
  void GoBeyondPauses(Duration aBeyond) { Go(std::max(kStep, mLastEnd + aBeyond - mClock.Now())); }

  std::set<std::string> mCut; ///< nodes that reach no engine
  std::set<std::string> mServed;
  std::map<std::string, std::uint64_t> mEpochs; ///< by head
  std::vector<std::string> mHarmful;            ///< orders to engines whose group served
  std::optional<TimePoint> mFirstHarm;
  TimePoint mLastEnd{};

private:
  /// @return the epochs of the replicas that take requests, by head.
  static std::map<std::string, std::uint64_t> EpochsOf(const TestNode& aNode)
  {
    std::map<std::string, std::uint64_t> epochs;
    for (const auto& it : aNode.mPlan->mReplicas.at("pool")) {
      if (!it.mSuspended && !it.mLost) {
        epochs[it.mHead.mId] = it.mEpoch;
      }
    }
    return epochs;
  }

  bool Moves(const std::string& aHead) const
  {
    const auto& members = mPool.All().at(aHead).mMembers;
    return std::all_of(members.begin(), members.end(), [this](const std::string& aIt) {
      return mPool.Alive(aIt) && !mPool.IsPaused(aIt);
    });
  }

  void NoteStreams(const std::string& aHead)
  {
    const TimePoint now = mClock.Now();
    if (Moves(aHead)) {
      mStillSince.erase(aHead);
      mNextSuspicion.erase(aHead);
      return;
    }
    const TimePoint since = mStillSince.emplace(aHead, now).first->second;
    TimePoint& next = mNextSuspicion.emplace(aHead, since + kSuspectAfter).first->second;
    if (now < next) {
      return;
    }
    next = now + kSuspectEvery;
    for (auto& it : mNodes) {
      if (it.mAlive) {
        it.mCoordinator->OnSuspect(aHead, now - since);
      }
    }
  }

  std::map<std::string, TimePoint> mStillSince;
  std::map<std::string, TimePoint> mNextSuspicion;
};

Duration
DrawPause()
{
  return milliseconds(*rc::gen::inRange(300, 1501));
}

int
DrawNodes()
{
  return *rc::gen::inRange(3, 10);
}

int
DrawReplica()
{
  return *rc::gen::inRange(0, kReplicas);
}

/// What must hold once all pauses are over.
void
CheckNothingHappened(PausingWorld& aWorld, Duration aReturn = kReturn)
{
  aWorld.GoBeyondPauses(aReturn);
  RC_LOG() << "ordered: " << testing::PrintToString(aWorld.mHarmful) << '\n';
  RC_ASSERT(aWorld.mHarmful.empty());
  RC_ASSERT(aWorld.AllUsable());
  RC_ASSERT(aWorld.EpochsAreAsBefore());
  aWorld.Go(seconds(2));
  RC_ASSERT(aWorld.mHarmful.empty());
  RC_ASSERT(aWorld.AllUsable());
  RC_ASSERT(aWorld.EpochsAreAsBefore());
  RC_ASSERT(aWorld.mPool.Violations().empty());
}

/// A few different engines fall silent, at once or one after the other.
void
PauseSeveral(PausingWorld& aWorld, int aMostBetweenMs)
{
  const auto engines = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 15));
  for (std::size_t i = 0; i < std::min<std::size_t>(engines.size(), 6); ++i) {
    const auto id = std::next(aWorld.mPool.All().begin(), engines[i])->first;
    aWorld.Pause(id, DrawPause());
    const int between = *rc::gen::inRange(0, aMostBetweenMs + 1);
    if (between > 0) {
      aWorld.Go(milliseconds(between));
    }
  }
}

/// Guards against a head's pause that ends its group and the streams that it writes.
RC_GTEST_PROP(CoordinatorPauses, OfAHeadEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Pause(world.Head(DrawReplica()), DrawPause());
  CheckNothingHappened(world);
}

/// Guards against a member's pause that ends its group and the streams of the group's head.
RC_GTEST_PROP(CoordinatorPauses, OfAMemberEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Pause(world.Member(DrawReplica()), DrawPause());
  CheckNothingHappened(world);
}

/// Guards against a spare's pause that costs a replica something.
RC_GTEST_PROP(CoordinatorPauses, OfASpareEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Pause(world.Spare(), DrawPause());
  CheckNothingHappened(world);
}

/// Guards against several engines that are silent at once being taken for a failure of all.
RC_GTEST_PROP(CoordinatorPauses, OfSeveralAtOnceEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  PauseSeveral(world, 0);
  CheckNothingHappened(world);
}

/// Guards against a domain that is silent for a moment being taken for one that is dark.
RC_GTEST_PROP(CoordinatorPauses, OfADomainEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const std::string domain = "d" + std::to_string(*rc::gen::inRange(0, 3));
  const Duration pause = DrawPause();
  for (const auto& [id, engine] : world.mPool.All()) {
    if (engine.mRecord.mDomain == domain) {
      world.Pause(id, pause);
    }
  }
  CheckNothingHappened(world);
}

/// Guards against pauses of different engines that add up to the end of a group.
RC_GTEST_PROP(CoordinatorPauses, InSeriesEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  PauseSeveral(world, 1000);
  CheckNothingHappened(world);
}

/// Guards against a group whose members fall silent in turn, so that its streams stand still for
/// longer than any of them was silent.
RC_GTEST_PROP(CoordinatorPauses, OfAGroupsMembersInTurnEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const auto members = world.mPool.At(world.Head(DrawReplica())).mMembers;
  for (const auto& it : members) {
    const Duration pause = DrawPause();
    world.Pause(it, pause);
    world.Go(pause * *rc::gen::inRange(3, 11) / 10);
  }
  CheckNothingHappened(world);
}

/// Guards against a registration that lapses in a pause and returns, with the same start, being
/// taken for a leave or a new start.
RC_GTEST_PROP(CoordinatorPauses, InWhichTheRegistrationLapsesEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const int replica = DrawReplica();
  const std::string id = *rc::gen::arbitrary<bool>() ? world.Head(replica) : world.Member(replica);
  const Duration lapse = milliseconds(*rc::gen::inRange(600, 1300));
  world.Pause(id, lapse + milliseconds(200));
  world.Go(lapse);
  world.LapseWhilePaused(id);
  CheckNothingHappened(world);
}

/// Guards against orders that an engine finds after its pause and carries out, though what they
/// were given for is over.
RC_GTEST_PROP(CoordinatorPauses, WithOrdersThatAreLostEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.mPausedLoseOrders = true;
  PauseSeveral(world, 300);
  CheckNothingHappened(world);
}

/// Guards against a new holder of the lease that meets engines in the middle of a pause, of whose
/// beginning it knows nothing.
RC_GTEST_PROP(CoordinatorPauses, AcrossAChangeOfTheHolderEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Go(milliseconds(*rc::gen::inRange(0, 600)));
  auto& holder = world.Holder();
  const bool before = *rc::gen::arbitrary<bool>();
  const Duration lead = milliseconds(*rc::gen::inRange(20, 1600));
  holder.mAlive = !before;
  if (before) {
    world.Go(lead);
  }
  PauseSeveral(world, 300);
  if (!before) {
    world.Go(lead);
    holder.mAlive = false;
  }
  CheckNothingHappened(world, kTakeover);
}

/// Guards against a pause beside a node that reaches no engine: its own blindness and the silence
/// together make no end.
RC_GTEST_PROP(CoordinatorPauses, BesideACutNodeEndNoGroup, ())
{
  const int nodes = DrawNodes();
  PausingWorld world(nodes);
  auto& cut = world.mNodes[static_cast<std::size_t>(*rc::gen::inRange(0, nodes))];
  world.mCut = { cut.mName };
  world.mCutRefuses = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    cut.mCoordinator->SetReach(false);
  }
  world.Go(milliseconds(*rc::gen::inRange(20, 800)));
  PauseSeveral(world, 300);
  CheckNothingHappened(world);
}

/// Guards against a holder that looks for its sight at engines which are silent as well, finds
/// none, and takes its own word for that of a second place or gives the others' up.
RC_GTEST_PROP(CoordinatorPauses, OfMostEnginesEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const int spared = *rc::gen::inRange(0, 15);
  const Duration pause = DrawPause();
  int i = 0;
  for (const auto& [id, engine] : world.mPool.All()) {
    if (i++ != spared) {
      world.Pause(id, pause);
    }
  }
  CheckNothingHappened(world);
}

/// Guards against requests that go on being sent to a replica which stands still.
TEST(PausedReplica, TakesNoNewRequestsSoon)
{
  for (const bool head : { false, true }) {
    PausingWorld world(3);
    world.Pause(head ? world.Head(0) : world.Member(0), kLongestPause);
    world.Go(kSuspectAfter + milliseconds(400));
    for (const auto& it : world.mNodes) {
      EXPECT_EQ(CoordinatorWorld::Usable(it), kReplicas - 1) << it.mName;
    }
  }
}

/// What becomes of a replica of which an engine has ended for good.
class EndedEngine : public testing::TestWithParam<std::tuple<int, bool>>
{
protected:
  /// @return how long after the engine's last word its replica was being formed anew.
  milliseconds FormedAnewAfter(const std::function<void(const std::string&)>& aEnd)
  {
    const TimePoint begun = mWorld.mClock.Now();
    aEnd(std::get<1>(GetParam()) ? mWorld.Head(1) : mWorld.Member(1));
    mWorld.Go(seconds(6));
    EXPECT_EQ(mWorld.mPool.Serving("m"), 3U);
    EXPECT_TRUE(mWorld.AllUsable());
    EXPECT_TRUE(mWorld.mPool.Violations().empty());
    EXPECT_TRUE(mWorld.mFirstHarm) << "not formed anew";
    return ToMs(mWorld.mFirstHarm.value_or(mWorld.mClock.Now()) - begun);
  }

  PausingWorld mWorld{ std::get<0>(GetParam()) };
};

/// Guards against a replica that stays dark though its host says that the engine's process has
/// ended.
TEST_P(EndedEngine, WhoseHostRefusesIsReplacedAtOnce)
{
  const auto after = FormedAnewAfter([this](const std::string& aId) { mWorld.mPool.End(aId); });
  EXPECT_LE(after.count(), ToMs(kSuspectAfter + milliseconds(800)).count());
}

/// Guards against a replica that stays dark for good, since silence alone is no proof.
TEST_P(EndedEngine, ThatStaysSilentIsReplacedInTheEnd)
{
  const auto after =
    FormedAnewAfter([this](const std::string& aId) { mWorld.mPool.Pause(aId, TimePoint::max()); });
  EXPECT_LE(after.count(), kSilentForGood.count());
  EXPECT_GT(after.count(), ToMs(kLongestPause).count()) << "a sound engine may go on until then";
}

INSTANTIATE_TEST_SUITE_P(NodesAndRanks,
                         EndedEngine,
                         testing::Combine(testing::Values(1, 3, 9), testing::Bool()));

} // namespace
} // namespace pepperbay
