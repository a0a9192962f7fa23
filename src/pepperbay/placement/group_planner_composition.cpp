#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pepperbay {
namespace {

/// Nodes report their requests in progress at this interval; observing more often yields nothing
/// new.
constexpr std::chrono::milliseconds kObserveEvery{ 200 };

} // namespace

bool
GroupPlanner::CountsAsServing(const PlannedReplica& aReplica) const
{
  if (aReplica.mGivenUp) {
    return false;
  }
  return aReplica.mPhase != ReplicaPhase::kBroken ||
         mView->mNow - aReplica.mSince < mOptions.mBrokenCountsFor;
}

std::vector<ModelUse>
GroupPlanner::CountUses() const
{
  std::vector<ModelUse> uses;
  for (const auto& it : mView->mPool->mModels) {
    uses.push_back({ it.mName, std::max<std::size_t>(1, it.mSize), 0, 0.0 });
  }
  const auto useOf = [&uses](const std::string& aModel) {
    return std::find_if(
      uses.begin(), uses.end(), [&aModel](const ModelUse& aUse) { return aUse.mModel == aModel; });
  };
  for (const auto& [name, replica] : mReplicas) {
    const auto use = useOf(replica.mModel);
    if (use != uses.end() && CountsAsServing(replica)) {
      ++use->mReplicas;
    }
  }
  for (const auto& [domain, rebalance] : mRebalances) {
    const auto use = useOf(rebalance.mTo);
    if (use != uses.end()) {
      use->mReplicas += rebalance.mComing;
    }
  }
  return uses;
}

int
GroupPlanner::SlotsInUse(const PlannedReplica& aReplica) const
{
  const std::string& head = aReplica.mMembers.front();
  const int inFlight = mView->mInFlight(head);
  const auto limit = mView->mLimitOf ? mView->mLimitOf(head) : std::nullopt;
  const ModelSpec* model = mView->mPool->FindModel(aReplica.mModel);
  const Duration answer =
    limit && model != nullptr ? UsualAnswerTime(*mView->mPool, *model) : Duration::zero();
  if (answer <= Duration::zero()) {
    return inFlight;
  }
  // Slots that the rate limit never fills look idle but cannot be used.
  const int slots = mView->mPool->mSlots;
  const double fills = *limit * std::chrono::duration<double>(answer).count();
  const int lost = slots - static_cast<int>(std::min<double>(slots, std::ceil(fills)));
  return std::max(inFlight, std::min(slots, inFlight + lost));
}

bool
GroupPlanner::ObserveUse()
{
  for (auto it = mRebalances.begin(); it != mRebalances.end();) {
    // The configuration may no longer contain the model that the engines were released for.
    const bool over =
      mView->mNow >= it->second.mUntil || mView->mPool->FindModel(it->second.mTo) == nullptr;
    it = over ? mRebalances.erase(it) : std::next(it);
  }
  if (mView->mNow < mUseDue) {
    return false;
  }
  mUseDue = mView->mNow + kObserveEvery;
  std::map<std::string, int> inUse;
  for (const auto& [name, replica] : mReplicas) {
    if (replica.mPhase == ReplicaPhase::kOpen) {
      inUse[replica.mModel] += SlotsInUse(replica);
    }
  }
  mUses = CountUses();
  for (auto& it : mUses) {
    mSlotUsage.Observe(it.mModel, inUse[it.mModel], mView->mNow);
    it.mInUse = mSlotUsage.InUse(it.mModel);
  }
  return true;
}

void
GroupPlanner::RebalanceReplicas()
{
  while (const auto need = NextRebalance(mUses, mView->mPool->mSlots, mOptions.mComposition)) {
    if (!BeginRebalance(*need)) {
      return;
    }
    std::vector<ModelUse> uses = CountUses();
    for (auto& it : uses) {
      it.mInUse = mSlotUsage.InUse(it.mModel);
    }
    mUses = std::move(uses);
  }
}

