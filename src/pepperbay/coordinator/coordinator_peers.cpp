#include "coordinator_impl.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// A configuration is sent in one datagram, which holds 65,507 bytes with its headers.
constexpr std::size_t kMaxForwardedBytes = 60000;
/// A node with an older configuration is sent the newer one once the records that its delegate
/// forwards have had time to arrive, a heartbeat and a round; nodes that it asks but does not
/// follow wait a few heartbeats more.
constexpr std::chrono::milliseconds kFeedDelay{ 180 };
constexpr std::chrono::milliseconds kForwardDelay{ 600 };
/// Shortest time between two requests for missed updates: half a heartbeat.
constexpr std::chrono::milliseconds kUpdateRequestInterval{ 100 };

std::uint64_t
ToNs(Duration aDuration)
{
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, aDuration.count()));
}
}

void
Coordinator::Impl::OnNode(const KeyedRecord& aRecord)
{
  if (QuarantineManager::IsRecord(aRecord.mKey)) {
    mSuspects.OnRecord(aRecord.mKey, aRecord.mValue);
    return;
  }
  proto::NodeRecord record;
  if (!aRecord.mValue) {
    mPeers.OnGone(aRecord.mKey);
  } else if (record.ParseFromString(*aRecord.mValue)) {
    mPeers.OnRecord(record);
  } else {
    ++mCounters.mBadMessages;
  }
}

void
Coordinator::Impl::OnNodeList(const std::vector<KeyedRecord>& aRecords)
{
  mSuspects.OnListBegins();
  for (const auto& it : aRecords) {
    OnNode(it);
  }
}

void
Coordinator::Impl::PutOwnRecord()
{
  if (mRecordWritten || mRecordPending) {
    return;
  }
  mRecordPending = true;
  ++mCounters.mStoreCalls["nodes_put"];
  proto::NodeRecord record;
  record.set_node(mOptions.mNode);
  record.set_incarnation(mOptions.mIncarnation);
  record.set_address(mOptions.mAddress);
  record.set_desk_address(mOptions.mAllocatorAddress);
  record.set_tunnel_address(mOptions.mTunnelAddress);
  record.set_tunnel_key(mOptions.mTunnelKey);
  record.set_data_centre(mOptions.mDataCentre);
  record.set_cpu_permille(static_cast<std::uint32_t>(mOptions.mCpuPermille));
  mHooks.mPutNode(mOptions.mNode, record.SerializeAsString(), [this](const Result<void>& aResult) {
    mRecordPending = false;
    mRecordWritten = aResult.has_value();
  });
}

std::unordered_map<std::string, int>
Coordinator::Impl::OthersInFlight() const
{
  std::unordered_map<std::uint32_t, int> counts;
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (peer.mBeat.loads_size() == 0 || !mPeers.Alive(peer, Now())) {
      continue;
    }
    for (const auto& it : peer.mBeat.loads()) {
      counts[it.engine()] += static_cast<int>(it.in_flight());
    }
  }
  std::unordered_map<std::string, int> inFlight;
  if (counts.empty()) {
    return inFlight;
  }
  const auto add = [&](const std::string& aEngine) {
    const auto it = counts.find(ShortId(aEngine));
    if (it != counts.end()) {
      inFlight[aEngine] = it->second;
    }
  };
  for (const auto& [id, engine] : mDirectory.Engines()) {
    add(id);
  }
  // A head whose registration has lapsed goes on working; without a count of its requests it would
  // seem idle, and its replica would be re-formed under them.
  for (const auto& [service, planner] : mPlanners) {
    for (const auto& [id, engine] : planner.Members()) {
      add(id);
    }
  }
  return inFlight;
}

