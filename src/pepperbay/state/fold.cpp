#include "pepperbay/state/fold.hpp"

#include "pepperbay/state/documents.hpp"

#include <algorithm>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <set>

namespace pepperbay {
namespace {

/// The part of a key before its slash.
std::string
KindOf(const std::string& aKey)
{
  return aKey.substr(0, aKey.find('/'));
}

} // namespace

const char*
ToString(FoldVerdict aVerdict)
{
  switch (aVerdict) {
    case FoldVerdict::kAccepted:
      return "accepted";
    case FoldVerdict::kDuplicate:
      return "duplicate";
    case FoldVerdict::kConflict:
      return "conflict";
    case FoldVerdict::kRefused:
      return "refused";
    case FoldVerdict::kMalformed:
      return "malformed";
    case FoldVerdict::kSkipped:
      return "skipped";
  }
  return "malformed";
}

State::State(proto::Snapshot aSnapshot)
  : mContent(std::move(aSnapshot))
{
  RebuildIndex();
}

FoldResult
State::Apply(std::uint64_t aOffset, std::string_view aBytes)
{
  FoldResult result;
  result.mOffset = aOffset;
  if (aOffset < Next()) {
    result.mVerdict = FoldVerdict::kSkipped;
    return result;
  }
  if (aOffset > Next()) {
    result.mVerdict = FoldVerdict::kRefused;
    result.mReason = "gap: expected offset " + std::to_string(Next());
    return result;
  }
  mContent.set_next_offset(aOffset + 1);
  if (!result.mRecord.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    result.mReason = "not a record";
    result.mRecord.Clear();
    return result;
  }
  const proto::Record& record = result.mRecord;
  if (record.format() != kFormat || record.body_case() == proto::Record::BODY_NOT_SET) {
    result.mReason = "format " + std::to_string(record.format()) + " is not known here";
    return result;
  }
  if (aBytes.size() > kMaxRecordBytes && !record.has_snapshot()) {
    result.mReason = "larger than " + std::to_string(kMaxRecordBytes) + " bytes";
    return result;
  }
  if (!TakeId(record.id())) {
    result.mVerdict = FoldVerdict::kDuplicate;
    return result;
  }
  mAuthor = record.id();
  Judgement judgement = Judge(record, aOffset);
  result.mVerdict = judgement.mVerdict;
  result.mReason = std::move(judgement.mReason);
  return result;
}

State::Judgement
State::Judge(const proto::Record& aRecord, std::uint64_t aOffset)
{
  switch (aRecord.body_case()) {
    case proto::Record::kPublish:
      return Fold(aRecord.publish(), aOffset);
    case proto::Record::kClaim:
      return Fold(aRecord.claim(), aOffset);
    case proto::Record::kAssign:
      return Fold(aRecord.assign(), aOffset);
    case proto::Record::kRelease:
      return Fold(aRecord.release());
    case proto::Record::kDrain:
      return Fold(aRecord.drain());
    case proto::Record::kVersionFailed:
      return Fold(aRecord.version_failed());
    case proto::Record::kJoin:
      return Fold(aRecord.join(), aOffset);
    case proto::Record::kLeave:
      return Fold(aRecord.leave());
    case proto::Record::kReserve:
      return Fold(aRecord.reserve());
    case proto::Record::kSnapshot:
      // For nodes that start empty; the others only note where it is.
      mContent.set_last_snapshot(aOffset + 1);
      return {};
    case proto::Record::BODY_NOT_SET:
      break;
  }
  return { FoldVerdict::kMalformed, "no body" };
}

/// An append whose answer was lost is sent again, and a delayed one may arrive after its author's
/// later records. Either would apply twice or out of order; only growing ids pass.
bool
State::TakeId(const proto::RecordId& aId)
{
  proto::Author& author = (*mContent.mutable_authors())[aId.author()];
  const bool older =
    aId.incarnation() < author.incarnation() ||
    (aId.incarnation() == author.incarnation() && aId.sequence() <= author.sequence());
  if (older) {
    return false;
  }
  author.set_incarnation(aId.incarnation());
  author.set_sequence(aId.sequence());
  return true;
}

State::Judgement
State::Fold(const proto::Publish& aPublish, std::uint64_t aOffset)
{
  const bool removes = !aPublish.has_document();
  if (!removes) {
    const std::string problem = ProblemOf(aPublish.document());
    if (!problem.empty()) {
      return { FoldVerdict::kRefused, problem };
    }
    if (KeyOf(aPublish.document()) != aPublish.key()) {
      return { FoldVerdict::kRefused, "key: does not match the document's name" };
    }
  }
  const auto found = mContent.documents().find(aPublish.key());
  const bool known = found != mContent.documents().end();
  const std::uint64_t version = known ? found->second.version() : 0;
  if (version != aPublish.expected_version()) {
    return { FoldVerdict::kConflict,
             aPublish.key() + " is at version " + std::to_string(version) + ", not " +
               std::to_string(aPublish.expected_version()) };
  }
  if (removes && !known) {
    return { FoldVerdict::kRefused, aPublish.key() + " does not exist" };
  }
  std::uint32_t total = SharePermille(aPublish.document());
  for (const auto& [key, versioned] : mContent.documents()) {
    if (key != aPublish.key() && KindOf(key) == KindOf(aPublish.key())) {
      total += SharePermille(versioned.document());
    }
  }
  if (total > kWholePermille) {
    return { FoldVerdict::kRefused,
             "share: all " + KindOf(aPublish.key()) + " together would have " +
               std::to_string(total) + " of 1000 thousandths" };
  }
  proto::Versioned& versioned = (*mContent.mutable_documents())[aPublish.key()];
  versioned.set_version(version + 1);
  versioned.set_offset(aOffset);
  // Another version than the one that failed: the failed one may be tried again later.
  const auto failed = mContent.failed_versions().find(aPublish.document().profile().name());
  if (aPublish.document().has_profile() && failed != mContent.failed_versions().end() &&
      failed->second != aPublish.document().profile().model_version()) {
    mContent.mutable_failed_versions()->erase(aPublish.document().profile().name());
  }
  if (removes) {
    versioned.clear_document();
  } else {
    *versioned.mutable_document() = aPublish.document();
  }
  return {};
}

/// Leases without a clock: a claim counts only if it names the last accepted one, so of a holder
/// that wakes late and its successor the log's order lets one through, whoever's clock is right.
State::Judgement
State::Fold(const proto::Claim& aClaim, std::uint64_t aOffset)
{
  const auto found = mContent.leases().find(aClaim.scope());
  const std::uint64_t last = found == mContent.leases().end() ? 0 : found->second.last();
  if (aClaim.previous() != last) {
    return { FoldVerdict::kConflict, "the lease has moved on to record " + std::to_string(last) };
  }
  if (aClaim.holder() != mAuthor.author() || aClaim.incarnation() != mAuthor.incarnation()) {
    return { FoldVerdict::kRefused, "holder: is not the record's author" };
  }
  proto::LeaseState& lease = (*mContent.mutable_leases())[aClaim.scope()];
  const bool holds = !lease.released() && lease.holder() == aClaim.holder() &&
                     lease.incarnation() == aClaim.incarnation();
  if (aClaim.release() && !holds) {
    return { FoldVerdict::kRefused, "released by one that does not hold it" };
  }
  if (!holds) {
    lease.set_fence(aOffset + 1);
  }
  lease.set_holder(aClaim.holder());
  lease.set_incarnation(aClaim.incarnation());
  lease.set_last(aOffset + 1);
  lease.set_released(aClaim.release());
  return {};
}

State::Judgement
State::CheckFence(const std::string& aScope,
                  std::uint64_t aFence,
                  const proto::RecordId& aAuthor) const
{
  const auto it = mContent.leases().find(aScope);
  const bool holds = it != mContent.leases().end() && !it->second.released() &&
                     it->second.fence() == aFence && it->second.holder() == aAuthor.author() &&
                     it->second.incarnation() == aAuthor.incarnation();
  if (!holds) {
    return { FoldVerdict::kRefused,
             "fence: " + std::to_string(aFence) + " does not hold the lease of " + aScope };
  }
  return {};
}

State::Judgement
State::CheckMembers(const proto::Assign& aAssign) const
{
  std::set<std::string> hosts;
  for (const auto& it : aAssign.members()) {
    if (!hosts.insert(it.host()).second) {
      return { FoldVerdict::kRefused, "members: " + it.host() + " is named twice" };
    }
    if (it.domain() != aAssign.members(0).domain()) {
      return { FoldVerdict::kRefused, "members: are of different fabric domains" };
    }
    const auto owner = mReplicaByHost.find(it.host());
    if (owner != mReplicaByHost.end() && owner->second != aAssign.replica()) {
      return { FoldVerdict::kRefused,
               "members: " + it.host() + " belongs to replica " + owner->second };
    }
  }
  return {};
}

State::Judgement
State::Fold(const proto::Assign& aAssign, std::uint64_t aOffset)
{
  Judgement judgement = CheckFence(aAssign.scope(), aAssign.fence(), mAuthor);
  if (judgement.mVerdict != FoldVerdict::kAccepted) {
    return judgement;
  }
  const proto::Profile* profile = FindProfile(aAssign.profile());
  if (profile == nullptr) {
    return { FoldVerdict::kRefused, "profile: " + aAssign.profile() + " does not exist" };
  }
  if (static_cast<std::uint32_t>(aAssign.members_size()) != profile->hosts_per_replica()) {
    return { FoldVerdict::kRefused,
             "members: the profile wants " + std::to_string(profile->hosts_per_replica()) };
  }
  judgement = CheckMembers(aAssign);
  if (judgement.mVerdict != FoldVerdict::kAccepted) {
    return judgement;
  }
  const auto last = mContent.generations().find(aAssign.replica());
  const std::uint64_t generation = last == mContent.generations().end() ? 0 : last->second;
  if (aAssign.generation() != generation + 1) {
    return { FoldVerdict::kConflict,
             "generation: the last one given is " + std::to_string(generation) };
  }
  const auto live = mContent.replicas().find(aAssign.replica());
  if (live != mContent.replicas().end() && live->second.assign().scope() != aAssign.scope()) {
    return { FoldVerdict::kRefused, "replica: belongs to another data centre" };
  }
  proto::ReplicaState& replica = (*mContent.mutable_replicas())[aAssign.replica()];
  Unindex(replica);
  if (replica.assign().model_version() != aAssign.model_version()) {
    replica.set_previous_version(replica.assign().model_version());
  }
  *replica.mutable_assign() = aAssign;
  replica.set_closing(false);
  replica.set_offset(aOffset);
  (*mContent.mutable_generations())[aAssign.replica()] = aAssign.generation();
  for (const auto& it : aAssign.members()) {
    mContent.mutable_reserves()->erase(it.host());
    mReplicaByHost[it.host()] = aAssign.replica();
  }
  return {};
}

State::Judgement
State::Fold(const proto::Release& aRelease)
{
  Judgement judgement = CheckFence(aRelease.scope(), aRelease.fence(), mAuthor);
  if (judgement.mVerdict != FoldVerdict::kAccepted) {
    return judgement;
  }
  const auto it = mContent.mutable_replicas()->find(aRelease.replica());
  const bool same = it != mContent.replicas().end() &&
                    it->second.assign().generation() == aRelease.generation() &&
                    it->second.assign().scope() == aRelease.scope();
  if (!same) {
    return { FoldVerdict::kConflict, "replica: is not live in that generation" };
  }
  if (aRelease.closing()) {
    it->second.set_closing(true);
    return {};
  }
  if (!it->second.closing()) {
    return { FoldVerdict::kRefused, "replica: must be closing before its hosts are free" };
  }
  Unindex(it->second);
  mContent.mutable_replicas()->erase(aRelease.replica());
  return {};
}

State::Judgement
State::Fold(const proto::Drain& aDrain)
{
  if (aDrain.host().empty() || aDrain.host_incarnation() == 0) {
    return { FoldVerdict::kRefused, "host: a host and its incarnation are needed" };
  }
  std::uint64_t& incarnation = (*mContent.mutable_drains())[aDrain.host()];
  incarnation = std::max(incarnation, aDrain.host_incarnation());
  return {};
}

State::Judgement
State::Fold(const proto::VersionFailed& aFailed)
{
  Judgement judgement = CheckFence(aFailed.scope(), aFailed.fence(), mAuthor);
  if (judgement.mVerdict != FoldVerdict::kAccepted) {
    return judgement;
  }
  (*mContent.mutable_failed_versions())[aFailed.profile()] = aFailed.model_version();
  return {};
}

State::Judgement
State::Fold(const proto::Join& aJoin, std::uint64_t aOffset)
{
  if (aJoin.node() != mAuthor.author() || aJoin.incarnation() != mAuthor.incarnation()) {
    return { FoldVerdict::kRefused, "node: is not the record's author" };
  }
  proto::NodeState& node = (*mContent.mutable_nodes())[aJoin.node()];
  if (node.join().incarnation() > aJoin.incarnation()) {
    return { FoldVerdict::kConflict, "a newer incarnation has joined" };
  }
  *node.mutable_join() = aJoin;
  node.set_offset(aOffset);
  return {};
}

State::Judgement
State::Fold(const proto::Leave& aLeave)
{
  const auto it = mContent.nodes().find(aLeave.node());
  if (it == mContent.nodes().end() || it->second.join().incarnation() != aLeave.incarnation()) {
    return { FoldVerdict::kConflict, "that incarnation is not a member" };
  }
  mContent.mutable_nodes()->erase(aLeave.node());
  // Its record ids go with it, or hosts that are replaced daily would make the state grow for ever.
  // A late record of its own is then judged by its body alone, and each body names the version,
  // generation, incarnation or fencing number that it was made from.
  if (aLeave.node() != mAuthor.author()) {
    mContent.mutable_authors()->erase(aLeave.node());
  }
  return {};
}

State::Judgement
State::Fold(const proto::Reserve& aReserve)
{
  Judgement judgement = CheckFence(aReserve.scope(), aReserve.fence(), mAuthor);
  if (judgement.mVerdict != FoldVerdict::kAccepted) {
    return judgement;
  }
  const std::string& host = aReserve.spare().host();
  if (mReplicaByHost.count(host) > 0) {
    return { FoldVerdict::kRefused, "spare: " + host + " is in a replica" };
  }
  if (aReserve.replicas().empty()) {
    mContent.mutable_reserves()->erase(host);
  } else {
    (*mContent.mutable_reserves())[host] = aReserve;
  }
  return {};
}

std::string
State::Serialise() const
{
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    mContent.SerializeToCodedStream(&coded);
  }
  return bytes;
}

