#include "connecting.hpp"

#include <boost/asio/error.hpp>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;

namespace {
/// Factor for the number of peers asked in each step. All of eight peers are asked in three steps,
/// within the connect timeout.
constexpr std::size_t kAskGrowth = 3;
}

Connecting::Connecting(EngineConnector* aConnector,
                       AttemptTarget aEngine,
                       EngineConnector::Done aDone)
  : mConnector(aConnector)
  , mEngine(std::move(aEngine))
  , mDone(std::move(aDone))
  , mBegun(aConnector->Now())
  , mSocket(aConnector->mContext)
{
}

void
Connecting::Start()
{
  mNextPeerAt = mBegun + mConnector->mOptions.mPeerAfter;
  if (mConnector->WayTo(mEngine.mEngine) == Way::kDirect || !AskMorePeers()) {
    BeginDirect();
  }
}

void
Connecting::BeginDirect()
{
  mDirect = Direct::kOnItsWay;
  mDirectBegun = mConnector->Now();
  mConnector->mHooks.mDial(
    mSocket, mEngine.mAddress, [self = shared_from_this()](boost::system::error_code aError) {
      if (!self->Over()) {
        self->OnDirect(aError);
      }
    });
}

void
Connecting::OnDirect(boost::system::error_code aError)
{
  if (!aError) {
    mConnector->OnConnected(mEngine.mEngine);
    Prepare(mSocket);
    EngineConnection connection;
    connection.mSocket.emplace(EngineSocket{ std::move(mSocket), "", nullptr });
    Finish(std::move(connection));
    return;
  }
  mDirect = FailureOf(aError);
  mWhy = "connect: " + aError.message();
  OnWayFailed();
}

Connecting::Direct
Connecting::FailureOf(boost::system::error_code aError)
{
  if (IsShortage(aError)) {
    return Direct::kNotTried;
  }
  return aError == asio::error::connection_refused ? Direct::kRefused : Direct::kFailed;
}

bool
Connecting::AskPeer()
{
  const TimePoint now = mConnector->Now();
  const ProxyPeer* peer = mConnector->mPeers.Pick(mEngine.mDataCentre, mAsked, now);
  if (peer == nullptr) {
    return false;
  }
  const bool fails = !mConnector->mPeers.Usable(peer->mNode, now);
  if (fails && mFailingAsked >= mConnector->mOptions.mMaxFailedPeers) {
    return false;
  }
  mFailingAsked += fails ? 1 : 0;
  mAsked.insert(peer->mNode);
  mConnector->mPeers.OnAsked(peer->mNode);
  mNextPeerAt = now + mConnector->mOptions.mPeerAfter;
  TunnelRequest request;
  request.mEngine = mEngine.mEngine;
  request.mFrom = mConnector->mOptions.mNode;
  request.mKey = peer->mKey;
  request.mWithin = mConnector->mOptions.mTimeout / 2; // leaves time for its answer to arrive
  auto cancel = mConnector->mHooks.mAskPeer(
    mConnector->mContext,
    *peer,
    mEngine.mAddress,
    request,
    [self = shared_from_this(), name = peer->mNode](OpenedTunnel aTunnel) {
      if (!self->Over()) {
        self->OnPeer(name, std::move(aTunnel));
      }
    });
  mOpenings[peer->mNode] = { std::move(cancel), now };
  return true;
}

bool
Connecting::AskMorePeers()
{
  bool asked = false;
  for (std::size_t n = std::exchange(mAskNext, mAskNext * kAskGrowth); n > 0 && AskPeer(); --n) {
    asked = true;
  }
  return asked;
}

