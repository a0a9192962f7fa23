#include "pepperbay/routing/refusal_tracker.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {

RefusalTracker::RefusalTracker(RefusalOptions aOptions)
  : mOptions(aOptions)
{
}

bool
RefusalTracker::OnRefused(const std::string& aHead, TimePoint aSentAt, TimePoint aNow)
{
  DropOld(aNow);
  Refusal& refusal = mRefusals[ShortId(aHead)];
  if (aSentAt < refusal.mUntil) {
    return false;
  }
  refusal.mPause = std::clamp(refusal.mPause * 2, mOptions.mFirstPause, mOptions.mMaxPause);
  refusal.mUntil = aNow + refusal.mPause;
  return true;
}

void
RefusalTracker::OnTaken(const std::string& aHead, TimePoint aSentAt)
{
  const auto it = mRefusals.find(ShortId(aHead));
  if (it != mRefusals.end() && aSentAt >= it->second.mUntil) {
    mRefusals.erase(it);
  }
}

void
RefusalTracker::DropOld(TimePoint aNow)
{
  for (auto it = mRefusals.begin(); it != mRefusals.end();) {
    const TimePoint last = std::max(it->second.mUntil, it->second.mReportedUntil);
    it = aNow - last >= mOptions.mForgetAfter ? mRefusals.erase(it) : std::next(it);
  }
}

void
RefusalTracker::OnPeerReport(std::uint32_t aHead, TimePoint aNow)
{
  DropOld(aNow);
  mRefusals[aHead].mReportedUntil = aNow + mOptions.mReportedPause;
}

void
RefusalTracker::Forget(const std::string& aHead)
{
  mRefusals.erase(ShortId(aHead));
}

bool
RefusalTracker::Refuses(std::uint32_t aHead, TimePoint aNow) const
{
  const auto it = mRefusals.find(aHead);
  return it != mRefusals.end() && aNow < std::max(it->second.mUntil, it->second.mReportedUntil);
}

std::vector<std::uint32_t>
RefusalTracker::Refusing(TimePoint aNow) const
{
  std::vector<std::uint32_t> refusing;
  for (const auto& [head, refusal] : mRefusals) {
    if (aNow < refusal.mUntil) {
      refusing.push_back(head);
    }
  }
  return refusing;
}

} // namespace pepperbay
