#include "pepperbay/admission/connection_gate.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace pepperbay {
namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

std::size_t
MaxCallers(std::size_t aDescriptors)
{
  constexpr std::size_t kParts = 5;
  constexpr std::size_t kOfCallers = 3;
  return std::max<std::size_t>(1, aDescriptors / kParts * kOfCallers);
}

ConnectionGate::ConnectionGate(ConnectionGateOptions aOptions)
  : mOptions(aOptions)
{
}

void
ConnectionGate::OnTick(Duration aLag, TimePoint aNow)
{
  mLag = aLag;
  Control(aNow);
}

bool
ConnectionGate::KnowsUsual(TimePoint aNow) const
{
  return aNow - mSince >= mOptions.mUsualOver;
}

bool
ConnectionGate::IsBurst() const
{
  const double came = std::accumulate(mCounts.begin(), mCounts.end(), 0.0);
  return came / (kPeriods * Seconds(mOptions.mControlEvery)) >
         std::max(mOptions.mMinBurst, mOptions.mBurstFactor * mUsual);
}

void
ConnectionGate::Control(TimePoint aNow)
{
  if (mPeriodFrom == TimePoint{}) {
    mSince = aNow;
    mPeriodFrom = aNow;
  }
  const Duration since = aNow - mPeriodFrom;
  if (since < mOptions.mControlEvery) {
    return;
  }
  if (!IsBurst()) {
    mRate = 0;
  } else if (mRate > 0) {
    const double minimum = std::max(mOptions.mMinRate, mUsual);
    const double taken = mTaken / Seconds(since);
    mRate = mLag > mOptions.mMaxLag ? std::max(minimum, std::min(mRate, taken) * mOptions.mFall)
                                    : mRate * mOptions.mGrowth;
  }
  // Connections offered in a burst do not count as usual; those accepted do.
  const Duration over = std::min(mOptions.mUsualOver, aNow - mSince);
  mUsual += (mTaken / Seconds(since) - mUsual) * std::min(1.0, Seconds(since) / Seconds(over));
  mPeriod = (mPeriod + 1) % kPeriods;
  mCounts[mPeriod] = 0;
  mTaken = 0;
  mPeriodFrom = aNow;
}

bool
ConnectionGate::Takes(std::size_t aOpen, TimePoint aNow)
{
  Control(aNow);
  ++mCounts[mPeriod];
  if (aOpen >= mOptions.mMaxOpen) {
    return false;
  }
  if (!IsBurst()) {
    ++mTaken;
    return true;
  }
  if (mRate == 0) {
    // A process that has just started has no usual rate; only its lag limits what it accepts.
    mRate = KnowsUsual(aNow) ? std::max(mOptions.mMinFirstRate, mOptions.mFirstRate * mUsual)
                             : std::numeric_limits<double>::max();
  }
  if (mTaken >= mRate * Seconds(mOptions.mControlEvery)) {
    return false;
  }
  ++mTaken;
  return true;
}

} // namespace pepperbay
