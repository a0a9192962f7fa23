#include "coordinator_impl.hpp"
#include "pepperbay/routing/engine_limit_table.hpp"

#include <algorithm>
#include <set>

namespace pepperbay {
namespace {

constexpr std::chrono::seconds kMostLength{ 60 };
/// Names the right to keep the budget of second attempts.
constexpr const char* kRetryRight = "retries";

std::uint64_t
StampOf(TimePoint aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(aTime.time_since_epoch()).count());
}

} // namespace

std::vector<std::string>
Coordinator::Impl::WantedRateLeases()
{
  if (mLimits.empty() || mStopping || (!mTree.FollowsItself() && Followers() == 0)) {
    return {};
  }
  std::set<std::string> centres;
  for (const auto& [id, limit] : mLimits) {
    const EngineRecord* engine = FindEngine(EngineOf(id));
    if (engine != nullptr && mTree.InScope(engine->mDataCentre)) {
      centres.insert(engine->mDataCentre);
    }
  }
  return { centres.begin(), centres.end() };
}

void
Coordinator::Impl::AskRateLeases(proto::Beat* aBeat)
{
  const auto wanted = WantedRateLeases();
  if (wanted.empty()) {
    return;
  }
  proto::RateLeases& asked = *aBeat->mutable_rate_leases_asked();
  for (const auto& it : wanted) {
    asked.add_data_centres(it);
  }
  asked.set_asked_at_ns(StampOf(Now()));
  asked.set_asker_incarnation(mOptions.mIncarnation);
}

void
Coordinator::Impl::OnRateLeasesAsked(const proto::PeerMessage& aMessage)
{
  const proto::RateLeases& asked = aMessage.beat().rate_leases_asked();
  if (asked.data_centres().empty() || !mLease.Held()) {
    return;
  }
  mRateLeasesGiven.Begin(mLease.Fence(), Now());
  proto::RateLeases answer;
  answer.set_asked_at_ns(asked.asked_at_ns());
  answer.set_asker_incarnation(asked.asker_incarnation());
  answer.set_length_ns(static_cast<std::uint64_t>(mRateLeasesGiven.Length().count()));
  const RateLeaseAsker asker{ aMessage.node(),
                              aMessage.incarnation(),
                              aMessage.beat().followers() };
  for (auto& it : mRateLeasesGiven.Give(
         asker, { asked.data_centres().begin(), asked.data_centres().end() }, Now())) {
    answer.add_data_centres(std::move(it));
  }
  mRateLeaseAnswers[aMessage.node()] = std::move(answer);
}

void
Coordinator::Impl::OnRateLeases(const proto::RateLeases& aGiven)
{
  if (aGiven.data_centres().empty() || aGiven.asker_incarnation() != mOptions.mIncarnation) {
    return;
  }
  // Far from overflow, whatever a broken message says.
  const std::uint64_t length =
    std::min(aGiven.length_ns(), static_cast<std::uint64_t>(Duration(kMostLength).count()));
  mRateLeases.OnGiven({ aGiven.data_centres().begin(), aGiven.data_centres().end() },
                      TimePoint(std::chrono::nanoseconds(aGiven.asked_at_ns())),
                      std::chrono::nanoseconds(length),
                      Now());
}

void
Coordinator::Impl::GiveOwnRateLeases()
{
  const auto wanted = WantedRateLeases();
  if (wanted.empty() || !mLease.Held()) {
    return;
  }
  const TimePoint now = Now();
  mRateLeasesGiven.Begin(mLease.Fence(), now);
  const RateLeaseAsker self{ mOptions.mNode,
                             mOptions.mIncarnation,
                             static_cast<std::size_t>(Followers()) };
  mRateLeases.OnGiven(
    mRateLeasesGiven.Give(self, wanted, now), now, mRateLeasesGiven.Length(), now);
}

void
Coordinator::Impl::RenewRetryRight()
{
  if (mStopping || !mLease.Held()) {
    return;
  }
  const TimePoint now = Now();
  mRetryRightsGiven.Begin(mLease.Fence(), now);
  const RateLeaseAsker self{ mOptions.mNode, mOptions.mIncarnation, 0 };
  mRetryRights.OnGiven(
    mRetryRightsGiven.Give(self, { kRetryRight }, now), now, mRetryRightsGiven.Length(), now);
}

RetryBudgetOwnerPlan
Coordinator::Impl::RetryKeeper()
{
  RetryBudgetOwnerPlan keeper;
  keeper.mOwn = std::nullopt;
  const RateLeases own = mRetryRights.Current(Now());
  if (const auto it = own.find(kRetryRight); it != own.end()) {
    keeper.mOwn = it->second;
  }
  const std::string& holder = mLease.Newest().holder();
  const KnownPeer* peer = holder == mOptions.mNode ? nullptr : mPeers.Find(holder);
  if (peer != nullptr) {
    keeper.mAddress = peer->mDeskAddress;
  }
  return keeper;
}

EngineLimits
Coordinator::Impl::CountedLimits()
{
  EngineLimits limits;
  const RateLeases leases = mRateLeases.Current(Now());
  if (leases.empty()) {
    return limits;
  }
  for (const auto& [id, limit] : mLimits) {
    const EngineRecord* engine = FindEngine(EngineOf(id));
    if (engine != nullptr && leases.count(engine->mDataCentre) != 0) {
      limits[id] = limit;
    }
  }
  return limits;
}

EngineLimits
Coordinator::Impl::AllLimits() const
{
  EngineLimits limits = mLimits;
  limits.merge(OthersLimits());
  return limits;
}

EngineLimits
Coordinator::Impl::OthersLimits() const
{
  EngineLimits limits;
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (!mPeers.Alive(peer, Now())) {
      continue;
    }
    for (const auto& it : peer.mBeat.loads()) {
      if (it.has_per_second() && IsLimit(it.per_second())) {
        limits[it.engine()] = it.per_second();
      }
    }
  }
  return limits;
}

} // namespace pepperbay
