/// A replica is whole only while each of its hosts says so itself, freshly.
#include "pepperbay/membership/evidence.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  ManualClock clock;
  EvidenceTable table;
  const Expected expected{ "r1", 1, "v1", { "h1", "h2" } };
  for (const char* host : { "h1", "h2" }) {
    proto::Evidence said;
    said.set_host(host);
    said.set_replica("r1");
    said.set_generation(1);
    said.set_model_version("v1");
    said.set_phase(proto::PHASE_READY);
    table.Merge(said, clock.Now());
  }
  const auto freshness = std::chrono::seconds(2);
  std::cout << ToString(table.Judge(expected, freshness, clock.Now()).mWholeness) << "\n";
  clock.Advance(std::chrono::seconds(3));
  const auto report = table.Judge(expected, freshness, clock.Now());
  std::cout << ToString(report.mWholeness) << " because of " << report.mHost << "\n";
  return report.mWholeness == Wholeness::kStale ? 0 : 1;
}
