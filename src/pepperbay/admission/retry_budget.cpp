#include "pepperbay/admission/retry_budget.hpp"

#include <algorithm>

namespace pepperbay {

RetryBudget::RetryBudget(Options aOptions)
  : mOptions(aOptions)
  , mLeft(aOptions.mBurst)
{
}

void
RetryBudget::OnRequest()
{
  mLeft = std::min(mOptions.mBurst, mLeft + mOptions.mShare);
}

bool
RetryBudget::TakeRetry()
{
  if (mLeft < 1.0) {
    return false;
  }
  mLeft -= 1.0;
  return true;
}

void
RetryBudget::SetBurst(double aBurst)
{
  mOptions.mBurst = aBurst;
  mLeft = std::min(mLeft, aBurst);
}

} // namespace pepperbay
