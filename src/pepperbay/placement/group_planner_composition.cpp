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
         mView->mNow - aReplica.mSince < mOptions.mCountsBroken;
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
  for (const auto& [domain, trade] : mTrades) {
    const auto use = useOf(trade.mTo);
    if (use != uses.end()) {
      use->mReplicas += trade.mComing;
    }
  }
  return uses;
}

int
GroupPlanner::PlacesInUse(const PlannedReplica& aReplica) const
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
  for (auto it = mTrades.begin(); it != mTrades.end();) {
    // The configuration may no longer contain the model that the engines were released for.
    const bool over =
      mView->mNow >= it->second.mUntil || mView->mPool->FindModel(it->second.mTo) == nullptr;
    it = over ? mTrades.erase(it) : std::next(it);
  }
  if (mView->mNow < mUseDue) {
    return false;
  }
  mUseDue = mView->mNow + kObserveEvery;
  std::map<std::string, int> inUse;
  for (const auto& [name, replica] : mReplicas) {
    if (replica.mPhase == ReplicaPhase::kOpen) {
      inUse[replica.mModel] += PlacesInUse(replica);
    }
  }
  mUses = CountUses();
  for (auto& it : mUses) {
    mPlaceUse.Observe(it.mModel, inUse[it.mModel], mView->mNow);
    it.mInUse = mPlaceUse.InUse(it.mModel);
  }
  return true;
}

void
GroupPlanner::TradeReplicas()
{
  while (const auto need = NextTrade(mUses, mView->mPool->mSlots, mOptions.mComposition)) {
    if (!BeginTrade(*need)) {
      return;
    }
    std::vector<ModelUse> uses = CountUses();
    for (auto& it : uses) {
      it.mInUse = mPlaceUse.InUse(it.mModel);
    }
    mUses = std::move(uses);
  }
}

std::size_t
GroupPlanner::MovingEngines() const
{
  std::size_t n = 0;
  for (const auto& [domain, trade] : mTrades) {
    n += trade.mComing * mView->mPool->FindModel(trade.mTo)->mSize;
  }
  return n;
}

std::size_t
GroupPlanner::QuickMembers(const std::vector<PlannedReplica*>& aReplicas,
                           const std::string& aModel) const
{
  std::size_t n = 0;
  for (const auto* replica : aReplicas) {
    for (const auto& it : replica->mMembers) {
      const EngineRecord* engine = Find(it);
      n += engine != nullptr && Usable(*engine) && IsQuick(*engine, aModel) ? 1 : 0;
    }
  }
  return n;
}

std::size_t
GroupPlanner::OpenReplicas(const std::string& aModel) const
{
  return static_cast<std::size_t>(
    std::count_if(mReplicas.begin(), mReplicas.end(), [&aModel](const auto& aReplica) {
      const PlannedReplica& it = aReplica.second;
      return it.mModel == aModel && it.mPhase == ReplicaPhase::kOpen && !it.mLeavingSince &&
             !it.mGivenUp;
    }));
}