void
Connecting::OnPeer(const std::string& aPeer, OpenedTunnel aTunnel)
{
  mOpenings.erase(aPeer);
  const bool away = SaysEngineIsAway(aTunnel.mAnswer, aTunnel.mSight);
  if (away || aTunnel.mSocket) {
    mConnector->mPeers.OnWorked(aPeer);
  } else {
    // A peer that is partitioned itself answers as promptly as others, so this counts as a failure.
    mConnector->mPeers.OnFailed(aPeer, mConnector->Now());
  }
  if (aTunnel.mSocket) {
    if (IsPathFault()) {
      mConnector->OnPathFault(mEngine.mEngine, mDirectBegun);
    } else {
      mConnector->mWays.OnReachedByPeer(mEngine.mEngine);
    }
    mConnector->mHooks.mOnCarried();
    EngineConnection connection;
    connection.mSocket.emplace(
      EngineSocket{ std::move(*aTunnel.mSocket), aPeer, mConnector->mPeers.CountTunnel(aPeer) });
    Finish(std::move(connection));
    return;
  }
  mHeardOf += away ? 1 : 0;
  mRefusals += away && aTunnel.mAnswer == TunnelAnswer::kRefused ? 1 : 0;
  OnWayFailed();
}

bool
Connecting::IsPathFault() const
{
  const bool hangs = mDirect == Direct::kOnItsWay &&
                     mConnector->Now() - mDirectBegun >= mConnector->mOptions.mPeerAfter;
  return hangs || mDirect == Direct::kRefused || mDirect == Direct::kFailed;
}

void
Connecting::OnWayFailed()
{
  if (!mOpenings.empty()) {
    return; // a pending tunnel may still be established
  }
  if (mDirect == Direct::kOnItsWay) {
    AskPeer(); // the pending direct connection must not delay the next peer
    return;
  }
  const bool decided = mDirect == Direct::kRefused ? mHeardOf >= 1 : mHeardOf >= 2;
  if (!decided && AskPeer()) {
    return;
  }
  if (mDirect == Direct::kNotBegun && mHeardOf == 0) {
    BeginDirect();
    return;
  }
  OnNoWay();
}

void
Connecting::OnNoWay()
{
  const bool here = mDirect == Direct::kRefused;
  const bool twoRefused = mRefusals + (here ? 1 : 0) >= 2;
  if (twoRefused || !here || mHeardOf > 0 || mConnector->Avoids()) {
    FinishUnconnected(twoRefused);
    return;
  }
  // No second node can tell. If this node reaches other engines, it is not partitioned, and its own
  // refusal is enough.
  if (!mConnector->mPeers.Any() && !mConnector->HasOtherEngine(mEngine.mEngine)) {
    FinishUnconnected(true);
    return;
  }
  mConnector->CheckReachability(mEngine.mEngine, mBegun, [self = shared_from_this()](bool aSees) {
    if (!self->Over()) {
      self->FinishUnconnected(aSees);
    }
  });
}

void
Connecting::FinishUnconnected(bool aGone)
{
  EngineConnection connection;
  connection.mGone = aGone;
  connection.mWhy = mWhy.empty() ? "connect: peers do not reach it" : mWhy;
  Finish(std::move(connection));
}

void
Connecting::Tick()
{
  const TimePoint now = mConnector->Now();
  if (now >= mBegun + mConnector->mOptions.mTimeout) {
    EngineConnection connection;
    connection.mWhy = mWhy.empty() ? "connect: no answer" : mWhy;
    Finish(std::move(connection));
    return;
  }
  if (now >= mNextPeerAt) {
    const TimePoint next = mNextPeerAt + mConnector->mOptions.mPeerAfter;
    if (!AskMorePeers() && mDirect == Direct::kNotBegun) {
      BeginDirect();
    }
    mNextPeerAt = next; // a late tick does not delay later steps
  }
}

void
Connecting::Finish(EngineConnection aConnection)
{
  for (auto& [peer, asked] : std::exchange(mOpenings, {})) {
    asked.mCancel();
    if (mConnector->Now() - asked.mAt >= mConnector->mOptions.mPeerAfter) {
      mConnector->mPeers.OnFailed(peer, mConnector->Now());
    }
  }
  if (!aConnection.mSocket || !aConnection.mSocket->mPeer.empty()) {
    CloseNow(mSocket);
  }
  std::exchange(mDone, nullptr)(std::move(aConnection));
}

void
Connecting::Cancel()
{
  mDone = nullptr;
  for (auto& [peer, asked] : std::exchange(mOpenings, {})) {
    asked.mCancel();
  }
  CloseNow(mSocket);
}

} // namespace pepperbay
