/// @file
/// @brief Place agents of several nodes on a wire of the test's own, for their tests.
#pragma once

#include "pepperbay/base/hash.hpp"
#include "pepperbay/places/place_agent.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pepperbay {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Agents of several nodes before replicas of one model, and the messages between them.
class PlaceWorld
{
public:
  static constexpr int kSlots = 4; ///< of a replica, unless a test says otherwise

  struct Node
  {
    std::string mName;
    std::string mDataCentre;
    std::unique_ptr<Balancer> mBalancer;
    std::unique_ptr<PlaceAgent> mAgent;
    bool mAlive = true;
    bool mStands = false;            ///< does nothing for now; what comes is heard later
    bool mKeepsPlan = false;         ///< goes on by its plan, whatever is published
    std::vector<std::string> mDesks; ///< that it sees, best first; empty: those of its data centre
  };

  explicit PlaceWorld(int aSlots = kSlots)
  {
    Configuration configuration;
    configuration.mVersion = 1;
    ServiceSpec pool;
    pool.mName = "pool";
    pool.mPool.emplace();
    pool.mPool->mSlots = aSlots;
    pool.mPool->mModels = { { "m", 3, 1.0, 1.0, seconds(16), seconds(1) } };
    ServiceSpec plain;
    plain.mName = "plain";
    configuration.mServices = { pool, plain };
    mRoutes = std::make_shared<RouteTable>(std::move(configuration));
  }

  void AddReplicas(int aCount, const std::string& aDataCentre)
  {
    for (int i = 0; i < aCount; ++i) {
      PoolReplica replica;
      replica.mGroup = "r" + std::to_string(mReplicas.size());
      replica.mModel = "m";
      replica.mEpoch = 1;
      replica.mHead = { "e" + std::to_string(mReplicas.size()), "10.0.0.1:80", aDataCentre };
      mReplicas.push_back(replica);
    }
  }

  /// One engine of the plain service in a data centre.
  void AddPlainEngine(const std::string& aId, const std::string& aDataCentre)
  {
    mPlainEngines.push_back({ aId, "10.0.0.2:80", aDataCentre });
  }

  Node& AddNode(const std::string& aName, const std::string& aDataCentre = "a")
  {
    mNodes.emplace_back();
    Node& node = mNodes.back();
    node.mName = aName;
    node.mDataCentre = aDataCentre;
    BalancerOptions balancer;
    balancer.mDataCentre = aDataCentre;
    balancer.mSeed = Hash64(aName);
    node.mBalancer = std::make_unique<Balancer>(balancer);
    PlaceAgentOptions options;
    options.mNode = aName;
    options.mIncarnation = 7;
    options.mDataCentre = aDataCentre;
    options.mAddress = aName;
    PlaceAgentHooks hooks;
    hooks.mNow = mClock.Hook();
    hooks.mSend = [this, aName](const std::string& aAddress, const std::string& aBytes) {
      ++mSent;
      if (mLoses && mLoses(aName, aAddress)) {
        return;
      }
      if (const Duration late = mDelays ? mDelays() : Duration::zero(); late > Duration::zero()) {
        mLate.push_back({ mClock.Now() + late, aAddress, aBytes });
        return;
      }
      mOnTheWay.emplace_back(aAddress, aBytes);
      if (mAtOnce) {
        Deliver();
      }
    };
    node.mAgent = std::make_unique<PlaceAgent>(options, hooks, node.mBalancer.get());
    return node;
  }

