/// @file
/// @brief Three nodes of three data centres before a plain service, for faults of the store and of
/// the connections to it.
#pragma once

#include "coordinator_world.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace pepperbay {

class StoreOutageWorld : public CoordinatorWorld
{
public:
  StoreOutageWorld()
  {
    mPlainService = true;
    AddPool();
    for (const auto& it : Engines()) {
      mPool.Add(it, "", "", kPlainService);
    }
    mHoldsReads = true;
    for (const char* it : { "a", "b", "c" }) {
      AddNode(std::string("node-") + it, 0, it);
    }
    Run(seconds(8));
  }

  static std::set<std::string> Engines() { return { "p0", "p1", "p2" }; }

  /// The store drops an engine's registration.
  void Remove(const std::string& aEngine)
  {
    mPool.At(aEngine).mListed = false;
    mRegistered.erase(aEngine);
    mEngineLog.Put(aEngine, std::nullopt);
  }
  /// The engine registers again.
  void Register(const std::string& aEngine)
  {
    mPool.At(aEngine).mListed = true;
    CoordinatorWorld::Register();
  }

  /// @return the engines that a node sends requests to.
  static std::set<std::string> UsedBy(const TestNode& aNode)
  {
    std::set<std::string> used;
    const auto engines = aNode.mPlan->mEngines.find(kPlainService);
    if (engines != aNode.mPlan->mEngines.end()) {
      for (const auto& it : engines->second) {
        used.insert(it.mId);
      }
    }
    return used;
  }
  bool UsedByAny(const std::string& aEngine) const
  {
    return std::any_of(mNodes.begin(), mNodes.end(), [&](const TestNode& aNode) {
      return UsedBy(aNode).count(aEngine) != 0;
    });
  }

  void BreakConnections()
  {
    for (auto& it : mNodes) {
      it.mLine->BreakConnections();
    }
  }
  void SetSilent(bool aSilent)
  {
    for (auto& it : mNodes) {
      it.mLine->SetSilent(aSilent);
    }
  }

  static constexpr milliseconds kStep{ 20 };
};

} // namespace pepperbay
