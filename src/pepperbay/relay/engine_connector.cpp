#include "engine_connector.hpp"

#include "connect_operation.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace pepperbay {

/// A direct connection that is opened to test the network path.
struct EngineConnector::DirectProbe
{
  DirectProbe(boost::asio::io_context& aContext, AttemptTarget aEngine)
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
  const auto operation = std::make_shared<ConnectOperation>(
    this, aEngine, [this, id, done = std::move(aDone)](EngineConnection aConnection) {
      mOperations.erase(id);
      done(std::move(aConnection));
    });
  mOperations[id] = operation;
  operation->Start();
  return id;
}

void
EngineConnector::Cancel(std::uint64_t aId)
{
  const auto it = mOperations.find(aId);
  if (it != mOperations.end()) {
    it->second->Cancel();
    mOperations.erase(it);
  }
}

void
EngineConnector::Tick()
{
  const TimePoint now = Now();
  // Copies, since a finished connect removes itself from the map.
  std::vector<std::shared_ptr<ConnectOperation>> operation;
  for (const auto& [id, it] : mOperations) {
    operation.push_back(it);
  }
  for (const auto& it : operation) {
    if (!it->IsFinished()) {
      it->Tick();
    }
  }
  for (const auto& it : std::vector<std::shared_ptr<DirectProbe>>(mProbes)) {
    if (it->mDone && now >= it->mUntil) {
      CloseNow(it->mSocket);
      std::exchange(it->mDone, nullptr)(false);
    }
  }
  mProbes.erase(std::remove_if(mProbes.begin(),
                               mProbes.end(),
                               [](const auto& aProbe) { return aProbe->mDone == nullptr; }),
                mProbes.end());
  if (mWays.TakeProbe(now)) {
    ProbeDirectPath();
  }
}

void
EngineConnector::ProbeDirectPath()
{
  const std::string reached = mWays.EngineToTry();
  const std::vector<AttemptTarget> engines = mHooks.mEngines();
  const auto it = std::find_if(
    engines.begin(), engines.end(), [&reached](const auto& aIt) { return aIt.mEngine == reached; });
  const auto engine = it == engines.end() ? NextToProbe({}) : std::make_optional(*it);
  if (engine) {
    ProbeDirect(*engine, mOptions.mTimeout, [this](bool aConnected) {
      if (!aConnected) {
        mWays.OnBadProbe(Now());
      }
    });
  }
}

std::optional<AttemptTarget>
EngineConnector::NextToProbe(const std::set<std::string>& aExcept)
{
  std::vector<AttemptTarget> engines = mHooks.mEngines();
  engines.erase(std::remove_if(engines.begin(),
                               engines.end(),
                               [&](const auto& aIt) { return aExcept.count(aIt.mEngine) != 0; }),
                engines.end());
  if (engines.empty()) {
    return std::nullopt;
  }
  return engines[mProbeIndex++ % engines.size()];
}

bool
EngineConnector::HasOtherEngine(const std::string& aEngine) const
{
  const std::vector<AttemptTarget> engines = mHooks.mEngines();
  return std::any_of(engines.begin(), engines.end(), [&aEngine](const AttemptTarget& aIt) {
    return aIt.mEngine != aEngine;
  });
}

void
EngineConnector::ProbeDirect(const AttemptTarget& aEngine,
                             Duration aWithin,
                             std::function<void(bool aConnected)> aDone)
{
  const auto probe = std::make_shared<DirectProbe>(mContext, aEngine);
  probe->mUntil = Now() + aWithin;
  probe->mDone = std::move(aDone);
  mProbes.push_back(probe);
  mHooks.mDial(probe->mSocket, aEngine.mAddress, [this, probe](boost::system::error_code aError) {
    if (!probe->mDone) {
      return;
    }
    const auto done = std::exchange(probe->mDone, nullptr);
    if (!aError) {
      OnConnected(probe->mEngine.mEngine);
      Prepare(probe->mSocket);
      mHooks.mOnProbeConnected(probe->mEngine, { std::move(probe->mSocket), "", nullptr });
    }
    done(!aError);
  });
}

void
EngineConnector::CheckReachability(const std::string& aEngine,
                                   TimePoint aSince,
                                   std::function<void(bool)> aDone)
{
  if (mLastConnected.OtherThan(aEngine) >= aSince) {
    aDone(true);
    return;
  }
  const auto other = NextToProbe({ aEngine });
  if (!other) {
    aDone(false);
    return;
  }
  ProbeDirect(*other, mOptions.mTimeout, std::move(aDone));
}

void
EngineConnector::ProbeIfDue(const AttemptTarget& aEngine)
{
  ProbeBackoff& backoff = mBackoffs[aEngine.mEngine];
  const TimePoint now = Now();
  if (now < backoff.mNext) {
    return;
  }
  const bool lately = now - backoff.mNext < mOptions.mMaxProbeInterval;
  backoff.mPause = lately && backoff.mPause > Duration::zero()
                     ? std::min(backoff.mPause * 2, mOptions.mMaxProbeInterval)
                     : mOptions.mProbeInterval;
  backoff.mNext = now + backoff.mPause;
  Connect(aEngine, [this, aEngine](EngineConnection aConnection) {
    if (aConnection.mSocket) {
      mHooks.mOnProbeConnected(aEngine, std::move(*aConnection.mSocket));
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
  mBackoffs.erase(aEngine);
}

void
EngineConnector::OnConnected(const std::string& aEngine)
{
  mHeardAt = Now();
  mLastConnected.Note(aEngine, mHeardAt);
  mWays.OnConnected(aEngine, mHeardAt);
  NotifyDirectPath();
}

void
EngineConnector::OnPathFault(const std::string& aEngine, TimePoint aBegun)
{
  if (mPendingFaults.count(aEngine) != 0) {
    return;
  }
  if (IsDirectPathDown() || mHeardAt >= aBegun) {
    RecordPathFault(aEngine, aBegun);
    return;
  }
  mPendingFaults[aEngine] = aBegun;
  // An engine that is probed for another fault may have become unreachable itself.
  mProbedForFaults.insert(aEngine);
  for (std::size_t i = 0; i < kProbesPerFault; ++i) {
    if (const auto other = NextToProbe(mProbedForFaults)) {
      mProbedForFaults.insert(other->mEngine);
      ++mFaultProbes;
      ProbeDirect(*other, mOptions.mTunnelDelay, [this](bool /*aConnected*/) {
        if (--mFaultProbes == 0) {
          RecordPendingFaults();
        }
      });
    }
  }
  if (mFaultProbes == 0) {
    RecordPendingFaults(); // there was no other engine to probe
  }
}

void
EngineConnector::RecordPendingFaults()
{
  mProbedForFaults.clear();
  for (const auto& [engine, begun] : std::exchange(mPendingFaults, {})) {
    RecordPathFault(engine, begun); // an answering engine has updated mHeardAt after `begun`
  }
}

void
EngineConnector::RecordPathFault(const std::string& aEngine, TimePoint aBegun)
{
  mWays.OnPathFault(aEngine, aBegun, Now());
  NotifyDirectPath();
}

void
EngineConnector::NotifyDirectPath()
{
  if (std::exchange(mNotifiedDown, mWays.Avoids()) != mWays.Avoids()) {
    mHooks.mOnDirectPathChange(mWays.Avoids());
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
