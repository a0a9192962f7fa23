/// @file
/// @brief Repair while the log is out, by spares that the log has set aside beforehand.
///
/// A repair needs a record, and outages of the log are long. So the holder keeps reservations in
/// the log: this spare may replace one lost member of these replicas, as the next generation. To
/// carry one out is no new decision, so the last holder may do it without the log, towards engines
/// that check fencing numbers only. A later holder's orders have a higher number, and each node
/// still routes only on what the hosts themselves confirm, so a host is never in two whole
/// replicas. Pure.
#pragma once

#include "pepperbay/state/fold.hpp"

#include <map>
#include <string>

namespace pepperbay {

/// Repairs made without the log, by replica, until the fold has them.
using OutageRepairs = std::map<std::string, proto::Assign>;

/// Whether a repair carries out a reservation of the folded state and nothing else: the next
/// generation, the last holder's fencing number, one member replaced by the reserved spare, and
/// engines that check fencing numbers.
bool
CarriesOutReservation(const State& aState, const proto::Assign& aRepair);

/// The state with repairs laid over it; repairs that the fold has overtaken are left out.
State
WithRepairs(const State& aState, const OutageRepairs& aRepairs);

/// Drop repairs that the fold has caught up with or overtaken. @return whether any was dropped.
bool
DropFolded(const State& aState, OutageRepairs* aRepairs);

} // namespace pepperbay
