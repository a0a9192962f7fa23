#include "pepperbay/routing/unanswered_tracker.hpp"

#include <algorithm>

namespace pepperbay {

UnansweredTracker::UnansweredTracker(UnansweredOptions aOptions)
  : mOptions(aOptions)
{
}

const UnansweredTracker::Engine*
UnansweredTracker::Find(const std::string& aEngine, TimePoint aNow) const
{
  const auto it = mEngines.find(aEngine);
  const bool known = it != mEngines.end() && aNow - it->second.mLast <= mOptions.mMemory;
  return known ? &it->second : nullptr;
}

void
UnansweredTracker::OnSent(const std::string& aEngine, bool aRepeat, TimePoint aNow)
{
  const bool known = Find(aEngine, aNow) != nullptr;
  Engine& engine = mEngines[aEngine];
  if (!known) {
    engine = Engine{ aNow, aNow };
  }
  engine.mLast = aNow;
  engine.mRepeats += aRepeat ? 1 : 0;
}

void
UnansweredTracker::OnOvertaken(const std::string& aEngine, TimePoint aNow)
{
  if (Find(aEngine, aNow) != nullptr) {
    mEngines[aEngine].mOvertaken = true;
  }
}

bool
UnansweredTracker::IsSilent(const std::string& aEngine, TimePoint aNow) const
{
  const Engine* engine = Find(aEngine, aNow);
  return engine != nullptr && (engine->mOvertaken || aNow - engine->mFirst > mOptions.mSilentAfter);
}

bool
UnansweredTracker::MayRepeatAt(const std::string& aEngine, TimePoint aNow) const
{
  const Engine* engine = Find(aEngine, aNow);
  return engine == nullptr || (engine->mRepeats < mOptions.mMaxRepeats && !IsSilent(aEngine, aNow));
}

std::size_t
UnansweredTracker::Silent(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mEngines.begin(), mEngines.end(), [&](const auto& aEngine) {
      return IsSilent(aEngine.first, aNow);
    }));
}

} // namespace pepperbay
