#include "line_budget.hpp"

#include <utility>

namespace pepperbay {

bool
LineBudget::Take(const std::string& aKind, Clock::time_point aNow, std::uint64_t* aLeftOut)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Kind& kind = mKinds[aKind];
  if (aNow - kind.mSecond >= std::chrono::seconds(1)) {
    kind.mSecond = aNow;
    kind.mWritten = 0;
  }
  if (kind.mWritten >= mOptions.mPerSecond) {
    ++kind.mLeftOut;
    ++mTotalLeftOut;
    return false;
  }
  ++kind.mWritten;
  *aLeftOut = std::exchange(kind.mLeftOut, 0);
  return true;
}

std::uint64_t
LineBudget::LeftOut() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mTotalLeftOut;
}

} // namespace pepperbay
