/// @file
/// @brief Simulates slot agents of several nodes and the network between them; for tests.
#pragma once

#include "pepperbay/base/hash.hpp"
#include "pepperbay/places/slot_agent.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pepperbay {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Agents of several nodes, replicas of one model, and the messages between the agents.
class SlotSimulation
{
public:
  static constexpr int kSlots = 4; ///< slots of a replica, unless a test sets another number

  struct Node
  {
    std::string mName;
    std::string mDataCentre;
    std::unique_ptr<Balancer> mBalancer;
    std::unique_ptr<SlotAgent> mAgent;
    bool mAlive = true;
    bool mFrozen = false;                 ///< processes nothing; messages arrive later
    bool mIgnoresPlans = false;           ///< ignores newly published plans
    std::vector<std::string> mAllocators; ///< best first; empty: those of its data centre
  };

  explicit SlotSimulation(int aSlots = kSlots)
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

  /// Add an engine of the plain service in a data centre.
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
    SlotAgentOptions options;
    options.mNode = aName;
    options.mIncarnation = 7;
    options.mDataCentre = aDataCentre;
    options.mAddress = aName;
    SlotAgentHooks hooks;
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
      mInTransit.emplace_back(aAddress, aBytes);
      if (mDeliversAtOnce) {
        Deliver();
      }
    };
    node.mAgent = std::make_unique<SlotAgent>(options, hooks, node.mBalancer.get());
    return node;
  }

  /// Publish a plan to every node, with the allocators of each data centre, best first.
  void Publish(const std::map<std::string, std::vector<std::string>>& aAllocators)
  {
    for (auto& it : mNodes) {
      TrafficPlan plan;
      plan.mComplete = true;
      plan.mRoutes = mRoutes;
      plan.mReplicas["pool"] = mReplicas;
      plan.mEngines["plain"] = mPlainEngines;
      plan.mNodes = static_cast<int>(mNodes.size());
      if (!mDepartures.empty()) {
        plan.mDepartures = std::make_shared<EngineDepartures>(mDepartures);
      }
      const auto& allocators =
        it.mAllocators.empty() ? aAllocators.at(it.mDataCentre) : it.mAllocators;
      plan.mIsAllocator = allocators.front() == it.mName;
      for (const auto& allocator : allocators) {
        if (allocator != it.mName) {
          plan.mAllocators.push_back({ allocator, allocator });
        }
      }
      for (const auto& [centre, others] : aAllocators) {
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
      if (it.mAlive && !it.mFrozen && !it.mIgnoresPlans) {
        it.mAgent->SetPlan(std::make_shared<TrafficPlan>(std::move(plan)));
      }
    }
  }

  /// Deliver all messages that are due, and the messages sent in reply.
  void Deliver()
  {
    for (std::size_t n = mLate.size(); n > 0; --n) {
      Late late = std::move(mLate.front());
      mLate.pop_front();
      if (mClock.Now() < late.mAt) {
        mLate.push_back(std::move(late));
      } else {
        mInTransit.emplace_back(late.mAddress, late.mBytes);
      }
    }
    while (!mInTransit.empty()) {
      const auto [address, bytes] = std::move(mInTransit.front());
      mInTransit.pop_front();
      for (auto& it : mNodes) {
        if (it.mName != address || !it.mAlive) {
          continue;
        }
        if (it.mFrozen) {
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

  /// Ask for a slot and wait for the answer.
  SlotResult Ask(Node& aNode, const SlotRequest& aRequest)
  {
    SlotResult result;
    bool done = false;
    aNode.mAgent->Ask(aRequest, [&](const SlotResult& aResult) {
      EXPECT_FALSE(done) << "answered twice";
      done = true;
      result = aResult;
    });
    Deliver();
    for (int i = 0; i < 10 && !done; ++i) {
      Run(milliseconds(20));
    }
    EXPECT_TRUE(done);
    return result;
  }

  SlotResult Ask(Node& aNode)
  {
    SlotRequest request;
    request.mService = "pool";
    request.mModel = "m";
    return Ask(aNode, request);
  }

  int InProgress(Node& aAllocator, const std::string& aHead) const
  {
    const auto& own = aAllocator.mBalancer->Own();
    const auto it = own.find(aHead);
    return it == own.end() ? 0 : it->second;
  }

  int InProgress(Node& aAllocator) const
  {
    int n = 0;
    for (const auto& [head, count] : aAllocator.mBalancer->Own()) {
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

  /// The node that counts requests to engines with a limit.
  struct Counting
  {
    std::string mNode;
    RateLease mLease;
  };

  ManualClock mClock;
  std::map<std::string, Counting> mCounting; ///< by data centre; published with the next plan
  std::shared_ptr<const RouteTable> mRoutes;
  std::vector<PoolReplica> mReplicas;
  std::vector<EngineTarget> mPlainEngines;
  EngineDepartures mDepartures; ///< published with the next plan
  std::deque<Node> mNodes;
  std::deque<std::pair<std::string, std::string>> mInTransit; ///< address and bytes
  std::deque<Late> mLate;
  std::function<bool(const std::string& aFrom, const std::string& aTo)> mLoses;
  std::function<Duration()> mDelays; ///< delay of a message; null: none
  int mSent = 0;
  bool mDeliversAtOnce = false; ///< messages arrive within the call that sends them
};

} // namespace pepperbay
