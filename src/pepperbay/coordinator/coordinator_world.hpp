/// @file
/// @brief Coordinators before a fake pool and fake logs, in virtual time.
#pragma once

#include "fakes/fake_busy_client.hpp"
#include "fakes/fake_keyed_log.hpp"
#include "fakes/fake_lease_log.hpp"
#include "fakes/fake_pool.hpp"
#include "fakes/fake_store_line.hpp"
#include "pepperbay/base/hash.hpp"
#include "pepperbay/coordinator/coordinator.hpp"

#include <algorithm>
#include <deque>
#include <memory>

namespace pepperbay {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline EnginePool
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
class CoordinatorWorld
{
public:
  explicit CoordinatorWorld(EnginePool aPool = OneModel())
    : mPool(std::move(aPool))
  {
  }

  struct TestNode
  {
    std::string mName;
    std::unique_ptr<Coordinator> mCoordinator;
    std::shared_ptr<const TrafficPlan> mPlan;
    bool mStoreDown = false; ///< for this node only
    bool mAlive = true;
    std::unique_ptr<FakeStoreLine> mLine;    ///< used where reads are held
    std::unique_ptr<FakeBusyClient> mClient; ///< used where calls to engines cost time
    std::map<std::string, int> mLines;       ///< log lines by event
  };

  /// Five engines in one domain, and a configuration.
  void AddPool()
  {
    for (const char* it : { "e0", "e1", "e2", "e3", "e4" }) {
      mPool.Add(it, "d");
    }
    Configure("1");
  }

  void Configure(const std::string& aVersion) { mConfigLog.Put("config", aVersion); }

  TestNode& AddNode(const std::string& aName, int aCpuPermille = 0, const char* aDataCentre = "")
  {
    mNodes.emplace_back();
    TestNode& node = mNodes.back();
    node.mName = aName;
    node.mLine = std::make_unique<FakeStoreLine>(mClock.Hook());
    if (mCallCosts) {
      node.mClient = std::make_unique<FakeBusyClient>(mClock.Hook(), *mCallCosts);
    }
    CoordinatorOptions options;
    options.mNode = aName;
    options.mIncarnation = ++mIncarnations;
    options.mAddress = aName;
    options.mAllocatorAddress = "desk of " + aName;
    options.mTunnelAddress = mTunnels ? aName : "";
    options.mTunnelKey = "key of " + aName;
    options.mDataCentre = aDataCentre;
    options.mCpuPermille = aCpuPermille;
    node.mCoordinator = std::make_unique<Coordinator>(options, HooksOf(node));
    return node;
  }

  /// Nine nodes in three small data centres, one of which reads the store for all.
  /// @return their names in the order in which they do so
  std::vector<std::string> AddNineNodes()
  {
    std::vector<std::string> names;
    for (const char* centre : { "a", "b", "c" }) {
      for (int i = 0; i < 3; ++i) {
        names.push_back(centre + std::to_string(i));
        AddNode(names.back(), 0, centre);
      }
    }
    return RendezvousTop("delegates", names, names.size());
  }

