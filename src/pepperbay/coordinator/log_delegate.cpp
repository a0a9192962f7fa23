#include "log_delegate.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

LogDelegate::LogDelegate(LogDelegateOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
LogDelegate::Tick(const PeerBook& aPeers,
                  bool aLost,
                  const std::array<std::uint64_t, kFollowedLogs>& aNext,
                  TimePoint aNow)
{
  if (aNow >= mChooseDue) {
    mChooseDue = aNow + mOptions.mChooseEvery;
    Choose(aPeers, aLost, aNow);
  }
  const auto delegate = aPeers.Peers().find(mDelegate);
  if (IsDelegate() || delegate == aPeers.Peers().end()) {
    mReads.fill(true);
    mHeard = false;
    return;
  }
  mHeard = aNow - delegate->second.mHeard < mOptions.mSilence;
  const auto& next = delegate->second.mBeat.log_next();
  const bool told = static_cast<std::size_t>(next.size()) == kFollowedLogs;
  for (std::size_t i = 0; i < kFollowedLogs; ++i) {
    const bool behind = told && next[static_cast<int>(i)] > aNext[i];
    if (!behind) {
      mBehindSince[i].reset();
    } else if (!mBehindSince[i]) {
      mBehindSince[i] = aNow;
    }
    const bool missed = behind && aNow - *mBehindSince[i] >= mOptions.mFeedLate;
    mReads[i] = !mHeard || !told || missed;
  }
}

void
LogDelegate::Choose(const PeerBook& aPeers, bool aLost, TimePoint aNow)
{
  std::vector<const KnownPeer*> alive;
  std::size_t here = 1;
  int most = mOptions.mCpuPermille;
  for (const auto& [name, peer] : aPeers.Peers()) {
    if (aPeers.Alive(peer, aNow)) {
      alive.push_back(&peer);
      here += peer.mDataCentre == mOptions.mDataCentre ? 1 : 0;
      most = std::max(most, peer.mCpuPermille);
    }
  }
  const bool all = here < mOptions.mLeastNodes;
  mDependants.clear();
  std::vector<std::string> able;
  std::vector<std::string> weak; // better than nobody
  const auto add = [&](const std::string& aName, int aCpuPermille) {
    (2 * aCpuPermille >= most ? able : weak).push_back(aName);
  };
  if (!aLost) {
    add(mOptions.mNode, mOptions.mCpuPermille);
  }
  for (const auto* it : alive) {
    if (!all && it->mDataCentre != mOptions.mDataCentre) {
      continue;
    }
    mDependants.push_back(it->mAddress);
    if (!it->mBeat.store_lost() && !it->mBeat.stopping()) {
      add(it->mBeat.node(), it->mCpuPermille);
    }
  }
  const auto first = RendezvousTop("store's logs", able.empty() ? weak : able, 1);
  mDelegate = first.empty() ? mOptions.mNode : first.front();
}

} // namespace pepperbay