void
Coordinator::Impl::OnMessage(const std::string& aBytes)
{
  proto::PeerMessage message;
  if (!message.ParseFromString(aBytes)) {
    ++mCounters.mBadMessages;
    return;
  }
  if (!mPeers.IsCurrent(message)) {
    return; // of a stale incarnation, or the store has not listed the node yet
  }
  if (message.outage_ended_ms_ago() != 0) {
    OnOutageReported(message);
  }
  switch (message.body_case()) {
    case proto::PeerMessage::kBeat:
      OnBeat(message);
      return;
    case proto::PeerMessage::kNews:
      OnUpdates(message);
      return;
    case proto::PeerMessage::kNewsRequest:
      AnswerUpdateRequest(message);
      return;
    case proto::PeerMessage::kFeed:
      ApplyFeed(message.node(), message.feed());
      return;
    case proto::PeerMessage::kFeedPart:
      ApplyFeed(message.node(), message.feed_part());
      return;
    case proto::PeerMessage::kFeedRequest:
      AnswerRecordsRequest(message.node(), message.feed_request());
      return;
    case proto::PeerMessage::kConfiguration:
      OnConfiguration({ mHooks.mConfigKey, message.configuration() });
      return;
    case proto::PeerMessage::kSuspicions:
      OnSuspicions(message.suspicions());
      return;
    case proto::PeerMessage::kSuspects:
      // The sender has sent it to its delegates; they forward it to the nodes that rely on them.
      mSuspects.OnUpdate(message.suspects(), mTree.IsInUpperTier());
      return;
    case proto::PeerMessage::BODY_NOT_SET:
      ++mCounters.mBadMessages; // sent by a newer software version
      return;
  }
}

void
Coordinator::Impl::OnBeat(const proto::PeerMessage& aMessage)
{
  const TimePoint now = Now();
  const proto::Beat& beat = aMessage.beat();
  mPeers.OnBeat(aMessage.node(), beat, now);
  mFreshness.OnBeat(aMessage, ConfigurationVersion(), OwnOffsets(), now);
  ForwardConfiguration(aMessage.node(), beat);
  NoteUnreached(beat);
  ++mCounters.mBeats;
  mTraffic = mTraffic || beat.traffic();
  mLease.OnHint(beat.lease());
  OnRateLeasesAsked(aMessage);
  OnRateLeases(beat.rate_leases());
  if (mUpdates.OnNewest(beat, now) && !MayOrder()) {
    RequestUpdates(aMessage.node());
  }
}

void
Coordinator::Impl::RequestUpdates(const std::string& aNode)
{
  const TimePoint now = Now();
  if (now < mUpdateRequestDue) {
    return;
  }
  mUpdateRequestDue = now + kUpdateRequestInterval;
  proto::PeerMessage message = NewMessage();
  message.mutable_news_request()->set_fence(mUpdates.Fence());
  message.mutable_news_request()->set_after(mUpdates.Change());
  SendTo(aNode, message.SerializeAsString());
}

void
Coordinator::Impl::AnswerUpdateRequest(const proto::PeerMessage& aMessage)
{
  const auto& request = aMessage.news_request();
  proto::PeerMessage message = NewMessage();
  *message.mutable_news() = mUpdates.Since(request.fence(), request.after(), Now());
  SendTo(aMessage.node(), message.SerializeAsString());
}

void
Coordinator::Impl::OnUpdates(const proto::PeerMessage& aMessage)
{
  const TimePoint now = Now();
  if (MayOrder()) {
    return; // of a former holder, or of a successor that this node will learn of through the lease
  }
  switch (mUpdates.ApplyChanges(aMessage.news(), now)) {
    case UpdateTracker::ApplyOutcome::kStale:
      return;
    case UpdateTracker::ApplyOutcome::kGap:
      RequestUpdates(aMessage.node());
      return;
    case UpdateTracker::ApplyOutcome::kApplied:
      break;
  }
  mChanged = true;
  proto::PeerMessage message = NewMessage();
  *message.mutable_news() = aMessage.news();
  message.mutable_news()->set_age_ns(ToNs(now - mUpdates.AsOf()));
  const std::string bytes = message.SerializeAsString();
  for (const auto& it : mPeers.Correspondents(now)) {
    if (it != aMessage.node() && mPeers.Find(it)->mBeat.follows()) {
      SendTo(it, bytes);
    }
  }
}

void
Coordinator::Impl::SendUpdates()
{
  const TimePoint now = Now();
  mUpdates.Confirm(now);
  if (mUpdates.Change() == mLastSentChange) {
    return;
  }
  proto::PeerMessage message = NewMessage();
  *message.mutable_news() = mUpdates.Since(mUpdates.Fence(), mLastSentChange, now);
  mLastSentChange = message.news().to();
  SendToNeighbours(message);
}

std::set<std::string>
Coordinator::Impl::Neighbours() const
{
  std::set<std::string> names;
  for (auto& it : mPeers.Correspondents(Now())) {
    names.insert(std::move(it));
  }
  names.insert(mTree.Delegates().begin(), mTree.Delegates().end());
  for (const auto& [scope, delegates] : mTree.OtherDelegates()) {
    names.insert(delegates.begin(), delegates.end());
  }
  return names;
}

