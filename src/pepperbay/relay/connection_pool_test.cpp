#include "connection_pool.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// Guards against each node sizing its pool as if it were the only one: together they would exceed
/// the engine's connection limit, and the engine would reset connections of callers.
TEST(ConnectionPool, AllNodesTogetherKeepNoMoreThanHalfOfWhatAnEngineTakes)
{
  for (const int maxConnections : { 52, 110, 404, 640, 1952 }) {
    for (const int nodes : { 1, 8, 75, 295, 1300 }) {
      EXPECT_LE(MaxIdleConnections(maxConnections, nodes) * static_cast<std::size_t>(nodes),
                static_cast<std::size_t>(maxConnections) / 2)
        << maxConnections << " connections, " << nodes << " nodes";
    }
  }
  EXPECT_GE(MaxIdleConnections(404, 8), 8U);
  EXPECT_GE(MaxIdleConnections(0, 1300), 1U) << "an engine that states no limit";
}

} // namespace
} // namespace pepperbay
