/// Prompts that begin alike meet at one replica, until it is full.
#include "pepperbay/routing/router.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  RoutingTable table;
  Pool& pool = table.mPools["checklist"];
  for (const char* name : { "r1", "r2", "r3" }) {
    ReplicaTarget target;
    target.mReplica = name;
    target.mSlots = 2;
    target.mLoad = std::make_shared<ReplicaLoad>();
    pool.mTargets.push_back(target);
  }
  pool.mSubset = pool.mTargets.size();
  BuildRing(&pool);
  RouteQuery query;
  query.mProfile = "checklist";
  query.mPrefix = 42;
  std::uint64_t random = 0;
  std::map<std::string, int> sent;
  for (int i = 0; i < 12; ++i) {
    const auto* target =
      ChooseReplica(table, query, {}, BootClock::now(), [&random] { return ++random; });
    std::cout << target->mReplica << "\n";
    ++sent[target->mReplica];
  }
  return sent.size() == 3 ? 0 : 1;
}
