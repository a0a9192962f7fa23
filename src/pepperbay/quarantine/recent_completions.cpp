#include "pepperbay/quarantine/recent_completions.hpp"

namespace pepperbay {

RecentCompletions::RecentCompletions(std::size_t aSlots)
  : mRuns(aSlots)
{
}

void
RecentCompletions::OnCompletion(const RequestKey& aKey, TimePoint aNow)
{
  mRuns[SlotOf(aKey)] = { aKey, aNow };
}

bool
RecentCompletions::HasCompleted(const RequestKey& aKey, TimePoint aNow) const
{
  const Run& run = mRuns[SlotOf(aKey)];
  return run.mAt != TimePoint{} && run.mKey == aKey && aNow - run.mAt < kValidFor;
}

} // namespace pepperbay
