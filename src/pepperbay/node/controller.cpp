#include "controller_impl.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/node/log.hpp"
#include "pepperbay/wire/codec.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// Nodes of a data centre that talk for it to the others.
constexpr std::size_t kDelegates = 2;
constexpr Duration kJoinRetry = std::chrono::seconds(1);
constexpr Duration kSeedRetry = std::chrono::milliseconds(300);
constexpr Duration kSweepEvery = std::chrono::seconds(1);
constexpr Duration kStopPatience = std::chrono::seconds(5);
constexpr Duration kPublishPatience = std::chrono::seconds(10);

AppenderOptions
MakeAppenderOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  AppenderOptions options;
  options.mAuthor = aSettings.mPlace.mName;
  options.mIncarnation = aIncarnation;
  return options;
}

RosterOptions
MakeRosterOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  RosterOptions options;
  options.mSelf = aSettings.mPlace.mName;
  options.mIncarnation = aIncarnation;
  options.mSuspectAfter = aSettings.mControl.mSuspectAfter;
  options.mLapseAfter = aSettings.mControl.mLapseAfter;
  return options;
}

ClaimDeskOptions
MakeClaimOptions(const Settings& aSettings)
{
  ClaimDeskOptions options;
  options.mSelf = aSettings.mPlace.mName;
  options.mStreamPrefix = aSettings.mPlatform.mClaimsStream;
  options.mPartitions = static_cast<std::uint32_t>(aSettings.mRequests.mClaimPartitions);
  return options;
}

const char*
ToString(Hearing aHearing)
{
  switch (aHearing) {
    case Hearing::kAccepted:
      return "accepted";
    case Hearing::kSelf:
      return "own";
    case Hearing::kOldIncarnation:
      return "old_incarnation";
    case Hearing::kReordered:
      return "reordered";
    case Hearing::kWrongPlace:
      return "wrong_data_centre";
  }
  return "accepted";
}

} // namespace

Controller::Impl::Impl(const Settings& aSettings,
                       std::uint64_t aIncarnation,
                       ControllerHooks aHooks)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mHooks(std::move(aHooks))
  , mStarted(mHooks.mNow())
  , mRoster(MakeRosterOptions(aSettings, aIncarnation))
  , mWatch(aSettings.mControl, aSettings.mRequests.mSlotsPerReplica, aSettings.mPlace.mName)
  , mAppender(MakeAppenderOptions(aSettings, aIncarnation))
  , mFollower(FollowerOptions(),
              FollowerHooks{
                [this] { return mState.Next(); },
                [this](std::uint64_t aOffset, const std::string& aBytes) { Fold(aOffset, aBytes); },
                [this](const proto::Snapshot& aSnapshot) { Install(aSnapshot); } })
  , mHolder(aSettings,
            aIncarnation,
            HolderHooks{ [this](proto::Record aRecord, TimePoint aGiveUp, Appender::Done aDone) {
                          return Submit(std::move(aRecord), aGiveUp, std::move(aDone));
                        },
                         [this](const HostOrder& aOrder, Duration aTimeout) {
                           mHooks.mOrder(aOrder, aTimeout, [this](const Result<void>& aDone) {
                             mCounters.mOrdersRefused += aDone.has_value() ? 0 : 1;
                           });
                         } })
  , mClaims(MakeClaimOptions(aSettings), MakeClaimHooks())
{
}

ClaimDeskHooks
Controller::Impl::MakeClaimHooks()
{
  ClaimDeskHooks hooks;
  hooks.mNow = mHooks.mNow;
  hooks.mOwner = [this](std::uint32_t aPartition) {
    return OwnerOf("claims/" + std::to_string(aPartition));
  };
  hooks.mSend = [this](const std::string& aNode, proto::Envelope aEnvelope) {
    proto::Envelope envelope = MakeEnvelope();
    envelope.MergeFrom(aEnvelope);
    Send(aNode, std::move(envelope));
  };
  hooks.mAppend = mHooks.mAppendClaims;
  hooks.mRead = mHooks.mReadClaims;
  return hooks;
}

// ---- The fold ----

void
Controller::Impl::Fold(std::uint64_t aOffset, const std::string& aBytes)
{
  const FoldResult result = mState.Apply(aOffset, aBytes);
  ++mCounters.mFolded[pepperbay::ToString(result.mVerdict)];
  mViewDirty = true;
  mEffectiveStale = true;
  ++mRevision;
  DropFolded(mState, &mRepairs);
  AfterFold(result);
}

