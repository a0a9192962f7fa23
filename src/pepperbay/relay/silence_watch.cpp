#include "silence_watch.hpp"

#include "exchange.hpp"

#include <algorithm>

namespace pepperbay {

void
SilenceWatch::Tick()
{
  EngineConnector& connector = mCore->mConnector;
  if (!connector.HasPeers() || connector.IsDirectPathDown()) {
    return;
  }
  const TimePoint now = mCore->Now();
  const bool all = now - connector.HeardAt() >= kAllSilence;
  for (const auto& it : mCore->mExchanges) {
    const EngineDispatch* dispatch = it->DirectDispatch();
    if (dispatch == nullptr) {
      continue;
    }
    const Duration bound = all                  ? kAllSilence
                           : dispatch->mWriting ? kStreamingSilence
                                                : kPromptSilence;
    const TimePoint last =
      std::max(dispatch->mSentAt, connector.HeardAt(dispatch->mTarget.mEngine));
    if (now - last >= bound) {
      connector.ProbeIfDue(dispatch->mTarget);
    }
    if (all) {
      return; // one path is enough to tell whether this node is partitioned
    }
  }
}

} // namespace pepperbay
