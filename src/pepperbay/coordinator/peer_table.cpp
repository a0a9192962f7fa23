#include "peer_table.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

PeerTable::PeerTable(std::string aSelf, Duration aSilence)
  : mSelf(std::move(aSelf))
  , mSilence(aSilence)
{
}

void
PeerTable::OnRecord(const proto::NodeRecord& aRecord)
{
  if (aRecord.node() == mSelf) {
    return;
  }
  KnownPeer& peer = mPeers[aRecord.node()];
  if (aRecord.incarnation() == peer.mIncarnation && aRecord.address() == peer.mAddress) {
    return;
  }
  peer = KnownPeer{};
  peer.mIncarnation = aRecord.incarnation();
  peer.mAddress = aRecord.address();
  peer.mAllocatorAddress = aRecord.desk_address();
  peer.mTunnelAddress = aRecord.tunnel_address();
  peer.mTunnelKey = aRecord.tunnel_key();
  peer.mDataCentre = aRecord.data_centre();
  peer.mCpuPermille = static_cast<int>(aRecord.cpu_permille());
  ++mRevision;
}

void
PeerTable::OnGone(const std::string& aNode)
{
  mPeers.erase(aNode);
  ++mRevision;
}

void
PeerTable::OnBeat(const std::string& aNode, const proto::Beat& aBeat, TimePoint aNow)
{
  KnownPeer& peer = mPeers[aNode];
  peer.mLastHeard = aNow;
  if (aBeat.wants_answer()) {
    peer.mLastAnswerWanted = aNow;
  }
  peer.mBeat = aBeat;
}

Duration
PeerTable::NoteBehind(const std::string& aNode, bool aBehind, TimePoint aNow)
{
  const auto it = mPeers.find(aNode);
  if (it == mPeers.end() || !aBehind) {
    if (it != mPeers.end()) {
      it->second.mBehindSince.reset();
    }
    return Duration::zero();
  }
  if (!it->second.mBehindSince) {
    it->second.mBehindSince = aNow;
  }
  return aNow - *it->second.mBehindSince;
}

bool
PeerTable::IsCurrent(const proto::PeerMessage& aMessage) const
{
  const KnownPeer* peer = Find(aMessage.node());
  return peer != nullptr && peer->mIncarnation == aMessage.incarnation();
}

bool
PeerTable::Alive(const KnownPeer& aPeer, TimePoint aNow) const
{
  return aPeer.mLastHeard != TimePoint{} && aNow - aPeer.mLastHeard < mSilence;
}

const KnownPeer*
PeerTable::Find(const std::string& aNode) const
{
  const auto it = mPeers.find(aNode);
  return it == mPeers.end() ? nullptr : &it->second;
}

bool
PeerTable::HasStronger(int aCpuPermille, TimePoint aNow) const
{
  constexpr int kRatio = 2;
  return aCpuPermille > 0 && std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
           const KnownPeer& peer = aPeer.second;
           return peer.mCpuPermille >= kRatio * aCpuPermille && Alive(peer, aNow) &&
                  !peer.mBeat.stopping();
         });
}

void
PeerTable::OnUnreached(const std::set<std::uint32_t>& aShortIds, TimePoint aNow)
{
  for (auto& [name, peer] : mPeers) {
    if (aShortIds.count(ShortId(name)) != 0) {
      peer.mReportedUnreached = aNow;
    }
  }
}

bool
PeerTable::Unreached(const KnownPeer& aPeer, TimePoint aNow) const
{
  const bool reported =
    aPeer.mReportedUnreached != TimePoint{} && aNow - aPeer.mReportedUnreached < mSilence;
  return Alive(aPeer, aNow) ? aPeer.mBeat.unreached() : reported;
}

ProxyPeers
PeerTable::Proxies(TimePoint aNow) const
{
  ProxyPeers proxies;
  for (const auto& [name, peer] : mPeers) {
    const bool stops = Alive(peer, aNow) && peer.mBeat.stopping();
    if (!peer.mTunnelAddress.empty() && !stops && !Unreached(peer, aNow)) {
      proxies.push_back({ name, peer.mTunnelAddress, peer.mTunnelKey, peer.mDataCentre });
    }
  }
  return proxies;
}

std::vector<std::string>
PeerTable::Correspondents(TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mLastAnswerWanted != TimePoint{} && aNow - peer.mLastAnswerWanted < mSilence) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace pepperbay
