#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>

namespace pepperbay {

std::vector<std::string>
GroupPlanner::Survivors(const PlannedReplica& aReplica) const
{
  std::vector<std::string> survivors;
  for (const auto& it : aReplica.mMembers) {
    const bool here = Usable(it) && aReplica.mRestarted.count(it) == 0 &&
                      !InOtherReplica(it, aReplica.mName) &&
                      !IsElsewhere(*Find(it), aReplica.mName);
    if (here) {
      survivors.push_back(it);
    }
  }
  return survivors;
}

std::size_t
GroupPlanner::MissingMembers(const PlannedReplica& aReplica) const
{
  const ModelSpec* model = mView->mPool->FindModel(aReplica.mModel);
  if (aReplica.mPhase != ReplicaPhase::kBroken || model == nullptr) {
    return 0;
  }
  const std::size_t have = Survivors(aReplica).size();
  return have == 0 ? 0 : model->mSize - std::min(have, model->mSize);
}

void
GroupPlanner::JoinSurvivors()
{
  // Where the spares of a domain are used up, several replicas wait there for weights, 12 to 24 s,
  // with members that are well: three of four in one, one of two in another. Together they make a
  // whole one in a second. One replica is given up at a time; its members leave it, and are then
  // free engines like any other.
  std::map<std::string, std::vector<PlannedReplica*>> waiting; // by domain
  for (auto& [name, replica] : mReplicas) {
    const bool waits = replica.mPhase == ReplicaPhase::kBroken &&
                       mView->mNow - replica.mSince >= mOptions.mWaitForSpare &&
                       mView->mNow >= replica.mNotBefore;
    if (waits && mView->mPool->FindModel(replica.mModel) != nullptr) {
      waiting[replica.mDomain].push_back(&replica);
    }
  }
  for (auto& [domain, replicas] : waiting) {
    if (replicas.size() < 2) {
      continue;
    }
    const std::string donor = DonorAmong(replicas);
    if (!donor.empty()) {
      Drop(donor);
    }
  }
}

std::string
GroupPlanner::DonorAmong(std::vector<PlannedReplica*> aWaiting) const
{
  const auto shortage = [this](const std::string& aModel) { return OpenShare(aModel); };
  std::sort(aWaiting.begin(), aWaiting.end(), [&](const auto* aLeft, const auto* aRight) {
    return shortage(aLeft->mModel) < shortage(aRight->mModel);
  });
  for (const auto* target : aWaiting) {
    const std::size_t size = mView->mPool->FindModel(target->mModel)->mSize;
    const std::size_t survivors = Survivors(*target).size();
    if (survivors == 0) {
      continue;
    }
    const auto free = FreeEngines(target->mDomain, target->mModel, target->mName);
    const auto quick = std::count_if(free.begin(), free.end(), [&](const EngineRecord* aEngine) {
      return IsQuick(*aEngine, target->mModel);
    });
    const auto missing = [size](std::size_t aHave) { return size - std::min(size, aHave); };
    const PlannedReplica* donor = LeastDonor(
      *target, aWaiting, missing(survivors + static_cast<std::size_t>(quick)), Ready::kAtOnce);
    const bool patient = mView->mNow - target->mSince < mOptions.mWaitForLoads;
    if (donor == nullptr && !patient) {
      donor = LeastDonor(*target, aWaiting, missing(survivors + free.size()), Ready::kAfterLoads);
    }
    if (donor != nullptr) {
      return donor->mName;
    }
  }
  return "";
}

const PlannedReplica*
GroupPlanner::LeastDonor(const PlannedReplica& aTarget,
                         const std::vector<PlannedReplica*>& aWaiting,
                         std::size_t aMissing,
                         Ready aReady) const
{
  if (aMissing == 0) {
    return nullptr; // its engines are there, or on their way
  }
  const PlannedReplica* best = nullptr;
  std::size_t bestSize = 0;
  for (const auto* donor : aWaiting) {
    if (donor == &aTarget) {
      continue;
    }
    const auto survivors = Survivors(*donor);
    const auto gives = static_cast<std::size_t>(
      std::count_if(survivors.begin(), survivors.end(), [&](const std::string& aEngine) {
        return aReady == Ready::kAfterLoads || IsQuick(*Find(aEngine), aTarget.mModel);
      }));
    if (gives >= aMissing && (best == nullptr || survivors.size() < bestSize)) {
      best = donor;
      bestSize = survivors.size();
    }
  }
  return best;
}

double
GroupPlanner::OpenShare(const std::string& aModel) const
{
  const ModelSpec* model = mView->mPool->FindModel(aModel);
  std::size_t members = 0;
  for (const auto& [name, replica] : mReplicas) {
    members += replica.mModel == aModel && replica.mPhase == ReplicaPhase::kOpen ? model->mSize : 0;
  }
  return static_cast<double>(members) / std::max(model->mShare, 1e-9);
}

} // namespace pepperbay