void
Coordinator::Impl::SendToNeighbours(const proto::PeerMessage& aMessage)
{
  const std::string bytes = aMessage.SerializeAsString();
  for (const auto& it : Neighbours()) {
    SendTo(it, bytes);
  }
}

TimePoint
Coordinator::Impl::ConfigurationAsOf() const
{
  return std::max(mConfigFollower.AsOf(), mFreshness.AsOf());
}

bool
Coordinator::Impl::AsksFreshness() const
{
  // Records that another node reads for this one are only as recent as its answers. A long poll of
  // its own shows twice in this time that there is nothing new.
  return !ReadsForItself() ||
         Now() - mConfigFollower.AsOf() > mOptions.mConfigWait + mOptions.mHeartbeatInterval;
}

void
Coordinator::Impl::ForwardConfiguration(const std::string& aAsker, const proto::Beat& aBeat)
{
  const bool behind = aBeat.config_version() < ConfigurationVersion();
  const Duration since = mPeers.NoteBehind(aAsker, behind, Now());
  if (!behind || aBeat.asks_freshness_at_ns() == 0 || mConfiguration.size() > kMaxForwardedBytes) {
    return;
  }
  if (since < (aBeat.follows() ? kFeedDelay : kForwardDelay)) {
    return;
  }
  proto::PeerMessage message = NewMessage();
  message.set_configuration(mConfiguration);
  SendTo(aAsker, message.SerializeAsString());
}

void
Coordinator::Impl::OnSuspicions(const proto::Suspicions& aSuspicions)
{
  if (!MayOrder()) {
    return;
  }
  for (const std::uint32_t it : aSuspicions.engines()) {
    const std::string head = EngineOf(it);
    if (!head.empty()) {
      OnSilentHead(head, Now());
    }
  }
  for (const std::uint32_t it : aSuspicions.refusing()) {
    const std::string head = EngineOf(it);
    if (!head.empty()) {
      AskMembers(head, std::nullopt);
    }
  }
}

std::string
Coordinator::Impl::EngineOf(std::uint32_t aShortId)
{
  const auto listed = ShortIds().find(aShortId);
  if (listed != ShortIds().end()) {
    return listed->second;
  }
  for (const auto& [service, planner] : mPlanners) {
    for (const auto& [id, engine] : planner.Members()) {
      if (ShortId(id) == aShortId) {
        return id;
      }
    }
  }
  return "";
}

const std::unordered_map<std::uint32_t, std::string>&
Coordinator::Impl::ShortIds()
{
  if (mShortIdsOf != mDirectory.Revision()) {
    mShortIdsOf = mDirectory.Revision();
    mShortIds.clear();
    for (const auto& [id, engine] : mDirectory.Engines()) {
      mShortIds[ShortId(id)] = id;
    }
  }
  return mShortIds;
}

void
Coordinator::Impl::NotifyHolder(const proto::Suspicions& aSuspicions)
{
  // Only the holder acts on a suspicion. It is sent again while it lasts, so that a node that has
  // just taken the lease receives it as well.
  proto::PeerMessage message = NewMessage();
  *message.mutable_suspicions() = aSuspicions;
  SendTo(mLease.Newest().holder(), message.SerializeAsString());
}

proto::PeerMessage
Coordinator::Impl::NewMessage() const
{
  proto::PeerMessage message;
  message.set_node(mOptions.mNode);
  message.set_incarnation(mOptions.mIncarnation);
  const auto ended = mOutages.Ended();
  if (ended && Now() - *ended < mDirectory.ReturnGrace()) {
    const auto ago = std::chrono::ceil<std::chrono::milliseconds>(Now() - *ended);
    message.set_outage_ended_ms_ago(
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, ago.count())));
  }
  return message;
}

void
Coordinator::Impl::SendTo(const std::string& aNode, const std::string& aBytes)
{
  if (const KnownPeer* peer = mPeers.Find(aNode)) {
    mHooks.mSend(peer->mAddress, aBytes);
  }
}

int
Coordinator::Impl::Followers() const
{
  int n = mTree.FollowsItself() ? 1 : 0;
  for (const auto& it : mPeers.Correspondents(Now())) {
    n += mPeers.Find(it)->mBeat.follows() ? 1 : 0;
  }
  return n;
}

