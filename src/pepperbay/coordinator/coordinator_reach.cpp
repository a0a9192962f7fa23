/// Paths to engines: whether this node reaches them directly, and which peers it tunnels through
/// otherwise.
#include "coordinator_impl.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// Nodes named in one heartbeat; a data centre of the largest fleet has some 130.
constexpr int kMaxNamedNodes = 256;

} // namespace

EngineSuspicionsHooks
Coordinator::Impl::SuspicionsHooks()
{
  EngineSuspicionsHooks hooks;
  hooks.mNow = mHooks.mNow;
  hooks.mAsk = [this](const EngineRecord& aEngine,
                      const EngineCallOptions& aOptions,
                      const std::function<void(Result<EngineReport>)>& aDone) {
    mCalls.Ask(aEngine,
               aOptions,
               [this, id = aEngine.mId, aOptions, aDone](const Result<EngineReport>& aReport) {
                 const bool answered =
                   aReport.has_value() || aReport.error().mCode != Errc::kCancelled;
                 NoteProxy(aOptions, answered);
                 if (aReport.has_value() && aOptions.mVia) {
                   mPaths.OnReachedByPeer(id);
                 }
                 if (aReport.has_value() && !aOptions.mVia) {
                   mPaths.OnConnected(id, Now());
                 }
                 aDone(aReport);
               });
  };
  hooks.mOnAnswer = [this](const EngineRecord& aEngine, const EngineReport& aReport) {
    OnReport(aEngine, aReport);
  };
  hooks.mOnChange = [this](const EngineRecord& aEngine, const EngineVerdict& aVerdict) {
    OnEngineChange(aEngine, aVerdict);
  };
  hooks.mMayAsk = [this] { return mCalls.RoomForStatusRequest(); };
  hooks.mPickPeer = [this](const EngineRecord& aEngine, const std::set<std::string>& aTried) {
    const ProxyPeer* peer = mProxies.Pick(aEngine.mDataCentre, aTried, Now());
    if (peer != nullptr) {
      mProxies.OnAsked(peer->mNode);
    }
    return peer == nullptr ? std::nullopt : std::make_optional(*peer);
  };
  hooks.mHasPeers = [this] { return !mPeers.Peers().empty(); };
  hooks.mIsUnreached = [this] { return IsUnreached(); };
  hooks.mCheckReachability = [this](const EngineRecord& aNotThis, std::function<void(bool)> aDone) {
    mReachabilityProbes.Find(aNotThis, std::move(aDone));
  };
  hooks.mOnPathFault = [this](const EngineRecord& aEngine, TimePoint aBegun) {
    mPaths.OnPathFault(aEngine.mId, aBegun, Now());
  };
  return hooks;
}

void
Coordinator::Impl::SetReach(bool aReaches)
{
  mTrafficUnreached = !aReaches;
}

bool
Coordinator::Impl::HasReachingPeer() const
{
  const auto& peers = mPeers.Peers();
  return std::any_of(peers.begin(), peers.end(), [this](const auto& aPeer) {
    const KnownPeer& peer = aPeer.second;
    return mPeers.Alive(peer, Now()) && !peer.mBeat.unreached() && !peer.mBeat.stopping();
  });
}

EngineCallOptions
Coordinator::Impl::CallOptions(const std::string& aEngine,
                               const std::string& aDataCentre,
                               Duration aTimeout)
{
  EngineCallOptions options{ aTimeout, std::nullopt };
  if (mTrafficUnreached || mPaths.WayTo(aEngine, Now()) == Way::kPeer) {
    if (const ProxyPeer* peer = mProxies.Pick(aDataCentre, {}, Now())) {
      options.mVia = *peer;
    }
  }
  return options;
}

void
Coordinator::Impl::NoteProxy(const EngineCallOptions& aOptions, bool aAnswered)
{
  if (!aOptions.mVia) {
    return;
  }
  if (aAnswered) {
    mProxies.OnWorked(aOptions.mVia->mNode);
  } else {
    mProxies.OnFailed(aOptions.mVia->mNode, Now());
  }
}