void
Controller::Impl::AfterFold(const FoldResult& aResult)
{
  const TimePoint now = mHooks.mNow();
  const proto::Record& record = aResult.mRecord;
  if (aResult.mVerdict == FoldVerdict::kAccepted) {
    if (record.has_join()) {
      mRoster.OnJoin(record.join(), now);
    } else if (record.has_leave()) {
      mRoster.OnLeave(record.leave().node());
    } else if (record.has_publish()) {
      LogEvent(
        "config.accepted",
        { { "key", record.publish().key() }, { "offset", std::to_string(aResult.mOffset) } });
    } else if (record.has_assign()) {
      LogEvent("replica.assigned",
               { { "replica", record.assign().replica() },
                 { "generation", std::to_string(record.assign().generation()) } });
    }
  }
  if (record.has_claim()) {
    mHolder.OnState(mState, now);
  }
  const bool own =
    record.id().author() == mSettings.mPlace.mName && record.id().incarnation() == mIncarnation;
  if (!own || aResult.mVerdict == FoldVerdict::kDuplicate) {
    return;
  }
  if (aResult.mVerdict == FoldVerdict::kAccepted) {
    mAppender.OnFolded(record.id().sequence(), aResult.mOffset);
    return;
  }
  const Errc code = aResult.mVerdict == FoldVerdict::kConflict ? Errc::kConflict : Errc::kInvalid;
  mAppender.OnFolded(record.id().sequence(), Error{ code, "fold", "", aResult.mReason });
}

void
Controller::Impl::Install(const proto::Snapshot& aSnapshot)
{
  const TimePoint now = mHooks.mNow();
  mState = State(aSnapshot);
  for (const auto& [name, node] : mState.Content().nodes()) {
    mRoster.OnJoin(node.join(), now);
  }
  mHolder.OnState(mState, now);
  mViewDirty = true;
  mEffectiveStale = true;
  DropFolded(mState, &mRepairs);
  ++mRevision;
  LogEvent("state.installed", { { "offset", std::to_string(mState.Next()) } });
}

Result<void>
Controller::Impl::Submit(proto::Record aRecord, TimePoint aGiveUp, Appender::Done aDone)
{
  return mAppender.Submit(std::move(aRecord), aGiveUp, std::move(aDone));
}

// ---- The log ----

void
Controller::Impl::ReadLog()
{
  const TimePoint now = mHooks.mNow();
  LogRead read;
  if (now < mNextRead || !mFollower.NextRead(now, &read)) {
    return;
  }
  mNextRead = now + mSettings.mPlatform.mReadEvery;
  ++mCounters.mReads;
  mHooks.mRead(read, [this](Result<proto::LogRecords> aRecords) {
    const TimePoint then = mHooks.mNow();
    const bool reachable = mFollower.LogReachable();
    if (aRecords.has_value()) {
      mFollower.OnRead(aRecords.value(), then);
    } else {
      mFollower.OnReadFailed(then);
    }
    if (reachable != mFollower.LogReachable()) {
      ++mRevision;
      LogEvent(mFollower.LogReachable() ? "log.reachable" : "log.unreachable");
    }
  });
}

void
Controller::Impl::AppendDue()
{
  const TimePoint now = mHooks.mNow();
  mAppender.ExpireBefore(now);
  auto batch = mAppender.Next(now);
  if (batch.empty()) {
    return;
  }
  ++mCounters.mAppends;
  mHooks.mAppend(std::move(batch),
                 [this](bool aAppended) { mAppender.OnAnswer(aAppended, mHooks.mNow()); });
}

// ---- Membership ----

/// Tell the log that this node is here, until the fold says so.
void
Controller::Impl::JoinWhenDue()
{
  const TimePoint now = mHooks.mNow();
  const auto it = mState.Content().nodes().find(mSettings.mPlace.mName);
  const bool joined =
    it != mState.Content().nodes().end() && it->second.join().incarnation() == mIncarnation;
  if (joined || mJoinOutstanding || mStopping || now < mNextJoin || !mFollower.LogReachable()) {
    return;
  }
  mNextJoin = now + kJoinRetry;
  proto::Record record;
  proto::Join& join = *record.mutable_join();
  join.set_node(mSettings.mPlace.mName);
  join.set_incarnation(mIncarnation);
  join.set_data_centre(mSettings.mPlace.mDataCentre);
  join.set_peer_address(mSettings.mPlace.mPeersPublic);
  join.set_caller_address(mSettings.mPlace.mCallers);
  const auto queued = Submit(std::move(record),
                             now + kPublishPatience,
                             [this](const Result<std::uint64_t>&) { mJoinOutstanding = false; });
  mJoinOutstanding = queued.has_value();
}

/// The holder removes nodes that have been silent for so long that nothing of theirs can still be
/// in progress; without it the list of nodes would only grow.
void
Controller::Impl::RemoveLapsedNodes()
{
  const TimePoint now = mHooks.mNow();
  if (now < mNextSweep) {
    return;
  }
  mNextSweep = now + kSweepEvery;
  mRoster.Forget(now);
  mWatch.Forget(now);
  if (!mHolder.Lease().Held(now) || mAppender.Waiting() > 0) {
    return;
  }
  for (const auto& [name, node] : mState.Content().nodes()) {
    const bool ours =
      node.join().data_centre() == mSettings.mPlace.mDataCentre && name != mSettings.mPlace.mName;
    const Duration longest = mSettings.mRequests.mLongestDeadline;
    if (!ours || mRoster.MayBeWorking(name, longest, now)) {
      continue;
    }
    proto::Record record;
    record.mutable_leave()->set_node(name);
    record.mutable_leave()->set_incarnation(node.join().incarnation());
    (void)Submit(std::move(record), now + kPublishPatience, {});
  }
}

