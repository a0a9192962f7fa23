/// @file
/// @brief The control holder's work: the lease, plans into the log, orders to hosts.
#pragma once

#include "pepperbay/journal/appender.hpp"
#include "pepperbay/lease/keeper.hpp"
#include "pepperbay/placement/orders.hpp"
#include "pepperbay/placement/reserves.hpp"
#include "pepperbay/settings/settings.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

struct HolderHooks
{
  /// Queue a record for the log.
  std::function<Result<void>(proto::Record, TimePoint aGiveUp, Appender::Done)> mSubmit;
  /// Give an order; it must be over within the timeout.
  std::function<void(const HostOrder&, Duration aTimeout)> mOrder;
};

/// Runs on every node; acts only while this node holds the lease of its data centre.
class Holder
{
public:
  Holder(const Settings& aSettings, std::uint64_t aIncarnation, HolderHooks aHooks);

  /// The folded state has changed.
  void OnState(const State& aState, TimePoint aNow);

  /// One round. Fields of the input that concern the tenure are filled in here.
  /// @param aMayPlan false while repairs made without the log are not in it yet
  void Tick(PlanInput aInput, TimePoint aNow, bool aMayPlan);

  /// While the log is out and this node was the last to hold the lease: carry out reservations.
  /// @return the repairs that are new
  std::vector<proto::Assign> TickOutage(PlanInput aInput, TimePoint aNow);

  /// Give the orders that bring hosts to a state with repairs laid over it.
  void GiveOrders(const PlanInput& aInput, Duration aTimeout);

  /// Put repairs made without the log into it; nothing else is planned before. @return whether some
  /// are on their way.
  bool Adopt(const OutageRepairs& aRepairs, TimePoint aNow);

  /// @return whether the next call of Tick() or TickOutage() looks at the hosts.
  bool WantsHosts(TimePoint aNow) const
  {
    return aNow >= mNextPlan && (mLastHolder || mKeeper.Held(aNow));
  }

  /// Give the lease back; @return false when there is none to give or the log takes no records.
  bool GiveUp(TimePoint aNow);

  const LeaseKeeper& Lease() const { return mKeeper; }
  const PlanOutcome& LastPlan() const { return mLastPlan; }
  std::uint64_t Orders() const { return mOrders; }
  std::uint64_t Refused() const { return mRefused; }

private:
  void Claim(const proto::Claim& aClaim, TimePoint aNow);
  void AppendPlan(const PlanInput& aInput, TimePoint aNow);
  void AppendSnapshot(const State& aState, TimePoint aNow);

  Settings mSettings;
  HolderHooks mHooks;
  LeaseKeeper mKeeper;
  Planner mPlanner;
  OrderPlan mOrderPlan;
  PlanOutcome mLastPlan;
  std::size_t mOutstanding = 0;
  bool mSnapshotOutstanding = false;
  TimePoint mNextPlan{};
  bool mLastHolder = false; ///< the folded lease is this node's, whether its time is over or not
  std::uint64_t mOrders = 0;
  std::uint64_t mRefused = 0;
};

} // namespace pepperbay