  /// Give every node the plan: the named desk finds places, of its data centre.
  void Publish(const std::map<std::string, std::vector<std::string>>& aDesks)
  {
    for (auto& it : mNodes) {
      TrafficPlan plan;
      plan.mComplete = true;
      plan.mRoutes = mRoutes;
      plan.mReplicas["pool"] = mReplicas;
      plan.mEngines["plain"] = mPlainEngines;
      plan.mNodes = static_cast<int>(mNodes.size());
      const auto& desks = it.mDesks.empty() ? aDesks.at(it.mDataCentre) : it.mDesks;
      plan.mIsAllocator = desks.front() == it.mName;
      for (const auto& desk : desks) {
        if (desk != it.mName) {
          plan.mAllocators.push_back({ desk, desk });
        }
      }
      for (const auto& [centre, others] : aDesks) {
        if (plan.mIsAllocator && centre != it.mDataCentre) {
          plan.mAllocatorsOf[centre] = { others.front(), others.front() };
        }
      }
      for (const auto& [centre, counts] : mCounting) {
        if (counts.mNode == it.mName) {
          plan.mRateLeases[centre] = counts.mLease;
        }
      }
      plan.mListedNodes = plan.mNodes;
      if (it.mAlive && !it.mStands && !it.mKeepsPlan) {
        it.mAgent->SetPlan(std::make_shared<TrafficPlan>(std::move(plan)));
      }
    }
  }

  /// Deliver what is on its way, and what that leads to.
  void Deliver()
  {
    for (std::size_t n = mLate.size(); n > 0; --n) {
      Late late = std::move(mLate.front());
      mLate.pop_front();
      if (mClock.Now() < late.mAt) {
        mLate.push_back(std::move(late));
      } else {
        mOnTheWay.emplace_back(late.mAddress, late.mBytes);
      }
    }
    while (!mOnTheWay.empty()) {
      const auto [address, bytes] = std::move(mOnTheWay.front());
      mOnTheWay.pop_front();
      for (auto& it : mNodes) {
        if (it.mName != address || !it.mAlive) {
          continue;
        }
        if (it.mStands) {
          mLate.push_back({ mClock.Now() + milliseconds(20), address, bytes });
        } else {
          it.mAgent->OnMessage(bytes);
        }
      }
    }
  }

  void Run(Duration aFor)
  {
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      mClock.Advance(milliseconds(20));
      for (auto& it : mNodes) {
        if (it.mAlive) {
          it.mAgent->Tick();
        }
      }
      Deliver();
    }
  }

  /// Ask for a place and wait for the answer.
  Place Ask(Node& aNode, const PlaceRequest& aRequest)
  {
    Place place;
    bool done = false;
    aNode.mAgent->Ask(aRequest, [&](const Place& aPlace) {
      EXPECT_FALSE(done) << "answered twice";
      done = true;
      place = aPlace;
    });
    Deliver();
    for (int i = 0; i < 10 && !done; ++i) {
      Run(milliseconds(20));
    }
    EXPECT_TRUE(done);
    return place;
  }

  Place Ask(Node& aNode)
  {
    PlaceRequest request;
    request.mService = "pool";
    request.mModel = "m";
    return Ask(aNode, request);
  }

  int InProgress(Node& aDesk, const std::string& aHead) const
  {
    const auto& own = aDesk.mBalancer->Own();
    const auto it = own.find(aHead);
    return it == own.end() ? 0 : it->second;
  }

  int InProgress(Node& aDesk) const
  {
    int n = 0;
    for (const auto& [head, count] : aDesk.mBalancer->Own()) {
      n += count;
    }
    return n;
  }

  struct Late
  {
    TimePoint mAt{};
    std::string mAddress;
    std::string mBytes;
  };

  /// Who counts the requests to engines with a limit.
  struct Counting
  {
    std::string mNode;
    RateLease mLease;
  };

  ManualClock mClock;
  std::map<std::string, Counting> mCounting; ///< by data centre; in force with the next plan
  std::shared_ptr<const RouteTable> mRoutes;
  std::vector<PoolReplica> mReplicas;
  std::vector<EngineTarget> mPlainEngines;
  std::deque<Node> mNodes;
  std::deque<std::pair<std::string, std::string>> mOnTheWay; ///< address and bytes
  std::deque<Late> mLate;
  std::function<bool(const std::string& aFrom, const std::string& aTo)> mLoses;
  std::function<Duration()> mDelays; ///< how late a message arrives; null: at once
  int mSent = 0;
  bool mAtOnce = false; ///< messages arrive within the call that sends them
};

} // namespace pepperbay
