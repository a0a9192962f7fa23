#include "host_watch.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {

HostWatch::HostWatch(const ControlSettings& aSettings, int aSlots, std::string aSelf)
  : mSettings(aSettings)
  , mSlots(static_cast<std::uint32_t>(aSlots))
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
    due.push_back(it);
  }
  return due;
}

bool
HostWatch::OnProbe(const std::string& aHost,
                   const Result<proto::Evidence>& aAnswer,
                   TimePoint aSentAt)
{
  Own& own = mOwn[aHost];
  own.mInFlight = false;
  own.mAnswered = aAnswer.has_value();
  if (!aAnswer.has_value()) {
    return false;
  }
  const std::uint64_t before = EvidenceSignature(own.mEvidence, mSlots);
  own.mEvidence = aAnswer.value();
  own.mEvidence.set_host(aHost);
  own.mSentAt = aSentAt;
  mTable.Merge(own.mEvidence, aSentAt);
  return EvidenceSignature(own.mEvidence, mSlots) != before;
}

bool
HostWatch::OnPeerEvidence(const std::string& aPeer,
                          const proto::Heartbeat& aHeartbeat,
                          TimePoint aSentNoEarlier)
{
  const TimePoint said = aSentNoEarlier - std::chrono::milliseconds(aHeartbeat.evidence_age_ms());
  EvidenceReceiver& receiver = mReceivers[aPeer];
  const bool complete = receiver.Take(aHeartbeat, mSlots);
  if (complete) {
    for (const auto& [host, word] : receiver.Words()) {
      mTable.Merge(word, said);
    }
    return true;
  }
  for (const auto& it : aHeartbeat.evidence()) {
    if (!it.withdrawn()) {
      mTable.Merge(it, said);
    }
  }
  return false;
}

std::vector<proto::Evidence>
HostWatch::Current(TimePoint aNow, Duration* aOldest) const
{
  std::vector<proto::Evidence> current;
  *aOldest = Duration::zero();
  for (const auto& [host, own] : mOwn) {
    const Duration age = aNow - own.mSentAt;
    if (own.mMine && own.mAnswered && age <= mSettings.mFreshness) {
      current.push_back(own.mEvidence);
      *aOldest = std::max(*aOldest, age);
    }
  }
  return current;
}

void
HostWatch::Share(proto::Heartbeat* aHeartbeat, TimePoint aNow)
{
  Duration oldest{ 0 };
  const auto current = Current(aNow, &oldest);
  const bool full = aNow >= mNextFull;
  if (full) {
    mNextFull = aNow + kFullEvery;
  }
  mSender.Fill(current, oldest, mSlots, full, aHeartbeat);
}

void
HostWatch::ShareAll(proto::Heartbeat* aHeartbeat, TimePoint aNow) const
{
  Duration oldest{ 0 };
  const auto current = Current(aNow, &oldest);
  EvidenceSender once;
  once.Fill(current, oldest, mSlots, true, aHeartbeat);
}

} // namespace pepperbay