std::size_t
GroupPlanner::MovingEngines() const
{
  std::size_t n = 0;
  for (const auto& [domain, rebalance] : mRebalances) {
    n += rebalance.mComing * mView->mPool->FindModel(rebalance.mTo)->mSize;
  }
  return n;
}

std::size_t
GroupPlanner::MembersJoiningWithoutLoad(const std::vector<PlannedReplica*>& aReplicas,
                                        const std::string& aModel) const
{
  std::size_t n = 0;
  for (const auto* replica : aReplicas) {
    for (const auto& it : replica->mMembers) {
      const EngineRecord* engine = Find(it);
      n += engine != nullptr && Usable(*engine) && JoinsWithoutLoad(*engine, aModel) ? 1 : 0;
    }
  }
  return n;
}

std::size_t
GroupPlanner::CountOpenReplicas(const std::string& aModel) const
{
  return static_cast<std::size_t>(
    std::count_if(mReplicas.begin(), mReplicas.end(), [&aModel](const auto& aReplica) {
      const PlannedReplica& it = aReplica.second;
      return it.mModel == aModel && it.mPhase == ReplicaPhase::kOpen && !it.mLeavingSince &&
             !it.mGivenUp;
    }));
}

std::vector<PlannedReplica*>
GroupPlanner::RebalanceDonors(const std::string& aDomain,
                              const ModelSpec& aFrom,
                              const ModelSpec& aTo)
{
  std::vector<std::pair<int, PlannedReplica*>> candidates; // with their requests in progress
  for (auto& [name, replica] : mReplicas) {
    const bool serves = replica.mPhase == ReplicaPhase::kOpen && !replica.mLeavingSince;
    const bool broken = replica.mPhase == ReplicaPhase::kBroken && AnyUsable(replica) &&
                        mView->mNow >= replica.mNotBefore;
    if (replica.mDomain == aDomain && replica.mModel == aFrom.mName && !replica.mGivenUp &&
        (serves || broken)) {
      const int inUse = broken ? 0 : SlotsInUse(replica);
      candidates.emplace_back(inUse, &replica);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  std::size_t serving = CountOpenReplicas(aFrom.mName);
  std::vector<PlannedReplica*> donors;
  for (const auto& [inUse, replica] : candidates) {
    const bool serves = replica->mPhase == ReplicaPhase::kOpen;
    const bool kept = serves && serving <= mOptions.mComposition.mMinReplicas;
    if (!kept && MembersJoiningWithoutLoad(donors, aTo.mName) < aTo.mSize) {
      donors.push_back(replica);
      serving -= serves ? 1 : 0;
    }
  }
  return MembersJoiningWithoutLoad(donors, aTo.mName) < aTo.mSize ? std::vector<PlannedReplica*>{}
                                                                  : donors;
}

bool
GroupPlanner::KeepServing(const std::string& aModel)
{
  for (auto rebalance = mRebalances.begin(); rebalance != mRebalances.end(); ++rebalance) {
    if (rebalance->second.mFrom != aModel) {
      continue;
    }
    bool any = false;
    for (auto& [name, replica] : mReplicas) {
      const bool serves = replica.mPhase == ReplicaPhase::kOpen && !replica.mMemberLost;
      if (replica.mDomain == rebalance->first && replica.mGivenUp && serves) {
        replica.mGivenUp = false;
        any = true;
      }
    }
    if (any) {
      mRebalances.erase(rebalance);
      return true;
    }
  }
  return false;
}

GroupPlanner::RebalanceOffer
GroupPlanner::BestOffer(const ModelSpec& aFrom, const ModelSpec& aTo)
{
  std::set<std::string> domains;
  for (const auto& [name, replica] : mReplicas) {
    if (mRebalances.count(replica.mDomain) == 0) {
      domains.insert(replica.mDomain);
    }
  }
  RebalanceOffer best;
  for (const auto& domain : domains) {
    RebalanceOffer offer;
    offer.mDomain = domain;
    offer.mDonors = RebalanceDonors(domain, aFrom, aTo);
    offer.mGained = MembersJoiningWithoutLoad(offer.mDonors, aTo.mName) / aTo.mSize;
    for (const auto* it : offer.mDonors) {
      offer.mInUse += mView->mInFlight(it->mMembers.front());
    }
    const bool cheaper = offer.mGained == best.mGained && offer.mInUse < best.mInUse;
    if (offer.mGained > best.mGained || cheaper) {
      best = std::move(offer);
    }
  }
  return best;
}

bool
GroupPlanner::BeginRebalance(const CompositionNeed& aNeed)
{
  if (KeepServing(aNeed.mTo)) {
    return true;
  }
  const ModelSpec& from = *mView->mPool->FindModel(aNeed.mFrom);
  const ModelSpec& to = *mView->mPool->FindModel(aNeed.mTo);
  const double most = mOptions.mComposition.mMaxMovingShare * static_cast<double>(mSeenEngines);
  const double moves = static_cast<double>(MovingEngines() + std::max(from.mSize, to.mSize));
  if (!mRebalances.empty() && moves > most) {
    return false;
  }
  const RebalanceOffer offer = BestOffer(from, to);
  if (offer.mDonors.empty()) {
    return false;
  }
  RecordChange(from.mName, to.mName, offer);
  mRebalances[offer.mDomain] = {
    from.mName, to.mName, offer.mGained, mView->mNow + mOptions.mMaxRebalanceTime
  };
  for (auto* it : offer.mDonors) {
    it->mGivenUp = true;
  }
  return true;
}

void
GroupPlanner::RecordChange(const std::string& aFrom,
                           const std::string& aTo,
                           const RebalanceOffer& aOffer)
{
  CompositionChange change;
  change.mFrom = aFrom;
  change.mTo = aTo;
  change.mDomain = aOffer.mDomain;
  change.mGiven = aOffer.mDonors.size();
  change.mComing = aOffer.mGained;
  for (const auto& it : mUses) {
    const double part = SlotUtilisation(it, mView->mPool->mSlots);
    change.mInUseFrom = it.mModel == aFrom ? part : change.mInUseFrom;
    change.mInUseTo = it.mModel == aTo ? part : change.mInUseTo;
  }
  mChanges.push_back(std::move(change));
}

const ModelSpec*
GroupPlanner::MostUnderprovisioned(const std::string& aDomain,
                                   std::size_t aFree,
                                   std::size_t aEngines,
                                   const std::map<std::string, std::size_t>& aHave) const
{
  const auto rebalance = mRebalances.find(aDomain);
  if (rebalance != mRebalances.end()) {
    const ModelSpec* model = mView->mPool->FindModel(rebalance->second.mTo);
    return model != nullptr && aFree >= model->mSize ? model : nullptr;
  }
  const ModelSpec* best = nullptr;
  double bestRatio = 0;
  for (const auto& it : mView->mPool->mModels) {
    const auto have = aHave.find(it.mName);
    const std::size_t n = have == aHave.end() ? 0 : have->second;
    const bool least = mView->mTraffic && n < mOptions.mComposition.mMinReplicas;
    const double due = it.mShare * static_cast<double>(aEngines) / static_cast<double>(it.mSize);
    const double ratio = least ? 0.0 : static_cast<double>(n) / std::max(due, 1e-9);
    if (aFree >= it.mSize && (best == nullptr || ratio < bestRatio)) {
      best = &it;
      bestRatio = ratio;
    }
  }
  return best;
}

void
GroupPlanner::CountFormed(const std::string& aDomain, const std::string& aModel)
{
  const auto rebalance = mRebalances.find(aDomain);
  if (rebalance != mRebalances.end() && rebalance->second.mTo == aModel &&
      --rebalance->second.mComing == 0) {
    mRebalances.erase(rebalance);
  }
}

std::vector<CompositionChange>
GroupPlanner::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace pepperbay
