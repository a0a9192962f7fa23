#include "coordinator_impl.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// A configuration travels in one datagram, which holds 65,507 bytes with its headers.
constexpr std::size_t kMostPassedBytes = 60000;
/// Nodes that vouch for another's configuration without reading the store themselves, and that pass
/// theirs on.
constexpr std::size_t kPassers = 3;
/// A node that has an older configuration gets it passed on once the feed of its delegate has had
/// time to come, a heartbeat and a round; from every node only after a few heartbeats more. From
/// every node at once, 23 that asked before 65 got 1,500 copies each 200 ms.
constexpr std::chrono::milliseconds kFeedTime{ 180 };
constexpr std::chrono::milliseconds kPassersTime{ 600 };
}

void
Coordinator::Impl::OnNode(const KeyedRecord& aRecord)
{
  proto::NodeRecord record;
  if (!aRecord.mValue) {
    mPeers.OnGone(aRecord.mKey);
  } else if (record.ParseFromString(*aRecord.mValue)) {
    mPeers.OnRecord(record, Now());
  } else {
    ++mCounters.mBadMessages;
  }
}

void
Coordinator::Impl::PutOwnRecord()
{
  if (mRecordWritten || mRecordOnItsWay) {
    return;
  }
  mRecordOnItsWay = true;
  proto::NodeRecord record;
  record.set_node(mOptions.mNode);
  record.set_incarnation(mOptions.mIncarnation);
  record.set_address(mOptions.mAddress);
  record.set_data_centre(mOptions.mDataCentre);
  record.set_cpu_permille(static_cast<std::uint32_t>(mOptions.mCpuPermille));
  mHooks.mPutNode(mOptions.mNode, record.SerializeAsString(), [this](const Result<void>& aResult) {
    mRecordOnItsWay = false;
    mRecordWritten = aResult.has_value();
  });
}

int
Coordinator::Impl::InFlightEverywhere(const std::string& aEngine) const
{
  const auto own = mInFlight.find(aEngine);
  int n = own == mInFlight.end() ? 0 : own->second;
  const std::uint32_t id = ShortId(aEngine);
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (!mPeers.Alive(peer, Now())) {
      continue;
    }
    for (const auto& it : peer.mBeat.loads()) {
      n += it.engine() == id ? static_cast<int>(it.in_flight()) : 0;
    }
  }
  return n;
}

std::unordered_map<std::string, int>
Coordinator::Impl::OthersInFlight() const
{
  std::unordered_map<std::uint32_t, int> counts;
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (!mPeers.Alive(peer, Now())) {
      continue;
    }
    for (const auto& it : peer.mBeat.loads()) {
      counts[it.engine()] += static_cast<int>(it.in_flight());
    }
  }
  std::unordered_map<std::string, int> inFlight;
  for (const auto& [id, engine] : mDirectory.Engines()) {
    const auto it = counts.find(ShortId(id));
    if (it != counts.end()) {
      inFlight[id] = it->second;
    }
  }
  return inFlight;
}

void
Coordinator::Impl::OnBeat(const std::string& aBytes)
{
  proto::NodeBeat beat;
  if (!beat.ParseFromString(aBytes)) {
    ++mCounters.mBadMessages;
    return;
  }
  const TimePoint now = Now();
  if (beat.prompts_only()) {
    if (mPeers.IsCurrent(beat)) {
      TakePrompts(beat);
    }
    return;
  }
  if (beat.feeds_size() > 0) {
    if (mPeers.IsCurrent(beat)) {
      TakeFeeds(beat);
    }
    return;
  }
  if (!beat.configuration().empty()) {
    if (mPeers.IsCurrent(beat)) {
      OnConfiguration({ mHooks.mConfigKey, beat.configuration() });
    }
    return;
  }
  if (!mPeers.OnBeat(beat, now)) {
    return;
  }
  mFreshness.OnBeat(beat, ConfigurationVersion(), now);
  PassConfiguration(beat);
  ++mCounters.mBeats;
  mTraffic = mTraffic || beat.traffic();
  const std::uint64_t before = mLease.Newest().last();
  mLease.OnHint(beat.lease());
  const bool fromHolder = beat.lease().holder() == beat.node() &&
                          beat.lease().incarnation() == beat.incarnation() &&
                          beat.lease().last() >= before && !MayOrder();
  if (fromHolder && beat.replicas_size() > 0) {
    mNews.clear();
    for (const auto& it : beat.replicas()) {
      mNews[it.group()] = it;
    }
    mNewsAt = now;
    mChanged = true;
  }
  if (!MayOrder()) {
    return;
  }
  for (const auto& suspect : beat.suspects()) {
    for (const auto& [id, engine] : mDirectory.Engines()) {
      if (ShortId(id) == suspect.engine()) {
        AskMembers(id);
        break;
      }
    }
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
  // A read that is held to its end tells twice in this time that nothing is new.
  return Now() - mConfigFollower.AsOf() > mOptions.mConfigWait + mOptions.mBeat;
}

void
Coordinator::Impl::PassConfiguration(const proto::NodeBeat& aAsker)
{
  const bool behind = aAsker.config_version() < ConfigurationVersion();
  const Duration since = mPeers.NoteBehind(aAsker.node(), behind, Now());
  if (!behind || aAsker.asks_freshness_at_ns() == 0 || mConfiguration.size() > kMostPassedBytes) {
    return;
  }
  const auto peer = mPeers.Peers().find(aAsker.node());
  const bool due = since >= kFeedTime &&
                   (since >= kPassersTime || VouchesFor(aAsker.node(), mPeers.AliveNodes(Now())));
  if (!due) {
    return;
  }
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  beat.set_configuration(mConfiguration);
  mHooks.mSend(peer->second.mAddress, beat.SerializeAsString());
}

void
Coordinator::Impl::TakePrompts(const proto::NodeBeat& aBeat)
{
  if (mShortIdsOf != mDirectory.Revision()) {
    mShortIdsOf = mDirectory.Revision();
    mShortIds.clear();
    for (const auto& [id, engine] : mDirectory.Engines()) {
      mShortIds[ShortId(id)] = id;
    }
  }
  std::vector<SentPrompt> prompts;
  for (const auto& it : aBeat.prompts()) {
    const auto id = mShortIds.find(it.engine());
    if (id != mShortIds.end()) {
      prompts.push_back({ id->second, std::chrono::microseconds(it.work_us()) });
    }
  }
  if (!prompts.empty() && mHooks.mOnPrompts) {
    mHooks.mOnPrompts(std::move(prompts));
  }
}

void
Coordinator::Impl::TellPrompts(const std::vector<SentPrompt>& aPrompts)
{
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  beat.set_prompts_only(true);
  for (const auto& it : aPrompts) {
    auto* prompt = beat.add_prompts();
    prompt->set_engine(ShortId(it.mHead));
    prompt->set_work_us(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(it.mWork).count()));
  }
  const std::string bytes = beat.SerializeAsString();
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (mPeers.Alive(peer, Now())) {
      mHooks.mSend(peer.mAddress, bytes);
    }
  }
}

