#include "host_watch.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {

HostWatch::HostWatch(const ControlSettings& aSettings, std::string aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
}

std::vector<ProbeTarget>
HostWatch::Due(const std::vector<ProbeTarget>& aHosts,
               const std::vector<std::string>& aAliveNodes,
               TimePoint aNow)
{
  // Owners change only with the members or the hosts; hashing all of them each tick would cost a
  // node of the target size more than everything else here.
  if (aAliveNodes != mOwnersNodes || aHosts.size() != mOwnersHosts) {
    mOwnersNodes = aAliveNodes;
    mOwnersHosts = aHosts.size();
    mOwnersFor.clear();
    std::vector<std::string> nodes = aAliveNodes;
    nodes.push_back(mSelf);
    const auto count = static_cast<std::size_t>(mSettings.mProbersPerHost);
    for (const auto& it : aHosts) {
      const auto owners = RendezvousTop(it.mHost, nodes, count);
      if (std::find(owners.begin(), owners.end(), mSelf) != owners.end()) {
        mOwnersFor.insert(it.mHost);
      }
    }
    for (auto& [host, own] : mOwn) {
      own.mMine = mOwnersFor.count(host) > 0;
    }
  }
  std::vector<ProbeTarget> due;
  for (const auto& it : aHosts) {
    if (mOwnersFor.count(it.mHost) == 0) {
      continue;
    }
    Own& own = mOwn[it.mHost];
    own.mMine = true;
    if (own.mInFlight || aNow < own.mNext) {
      continue;
    }
    own.mInFlight = true;
    own.mNext = aNow + mSettings.mProbe;
    ++mProbes;
    due.push_back(it);
  }
  return due;
}

void
HostWatch::OnProbe(const std::string& aHost,
                   const Result<proto::Evidence>& aAnswer,
                   TimePoint aSentAt)
{
  Own& own = mOwn[aHost];
  own.mInFlight = false;
  if (!aAnswer.has_value()) {
    return;
  }
  own.mEvidence = aAnswer.value();
  own.mEvidence.set_host(aHost);
  own.mSentAt = aSentAt;
  mTable.Merge(own.mEvidence, aSentAt);
}

void
HostWatch::OnPeerEvidence(const std::string& /*aPeer*/,
                          const proto::Heartbeat& aHeartbeat,
                          TimePoint aSentNoEarlier)
{
  for (const auto& it : aHeartbeat.evidence()) {
    mTable.Merge(it, aSentNoEarlier - std::chrono::milliseconds(it.age_ms()));
  }
}

void
HostWatch::Share(proto::Heartbeat* aHeartbeat, TimePoint aNow)
{
  for (auto& [host, own] : mOwn) {
    const Duration age = aNow - own.mSentAt;
    if (!own.mMine || own.mEvidence.host().empty() || age > mSettings.mFreshness) {
      continue;
    }
    proto::Evidence& shared = *aHeartbeat->add_evidence();
    shared = own.mEvidence;
    // Rounded up: evidence may look older than it is, never newer.
    shared.set_age_ms(static_cast<std::uint32_t>(ToMs(age).count() + 1));
  }
}

} // namespace pepperbay