std::vector<PlannedReplica*>
GroupPlanner::TradeDonors(const std::string& aDomain, const ModelSpec& aFrom, const ModelSpec& aTo)
{
  std::vector<std::pair<int, PlannedReplica*>> candidates; // with their requests in progress
  for (auto& [name, replica] : mReplicas) {
    const bool serves = replica.mPhase == ReplicaPhase::kOpen && !replica.mLeavingSince;
    const bool broken = replica.mPhase == ReplicaPhase::kBroken && AnyUsable(replica) &&
                        mView->mNow >= replica.mNotBefore;
    if (replica.mDomain == aDomain && replica.mModel == aFrom.mName && !replica.mGivenUp &&
        (serves || broken)) {
      const int inUse = broken ? 0 : PlacesInUse(replica);
      candidates.emplace_back(inUse, &replica);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  std::size_t serving = OpenReplicas(aFrom.mName);
  std::vector<PlannedReplica*> donors;
  for (const auto& [inUse, replica] : candidates) {
    const bool serves = replica->mPhase == ReplicaPhase::kOpen;
    const bool kept = serves && serving <= mOptions.mComposition.mLeastReplicas;
    if (!kept && QuickMembers(donors, aTo.mName) < aTo.mSize) {
      donors.push_back(replica);
      serving -= serves ? 1 : 0;
    }
  }
  return QuickMembers(donors, aTo.mName) < aTo.mSize ? std::vector<PlannedReplica*>{} : donors;
}

bool
GroupPlanner::TakeBack(const std::string& aModel)
{
  for (auto trade = mTrades.begin(); trade != mTrades.end(); ++trade) {
    if (trade->second.mFrom != aModel) {
      continue;
    }
    bool any = false;
    for (auto& [name, replica] : mReplicas) {
      const bool serves = replica.mPhase == ReplicaPhase::kOpen && !replica.mMemberLost;
      if (replica.mDomain == trade->first && replica.mGivenUp && serves) {
        replica.mGivenUp = false;
        any = true;
      }
    }
    if (any) {
      mTrades.erase(trade);
      return true;
    }
  }
  return false;
}

GroupPlanner::TradeOffer
GroupPlanner::BestOffer(const ModelSpec& aFrom, const ModelSpec& aTo)
{
  std::set<std::string> domains;
  for (const auto& [name, replica] : mReplicas) {
    if (mTrades.count(replica.mDomain) == 0) {
      domains.insert(replica.mDomain);
    }
  }
  TradeOffer best;
  for (const auto& domain : domains) {
    TradeOffer offer;
    offer.mDomain = domain;
    offer.mDonors = TradeDonors(domain, aFrom, aTo);
    offer.mGets = QuickMembers(offer.mDonors, aTo.mName) / aTo.mSize;
    for (const auto* it : offer.mDonors) {
      offer.mInUse += mView->mInFlight(it->mMembers.front());
    }
    const bool cheaper = offer.mGets == best.mGets && offer.mInUse < best.mInUse;
    if (offer.mGets > best.mGets || cheaper) {
      best = std::move(offer);
    }
  }
  return best;
}

bool
GroupPlanner::BeginTrade(const CompositionNeed& aNeed)
{
  if (TakeBack(aNeed.mTo)) {
    return true;
  }
  const ModelSpec& from = *mView->mPool->FindModel(aNeed.mFrom);
  const ModelSpec& to = *mView->mPool->FindModel(aNeed.mTo);
  const double most = mOptions.mComposition.mMostMoving * static_cast<double>(mSeenEngines);
  const double moves = static_cast<double>(MovingEngines() + std::max(from.mSize, to.mSize));
  if (!mTrades.empty() && moves > most) {
    return false;
  }
  const TradeOffer offer = BestOffer(from, to);
  if (offer.mDonors.empty()) {
    return false;
  }
  NoteChange(from.mName, to.mName, offer);
  mTrades[offer.mDomain] = { from.mName, to.mName, offer.mGets, mView->mNow + mOptions.mTradeMost };
  for (auto* it : offer.mDonors) {
    it->mGivenUp = true;
  }
  return true;
}

void
GroupPlanner::NoteChange(const std::string& aFrom, const std::string& aTo, const TradeOffer& aOffer)
{
  CompositionChange change;
  change.mFrom = aFrom;
  change.mTo = aTo;
  change.mDomain = aOffer.mDomain;
  change.mGiven = aOffer.mDonors.size();
  change.mComing = aOffer.mGets;
  for (const auto& it : mUses) {
    const double part = PartInUse(it, mView->mPool->mSlots);
    change.mInUseFrom = it.mModel == aFrom ? part : change.mInUseFrom;
    change.mInUseTo = it.mModel == aTo ? part : change.mInUseTo;
  }
  mChanges.push_back(std::move(change));
}

const ModelSpec*
GroupPlanner::MostShort(const std::string& aDomain,
                        std::size_t aFree,
                        std::size_t aEngines,
                        const std::map<std::string, std::size_t>& aHave) const
{
  const auto trade = mTrades.find(aDomain);
  if (trade != mTrades.end()) {
    const ModelSpec* model = mView->mPool->FindModel(trade->second.mTo);
    return model != nullptr && aFree >= model->mSize ? model : nullptr;
  }
  const ModelSpec* best = nullptr;
  double bestRatio = 0;
  for (const auto& it : mView->mPool->mModels) {
    const auto have = aHave.find(it.mName);
    const std::size_t n = have == aHave.end() ? 0 : have->second;
    const bool least = mView->mTraffic && n < mOptions.mComposition.mLeastReplicas;
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
GroupPlanner::NoteFormed(const std::string& aDomain, const std::string& aModel)
{
  const auto trade = mTrades.find(aDomain);
  if (trade != mTrades.end() && trade->second.mTo == aModel && --trade->second.mComing == 0) {
    mTrades.erase(trade);
  }
}

std::vector<CompositionChange>
GroupPlanner::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace pepperbay
