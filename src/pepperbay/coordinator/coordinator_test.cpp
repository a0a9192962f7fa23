#include "pepperbay/coordinator/coordinator.hpp"

#include "fakes/fake_keyed_log.hpp"
#include "fakes/fake_lease_log.hpp"
#include "fakes/fake_pool.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <pepperbay.pb.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EnginePool
OneModel()
{
  EnginePool pool;
  pool.mSlots = 8;
  pool.mFormTime = milliseconds(300);
  pool.mLoadsPerSecond = 10;
  pool.mModels = { { "m", 3, 1.0, 1.0, seconds(2), milliseconds(500) } };
  return pool;
}

/// A few nodes before one pool, with a store and a clock that the test moves. Configurations are
/// written as their version number; `bad` is one that cannot be understood.
class CoordinatorTest : public testing::Test
{
protected:
  struct TestNode
  {
    std::string mName;
    std::unique_ptr<Coordinator> mCoordinator;
    std::shared_ptr<const TrafficPlan> mPlan;
    std::vector<SentPrompt> mPrompts;
    bool mStoreDown = false; ///< for this node only
    bool mAlive = true;
  };

  void SetUp() override
  {
    for (const char* it : { "e0", "e1", "e2", "e3", "e4" }) {
      mPool.Add(it, "d");
    }
    Configure("1");
  }

  void Configure(const std::string& aVersion) { mConfigLog.Put("config", aVersion); }

  TestNode& AddNode(const std::string& aName)
  {
    mNodes.emplace_back();
    TestNode& node = mNodes.back();
    node.mName = aName;
    CoordinatorOptions options;
    options.mNode = aName;
    options.mIncarnation = ++mIncarnations;
    options.mAddress = aName;
    node.mCoordinator = std::make_unique<Coordinator>(options, HooksOf(node));
    return node;
  }

  /// A log's hooks that fail while the store is down for the node.
  KeyedLogHooks Guarded(const KeyedLogHooks& aHooks, const TestNode& aNode)
  {
    KeyedLogHooks guarded;
    guarded.mNewest = [this, aHooks, &aNode](const std::string& aAfter,
                                             const std::function<void(Result<KeyedPage>)>& aDone) {
      if (aNode.mStoreDown || mStoreDown) {
        aDone(Error{ Errc::kUnavailable, "log.newest", "store", "" });
        return;
      }
      aHooks.mNewest(aAfter, aDone);
    };
    guarded.mRead = [this, aHooks, &aNode](std::uint64_t aFrom,
                                           Duration aWait,
                                           const std::function<void(Result<KeyedTail>)>& aDone) {
      if (aNode.mStoreDown || mStoreDown) {
        aDone(Error{ Errc::kUnavailable, "log.read", "store", "" });
        return;
      }
      aHooks.mRead(aFrom, aWait, aDone);
    };
    return guarded;
  }

  LogLeaseHooks GuardedLease(const TestNode& aNode)
  {
    const LogLeaseHooks hooks = mLeaseLog.Hooks();
    LogLeaseHooks guarded;
    guarded.mAppend =
      [this, hooks, &aNode](std::uint64_t aEnd,
                            const std::string& aRecord,
                            const std::function<void(Result<ConditionalAppend>)>& aDone) {
        if (aNode.mStoreDown || mStoreDown) {
          aDone(Error{ Errc::kUnavailable, "lease.append", "store", "" });
          return;
        }
        hooks.mAppend(aEnd, aRecord, aDone);
      };
    guarded.mRead = [this, hooks, &aNode](std::uint64_t aFrom,
                                          const std::function<void(Result<LeaseTail>)>& aDone) {
      if (aNode.mStoreDown || mStoreDown) {
        aDone(Error{ Errc::kUnavailable, "lease.read", "store", "" });
        return;
      }
      hooks.mRead(aFrom, aDone);
    };
    return guarded;
  }

