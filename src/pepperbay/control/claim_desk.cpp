#include "claim_desk.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr std::size_t kMaxBatch = 256;
constexpr std::size_t kMaxRead = 1024;
constexpr Duration kAfterFailure = std::chrono::milliseconds(200);

proto::ClaimRecord
MakeClaimRecord(proto::ClaimRecord::Kind aKind,
                const std::string& aKey,
                const std::string& aClaimId)
{
  proto::ClaimRecord record;
  record.set_kind(aKind);
  record.set_key(aKey);
  record.set_claim_id(aClaimId);
  return record;
}

proto::ClaimAnswer
Unavailable(const std::string& aClaimId)
{
  proto::ClaimAnswer answer;
  answer.set_claim_id(aClaimId);
  answer.set_verdict(proto::ClaimAnswer::UNAVAILABLE);
  return answer;
}

/// Drop the claim that a record is about, when it still waits.
/// @return whether it did: the log has then never seen it
bool
DropWaiting(std::vector<proto::ClaimRecord>& aWaiting, const proto::ClaimRecord& aAbout)
{
  const auto it = std::find_if(aWaiting.begin(), aWaiting.end(), [&](const auto& aRecord) {
    return aRecord.kind() == proto::ClaimRecord::CLAIM && aRecord.claim_id() == aAbout.claim_id();
  });
  if (it == aWaiting.end()) {
    return false;
  }
  aWaiting.erase(it);
  return true;
}

} // namespace