std::vector<std::string>
Controller::Impl::NodesOf(const std::string& aDataCentre) const
{
  std::vector<std::string> nodes;
  for (const auto& [name, peer] : mRoster.Peers()) {
    if (peer.mDataCentre == aDataCentre) {
      nodes.push_back(name);
    }
  }
  return nodes;
}

bool
Controller::Impl::IsDelegate() const
{
  std::vector<std::string> nodes = AliveHere();
  nodes.push_back(mSettings.mPlace.mName);
  const auto delegates = RendezvousTop("delegates", nodes, kDelegates);
  return std::find(delegates.begin(), delegates.end(), mSettings.mPlace.mName) != delegates.end();
}

/// All nodes of the own data centre; the delegates of the others, from a delegate only.
std::vector<std::string>
Controller::Impl::HeartbeatTargets() const
{
  std::vector<std::string> targets = NodesOf(mSettings.mPlace.mDataCentre);
  if (!IsDelegate()) {
    return targets;
  }
  std::set<std::string> others;
  for (const auto& [name, peer] : mRoster.Peers()) {
    if (peer.mDataCentre != mSettings.mPlace.mDataCentre) {
      others.insert(peer.mDataCentre);
    }
  }
  for (const auto& it : others) {
    // One more than they are, so that a delegate which has just died is not the only one asked.
    for (auto& node : RendezvousTop("delegates", NodesOf(it), kDelegates + 1)) {
      targets.push_back(std::move(node));
    }
  }
  return targets;
}

proto::Envelope
Controller::Impl::MakeEnvelope() const
{
  proto::Envelope envelope;
  envelope.set_format(kWireFormat);
  envelope.set_from(mSettings.mPlace.mName);
  envelope.set_incarnation(mIncarnation);
  envelope.set_data_centre(mSettings.mPlace.mDataCentre);
  return envelope;
}

void
Controller::Impl::Send(const std::string& aNode, proto::Envelope aEnvelope)
{
  const Peer* peer = mRoster.Find(aNode);
  if (peer == nullptr || peer->mAddress.empty()) {
    return;
  }
  mRoster.Stamp(aNode, &aEnvelope, mHooks.mNow());
  mHooks.mSend(peer->mAddress, aEnvelope);
}

/// All of a heartbeat but its evidence and usage, which differ by receiver.
proto::Envelope
Controller::Impl::MakeHeartbeat() const
{
  proto::Envelope envelope = MakeEnvelope();
  proto::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
  heartbeat.set_applied(mState.Next());
  heartbeat.set_stopping(mStopping);
  for (const auto& [key, load] : mLoads) {
    if (load->Closed()) {
      proto::DrainReport& report = *heartbeat.add_drained();
      report.set_replica(key.mReplica);
      report.set_generation(key.mGeneration);
      report.set_in_flight(static_cast<std::uint32_t>(load->InFlight()));
    }
  }
  for (const auto& [name, repair] : mRepairs) {
    *heartbeat.add_outage_repairs() = repair;
  }
  for (const auto& [host, incarnation] : mLocalDrains) {
    proto::Drain& drain = *heartbeat.add_drains();
    drain.set_host(host);
    drain.set_host_incarnation(incarnation);
  }
  if (mState.Content().nodes().count(mSettings.mPlace.mName) == 0) {
    heartbeat.set_peer_address(mSettings.mPlace.mPeersPublic);
  }
  if (IsDelegate()) {
    AddSummaries(&heartbeat);
  }
  return envelope;
}

void
Controller::Impl::Heartbeat()
{
  const TimePoint now = mHooks.mNow();
  if (now < mNextHeartbeat) {
    return;
  }
  mNextHeartbeat = now + mSettings.mControl.mHeartbeat;
  proto::Envelope envelope = MakeHeartbeat();
  mWatch.Share(envelope.mutable_heartbeat(), now);
  const UsageByProfile own = mHooks.mTraffic().mUsage;
  const std::string collector = Collector();
  const bool collects = collector == mSettings.mPlace.mName;
  if (collects) {
    mUsageTotal = TotalUsage(own);
    mUsageTotalAt = now;
    mUsageInTotal = own;
    AddUsage(mUsageTotal, envelope.mutable_heartbeat());
    envelope.mutable_heartbeat()->set_usage_total(true);
  }
  mUsageTold = own;
  for (const auto& it : HeartbeatTargets()) {
    if (it == collector) {
      proto::Envelope withUsage = envelope;
      AddUsage(own, withUsage.mutable_heartbeat());
      Send(it, std::move(withUsage));
    } else {
      Send(it, envelope);
    }
  }
  ++mCounters.mHeartbeats;
}

/// The node that adds up what all nodes of the data centre run. It costs each node one list out and
/// one in, where everybody telling everybody would cost a list a peer. It is no authority: when it
/// falls silent the next in rank takes over, and until then nodes fall back to their even part.
std::string
Controller::Impl::Collector() const
{
  return OwnerOf("usage");
}

