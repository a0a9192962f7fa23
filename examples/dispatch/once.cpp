/// A request that may not be repeated is not sent again once it may have run.
#include "pepperbay/dispatch/attempt.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  RetryBudget budget({ 0.1, 10 });
  DeliveryRequest request;
  request.mUnrepeatable = true;
  request.mDeadline = TimePoint(std::chrono::minutes(1));
  Delivery delivery(request);
  delivery.BeginAttempt();
  AttemptFailure refused;
  refused.mByteLeft = false; // nothing was sent, so another try is safe
  const auto first = delivery.OnFailure(refused, TimePoint(), &budget);
  std::cout << "never sent: " << (first.mStep == NextStep::kRetry ? "retry" : "answer") << "\n";
  delivery.BeginAttempt();
  AttemptFailure cut;
  cut.mByteLeft = true;
  const auto second = delivery.OnFailure(cut, TimePoint(), &budget);
  std::cout << "sent, no answer: ran " << ToString(second.mRan) << "\n";
  return second.mStep == NextStep::kAnswer && second.mRan == Ran::kUnknown ? 0 : 1;
}
