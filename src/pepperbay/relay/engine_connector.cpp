#include "engine_connector.hpp"

#include "connecting.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace pepperbay {

/// A direct connection that is opened to test the network path.
struct EngineConnector::Trial
{
  Trial(boost::asio::io_context& aContext, AttemptTarget aEngine)
    : mSocket(aContext)
    , mEngine(std::move(aEngine))
  {
  }

  Socket mSocket;
  AttemptTarget mEngine;
  TimePoint mUntil{};
  std::function<void(bool)> mDone; ///< null once it is finished
};

std::function<void()>
OpenTunnel(boost::asio::io_context& aContext,
           const ProxyPeer& aPeer,
           const std::string& aAddress,
           const TunnelRequest& aRequest,
           TunnelOpening::Done aDone)
{
  const auto opening = std::make_shared<TunnelOpening>(aContext);
  opening->Start(aPeer, aAddress, aRequest, std::move(aDone));
  return [opening] { opening->Cancel(); };
}

EngineConnector::EngineConnector(boost::asio::io_context& aContext,
                                 EngineConnectorOptions aOptions,
                                 EngineConnectorHooks aHooks)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mPeers(ProxyChoiceOptionsOf(mOptions.mNode, mOptions.mDataCentre))
{
}

EngineConnector::~EngineConnector() = default;

std::uint64_t
EngineConnector::Connect(const AttemptTarget& aEngine, Done aDone)
{
  const std::uint64_t id = ++mLastId;
  const auto connecting = std::make_shared<Connecting>(
    this, aEngine, [this, id, done = std::move(aDone)](EngineConnection aConnection) {
      mConnecting.erase(id);
      done(std::move(aConnection));
    });
  mConnecting[id] = connecting;
  connecting->Start();
  return id;
}

void
EngineConnector::Cancel(std::uint64_t aId)
{
  const auto it = mConnecting.find(aId);
  if (it != mConnecting.end()) {
    it->second->Cancel();
    mConnecting.erase(it);
  }
}

void
EngineConnector::Tick()
{
  const TimePoint now = Now();
  // Copies, since a finished connect removes itself from the map.
  std::vector<std::shared_ptr<Connecting>> connecting;
  for (const auto& [id, it] : mConnecting) {
    connecting.push_back(it);
  }
  for (const auto& it : connecting) {
    if (!it->Over()) {
      it->Tick();
    }
  }
  for (const auto& it : std::vector<std::shared_ptr<Trial>>(mTrials)) {
    if (it->mDone && now >= it->mUntil) {
      CloseNow(it->mSocket);
      std::exchange(it->mDone, nullptr)(false);
    }
  }
  mTrials.erase(std::remove_if(mTrials.begin(),
                               mTrials.end(),
                               [](const auto& aTrial) { return aTrial->mDone == nullptr; }),
                mTrials.end());
  if (mWays.TakeProbe(now)) {
    TryWay();
  }
}

void
EngineConnector::TryWay()
{
  const std::string reached = mWays.EngineToTry();
  const std::vector<AttemptTarget> engines = mHooks.mEngines();
  const auto it = std::find_if(
    engines.begin(), engines.end(), [&reached](const auto& aIt) { return aIt.mEngine == reached; });
  const auto engine = it == engines.end() ? NextToTry({}) : std::make_optional(*it);
  if (engine) {
    Try(*engine, mOptions.mTimeout, [this](bool aStands) {
      if (!aStands) {
        mWays.OnBadProbe(Now());
      }
    });
  }
}

std::optional<AttemptTarget>
EngineConnector::NextToTry(const std::set<std::string>& aExcept)
{
  std::vector<AttemptTarget> engines = mHooks.mEngines();
  engines.erase(std::remove_if(engines.begin(),
                               engines.end(),
                               [&](const auto& aIt) { return aExcept.count(aIt.mEngine) != 0; }),
                engines.end());
  if (engines.empty()) {
    return std::nullopt;
  }
  return engines[mTried++ % engines.size()];
}

bool
EngineConnector::HasOther(const std::string& aEngine) const
{
  const std::vector<AttemptTarget> engines = mHooks.mEngines();
  return std::any_of(engines.begin(), engines.end(), [&aEngine](const AttemptTarget& aIt) {
    return aIt.mEngine != aEngine;
  });
}

void
EngineConnector::Try(const AttemptTarget& aEngine,
                     Duration aWithin,
                     std::function<void(bool aStands)> aDone)
{
  const auto trial = std::make_shared<Trial>(mContext, aEngine);
  trial->mUntil = Now() + aWithin;
  trial->mDone = std::move(aDone);
  mTrials.push_back(trial);
  mHooks.mDial(trial->mSocket, aEngine.mAddress, [this, trial](boost::system::error_code aError) {
    if (!trial->mDone) {
      return;
    }
    const auto done = std::exchange(trial->mDone, nullptr);
    if (!aError) {
      OnConnected(trial->mEngine.mEngine);
      Prepare(trial->mSocket);
      mHooks.mKeep(trial->mEngine, { std::move(trial->mSocket), "", nullptr });
    }
    done(!aError);
  });
}

