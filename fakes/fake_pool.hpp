/// @file
/// @brief A pool of engines that form replicas by orders, for tests of what gives the orders.
///
/// Joins take their time, heads do not look at their members, orders can be lost before or after
/// they take effect or be carried out late. What must never be is noted in Violations().
#pragma once

#include "pepperbay/placement/group_order.hpp"
#include "pepperbay/routing/route_table.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

class FakePool
{
public:
  explicit FakePool(EnginePool aPool)
    : mPool(std::move(aPool))
  {
  }

  struct Engine
  {
    EngineRecord mRecord;
    bool mAlive = true;
    bool mListed = true;
    bool mRefuses = false; ///< its process has ended and its host refuses connections
    /// Its process has ended and another, with another id, answers at its address; the list still
    /// has the old one.
    bool mReborn = false;
    std::string mLastModel;
    std::vector<std::string> mMembers; ///< of its group
    std::string mModel;                ///< that it joins for
    TimePoint mReadyAt{};
    TimePoint mServesAt{};
    TimePoint mStagedAt{};
    std::string mStaging;
    std::uint64_t mSeenEpoch = 0;
    std::uint64_t mSeenFence = 0;
    std::uint64_t mAccepted = 0; ///< orders
  };

  void Add(const std::string& aId,
           const std::string& aDomain,
           const std::string& aStaged = "",
           const std::string& aService = "pool")
  {
    Engine engine;
    engine.mRecord.mId = aId;
    engine.mRecord.mBorn = WallTime(std::chrono::seconds(1));
    engine.mRecord.mService = aService;
    engine.mRecord.mAddress = "10.0.0.1:80";
    engine.mRecord.mDomain = aDomain;
    if (!aStaged.empty()) {
      engine.mRecord.mStagedModels = { aStaged };
    }
    mEngines[aId] = std::move(engine);
  }

  /// The engine starts again under its id: it keeps the weights on its host and nothing else.
  void Restart(const std::string& aId, WallTime aBorn)
  {
    Engine& old = mEngines.at(aId);
    Engine engine;
    engine.mRecord = old.mRecord;
    engine.mRecord.mBorn = aBorn;
    engine.mRecord.mLeaving = false;
    engine.mRecord.mLoadedModels.clear();
    engine.mRecord.mGroup = GroupPlace{};
    old = std::move(engine);
  }

  /// The engine's process ends, and its host refuses connections from now on.
  void End(const std::string& aId)
  {
    Engine& engine = mEngines.at(aId);
    engine.mAlive = false;
    engine.mRefuses = true;
  }

  Engine& At(const std::string& aId) { return mEngines.at(aId); }
  std::map<std::string, Engine>& Engines() { return mEngines; }
  const std::map<std::string, Engine>& All() const { return mEngines; }
  const EnginePool& Pool() const { return mPool; }
  /// The operators change the configuration.
  void SetPool(EnginePool aPool) { mPool = std::move(aPool); }
  const std::vector<std::string>& Violations() const { return mViolations; }
  /// When weights began to be loaded from their store.
  const std::vector<TimePoint>& Loads() const { return mLoads; }

  /// What the platform lists.
  EngineMap Listed() const
  {
    EngineMap map;
    for (const auto& [id, engine] : mEngines) {
      if (engine.mListed) {
        map[id] = engine.mRecord;
      }
    }
    return map;
  }

  /// The engine's own answer; kNone from one that is dead.
  OrderAnswer Order(const GroupOrder& aOrder, TimePoint aNow)
  {
    const auto it = mEngines.find(aOrder.mEngine);
    if (it == mEngines.end() || !it->second.mAlive) {
      return OrderAnswer::kNone;
    }
    Engine& engine = it->second;
    if (engine.mReborn) {
      return OrderAnswer::kOtherEngine;
    }
    if (aOrder.mFence < engine.mSeenFence) {
      return OrderAnswer::kStale;
    }
    engine.mSeenFence = aOrder.mFence;
    if (aOrder.mAccepted && *aOrder.mAccepted != engine.mAccepted) {
      return OrderAnswer::kNotNow;
    }
    const bool was = IsIn(engine, aOrder);
    const OrderAnswer answer = CarryOut(engine, aOrder, aNow);
    engine.mAccepted += Began(aOrder, answer, was) ? 1 : 0;
    return answer;
  }

  EngineReport Report(const std::string& aId) const
  {
    const Engine& engine = mEngines.at(aId);
    EngineReport report;
    if (engine.mReborn) {
      return report;
    }
    report.mBorn = engine.mRecord.mBorn;
    report.mGroup = engine.mRecord.mGroup;
    report.mAccepted = engine.mAccepted;
    return report;
  }

