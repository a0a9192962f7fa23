#include "connect_operation.hpp"

#include <boost/asio/error.hpp>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;

namespace {
/// Factor for the number of peers asked in each step. All of eight peers are asked in three steps,
/// within the connect timeout.
constexpr std::size_t kAskGrowth = 3;
}

ConnectOperation::ConnectOperation(EngineConnector* aConnector,
                                   AttemptTarget aEngine,
                                   EngineConnector::Done aDone)
  : mConnector(aConnector)
  , mEngine(std::move(aEngine))
  , mDone(std::move(aDone))
  , mStartedAt(aConnector->Now())
  , mSocket(aConnector->mContext)
{
}

void
ConnectOperation::Start()
{
  mNextPeerAt = mStartedAt + mConnector->mOptions.mTunnelDelay;
  if (mConnector->WayTo(mEngine.mEngine) == Way::kDirect || !AskMorePeers()) {
    StartDirect();
  }
}

void
ConnectOperation::StartDirect()
{
  mDirect = Direct::kPending;
  mDirectStartedAt = mConnector->Now();
  mConnector->mHooks.mDial(
    mSocket, mEngine.mAddress, [self = shared_from_this()](boost::system::error_code aError) {
      if (!self->IsFinished()) {
        self->OnDirect(aError);
      }
    });
}

void
ConnectOperation::OnDirect(boost::system::error_code aError)
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
  mReason = "connect: " + aError.message();
  OnPathFailed();
}

ConnectOperation::Direct
ConnectOperation::FailureOf(boost::system::error_code aError)
{
  if (IsShortage(aError)) {
    return Direct::kNotTried;
  }
  return aError == asio::error::connection_refused ? Direct::kRefused : Direct::kFailed;
}

bool
ConnectOperation::AskPeer()
{
  const TimePoint now = mConnector->Now();
  const ProxyPeer* peer = mConnector->mPeers.Pick(mEngine.mDataCentre, mAsked, now);
  if (peer == nullptr) {
    return false;
  }
  const bool fails = !mConnector->mPeers.Usable(peer->mNode, now);
  if (fails && mFailedPeersAsked >= mConnector->mOptions.mMaxFailedPeers) {
    return false;
  }
  mFailedPeersAsked += fails ? 1 : 0;
  mAsked.insert(peer->mNode);
  mConnector->mPeers.OnAsked(peer->mNode);
  mNextPeerAt = now + mConnector->mOptions.mTunnelDelay;
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
      if (!self->IsFinished()) {
        self->OnPeer(name, std::move(aTunnel));
      }
    });
  mPendingTunnels[peer->mNode] = { std::move(cancel), now };
  return true;
}

bool
ConnectOperation::AskMorePeers()
{
  bool asked = false;
  for (std::size_t n = std::exchange(mPeersToAsk, mPeersToAsk * kAskGrowth); n > 0 && AskPeer();
       --n) {
    asked = true;
  }
  return asked;
}

void
ConnectOperation::OnPeer(const std::string& aPeer, OpenedTunnel aTunnel)
{
  mPendingTunnels.erase(aPeer);
  const bool away = SaysEngineIsAway(aTunnel.mAnswer, aTunnel.mSight);
  if (away || aTunnel.mSocket) {
    mConnector->mPeers.OnWorked(aPeer);
  } else {
    // A peer that is partitioned itself answers as promptly as others, so this counts as a failure.
    mConnector->mPeers.OnFailed(aPeer, mConnector->Now());
  }
  if (aTunnel.mSocket) {
    if (IsPathFault()) {
      mConnector->OnPathFault(mEngine.mEngine, mDirectStartedAt);
    } else {
      mConnector->mWays.OnReachedByPeer(mEngine.mEngine);
    }
    mConnector->mHooks.mOnTunnelled();
    EngineConnection connection;
    connection.mSocket.emplace(
      EngineSocket{ std::move(*aTunnel.mSocket), aPeer, mConnector->mPeers.CountTunnel(aPeer) });
    Finish(std::move(connection));
    return;
  }
  mAwayReports += away ? 1 : 0;
  mRefusals += away && aTunnel.mAnswer == TunnelAnswer::kRefused ? 1 : 0;
  OnPathFailed();
}

bool
ConnectOperation::IsPathFault() const
{
  const bool hangs = mDirect == Direct::kPending &&
                     mConnector->Now() - mDirectStartedAt >= mConnector->mOptions.mTunnelDelay;
  return hangs || mDirect == Direct::kRefused || mDirect == Direct::kFailed;
}

void
ConnectOperation::OnPathFailed()
{
  if (!mPendingTunnels.empty()) {
    return; // a pending tunnel may still be established
  }
  if (mDirect == Direct::kPending) {
    AskPeer(); // the pending direct connection must not delay the next peer
    return;
  }
  const bool decided = mDirect == Direct::kRefused ? mAwayReports >= 1 : mAwayReports >= 2;
  if (!decided && AskPeer()) {
    return;
  }
  if (mDirect == Direct::kNotStarted && mAwayReports == 0) {
    StartDirect();
    return;
  }
  OnNoPathLeft();
}

void
ConnectOperation::OnNoPathLeft()
{
  const bool here = mDirect == Direct::kRefused;
  const bool twoRefused = mRefusals + (here ? 1 : 0) >= 2;
  if (twoRefused || !here || mAwayReports > 0 || mConnector->IsDirectPathDown()) {
    FinishFailed(twoRefused);
    return;
  }
  // No second node can tell. If this node reaches other engines, it is not partitioned, and its own
  // refusal is enough.
  if (!mConnector->mPeers.Any() && !mConnector->HasOtherEngine(mEngine.mEngine)) {
    FinishFailed(true);
    return;
  }
  mConnector->CheckReachability(
    mEngine.mEngine, mStartedAt, [self = shared_from_this()](bool aSees) {
      if (!self->IsFinished()) {
        self->FinishFailed(aSees);
      }
    });
}

void
ConnectOperation::FinishFailed(bool aNotListening)
{
  EngineConnection connection;
  connection.mNotListening = aNotListening;
  connection.mReason = mReason.empty() ? "connect: peers do not reach it" : mReason;
  Finish(std::move(connection));
}

void
ConnectOperation::Tick()
{
  const TimePoint now = mConnector->Now();
  if (now >= mStartedAt + mConnector->mOptions.mTimeout) {
    EngineConnection connection;
    connection.mReason = mReason.empty() ? "connect: no answer" : mReason;
    Finish(std::move(connection));
    return;
  }
  if (now >= mNextPeerAt) {
    const TimePoint next = mNextPeerAt + mConnector->mOptions.mTunnelDelay;
    if (!AskMorePeers() && mDirect == Direct::kNotStarted) {
      StartDirect();
    }
    mNextPeerAt = next; // a late tick does not delay later steps
  }
}

void
ConnectOperation::Finish(EngineConnection aConnection)
{
  for (auto& [peer, asked] : std::exchange(mPendingTunnels, {})) {
    asked.mCancel();
    if (mConnector->Now() - asked.mAt >= mConnector->mOptions.mTunnelDelay) {
      mConnector->mPeers.OnFailed(peer, mConnector->Now());
    }
  }
  if (!aConnection.mSocket || !aConnection.mSocket->mPeer.empty()) {
    CloseNow(mSocket);
  }
  std::exchange(mDone, nullptr)(std::move(aConnection));
}

void
ConnectOperation::Cancel()
{
  mDone = nullptr;
  for (auto& [peer, asked] : std::exchange(mPendingTunnels, {})) {
    asked.mCancel();
  }
  CloseNow(mSocket);
}

} // namespace pepperbay