void
EngineConnector::FindSight(const std::string& aEngine,
                           TimePoint aSince,
                           std::function<void(bool)> aDone)
{
  if (mLastStood.OtherThan(aEngine) >= aSince) {
    aDone(true);
    return;
  }
  const auto other = NextToTry({ aEngine });
  if (!other) {
    aDone(false);
    return;
  }
  Try(*other, mOptions.mTimeout, std::move(aDone));
}

void
EngineConnector::Look(const AttemptTarget& aEngine)
{
  Looked& looked = mLooked[aEngine.mEngine];
  const TimePoint now = Now();
  if (now < looked.mNext) {
    return;
  }
  const bool lately = now - looked.mNext < mOptions.mMaxProbeInterval;
  looked.mPause = lately && looked.mPause > Duration::zero()
                    ? std::min(looked.mPause * 2, mOptions.mMaxProbeInterval)
                    : mOptions.mProbeInterval;
  looked.mNext = now + looked.mPause;
  Connect(aEngine, [this, aEngine](EngineConnection aConnection) {
    if (aConnection.mSocket) {
      mHooks.mKeep(aEngine, std::move(*aConnection.mSocket));
    }
  });
}

void
EngineConnector::OnHeard(const std::string& aEngine, const std::string& aPeer)
{
  if (!aPeer.empty()) {
    mPeers.OnWorked(aPeer);
    return;
  }
  mHeardAt = Now();
  mHeardOf[aEngine] = mHeardAt;
  mWays.OnHeard(mHeardAt);
}

TimePoint
EngineConnector::HeardAt(const std::string& aEngine) const
{
  const auto it = mHeardOf.find(aEngine);
  return it == mHeardOf.end() ? TimePoint{} : it->second;
}

void
EngineConnector::Forget(const std::string& aEngine)
{
  mHeardOf.erase(aEngine);
  mLooked.erase(aEngine);
}

void
EngineConnector::OnConnected(const std::string& aEngine)
{
  mHeardAt = Now();
  mLastStood.Note(aEngine, mHeardAt);
  mWays.OnConnected(aEngine, mHeardAt);
  TellAvoid();
}

void
EngineConnector::OnPathFault(const std::string& aEngine, TimePoint aBegun)
{
  if (mFaultsLooked.count(aEngine) != 0) {
    return;
  }
  if (Avoids() || mHeardAt >= aBegun) {
    NotePathFault(aEngine, aBegun);
    return;
  }
  mFaultsLooked[aEngine] = aBegun;
  // An engine that is probed for another fault may have become unreachable itself.
  mTriedForFaults.insert(aEngine);
  for (std::size_t i = 0; i < kLooksAtFault; ++i) {
    if (const auto other = NextToTry(mTriedForFaults)) {
      mTriedForFaults.insert(other->mEngine);
      ++mLooks;
      Try(*other, mOptions.mPeerAfter, [this](bool /*aStands*/) {
        if (--mLooks == 0) {
          NoteLookedFaults();
        }
      });
    }
  }
  if (mLooks == 0) {
    NoteLookedFaults(); // there was no other engine to probe
  }
}

void
EngineConnector::NoteLookedFaults()
{
  mTriedForFaults.clear();
  for (const auto& [engine, begun] : std::exchange(mFaultsLooked, {})) {
    NotePathFault(engine, begun); // an answering engine has updated mHeardAt after `begun`
  }
}

void
EngineConnector::NotePathFault(const std::string& aEngine, TimePoint aBegun)
{
  mWays.OnPathFault(aEngine, aBegun, Now());
  TellAvoid();
}

void
EngineConnector::TellAvoid()
{
  if (std::exchange(mToldAvoid, mWays.Avoids()) != mWays.Avoids()) {
    mHooks.mOnAvoid(mWays.Avoids());
  }
}

void
EngineConnector::OnPeerSilent(const std::string& aPeer)
{
  mPeers.OnFailed(aPeer, Now());
}

bool
EngineConnector::SetPeers(std::shared_ptr<const ProxyPeers> aPeers)
{
  return mPeers.SetPeers(std::move(aPeers));
}

Way
EngineConnector::WayTo(const std::string& aEngine) const
{
  return mWays.WayTo(aEngine, Now());
}

bool
EngineConnector::MayUse(const std::string& aEngine, const std::string& aPeer) const
{
  if (WayTo(aEngine) == Way::kDirect) {
    return aPeer.empty();
  }
  return aPeer.empty() ? !mPeers.Any() : mPeers.Usable(aPeer, Now());
}

} // namespace pepperbay
