#include "pepperbay/dispatch/attempted_engines.hpp"

#include <utility>

namespace pepperbay {
namespace {

constexpr int kMaxAttemptsPerEngine = 2;

} // namespace

void
AttemptedEngines::OnSent(const std::string& aEngine, AttemptedReplica aReplica)
{
  Asked& asked = mEngines[aEngine];
  ++asked.mTimes;
  asked.mRefusedBefore = std::exchange(asked.mNotTaken, false);
  asked.mReplica = std::move(aReplica);
}

void
AttemptedEngines::OnUnreached(const std::string& aEngine)
{
  const auto it = mEngines.find(aEngine);
  if (it == mEngines.end()) {
    return;
  }
  it->second.mNotTaken = it->second.mRefusedBefore;
  if (--it->second.mTimes <= 0) {
    mEngines.erase(it);
  }
}

void
AttemptedEngines::OnNotTaken(const std::string& aEngine)
{
  const auto it = mEngines.find(aEngine);
  if (it != mEngines.end()) {
    it->second.mNotTaken = true;
  }
}

std::set<std::string>
AttemptedEngines::Retryable(const IsReFormedFn& aIsReFormed) const
{
  std::set<std::string> engines;
  for (const auto& [engine, asked] : mEngines) {
    const bool free = asked.mNotTaken || aIsReFormed(engine, asked.mReplica);
    if (asked.mTimes < kMaxAttemptsPerEngine && free) {
      engines.insert(engine);
    }
  }
  return engines;
}

} // namespace pepperbay
