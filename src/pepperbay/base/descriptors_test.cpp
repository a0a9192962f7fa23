#include "pepperbay/base/descriptors.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace pepperbay {
namespace {

/// Guards against a node that runs with the system's first limit and turns callers away at a
/// thousand connections.
TEST(Descriptors, TheLimitIsRaisedToWhatTheMachineAllows)
{
  rlimit limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
  const rlim_t before = limit.rlim_cur;
  limit.rlim_cur = 64;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
  const auto raised = RaiseDescriptorLimit();
  ASSERT_TRUE(raised.has_value()) << ToString(raised.error());
  EXPECT_EQ(raised.value(), limit.rlim_max);
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
  EXPECT_EQ(limit.rlim_cur, limit.rlim_max);
  limit.rlim_cur = before;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace
} // namespace pepperbay
