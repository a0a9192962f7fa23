/// Second attempts of one service, shared by all nodes: what a node's own requests have earned, and
/// what the keeper gives out.
#include "pepperbay/retries/retry_agent.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  ManualClock clock;
  RetryAgentOptions options;
  options.mNode = "n1";
  options.mLimits = { 0.2, 10, std::chrono::seconds(10) };
  // A node without others keeps the budget itself.
  RetryAgent agent(options, { clock.Hook(), nullptr });
  int granted = 0;
  for (int i = 0; i < 20; ++i) {
    agent.OnRequest("search");
    if (agent.MayTry("search")) {
      agent.Ask("search", [&](bool aGranted) { granted += aGranted ? 1 : 0; });
    }
  }
  std::cout << "20 requests failed, " << granted << " were sent again\n";
  return granted >= 2 && granted <= 14 ? 0 : 1;
}
