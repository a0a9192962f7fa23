/// @file
/// @brief A node that starts while the store turns it away learns the state from other nodes.
///
/// What goes wrong without it: the platform sends callers to the node all the same when few others
/// of its data centre are at work, and it refuses them until it has read the store for the first
/// time. Its settings name some nodes; it asks them with each heartbeat. An answer counts only when
/// it names a question of the last second, so that no late one brings back an old state.

#include "coordinator_impl.hpp"

#include <utility>

namespace pepperbay {
namespace {

/// A datagram holds 65,507 bytes; the rest is for what goes beside the registrations.
constexpr std::size_t kMostPartBytes = 48000;
/// An answer to an older question may tell an older state than one that came since.
constexpr std::chrono::seconds kAnswerLife{ 1 };
/// A node that reaches the store has read it within some 40 ms; only others ask.
constexpr std::chrono::milliseconds kAskAfter{ 150 };

} // namespace

bool
Coordinator::Impl::AsksState() const
{
  const bool waited = Now() - mStarted >= kAskAfter;
  return waited && !mEngineFollower.HasList() && !mOptions.mSeeds.empty() && !mStopping;
}

void
Coordinator::Impl::AskState()
{
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  beat.set_config_version(ConfigurationVersion());
  auto* request = beat.mutable_asks_state();
  request->set_address(mOptions.mAddress);
  request->set_asked_at_ns(static_cast<std::uint64_t>(Now().time_since_epoch().count()));
  request->set_registrations_hash(mRegistrations.empty() ? 0 : HashOf(mRegistrations));
  const std::string bytes = beat.SerializeAsString();
  for (const auto& it : mOptions.mSeeds) {
    if (it != mOptions.mAddress) {
      mHooks.mSend(it, bytes);
    }
  }
}

void
Coordinator::Impl::AnswerState(const proto::NodeBeat& aAsker)
{
  if (!mEngineFollower.HasList() || !mRoutes) {
    return; // only what the store said is passed on
  }
  const proto::StateRequest& request = aAsker.asks_state();
  if (aAsker.config_version() < ConfigurationVersion()) {
    SendConfiguration(request.address());
  }
  std::vector<proto::StateReply> replies(1);
  if (request.registrations_hash() != HashOf(mRegistrations)) {
    replies = CutIntoParts(mRegistrations, kMostPartBytes);
  }
  for (auto& it : replies) {
    auto* freshness = it.mutable_freshness();
    freshness->set_node(aAsker.node());
    freshness->set_incarnation(aAsker.incarnation());
    freshness->set_asked_at_ns(request.asked_at_ns());
    it.set_nodes(static_cast<std::uint32_t>(mPeers.AliveCount(Now()) + 1));
    if (Now() - mNewsAt < mOptions.mPeerSilence) {
      for (const auto& [name, news] : mNews) {
        *it.add_replicas() = news;
      }
    }
    proto::NodeBeat beat;
    beat.set_node(mOptions.mNode);
    beat.set_incarnation(mOptions.mIncarnation);
    beat.set_config_version(ConfigurationVersion());
    beat.set_config_age_ns(static_cast<std::uint64_t>((Now() - ConfigurationAsOf()).count()));
    *beat.add_freshness() = it.freshness();
    *beat.mutable_state() = std::move(it);
    mHooks.mSend(request.address(), beat.SerializeAsString());
  }
}

void
Coordinator::Impl::OnState(const proto::NodeBeat& aBeat)
{
  const proto::StateReply& reply = aBeat.state();
  const TimePoint asked{ Duration(static_cast<Duration::rep>(reply.freshness().asked_at_ns())) };
  const bool mine = reply.freshness().node() == mOptions.mNode &&
                    reply.freshness().incarnation() == mOptions.mIncarnation && asked <= Now() &&
                    Now() - asked < kAnswerLife;
  if (!mine || !AsksState()) {
    return;
  }
  mFreshness.OnBeat(aBeat, ConfigurationVersion(), Now());
  mToldNodes = static_cast<int>(reply.nodes());
  if (reply.replicas_size() > 0) {
    TakeNews(reply.replicas());
  }
  if (auto registrations = mParts.Add(reply)) {
    std::vector<KeyedRecord> records;
    records.reserve(registrations->size());
    for (auto& [engine, value] : *registrations) {
      records.push_back({ engine, value });
    }
    OnEngineList(records);
    mHooks.mLog("state_from_peer",
                { { "peer", aBeat.node() }, { "engines", std::to_string(records.size()) } });
  }
  mChanged = true;
}

} // namespace pepperbay
