/// @file
/// @brief Which engine or replica a request goes to, from what is in progress there. Pure.
#pragma once

#include "pepperbay/routing/traffic_plan.hpp"

#include <set>
#include <string>
#include <unordered_map>

namespace pepperbay {

struct BalancerOptions
{
  std::string mDataCentre; ///< of this node; ties go to engines of it
  /// An engine that fails or falls silent draws no first choice for so long. Long enough to span
  /// the usual length of a partial fault, short enough to find its end.
  Duration mFaultMemory = std::chrono::seconds(4);
  /// Requests that may wait at a replica beyond its slots, as a share of the slots. A wait longer
  /// than a caller's patience with a silent stream (two seconds) is a wasted place.
  double mQueueShare = 0.5;
  /// A replica of another data centre counts as having so many requests more in progress. Each
  /// request more slows a step by about a hundredth; bytes between data centres are paid for.
  int mRemoteCost = 2;
};

/// Counts of requests in progress by engine and the choice by them. Not for several threads.
///
/// Each node knows its own requests at once and the others' from their last heartbeat. Reports of
/// the engines would be older than both.
class Balancer
{
public:
  explicit Balancer(BalancerOptions aOptions);

  void OnStart(const std::string& aEngine) { ++mOwn[aEngine]; }
  void OnEnd(const std::string& aEngine);
  /// A request failed at an engine without an answer of its own.
  void OnFault(const std::string& aEngine, TimePoint aNow) { mFaultAt[aEngine] = aNow; }
  /// An engine answered; old faults are forgotten sooner the more it answers.
  void OnAnswer(const std::string& aEngine);

  /// Requests in progress of this node, by engine.
  const std::unordered_map<std::string, int>& Own() const { return mOwn; }

  /// @param aTried engines that this request has been sent to
  /// @return null when there is none left
  const EngineTarget* PickEngine(const TrafficPlan& aPlan,
                                 const std::string& aService,
                                 const std::set<std::string>& aTried,
                                 TimePoint aNow) const;

  /// What a choice among replicas gave.
  struct ReplicaChoice
  {
    const PoolReplica* mReplica = nullptr;
    bool mFull = false; ///< there are replicas, but each has all that it should hold
  };

  /// The replica of a model with the least in progress.
  ReplicaChoice PickReplica(const TrafficPlan& aPlan,
                            const ServiceSpec& aService,
                            const std::string& aModel,
                            const std::set<std::string>& aTried,
                            TimePoint aNow) const;

private:
  int InFlight(const TrafficPlan& aPlan, const std::string& aEngine) const;
  bool RecentFault(const std::string& aEngine, TimePoint aNow) const;

  BalancerOptions mOptions;
  std::unordered_map<std::string, int> mOwn;
  std::unordered_map<std::string, TimePoint> mFaultAt;
};

} // namespace pepperbay
