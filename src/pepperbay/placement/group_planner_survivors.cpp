#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>
#include <limits>

namespace pepperbay {

std::vector<std::string>
GroupPlanner::Survivors(const PlannedReplica& aReplica) const
{
  std::vector<std::string> survivors;
  for (const auto& it : aReplica.mMembers) {
    const bool here = Usable(it) && aReplica.mRestarted.count(it) == 0 &&
                      !InOtherReplica(it, aReplica.mName) &&
                      !IsInOtherReplica(*Find(it), aReplica.mName);
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
  // If a domain has no spares left, several of its replicas wait 12 to 24 s for weights with
  // healthy members, such as three of four in one and one of two in another. Together they form a
  // whole replica in a second. One replica is given up at a time; its members leave it and are then
  // ordinary free engines.
  std::map<std::string, std::vector<PlannedReplica*>> waiting; // by domain
  for (auto& [name, replica] : mReplicas) {
    const bool waits = replica.mPhase == ReplicaPhase::kBroken &&
                       mView->mNow - replica.mSince >= mOptions.mWaitForSpare &&
                       mView->mNow >= replica.mNotBefore && !HasSilentMember(replica);
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
      return JoinsWithoutLoad(*aEngine, target->mModel);
    });
    const auto missing = [size](std::size_t aHave) { return size - std::min(size, aHave); };
    const PlannedReplica* donor = SmallestDonor(
      *target, aWaiting, missing(survivors + static_cast<std::size_t>(quick)), Ready::kAtOnce);
    const bool patient = mView->mNow - target->mSince < mOptions.mWaitForLoads;
    if (donor == nullptr && !patient) {
      donor =
        SmallestDonor(*target, aWaiting, missing(survivors + free.size()), Ready::kAfterLoads);
    }
    if (donor != nullptr) {
      return donor->mName;
    }
  }
  return "";
}

const PlannedReplica*
GroupPlanner::SmallestDonor(const PlannedReplica& aTarget,
                            const std::vector<PlannedReplica*>& aWaiting,
                            std::size_t aMissing,
                            Ready aReady) const
{
  if (aMissing == 0) {
    return nullptr; // its engines are available or being released
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
        return aReady == Ready::kAfterLoads || JoinsWithoutLoad(*Find(aEngine), aTarget.mModel);
      }));
    if (gives >= aMissing && (best == nullptr || survivors.size() < bestSize)) {
      best = donor;
      bestSize = survivors.size();
    }
  }
  return best;
}

double
GroupPlanner::ModelSlotUtilisation(const std::string& aModel, std::size_t aWithout) const
{
  std::size_t open = 0;
  int inUse = 0;
  for (const auto& [name, replica] : mReplicas) {
    if (replica.mModel == aModel && replica.mPhase == ReplicaPhase::kOpen &&
        !replica.mLeavingSince) {
      ++open;
      inUse += mView->mInFlight(replica.mMembers.front());
    }
  }
  if (open <= aWithout) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(inUse) /
         (static_cast<double>(open - aWithout) * std::max(1, mView->mPool->mSlots));
}

std::size_t
GroupPlanner::MissingReady(const PlannedReplica& aReplica) const
{
  const auto free = FreeEngines(aReplica.mDomain, aReplica.mModel, aReplica.mName);
  const auto ready = std::count_if(free.begin(), free.end(), [&](const EngineRecord* aEngine) {
    return JoinsWithoutLoad(*aEngine, aReplica.mModel);
  });
  const std::size_t missing = MissingMembers(aReplica);
  return missing - std::min(missing, static_cast<std::size_t>(ready));
}

std::vector<PlannedReplica*>
GroupPlanner::ServingDonors(const PlannedReplica& aTarget)
{
  const std::size_t survivors = Survivors(aTarget).size();
  const std::size_t lacks = MissingReady(aTarget);
  if (lacks == 0) {
    return {};
  }
  struct Candidate
  {
    PlannedReplica* mReplica;
    std::size_t mReady; ///< members that can join the target without a load
    int mInUse;
  };
  std::vector<Candidate> candidates;
  for (auto& [name, replica] : mReplicas) {
    if (replica.mDomain != aTarget.mDomain || replica.mModel == aTarget.mModel) {
      continue;
    }
    if (replica.mGivenUp) {
      return {}; // others are being released already
    }
    if (replica.mPhase != ReplicaPhase::kOpen || replica.mLeavingSince) {
      continue;
    }
    const auto ready =
      std::count_if(replica.mMembers.begin(), replica.mMembers.end(), [&](const std::string& aId) {
        const EngineRecord* engine = Find(aId);
        return engine != nullptr && JoinsWithoutLoad(*engine, aTarget.mModel);
      });
    candidates.push_back(
      { &replica, static_cast<std::size_t>(ready), mView->mInFlight(replica.mMembers.front()) });
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mInUse < aRight.mInUse;
  });
  std::vector<PlannedReplica*> donors;
  std::map<std::string, std::size_t> given; // by model
  std::size_t gives = 0;
  std::size_t engines = 0;
  for (const auto& it : candidates) {
    const std::string& model = it.mReplica->mModel;
    const double after = ModelSlotUtilisation(model, given[model] + 1);
    // A model without enough remaining slots would refuse as many requests as the other model
    // gains.
    const bool hasRoom = after <= mOptions.mMaxServingDonorUtilisation ||
                         (after <= 1.0 && after < ModelSlotUtilisation(aTarget.mModel, 0));
    if (gives >= lacks || it.mReady == 0 || !hasRoom) {
      continue;
    }
    ++given[model];
    gives += it.mReady;
    engines += it.mReplica->mMembers.size();
    donors.push_back(it.mReplica);
  }
  // The change must leave fewer engines idle than waiting would.
  const bool worth = gives >= lacks && engines < survivors + lacks;
  return worth ? donors : std::vector<PlannedReplica*>{};
}

void
GroupPlanner::GiveUpServing()
{
  // Losses affect the largest replicas first, and a replica that lacks one engine cannot serve at
  // all: fifteen engines wait for a sixteenth, 12 to 20 s if their domain has no spare left, while
  // the smaller model has unused slots. The engines that are left over become spares.
  for (const auto& [name, target] : mReplicas) {
    const bool waits = target.mPhase == ReplicaPhase::kBroken && !target.mGivenUp &&
                       mView->mNow - target.mSince >= mOptions.mWaitForSpare &&
                       mView->mNow >= target.mNotBefore && !HasSilentMember(target);
    if (!waits || mView->mPool->FindModel(target.mModel) == nullptr) {
      continue;
    }
    for (auto* it : ServingDonors(target)) {
      it->mGivenUp = true;
    }
  }
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
