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
RetryBudget::SetOptions(Options aOptions)
{
  mOptions = aOptions;
  mLeft = std::min(mLeft, mOptions.mBurst);
}

} // namespace pepperbay
