#include "log_reads.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

constexpr auto kLog = FollowedLog::kConfiguration;

/// Guards against a call of every node to the store at each large configuration, since its records
/// are still on their way.
TEST(LogReads, RecordsThatAreOnTheirWayAreNotReadFromTheStore)
{
  const TimePoint told(std::chrono::hours(1));
  LogReads reads;
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, told);
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, told + milliseconds(150));
  EXPECT_FALSE(reads.Reads(kLog));
  reads.RelyOn({ 8, 0, 0 }, { 8, 0, 0 }, told + milliseconds(200));
  EXPECT_FALSE(reads.Reads(kLog));
}

/// Guards against a node that waits for records which were lost.
TEST(LogReads, RecordsThatHaveNotComeAreReadFromTheStore)
{
  const TimePoint told(std::chrono::hours(1));
  LogReads reads;
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, told);
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, told + LogReads::kFeedTimeout);
  EXPECT_TRUE(reads.Reads(kLog));
  EXPECT_FALSE(reads.Reads(FollowedLog::kEngines));
}

} // namespace
} // namespace pepperbay
