#include "pepperbay/quarantine/recent_runs.hpp"

namespace pepperbay {

RecentRuns::RecentRuns(std::size_t aSlots)
  : mRuns(aSlots)
{
}

void
RecentRuns::OnRun(const RequestKey& aKey, TimePoint aNow)
{
  mRuns[SlotOf(aKey)] = { aKey, aNow };
}

bool
RecentRuns::HasRun(const RequestKey& aKey, TimePoint aNow) const
{
  const Run& run = mRuns[SlotOf(aKey)];
  return run.mAt != TimePoint{} && run.mKey == aKey && aNow - run.mAt < kFor;
}

} // namespace pepperbay
