/// @file
/// @brief Which node reads the store's logs for others, and when a node reads for itself. Pure.
///
/// Every call to the store is paid for and all nodes together may make only so many a second. Nodes
/// that each follow the logs make 2.5 calls a second each (65 nodes, measured), which 1,300 nodes
/// could not. So one node of each data centre reads, and passes on what it has read. One that has
/// lost the store says so and the next takes over; a node that does not hear its delegate, or
/// misses records, reads for itself.
#pragma once

#include "peer_book.hpp"

#include <array>
#include <string>

namespace pepperbay {

/// The logs that nodes follow; the values stand in messages.
enum class FollowedLog : std::size_t
{
  kConfiguration = 0,
  kEngines = 1,
  kNodes = 2,
};
constexpr std::size_t kFollowedLogs = 3;

struct LogDelegateOptions
{
  std::string mNode;
  std::string mDataCentre;
  int mCpuPermille = 0; ///< of this node; nodes with less than half of the most do not read
  /// A data centre with fewer nodes shares the delegate of all nodes.
  std::size_t mLeastNodes = 5;
  /// A delegate that was not heard for so long is not relied on: five heartbeats, and short enough
  /// that an engine's leaving is known in time.
  Duration mSilence = std::chrono::milliseconds(1000);
  /// Records that a heartbeat of the delegate names and that have not come after this are lost.
  Duration mFeedLate = std::chrono::milliseconds(80);
  /// Who reads is looked at this often: half a heartbeat.
  Duration mChooseEvery = std::chrono::milliseconds(100);
};

class LogDelegate
{
public:
  explicit LogDelegate(LogDelegateOptions aOptions);

  /// Look at who is there; call every tick.
  /// @param aLost this node's last call to the logs failed
  /// @param aNext offsets after the last records known here
  void Tick(const PeerBook& aPeers,
            bool aLost,
            const std::array<std::uint64_t, kFollowedLogs>& aNext,
            TimePoint aNow);

  /// @return whether this node reads for the others.
  bool IsDelegate() const { return mDelegate == mOptions.mNode; }
  bool HasDependants() const { return IsDelegate() && !mDependants.empty(); }
  /// @return whether another node reads for this one and was heard lately.
  bool IsHeard() const { return mHeard; }
  /// The node that reads for this one; its own name when it reads itself.
  const std::string& Name() const { return mDelegate; }
  /// @return whether this node should read the log itself now.
  bool Reads(FollowedLog aLog) const { return mReads[static_cast<std::size_t>(aLog)]; }
  /// Addresses of the nodes that rely on this one, when it is the delegate.
  const std::vector<std::string>& Dependants() const { return mDependants; }

private:
  void Choose(const PeerBook& aPeers, bool aLost, TimePoint aNow);

  LogDelegateOptions mOptions;
  TimePoint mChooseDue{};
  std::string mDelegate;
  bool mHeard = false;
  std::vector<std::string> mDependants;
  std::array<bool, kFollowedLogs> mReads{ true, true, true };
  std::array<std::optional<TimePoint>, kFollowedLogs> mBehindSince{};
};

} // namespace pepperbay
