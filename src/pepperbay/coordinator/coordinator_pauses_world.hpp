/// @file
/// @brief A world of nodes before engines that fall silent and go on as if nothing had happened.
#pragma once

#include "coordinator_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {

inline constexpr int kReplicas = 3;
inline constexpr Duration kStep = milliseconds(20);
/// A head's streams have stood still for so long when their node says so, and says it again.
inline constexpr Duration kSuspectAfter = milliseconds(180);
inline constexpr Duration kSuspectEvery = milliseconds(200);
/// The longest pause of an engine that is sound.
inline constexpr Duration kLongestPause = milliseconds(1500);
/// Engines and replicas are in use again so long after a pause.
inline constexpr Duration kReturn = seconds(1);
/// A replica is formed anew so long after the last word of an engine that stays silent.
inline constexpr milliseconds kSilentForGood{ 2500 };
/// A new holder of the lease is at work so long after the former one has ended.
inline constexpr Duration kTakeover = seconds(4);

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

inline Duration
DrawPause()
{
  return milliseconds(*rc::gen::inRange(300, 1501));
}

inline int
DrawNodes()
{
  return *rc::gen::inRange(3, 10);
}

inline int
DrawReplica()
{
  return *rc::gen::inRange(0, kReplicas);
}

/// What must hold once all pauses are over.
inline void
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
inline void
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

} // namespace pepperbay
