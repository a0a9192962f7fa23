#include "drain_ledger.hpp"

namespace pepperbay {

void
DrainLedger::OnReports(const std::string& aNode, const proto::Heartbeat& aHeartbeat)
{
  if (aHeartbeat.drained().empty()) {
    mReports.erase(aNode);
    return;
  }
  auto& reports = mReports[aNode];
  reports.clear();
  for (const auto& it : aHeartbeat.drained()) {
    reports[{ it.replica(), it.generation() }] = it.in_flight();
  }
}

bool
DrainLedger::Drained(const std::string& aReplica,
                     std::uint64_t aGeneration,
                     const Roster& aRoster,
                     const std::string& aDataCentre,
                     Duration aLongestWork,
                     TimePoint aNow) const
{
  for (const auto& [name, peer] : aRoster.Peers()) {
    const bool matters =
      peer.mDataCentre == aDataCentre && aRoster.MayBeWorking(name, aLongestWork, aNow);
    if (!matters) {
      continue;
    }
    const auto reports = mReports.find(name);
    if (reports == mReports.end()) {
      return false;
    }
    const auto report = reports->second.find({ aReplica, aGeneration });
    if (report == reports->second.end() || report->second > 0) {
      return false;
    }
  }
  return true;
}

} // namespace pepperbay
