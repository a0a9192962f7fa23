/// @file
/// @brief Engines of one pool in virtual time: replicas formed by the product's planner, losses by
/// a seeded schedule, and what the losses cost until replicas are whole again.
#pragma once

#include "fakes/fake_pool.hpp"
#include "pepperbay/placement/group_planner.hpp"
#include "sheet.hpp"

#include <functional>
#include <random>

namespace pepperbay::pools {

struct WorldOptions
{
  Sheet mSheet = EvenSheet();
  SparePolicy mSpares = SparePolicy::kStandbyForAll;
  CompositionOptions mComposition;
  /// One engine that is in a replica dies so often; zero: none does.
  Duration mLossEvery = std::chrono::milliseconds(3000);
  /// A fresh engine comes this long after.
  Duration mReplacedAfter = std::chrono::milliseconds(5000);
  /// From a death to the holder's knowledge of it: the median measured on days of the users' bench.
  Duration mFoundAfter = std::chrono::milliseconds(290);
  std::uint32_t mSeed = 1;
};

/// One loss that broke a replica.
struct Outage
{
  TimePoint mBegan{};
  Duration mLasted{ 0 };
};

class PoolWorld
{
public:
  explicit PoolWorld(WorldOptions aOptions);

  /// One round of the planner and one step of the engines.
  void Step();
  /// Requests have come: losses begin, and loads count against the weight store's rate.
  /// @param aInFlight requests in progress at a head
  void BeginTraffic(std::function<int(const std::string& aHead)> aInFlight)
  {
    mTraffic = true;
    mInFlight = std::move(aInFlight);
  }

  /// The replica that an open head serves, whole or not; by group.
  const std::map<std::string, PlannedReplica>& Planned() const { return mPlanner.Replicas(); }
  /// @return whether a replica gives events: its head serves and every member lives.
  bool IsWhole(const PlannedReplica& aReplica) const;
  const EnginePool& Pool() const { return mPool.Pool(); }
  TimePoint Now() const { return mClock.Now(); }
  std::size_t Loads() const { return mPool.Loads().size(); }

  const std::vector<Outage>& Outages() const { return mOutages; }
  /// Outages that have not ended, counted as if they ended now.
  std::vector<Outage> OpenOutages() const;
  /// Seconds that live engines spent in replicas that did not serve.
  double StrandedEngineSeconds() const { return mStranded; }
  std::size_t Losses() const { return mLosses; }
  /// Replicas given up for another model.
  std::size_t Trades() const { return mTrades; }
  /// Mean time that one round of the planner takes on this machine.
  Duration RoundTime() const { return mRounds == 0 ? Duration::zero() : mPlanning / mRounds; }

  static constexpr Duration kStep = std::chrono::milliseconds(20);

private:
  struct Replacement
  {
    TimePoint mAt{};
    std::string mDomain;
  };

  void Plan();
  void LoseOne();
  void Replace();
  void CountOutages();

  WorldOptions mOptions;
  ManualClock mClock;
  FakePool mPool;
  GroupPlanner mPlanner;
  std::mt19937 mRandom;
  bool mTraffic = false;
  std::function<int(const std::string& aHead)> mInFlight;
  std::size_t mTrades = 0;
  TimePoint mNextLoss{};
  std::map<std::string, TimePoint> mDied; ///< by engine
  std::vector<Replacement> mReplacements;
  std::map<std::string, TimePoint> mDark; ///< groups that served and do not, since when
  std::set<std::string> mServed;          ///< groups that have been whole
  std::vector<Outage> mOutages;
  std::size_t mAdded = 0;
  std::size_t mLosses = 0;
  double mStranded = 0;
  Duration mPlanning{ 0 };
  std::int64_t mRounds = 0;
};

} // namespace pepperbay::pools