ReachabilityProbesHooks
Coordinator::Impl::ReachabilityHooks()
{
  ReachabilityProbesHooks hooks;
  hooks.mPick = [this](const EngineRecord& aNotThis) { return PickProbeTarget(aNotThis); };
  hooks.mAsk = [this](const EngineRecord& aEngine, std::function<void(bool)> aDone) {
    ProbeReachability(aEngine, std::move(aDone));
  };
  return hooks;
}

const EngineRecord*
Coordinator::Impl::PickProbeTarget(const EngineRecord& aNotThis)
{
  std::vector<const EngineRecord*> others;
  /// Under suspicion, or in the same domain, where engines are lost together
  std::vector<const EngineRecord*> lessSuitable;
  for (const auto& [id, engine] : mDirectory.Engines()) {
    if (id == aNotThis.mId || mEngineSuspicions.IsLost(id)) {
      continue;
    }
    const bool neighbour = !engine.mDomain.empty() && engine.mDomain == aNotThis.mDomain;
    (neighbour || mEngineSuspicions.IsAsked(id) ? lessSuitable : others).push_back(&engine);
  }
  const auto& from = others.empty() ? lessSuitable : others;
  return from.empty() ? nullptr : from[mNextProbe++ % from.size()];
}

void
Coordinator::Impl::ProbeReachability(const EngineRecord& aEngine, std::function<void(bool)> aDone)
{
  EngineCallOptions options{ mOptions.mAskTimeout, std::nullopt };
  options.mOwnConnection = true;
  mCalls.Ask(
    aEngine,
    options,
    [this, id = aEngine.mId, done = std::move(aDone)](const Result<EngineReport>& aReport) {
      if (aReport.has_value()) {
        mPaths.OnConnected(id, Now());
      }
      done(aReport.has_value());
    });
}

void
Coordinator::Impl::ProbePaths()
{
  if (!mPaths.TakeProbe(Now()) || mDirectory.Engines().empty()) {
    return;
  }
  auto it = mDirectory.Engines().find(mPaths.EngineToTry());
  if (it == mDirectory.Engines().end()) {
    it = mDirectory.Engines().begin();
    std::advance(it, static_cast<std::ptrdiff_t>(mNextProbe++ % mDirectory.Engines().size()));
  }
  ProbeReachability(it->second, [this](bool aAnswered) {
    if (!aAnswered) {
      mPaths.OnBadProbe(Now());
    }
  });
}

void
Coordinator::Impl::UpdateProxies()
{
  const TimePoint now = Now();
  if (mReportedUnreached != IsUnreached()) {
    mReportedUnreached = IsUnreached();
    mHeartbeatDue = now; // from now on others do not tunnel through this node, and tunnel for it
  }
  std::size_t of = mPeers.Revision();
  for (const auto& [name, peer] : mPeers.Peers()) {
    const bool out = mPeers.Unreached(peer, now) || peer.mBeat.stopping();
    of = of * 31 + (out ? ShortId(name) : 0);
  }
  if (of == mProxiesOf) {
    return;
  }
  mProxiesOf = of;
  mProxyPeers = std::make_shared<const ProxyPeers>(ChooseProxyPeers(
    mOptions.mNode, mOptions.mDataCentre, mPeers.Proxies(now), mOptions.mMaxProxies));
  mProxies.SetPeers(mProxyPeers);
  mPublishDue = now;
}

void
Coordinator::Impl::NoteUnreached(const proto::Beat& aBeat)
{
  if (aBeat.unreached_nodes_size() > 0) {
    mPeers.OnUnreached({ aBeat.unreached_nodes().begin(), aBeat.unreached_nodes().end() }, Now());
  }
}

void
Coordinator::Impl::AddUnreached(bool aToFollower, proto::Beat* aBeat)
{
  if (!mTree.IsInUpperTier()) {
    return;
  }
  for (const auto& [name, peer] : mPeers.Peers()) {
    // Reports of other nodes go to followers only, or two delegates would repeat them to each other
    // for ever.
    const bool reports = mPeers.Alive(peer, Now()) ? peer.mBeat.unreached()
                                                   : aToFollower && mPeers.Unreached(peer, Now());
    if (reports && aBeat->unreached_nodes_size() < kMaxNamedNodes) {
      aBeat->add_unreached_nodes(ShortId(name));
    }
  }
}

} // namespace pepperbay