int
Coordinator::Impl::LiveNodes() const
{
  const TimePoint now = Now();
  int n = 0;
  const KnownPeer* followed = mPeers.Find(mTree.Followed());
  if (followed != nullptr) {
    n = static_cast<int>(followed->mBeat.nodes());
  } else if (mTree.IsInUpperTier()) {
    n = Followers();
    for (const auto& [name, peer] : mPeers.Peers()) {
      n += mPeers.Alive(peer, now) ? static_cast<int>(peer.mBeat.followers()) : 0;
    }
  }
  // A node that is not in contact with a delegate must not take all of a shared budget.
  return n > 0 ? n : static_cast<int>(mPeers.Peers().size()) + 1;
}

bool
Coordinator::Impl::WantsLoads(const std::string& aNode) const
{
  if (!mTree.IsInUpperTier()) {
    return false;
  }
  return aNode == mLease.Newest().holder() || mPeers.Find(aNode)->mBeat.followers() > 0;
}

void
Coordinator::Impl::SendBeat()
{
  const TimePoint now = Now();
  mHeartbeatDue = now + mOptions.mHeartbeatInterval;
  const std::set<std::string> targets = mTree.TakeTargets();
  std::set<std::string> recipients = targets;
  for (auto& it : mPeers.Correspondents(now)) {
    recipients.insert(std::move(it));
  }
  GrantOwnRateLeases();
  RenewRetryLease();
  proto::PeerMessage message = NewMessage();
  const proto::Beat common = MakeBeat();
  for (const auto& it : recipients) {
    if (mPeers.Find(it) == nullptr) {
      continue;
    }
    proto::Beat& beat = *message.mutable_beat();
    beat = common;
    beat.set_wants_answer(targets.count(it) != 0);
    beat.set_follows(it == mTree.Followed());
    mFreshness.Answer(it, &beat, now);
    if (it == mLease.Newest().holder()) {
      AskRateLeases(&beat);
    }
    if (const auto answer = mRateLeaseAnswers.find(it); answer != mRateLeaseAnswers.end()) {
      *beat.mutable_rate_leases() = std::move(answer->second);
      mRateLeaseAnswers.erase(answer);
    }
    if (WantsLoads(it)) {
      AddLoads(&beat);
    }
    AddUnreached(mPeers.Find(it)->mBeat.follows(), &beat);
    SendTo(it, message.SerializeAsString());
  }
}

void
Coordinator::Impl::AddLoads(proto::Beat* aBeat)
{
  if (!mTree.FollowsItself() && Followers() == 0) {
    return; // its slots are counted by the allocator that granted them
  }
  EngineLimits limits = CountedLimits();
  for (const auto& [id, n] : mInFlight) {
    auto* load = aBeat->add_loads();
    load->set_engine(ShortId(id));
    load->set_in_flight(static_cast<std::uint32_t>(n));
    if (const auto limit = limits.find(load->engine()); limit != limits.end()) {
      load->set_per_second(limit->second);
      limits.erase(limit);
    }
  }
  for (const auto& [engine, limit] : limits) {
    auto* load = aBeat->add_loads();
    load->set_engine(engine);
    load->set_per_second(limit);
  }
}

proto::Beat
Coordinator::Impl::MakeBeat()
{
  const TimePoint now = Now();
  proto::Beat beat;
  *beat.mutable_lease() = mLease.Newest();
  beat.set_config_version(ConfigurationVersion());
  mFreshness.Fill(&beat, AsksFreshness(), ConfigurationAsOf(), now);
  beat.set_traffic(mTraffic);
  beat.set_stopping(mStopping);
  beat.set_store_lost(StoreLost());
  beat.set_unreached(IsUnreached());
  for (const auto log :
       { FollowedLog::kConfiguration, FollowedLog::kEngines, FollowedLog::kNodes }) {
    beat.add_log_next(FollowerOf(log).Next());
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - LogAsOf(log));
    beat.add_log_age_ms(static_cast<std::uint64_t>(age.count()));
  }
  beat.set_followers(static_cast<std::uint32_t>(Followers()));
  beat.set_nodes(static_cast<std::uint32_t>(LiveNodes()));
  beat.set_news_fence(mUpdates.Fence());
  beat.set_news_change(mUpdates.Change());
  beat.set_news_age_ns(ToNs(now - mUpdates.AsOf()));
  return beat;
}

} // namespace pepperbay
