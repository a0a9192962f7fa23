#include "pepperbay/admission/earned_retries.hpp"

namespace pepperbay {
namespace {

constexpr int kSteps = 20; // per window

}

EarnedRetries::EarnedRetries(Options aOptions)
  : mOptions(aOptions)
{
}

Duration
EarnedRetries::StepLength() const
{
  return mOptions.mWindow / kSteps;
}

EarnedRetries::Step&
EarnedRetries::Current(TimePoint aNow)
{
  // Retries taken are counted for one step longer than the window.
  while (!mSteps.empty() && aNow - mSteps.front().mBegin >= mOptions.mWindow + StepLength()) {
    mSteps.pop_front();
  }
  if (mSteps.empty() || aNow - mSteps.back().mBegin >= StepLength()) {
    mSteps.push_back({ aNow, 0, 0 });
  }
  return mSteps.back();
}

void
EarnedRetries::OnRequest(TimePoint aNow)
{
  ++Current(aNow).mRequests;
}

bool
EarnedRetries::MayTake(TimePoint aNow)
{
  Current(aNow);
  int requests = 0;
  int taken = 0;
  for (const auto& it : mSteps) {
    taken += it.mTaken;
    requests += aNow - it.mBegin < mOptions.mWindow ? it.mRequests : 0;
  }
  return mOptions.mShare * requests >= taken + 1;
}

bool
EarnedRetries::Take(TimePoint aNow)
{
  if (!MayTake(aNow)) {
    return false;
  }
  ++Current(aNow).mTaken;
  return true;
}

} // namespace pepperbay
