/// @file
/// @brief Rendezvous hashing: every node computes the same owners of a key from the same members.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pepperbay {

/// @return a 64-bit hash that is the same on every node and in every version.
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/// @return the lower half of an id's hash. Messages between nodes name engines so: a third of an
/// id's bytes, and among 10,000 engines one pair in 90 deployments has the same.
std::uint32_t
ShortId(std::string_view aId);

std::set<std::uint32_t>
ShortIds(const std::set<std::string>& aIds);

/// The members that own a key, best first.
///
/// A member that joins or leaves moves only its own keys. Cost: one hash per member.
///
/// @param aKey the thing to be owned
/// @param aMembers candidates; order does not matter
/// @param aCount how many owners; fewer come back when there are fewer members
///
/// @code
/// auto probers = RendezvousTop("host-17", nodes, 2);
/// @endcode
std::vector<std::string>
RendezvousTop(std::string_view aKey, const std::vector<std::string>& aMembers, std::size_t aCount);

} // namespace pepperbay