  /// A log's hooks that fail while the store is down for the node.
  KeyedLogHooks Guarded(FakeKeyedLog* aLog, const TestNode& aNode)
  {
    const KeyedLogHooks hooks = mHoldsReads ? aNode.mLine->Hooks(aLog) : aLog->Hooks();
    KeyedLogHooks guarded;
    guarded.mReplaceConnections = hooks.mReplaceConnections;
    guarded.mNewest = [this, hooks, &aNode](const std::string& aAfter,
                                            const std::function<void(Result<KeyedPage>)>& aDone) {
      ++mPages[aNode.mName];
      if (aNode.mStoreDown || mStoreDown) {
        aDone(Error{ Errc::kUnavailable, "log.newest", "store", "" });
        return;
      }
      hooks.mNewest(aAfter, aDone);
    };
    guarded.mRead = [this, hooks, &aNode](std::uint64_t aFrom,
                                          Duration aWait,
                                          const std::function<void(Result<KeyedTail>)>& aDone) {
      ++mReads[aNode.mName];
      if (aNode.mStoreDown || mStoreDown) {
        aDone(Error{ Errc::kUnavailable, "log.read", "store", "" });
        return;
      }
      hooks.mRead(aFrom, aWait, aDone);
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
        if (aNode.mStoreDown || mStoreDown || aNode.mLine->Silent()) {
          aDone(Error{ Errc::kUnavailable, "lease.append", "store", "" });
          return;
        }
        hooks.mAppend(aEnd, aRecord, aDone);
      };
    guarded.mRead = [this, hooks, &aNode](std::uint64_t aFrom,
                                          const std::function<void(Result<LeaseTail>)>& aDone) {
      if (aNode.mStoreDown || mStoreDown || aNode.mLine->Silent()) {
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
    hooks.mConfigLog = Guarded(&mConfigLog, aNode);
    hooks.mEngineLog = Guarded(&mEngineLog, aNode);
    hooks.mNodeLog = Guarded(&mNodeLog, aNode);
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
      pool.mPool = mPool.Pool();
      configuration.mServices = { pool };
      if (mTwoPools) {
        pool.mName = "second";
        configuration.mServices.push_back(pool);
      }
      if (mPlainService) {
        ServiceSpec plain;
        plain.mName = kPlainService;
        configuration.mServices.push_back(plain);
      }
      return configuration;
    };
    hooks.mDecodeEngine = [this](const std::string& aId,
                                 const std::string& /*aBody*/) -> Result<EngineRecord> {
      if (mUnreadable.count(aId) != 0) {
        return Error{ Errc::kInvalid, "engine.decode", aId, "odd" };
      }
      return mPool.At(aId).mRecord;
    };
    hooks.mPutNode = [this, &aNode](const std::string& aKey,
                                    const std::string& aValue,
                                    const std::function<void(Result<void>)>& aDone) {
      ++mWrites[aNode.mName];
      if (aNode.mStoreDown || mStoreDown) {
        aDone(Error{ Errc::kUnavailable, "log.put", "store", "" });
        return;
      }
      mNodeLog.Put(aKey, aValue.empty() ? std::nullopt : std::make_optional(aValue));
      aDone(BOOST_OUTCOME_V2_NAMESPACE::success());
    };
    hooks.mOrder = [this, &aNode](const GroupOrder& aOrder,
                                  const EngineCallOptions& aOptions,
                                  const std::function<void(OrderAnswer)>& aDone) {
      ++mOrders[aOrder.mKind];
      if (mOnOrder) {
        mOnOrder(aOrder);
      }
      const Duration aTimeout = aOptions.mTimeout;
      if (aNode.mClient) {
        auto answer = std::make_shared<OrderAnswer>(OrderAnswer::kNone);
        aNode.mClient->Call(
          aTimeout,
          [this, aOrder, answer] { *answer = mPool.Order(aOrder, mClock.Now()); },
          [aDone, answer](bool aAnswered) { aDone(aAnswered ? *answer : OrderAnswer::kNone); });
        return;
      }
      if (!Reaches(aNode.mName, aOrder.mEngine, aOptions)) {
        Unanswered(aTimeout, [aDone] { aDone(OrderAnswer::kNone); });
        return;
      }
      if (mPool.IsPaused(aOrder.mEngine)) {
        OrderPaused(aOrder, aTimeout, aDone);
        return;
      }
      mLater.push_back([this, aOrder, aDone] { aDone(mPool.Order(aOrder, mClock.Now())); });
    };
    hooks.mAsk = [this, &aNode](const EngineRecord& aEngine,
                                const EngineCallOptions& aOptions,
                                const std::function<void(Result<EngineReport>)>& aDone) {
      ++mAsks;
      const Duration aTimeout = aOptions.mTimeout;
      const auto answer = [this, id = aEngine.mId, aDone](bool aAnswered) {
        if (aAnswered && mPool.At(id).mAlive && !mPool.IsPaused(id)) {
          aDone(mPool.Report(id));
        } else if (aAnswered && mPool.At(id).mRefuses) {
          aDone(Refused(id));
        } else {
          aDone(Error{ Errc::kTimeout, "engine.ask", id, "" });
        }
      };
      if (aNode.mClient) {
        aNode.mClient->Call(
          aTimeout, [] {}, answer);
        return;
      }
      if (aOptions.mVia && !MayCarry(aOptions.mVia->mNode)) {
        Unanswered(aTimeout, [id = aEngine.mId, aDone] {
          aDone(Error{ Errc::kCancelled, "engine.ask", id, "" });
        });
        return;
      }
      if (!Reaches(aNode.mName, aEngine.mId, aOptions)) {
        Unanswered(aTimeout, [answer] { answer(false); });
        return;
      }
      if (mPool.IsPaused(aEngine.mId)) {
        mTimeouts.emplace(WhenHeard(aEngine.mId, aTimeout), [answer] { answer(true); });
        return;
      }
      mLater.push_back([answer] { answer(true); });
    };
    hooks.mSend = [this](const std::string& aAddress, const std::string& aBytes) {
      mLastSent[aAddress] = aBytes;
      proto::PeerMessage message;
      message.ParseFromString(aBytes);
      if (mOnSend) {
        mOnSend(aAddress, message);
      }
      if ((mLoseFeeds && (message.has_feed() || message.has_feed_part())) ||
          (mLoses && mLoses(message.node(), aAddress))) {
        return;
      }
      mLater.push_back([this, aAddress, aBytes] { Deliver(aAddress, aBytes); });
    };
    hooks.mPublish = [&aNode](std::shared_ptr<const TrafficPlan> aPlan) {
      aNode.mPlan = std::move(aPlan);
    };
    hooks.mLog = [this, &aNode](const char* aEvent,
                                const std::map<std::string, std::string>& /*aFields*/) {
      ++mLines[aEvent];
      ++aNode.mLines[aEvent];
    };
    return hooks;
  }

  /// How a call ends whose connection an engine's host refuses.
  static Error Refused(const std::string& aEngine)
  {
    return { Errc::kRefused, "engine.ask", aEngine, "connection refused" };
  }

  /// When a call to an engine that is paused ends: once that goes on, or its time is over.
  TimePoint WhenHeard(const std::string& aEngine, Duration aTimeout) const
  {
    return std::min(mPool.All().at(aEngine).mPausedUntil, mClock.Now() + aTimeout);
  }

  /// An order lies unread until the engine goes on, and is carried out then, whether or not its
  /// sender still waits, or is lost.
  void OrderPaused(const GroupOrder& aOrder,
                   Duration aTimeout,
                   const std::function<void(OrderAnswer)>& aDone)
  {
    auto answer = std::make_shared<OrderAnswer>(OrderAnswer::kNone);
    if (!mPausedLoseOrders) {
      mTimeouts.emplace(mPool.At(aOrder.mEngine).mPausedUntil,
                        [this, aOrder, answer] { *answer = mPool.Order(aOrder, mClock.Now()); });
    }
    mTimeouts.emplace(WhenHeard(aOrder.mEngine, aTimeout), [aDone, answer] { aDone(*answer); });
  }

  /// @return whether a call of a node reaches an engine, by itself or through a peer.
  bool Reaches(const std::string& aNode,
               const std::string& aEngine,
               const EngineCallOptions& aOptions) const
  {
    if (aOptions.mVia) {
      EngineCallOptions own;
      own.mOwnConnection = true;
      return MayCarry(aOptions.mVia->mNode) && Reaches(aOptions.mVia->mNode, aEngine, own);
    }
    const bool kept = !aOptions.mOwnConnection && mKept.count(aNode + ">" + aEngine) != 0;
    return !mReaches || mReaches(aNode, aEngine) || kept;
  }

  /// @return whether a node is alive and reaches any engine, as it would say of itself.
  bool MayCarry(const std::string& aNode) const
  {
    EngineCallOptions own;
    own.mOwnConnection = true;
    const bool alive = std::any_of(mNodes.begin(), mNodes.end(), [&aNode](const TestNode& aIt) {
      return aIt.mName == aNode && aIt.mAlive;
    });
    const auto& engines = mPool.All();
    return alive && std::any_of(engines.begin(), engines.end(), [&](const auto& aIt) {
             return aIt.second.mAlive && !mPool.IsPaused(aIt.first) &&
                    Reaches(aNode, aIt.first, own);
           });
  }

  /// Do something once a call has run out of time, or has been refused.
  void Unanswered(Duration aTimeout, std::function<void()> aDo)
  {
    mTimeouts.emplace(mClock.Now() + (mCutRefuses ? Duration::zero() : aTimeout), std::move(aDo));
  }

  void Deliver(const std::string& aAddress, const std::string& aBytes)
  {
    for (auto& it : mNodes) {
      if (it.mName == aAddress && it.mAlive) {
        it.mCoordinator->OnMessage(aBytes);
      }
    }
  }

  /// Engines register what has changed.
  void Register()
  {
    for (const auto& [id, engine] : mPool.Engines()) {
      const GroupPlace& place = engine.mRecord.mGroup;
      const std::string state = place.mName + std::to_string(place.mEpoch) +
                                ToString(place.mPhase) +
                                std::to_string(engine.mRecord.mStagedModels.size()) + "@" +
                                std::to_string(engine.mRecord.mBorn.time_since_epoch().count()) +
                                (engine.mRecord.mLeaving ? "leaving" : "");
      const bool lists = engine.mAlive && engine.mListed && !mPool.IsPaused(id);
      if (lists && mRegistered[id] != state) {
        mRegistered[id] = state;
        mEngineLog.Put(id, state);
      }
    }
  }

  void Run(Duration aFor)
  {
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      mClock.Advance(kRound);
      if (mBandwidth) {
        mBandwidth->Advance(kRound);
      }
      mPool.Advance(mClock.Now());
      Register();
      for (auto& it : mNodes) {
        it.mLine->Advance();
        if (it.mClient) {
          it.mClient->Advance();
        }
        if (it.mAlive) {
          it.mCoordinator->Tick();
        }
      }
      std::vector<std::function<void()>> due;
      due.swap(mLater);
      while (!mTimeouts.empty() && mTimeouts.begin()->first <= mClock.Now()) {
        due.push_back(std::move(mTimeouts.begin()->second));
        mTimeouts.erase(mTimeouts.begin());
      }
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

  /// From now on the store's answers take the time that their bytes need.
  void LimitBandwidth(const FakeBandwidth& aBandwidth)
  {
    mBandwidth = aBandwidth;
    for (auto& it : mNodes) {
      it.mLine->SetBandwidth(&*mBandwidth);
    }
  }

  static constexpr milliseconds kRound{ 20 };
  std::optional<FakeBandwidth> mBandwidth;
  ManualClock mClock;
  FakePool mPool;
  FakeKeyedLog mConfigLog;
  FakeKeyedLog mEngineLog;
  FakeKeyedLog mNodeLog;
  FakeLeaseLog mLeaseLog;
  std::map<std::string, std::string> mRegistered;
  std::vector<std::function<void()>> mLater;
  std::multimap<TimePoint, std::function<void()>> mTimeouts; ///< ends of calls without an answer
  /// Whether a node's own connections to an engine work; null: all do.
  std::function<bool(const std::string& aNode, const std::string& aEngine)> mReaches;
  bool mCutRefuses = false;    ///< what does not reach an engine is refused at once
  std::set<std::string> mKept; ///< "node>engine": an old connection that lives on in a cut
  std::deque<TestNode> mNodes;
  std::map<GroupOrderKind, int> mOrders;
  std::function<void(const GroupOrder&)> mOnOrder; ///< as it is sent
  bool mPausedLoseOrders = false; ///< what is sent to an engine that is paused is lost
  int mAsks = 0;                  ///< questions to engines
  /// For nodes that are added from now on: what a call to an engine costs them.
  std::optional<FakeBusyClientCosts> mCallCosts;
  std::map<std::string, std::string> mLastSent; ///< messages by address
  std::function<void(const std::string& aAddress, const proto::PeerMessage&)> mOnSend;
  /// Whether a message on its way is lost.
  std::function<bool(const std::string& aFrom, const std::string& aTo)> mLoses;
  std::map<std::string, int> mWrites; ///< of records of the nodes' log, by node
  std::map<std::string, int> mReads;  ///< calls to the store's logs by node
  std::map<std::string, int> mPages;  ///< calls for a page of a list by node
  std::map<std::string, int> mLines;  ///< log lines of all nodes by event
  std::set<std::string> mUnreadable;  ///< registrations that cannot be read, by key
  std::uint64_t mIncarnations = 0;
  bool mStoreDown = false;
  bool mLoseFeeds = false;  ///< what delegates pass on does not arrive
  bool mHoldsReads = false; ///< for nodes that are added from now on
  bool mTunnels = true;     ///< nodes that are added from now on carry connections for others
  static constexpr const char* kPlainService = "plain";
  bool mPlainService = false; ///< the configuration has a service whose engines serve alone
  bool mTwoPools = false;     ///< the configuration has the pools "pool" and "second"
};

} // namespace pepperbay
