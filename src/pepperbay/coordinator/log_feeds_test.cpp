#include "log_feeds.hpp"

#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

constexpr auto kLog = FollowedLog::kEngines;

KeyedTail
Tail(std::uint64_t aNext, std::size_t aRecords, std::size_t aValueBytes = 1)
{
  KeyedTail tail;
  tail.mNext = aNext;
  for (std::size_t i = 0; i < aRecords; ++i) {
    tail.mRecords.push_back(
      { "k" + std::to_string(aNext - aRecords + i), std::string(aValueBytes, 'v') });
  }
  return tail;
}

RecentRecords
Recent(const std::vector<std::pair<std::uint64_t, KeyedTail>>& aTails)
{
  RecentRecords recent;
  for (const auto& [from, tail] : aTails) {
    for (auto& it : BatchesOf(kLog, from, tail)) {
      recent.Add(std::move(it));
    }
  }
  return recent;
}

/// Guards against records that are lost between two messages.
RC_GTEST_PROP(LogFeeds, MessagesHoldAllRecordsInTheirOrder, ())
{
  const bool ofList = *rc::gen::arbitrary<bool>();
  KeyedTail tail = Tail(1000, *rc::gen::inRange<std::size_t>(1, 400), 900);
  tail.mOfList = ofList;
  const std::uint64_t from = 1000 - tail.mRecords.size();
  std::uint64_t next = from;
  std::size_t n = 0;
  BatchAssembler assembler;
  for (const auto& batch : BatchesOf(kLog, from, tail)) {
    for (const auto& part : batch.mParts) {
      RC_ASSERT(part.ByteSizeLong() < 60000U);
      const auto whole = assembler.Take(part);
      RC_ASSERT(whole.has_value() == (&part == &batch.mParts.back()));
      if (!whole) {
        continue;
      }
      RC_ASSERT(whole->mFrom == next);
      next = whole->mNext;
      for (const auto& it : TailOf(*whole).mRecords) {
        RC_ASSERT(it.mKey == tail.mRecords[n++].mKey);
      }
    }
  }
  RC_ASSERT(next == tail.mNext);
  RC_ASSERT(n == tail.mRecords.size());
}

/// Guards against a node that takes some of a list's changes for all of them.
TEST(LogFeeds, ABatchIsTakenOnlyIfNoPartIsLost)
{
  KeyedTail tail = Tail(1000, 300, 900);
  tail.mOfList = true;
  const auto batch = BatchesOf(kLog, 10, tail).front();
  ASSERT_GT(batch.mParts.size(), 3U);
  for (std::size_t lost = 0; lost < batch.mParts.size(); ++lost) {
    BatchAssembler assembler;
    for (std::size_t i = 0; i < batch.mParts.size(); ++i) {
      EXPECT_FALSE(i != lost && assembler.Take(batch.mParts[i]).has_value()) << lost;
    }
  }
}

/// Guards against a node that is told of later records and not of those before.
TEST(RecentRecords, AreGivenOnlyWithoutAGap)
{
  const auto recent = Recent({ { 10, Tail(15, 5) }, { 15, Tail(18, 3) }, { 20, Tail(25, 5) } });
  EXPECT_TRUE(recent.Since(9).empty()) << "older ones are not kept";
  EXPECT_TRUE(recent.Since(12).empty()) << "18 and 19 are not kept";
  EXPECT_EQ(recent.Since(21).size(), 1U);
  EXPECT_TRUE(recent.Since(25).empty());
}

/// Guards against a node that asks for records for ever, since one does not fit into a datagram.
TEST(RecentRecords, ARecordThatFitsIntoNoDatagramEndsWhatIsGiven)
{
  KeyedTail tail = Tail(5, 5);
  tail.mRecords[2].mValue = std::string(70000, 'v');
  const auto recent = Recent({ { 0, tail } });
  EXPECT_TRUE(recent.Since(0).empty());
  EXPECT_EQ(recent.Since(3).size(), 1U);
}

TEST(RecentRecords, TheOldestAreDroppedBeyondTheLimit)
{
  RecentRecords recent;
  std::uint64_t offset = 0;
  for (; offset < 4 * RecentRecords::kMaxBytes / 1000; ++offset) {
    recent.Add(BatchesOf(kLog, offset, Tail(offset + 1, 1, 1000)).front());
  }
  EXPECT_TRUE(recent.Since(0).empty());
  EXPECT_FALSE(recent.Since(offset - 400).empty());
}

} // namespace
} // namespace pepperbay
