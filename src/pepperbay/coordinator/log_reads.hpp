/// @file
/// @brief Decides when a node reads the store's logs itself and when it relies on records that
/// another node forwards. Pure.
///
/// Every call to the store is billed and the rate of all nodes together is limited. Nodes that each
/// follow the logs make 2.5 calls a second each (65 nodes, measured), which 1,300 nodes could not.
/// So one node of each data centre, the reader, reads and forwards the records. A node that
/// receives nothing from it, or misses records, reads for itself.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace pepperbay {

/// The logs that nodes follow; the values are part of messages.
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
  /// Records that the reader's heartbeat names and that have not arrived after this are lost. A
  /// reader sends a large configuration to sixty nodes within some 150 ms.
  static constexpr std::chrono::milliseconds kFeedTimeout{ 250 };

  /// No other node reads for this one.
  void ReadAll() { mReads.fill(true); }
  /// Another node may read for this one; its heartbeats will show.
  void ReadNothing() { mReads.fill(false); }
  /// Another node reads for this one.
  /// @param aReaderNext the reader's next offsets by its last heartbeat; empty: not stated
  /// @param aOwn this node's next offsets
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
