/// @file
/// @brief Simulates callers of many nodes and engines with rate limits, and records the requests
/// that each engine gets; for tests.
#pragma once

#include "slot_simulation.hpp"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace pepperbay {

/// The load of the callers.
struct LimitedLoadOptions
{
  double mPerSecond = 50; ///< requests per second of all nodes together
  /// Time from the arrival of a request at an engine to the head of its answer, and to the end of
  /// the answer.
  Duration mHeadAfter = milliseconds(150);
  Duration mEndAfter = milliseconds(1000);
  bool mPlain = false; ///< requests are for the plain service
  std::uint32_t mSeed = 1;
};

/// Sends requests of all nodes and answers them like engines, in steps of virtual time.
class LimitedEngines
{
public:
  struct Arrival
  {
    TimePoint mAt{};
    /// The node received an answer with a limit at least half a second before.
    bool mInformed = false;
    bool mLocalShare = false; ///< sent from the local share of the limit, counted by no allocator
  };

  /// Which requests are counted.
  enum class Which
  {
    kAll,
    kCounted,
    kLocalShare,
  };

  LimitedEngines(SlotSimulation* aSimulation, LimitedLoadOptions aOptions)
    : mSimulation(aSimulation)
    , mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  void SetLimit(const std::string& aEngine, std::optional<double> aPerSecond)
  {
    mLimits[aEngine] = aPerSecond;
  }
  void SetRate(double aPerSecond) { mOptions.mPerSecond = aPerSecond; }

  void Run(Duration aFor)
  {
    for (const TimePoint end = Now() + aFor; Now() < end;) {
      Step();
    }
  }

  /// @return the maximum number of requests that an engine got in any window of four seconds after
  /// `aFrom` from nodes that knew its limit.
  int MaxInFourSeconds(const std::string& aEngine,
                       TimePoint aFrom,
                       Which aWhich = Which::kAll) const
  {
    const auto it = mArrivals.find(aEngine);
    int most = 0;
    if (it == mArrivals.end()) {
      return most;
    }
    const auto& all = it->second;
    for (std::size_t first = 0, i = 0; i < all.size(); ++i) {
      while (all[i].mAt - all[first].mAt >= seconds(4)) {
        ++first;
      }
      if (all[first].mAt < aFrom) {
        continue;
      }
      const auto informed = std::count_if(
        all.begin() + static_cast<std::ptrdiff_t>(first),
        all.begin() + static_cast<std::ptrdiff_t>(i) + 1,
        [aWhich](const Arrival& aIt) { return aIt.mInformed && IsOneOf(aWhich, aIt); });
      most = std::max(most, static_cast<int>(informed));
    }
    return most;
  }

  /// @return the number of requests that an engine got between two times.
  int Got(const std::string& aEngine, TimePoint aFrom, TimePoint aTo) const
  {
    const auto it = mArrivals.find(aEngine);
    return it == mArrivals.end()
             ? 0
             : static_cast<int>(
                 std::count_if(it->second.begin(), it->second.end(), [&](const Arrival& aArrival) {
                   return aArrival.mAt >= aFrom && aArrival.mAt < aTo;
                 }));
  }

  TimePoint Now() const { return mSimulation->mClock.Now(); }
  int Refused() const { return mRefused; }
  /// @return the number of refused requests without a retry time.
  int RefusedWithoutTime() const { return mRefusedWithoutTime; }

private:
  static bool IsOneOf(Which aWhich, const Arrival& aArrival)
  {
    return aWhich == Which::kAll || aArrival.mLocalShare == (aWhich == Which::kLocalShare);
  }

  static constexpr milliseconds kStep{ 10 };
  static constexpr milliseconds kInformedFor{ 500 };

  struct Running
  {
    std::size_t mNode = 0;
    SlotResult mResult;
    TimePoint mSent{};
    bool mHead = false;
  };

  void Step()
  {
    mSimulation->mClock.Advance(kStep);
    for (auto& it : mSimulation->mNodes) {
      if (it.mAlive && !it.mFrozen) {
        it.mAgent->Tick();
      }
    }
    mSimulation->Deliver();
    Arrive();
    mSimulation->Deliver();
    Answer();
  }

