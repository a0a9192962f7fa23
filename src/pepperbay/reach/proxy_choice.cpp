#include "pepperbay/reach/proxy_choice.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pepperbay {
namespace {

/// The lower, the sooner a peer is asked.
struct Rank
{
  bool mFails = false;
  bool mAside = false; ///< neither of the engine's data centre nor of this node's
  int mOpen = 0;       ///< tunnels of this node
  std::uint64_t mAsked = 0;
  std::uint64_t mHash = 0; ///< another order at each node

  bool operator<(const Rank& aOther) const
  {
    return std::tie(mFails, mAside, mOpen, mAsked, mHash) <
           std::tie(aOther.mFails, aOther.mAside, aOther.mOpen, aOther.mAsked, aOther.mHash);
  }
};

} // namespace

ProxyPeers
ChooseProxyPeers(const std::string& aNode,
                 const std::string& aDataCentre,
                 const ProxyPeers& aPeers,
                 std::size_t aMost)
{
  std::map<std::string, const ProxyPeer*> byName;
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& it : aPeers) {
    byName[it.mNode] = &it;
    (it.mDataCentre == aDataCentre ? near : far).push_back(it.mNode);
  }
  const std::size_t half = aMost / 2;
  const std::size_t ofFar = std::min(far.size(), aMost - std::min(near.size(), half));
  const std::size_t ofNear = std::min(near.size(), aMost - ofFar);
  ProxyPeers chosen;
  for (const auto& it : RendezvousTop(aNode, near, ofNear)) {
    chosen.push_back(*byName[it]);
  }
  for (const auto& it : RendezvousTop(aNode, far, ofFar)) {
    chosen.push_back(*byName[it]);
  }
  return chosen;
}

ProxyChoiceOptions
ProxyChoiceOptionsOf(const std::string& aNode, const std::string& aDataCentre)
{
  ProxyChoiceOptions options;
  options.mDataCentre = aDataCentre;
  options.mSeed = Hash64(aNode);
  return options;
}

ProxyChoice::ProxyChoice(ProxyChoiceOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
ProxyChoice::Fails(const std::string& aNode, TimePoint aNow) const
{
  const auto it = mFailures.find(aNode);
  return it != mFailures.end() && aNow < it->second.mUntil;
}

const ProxyPeer*
ProxyChoice::Pick(const std::string& aDataCentre,
                  const std::set<std::string>& aTried,
                  TimePoint aNow) const
{
  if (!mPeers) {
    return nullptr;
  }
  const ProxyPeer* best = nullptr;
  Rank bestRank;
  for (const auto& it : *mPeers) {
    if (aTried.count(it.mNode) != 0) {
      continue;
    }
    const bool fails = Fails(it.mNode, aNow);
    // Of those that fail, all have their turn: a data centre may be cut whole.
    const bool aside =
      !fails && it.mDataCentre != aDataCentre && it.mDataCentre != mOptions.mDataCentre;
    const auto open = mOpen->find(it.mNode);
    const auto asked = mAsked.find(it.mNode);
    const Rank rank{ fails,
                     aside,
                     open == mOpen->end() ? 0 : open->second,
                     asked == mAsked.end() ? 0 : asked->second,
                     Hash64(it.mNode, mOptions.mSeed) };
    if (best == nullptr || rank < bestRank) {
      best = &it;
      bestRank = rank;
    }
  }
  return best;
}

bool
ProxyChoice::SetPeers(std::shared_ptr<const ProxyPeers> aPeers)
{
  if (aPeers == mPeers) {
    return false;
  }
  mPeers = std::move(aPeers);
  for (auto it = mFailures.begin(); it != mFailures.end();) {
    it = Knows(it->first) ? std::next(it) : mFailures.erase(it);
  }
  for (auto it = mAsked.begin(); it != mAsked.end();) {
    it = Knows(it->first) ? std::next(it) : mAsked.erase(it);
  }
  return true;
}

bool
ProxyChoice::Knows(const std::string& aNode) const
{
  return mPeers && std::any_of(mPeers->begin(), mPeers->end(), [&aNode](const ProxyPeer& aPeer) {
           return aPeer.mNode == aNode;
         });
}

bool
ProxyChoice::Usable(const std::string& aNode, TimePoint aNow) const
{
  return Knows(aNode) && !Fails(aNode, aNow);
}

std::shared_ptr<void>
ProxyChoice::CountTunnel(const std::string& aNode)
{
  ++(*mOpen)[aNode];
  OnAsked(aNode);
  return { nullptr, [open = mOpen, aNode](void*) {
            const auto it = open->find(aNode);
            if (--it->second == 0) {
              open->erase(it);
            }
          } };
}

void
ProxyChoice::OnFailed(const std::string& aNode, TimePoint aNow)
{
  Failure& failure = mFailures[aNode];
  if (aNow < failure.mUntil) {
    return; // several requests found the same
  }
  failure.mPause = failure.mPause == Duration::zero()
                     ? mOptions.mPassOver
                     : std::min(failure.mPause * 2, mOptions.mMostPassOver);
  failure.mUntil = aNow + failure.mPause;
}

} // namespace pepperbay