  CoordinatorHooks HooksOf(TestNode& aNode)
  {
    CoordinatorHooks hooks;
    hooks.mNow = mClock.Hook();
    hooks.mConfigLog = Guarded(mConfigLog.Hooks(), aNode);
    hooks.mEngineLog = Guarded(mEngineLog.Hooks(), aNode);
    hooks.mNodeLog = Guarded(mNodeLog.Hooks(), aNode);
    hooks.mLeaseLog = GuardedLease(aNode);
    hooks.mConfigKey = "config";
    hooks.mDecodeConfiguration = [this](const std::string& aBody) -> Result<Configuration> {
      if (aBody == "bad") {
        return Error{ Errc::kInvalid, "configuration.decode", "store", "bad" };
      }
      Configuration configuration;
      configuration.mVersion = std::stoul(aBody);
      ServiceSpec pool;
      pool.mName = "pool";
      pool.mPool = OneModel();
      configuration.mServices = { pool };
      if (mTwoPools) {
        pool.mName = "second";
        configuration.mServices.push_back(pool);
      }
      return configuration;
    };
    hooks.mDecodeEngine = [this](const std::string& aId,
                                 const std::string& /*aBody*/) -> Result<EngineRecord> {
      return mPool.At(aId).mRecord;
    };
    hooks.mPutNode = [this](const std::string& aKey,
                            const std::string& aValue,
                            const std::function<void(Result<void>)>& aDone) {
      mNodeLog.Put(aKey, aValue);
      aDone(BOOST_OUTCOME_V2_NAMESPACE::success());
    };
    hooks.mOrder = [this](const GroupOrder& aOrder,
                          Duration /*aTimeout*/,
                          const std::function<void(OrderAnswer)>& aDone) {
      ++mOrders[aOrder.mKind];
      mLater.push_back([this, aOrder, aDone] { aDone(mPool.Order(aOrder, mClock.Now())); });
    };
    hooks.mAsk = [this](const EngineRecord& aEngine,
                        Duration /*aTimeout*/,
                        const std::function<void(Result<EngineReport>)>& aDone) {
      mLater.push_back([this, id = aEngine.mId, aDone] {
        if (mPool.At(id).mAlive) {
          aDone(mPool.Report(id));
        } else {
          aDone(Error{ Errc::kTimeout, "engine.ask", id, "" });
        }
      });
    };
    hooks.mSend = [this](const std::string& aAddress, const std::string& aBytes) {
      mLastSent[aAddress] = aBytes;
      mLater.push_back([this, aAddress, aBytes] {
        for (auto& it : mNodes) {
          if (it.mName == aAddress && it.mAlive) {
            it.mCoordinator->OnBeat(aBytes);
          }
        }
      });
    };
    hooks.mPublish = [&aNode](std::shared_ptr<const TrafficPlan> aPlan) {
      aNode.mPlan = std::move(aPlan);
    };
    hooks.mOnPrompts = [&aNode](std::vector<SentPrompt> aPrompts) {
      aNode.mPrompts.insert(aNode.mPrompts.end(), aPrompts.begin(), aPrompts.end());
    };
    hooks.mLog = [this](const char* aEvent, const std::map<std::string, std::string>& /*aFields*/) {
      ++mLines[aEvent];
    };
    return hooks;
  }

  /// Engines register what has changed.
  void Register()
  {
    for (const auto& [id, engine] : mPool.Engines()) {
      const GroupPlace& place = engine.mRecord.mGroup;
      const std::string state = place.mName + std::to_string(place.mEpoch) +
                                ToString(place.mPhase) +
                                std::to_string(engine.mRecord.mStagedModels.size()) +
                                (engine.mRecord.mLeaving ? "leaving" : "");
      const bool lists = engine.mAlive && engine.mListed;
      if (lists && mRegistered[id] != state) {
        mRegistered[id] = state;
        mEngineLog.Put(id, state);
      }
    }
  }

