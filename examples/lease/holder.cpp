/// A holder that was paused finds by itself that its lease is over.
#include "pepperbay/lease/keeper.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  ManualClock clock;
  LeaseOptions options;
  options.mScope = "levis";
  options.mHolder = "n1";
  options.mIncarnation = 1;
  LeaseKeeper keeper(options);
  keeper.OnFolded(nullptr, clock.Now());
  const auto claim = keeper.Tick(clock.Now()); // append this to the log ...
  proto::LeaseState lease;                     // ... and fold it
  lease.set_holder(claim->holder());
  lease.set_incarnation(claim->incarnation());
  lease.set_fence(1);
  lease.set_last(1);
  keeper.OnFolded(&lease, clock.Now());
  std::cout << "holds: " << keeper.Held(clock.Now()) << ", fencing number " << keeper.Fence()
            << "\n";
  clock.Advance(std::chrono::minutes(1)); // paused
  std::cout << "after a pause holds: " << keeper.Held(clock.Now()) << "\n";
  return keeper.Held(clock.Now()) ? 1 : 0;
}
