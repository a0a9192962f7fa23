#include "log_feeds.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// Records of one message, in bytes. A datagram holds 65,507 with its headers.
constexpr std::size_t kMaxFeedBytes = 56000;
/// Overhead of a record in a message besides its key and value.
constexpr std::size_t kRecordOverhead = 16;

std::size_t
SizeOf(const KeyedRecord& aRecord)
{
  return aRecord.mKey.size() + (aRecord.mValue ? aRecord.mValue->size() : 0) + kRecordOverhead;
}

std::size_t
SizeOf(const RecordBatch& aBatch)
{
  std::size_t bytes = 0;
  for (const auto& it : aBatch.mParts) {
    bytes += it.ByteSizeLong();
  }
  return bytes;
}

void
AddRecord(const KeyedRecord& aRecord, proto::LogFeed* aFeed)
{
  auto* record = aFeed->add_records();
  record->set_key(aRecord.mKey);
  record->set_gone(!aRecord.mValue.has_value());
  record->set_value(aRecord.mValue.value_or(""));
}

proto::LogFeed
NewFeed(FollowedLog aLog, std::uint64_t aFrom, std::uint64_t aNext)
{
  proto::LogFeed feed;
  feed.set_log(static_cast<std::uint32_t>(aLog));
  feed.set_from(aFrom);
  feed.set_next(aNext);
  return feed;
}

/// Each message is a batch of its own, since the offset of each record is known.
std::vector<RecordBatch>
SplitByOffset(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail)
{
  std::vector<RecordBatch> batches;
  proto::LogFeed feed = NewFeed(aLog, aFrom, aFrom);
  std::size_t bytes = 0;
  const auto close = [&] {
    if (feed.next() > feed.from()) {
      batches.push_back({ feed.from(), feed.next(), { feed } });
    }
    feed = NewFeed(aLog, feed.next(), feed.next());
    bytes = 0;
  };
  for (const auto& it : aTail.mRecords) {
    const std::size_t size = SizeOf(it);
    if (bytes + size > kMaxFeedBytes) {
      close();
    }
    if (size > kMaxFeedBytes) {
      feed = NewFeed(aLog, feed.next() + 1, feed.next() + 1);
      continue;
    }
    AddRecord(it, &feed);
    feed.set_next(feed.next() + 1);
    bytes += size;
  }
  close();
  return batches;
}

/// The messages are one batch, since only the offsets of all records together are known.
std::vector<RecordBatch>
SplitIntoParts(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail)
{
  const proto::LogFeed empty = NewFeed(aLog, aFrom, aTail.mNext);
  RecordBatch batch{ aFrom, aTail.mNext, { empty } };
  std::size_t bytes = aTail.mListed.size() * sizeof(std::uint32_t);
  batch.mParts.front().set_of_list(aTail.mOfList);
  for (const auto it : aTail.mListed) {
    batch.mParts.front().add_listed(it);
  }
  for (const auto& it : aTail.mRecords) {
    const std::size_t size = SizeOf(it);
    if (size > kMaxFeedBytes) {
      return {};
    }
    if (bytes + size > kMaxFeedBytes) {
      batch.mParts.push_back(empty);
      bytes = 0;
    }
    AddRecord(it, &batch.mParts.back());
    bytes += size;
  }
  const auto parts = static_cast<std::uint32_t>(batch.mParts.size());
  for (std::uint32_t i = 0; parts > 1 && i < parts; ++i) {
    batch.mParts[i].set_part(i);
    batch.mParts[i].set_parts(parts);
  }
  return { std::move(batch) };
}

} // namespace

std::vector<RecordBatch>
BatchesOf(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail)
{
  const bool noneLeftOut = !aTail.mOfList && aTail.mNext - aFrom == aTail.mRecords.size();
  return noneLeftOut ? SplitByOffset(aLog, aFrom, aTail) : SplitIntoParts(aLog, aFrom, aTail);
}

KeyedTail
TailOf(const RecordBatch& aBatch)
{
  KeyedTail tail;
  tail.mNext = aBatch.mNext;
  tail.mEnd = aBatch.mNext;
  for (const auto& part : aBatch.mParts) {
    tail.mOfList = tail.mOfList || part.of_list();
    tail.mListed.insert(tail.mListed.end(), part.listed().begin(), part.listed().end());
    for (const auto& it : part.records()) {
      tail.mRecords.push_back(
        { it.key(), it.gone() ? std::nullopt : std::make_optional(it.value()) });
    }
  }
  return tail;
}

std::size_t
MessagesIn(const std::vector<const RecordBatch*>& aBatches)
{
  std::size_t n = 0;
  for (const auto* it : aBatches) {
    n += it->mParts.size();
  }
  return n;
}

std::optional<RecordBatch>
BatchAssembler::Take(const proto::LogFeed& aPart)
{
  if (aPart.parts() <= 1) {
    return RecordBatch{ aPart.from(), aPart.next(), { aPart } };
  }
  if (aPart.part() == 0) {
    mBatch = { aPart.from(), aPart.next(), {} };
  }
  const bool follows = mBatch.mFrom == aPart.from() && mBatch.mNext == aPart.next() &&
                       mBatch.mParts.size() == aPart.part();
  if (!follows) {
    mBatch = {};
    return std::nullopt;
  }
  mBatch.mParts.push_back(aPart);
  if (mBatch.mParts.size() < aPart.parts()) {
    return std::nullopt;
  }
  return std::exchange(mBatch, {});
}

void
RecentRecords::Add(RecordBatch aBatch)
{
  mBytes += SizeOf(aBatch);
  mNewest = std::max(mNewest, aBatch.mNext);
  mBatches.push_back(std::move(aBatch));
  while (mBytes > kMaxBytes && mBatches.size() > 1) {
    mBytes -= SizeOf(mBatches.front());
    mBatches.pop_front();
  }
}

std::vector<const RecordBatch*>
RecentRecords::Since(std::uint64_t aOffset) const
{
  std::vector<const RecordBatch*> chain;
  std::uint64_t next = aOffset;
  for (const auto& it : mBatches) {
    if (it.mFrom <= next && it.mNext > next) {
      chain.push_back(&it);
      next = it.mNext;
    }
  }
  return next >= mNewest ? chain : std::vector<const RecordBatch*>{};
}

} // namespace pepperbay