  void Run(Duration aFor)
  {
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      mClock.Advance(milliseconds(20));
      mPool.Advance(mClock.Now());
      Register();
      for (auto& it : mNodes) {
        if (it.mAlive) {
          it.mCoordinator->Tick();
        }
      }
      std::vector<std::function<void()>> due;
      due.swap(mLater);
      for (const auto& it : due) {
        it();
      }
    }
  }

  TestNode& Holder()
  {
    for (auto& it : mNodes) {
      if (it.mAlive && it.mCoordinator->HoldsLease()) {
        return it;
      }
    }
    return mNodes.front();
  }

  static int Usable(const TestNode& aNode, const char* aPool = "pool")
  {
    int n = 0;
    for (const auto& it : aNode.mPlan->mReplicas.at(aPool)) {
      n += it.mSuspended || it.mLost ? 0 : 1;
    }
    return n;
  }

  ManualClock mClock;
  FakePool mPool{ OneModel() };
  FakeKeyedLog mConfigLog;
  FakeKeyedLog mEngineLog;
  FakeKeyedLog mNodeLog;
  FakeLeaseLog mLeaseLog;
  std::map<std::string, std::string> mRegistered;
  std::vector<std::function<void()>> mLater;
  std::deque<TestNode> mNodes;
  std::map<GroupOrderKind, int> mOrders;
  std::map<std::string, std::string> mLastSent; ///< messages by address
  std::map<std::string, int> mLines;            ///< log lines of all nodes by event
  std::uint64_t mIncarnations = 0;
  bool mStoreDown = false;
  bool mTwoPools = false; ///< the configuration has the pools "pool" and "second"
};

TEST_F(CoordinatorTest, OneNodeOrdersAndAllRoute)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(8));
  int holders = 0;
  for (const auto& it : mNodes) {
    holders += it.mCoordinator->HoldsLease() ? 1 : 0;
    EXPECT_TRUE(it.mCoordinator->IsReady());
    EXPECT_EQ(Usable(it), 1) << it.mName;
    EXPECT_EQ(it.mPlan->mNodes, 3);
  }
  EXPECT_EQ(holders, 1);
  EXPECT_EQ(mPool.Serving("m"), 1U);
}

/// Symptom: replicas are formed anew, or nobody repairs, after the node that gave the orders died.
/// Sequence: it dies; another takes the lease; later a member of the replica dies.
TEST_F(CoordinatorTest, AnotherNodeTakesOverAndRepairs)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  Holder().mAlive = false;
  mOrders.clear();
  Run(seconds(3));
  ASSERT_TRUE(Holder().mCoordinator->HoldsLease());
  EXPECT_EQ(mOrders[GroupOrderKind::kOpen], 0);
  EXPECT_EQ(mPool.Serving("m"), 1U);
  const std::string head = Holder().mPlan->mReplicas.at("pool").front().mHead.mId;
  for (const auto& it : mPool.At(head).mMembers) {
    if (it != head) {
      mPool.At(it).mAlive = false;
      break;
    }
  }
  Holder().mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(2));
  EXPECT_EQ(mPool.Serving("m"), 1U);
  EXPECT_EQ(Usable(Holder()), 1);
}

/// Symptom: nodes that do not give the orders send requests to a replica that is broken, though the
/// holder knows; each round logs every replica as new.
/// Sequence: two pools; the members of one pool's replica die while the registrations still
/// name them.
/// Cause: the news of one pool's replicas was dropped when the other pool's was put together, and
/// both pools called their replicas by the same names.
TEST_F(CoordinatorTest, NewsOfTwoPoolsReachesTheOtherNodes)
{
  mTwoPools = true;
  for (const char* it : { "f0", "f1", "f2", "f3" }) {
    mPool.Add(it, "d2", "", "second");
  }
  AddNode("a");
  AddNode("b");
  Run(seconds(12));
  TestNode& holder = Holder();
  TestNode& other = &holder == &mNodes[0] ? mNodes[1] : mNodes[0];
  ASSERT_EQ(Usable(other, "pool"), 1);
  ASSERT_EQ(Usable(other, "second"), 1);
  const std::string head = other.mPlan->mReplicas.at("pool").front().mHead.mId;
  for (auto& [id, engine] : mPool.Engines()) {
    engine.mAlive = id == head || engine.mRecord.mService != "pool";
  }
  holder.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(milliseconds(400));
  EXPECT_EQ(Usable(other, "pool"), 0);
  EXPECT_EQ(Usable(other, "second"), 1);
  const int lines = mLines["replica"];
  Run(seconds(1));
  EXPECT_EQ(mLines["replica"], lines) << "nothing has changed";
}

