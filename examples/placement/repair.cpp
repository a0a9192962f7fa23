/// What to do about a replica that has lost a host.
#include "pepperbay/placement/planner.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  PlannerOptions options;
  options.mBlip = std::chrono::seconds(5);
  RepairCase repair;
  repair.mSparesInDomain = 1;
  repair.mSilentFor = std::chrono::seconds(1);
  const bool waits = ChooseRepair(repair, options) == RepairChoice::kWait;
  std::cout << "silent for 1 s: " << (waits ? "wait" : "repair") << "\n";
  repair.mSilentFor = std::chrono::seconds(10);
  const bool repairs = ChooseRepair(repair, options) == RepairChoice::kUseSpares;
  std::cout << "silent for 10 s: " << (repairs ? "use a spare" : "wait") << "\n";
  return waits && repairs ? 0 : 1;
}
