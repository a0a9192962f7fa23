/// @file
/// @brief The controller among its peers: membership, heartbeats, delegates, seeds.

#include "controller_impl.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/log/log.hpp"
#include "pepperbay/wire/codec.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// Nodes of a data centre that talk for it to the others.
constexpr std::size_t kDelegates = 2;
constexpr Duration kJoinRetry = std::chrono::seconds(1);
constexpr Duration kSeedRetry = std::chrono::milliseconds(300);
constexpr Duration kSweepEvery = std::chrono::seconds(1);

} // namespace

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
  join.set_wire(kWireSenderByJoin);
  const auto queued = Submit(std::move(record),
                             now + kRecordPatience,
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
    (void)Submit(std::move(record), now + kRecordPatience, {});
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

} // namespace pepperbay
