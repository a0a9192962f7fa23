#include "silence_watch.hpp"

#include "exchange.hpp"

#include <algorithm>

namespace pepperbay {

void
SilenceWatch::Tick()
{
  const TimePoint now = mCore->Now();
  if (!mCore->mConnector.HasPeers() || mCore->mConnector.Avoids() || now < mNextLook ||
      now - mCore->mConnector.HeardAt() < kSilent) {
    return;
  }
  for (const auto& it : mCore->mExchanges) {
    const Sending* sending = it->SilentSince(now - kSilent);
    if (sending == nullptr) {
      continue;
    }
    const bool lately = now - mNextLook < kMostPause;
    mPause = lately ? std::min<Duration>(mPause * 2, kMostPause) : kFirstPause;
    mNextLook = now + mPause;
    mCore->mConnector.Look(sending->mTarget);
    return;
  }
}

} // namespace pepperbay
