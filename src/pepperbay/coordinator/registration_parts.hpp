/// @file
/// @brief All registrations in pieces that fit a datagram, and together again. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

/// Engine to its registration, as the engine wrote it.
using RawRegistrations = std::map<std::string, std::string>;

std::uint64_t
HashOf(const RawRegistrations& aRegistrations);

/// @return replies that hold all of them, each with its part's number; at least one.
std::vector<proto::StateReply>
CutIntoParts(const RawRegistrations& aRegistrations, std::size_t aMostBytes);

/// Collects parts. Those of another hash begin anew: parts of two states must not be mixed.
class PartCollector
{
public:
  /// @return all registrations, once the last part has come.
  std::optional<RawRegistrations> Add(const proto::StateReply& aReply);

private:
  std::uint64_t mHash = 0;
  std::uint32_t mParts = 0;
  std::map<std::uint32_t, RawRegistrations> mGot; ///< by part
};

} // namespace pepperbay
