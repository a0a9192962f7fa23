#include "pepperbay/routing/failure_tracker.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {

FailureTracker::FailureTracker(FailureOptions aOptions)
  : mOptions(aOptions)
{
}

FailureTracker::Engine&
FailureTracker::Entry(std::uint32_t aEngine, TimePoint aNow)
{
  for (auto it = mEngines.begin(); it != mEngines.end();) {
    auto& reports = it->second.mReports;
    for (auto report = reports.begin(); report != reports.end();) {
      report = report->second <= aNow ? reports.erase(report) : std::next(report);
    }
    const bool over =
      reports.empty() && it->second.mOwnUntil <= aNow && it->second.mReportedUntil <= aNow;
    it = over && it->first != aEngine ? mEngines.erase(it) : std::next(it);
  }
  return mEngines[aEngine];
}

void
FailureTracker::OnFailed(const std::string& aEngine, TimePoint aNow)
{
  Entry(ShortId(aEngine), aNow).mOwnUntil = aNow + mOptions.mMemory;
}

void
FailureTracker::OnReport(const std::string& aNode, std::uint32_t aEngine, TimePoint aNow)
{
  // A node repeats a report with each slot request until its own memory of it ends; only the first
  // sets the expiry.
  Entry(aEngine, aNow).mReports.try_emplace(aNode, aNow + mOptions.mMemory);
}

void
FailureTracker::OnAllocatorReport(std::uint32_t aEngine, TimePoint aNow)
{
  Entry(aEngine, aNow).mReportedUntil = aNow + mOptions.mMemory / 2;
}

bool
FailureTracker::IsAgreed(const Engine& aEngine, TimePoint aNow) const
{
  const auto reporters =
    std::count_if(aEngine.mReports.begin(), aEngine.mReports.end(), [aNow](const auto& aReport) {
      return aReport.second > aNow;
    });
  const std::size_t own = aEngine.mOwnUntil > aNow ? 1 : 0;
  return static_cast<std::size_t>(reporters) + own >= mOptions.mMinReporters;
}

std::vector<std::uint32_t>
FailureTracker::Own(TimePoint aNow) const
{
  std::vector<std::uint32_t> own;
  for (const auto& [id, engine] : mEngines) {
    if (engine.mOwnUntil > aNow) {
      own.push_back(id);
    }
  }
  return own;
}

std::vector<std::uint32_t>
FailureTracker::Agreed(TimePoint aNow) const
{
  std::vector<std::uint32_t> agreed;
  for (const auto& [id, engine] : mEngines) {
    if (IsAgreed(engine, aNow)) {
      agreed.push_back(id);
    }
  }
  return agreed;
}

bool
FailureTracker::Fails(std::uint32_t aEngine, TimePoint aNow) const
{
  const auto it = mEngines.find(aEngine);
  return it != mEngines.end() && (it->second.mOwnUntil > aNow || it->second.mReportedUntil > aNow ||
                                  IsAgreed(it->second, aNow));
}

} // namespace pepperbay
