#include "peer_book.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// A silent peer gets heartbeats for this long, so that both ends of a cut find each other again
/// soon; after it, its next start writes a new record.
constexpr std::chrono::seconds kWorthSending{ 30 };
}

PeerBook::PeerBook(std::string aSelf, Duration aSilence)
  : mSelf(std::move(aSelf))
  , mSilence(aSilence)
{
}

void
PeerBook::OnRecord(const proto::NodeRecord& aRecord, TimePoint aNow)
{
  if (aRecord.node() == mSelf) {
    return;
  }
  KnownPeer& peer = mPeers[aRecord.node()];
  if (aRecord.incarnation() == peer.mIncarnation && aRecord.address() == peer.mAddress) {
    return;
  }
  peer.mIncarnation = aRecord.incarnation();
  peer.mAddress = aRecord.address();
  peer.mDataCentre = aRecord.data_centre();
  peer.mCpuPermille = static_cast<int>(aRecord.cpu_permille());
  peer.mKnown = aNow;
  peer.mHeard = TimePoint{};
  peer.mBehindSince.reset();
  peer.mBeat.Clear();
}

bool
PeerBook::OnBeat(const proto::NodeBeat& aBeat, TimePoint aNow)
{
  if (!IsCurrent(aBeat)) {
    return false;
  }
  KnownPeer& peer = mPeers[aBeat.node()];
  peer.mHeard = aNow;
  peer.mBeat = aBeat;
  return true;
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
PeerBook::IsCurrent(const proto::NodeBeat& aBeat) const
{
  const auto it = mPeers.find(aBeat.node());
  return it != mPeers.end() && it->second.mIncarnation == aBeat.incarnation();
}

bool
PeerBook::Alive(const KnownPeer& aPeer, TimePoint aNow) const
{
  return aPeer.mHeard != TimePoint{} && aNow - aPeer.mHeard < mSilence;
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

int
PeerBook::AliveCount(TimePoint aNow) const
{
  int n = 1;
  for (const auto& [name, peer] : mPeers) {
    n += Alive(peer, aNow) ? 1 : 0;
  }
  return n;
}

std::vector<std::string>
PeerBook::AliveNodes(TimePoint aNow) const
{
  std::vector<std::string> nodes = { mSelf };
  for (const auto& [name, peer] : mPeers) {
    if (Alive(peer, aNow)) {
      nodes.push_back(name);
    }
  }
  return nodes;
}

std::vector<PeerAddress>
PeerBook::Addresses(TimePoint aNow) const
{
  std::vector<PeerAddress> addresses;
  for (const auto& [name, peer] : mPeers) {
    const TimePoint last = std::max(peer.mHeard, peer.mKnown);
    if (aNow - last < kWorthSending) {
      addresses.push_back({ name, peer.mAddress });
    }
  }
  return addresses;
}

} // namespace pepperbay
