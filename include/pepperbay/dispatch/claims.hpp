/// @file
/// @brief At-most-once execution of requests with an idempotency key: the first claim in the log
/// wins.
///
/// The node that accepts a request appends a claim of its key to a log stream before it dispatches
/// the request. The order of the stream decides between nodes, so the decision depends on no single
/// node and survives the loss of any. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <pepperbay.pb.h>
#include <string>
#include <string_view>

namespace pepperbay {

/// Largest answer, in bytes, stored for retries with the same key; for a larger one only the status
/// is stored.
constexpr std::size_t kMaxKeptAnswer = 4096;

/// @return the partition of a key, the same on every node.
std::uint32_t
PartitionOf(const std::string& aKey, std::uint32_t aPartitions);

/// @return the creation time in a UUIDv7 key (RFC 9562), since the Unix epoch; nullopt for keys of
/// other forms
std::optional<std::chrono::milliseconds>
TimeOfKey(const std::string& aKey);

/// State of a claim.
enum class ClaimStanding
{
  kUnknown,  ///< its record has not been applied, or the claim is void
  kWon,      ///< it is the first claim of its key
  kTaken,    ///< another claim was first and has not reported an answer
  kAnswered, ///< another claim was first; its answer is stored
};

/// A claim to run the request with an idempotency key.
struct KeyClaim
{
  std::string mKey;
  std::string mClaimId;           ///< unique to this attempt
  std::uint64_t mFingerprint = 0; ///< hash of the request; 0 when unknown
  Duration mTimeLimit{ 0 };       ///< time after which the claim is abandoned
};

struct ClaimVerdict
{
  ClaimStanding mStanding = ClaimStanding::kUnknown;
  std::uint64_t mFingerprint = 0; ///< of the first claim
  proto::KeptAnswer mAnswer;      ///< set for kAnswered
};

/// State of one partition of the claims stream, built by applying its records in order.
///
/// An ABANDON record makes its claim void permanently, even if it precedes the claim in the log: a
/// node may give up while the append of its claim is still in flight. Otherwise that claim would
/// win although no node runs it, and its key would answer "outcome unknown" for the whole window.
///
/// @code
/// fold.Apply(offset, bytes);
/// fold.ForgetBefore(earliest);   // records that the log has trimmed
/// auto verdict = fold.Judge(key, claimId);
/// @endcode
class ClaimFold
{
public:
  /// Applies the record at an offset. Offsets must be consecutive; older ones are skipped.
  void Apply(std::uint64_t aOffset, std::string_view aBytes);

  /// @return the state of the claim `aClaimId` of a key.
  ClaimVerdict Judge(const std::string& aKey, const std::string& aClaimId) const;

  /// Drops claims older than the log's first offset, which bounds how long keys are remembered.
  void ForgetBefore(std::uint64_t aEarliest);

  /// Starts at an offset when the log has been trimmed up to it.
  void StartAt(std::uint64_t aOffset);

  std::uint64_t Next() const { return mNext; }
  std::size_t Keys() const { return mClaims.size(); }

private:
  struct Claim
  {
    std::string mId;
    std::uint64_t mOffset = 0;
    std::optional<proto::KeptAnswer> mAnswer;
    std::uint64_t mFingerprint = 0;
  };
  struct Order
  {
    std::uint64_t mOffset;
    std::string mName; ///< key, or claim id
  };

  void MakeVoid(std::uint64_t aOffset, const std::string& aClaimId);

  std::uint64_t mNext = 0;
  std::map<std::string, Claim> mClaims;
  std::deque<Order> mOrder;
  std::map<std::string, std::uint64_t> mVoid; ///< claim id to the offset of its ABANDON record
  std::deque<Order> mVoidOrder;               ///< the same, oldest first
};

} // namespace pepperbay
