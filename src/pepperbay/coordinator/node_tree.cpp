#include "node_tree.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pepperbay {

NodeTree::NodeTree(NodeTreeOptions aOptions)
  : mOptions(std::move(aOptions))
  , mFollowed(mOptions.mNode)
{
}

bool
NodeTree::InScope(const std::string& aDataCentre) const
{
  return mSharesDelegates || aDataCentre == mOptions.mDataCentre;
}

void
NodeTree::Rank(const PeerTable& aPeers)
{
  struct Listed
  {
    std::vector<std::pair<std::string, int>> mNodes; ///< names and CPU
    int mMaxCpuPermille = 0;
  };
  std::set<std::string> centres = { mOptions.mDataCentre };
  for (const auto& [name, peer] : aPeers.Peers()) {
    centres.insert(peer.mDataCentre);
  }
  const std::size_t nodes = aPeers.Peers().size() + 1;
  mSharesDelegates = nodes < mOptions.mMinNodes * centres.size();
  std::map<std::string, Listed> scopes;
  const auto add = [&](const std::string& aName, const std::string& aCentre, int aCpu) {
    Listed& scope = scopes[mSharesDelegates ? std::string() : aCentre];
    scope.mNodes.emplace_back(aName, aCpu);
    scope.mMaxCpuPermille = std::max(scope.mMaxCpuPermille, aCpu);
  };
  add(mOptions.mNode, mOptions.mDataCentre, mOptions.mCpuPermille);
  for (const auto& [name, peer] : aPeers.Peers()) {
    add(name, peer.mDataCentre, peer.mCpuPermille);
  }
  mScope = mSharesDelegates ? std::string() : mOptions.mDataCentre;
  mOrders.clear();
  for (const auto& [key, scope] : scopes) {
    std::vector<std::string> able;
    std::vector<std::string> weak; // better than none
    for (const auto& [name, cpu] : scope.mNodes) {
      (2 * cpu >= scope.mMaxCpuPermille ? able : weak).push_back(name);
    }
    auto& order = mOrders[key];
    order = RendezvousTop("delegates", able, able.size());
    for (auto& it : RendezvousTop("delegates", weak, weak.size())) {
      order.push_back(std::move(it));
    }
  }
}

NodeTree::Standing
NodeTree::StandingOf(const std::string& aNode, const PeerTable& aPeers, TimePoint aNow) const
{
  const KnownPeer* peer = aPeers.Find(aNode);
  if (peer == nullptr) {
    return Standing::kSilent;
  }
  if (peer->mLastHeard != TimePoint{} && aNow - peer->mLastHeard < mOptions.mSilence) {
    return Standing::kHeard;
  }
  const auto watched = mWatched.find(aNode);
  if (watched == mWatched.end()) {
    return Standing::kUnknown;
  }
  // After a pause of this process all nodes seem silent; each must be given time to be heard from
  // again.
  const TimePoint since = std::max({ watched->second, peer->mLastHeard, mLastPauseEnd });
  return aNow - since < mOptions.mSilence ? Standing::kUnknown : Standing::kSilent;
}

void
NodeTree::Watch(const std::string& aNode, TimePoint aNow)
{
  mWatched.emplace(aNode, aNow);
  mSelected.insert(aNode);
}

std::vector<std::string>
NodeTree::Select(const std::vector<std::string>& aOrder,
                 const PeerTable& aPeers,
                 const OwnState* aOwn,
                 TimePoint aNow)
{
  std::vector<std::string> selected;
  for (const auto& it : aOrder) {
    if (selected.size() >= mOptions.mDelegates) {
      break;
    }
    if (it == mOptions.mNode) {
      if (aOwn != nullptr && !aOwn->mStopping) {
        selected.push_back(it);
      }
      continue;
    }
    const Standing standing = StandingOf(it, aPeers, aNow);
    const KnownPeer* peer = aPeers.Find(it);
    if (standing != Standing::kSilent && !peer->mBeat.stopping()) {
      selected.push_back(it);
      Watch(it, aNow);
    } else if (aNow - mLastTried[it] >= mOptions.mRetry) {
      mLastTried[it] = aNow;
      mProbes.insert(it);
    }
  }
  return selected;
}

