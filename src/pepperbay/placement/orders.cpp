#include "pepperbay/placement/orders.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// A load that is due, with the values that determine its order at the weight store.
struct Candidate
{
  HostOrder mOrder;
  std::uint32_t mPriority = 0;
};

HostOrder
LoadOrder(const HostView& aHost, const proto::Assign& aAssign, std::uint64_t aFence)
{
  HostOrder order;
  order.mKind = OrderKind::kLoad;
  order.mHost = aHost.mHost;
  order.mAddress = aHost.mAddress;
  order.mFence = aFence;
  order.mReplica = aAssign.replica();
  order.mGeneration = aAssign.generation();
  order.mModel = aAssign.model();
  order.mModelVersion = aAssign.model_version();
  order.mMembers.assign(aAssign.members().begin(), aAssign.members().end());
  return order;
}

HostOrder
UnloadOrder(const HostView& aHost, const proto::Evidence& aSaid, std::uint64_t aFence)
{
  HostOrder order;
  order.mKind = OrderKind::kUnload;
  order.mHost = aHost.mHost;
  order.mAddress = aHost.mAddress;
  order.mFence = aFence;
  order.mReplica = aSaid.replica();
  order.mGeneration = aSaid.generation();
  return order;
}

bool
Matches(const proto::Evidence& aSaid, const proto::Assign& aAssign)
{
  return aSaid.replica() == aAssign.replica() && aSaid.generation() == aAssign.generation() &&
         aSaid.model_version() == aAssign.model_version();
}

} // namespace

OrderPlan::OrderPlan(OrderOptions aOptions)
  : mOptions(aOptions)
{
}

bool
OrderPlan::MayOrder(const HostView& aHost, const HostWord& aWord, const PlanInput& aInput) const
{
  TimePoint from = aInput.mHeldSince;
  if (!aHost.mChecksFence) {
    from += mOptions.mLease + mOptions.mOrderTimeout;
  }
  const auto last = mOrderedAt.find(aHost.mHost);
  const bool spaced =
    last == mOrderedAt.end() || aInput.mNow - last->second >= mOptions.mOrderTimeout;
  // The host's report must be newer than the last order and than the start of this tenure.
  const bool readBack = aWord.mSaidNoEarlier >= from &&
                        (last == mOrderedAt.end() || aWord.mSaidNoEarlier > last->second);
  return aInput.mNow >= from && spaced && readBack;
}

std::vector<HostOrder>
OrderPlan::Due(const PlanInput& aInput)
{
  std::vector<HostOrder> orders;
  std::vector<Candidate> loads;
  int loading = 0;
  for (const auto& host : aInput.mHosts) {
    const HostWord* word = aInput.mEvidence->Find(host.mHost);
    if (word == nullptr) {
      continue;
    }
    const proto::Evidence& said = word->mEvidence;
    const bool fresh = aInput.mNow - word->mSaidNoEarlier <= mOptions.mFreshness;
    if (!fresh || said.refused()) {
      continue;
    }
    const proto::ReplicaState* replica = aInput.mState->ReplicaOfHost(host.mHost);
    const bool settled = replica != nullptr && Matches(said, replica->assign());
    // The host's report shows an order only later. Until then the order counts as a load in
    // progress, so that the weight store is not asked for more loads at once than it can serve.
    const auto last = mOrderedAt.find(host.mHost);
    const bool unseen = last != mOrderedAt.end() && word->mSaidNoEarlier <= last->second &&
                        aInput.mNow - last->second < mOptions.mOrderTimeout;
    if (said.phase() == proto::PHASE_LOADING || unseen) {
      ++loading;
    }
    if (settled || !MayOrder(host, *word, aInput)) {
      continue;
    }
    if (replica == nullptr) {
      if (said.phase() != proto::PHASE_IDLE) {
        orders.push_back(UnloadOrder(host, said, aInput.mFence));
      }
      continue;
    }
    if (replica->closing()) {
      continue;
    }
    const proto::Profile* profile = aInput.mState->FindProfile(replica->assign().profile());
    loads.push_back({ LoadOrder(host, replica->assign(), aInput.mFence),
                      profile != nullptr ? profile->priority() : 0 });
  }
  std::stable_sort(loads.begin(), loads.end(), [](const Candidate& aLeft, const Candidate& aRight) {
    if (aLeft.mPriority != aRight.mPriority) {
      return aLeft.mPriority < aRight.mPriority;
    }
    return aLeft.mOrder.mReplica < aRight.mOrder.mReplica;
  });
  for (auto& it : loads) {
    if (loading >= mOptions.mLoadsAtOnce) {
      break;
    }
    ++loading;
    orders.push_back(std::move(it.mOrder));
  }
  for (const auto& it : orders) {
    mOrderedAt[it.mHost] = aInput.mNow;
  }
  return orders;
}

} // namespace pepperbay
