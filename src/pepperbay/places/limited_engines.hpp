/// @file
/// @brief Callers of many nodes before engines that name limits, and what each engine got; for
/// tests.
#pragma once

#include "place_world.hpp"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace pepperbay {

/// What callers do.
struct LimitedLoadOptions
{
  double mPerSecond = 50; ///< requests of all nodes together
  /// From a request's arrival at an engine to the head of its answer, and to the answer's end.
  Duration mHeadAfter = milliseconds(150);
  Duration mEndAfter = milliseconds(1000);
  bool mPlain = false; ///< requests are for the plain service
  std::uint32_t mSeed = 1;
};

/// Sends requests of all nodes and answers them as engines do, in steps of virtual time.
class LimitedEngines
{
public:
  struct Arrival
  {
    TimePoint mAt{};
    bool mTold = false; ///< the node had passed on an answer with a limit half a second before
    bool mLocalShare = false; ///< sent by the node's own part of the limit, counted by no desk
  };

  /// Which requests are looked at.
  enum class Which
  {
    kAll,
    kCounted,
    kOwnPart,
  };

  LimitedEngines(PlaceWorld* aWorld, LimitedLoadOptions aOptions)
    : mWorld(aWorld)
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

  /// @return the most requests that an engine got in a window of four seconds from nodes that had
  /// been told of its limit, from a time on.
  int MostInFourSeconds(const std::string& aEngine,
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
      const auto told =
        std::count_if(all.begin() + static_cast<std::ptrdiff_t>(first),
                      all.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                      [aWhich](const Arrival& aIt) { return aIt.mTold && IsOneOf(aWhich, aIt); });
      most = std::max(most, static_cast<int>(told));
    }
    return most;
  }

  /// @return requests that an engine got between two times.
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

  TimePoint Now() const { return mWorld->mClock.Now(); }
  int Refused() const { return mRefused; }
  /// @return of these, how many were not told when to come back.
  int RefusedWithoutTime() const { return mRefusedWithoutTime; }

private:
  static bool IsOneOf(Which aWhich, const Arrival& aArrival)
  {
    return aWhich == Which::kAll || aArrival.mLocalShare == (aWhich == Which::kOwnPart);
  }

  static constexpr milliseconds kStep{ 10 };
  static constexpr milliseconds kToldAfter{ 500 };

  struct Running
  {
    std::size_t mNode = 0;
    Place mPlace;
    TimePoint mSent{};
    bool mHead = false;
  };

  void Step()
  {
    mWorld->mClock.Advance(kStep);
    for (auto& it : mWorld->mNodes) {
      if (it.mAlive && !it.mStands) {
        it.mAgent->Tick();
      }
    }
    mWorld->Deliver();
    Arrive();
    mWorld->Deliver();
    Answer();
  }

  void Arrive()
  {
    const double perStep = mOptions.mPerSecond * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> arrivals(perStep);
    for (int n = arrivals(mRandom); n > 0; --n) {
      const std::size_t node = mRandom() % mWorld->mNodes.size();
      if (mWorld->mNodes[node].mAlive && !mWorld->mNodes[node].mStands) {
        Ask(node);
      }
    }
  }

  void Ask(std::size_t aNode)
  {
    PlaceWorld::Node& node = mWorld->mNodes[aNode];
    if (mOptions.mPlain && !node.mAgent->HasLimits("plain")) {
      ChooseByItself(aNode);
      return;
    }
    PlaceRequest request;
    request.mService = mOptions.mPlain ? "plain" : "pool";
    request.mModel = mOptions.mPlain ? "" : "m";
    node.mAgent->Ask(request, [this, aNode](const Place& aPlace) { Send(aNode, aPlace); });
  }

  /// What the relay does for services none of whose engines has a limit.
  void ChooseByItself(std::size_t aNode)
  {
    TrafficPlan plan;
    plan.mEngines["plain"] = mWorld->mPlainEngines;
    const auto* engine = mWorld->mNodes[aNode].mBalancer->PickEngine(
      plan, "plain", std::set<std::string>{}, false, Now());
    Place place;
    place.mOutcome = PlaceOutcome::kGranted;
    place.mHead = *engine;
    Send(aNode, place);
  }

  void Send(std::size_t aNode, const Place& aPlace)
  {
    if (aPlace.mOutcome != PlaceOutcome::kGranted) {
      ++mRefused;
      mRefusedWithoutTime += aPlace.mRetryAfter > Duration::zero() ? 0 : 1;
      return;
    }
    const auto& toldAt = mToldAt[aPlace.mHead.mId];
    const auto told = toldAt.find(aNode);
    const std::uint64_t byOwnParts = mWorld->mNodes[aNode].mAgent->Counters().mLocalShare;
    const bool own = byOwnParts != std::exchange(mByOwnParts[aNode], byOwnParts);
    mArrivals[aPlace.mHead.mId].push_back(
      { Now(), told != toldAt.end() && Now() - told->second >= kToldAfter, own });
    mWorld->mNodes[aNode].mBalancer->OnStart(aPlace.mHead.mId);
    mRunning.push_back({ aNode, aPlace, Now() });
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
    const std::string& head = aRunning.mPlace.mHead.mId;
    const auto limit = mLimits[head];
    mWorld->mNodes[aRunning.mNode].mAgent->OnStatement(
      aRunning.mPlace.mHead,
      aRunning.mPlace.mRate,
      { aRunning.mPlace.mHead.mBorn, limit, aRunning.mSent, Now() });
    if (limit) {
      mToldAt[head].emplace(aRunning.mNode, Now());
    } else {
      mToldAt[head].erase(aRunning.mNode);
    }
  }

  void End(const Running& aRunning)
  {
    auto& node = mWorld->mNodes[aRunning.mNode];
    node.mBalancer->OnEnd(aRunning.mPlace.mHead.mId);
    node.mAgent->End(aRunning.mPlace.mTicket);
  }

  PlaceWorld* mWorld;
  LimitedLoadOptions mOptions;
  std::mt19937 mRandom;
  std::map<std::string, std::optional<double>> mLimits;
  std::map<std::string, std::vector<Arrival>> mArrivals;
  /// When nodes passed on an answer with a limit for the first time, by engine and node.
  std::map<std::string, std::map<std::size_t, TimePoint>> mToldAt;
  std::map<std::size_t, std::uint64_t> mByOwnParts; ///< requests so far, by node
  std::vector<Running> mRunning;
  int mRefused = 0;
  int mRefusedWithoutTime = 0;
};

} // namespace pepperbay
