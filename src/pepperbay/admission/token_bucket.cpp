#include "pepperbay/admission/token_bucket.hpp"

#include <algorithm>

namespace pepperbay {

TokenBucket::TokenBucket(Options aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mAt(aNow)
{
}

double
TokenBucket::Level(TimePoint aNow) const
{
  const double passed = std::max(0.0, std::chrono::duration<double>(aNow - mAt).count());
  return std::min(mOptions.mDepth, mLevel + passed * mOptions.mPerSecond);
}

void
TokenBucket::Advance(TimePoint aNow)
{
  mLevel = Level(aNow);
  mAt = std::max(mAt, aNow);
}

void
TokenBucket::SetOptions(Options aOptions, TimePoint aNow)
{
  Advance(aNow);
  mOptions = aOptions;
  mLevel = std::min(mLevel, mOptions.mDepth);
}

bool
TokenBucket::Take(TimePoint aNow)
{
  Advance(aNow);
  if (mLevel < 1.0) {
    return false;
  }
  mLevel -= 1.0;
  return true;
}

void
TokenBucket::Spend(TimePoint aNow)
{
  Advance(aNow);
  mLevel = std::max(-mOptions.mDepth, mLevel - 1.0);
}

void
TokenBucket::Empty(TimePoint aNow)
{
  Advance(aNow);
  mLevel = std::min(mLevel, 0.0);
}

void
TokenBucket::Fill(TimePoint aNow)
{
  Advance(aNow);
  mLevel = mOptions.mDepth;
}

} // namespace pepperbay