void
Coordinator::Impl::TellHolder()
{
  // Nobody else acts on a suspicion. Told to every node at once, the suspicions of one loss made
  // as many messages as there are pairs of nodes.
  const auto holder = mPeers.Peers().find(mLease.Newest().holder());
  if (holder == mPeers.Peers().end() || !mPeers.Alive(holder->second, Now())) {
    mBeatDue = Now(); // whoever takes the lease must hear of it
    return;
  }
  mHooks.mSend(holder->second.mAddress, MakeBeat().SerializeAsString());
}

bool
Coordinator::Impl::VouchesFor(const std::string& aNode,
                              const std::vector<std::string>& aAlive) const
{
  // Most nodes ask, since one reads for them; it answers, and a few others in case it is silent.
  if (!AsksFreshness()) {
    return true;
  }
  const auto some = RendezvousTop(aNode, aAlive, kPassers);
  return std::find(some.begin(), some.end(), mOptions.mNode) != some.end();
}

void
Coordinator::Impl::SendBeat()
{
  const TimePoint now = Now();
  mBeatDue = now + mOptions.mBeat;
  const proto::NodeBeat beat = MakeBeat();
  const std::string bytes = beat.SerializeAsString();
  const auto alive = mPeers.AliveNodes(now);
  for (const auto& it : mPeers.Addresses(now)) {
    if (!mFreshness.HasAsked(it.mNode) || !VouchesFor(it.mNode, alive)) {
      mHooks.mSend(it.mAddress, bytes);
      continue;
    }
    // An answer concerns the node that asked. In every heartbeat, the answers to 23 nodes were
    // five times as long as all else.
    proto::NodeBeat own = beat;
    mFreshness.Answer(it.mNode, &own, now);
    mHooks.mSend(it.mAddress, own.SerializeAsString());
  }
}

proto::NodeBeat
Coordinator::Impl::MakeBeat()
{
  const TimePoint now = Now();
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  *beat.mutable_lease() = mLease.Newest();
  for (const auto& [id, n] : mInFlight) {
    auto* load = beat.add_loads();
    load->set_engine(ShortId(id));
    load->set_in_flight(static_cast<std::uint32_t>(n));
  }
  for (auto it = mSuspects.begin(); it != mSuspects.end();) {
    if (now - it->second > mOptions.mBeat) {
      it = mSuspects.erase(it);
      continue;
    }
    beat.add_suspects()->set_engine(ShortId(it->first));
    ++it;
  }
  if (MayOrder()) {
    for (const auto& [name, news] : mNews) {
      *beat.add_replicas() = news;
    }
  }
  beat.set_config_version(ConfigurationVersion());
  mFreshness.Fill(&beat, AsksFreshness(), ConfigurationAsOf(), now);
  beat.set_traffic(mTraffic);
  beat.set_stopping(mStopping);
  beat.set_store_lost(StoreLost());
  for (const auto log :
       { FollowedLog::kConfiguration, FollowedLog::kEngines, FollowedLog::kNodes }) {
    beat.add_log_next(FollowerOf(log).Next());
  }
  return beat;
}

} // namespace pepperbay