const proto::ReplicaState*
State::ReplicaOfHost(const std::string& aHost) const
{
  const auto it = mReplicaByHost.find(aHost);
  if (it == mReplicaByHost.end()) {
    return nullptr;
  }
  return &mContent.replicas().at(it->second);
}

const proto::Profile*
State::FindProfile(const std::string& aName) const
{
  const auto it = mContent.documents().find("profiles/" + aName);
  const bool found = it != mContent.documents().end() && it->second.document().has_profile();
  return found ? &it->second.document().profile() : nullptr;
}

void
State::RebuildIndex()
{
  mReplicaByHost.clear();
  for (const auto& [name, replica] : mContent.replicas()) {
    for (const auto& member : replica.assign().members()) {
      mReplicaByHost[member.host()] = name;
    }
  }
}

void
State::Unindex(const proto::ReplicaState& aReplica)
{
  for (const auto& member : aReplica.assign().members()) {
    mReplicaByHost.erase(member.host());
  }
}

proto::Record
MakeRecord(const std::string& aAuthor, std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  proto::Record record;
  record.set_format(kFormat);
  record.mutable_id()->set_author(aAuthor);
  record.mutable_id()->set_incarnation(aIncarnation);
  record.mutable_id()->set_sequence(aSequence);
  return record;
}

} // namespace pepperbay
