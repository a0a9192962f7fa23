/// @file
/// @brief Records of a log in messages between nodes, and those kept for nodes that have missed
/// them. Pure.
#pragma once

#include "log_reads.hpp"
#include "pepperbay/journal/keyed_log.hpp"

#include <deque>
#include <optional>
#include <pepperbay.pb.h>
#include <vector>

namespace pepperbay {

/// Records from one offset to another, which a node either takes as a whole or not at all.
struct RecordBatch
{
  std::uint64_t mFrom = 0;
  std::uint64_t mNext = 0;
  std::vector<proto::LogFeed> mParts; ///< each fits into a datagram
};

/// @return the messages for the records of a tail. A record that does not fit into a datagram is in
/// none; nodes read it from the store.
std::vector<RecordBatch>
BatchesOf(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail);

/// @return the records of a batch.
KeyedTail
TailOf(const RecordBatch& aBatch);

/// @return the number of datagrams that the batches need.
std::size_t
MessagesIn(const std::vector<const RecordBatch*>& aBatches);

/// Puts the parts of a batch together. Parts that do not come in their order are dropped, as a node
/// that misses records asks for them again.
class BatchAssembler
{
public:
  /// @return the batch that the part completes.
  std::optional<RecordBatch> Take(const proto::LogFeed& aPart);

private:
  RecordBatch mBatch;
};

/// The records of a log that this node has learnt last.
class RecentRecords
{
public:
  /// The newest batch is kept even if it is larger.
  static constexpr std::size_t kMaxBytes = 512U << 10U;

  void Add(RecordBatch aBatch);
  /// @return the batches by which a node that knows the log up to an offset learns all that this
  /// node knows; empty: some are not kept.
  std::vector<const RecordBatch*> Since(std::uint64_t aOffset) const;

private:
  std::deque<RecordBatch> mBatches;
  std::size_t mBytes = 0;
  std::uint64_t mNewest = 0; ///< offset after the last record kept
};

} // namespace pepperbay
