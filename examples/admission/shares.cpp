/// A customer that floods waits behind one that is within its share.
#include "pepperbay/admission/admission.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  ManualClock clock;
  Admission admission{ AdmissionOptions() };
  PoolState pool;
  pool.mSlots = 2;
  pool.mShares = { { "flood", 0.5 }, { "cook", 0.5 } };
  admission.SetPool(pool);
  std::vector<GivenUp> givenUp;
  const TimePoint deadline = clock.Now() + std::chrono::minutes(1);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    admission.Arrive({ id, "flood", 5, deadline }, clock.Now(), &givenUp);
  }
  admission.Arrive({ 5, "cook", 5, deadline }, clock.Now(), &givenUp);
  admission.OnDone(1, std::chrono::seconds(1));
  const auto next = admission.Next(clock.Now());
  std::cout << "next to run: request " << next.front() << "\n";
  return next.front() == 5 ? 0 : 1;
}
