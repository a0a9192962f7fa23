#include "pepperbay/routing/find_engine.hpp"

#include "pepperbay/base/hash.hpp"

namespace pepperbay {

const EngineTarget*
FindEngine(const TrafficPlan& aPlan, std::uint32_t aEngine)
{
  for (const auto& [service, engines] : aPlan.mEngines) {
    for (const auto& it : engines) {
      if (ShortId(it.mId) == aEngine) {
        return &it;
      }
    }
  }
  for (const auto& [service, replicas] : aPlan.mReplicas) {
    for (const auto& it : replicas) {
      if (ShortId(it.mHead.mId) == aEngine) {
        return &it.mHead;
      }
    }
  }
  return nullptr;
}

const EngineDeparture*
FindDeparture(const TrafficPlan& aPlan, const std::string& aEngine, WallTime aBorn)
{
  if (!aPlan.mDepartures) {
    return nullptr;
  }
  const auto it = aPlan.mDepartures->find(aEngine);
  if (it == aPlan.mDepartures->end() || (aBorn != WallTime{} && it->second.mBorn < aBorn)) {
    return nullptr;
  }
  return &it->second;
}

std::optional<Duration>
EnginesAge(const TrafficPlan& aPlan, TimePoint aNow)
{
  if (aPlan.mEnginesAsOf == TimePoint{}) {
    return std::nullopt;
  }
  return aNow - aPlan.mEnginesAsOf;
}

} // namespace pepperbay
