/// @file
/// @brief At most once for requests with an idempotency key: the first claim in the log wins.
///
/// A key is claimed in a stream of the log before its request is dispatched, by whichever node took
/// it. The stream's order decides between nodes, so no node needs to be trusted with the decision
/// and none loses it by dying. Pure.
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

/// Largest answer kept for a retry of its key, in bytes; of a larger one only the status is kept.
constexpr std::size_t kMaxKeptAnswer = 4096;

/// @return the partition of a key, the same on every node.
std::uint32_t
PartitionOf(const std::string& aKey, std::uint32_t aPartitions);

/// A key that is a UUIDv7 (RFC 9562) tells when it was made.
/// @return that time since the Unix epoch, or nothing for keys of other forms
std::optional<std::chrono::milliseconds>
TimeOfKey(const std::string& aKey);

/// How a claim stands.
enum class ClaimStanding
{
  kUnknown,  ///< its record has not been folded, or it is void
  kWon,      ///< it is the first for its key
  kTaken,    ///< another claim was first and has not reported an answer
  kAnswered, ///< another claim was first; its answer is kept
};

/// A request with an idempotency key that asks to be the one that runs.
struct KeyClaim
{
  std::string mKey;
  std::string mClaimId;           ///< of this try, never used again
  std::uint64_t mFingerprint = 0; ///< hash of the request; 0 when unknown
  Duration mPatience{ 0 };        ///< until the claim is given up
};

struct ClaimVerdict
{
  ClaimStanding mStanding = ClaimStanding::kUnknown;
  std::uint64_t mFingerprint = 0; ///< of the claim that was first
  proto::KeptAnswer mAnswer;      ///< when answered
};

/// The fold of one partition of the claims stream.
///
/// An ABANDON record makes its claim void for good, also when it lands before the claim does: a
/// node gives up while the append of its claim is still on the way. Otherwise that claim would win
/// with nobody to carry it out, and its key would answer "outcome unknown" for the whole window.
///
/// @code
/// fold.Apply(offset, bytes);
/// fold.ForgetBefore(earliest);   // what the log no longer keeps
/// auto verdict = fold.Judge(key, claimId);
/// @endcode
class ClaimFold
{
public:
  /// Fold the record at an offset; offsets must follow one another, older ones are skipped.
  void Apply(std::uint64_t aOffset, std::string_view aBytes);

  /// @return how the claim `aClaimId` of a key stands.
  ClaimVerdict Judge(const std::string& aKey, const std::string& aClaimId) const;

  /// Drop claims older than the log's first offset: the window in which a key is remembered.
  void ForgetBefore(std::uint64_t aEarliest);

  /// Begin at an offset, when the log has been cut before it.
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
  std::map<std::string, std::uint64_t> mVoid; ///< claim ids, to the offset that abandoned them
  std::deque<Order> mVoidOrder;               ///< the same, oldest first
};

} // namespace pepperbay
