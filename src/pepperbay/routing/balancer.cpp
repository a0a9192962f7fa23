#include "pepperbay/routing/balancer.hpp"

#include <tuple>
#include <utility>

namespace pepperbay {

Balancer::Balancer(BalancerOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
Balancer::OnEnd(const std::string& aEngine)
{
  const auto it = mOwn.find(aEngine);
  if (it != mOwn.end() && --it->second <= 0) {
    mOwn.erase(it);
  }
}

void
Balancer::OnAnswer(const std::string& aEngine)
{
  const auto it = mFaultAt.find(aEngine);
  if (it != mFaultAt.end()) {
    it->second -= mOptions.mFaultMemory / 2;
  }
}

int
Balancer::InFlight(const TrafficPlan& aPlan, const std::string& aEngine) const
{
  const auto own = mOwn.find(aEngine);
  const auto others = aPlan.mOthersInFlight.find(aEngine);
  return (own == mOwn.end() ? 0 : own->second) +
         (others == aPlan.mOthersInFlight.end() ? 0 : others->second);
}

bool
Balancer::RecentFault(const std::string& aEngine, TimePoint aNow) const
{
  const auto it = mFaultAt.find(aEngine);
  return it != mFaultAt.end() && aNow - it->second < mOptions.mFaultMemory;
}

const EngineTarget*
Balancer::PickEngine(const TrafficPlan& aPlan,
                     const std::string& aService,
                     const std::set<std::string>& aTried,
                     TimePoint aNow) const
{
  const auto engines = aPlan.mEngines.find(aService);
  if (engines == aPlan.mEngines.end()) {
    return nullptr;
  }
  const EngineTarget* best = nullptr;
  std::tuple<bool, int, bool> bestRank;
  for (const auto& it : engines->second) {
    if (aTried.count(it.mId) != 0) {
      continue;
    }
    const std::tuple<bool, int, bool> rank{ RecentFault(it.mId, aNow),
                                            InFlight(aPlan, it.mId),
                                            it.mDataCentre != mOptions.mDataCentre };
    if (best == nullptr || rank < bestRank) {
      best = &it;
      bestRank = rank;
    }
  }
  return best;
}

Balancer::ReplicaChoice
Balancer::PickReplica(const TrafficPlan& aPlan,
                      const ServiceSpec& aService,
                      const std::string& aModel,
                      const std::set<std::string>& aTried,
                      TimePoint aNow) const
{
  ReplicaChoice choice;
  const auto replicas = aPlan.mReplicas.find(aService.mName);
  if (replicas == aPlan.mReplicas.end() || !aService.mPool) {
    return choice;
  }
  const int most = static_cast<int>(aService.mPool->mSlots * (1.0 + mOptions.mQueueShare));
  std::tuple<bool, int, bool> bestRank;
  for (const auto& it : replicas->second) {
    if (it.mModel != aModel || it.mSuspended || it.mLost || aTried.count(it.mHead.mId) != 0) {
      continue;
    }
    const int inFlight = InFlight(aPlan, it.mHead.mId);
    if (inFlight >= most) {
      choice.mFull = true;
      continue;
    }
    const bool remote = it.mHead.mDataCentre != mOptions.mDataCentre;
    const std::tuple<bool, int, bool> rank{ RecentFault(it.mHead.mId, aNow),
                                            inFlight + (remote ? mOptions.mRemoteCost : 0),
                                            remote };
    if (choice.mReplica == nullptr || rank < bestRank) {
      choice.mReplica = &it;
      bestRank = rank;
    }
  }
  if (choice.mReplica != nullptr) {
    choice.mFull = false;
  }
  return choice;
}

} // namespace pepperbay