void
NodeTree::ChooseReader(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow)
{
  mReader.clear();
  mCandidate = false;
  bool heard = false;
  bool waits = false; // for the answer of a node that may be able to read
  std::size_t seen = 0;
  for (const auto& it : mOrders[mScope]) {
    if (seen >= mOptions.mCandidates) {
      break;
    }
    if (it == mOptions.mNode) {
      ++seen;
      mCandidate = true;
      if (!aOwn.mStoreLost && mReader.empty()) {
        return; // no node that ranks higher can read
      }
      continue;
    }
    const Standing standing = StandingOf(it, aPeers, aNow);
    if (standing == Standing::kSilent) {
      continue;
    }
    ++seen;
    const KnownPeer* peer = aPeers.Find(it);
    const bool able = !peer->mBeat.store_lost() && !peer->mBeat.stopping();
    heard = heard || standing == Standing::kHeard;
    if (mReader.empty() && able && !waits) {
      Watch(it, aNow);
      waits = standing == Standing::kUnknown;
      mReader = waits ? std::string() : it;
    }
  }
  if (mReader.empty() && heard && !mCandidate) {
    // No node can read, and the candidates keep trying. A call from every other node as well would
    // be hundreds a second to a store that is down.
    mReader = mFollowed;
  }
}

void
NodeTree::ChooseOthers(const PeerTable& aPeers, TimePoint aNow)
{
  mOthers.clear();
  if (!mInUpperTier) {
    return;
  }
  for (const auto& [scope, order] : mOrders) {
    if (scope == mScope) {
      continue;
    }
    auto& heard = mOthers[scope];
    for (const auto& it : Select(order, aPeers, nullptr, aNow)) {
      if (StandingOf(it, aPeers, aNow) == Standing::kHeard) {
        heard.push_back(it);
      }
    }
  }
}

void
NodeTree::Choose(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow)
{
  mSelected.clear();
  const auto selected = Select(mOrders[mScope], aPeers, &aOwn, aNow);
  mDelegates.clear();
  mFollowed.clear();
  bool own = false;
  for (const auto& it : selected) {
    const bool self = it == mOptions.mNode;
    own = own || self;
    if (self || StandingOf(it, aPeers, aNow) == Standing::kHeard) {
      mFollowed = mFollowed.empty() ? it : mFollowed;
      if (!self) {
        mDelegates.push_back(it);
      }
    }
  }
  if (mFollowed.empty()) {
    mFollowed = mOptions.mNode;
  }
  ChooseReader(aPeers, aOwn, aNow);
  const bool readerless = mReader.empty() && !mCandidate;
  mReaderlessSince = !readerless                       ? TimePoint{}
                     : mReaderlessSince == TimePoint{} ? aNow
                                                       : mReaderlessSince;
  mAwaitsReader = readerless && aNow - mReaderlessSince < mOptions.mAwaitReader;
  mInUpperTier = own || aOwn.mHoldsLease || !aPeers.Correspondents(aNow).empty();
  ChooseOthers(aPeers, aNow);
  if (mInUpperTier && aPeers.Find(aOwn.mHolder) != nullptr) {
    Watch(aOwn.mHolder, aNow);
  }
  for (auto it = mWatched.begin(); it != mWatched.end();) {
    // A silent node stays in the list until it is heard from, or it would seem new at the next
    // choice.
    const bool wanted = mSelected.count(it->first) != 0;
    const bool silent = StandingOf(it->first, aPeers, aNow) == Standing::kSilent;
    it =
      wanted || (silent && aPeers.Find(it->first) != nullptr) ? std::next(it) : mWatched.erase(it);
  }
}

void
NodeTree::Tick(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow)
{
  if (aNow - mTicked > mOptions.mSilence / 2) {
    mLastPauseEnd = aNow;
  }
  mTicked = aNow;
  if (mRankedOf != aPeers.Revision()) {
    mRankedOf = aPeers.Revision();
    mChooseDue = aNow;
    Rank(aPeers);
  }
  if (aNow >= mChooseDue) {
    mChooseDue = aNow + mOptions.mChooseEvery;
    Choose(aPeers, aOwn, aNow);
  }
}

std::set<std::string>
NodeTree::TakeTargets()
{
  std::set<std::string> targets = std::exchange(mProbes, {});
  targets.insert(mSelected.begin(), mSelected.end());
  return targets;
}

} // namespace pepperbay
