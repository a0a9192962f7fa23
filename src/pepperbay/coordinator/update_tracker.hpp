/// @file
/// @brief The holder's word on each replica, as numbered changes that any node can pass on. Pure.
///
/// Told whole at every heartbeat, the news of 140 replicas were 6 kB to each of 295 nodes five
/// times a second. As changes they are some tens of bytes when something happens, and a number in
/// each heartbeat shows who has missed one.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

/// @return whether two words of one replica say the same.
bool
IsSameState(const proto::ReplicaNews& aLeft, const proto::ReplicaNews& aRight);

/// Of one tenure of the lease at a time. The holder writes, all others take what they are told.
class UpdateTracker
{
public:
  /// This node's tenure begins: nothing is known yet.
  void Begin(std::uint64_t aFence, TimePoint aNow);
  /// The holder stands by all of it.
  void Confirm(TimePoint aNow) { mAsOf = aNow; }
  /// @return whether this says anything new of the replica; it is then numbered.
  bool Put(proto::ReplicaNews aUpdate);
  /// Keep only the replicas for which `aIsKept` is true.
  void KeepOnly(const std::function<bool(const std::string& aGroup)>& aIsKept);

  enum class ApplyOutcome
  {
    kStale, ///< old
    kApplied,
    kGap, ///< changes before these have not come
  };
  /// Changes that another node passes on.
  ApplyOutcome ApplyChanges(const proto::NewsChanges& aChanges, TimePoint aNow);
  /// Another node's heartbeat names what it has. @return whether that is more than is known here
  bool OnNewest(const proto::Beat& aBeat, TimePoint aNow);

  /// @return what has changed since, bounded for one message; all when that much is not kept.
  proto::NewsChanges Since(std::uint64_t aFence, std::uint64_t aChange, TimePoint aNow) const;

  std::uint64_t Fence() const { return mFence; }
  std::uint64_t Change() const { return mChange; }
  /// When the holder stood by this for certain, by this node's clock.
  TimePoint AsOf() const { return mAsOf; }
  /// By name; without those that are gone.
  const std::map<std::string, proto::ReplicaNews>& Replicas() const { return mReplicas; }

private:
  void Apply(const proto::ReplicaNews& aUpdate);

  std::uint64_t mFence = 0;
  std::uint64_t mChange = 0;
  TimePoint mAsOf{};
  std::map<std::string, proto::ReplicaNews> mReplicas;
  std::deque<proto::ReplicaNews> mRemovals; ///< the last that went, in order
  std::uint64_t mDroppedUpTo = 0;           ///< older removals are not kept
};

} // namespace pepperbay
