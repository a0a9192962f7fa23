/// @file
/// @brief Claims of idempotency keys: asked by the node that took the request, batched into the log
/// by the owner of the key's partition.
///
/// The owner is chosen by rendezvous hash over the live nodes of the data centre. Ownership only
/// saves appends and memory: two owners of a partition at once both append, and the stream's order
/// decides. Runs on the control thread.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/dispatch/claims.hpp"
#include "pepperbay/journal/follower.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct ClaimDeskOptions
{
  std::string mSelf;
  std::string mStreamPrefix = "claims";
  std::uint32_t mPartitions = 16;
  std::size_t mMostKeys = 200000; ///< remembered for one partition; more are refused
  Duration mReadEvery = std::chrono::seconds(10); ///< to learn what the log no longer keeps
};

struct ClaimDeskHooks
{
  NowFn mNow;
  std::function<std::string(std::uint32_t aPartition)> mOwner;
  std::function<void(const std::string& aNode, proto::Envelope)> mSend;
  std::function<void(const std::string& aStream,
                     std::vector<std::string>,
                     std::function<void(Result<std::uint64_t> aFirstOffset)>)>
    mAppend;
  std::function<
    void(const std::string& aStream, LogRead, std::function<void(Result<proto::LogRecords>)>)>
    mRead;
};

class ClaimDesk
{
public:
  using Done = std::function<void(const proto::ClaimAnswer&)>;

  ClaimDesk(ClaimDeskOptions aOptions, ClaimDeskHooks aHooks);

  /// Claim a key. `aDone` is called once: with the verdict, or with UNAVAILABLE when there is none
  /// in time; the claim is then void and the request must not be dispatched.
  void Claim(const KeyClaim& aClaim, Done aDone);

  /// Keep the answer of a claim that won, for retries of its key.
  void Report(const std::string& aKey, const std::string& aClaimId, proto::KeptAnswer aAnswer);

  /// A claim that won was not carried out, with proof: the key may be used again.
  void Abandon(const std::string& aKey, const std::string& aClaimId);

  /// Messages of other nodes.
  void OnAsk(const std::string& aFrom, const proto::ClaimAsk& aAsk);
  void OnAnswer(const proto::ClaimAnswer& aAnswer);

  void Tick();

  std::size_t Keys() const;
  std::uint64_t Appends() const { return mAppends; }

private:
  struct Asker
  {
    std::string mNode; ///< this node's own name for its own requests
    std::string mKey;
    std::uint64_t mFingerprint = 0;
    bool mSent = false; ///< its record may be in the log, or land there yet
  };
  struct Partition
  {
    ClaimFold mFold;
    bool mCaughtUp = false;
    bool mReading = false;
    bool mAppending = false;
    TimePoint mNextRead{};
    bool mMustRead = false; ///< an append failed: nothing more is sent before a read succeeds
    TimePoint mNotBefore{}; ///< after a failure
    std::vector<proto::ClaimRecord> mWaiting;
    std::map<std::string, Asker> mAskers; ///< by claim id
  };
  struct Pending
  {
    std::string mKey;
    TimePoint mUntil{};
    Done mDone;
  };

  std::string StreamOf(std::uint32_t aPartition) const;
  void ToOwner(proto::ClaimRecord aRecord);
  void Take(const std::string& aFrom, const proto::ClaimRecord& aRecord);
  void Reply(const std::string& aNode, const proto::ClaimAnswer& aAnswer);
  void ReadIfDue(std::uint32_t aNumber, Partition& aPartition);
  void AppendIfDue(std::uint32_t aNumber, Partition& aPartition);
  void OnAppended(std::uint32_t aNumber,
                  std::vector<proto::ClaimRecord> aBatch,
                  const Result<std::uint64_t>& aFirst);
  void OnRead(Partition& aPartition, const Result<proto::LogRecords>& aRecords);
  void Settle(Partition& aPartition);
  void MakeVoid(Partition& aPartition, const std::string& aClaimId, const Asker& aAsker);
  void RefuseWaiting(Partition& aPartition);
  static proto::ClaimAnswer AnswerOf(const std::string& aClaimId,
                                     const Asker& aAsker,
                                     const ClaimVerdict& aVerdict);

  ClaimDeskOptions mOptions;
  ClaimDeskHooks mHooks;
  std::map<std::uint32_t, Partition> mPartitions;
  std::map<std::string, Pending> mPending; ///< this node's own claims, by claim id
  std::uint64_t mAppends = 0;
};

} // namespace pepperbay
