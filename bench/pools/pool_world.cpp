#include "pool_world.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay::pools {
namespace {

using std::chrono::seconds;

GroupPlannerOptions
PlannerOptions(const WorldOptions& aOptions)
{
  GroupPlannerOptions options;
  options.mSpares = aOptions.mSpares;
  options.mComposition = aOptions.mComposition;
  return options;
}

} // namespace

PoolWorld::PoolWorld(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPool(mOptions.mSheet.mPool)
  , mPlanner(PlannerOptions(mOptions))
  , mRandom(mOptions.mSeed)
{
  for (std::size_t d = 0; d < mOptions.mSheet.mDomains; ++d) {
    for (std::size_t i = 0; i < mOptions.mSheet.mPerDomain; ++i) {
      mPool.Add("e" + std::to_string(d) + "-" + std::to_string(i), "d" + std::to_string(d));
    }
  }
}

void
PoolWorld::Step()
{
  if (mTraffic && mOptions.mLossEvery > Duration::zero()) {
    if (mNextLoss == TimePoint{}) {
      mNextLoss = Now() + seconds(1);
    }
    while (Now() >= mNextLoss) {
      LoseOne();
      mNextLoss += mOptions.mLossEvery;
    }
  }
  Replace();
  Plan();
  CountOutages();
  mClock.Advance(kStep);
  mPool.Advance(Now());
}

void
PoolWorld::Plan()
{
  const EngineMap listed = mPool.Listed();
  GroupView view;
  view.mEngines = &listed;
  view.mService = "pool";
  view.mPool = &mPool.Pool();
  view.mNow = Now();
  view.mFence = 1;
  view.mTraffic = mTraffic;
  view.mIsUnreachable = [this](const std::string& aEngine) {
    const auto it = mDied.find(aEngine);
    return it != mDied.end() && Now() - it->second >= mOptions.mFoundAfter;
  };
  view.mInFlight = [this](const std::string& aHead) { return mInFlight ? mInFlight(aHead) : 0; };
  view.mIsStalled = [this](const std::string& aHead) { return !mPool.ServesWhole(aHead, Now()); };
  const auto before = std::chrono::steady_clock::now();
  const auto orders = mPlanner.Plan(view);
  mPlanning += std::chrono::steady_clock::now() - before;
  ++mRounds;
  for (const auto& it : mPlanner.TakeChanges()) {
    mTrades += it.mGiven;
  }
  const auto wanted = mPlanner.EnginesToQuery();
  for (const auto& [id, engine] : wanted) {
    if (mPool.At(id).mAlive) {
      mPlanner.OnReport(id, mPool.Report(id), Now());
    }
  }
  for (const auto& it : orders) {
    mPlanner.OnAnswer(it, mPool.Order(it, Now()), Now());
  }
}

void
PoolWorld::LoseOne()
{
  std::vector<std::string> members;
  for (const auto& [name, replica] : Planned()) {
    if (IsWhole(replica)) {
      members.insert(members.end(), replica.mMembers.begin(), replica.mMembers.end());
    }
  }
  if (members.empty()) {
    return;
  }
  const std::string id = members[mRandom() % members.size()];
  FakePool::Engine& engine = mPool.At(id);
  engine.mAlive = false;
  engine.mListed = false;
  mDied[id] = Now();
  mReplacements.push_back({ Now() + mOptions.mReplacedAfter, engine.mRecord.mDomain });
  ++mLosses;
}

void
PoolWorld::Replace()
{
  const auto due = [this](const Replacement& aOne) { return Now() >= aOne.mAt; };
  for (const auto& it : mReplacements) {
    if (due(it)) {
      mPool.Add("n" + std::to_string(mAdded++), it.mDomain);
    }
  }
  mReplacements.erase(std::remove_if(mReplacements.begin(), mReplacements.end(), due),
                      mReplacements.end());
}

bool
PoolWorld::IsWhole(const PlannedReplica& aReplica) const
{
  return mPool.ServesWhole(aReplica.mMembers.front(), Now());
}

void
PoolWorld::CountOutages()
{
  std::set<std::string> known;
  for (const auto& [name, replica] : Planned()) {
    known.insert(name);
    const bool whole = IsWhole(replica);
    const auto dark = mDark.find(name);
    if (whole) {
      mServed.insert(name);
      if (dark != mDark.end()) {
        mOutages.push_back({ dark->second, Now() - dark->second });
        mDark.erase(dark);
      }
      continue;
    }
    if (mServed.count(name) != 0 && dark == mDark.end()) {
      mDark[name] = Now();
    }
    if (mTraffic) {
      for (const auto& it : replica.mMembers) {
        mStranded += mPool.Alive(it) ? std::chrono::duration<double>(kStep).count() : 0;
      }
    }
  }
  // One that the planner has given up stays dark; the replica formed of its members is another.
  for (auto it = mDark.begin(); it != mDark.end();) {
    if (known.count(it->first) != 0) {
      ++it;
      continue;
    }
    mOutages.push_back({ it->second, Now() - it->second });
    it = mDark.erase(it);
  }
}

std::vector<Outage>
PoolWorld::OpenOutages() const
{
  std::vector<Outage> open;
  for (const auto& [name, since] : mDark) {
    open.push_back({ since, Now() - since });
  }
  return open;
}

} // namespace pepperbay::pools
