/// @file
/// @brief What customers use, added up over nodes and data centres, and the summaries between them.

#include "controller_impl.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/log/log.hpp"

#include <algorithm>

namespace pepperbay {

UsageByProfile
Controller::Impl::TotalUsage(const UsageByProfile& aOwn) const
{
  const TimePoint now = mHooks.mNow();
  UsageByProfile total = aOwn;
  for (const auto& [node, word] : mWords) {
    if (mRoster.StatusOf(node, now) != PeerStatus::kAlive) {
      continue;
    }
    for (const auto& [profile, customers] : word.mUsage) {
      for (const auto& [customer, usage] : customers) {
        total[profile][customer].mRunning += usage.mRunning;
        total[profile][customer].mWaiting += usage.mWaiting;
      }
    }
  }
  return total;
}

void
Controller::Impl::AddUsage(const UsageByProfile& aUsage, proto::Heartbeat* aHeartbeat)
{
  for (const auto& [profile, customers] : aUsage) {
    for (const auto& [customer, usage] : customers) {
      proto::Usage& shared = *aHeartbeat->add_usage();
      shared.set_profile(profile);
      shared.set_customer(customer);
      shared.set_running(static_cast<std::uint32_t>(usage.mRunning));
      shared.set_waiting(static_cast<std::uint32_t>(usage.mWaiting));
    }
  }
}

void
Controller::Impl::OnUsage(const std::string& aFrom, const proto::Heartbeat& aHeartbeat)
{
  UsageByProfile usage;
  for (const auto& it : aHeartbeat.usage()) {
    usage[it.profile()][it.customer()] = { it.running(), it.waiting() };
  }
  if (!aHeartbeat.usage_total()) {
    mWords[aFrom].mUsage = std::move(usage);
    return;
  }
  if (aFrom == Collector()) {
    mUsageTotal = std::move(usage);
    mUsageTotalAt = mHooks.mNow();
    mUsageInTotal = mUsageTold;
  }
}

/// The own data centre for the others, and the others for the nodes here.
void
Controller::Impl::AddSummaries(proto::Heartbeat* aHeartbeat) const
{
  const TimePoint now = mHooks.mNow();
  proto::DataCentreSummary& own = *aHeartbeat->add_summaries();
  own.set_data_centre(mSettings.mPlace.mDataCentre);
  std::uint64_t least = mState.Next();
  std::uint32_t alive = 1;
  std::uint32_t known = 1;
  own.add_entries(mSettings.mPlace.mCallers);
  for (const auto& [name, peer] : mRoster.Peers()) {
    if (peer.mDataCentre != mSettings.mPlace.mDataCentre) {
      continue;
    }
    ++known;
    if (peer.mHeard && mRoster.StatusOf(name, now) == PeerStatus::kAlive) {
      ++alive;
      least = std::min(least, peer.mApplied);
      constexpr int kEntries = 3;
      if (!peer.mStopping && own.entries_size() < kEntries) {
        own.add_entries(peer.mCallerAddress);
      }
    }
  }
  own.set_least_applied(least);
  own.set_nodes_alive(alive);
  own.set_nodes_known(known);
  std::map<std::string, std::uint32_t> whole;
  for (const auto& [key, report] : mReports) {
    if (report.mWholeness == Wholeness::kWhole) {
      const auto it = mState.Content().replicas().find(key.mReplica);
      if (it != mState.Content().replicas().end()) {
        ++whole[it->second.assign().profile()];
      }
    }
  }
  for (const auto& [profile, n] : whole) {
    std::uint32_t used = 0;
    const auto usage = mUsageTotal.find(profile);
    if (usage != mUsageTotal.end()) {
      for (const auto& [customer, it] : usage->second) {
        used += static_cast<std::uint32_t>(it.mRunning);
      }
    }
    proto::ProfileCapacity& capacity = *own.add_capacity();
    const std::uint32_t slots =
      n * static_cast<std::uint32_t>(mSettings.mRequests.mSlotsPerReplica);
    capacity.set_profile(profile);
    capacity.set_whole_replicas(n);
    capacity.set_free_slots(slots > used ? slots - used : 0);
  }
  for (const auto& [centre, remote] : mRemotes) {
    proto::DataCentreSummary& shared = *aHeartbeat->add_summaries();
    shared = remote.mSummary;
    shared.set_age_ms(static_cast<std::uint32_t>(ToMs(now - remote.mSaid).count()));
  }
}

} // namespace pepperbay
