/// @file
/// @brief Compares folded assignments with the reports of hosts and derives the orders to hosts.
#pragma once

#include "pepperbay/placement/planner.hpp"

#include <map>
#include <string>
#include <vector>

namespace pepperbay {

enum class OrderKind
{
  kLoad,
  kUnload,
};

/// One order to one host. Orders are idempotent.
struct HostOrder
{
  OrderKind mKind = OrderKind::kLoad;
  std::string mHost;
  std::string mAddress;
  std::uint64_t mFence = 0;
  std::string mReplica;
  std::uint64_t mGeneration = 0;
  std::string mModel;
  std::string mModelVersion;
  std::vector<proto::Member> mMembers;
};

struct OrderOptions
{
  Duration mFreshness = std::chrono::seconds(2);
  Duration mLease = std::chrono::seconds(6);
  Duration mOrderTimeout = std::chrono::seconds(2);
  int mLoadsAtOnce = 8; ///< what the weight store can serve at once
};

/// Finds the orders that are due and limits how often they are repeated. Pure.
///
/// For hosts that ignore fencing numbers, a new holder of the lease first waits for the lease
/// duration plus the order timeout, so that no order of its predecessor can arrive after its own.
/// It acts only on what such a host has reported since. One case remains: a predecessor that pauses
/// for longer than this between its last check of the lease and sending an order. The probe for
/// complete replicas then takes the affected replica out of service.
class OrderPlan
{
public:
  explicit OrderPlan(OrderOptions aOptions);

  /// @param aInput same as for the planner; mDrained is not used
  std::vector<HostOrder> Due(const PlanInput& aInput);

private:
  bool MayOrder(const HostView& aHost, const HostWord& aWord, const PlanInput& aInput) const;

  OrderOptions mOptions;
  std::map<std::string, TimePoint> mOrderedAt;
};

} // namespace pepperbay