  void Arrive()
  {
    const double perStep = mOptions.mPerSecond * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> arrivals(perStep);
    for (int n = arrivals(mRandom); n > 0; --n) {
      const std::size_t node = mRandom() % mSimulation->mNodes.size();
      if (mSimulation->mNodes[node].mAlive && !mSimulation->mNodes[node].mFrozen) {
        Ask(node);
      }
    }
  }

  void Ask(std::size_t aNode)
  {
    SlotSimulation::Node& node = mSimulation->mNodes[aNode];
    if (mOptions.mPlain && !node.mAgent->HasLimits("plain")) {
      ChooseByItself(aNode);
      return;
    }
    SlotRequest request;
    request.mService = mOptions.mPlain ? "plain" : "pool";
    request.mModel = mOptions.mPlain ? "" : "m";
    node.mAgent->Ask(request, [this, aNode](const SlotResult& aResult) { Send(aNode, aResult); });
  }

  /// Chooses an engine like the relay does for services without limited engines.
  void ChooseByItself(std::size_t aNode)
  {
    TrafficPlan plan;
    plan.mEngines["plain"] = mSimulation->mPlainEngines;
    const auto* engine = mSimulation->mNodes[aNode].mBalancer->PickEngine(
      plan, "plain", std::set<std::string>{}, false, Now());
    SlotResult result;
    result.mOutcome = SlotOutcome::kGranted;
    result.mHead = *engine;
    Send(aNode, result);
  }

  void Send(std::size_t aNode, const SlotResult& aResult)
  {
    if (aResult.mOutcome != SlotOutcome::kGranted) {
      ++mRefused;
      mRefusedWithoutTime += aResult.mRetryAfter > Duration::zero() ? 0 : 1;
      return;
    }
    const auto& informedAt = mInformedAt[aResult.mHead.mId];
    const auto informed = informedAt.find(aNode);
    const std::uint64_t byLocalShares = mSimulation->mNodes[aNode].mAgent->Counters().mLocalShare;
    const bool own = byLocalShares != std::exchange(mByLocalShares[aNode], byLocalShares);
    mArrivals[aResult.mHead.mId].push_back(
      { Now(), informed != informedAt.end() && Now() - informed->second >= kInformedFor, own });
    mSimulation->mNodes[aNode].mBalancer->OnStart(aResult.mHead.mId);
    mRunning.push_back({ aNode, aResult, Now() });
  }

  void Answer()
  {
    for (auto& it : mRunning) {
      if (!it.mHead && Now() - it.mSent >= mOptions.mHeadAfter) {
        it.mHead = true;
        OnHead(it);
      }
    }
    mRunning.erase(std::remove_if(mRunning.begin(),
                                  mRunning.end(),
                                  [this](const Running& aIt) {
                                    const bool over = Now() - aIt.mSent >= mOptions.mEndAfter;
                                    if (over) {
                                      End(aIt);
                                    }
                                    return over;
                                  }),
                   mRunning.end());
  }

  void OnHead(const Running& aRunning)
  {
    const std::string& head = aRunning.mResult.mHead.mId;
    const auto limit = mLimits[head];
    mSimulation->mNodes[aRunning.mNode].mAgent->OnStatement(
      aRunning.mResult.mHead,
      aRunning.mResult.mRate,
      { aRunning.mResult.mHead.mBorn, limit, aRunning.mSent, Now() });
    if (limit) {
      mInformedAt[head].emplace(aRunning.mNode, Now());
    } else {
      mInformedAt[head].erase(aRunning.mNode);
    }
  }

  void End(const Running& aRunning)
  {
    auto& node = mSimulation->mNodes[aRunning.mNode];
    node.mBalancer->OnEnd(aRunning.mResult.mHead.mId);
    node.mAgent->End(aRunning.mResult.mTicket);
  }

  SlotSimulation* mSimulation;
  LimitedLoadOptions mOptions;
  std::mt19937 mRandom;
  std::map<std::string, std::optional<double>> mLimits;
  std::map<std::string, std::vector<Arrival>> mArrivals;
  /// When nodes first received an answer with a limit, by engine and node.
  std::map<std::string, std::map<std::size_t, TimePoint>> mInformedAt;
  /// Requests from the local share so far, by node.
  std::map<std::size_t, std::uint64_t> mByLocalShares;
  std::vector<Running> mRunning;
  int mRefused = 0;
  int mRefusedWithoutTime = 0;
};

} // namespace pepperbay
