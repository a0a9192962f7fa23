/// @file
/// @brief Repairs replicas while the log is unavailable, with spares that the log has reserved.
///
/// A repair needs a log record, and outages of the log can be long. The holder of the lease
/// therefore keeps reservations in the log: a spare may replace one lost member of the named
/// replicas as their next generation. Carrying out a reservation is not a new decision, so the last
/// holder may do it without the log, but only with engines that check fencing numbers. Orders of a
/// later holder carry a higher number, and each node still routes only by what the hosts themselves
/// confirm. A host is therefore never in two whole replicas. Pure.
#pragma once

#include "pepperbay/state/fold.hpp"

#include <map>
#include <string>

namespace pepperbay {

/// Repairs made without the log, by replica, until they are in the folded state.
using OutageRepairs = std::map<std::string, proto::Assign>;

/// @return whether a repair carries out a reservation of the folded state and nothing else: the
/// next generation, the last holder's fencing number, one member replaced by the reserved spare,
/// and only engines that check fencing numbers.
bool
CarriesOutReservation(const State& aState, const proto::Assign& aRepair);

/// @return the state with the repairs applied, except repairs that the folded state has superseded.
State
WithRepairs(const State& aState, const OutageRepairs& aRepairs);

/// Removes repairs that the folded state contains or has superseded.
/// @return whether any was removed.
bool
DropFolded(const State& aState, OutageRepairs* aRepairs);

} // namespace pepperbay
