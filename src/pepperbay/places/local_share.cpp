#include "pepperbay/places/local_share.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// Shares below one request per period of this length count as zero.
constexpr std::chrono::hours kMaxPeriod{ 1 };

} // namespace

LocalShare::LocalShare(LocalShareOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
LocalShare::MayUse(std::uint32_t aEngine, double aPerSecond, int aNodes, TimePoint aNow) const
{
  const double rate = aPerSecond * mOptions.mShare / std::max(1, aNodes);
  if (rate * std::chrono::duration<double>(kMaxPeriod).count() < 1) {
    return false;
  }
  const auto period = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  const auto used = mUsed.find(aEngine);
  const Duration since = used == mUsed.end() ? Duration::max() : aNow - used->second;
  if (period <= mOptions.mOpenFor) {
    return since >= period;
  }
  const auto phase = static_cast<Duration::rep>(Hash64(mOptions.mNode, aEngine) %
                                                static_cast<std::uint64_t>(period.count()));
  const Duration into = (aNow.time_since_epoch() + Duration(phase)) % period;
  return into < mOptions.mOpenFor && since >= period - mOptions.mOpenFor;
}

void
LocalShare::Tick(TimePoint aNow)
{
  for (auto it = mUsed.begin(); it != mUsed.end();) {
    it = aNow - it->second >= kMaxPeriod ? mUsed.erase(it) : std::next(it);
  }
}

} // namespace pepperbay
