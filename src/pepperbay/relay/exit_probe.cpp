#include "exit_probe.hpp"

#include <utility>

namespace pepperbay {

ExitProbe::ExitProbe(EngineConnector* aConnector,
                     NowFn aNow,
                     ConnectionPool* aPool,
                     OnFound aOnExited,
                     OnFound aOnAlive)
  : mConnector(aConnector)
  , mNow(std::move(aNow))
  , mPool(aPool)
  , mOnExited(std::move(aOnExited))
  , mOnAlive(std::move(aOnAlive))
{
}

void
ExitProbe::OnInterrupted(const AttemptTarget& aEngine, InterruptedRequest aRequest)
{
  Pending& pending = mPending[EngineIncarnationHash(aEngine.mEngine, aEngine.mBorn)];
  if (pending.mRequests.empty()) {
    pending.mTarget = aEngine;
    pending.mProbeAt = mNow() + kProbeDelay;
  }
  if (pending.mRequests.size() < kMaxPendingRequests) {
    pending.mRequests.push_back(std::move(aRequest));
  }
}

void
ExitProbe::Tick()
{
  const TimePoint now = mNow();
  for (auto& [engine, pending] : mPending) {
    if (!pending.mProbed && now >= pending.mProbeAt) {
      pending.mProbed = true;
      mConnector->Connect(pending.mTarget, [this, id = engine](EngineConnection aConnection) {
        OnAnswer(id, std::move(aConnection));
      });
    }
  }
}

void
ExitProbe::OnAnswer(std::uint64_t aEngine, EngineConnection aConnection)
{
  const auto it = mPending.find(aEngine);
  if (it == mPending.end()) {
    return;
  }
  const Pending pending = std::move(it->second);
  mPending.erase(it);
  if (aConnection.mNotListening) {
    mOnExited(pending.mTarget, pending.mRequests);
  } else if (aConnection.mSocket) {
    if (aConnection.mSocket->mPeer.empty()) {
      mOnAlive(pending.mTarget, pending.mRequests);
    }
    mPool->Put(pending.mTarget.mEngine, std::move(*aConnection.mSocket), std::nullopt, 1);
  }
}

} // namespace pepperbay
