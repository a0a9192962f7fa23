/// @file
/// @brief Folded assignments against what hosts say: the orders that bring the two together.
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

/// One order to one host. Orders are idempotent: the same one given twice changes nothing.
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
  int mLoadsAtOnce = 8; ///< what the weight store can serve
};

/// Finds the orders that are due and spaces repeats. Pure.
///
/// Towards hosts that ignore fencing numbers a new holder first waits for lease and order timeout
/// together, so that an order of its predecessor cannot come after its own, and acts only on what
/// such a host has said since. What stays open: a predecessor that pauses between its last check of
/// the lease and the send for longer than that. The wholeness probe then takes the replica out.
class OrderPlan
{
public:
  explicit OrderPlan(OrderOptions aOptions);

  /// @param aInput as for the planner; mDrained is not used
  std::vector<HostOrder> Due(const PlanInput& aInput);

private:
  bool MayOrder(const HostView& aHost, const HostWord& aWord, const PlanInput& aInput) const;

  OrderOptions mOptions;
  std::map<std::string, TimePoint> mOrderedAt;
};

} // namespace pepperbay