  void Advance(TimePoint aNow)
  {
    for (auto& [id, engine] : mEngines) {
      GroupPlace& place = engine.mRecord.mGroup;
      if (!engine.mStaging.empty() && aNow >= engine.mStagedAt) {
        engine.mRecord.mStagedModels = { engine.mStaging };
        engine.mStaging.clear();
      }
      if (place.mPhase == GroupPhase::kJoining && aNow >= engine.mReadyAt) {
        place.mPhase = GroupPhase::kReady;
        engine.mLastModel = engine.mModel;
        engine.mRecord.mLoadedModels = { engine.mModel };
        engine.mRecord.mStagedModels = { engine.mModel };
        mWereReady.insert(ReadyKey(id, place, engine.mMembers));
      }
      if (engine.mAlive && place.mPhase == GroupPhase::kOpen && aNow >= engine.mServesAt) {
        CheckServes(engine);
      }
    }
  }

  bool Alive(const std::string& aId) const
  {
    const auto it = mEngines.find(aId);
    return it != mEngines.end() && it->second.mAlive;
  }

  /// @return whether a head serves by now, every member alive and in its group.
  bool ServesWhole(const std::string& aHead, TimePoint aNow) const
  {
    const auto it = mEngines.find(aHead);
    return it != mEngines.end() && Serves(it->second) && aNow >= it->second.mServesAt;
  }

  /// Replicas that really serve: the head is open and every member is alive and in it.
  std::size_t Serving(const std::string& aModel) const
  {
    std::size_t n = 0;
    for (const auto& [id, engine] : mEngines) {
      n += Serves(engine) && engine.mModel == aModel ? 1 : 0;
    }
    return n;
  }

private:
  static bool IsIn(const Engine& aEngine, const GroupOrder& aOrder)
  {
    const GroupPlace& place = aEngine.mRecord.mGroup;
    return place.mName == aOrder.mGroup && place.mEpoch == aOrder.mEpoch;
  }

  /// @return whether an order began something, which is what an engine counts; a join that is still
  /// in progress is answered as begun again, and an order to leave is done when it is answered.
  static bool Began(const GroupOrder& aOrder, OrderAnswer aAnswer, bool aWasIn)
  {
    if (aOrder.mKind == GroupOrderKind::kLeave) {
      return aWasIn;
    }
    const bool repeated = aOrder.mKind == GroupOrderKind::kJoin && aWasIn;
    return aAnswer == OrderAnswer::kBegun && !repeated;
  }

  OrderAnswer CarryOut(Engine& aEngine, const GroupOrder& aOrder, TimePoint aNow)
  {
    switch (aOrder.mKind) {
      case GroupOrderKind::kJoin:
        return Join(aEngine, aOrder, aNow);
      case GroupOrderKind::kOpen:
        return Open(aEngine, aOrder, aNow);
      case GroupOrderKind::kLeave:
        return Leave(aEngine, aOrder);
      case GroupOrderKind::kStage:
        return Stage(aEngine, aOrder, aNow);
    }
    return OrderAnswer::kInvalid;
  }

  static std::string ReadyKey(const std::string& aId,
                              const GroupPlace& aPlace,
                              const std::vector<std::string>& aMembers)
  {
    std::string key = aId + "|" + aPlace.mName + "|" + std::to_string(aPlace.mEpoch);
    for (const auto& it : aMembers) {
      key += "|" + it;
    }
    return key;
  }

  bool Serves(const Engine& aHead) const
  {
    if (!aHead.mAlive || aHead.mReborn || aHead.mRecord.mGroup.mPhase != GroupPhase::kOpen) {
      return false;
    }
    for (const auto& it : aHead.mMembers) {
      const auto member = mEngines.find(it);
      if (member == mEngines.end() || !member->second.mAlive || member->second.mReborn ||
          member->second.mRecord.mGroup.mName != aHead.mRecord.mGroup.mName ||
          member->second.mRecord.mGroup.mEpoch != aHead.mRecord.mGroup.mEpoch) {
        return false;
      }
    }
    return true;
  }

  void CheckServes(const Engine& aHead)
  {
    const GroupPlace& place = aHead.mRecord.mGroup;
    const ModelSpec* model = mPool.FindModel(aHead.mModel);
    if (model == nullptr || aHead.mMembers.size() != model->mSize) {
      Note("replica " + place.mName + " serves with a wrong number of members");
    }
    for (const auto& it : aHead.mMembers) {
      if (mWereReady.count(ReadyKey(it, place, aHead.mMembers)) == 0) {
        Note("replica " + place.mName + " serves and " + it + " was never ready in it");
      }
    }
  }

