#include "pepperbay/membership/stall_detector.hpp"

namespace pepperbay {

StallDetector::StallDetector(StallOptions aOptions)
  : mOptions(aOptions)
{
}

void
StallDetector::OnWriting(const std::string& aHead, TimePoint aNow)
{
  ++mHeads[aHead].mWriting;
  OnEvent(aHead, aNow);
}

void
StallDetector::OnEvent(const std::string& aHead, TimePoint aNow)
{
  const auto it = mHeads.find(aHead);
  if (it != mHeads.end()) {
    it->second.mLastEvent = aNow;
  }
}

void
StallDetector::OnDone(const std::string& aHead)
{
  const auto it = mHeads.find(aHead);
  if (it != mHeads.end() && --it->second.mWriting <= 0) {
    mHeads.erase(it);
  }
}

Duration
StallDetector::Silence(const std::string& aHead, TimePoint aNow) const
{
  const auto it = mHeads.find(aHead);
  return it == mHeads.end() ? Duration::zero() : aNow - it->second.mLastEvent;
}

std::vector<std::string>
StallDetector::Suspects(TimePoint aNow)
{
  std::vector<std::string> suspects;
  for (auto& [id, head] : mHeads) {
    const bool silent = aNow - head.mLastEvent >= mOptions.mSuspectAfter;
    if (silent && aNow - head.mTold >= mOptions.mRepeatAfter) {
      head.mTold = aNow;
      suspects.push_back(id);
    }
  }
  return suspects;
}

} // namespace pepperbay
