/// @file
/// @brief When a node reads the store's logs itself and when it goes by what another passes on.
/// Pure.
///
/// Every call to the store is paid for and all nodes together may make only so many a second. Nodes
/// that each follow the logs make 2.5 calls a second each (65 nodes, measured), which 1,300 nodes
/// could not. So one node of each data centre reads, and passes on what it has read. A node that
/// does not hear it, or misses records, reads for itself.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace pepperbay {

/// The logs that nodes follow; the values stand in messages.
enum class FollowedLog : std::size_t
{
  kConfiguration = 0,
  kEngines = 1,
  kNodes = 2,
};
constexpr std::size_t kFollowedLogs = 3;

using LogOffsets = std::array<std::uint64_t, kFollowedLogs>;

class LogReads
{
public:
  /// Records that a heartbeat of the reader names and that have not come after this are lost. A
  /// reader sends a large configuration to sixty nodes within some 150 ms.
  static constexpr std::chrono::milliseconds kFeedTimeout{ 250 };

  /// Nobody reads for this node.
  void ReadAll() { mReads.fill(true); }
  /// Somebody may; that will show in a moment.
  void ReadNothing() { mReads.fill(false); }
  /// Another node reads.
  /// @param aReaderNext how far it has read, by its last heartbeat; empty: it did not say
  /// @param aOwn how far this node has been told
  void RelyOn(const std::vector<std::uint64_t>& aReaderNext,
              const LogOffsets& aOwn,
              TimePoint aNow);

  /// @return whether this node should read the log itself now.
  bool Reads(FollowedLog aLog) const { return mReads[static_cast<std::size_t>(aLog)]; }

private:
  std::array<bool, kFollowedLogs> mReads{ true, true, true };
  std::array<std::optional<TimePoint>, kFollowedLogs> mBehindSince{};
};

} // namespace pepperbay
