#include "peer_book.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

PeerBook::PeerBook(std::string aSelf, Duration aSilence)
  : mSelf(std::move(aSelf))
  , mSilence(aSilence)
{
}

void
PeerBook::OnRecord(const proto::NodeRecord& aRecord)
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
  peer.mDeskAddress = aRecord.desk_address();
  peer.mTunnelAddress = aRecord.tunnel_address();
  peer.mTunnelKey = aRecord.tunnel_key();
  peer.mDataCentre = aRecord.data_centre();
  peer.mCpuPermille = static_cast<int>(aRecord.cpu_permille());
  ++mRevision;
}

void
PeerBook::OnGone(const std::string& aNode)
{
  mPeers.erase(aNode);
  ++mRevision;
}

void
PeerBook::OnBeat(const std::string& aNode, const proto::Beat& aBeat, TimePoint aNow)
{
  KnownPeer& peer = mPeers[aNode];
  peer.mHeard = aNow;
  if (aBeat.wants_answer()) {
    peer.mWrote = aNow;
  }
  peer.mBeat = aBeat;
}

Duration
PeerBook::NoteBehind(const std::string& aNode, bool aBehind, TimePoint aNow)
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
PeerBook::IsCurrent(const proto::PeerMessage& aMessage) const
{
  const KnownPeer* peer = Find(aMessage.node());
  return peer != nullptr && peer->mIncarnation == aMessage.incarnation();
}

bool
PeerBook::Alive(const KnownPeer& aPeer, TimePoint aNow) const
{
  return aPeer.mHeard != TimePoint{} && aNow - aPeer.mHeard < mSilence;
}

const KnownPeer*
PeerBook::Find(const std::string& aNode) const
{
  const auto it = mPeers.find(aNode);
  return it == mPeers.end() ? nullptr : &it->second;
}

bool
PeerBook::HasStronger(int aCpuPermille, TimePoint aNow) const
{
  constexpr int kRatio = 2;
  return aCpuPermille > 0 && std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
           const KnownPeer& peer = aPeer.second;
           return peer.mCpuPermille >= kRatio * aCpuPermille && Alive(peer, aNow) &&
                  !peer.mBeat.stopping();
         });
}

void
PeerBook::OnUnreached(const std::set<std::uint32_t>& aShortIds, TimePoint aNow)
{
  for (auto& [name, peer] : mPeers) {
    if (aShortIds.count(ShortId(name)) != 0) {
      peer.mReportedUnreached = aNow;
    }
  }
}

bool
PeerBook::Unreached(const KnownPeer& aPeer, TimePoint aNow) const
{
  const bool told =
    aPeer.mReportedUnreached != TimePoint{} && aNow - aPeer.mReportedUnreached < mSilence;
  return Alive(aPeer, aNow) ? aPeer.mBeat.unreached() : told;
}

ProxyPeers
PeerBook::Proxies(TimePoint aNow) const
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
PeerBook::Correspondents(TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mWrote != TimePoint{} && aNow - peer.mWrote < mSilence) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace pepperbay