/// The live node of this data centre that does a thing for all; each node computes the same one
/// once they agree on who is alive.
std::string
Controller::Impl::OwnerOf(const std::string& aThing) const
{
  std::vector<std::string> nodes = AliveHere();
  nodes.push_back(mSettings.mPlace.mName);
  return RendezvousTop(aThing, nodes, 1).front();
}

std::vector<std::string>
Controller::Impl::AliveHere() const
{
  std::vector<std::string> nodes;
  for (auto& it : mRoster.Alive(mHooks.mNow())) {
    if (mRoster.Peers().at(it).mDataCentre == mSettings.mPlace.mDataCentre) {
      nodes.push_back(std::move(it));
    }
  }
  return nodes;
}

UsageByProfile
Controller::Impl::TotalUsage(const UsageByProfile& aOwn) const
{
  const TimePoint now = mHooks.mNow();
  UsageByProfile total = aOwn;
  for (const auto& [node, word] : mWords) {
    if (mRoster.StatusOf(node, now) != PeerStatus::kAlive) {
      continue;
    }
    for (const auto& [profile, customers] : word.mUsage) {
      for (const auto& [customer, usage] : customers) {
        total[profile][customer].mRunning += usage.mRunning;
        total[profile][customer].mWaiting += usage.mWaiting;
      }
    }
  }
  return total;
}

void
Controller::Impl::AddUsage(const UsageByProfile& aUsage, proto::Heartbeat* aHeartbeat)
{
  for (const auto& [profile, customers] : aUsage) {
    for (const auto& [customer, usage] : customers) {
      proto::Usage& shared = *aHeartbeat->add_usage();
      shared.set_profile(profile);
      shared.set_customer(customer);
      shared.set_running(static_cast<std::uint32_t>(usage.mRunning));
      shared.set_waiting(static_cast<std::uint32_t>(usage.mWaiting));
    }
  }
}

void
Controller::Impl::OnUsage(const std::string& aFrom, const proto::Heartbeat& aHeartbeat)
{
  UsageByProfile usage;
  for (const auto& it : aHeartbeat.usage()) {
    usage[it.profile()][it.customer()] = { it.running(), it.waiting() };
  }
  if (!aHeartbeat.usage_total()) {
    mWords[aFrom].mUsage = std::move(usage);
    return;
  }
  if (aFrom == Collector()) {
    mUsageTotal = std::move(usage);
    mUsageTotalAt = mHooks.mNow();
    mUsageInTotal = mUsageTold;
  }
}

/// The own data centre for the others, and the others for the nodes here.
void
Controller::Impl::AddSummaries(proto::Heartbeat* aHeartbeat) const
{
  const TimePoint now = mHooks.mNow();
  proto::DataCentreSummary& own = *aHeartbeat->add_summaries();
  own.set_data_centre(mSettings.mPlace.mDataCentre);
  std::uint64_t least = mState.Next();
  std::uint32_t alive = 1;
  std::uint32_t known = 1;
  own.add_entries(mSettings.mPlace.mCallers);
  for (const auto& [name, peer] : mRoster.Peers()) {
    if (peer.mDataCentre != mSettings.mPlace.mDataCentre) {
      continue;
    }
    ++known;
    if (peer.mHeard && mRoster.StatusOf(name, now) == PeerStatus::kAlive) {
      ++alive;
      least = std::min(least, peer.mApplied);
      constexpr int kEntries = 3;
      if (!peer.mStopping && own.entries_size() < kEntries) {
        own.add_entries(peer.mCallerAddress);
      }
    }
  }
  own.set_least_applied(least);
  own.set_nodes_alive(alive);
  own.set_nodes_known(known);
  std::map<std::string, std::uint32_t> whole;
  for (const auto& [key, report] : mReports) {
    if (report.mWholeness == Wholeness::kWhole) {
      const auto it = mState.Content().replicas().find(key.mReplica);
      if (it != mState.Content().replicas().end()) {
        ++whole[it->second.assign().profile()];
      }
    }
  }
  for (const auto& [profile, n] : whole) {
    std::uint32_t used = 0;
    const auto usage = mUsageTotal.find(profile);
    if (usage != mUsageTotal.end()) {
      for (const auto& [customer, it] : usage->second) {
        used += static_cast<std::uint32_t>(it.mRunning);
      }
    }
    proto::ProfileCapacity& capacity = *own.add_capacity();
    const std::uint32_t slots =
      n * static_cast<std::uint32_t>(mSettings.mRequests.mSlotsPerReplica);
    capacity.set_profile(profile);
    capacity.set_whole_replicas(n);
    capacity.set_free_slots(slots > used ? slots - used : 0);
  }
  for (const auto& [centre, remote] : mRemotes) {
    proto::DataCentreSummary& shared = *aHeartbeat->add_summaries();
    shared = remote.mSummary;
    shared.set_age_ms(static_cast<std::uint32_t>(ToMs(now - remote.mSaid).count()));
  }
}

