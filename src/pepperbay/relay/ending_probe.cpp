#include "ending_probe.hpp"

#include <utility>

namespace pepperbay {

EndingProbe::EndingProbe(EngineConnector* aConnector,
                         NowFn aNow,
                         ConnectionPool* aPool,
                         OnFound aOnEnded,
                         OnFound aOnAlive)
  : mConnector(aConnector)
  , mNow(std::move(aNow))
  , mPool(aPool)
  , mOnEnded(std::move(aOnEnded))
  , mOnAlive(std::move(aOnAlive))
{
}

void
EndingProbe::OnBrokenOff(const AttemptTarget& aEngine, BrokenOff aRequest)
{
  Pending& pending = mPending[EngineIncarnationHash(aEngine.mEngine, aEngine.mBorn)];
  if (pending.mRequests.empty()) {
    pending.mTarget = aEngine;
    pending.mAskAt = mNow() + kAskAfter;
  }
  if (pending.mRequests.size() < kMostKept) {
    pending.mRequests.push_back(std::move(aRequest));
  }
}

void
EndingProbe::Tick()
{
  const TimePoint now = mNow();
  for (auto& [engine, pending] : mPending) {
    if (!pending.mAsked && now >= pending.mAskAt) {
      pending.mAsked = true;
      mConnector->Connect(pending.mTarget, [this, id = engine](EngineConnection aConnection) {
        OnAnswer(id, std::move(aConnection));
      });
    }
  }
}

void
EndingProbe::OnAnswer(std::uint64_t aEngine, EngineConnection aConnection)
{
  const auto it = mPending.find(aEngine);
  if (it == mPending.end()) {
    return;
  }
  const Pending pending = std::move(it->second);
  mPending.erase(it);
  if (aConnection.mGone) {
    mOnEnded(pending.mTarget, pending.mRequests);
  } else if (aConnection.mSocket) {
    if (aConnection.mSocket->mPeer.empty()) {
      mOnAlive(pending.mTarget, pending.mRequests);
    }
    mPool->Put(pending.mTarget.mEngine, std::move(*aConnection.mSocket), std::nullopt, 1);
  }
}

} // namespace pepperbay