/// Symptom: requests go for most of a second to a replica that has lost a member.
/// Sequence: a member's registration lapses, though it lives and answers; later it dies, and a node
/// finds the head silent.
/// Cause: only members that are registered were asked at once.
TEST_F(CoordinatorTest, AMemberWhoseRegistrationLapsedIsAskedLikeTheOthers)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  std::string member;
  for (auto& [id, engine] : mPool.Engines()) {
    const bool spare = engine.mRecord.mGroup.mName != mPool.At(head).mRecord.mGroup.mName;
    engine.mAlive = !spare; // no repair can hide what is asked here
    if (!spare && id != head) {
      member = id;
    }
  }
  mPool.At(member).mListed = false;
  mEngineLog.Put(member, std::nullopt);
  Run(seconds(4));
  ASSERT_EQ(Usable(node), 1) << "it answers";
  mPool.At(member).mAlive = false;
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(milliseconds(200));
  EXPECT_EQ(Usable(node), 0);
}

/// Symptom: a replica is dark for as long as the store is.
/// Cause: its repair waited for a lease that nobody could renew.
TEST_F(CoordinatorTest, TheLastHolderRepairsWhileTheStoreIsDown)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  mStoreDown = true;
  Run(seconds(5));
  EXPECT_FALSE(node.mCoordinator->HoldsLease());
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  mPool.At(head).mAlive = false;
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(2));
  EXPECT_EQ(mPool.Serving("m"), 1U);
  EXPECT_TRUE(mPool.Violations().empty());
}

/// Symptom: a node goes back to an older configuration, or loses the one it has.
TEST_F(CoordinatorTest, AConfigurationOnlyGoesForward)
{
  TestNode& node = AddNode("a");
  Run(seconds(1));
  Configure("5");
  Run(milliseconds(200));
  EXPECT_EQ(node.mPlan->mRoutes->Version(), 5U);
  Configure("3");
  Configure("bad");
  Run(milliseconds(200));
  EXPECT_EQ(node.mPlan->mRoutes->Version(), 5U);
  EXPECT_EQ(node.mCoordinator->Counters().mBadConfigurations, 1U);
}

/// Symptom: a key that was taken away works on at a node that the store turns away.
/// Sequence: no node reaches the store. Two that vouched for each other could trust keys for ever.
TEST_F(CoordinatorTest, KeysAreTrustedOnlyWhileTheConfigurationIsFresh)
{
  TestNode& a = AddNode("a");
  TestNode& b = AddNode("b");
  Run(seconds(2));
  EXPECT_GT(a.mPlan->mKeysValidUntil, mClock.Now());
  mStoreDown = true;
  Run(seconds(5));
  EXPECT_LT(a.mPlan->mKeysValidUntil, mClock.Now());
  EXPECT_LT(b.mPlan->mKeysValidUntil, mClock.Now());
  mStoreDown = false;
  Run(seconds(1));
  EXPECT_GT(a.mPlan->mKeysValidUntil, mClock.Now());
}

/// Symptom: a node refuses every request with a key while its neighbours serve them.
/// Sequence: the store turns this node away; its peers reach the store and this node. Then the last
/// of them dies.
TEST_F(CoordinatorTest, ANodeThatTheStoreTurnsAwayLearnsFreshnessFromPeers)
{
  TestNode& cut = AddNode("a");
  TestNode& fine = AddNode("b");
  Run(seconds(2));
  cut.mStoreDown = true;
  Run(seconds(20));
  EXPECT_GT(cut.mPlan->mKeysValidUntil, mClock.Now());
  fine.mAlive = false;
  Run(seconds(5));
  EXPECT_LT(cut.mPlan->mKeysValidUntil, mClock.Now());
}