/// A node that starts while the log is out has no members to ask; its settings name some.
void
Controller::Impl::AskSeeds()
{
  const TimePoint now = mHooks.mNow();
  const bool needed = mState.Next() == 0 || !mFollower.CaughtUp();
  if (!needed || now < mNextSeeds) {
    return;
  }
  mNextSeeds = now + kSeedRetry;
  for (const auto& it : mSettings.mPlace.mSeeds) {
    if (it == mSettings.mPlace.mPeersPublic) {
      continue;
    }
    proto::Envelope envelope = MakeEnvelope();
    envelope.mutable_fetch_records()->set_from(mState.Next());
    envelope.mutable_fetch_records()->set_reply_address(mSettings.mPlace.mPeersPublic);
    envelope.set_stamp_ns(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    mHooks.mSend(it, envelope);
  }
}

void
Controller::Impl::OnMessage(std::string_view aBytes)
{
  const auto decoded = DecodeEnvelope(aBytes);
  if (!decoded.has_value()) {
    ++mCounters.mDroppedMessages[decoded.error().mDetail];
    return;
  }
  const proto::Envelope& envelope = decoded.value();
  const Peer* known = mRoster.Find(envelope.from());
  const bool restarted = known != nullptr && known->mIncarnation < envelope.incarnation();
  const Hearing hearing = mRoster.Hear(envelope, mHooks.mNow());
  if (hearing != Hearing::kAccepted) {
    ++mCounters.mDroppedMessages[ToString(hearing)];
    return;
  }
  if (restarted) {
    mLedger.OnRestart(envelope.from());
    mWatch.OnPeerRestart(envelope.from());
    mWords.erase(envelope.from());
  }
  switch (envelope.body_case()) {
    case proto::Envelope::kHeartbeat:
      OnHeartbeat(envelope.from(), envelope.heartbeat());
      break;
    case proto::Envelope::kFetchRecords:
      OnFetch(envelope.from(), envelope.fetch_records());
      break;
    case proto::Envelope::kRecords:
      mFollower.OnPeerRecords(envelope.records());
      mPeerState = mPeerState || mState.Next() > 0;
      break;
    case proto::Envelope::kSnapshot:
      mPeerState = true;
      mFollower.OnPeerSnapshot(envelope.snapshot());
      break;
    case proto::Envelope::kClaimAsk:
      mClaims.OnAsk(envelope.from(), envelope.claim_ask());
      break;
    case proto::Envelope::kClaimAnswer:
      mClaims.OnAnswer(envelope.claim_answer());
      break;
    case proto::Envelope::kFetchEvidence: {
      proto::Envelope reply = MakeHeartbeat();
      mWatch.ShareAll(reply.mutable_heartbeat(), mHooks.mNow());
      Send(envelope.from(), std::move(reply));
      break;
    }
    case proto::Envelope::BODY_NOT_SET:
      break;
  }
}

void
Controller::Impl::OnHeartbeat(const std::string& aFrom, const proto::Heartbeat& aHeartbeat)
{
  const TimePoint now = mHooks.mNow();
  Peer& peer = *mRoster.Find(aFrom);
  if (!peer.mInLog && !aHeartbeat.peer_address().empty()) {
    peer.mAddress = aHeartbeat.peer_address();
  }
  peer.mApplied = aHeartbeat.applied();
  peer.mStopping = aHeartbeat.stopping();
  if (mFollower.OnPeerApplied(aHeartbeat.applied(), now)) {
    proto::Envelope fetch = MakeEnvelope();
    fetch.mutable_fetch_records()->set_from(mState.Next());
    Send(aFrom, std::move(fetch));
  }
  for (const auto& it : aHeartbeat.summaries()) {
    const TimePoint said = peer.mSentNoEarlier - std::chrono::milliseconds(it.age_ms());
    const auto known = mRemotes.find(it.data_centre());
    const bool newer = known == mRemotes.end() || said > known->second.mSaid;
    // Before the first echo nothing bounds a message's age, and so nothing in it counts.
    const bool dated = said > TimePoint{};
    const bool other =
      !it.data_centre().empty() && it.data_centre() != mSettings.mPlace.mDataCentre;
    if (newer && dated && other) {
      mRemotes[it.data_centre()] = { it, said };
    }
  }
  if (peer.mDataCentre != mSettings.mPlace.mDataCentre) {
    return;
  }
  if (!mWatch.OnPeerEvidence(aFrom, aHeartbeat, peer.mSentNoEarlier)) {
    proto::Envelope ask = MakeEnvelope();
    ask.mutable_fetch_evidence();
    Send(aFrom, std::move(ask));
  }
  mLedger.OnReports(aFrom, aHeartbeat);
  OnUsage(aFrom, aHeartbeat);
  for (const auto& it : aHeartbeat.outage_repairs()) {
    TakeRepair(it);
  }
  PeerWord& word = mWords[aFrom];
  word.mDrains.clear();
  for (const auto& it : aHeartbeat.drains()) {
    word.mDrains.insert(it.host());
    std::uint64_t& incarnation = mLocalDrains[it.host()];
    if (incarnation < it.host_incarnation()) {
      incarnation = it.host_incarnation();
      mViewDirty = true;
    }
  }
}

void
Controller::Impl::OnFetch(const std::string& aFrom, const proto::FetchRecords& aFetch)
{
  proto::Envelope reply = MakeEnvelope();
  if (aFetch.from() < mState.Next()) {
    proto::Records records = mFollower.Serve(aFetch.from());
    if (records.records_size() > 0) {
      *reply.mutable_records() = std::move(records);
    } else {
      *reply.mutable_snapshot() = mState.Content();
    }
  } else {
    return;
  }
  if (!aFetch.reply_address().empty()) {
    Peer& peer = *mRoster.Find(aFrom);
    if (!peer.mInLog) {
      peer.mAddress = aFetch.reply_address();
    }
    mRoster.Stamp(aFrom, &reply, mHooks.mNow());
    mHooks.mSend(aFetch.reply_address(), reply);
    return;
  }
  Send(aFrom, std::move(reply));
}

// ---- Hosts ----

void
Controller::Impl::ListHosts()
{
  const TimePoint now = mHooks.mNow();
  if (mListingInFlight || now < mNextListing) {
    return;
  }
  mNextListing = now + mSettings.mPlatform.mHostsEvery;
  mListingInFlight = true;
  mHooks.mListHosts([this](Result<std::vector<HostListing>> aListing) {
    mListingInFlight = false;
    if (aListing.has_value()) {
      mListing = std::move(aListing.value());
      mListingKnown = true;
      mViewDirty = true;
    }
  });
}

/// The platform's list of this data centre's hosts, with what operators announced on top.
std::vector<HostView>
Controller::Impl::OwnHosts() const
{
  std::vector<HostView> hosts;
  for (const auto& it : mListing) {
    if (it.mDataCentre == mSettings.mPlace.mDataCentre) {
      hosts.push_back(it.mView);
      hosts.back().mLeaving = it.mView.mLeaving || Draining(it.mView.mHost);
    }
  }
  return hosts;
}

bool
Controller::Impl::Draining(const std::string& aHost) const
{
  std::uint64_t incarnation = 0;
  const auto local = mLocalDrains.find(aHost);
  if (local != mLocalDrains.end()) {
    incarnation = local->second;
  }
  const auto folded = mState.Content().drains().find(aHost);
  if (folded != mState.Content().drains().end()) {
    incarnation = std::max(incarnation, folded->second);
  }
  if (incarnation == 0) {
    return false;
  }
  const HostWord* word = mWatch.Table().Find(aHost);
  return word == nullptr || word->mEvidence.host_incarnation() <= incarnation;
}

void
Controller::Impl::ProbeDue()
{
  const TimePoint now = mHooks.mNow();
  std::vector<ProbeTarget> targets;
  std::set<std::string> seen;
  for (const auto& it : mListing) {
    if (it.mDataCentre == mSettings.mPlace.mDataCentre && seen.insert(it.mView.mHost).second) {
      targets.push_back({ it.mView.mHost, it.mView.mAddress });
    }
  }
  // Members that the lagging list does not name (any more) are watched all the same.
  for (const auto& [name, replica] : Effective().Content().replicas()) {
    if (replica.assign().scope() != mSettings.mPlace.mDataCentre) {
      continue;
    }
    for (const auto& it : replica.assign().members()) {
      if (seen.insert(it.host()).second) {
        targets.push_back({ it.host(), it.address() });
      }
    }
  }
  for (const auto& it : mWatch.Due(targets, AliveHere(), now)) {
    mHooks.mProbe(it.mAddress,
                  [this, host = it.mHost, now](const Result<proto::Evidence>& aAnswer) {
                    mWatch.OnProbe(host, aAnswer, now);
                    mViewDirty = true;
                  });
  }
}

bool
Controller::Impl::Drained(const std::string& aReplica, std::uint64_t aGeneration) const
{
  const auto own = mLoads.find({ aReplica, aGeneration });
  const bool ownDone = own != mLoads.end() && own->second->Closed() && own->second->InFlight() == 0;
  return ownDone && mLedger.Drained(aReplica,
                                    aGeneration,
                                    mRoster,
                                    mSettings.mPlace.mDataCentre,
                                    mSettings.mRequests.mLongestDeadline,
                                    mHooks.mNow());
}

// ---- Planned stops ----

/// What this node knows and the log does not: append it, whoever announced it.
void
Controller::Impl::ShareDrains()
{
  for (auto it = mLocalDrains.begin(); it != mLocalDrains.end();) {
    const auto folded = mState.Content().drains().find(it->first);
    const bool known = folded != mState.Content().drains().end() && folded->second >= it->second;
    if (known) {
      mDrainsSubmitted.erase(it->first);
      it = mLocalDrains.erase(it);
      continue;
    }
    if (mFollower.LogReachable() && mDrainsSubmitted.insert(it->first).second) {
      proto::Record record;
      record.mutable_drain()->set_host(it->first);
      record.mutable_drain()->set_host_incarnation(it->second);
      const auto queued = Submit(
        std::move(record),
        mHooks.mNow() + kPublishPatience,
        [this, host = it->first](const Result<std::uint64_t>&) { mDrainsSubmitted.erase(host); });
      if (!queued.has_value()) {
        mDrainsSubmitted.erase(it->first);
      }
    }
    ++it;
  }
}

void
Controller::Impl::SettleStops()
{
  const TimePoint now = mHooks.mNow();
  const std::size_t nodes = NodesOf(mSettings.mPlace.mDataCentre).size() + 1;
  std::vector<PendingStop> settled;
  for (auto it = mStops.begin(); it != mStops.end();) {
    const auto folded = mState.Content().drains().find(it->mDrain.host());
    const bool inLog =
      folded != mState.Content().drains().end() && folded->second >= it->mDrain.host_incarnation();
    std::size_t informed = 1;
    for (const auto& [name, word] : mWords) {
      informed += word.mDrains.count(it->mDrain.host());
    }
    const bool wide = inLog || informed >= nodes / 2 + 1;
    if (wide || it->mGiveUp <= now) {
      settled.push_back(std::move(*it));
      it = mStops.erase(it);
      settled.back().mGiveUp = wide ? TimePoint::max() : now;
    } else {
      ++it;
    }
  }
  for (const auto& it : settled) {
    if (it.mGiveUp == TimePoint::max()) {
      it.mDone(BOOST_OUTCOME_V2_NAMESPACE::success());
    } else {
      it.mDone(
        Error{ Errc::kTimeout,
               "stop-host",
               "",
               "neither the log nor half of the nodes have confirmed it yet; it spreads on" });
    }
  }
}

// ---- Leading ----

const State&
Controller::Impl::Effective()
{
  if (mRepairs.empty()) {
    return mState;
  }
  if (mEffectiveStale) {
    mEffective = WithRepairs(mState, mRepairs);
    mEffectiveStale = false;
  }
  return mEffective;
}

/// A repair that this node has made, or that a peer tells of.
void
Controller::Impl::TakeRepair(const proto::Assign& aRepair)
{
  const auto known = mRepairs.find(aRepair.replica());
  if (known != mRepairs.end() || !CarriesOutReservation(mState, aRepair)) {
    return;
  }
  mRepairs[aRepair.replica()] = aRepair;
  mEffectiveStale = true;
  mViewDirty = true;
  ++mRevision;
  LogEvent(
    "replica.repaired_without_log",
    { { "replica", aRepair.replica() }, { "generation", std::to_string(aRepair.generation()) } });
}

void
Controller::Impl::Lead()
{
  const TimePoint now = mHooks.mNow();
  PlanInput input;
  input.mEvidence = &mWatch.Table();
  input.mHosts = OwnHosts();
  input.mDrained = [this](const std::string& aReplica, std::uint64_t aGeneration) {
    return Drained(aReplica, aGeneration);
  };
  if (mState.Content().leases().count(mSettings.mPlace.mDataCentre) == 0) {
    mHolder.OnState(mState, now);
  }
  const bool out =
    !mFollower.LogReachable() && now - mFollower.LastRead() > mSettings.mControl.mSuspectAfter;
  if (out) {
    mAdoptUntil = now + mSettings.mControl.mLease * 3;
    input.mState = &Effective();
    for (const auto& it : mHolder.TickOutage(input, now)) {
      TakeRepair(it);
    }
  } else if (!mRepairs.empty()) {
    const bool adopting = now < mAdoptUntil && mHolder.Adopt(mRepairs, now);
    if (!adopting && now >= mAdoptUntil) {
      mRepairs.clear(); // the fold refuses them: another holder has decided otherwise
      mViewDirty = true;
    }
  }
  PlanInput planned = input;
  planned.mState = &Effective();
  mHolder.Tick(std::move(planned), now, mRepairs.empty());
}

// ---- The loop ----

void
Controller::Impl::Tick()
{
  ReadLog();
  ListHosts();
  AskSeeds();
  JoinWhenDue();
  ProbeDue();
  ShareDrains();
  SettleStops();
  if (!mStopping && mFollower.CaughtUp()) {
    Lead();
  }
  RemoveLapsedNodes();
  mClaims.Tick();
  AppendDue();
  BuildView();
  Heartbeat();
}

Controller::Controller(const Settings& aSettings,
                       std::uint64_t aIncarnation,
                       ControllerHooks aHooks)
  : mImpl(std::make_unique<Impl>(aSettings, aIncarnation, std::move(aHooks)))
{
}

Controller::~Controller() = default;

void
Controller::Tick()
{
  mImpl->Tick();
}

void
Controller::OnMessage(std::string_view aBytes)
{
  mImpl->OnMessage(aBytes);
}

void
Controller::Publish(std::vector<PublishItem> aItems,
                    std::function<void(std::vector<PublishOutcome>)> aDone)
{
  struct Batch
  {
    std::vector<PublishOutcome> mOutcomes;
    std::size_t mLeft = 0;
    std::function<void(std::vector<PublishOutcome>)> mDone;
  };
  auto batch = std::make_shared<Batch>();
  batch->mLeft = aItems.size();
  batch->mOutcomes.resize(aItems.size());
  batch->mDone = std::move(aDone);
  if (aItems.empty()) {
    batch->mDone({});
    return;
  }
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const PublishItem& item = aItems[i];
    const auto& documents = mImpl->mState.Content().documents();
    const auto known = documents.find(item.mKey);
    proto::Record record;
    proto::Publish& publish = *record.mutable_publish();
    publish.set_key(item.mKey);
    const std::uint64_t current = known == documents.end() ? 0 : known->second.version();
    publish.set_expected_version(item.mHasVersion ? item.mVersion : current);
    if (!item.mRemove) {
      *publish.mutable_document() = item.mDocument;
    }
    PublishOutcome& outcome = batch->mOutcomes[i];
    outcome.mKey = item.mKey;
    const std::uint64_t next = publish.expected_version() + 1;
    const auto settle = [batch, i, next](const Result<std::uint64_t>& aResult) {
      PublishOutcome& out = batch->mOutcomes[i];
      if (aResult.has_value()) {
        out.mOutcome = "accepted";
        out.mOffset = aResult.value();
        out.mVersion = next;
      } else {
        const Errc code = aResult.error().mCode;
        out.mOutcome = code == Errc::kConflict  ? "conflict"
                       : code == Errc::kInvalid ? "refused"
                                                : "unknown";
        out.mReason = aResult.error().mDetail;
      }
      if (--batch->mLeft == 0) {
        batch->mDone(std::move(batch->mOutcomes));
      }
    };
    const auto queued =
      mImpl->Submit(std::move(record), mImpl->mHooks.mNow() + kPublishPatience, settle);
    if (!queued.has_value()) {
      settle(queued.error());
    }
  }
}

