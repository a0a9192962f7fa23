#include "update_tracker.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pepperbay {
namespace {

/// Removals kept for nodes that have missed them; a node that is further behind gets the complete
/// state.
constexpr std::size_t kMaxRemovals = 256;
/// Changes in one message: at some 80 bytes each well within one datagram.
constexpr std::size_t kMaxInMessage = 400;

Duration
FromNs(std::uint64_t aNs)
{
  return Duration(static_cast<Duration::rep>(aNs));
}

} // namespace

bool
IsSameState(const proto::ReplicaNews& aLeft, const proto::ReplicaNews& aRight)
{
  return aLeft.epoch() == aRight.epoch() && aLeft.open() == aRight.open() &&
         aLeft.lost() == aRight.lost();
}

void
UpdateTracker::Begin(std::uint64_t aFence, TimePoint aNow)
{
  *this = UpdateTracker{};
  mFence = aFence;
  mAsOf = aNow;
}

bool
UpdateTracker::Put(proto::ReplicaNews aUpdate)
{
  const auto known = mReplicas.find(aUpdate.group());
  if (known != mReplicas.end() && IsSameState(known->second, aUpdate)) {
    return false;
  }
  aUpdate.set_change(++mChange);
  mReplicas[aUpdate.group()] = std::move(aUpdate);
  return true;
}

void
UpdateTracker::KeepOnly(const std::function<bool(const std::string& aGroup)>& aIsKept)
{
  std::vector<std::string> removed;
  for (const auto& [group, update] : mReplicas) {
    if (!aIsKept(group)) {
      removed.push_back(group);
    }
  }
  for (const auto& it : removed) {
    proto::ReplicaNews update;
    update.set_group(it);
    update.set_gone(true);
    update.set_change(++mChange);
    Apply(update);
  }
}

void
UpdateTracker::Apply(const proto::ReplicaNews& aUpdate)
{
  if (!aUpdate.gone()) {
    mReplicas[aUpdate.group()] = aUpdate;
    return;
  }
  mReplicas.erase(aUpdate.group());
  mRemovals.push_back(aUpdate);
  if (mRemovals.size() > kMaxRemovals) {
    mDroppedUpTo = mRemovals.front().change();
    mRemovals.pop_front();
  }
}

UpdateTracker::ApplyOutcome
UpdateTracker::ApplyChanges(const proto::NewsChanges& aChanges, TimePoint aNow)
{
  if (aChanges.fence() < mFence || (aChanges.fence() == mFence && aChanges.to() <= mChange)) {
    return ApplyOutcome::kStale;
  }
  const bool complete = aChanges.from() == 0;
  if (!complete && (aChanges.fence() != mFence || aChanges.from() > mChange)) {
    return ApplyOutcome::kGap;
  }
  if (complete) {
    Begin(aChanges.fence(), aNow);
  }
  for (const auto& it : aChanges.replicas()) {
    if (complete || it.change() > mChange) {
      Apply(it);
    }
  }
  mChange = aChanges.to();
  mAsOf = std::max(complete ? TimePoint{} : mAsOf, aNow - FromNs(aChanges.age_ns()));
  return ApplyOutcome::kApplied;
}

bool
UpdateTracker::OnNewest(const proto::Beat& aBeat, TimePoint aNow)
{
  if (aBeat.news_fence() == mFence && aBeat.news_change() == mChange) {
    // A node with the same state knows how long ago the holder confirmed it.
    mAsOf = std::max(mAsOf, aNow - FromNs(aBeat.news_age_ns()));
  }
  return aBeat.news_fence() > mFence ||
         (aBeat.news_fence() == mFence && aBeat.news_change() > mChange);
}

proto::NewsChanges
UpdateTracker::Since(std::uint64_t aFence, std::uint64_t aChange, TimePoint aNow) const
{
  const bool complete = aFence != mFence || aChange < mDroppedUpTo;
  const std::uint64_t from = complete ? 0 : aChange;
  std::vector<const proto::ReplicaNews*> changed;
  for (const auto& [group, update] : mReplicas) {
    if (update.change() > from) {
      changed.push_back(&update);
    }
  }
  if (!complete) {
    for (const auto& it : mRemovals) {
      if (it.change() > from) {
        changed.push_back(&it);
      }
    }
  }
  std::sort(changed.begin(), changed.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->change() < aRight->change();
  });
  proto::NewsChanges changes;
  changes.set_fence(mFence);
  changes.set_from(from);
  changes.set_to(mChange);
  if (changed.size() > kMaxInMessage) {
    changed.resize(kMaxInMessage);
    changes.set_to(changed.back()->change());
  }
  for (const auto* it : changed) {
    *changes.add_replicas() = *it;
  }
  changes.set_age_ns(
    static_cast<std::uint64_t>(std::max<Duration::rep>(0, (aNow - mAsOf).count())));
  return changes;
}

} // namespace pepperbay
