#include "pepperbay/placement/group_planner.hpp"

#include <array>

namespace pepperbay {
namespace {
/// Interval of the scan for engines to forget. It visits all engines, and entries expire after
/// seconds only.
constexpr std::chrono::seconds kForgetEvery{ 1 };

constexpr std::array<GroupOrderKind, 4> kOrderKinds = { GroupOrderKind::kJoin,
                                                        GroupOrderKind::kOpen,
                                                        GroupOrderKind::kLeave,
                                                        GroupOrderKind::kStage };
}

void
GroupPlanner::DetectRestarts()
{
  const TimePoint now = mView->mNow;
  for (const auto& [id, engine] : *mView->mEngines) {
    if (engine.mService == mView->mService) {
      RecordIncarnation(id, engine.mBorn, now);
      mEngineIncarnations[id].mLastSeen = now;
      if (IsNewestIncarnation(id, engine.mBorn)) {
        mStates[id].OnRegistration(engine.mGroup);
      }
    }
  }
  if (now < mForgetDue) {
    return;
  }
  mForgetDue = now + kForgetEvery;
  for (auto it = mGivenUp.begin(); it != mGivenUp.end();) {
    it = now - it->second.mAt >= mOptions.mForgetAfter ? mGivenUp.erase(it) : std::next(it);
  }
  for (auto it = mEngineIncarnations.begin(); it != mEngineIncarnations.end();) {
    const bool gone = now - it->second.mLastSeen >= mOptions.mForgetAfter && !InReplica(it->first);
    if (gone) {
      ForgetIncarnation(it->first, now);
      mStates.erase(it->first);
      mAssumedNew.erase(it->first);
      mUnansweredJoins.erase(it->first);
    }
    it = gone ? mEngineIncarnations.erase(it) : std::next(it);
  }
}

void
GroupPlanner::RecordIncarnation(const std::string& aEngine, WallTime aBorn, TimePoint aNow)
{
  Incarnation& incarnation = mEngineIncarnations[aEngine];
  if (aBorn <= incarnation.mBorn) {
    return;
  }
  const bool again = incarnation.mBorn != WallTime{};
  incarnation.mBorn = aBorn;
  if (!again) {
    return;
  }
  // A head whose member has restarted keeps accepting requests that make no progress, until it
  // breaks seconds later. The restarted engine itself is like a new one with weights on its host.
  ForgetIncarnation(aEngine, aNow);
}

void
GroupPlanner::ForgetIncarnation(const std::string& aEngine, TimePoint aNow)
{
  mSpares.erase(aEngine);
  mStaging.erase(aEngine);
  mLastModel.erase(aEngine);
  mAnsweredAt.erase(aEngine);
  mLoadCounted.erase(aEngine);
  mUnanswering.erase(aEngine);
  mSupersededEngines.erase(aEngine);
  for (const auto kind : kOrderKinds) {
    mPending.erase(aEngine + " " + ToString(kind));
  }
  // It has accepted no order yet. If another holder was faster, the engine refuses our order and is
  // queried.
  mStates[aEngine] = EngineState::JustStarted();
  mAssumedNew.insert(aEngine);
  // mUnansweredJoins is kept: a late order to the previous incarnation is carried out by this one.
  const auto names = mReplicasOf.find(aEngine);
  if (names == mReplicasOf.end()) {
    return;
  }
  for (const auto& name : names->second) {
    PlannedReplica& replica = mReplicas.at(name);
    replica.mRestarted.insert(aEngine);
    replica.mReady.erase(aEngine);
    if (replica.mPhase != ReplicaPhase::kBroken) {
      Break(replica, "member " + aEngine + " started again", aNow);
    }
  }
  mReplicasOf.erase(names);
}

bool
GroupPlanner::IsNewestIncarnation(const std::string& aEngine, WallTime aBorn) const
{
  const auto it = mEngineIncarnations.find(aEngine);
  return it == mEngineIncarnations.end() || aBorn >= it->second.mBorn;
}

} // namespace pepperbay