void
Controller::StopHost(const std::string& aHost, std::function<void(Result<void>)> aDone)
{
  const HostWord* word = mImpl->mWatch.Table().Find(aHost);
  if (word == nullptr || word->mEvidence.host_incarnation() == 0) {
    aDone(
      Error{ Errc::kNotFound,
             "stop-host",
             aHost,
             "not a host of this data centre that has answered a probe; ask a node of its own" });
    return;
  }
  PendingStop stop;
  stop.mDrain.set_host(aHost);
  stop.mDrain.set_host_incarnation(word->mEvidence.host_incarnation());
  stop.mGiveUp = mImpl->mHooks.mNow() + kStopPatience;
  stop.mDone = std::move(aDone);
  std::uint64_t& incarnation = mImpl->mLocalDrains[aHost];
  incarnation = std::max(incarnation, stop.mDrain.host_incarnation());
  mImpl->mStops.push_back(std::move(stop));
  mImpl->mViewDirty = true;
  ++mImpl->mRevision;
  mImpl->mNextHeartbeat = TimePoint{}; // tell the peers at once
  LogEvent("host.stop_announced", { { "host", aHost } });
}

void
Controller::Claim(const std::string& aKey,
                  const std::string& aClaimId,
                  Duration aPatience,
                  std::function<void(const proto::ClaimAnswer&)> aDone)
{
  mImpl->mClaims.Claim(aKey, aClaimId, aPatience, std::move(aDone));
  mImpl->mClaims.Tick(); // do not wait for the next tick to ask the log
}

