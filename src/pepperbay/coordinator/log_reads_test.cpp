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

/// Guards against a node that waits for records which were lost, and against all nodes that have
/// lost records reading them from the store at once.
TEST(LogReads, RecordsThatHaveNotComeAreAskedForAndThenReadFromTheStore)
{
  const TimePoint told(std::chrono::hours(1));
  const TimePoint lost = told + LogReads::kFeedTimeout;
  LogReads reads;
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, told);
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, lost);
  EXPECT_TRUE(reads.Misses(kLog));
  EXPECT_FALSE(reads.Reads(kLog));
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, lost + LogReads::kRequestTimeout);
  EXPECT_TRUE(reads.Reads(kLog));
  EXPECT_FALSE(reads.Misses(FollowedLog::kEngines));
  EXPECT_FALSE(reads.Reads(FollowedLog::kEngines));
}

/// Guards against a node that waits for records which its reader has not kept.
TEST(LogReads, RecordsThatTheReaderHasNotKeptAreReadFromTheStoreAtOnce)
{
  const TimePoint told(std::chrono::hours(1));
  const TimePoint lost = told + LogReads::kFeedTimeout;
  LogReads reads;
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, told);
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, lost);
  reads.OnNotKept(kLog);
  reads.RelyOn({ 8, 0, 0 }, { 7, 0, 0 }, lost);
  EXPECT_TRUE(reads.Reads(kLog));
  reads.RelyOn({ 8, 0, 0 }, { 8, 0, 0 }, lost);
  reads.RelyOn({ 9, 0, 0 }, { 8, 0, 0 }, lost);
  reads.RelyOn({ 9, 0, 0 }, { 8, 0, 0 }, lost + LogReads::kFeedTimeout);
  EXPECT_FALSE(reads.Reads(kLog)) << "these may be kept";
}

} // namespace
} // namespace pepperbay