/// Symptom: a key that was taken away works on at a node that the store turns away.
/// Sequence: a peer's word is long on its way and arrives when the key is already gone.
/// Cause: the word was taken as of its receipt.
TEST_F(CoordinatorTest, ALateWordOfAPeerMakesNothingFresh)
{
  TestNode& cut = AddNode("a");
  TestNode& fine = AddNode("b");
  Run(seconds(2));
  cut.mStoreDown = true;
  Run(seconds(4));
  fine.mAlive = false;
  const std::string late = mLastSent["a"];
  Run(seconds(10));
  cut.mCoordinator->OnBeat(late);
  Run(seconds(1));
  EXPECT_LT(cut.mPlan->mKeysValidUntil, mClock.Now());
}

/// A new configuration reaches a node that the store turns away, and is not taken from a message of
/// an earlier start.
TEST_F(CoordinatorTest, ANodeThatTheStoreTurnsAwayGetsTheConfigurationFromPeers)
{
  TestNode& cut = AddNode("a");
  AddNode("b");
  Run(seconds(2));
  cut.mStoreDown = true;
  Run(seconds(3));
  Configure("5");
  Run(seconds(1));
  EXPECT_EQ(cut.mPlan->mRoutes->Version(), 5U);
  EXPECT_GT(cut.mPlan->mKeysValidUntil, mClock.Now());
  proto::NodeBeat old;
  old.set_node("b");
  old.set_incarnation(99);
  old.set_configuration("9");
  cut.mCoordinator->OnBeat(old.SerializeAsString());
  Run(milliseconds(200));
  EXPECT_EQ(cut.mPlan->mRoutes->Version(), 5U);
}

TEST_F(CoordinatorTest, PromptsReachTheOtherNodesAtOnce)
{
  TestNode& a = AddNode("a");
  TestNode& b = AddNode("b");
  Run(seconds(8));
  a.mCoordinator->TellPrompts({ { "e1", milliseconds(36) } });
  Run(milliseconds(20));
  ASSERT_EQ(b.mPrompts.size(), 1U);
  EXPECT_EQ(b.mPrompts[0].mHead, "e1");
  EXPECT_EQ(b.mPrompts[0].mWork, milliseconds(36));
  EXPECT_TRUE(a.mPrompts.empty());
}

TEST_F(CoordinatorTest, BytesThatAreNoMessageAreCountedAndDropped)
{
  TestNode& node = AddNode("a");
  Run(seconds(1));
  node.mCoordinator->OnBeat("\xff\xff garbage");
  EXPECT_EQ(node.mCoordinator->Counters().mBadMessages, 1U);
}

TEST_F(CoordinatorTest, AStoppingNodeIsNotReadyAndGivesTheLeaseBack)
{
  TestNode& a = AddNode("a");
  TestNode& b = AddNode("b");
  Run(seconds(3));
  TestNode& holder = Holder();
  TestNode& other = &holder == &a ? b : a;
  holder.mCoordinator->BeginStop();
  Run(milliseconds(700)); // less than a lease
  EXPECT_FALSE(holder.mCoordinator->IsReady());
  EXPECT_TRUE(other.mCoordinator->HoldsLease());
}

TEST_F(CoordinatorTest, TheDumpNamesReplicasAndWhyOneDoesNotServe)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  for (const auto& it : { "e0", "e1", "e2", "e3", "e4" }) {
    mPool.At(it).mAlive = it == head;
  }
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(1));
  const std::string dump = node.mCoordinator->Dump();
  EXPECT_NE(dump.find("\"phase\": \"broken\""), std::string::npos) << dump;
  EXPECT_NE(dump.find("no spare in domain d"), std::string::npos);
}

} // namespace
} // namespace pepperbay