ClaimDesk::ClaimDesk(ClaimDeskOptions aOptions, ClaimDeskHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
{
}

std::string
ClaimDesk::StreamOf(std::uint32_t aPartition) const
{
  return mOptions.mStreamPrefix + "-" + std::to_string(aPartition);
}

std::size_t
ClaimDesk::Keys() const
{
  std::size_t n = 0;
  for (const auto& [number, partition] : mPartitions) {
    n += partition.mFold.Keys();
  }
  return n;
}

// ---- The node that took the request ----

void
ClaimDesk::Claim(const KeyClaim& aClaim, Done aDone)
{
  mPending[aClaim.mClaimId] = { aClaim.mKey, mHooks.mNow() + aClaim.mTimeLimit, std::move(aDone) };
  proto::ClaimRecord record =
    MakeClaimRecord(proto::ClaimRecord::CLAIM, aClaim.mKey, aClaim.mClaimId);
  record.set_fingerprint(aClaim.mFingerprint);
  ToOwner(std::move(record));
}

void
ClaimDesk::Report(const std::string& aKey, const std::string& aClaimId, proto::KeptAnswer aAnswer)
{
  proto::ClaimRecord record = MakeClaimRecord(proto::ClaimRecord::ANSWER, aKey, aClaimId);
  if (aAnswer.body().size() > kMaxKeptAnswer) {
    aAnswer.clear_body();
    aAnswer.set_body_left_out(true);
  }
  *record.mutable_answer() = std::move(aAnswer);
  ToOwner(std::move(record));
}

void
ClaimDesk::Abandon(const std::string& aKey, const std::string& aClaimId)
{
  ToOwner(MakeClaimRecord(proto::ClaimRecord::ABANDON, aKey, aClaimId));
}

void
ClaimDesk::ToOwner(proto::ClaimRecord aRecord)
{
  const std::string owner = mHooks.mOwner(PartitionOf(aRecord.key(), mOptions.mPartitions));
  if (owner == mOptions.mSelf) {
    Take(mOptions.mSelf, aRecord);
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_claim_ask()->mutable_record() = std::move(aRecord);
  mHooks.mSend(owner, std::move(envelope));
}

void
ClaimDesk::OnAnswer(const proto::ClaimAnswer& aAnswer)
{
  const auto it = mPending.find(aAnswer.claim_id());
  if (it == mPending.end()) {
    return; // given up before; whatever it says, the request was answered "not run"
  }
  const Done done = std::move(it->second.mDone);
  mPending.erase(it);
  done(aAnswer);
}

// ---- The owner of a partition ----

void
ClaimDesk::OnAsk(const std::string& aFrom, const proto::ClaimAsk& aAsk)
{
  if (!aAsk.record().key().empty() && !aAsk.record().claim_id().empty()) {
    Take(aFrom, aAsk.record());
  }
}

void
ClaimDesk::Take(const std::string& aFrom, const proto::ClaimRecord& aRecord)
{
  const std::uint32_t number = PartitionOf(aRecord.key(), mOptions.mPartitions);
  Partition& partition = mPartitions[number];
  if (aRecord.kind() == proto::ClaimRecord::ABANDON && DropWaiting(partition.mWaiting, aRecord)) {
    partition.mAskers.erase(aRecord.claim_id());
    return;
  }
  if (aRecord.kind() != proto::ClaimRecord::CLAIM) {
    partition.mWaiting.push_back(aRecord);
    return;
  }
  if (partition.mFold.Keys() >= mOptions.mMostKeys) {
    Reply(aFrom, Unavailable(aRecord.claim_id()));
    return;
  }
  partition.mAskers[aRecord.claim_id()] = { aFrom, aRecord.key(), aRecord.fingerprint(), false };
  // A key that is known to be taken needs no append.
  if (partition.mCaughtUp && partition.mFold.Judge(aRecord.key(), aRecord.claim_id()).mStanding !=
                               ClaimStanding::kUnknown) {
    Settle(partition);
    return;
  }
  partition.mWaiting.push_back(aRecord);
}

void
ClaimDesk::Reply(const std::string& aNode, const proto::ClaimAnswer& aAnswer)
{
  if (aNode == mOptions.mSelf) {
    OnAnswer(aAnswer);
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_claim_answer() = aAnswer;
  mHooks.mSend(aNode, std::move(envelope));
}

proto::ClaimAnswer
ClaimDesk::AnswerOf(const std::string& aClaimId, const Asker& aAsker, const ClaimVerdict& aVerdict)
{
  proto::ClaimAnswer answer;
  answer.set_claim_id(aClaimId);
  // A key used again for another request: its kept answer would be somebody else's.
  const bool other = aVerdict.mFingerprint != 0 && aAsker.mFingerprint != 0 &&
                     aVerdict.mFingerprint != aAsker.mFingerprint;
  if (other && aVerdict.mStanding != ClaimStanding::kWon) {
    answer.set_verdict(proto::ClaimAnswer::MISMATCH);
    return answer;
  }
  switch (aVerdict.mStanding) {
    case ClaimStanding::kUnknown:
      break;
    case ClaimStanding::kWon:
      answer.set_verdict(proto::ClaimAnswer::WON);
      break;
    case ClaimStanding::kTaken:
      answer.set_verdict(proto::ClaimAnswer::TAKEN);
      break;
    case ClaimStanding::kAnswered:
      answer.set_verdict(proto::ClaimAnswer::ANSWERED);
      *answer.mutable_answer() = aVerdict.mAnswer;
      break;
  }
  return answer;
}

void
ClaimDesk::Settle(Partition& aPartition)
{
  std::vector<std::string> settled;
  for (const auto& [id, asker] : aPartition.mAskers) {
    if (aPartition.mFold.Judge(asker.mKey, id).mStanding != ClaimStanding::kUnknown) {
      settled.push_back(id);
    }
  }
  for (const auto& id : settled) {
    const Asker asker = aPartition.mAskers.at(id);
    const ClaimVerdict verdict = aPartition.mFold.Judge(asker.mKey, id);
    aPartition.mAskers.erase(id);
    if (verdict.mStanding != ClaimStanding::kWon) {
      MakeVoid(aPartition, id, asker);
    }
    Reply(asker.mNode, AnswerOf(id, asker, verdict));
  }
}

/// A claim whose asker is told anything but WON must never win later: should the claim before it be
/// abandoned, its key would be taken by a request that nobody carries out.
void
ClaimDesk::MakeVoid(Partition& aPartition, const std::string& aClaimId, const Asker& aAsker)
{
  proto::ClaimRecord record = MakeClaimRecord(proto::ClaimRecord::ABANDON, aAsker.mKey, aClaimId);
  if (aAsker.mSent) {
    aPartition.mWaiting.push_back(std::move(record));
  } else {
    DropWaiting(aPartition.mWaiting, record);
  }
}

/// The log is out. What was never sent to it can be refused without a trace, at once.
void
ClaimDesk::RefuseWaiting(Partition& aPartition)
{
  std::vector<proto::ClaimRecord> kept;
  for (auto& it : aPartition.mWaiting) {
    const auto asker = aPartition.mAskers.find(it.claim_id());
    if (it.kind() != proto::ClaimRecord::CLAIM || asker == aPartition.mAskers.end()) {
      kept.push_back(std::move(it));
      continue;
    }
    const std::string node = asker->second.mNode;
    aPartition.mAskers.erase(asker);
    Reply(node, Unavailable(it.claim_id()));
  }
  aPartition.mWaiting = std::move(kept);
}

void
ClaimDesk::ReadIfDue(std::uint32_t aNumber, Partition& aPartition)
{
  const TimePoint now = mHooks.mNow();
  const bool due = !aPartition.mCaughtUp || now >= aPartition.mNextRead;
  if (aPartition.mReading || !due || now < aPartition.mNotBefore) {
    return;
  }
  aPartition.mReading = true;
  mHooks.mRead(StreamOf(aNumber),
               { aPartition.mFold.Next(), kMaxRead },
               [this, aNumber](const Result<proto::LogRecords>& aRecords) {
                 OnRead(mPartitions[aNumber], aRecords);
               });
}

void
ClaimDesk::OnRead(Partition& aPartition, const Result<proto::LogRecords>& aRecords)
{
  const TimePoint now = mHooks.mNow();
  aPartition.mReading = false;
  if (!aRecords.has_value()) {
    aPartition.mNotBefore = now + kAfterFailure;
    if (!aPartition.mCaughtUp) {
      RefuseWaiting(aPartition);
    }
    return;
  }
  const proto::LogRecords& read = aRecords.value();
  aPartition.mFold.StartAt(read.earliest());
  for (int i = 0; i < read.records_size(); ++i) {
    aPartition.mFold.Apply(read.first_offset() + static_cast<std::uint64_t>(i), read.records(i));
  }
  aPartition.mFold.ForgetBefore(read.earliest());
  aPartition.mMustRead = false;
  aPartition.mCaughtUp = aPartition.mFold.Next() >= read.end();
  aPartition.mNextRead = now + mOptions.mReadEvery;
  Settle(aPartition);
}

void
ClaimDesk::AppendIfDue(std::uint32_t aNumber, Partition& aPartition)
{
  const TimePoint now = mHooks.mNow();
  const bool held = aPartition.mMustRead || now < aPartition.mNotBefore;
  if (aPartition.mAppending || aPartition.mWaiting.empty() || held) {
    return;
  }
  std::vector<proto::ClaimRecord> batch;
  std::vector<std::string> bytes;
  const std::size_t n = std::min(kMaxBatch, aPartition.mWaiting.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto asker = aPartition.mAskers.find(aPartition.mWaiting[i].claim_id());
    if (asker != aPartition.mAskers.end()) {
      asker->second.mSent = true;
    }
    bytes.push_back(aPartition.mWaiting[i].SerializeAsString());
    batch.push_back(std::move(aPartition.mWaiting[i]));
  }
  aPartition.mWaiting.erase(aPartition.mWaiting.begin(),
                            aPartition.mWaiting.begin() + static_cast<std::ptrdiff_t>(n));
  aPartition.mAppending = true;
  ++mAppends;
  mHooks.mAppend(StreamOf(aNumber),
                 std::move(bytes),
                 [this, aNumber, batch = std::move(batch)](const Result<std::uint64_t>& aFirst) {
                   OnAppended(aNumber, batch, aFirst);
                 });
}

void
ClaimDesk::OnAppended(std::uint32_t aNumber,
                      std::vector<proto::ClaimRecord> aBatch,
                      const Result<std::uint64_t>& aFirst)
{
  Partition& partition = mPartitions[aNumber];
  partition.mAppending = false;
  if (aFirst.has_value()) {
    if (partition.mCaughtUp && aFirst.value() == partition.mFold.Next()) {
      std::uint64_t offset = aFirst.value();
      for (const auto& it : aBatch) {
        partition.mFold.Apply(offset++, it.SerializeAsString());
      }
    } else {
      partition.mCaughtUp = false; // somebody else has written too: read what lies between
    }
    Settle(partition);
    return;
  }
  // No log, no claim. Whether it took effect is unknown, so the claims are made void for good and
  // what the stream says must be read before anything else is decided.
  partition.mCaughtUp = false;
  partition.mMustRead = true;
  partition.mNotBefore = mHooks.mNow() + kAfterFailure;
  for (auto& it : aBatch) {
    if (it.kind() != proto::ClaimRecord::CLAIM) {
      partition.mWaiting.push_back(std::move(it));
      continue;
    }
    const auto found = partition.mAskers.find(it.claim_id());
    if (found == partition.mAskers.end()) {
      continue; // its asker had another answer, and the claim was made void then
    }
    const Asker asker = found->second;
    partition.mAskers.erase(found);
    MakeVoid(partition, it.claim_id(), asker);
    Reply(asker.mNode, Unavailable(it.claim_id()));
  }
}

void
ClaimDesk::Tick()
{
  const TimePoint now = mHooks.mNow();
  std::vector<std::string> late;
  for (const auto& [id, pending] : mPending) {
    if (pending.mUntil <= now) {
      late.push_back(id);
    }
  }
  for (const auto& id : late) {
    const Pending pending = std::move(mPending.at(id));
    mPending.erase(id);
    pending.mDone(Unavailable(id));
    Abandon(pending.mKey, id);
  }
  for (auto& [number, partition] : mPartitions) {
    ReadIfDue(number, partition);
    AppendIfDue(number, partition);
  }
}

} // namespace pepperbay
