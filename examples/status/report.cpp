/// @file
/// @brief Two nodes' state dumps, side by side.

#include "pepperbay/status/pool_status.hpp"

#include <iostream>

using namespace pepperbay; // NOLINT: a small program

int
main()
{
  const char* dump = R"({"node":"levis-1","ready":true,"holds_lease":true,
    "lease":{"holder":"levis-1","fence":3,"log_lost":false},
    "configuration":{"version":7,"age_ms":140},"engines":11,"lost_engines":["i-9"],
    "replicas":[{"name":"r3-1-pool","service":"pool","epoch":300007,"model":"m","domain":"d2",
      "members":["i-3","i-4"],"phase":"broken","why":"no spare in domain d2","since_ms":2500}],
    "delegates":{"followed":"levis-1","followers":4},"news":{"age_ms":0},
    "store_read_by":{"node":"levis-1"},"logs":{"engines":{"age_ms":300}},
    "held_requests":[{"key":"fd84a32e0b12def6af0c80dec7d47d36","engines":3,"for_ms":590000}],
    "peers":[{"node":"vanier-1","address":"10.3.0.7:7340","alive":false,"configuration":6}]})";
  const Error silent{ Errc::kTimeout, "status.ask", "10.3.0.7:8081", "no answer in 2 s" };
  std::cout << PoolReport(
    { { "10.1.0.24:8081", ParseNodeStatus("10.1.0.24:8081", dump) }, { "10.3.0.7:8081", silent } });
  return 0;
}
