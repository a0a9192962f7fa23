/// @file
/// @brief The fold: records of the control stream, in offset order, to the state all nodes share.
///
/// Pure and deterministic: no clock, no sockets, no randomness. Two nodes that have folded the same
/// offsets hold the same bytes. Everything that must be agreed is decided here, by the log's order.
#pragma once

#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <map>
#include <pepperbay.pb.h>
#include <string>
#include <string_view>

namespace pepperbay {

/// The layout of records and messages that this version writes and the newest it reads.
constexpr std::uint32_t kFormat = 1;

/// Largest record accepted, in bytes; snapshots excepted.
constexpr std::size_t kMaxRecordBytes = std::size_t{ 64 } * 1024;

/// What the fold made of one record.
enum class FoldVerdict
{
  kAccepted,
  kDuplicate, ///< the same record id, or an older one of its author, was folded before
  kConflict,  ///< another change came first
  kRefused,   ///< it breaks a rule; the reason says which
  kMalformed, ///< not a record, too large, or of a newer format
  kSkipped,   ///< its offset was folded before
};

const char*
ToString(FoldVerdict aVerdict);

struct FoldResult
{
  FoldVerdict mVerdict = FoldVerdict::kMalformed;
  std::string mReason; ///< for an operator; empty when accepted
  proto::Record mRecord;
  std::uint64_t mOffset = 0;
};

/// The folded state of the control stream.
///
/// @code
/// State state;
/// FoldResult result = state.Apply(offset, bytes);
/// if (result.mVerdict == FoldVerdict::kAccepted) { ... }
/// @endcode
class State
{
public:
  State() = default;

  /// Continue from a snapshot.
  explicit State(proto::Snapshot aSnapshot);

  /// Fold the record at an offset. Offsets must follow one another: an older one is skipped (the
  /// state never goes back) and a gap is refused and leaves the state as it is.
  FoldResult Apply(std::uint64_t aOffset, std::string_view aBytes);

  /// @return the first offset not folded yet.
  std::uint64_t Next() const { return mContent.next_offset(); }

  const proto::Snapshot& Content() const { return mContent; }

  /// @return the state as bytes, equal on all nodes at the same offset.
  std::string Serialise() const;

  /// @return the live replica a host belongs to, or null.
  const proto::ReplicaState* ReplicaOfHost(const std::string& aHost) const;

  /// @return a profile, or null when there is none of that name.
  const proto::Profile* FindProfile(const std::string& aName) const;

private:
  /// How a rule judged one record's body.
  struct Judgement
  {
    FoldVerdict mVerdict = FoldVerdict::kAccepted;
    std::string mReason;
  };

  Judgement Judge(const proto::Record& aRecord, std::uint64_t aOffset);
  Judgement Fold(const proto::Publish& aPublish, std::uint64_t aOffset);
  Judgement Fold(const proto::Claim& aClaim, std::uint64_t aOffset);
  Judgement Fold(const proto::Assign& aAssign, std::uint64_t aOffset);
  Judgement Fold(const proto::Release& aRelease);
  Judgement Fold(const proto::Drain& aDrain);
  Judgement Fold(const proto::VersionFailed& aFailed);
  Judgement Fold(const proto::Join& aJoin, std::uint64_t aOffset);
  Judgement Fold(const proto::Leave& aLeave);
  Judgement Fold(const proto::Reserve& aReserve);

  bool TakeId(const proto::RecordId& aId);
  Judgement CheckFence(const std::string& aScope,
                       std::uint64_t aFence,
                       const proto::RecordId& aAuthor) const;
  Judgement CheckMembers(const proto::Assign& aAssign) const;
  void RebuildIndex();
  void Unindex(const proto::ReplicaState& aReplica);

  proto::Snapshot mContent;
  std::map<std::string, std::string> mReplicaByHost;
  /// The author of the record being judged.
  proto::RecordId mAuthor;
};

/// Fill in a record's format and id.
proto::Record
MakeRecord(const std::string& aAuthor, std::uint64_t aIncarnation, std::uint64_t aSequence);

} // namespace pepperbay
