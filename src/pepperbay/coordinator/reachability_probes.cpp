#include "reachability_probes.hpp"

#include <utility>

namespace pepperbay {

ReachabilityProbes::ReachabilityProbes(ReachabilityProbesHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
ReachabilityProbes::Find(const EngineRecord& aNotThis, Done aDone)
{
  mWaiting.push_back({ aNotThis, std::move(aDone) });
  if (!mAsking) {
    AskNext();
  }
}

void
ReachabilityProbes::AskNext()
{
  std::vector<Waiting> waiting = std::exchange(mWaiting, {});
  const EngineRecord* engine = mHooks.mPick(waiting.front().mNotThis);
  if (engine == nullptr) {
    for (const auto& it : waiting) {
      it.mDone(false);
    }
    return;
  }
  mAsking = true;
  mHooks.mAsk(*engine, [this, waiting = std::move(waiting)](bool aAnswered) {
    mAsking = false;
    for (const auto& it : waiting) {
      it.mDone(aAnswered);
    }
    if (!mAsking && !mWaiting.empty()) {
      AskNext();
    }
  });
}

} // namespace pepperbay
