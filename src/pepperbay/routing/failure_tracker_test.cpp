#include "pepperbay/routing/failure_tracker.hpp"

#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::uint32_t kEngine = ShortId("engine");

/// One of three engines fails half of its requests, and each node rarely sends it one. Guards
/// against each node detecting the fault only by failures of its own callers.
TEST(FailureTracker, TwoNodesAgreeThatAnEngineFails)
{
  FailureTracker allocator;
  TimePoint now{ seconds(1) };
  allocator.OnReport("one", kEngine, now);
  allocator.OnReport("one", kEngine, now);
  EXPECT_TRUE(allocator.Agreed(now).empty()) << "one node's report, repeated";
  EXPECT_FALSE(allocator.Fails(kEngine, now));
  allocator.OnReport("two", kEngine, now);
  EXPECT_EQ(allocator.Agreed(now), std::vector<std::uint32_t>{ kEngine });
  EXPECT_TRUE(allocator.Fails(kEngine, now));
}

/// Guards against avoiding an engine for ever after it has recovered: a repeated report of the same
/// node does not extend its expiry.
TEST(FailureTracker, AFailureThatIsNotSeenAgainIsForgotten)
{
  FailureTracker allocator;
  TimePoint now{ seconds(1) };
  allocator.OnReport("one", kEngine, now);
  allocator.OnReport("two", kEngine, now);
  for (int i = 0; i < 25; ++i) {
    now += milliseconds(100);
    if (i < 10) {
      allocator.OnReport("one", kEngine, now);
      allocator.OnReport("two", kEngine, now);
    }
  }
  EXPECT_FALSE(allocator.Fails(kEngine, now));
  EXPECT_TRUE(allocator.Agreed(now).empty());
}

TEST(FailureTracker, ANodeUsesItsOwnFailuresAndReports)
{
  FailureTracker node;
  TimePoint now{ seconds(1) };
  node.OnFailed("engine", now);
  EXPECT_EQ(node.Own(now), std::vector<std::uint32_t>{ kEngine });
  EXPECT_TRUE(node.Fails(kEngine, now));
  EXPECT_FALSE(node.Fails(kEngine, now + seconds(2)));
  node.OnAllocatorReport(kEngine, now + seconds(2));
  EXPECT_TRUE(node.Fails(kEngine, now + seconds(2)));
  EXPECT_TRUE(node.Own(now + seconds(2)).empty()) << "received reports are not passed on";
  EXPECT_FALSE(node.Fails(kEngine, now + seconds(3)));
}

} // namespace
} // namespace pepperbay