  OrderAnswer Join(Engine& aEngine, const GroupOrder& aOrder, TimePoint aNow)
  {
    GroupPlace& place = aEngine.mRecord.mGroup;
    const bool same = IsIn(aEngine, aOrder);
    if (same && aEngine.mMembers == aOrder.mMembers) {
      return place.mPhase == GroupPhase::kJoining ? OrderAnswer::kBegun : OrderAnswer::kHolds;
    }
    if (aOrder.mEpoch < aEngine.mSeenEpoch || same) {
      return OrderAnswer::kStale;
    }
    if (!place.mName.empty() && place.mName != aOrder.mGroup) {
      const auto head = mEngines.find(aEngine.mMembers.front());
      const bool open = head != mEngines.end() && head->second.mAlive &&
                        head->second.mRecord.mGroup.mName == place.mName &&
                        head->second.mRecord.mGroup.mPhase == GroupPhase::kOpen;
      if (open) {
        Note(aEngine.mRecord.mId + " joins " + aOrder.mGroup + " while " + place.mName +
             " that it has not left is open");
      }
    }
    const ModelSpec* model = mPool.FindModel(aOrder.mModel);
    if (model == nullptr) {
      return OrderAnswer::kInvalid;
    }
    Duration takes = model->mLoadTime;
    if (aEngine.mLastModel == aOrder.mModel) {
      takes = std::chrono::milliseconds(200);
    } else if (aEngine.mRecord.HasStaged(aOrder.mModel)) {
      takes = model->mWarmupTime;
    } else if (aEngine.mStaging == aOrder.mModel) {
      takes = aEngine.mStagedAt - aNow + model->mWarmupTime; // the weights are on their way
    } else {
      mLoads.push_back(aNow);
    }
    aEngine.mSeenEpoch = aOrder.mEpoch;
    aEngine.mMembers = aOrder.mMembers;
    aEngine.mModel = aOrder.mModel;
    aEngine.mReadyAt = aNow + takes;
    const auto rank =
      std::find(aOrder.mMembers.begin(), aOrder.mMembers.end(), aEngine.mRecord.mId);
    place = { aOrder.mGroup,
              aOrder.mEpoch,
              static_cast<int>(rank - aOrder.mMembers.begin()),
              GroupPhase::kJoining };
    return OrderAnswer::kBegun;
  }

  OrderAnswer Open(Engine& aEngine, const GroupOrder& aOrder, TimePoint aNow)
  {
    GroupPlace& place = aEngine.mRecord.mGroup;
    if (!IsIn(aEngine, aOrder)) {
      return OrderAnswer::kStale;
    }
    if (place.mPhase == GroupPhase::kOpen) {
      return OrderAnswer::kHolds;
    }
    if (place.mPhase != GroupPhase::kReady) {
      return OrderAnswer::kNotNow;
    }
    place.mPhase = GroupPhase::kOpen;
    aEngine.mServesAt = aNow + mPool.mFormTime;
    return OrderAnswer::kBegun;
  }

  static OrderAnswer Leave(Engine& aEngine, const GroupOrder& aOrder)
  {
    // It affects no other membership than the one that it names: for any other, what it asks for is
    // so already.
    if (IsIn(aEngine, aOrder)) {
      aEngine.mRecord.mGroup = GroupPlace{};
      aEngine.mMembers.clear();
    }
    return OrderAnswer::kHolds;
  }

  OrderAnswer Stage(Engine& aEngine, const GroupOrder& aOrder, TimePoint aNow)
  {
    const ModelSpec* model = mPool.FindModel(aOrder.mModel);
    if (model == nullptr) {
      return OrderAnswer::kInvalid;
    }
    if (aEngine.mRecord.HasStaged(aOrder.mModel)) {
      return OrderAnswer::kHolds;
    }
    if (aEngine.mStaging != aOrder.mModel) {
      mLoads.push_back(aNow);
    }
    aEngine.mStaging = aOrder.mModel;
    aEngine.mStagedAt = aNow + model->mLoadTime;
    return OrderAnswer::kBegun;
  }

  void Note(const std::string& aText)
  {
    if (mViolations.empty() || mViolations.back() != aText) {
      mViolations.push_back(aText);
    }
  }

  EnginePool mPool;
  std::map<std::string, Engine> mEngines;
  std::set<std::string> mWereReady;
  std::vector<std::string> mViolations;
  std::vector<TimePoint> mLoads;
};

} // namespace pepperbay