void
Controller::ReportAnswer(const std::string& aKey,
                         const std::string& aClaimId,
                         proto::KeptAnswer aAnswer)
{
  mImpl->mClaims.Report(aKey, aClaimId, std::move(aAnswer));
}

void
Controller::AbandonClaim(const std::string& aKey, const std::string& aClaimId)
{
  mImpl->mClaims.Abandon(aKey, aClaimId);
}

void
Controller::BeginStop()
{
  if (mImpl->mStopping) {
    return;
  }
  mImpl->mStopping = true;
  mImpl->mViewDirty = true;
  ++mImpl->mRevision;
  mImpl->mHolder.GiveUp(mImpl->mHooks.mNow());
  mImpl->mNextHeartbeat = TimePoint{};
  LogEvent("node.stopping");
}

std::string
Controller::WhyNotReady() const
{
  return mImpl->WhyNotReady();
}

std::string
Controller::Dump() const
{
  return mImpl->Dump();
}

std::uint64_t
Controller::Revision() const
{
  return mImpl->mRevision;
}

const State&
Controller::Folded() const
{
  return mImpl->mState;
}

const ControllerCounters&
Controller::Counters() const
{
  return mImpl->mCounters;
}

bool
Controller::HoldsLease() const
{
  return mImpl->mHolder.Lease().Held(mImpl->mHooks.mNow());
}

bool
Controller::HasRecordsWaiting() const
{
  return mImpl->mAppender.Waiting() > 0;
}

} // namespace pepperbay
