#include "coordinator_impl.hpp"
#include "pepperbay/routing/engine_limit_table.hpp"

#include <algorithm>
#include <set>

namespace pepperbay {
namespace {

constexpr std::chrono::seconds kMaxLeaseLength{ 60 };
/// Key of the retry lease: its holder manages the budget of second attempts.
constexpr const char* kRetryLease = "retries";

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
  mGrantedRateLeases.Begin(mLease.Fence(), Now());
  proto::RateLeases answer;
  answer.set_asked_at_ns(asked.asked_at_ns());
  answer.set_asker_incarnation(asked.asker_incarnation());
  answer.set_length_ns(static_cast<std::uint64_t>(mGrantedRateLeases.Length().count()));
  const RateLeaseRequester requester{ aMessage.node(),
                                      aMessage.incarnation(),
                                      aMessage.beat().followers() };
  for (auto& it : mGrantedRateLeases.Grant(
         requester, { asked.data_centres().begin(), asked.data_centres().end() }, Now())) {
    answer.add_data_centres(std::move(it));
  }
  mRateLeaseAnswers[aMessage.node()] = std::move(answer);
}

void
Coordinator::Impl::OnRateLeases(const proto::RateLeases& aGranted)
{
  if (aGranted.data_centres().empty() || aGranted.asker_incarnation() != mOptions.mIncarnation) {
    return;
  }
  // Prevents overflow, whatever a corrupt message contains.
  const std::uint64_t length =
    std::min(aGranted.length_ns(), static_cast<std::uint64_t>(Duration(kMaxLeaseLength).count()));
  mRateLeases.OnGranted({ aGranted.data_centres().begin(), aGranted.data_centres().end() },
                        TimePoint(std::chrono::nanoseconds(aGranted.asked_at_ns())),
                        std::chrono::nanoseconds(length),
                        Now());
}

void
Coordinator::Impl::GrantOwnRateLeases()
{
  const auto wanted = WantedRateLeases();
  if (wanted.empty() || !mLease.Held()) {
    return;
  }
  const TimePoint now = Now();
  mGrantedRateLeases.Begin(mLease.Fence(), now);
  const RateLeaseRequester self{ mOptions.mNode,
                                 mOptions.mIncarnation,
                                 static_cast<std::size_t>(Followers()) };
  mRateLeases.OnGranted(
    mGrantedRateLeases.Grant(self, wanted, now), now, mGrantedRateLeases.Length(), now);
}

void
Coordinator::Impl::RenewRetryLease()
{
  if (mStopping || !mLease.Held()) {
    return;
  }
  const TimePoint now = Now();
  mGrantedRetryLeases.Begin(mLease.Fence(), now);
  const RateLeaseRequester self{ mOptions.mNode, mOptions.mIncarnation, 0 };
  mRetryLeases.OnGranted(
    mGrantedRetryLeases.Grant(self, { kRetryLease }, now), now, mGrantedRetryLeases.Length(), now);
}

RetryBudgetOwnerPlan
Coordinator::Impl::FindRetryBudgetOwner()
{
  RetryBudgetOwnerPlan owner;
  owner.mOwn = std::nullopt;
  const RateLeases own = mRetryLeases.Current(Now());
  if (const auto it = own.find(kRetryLease); it != own.end()) {
    owner.mOwn = it->second;
  }
  const std::string& holder = mLease.Newest().holder();
  const KnownPeer* peer = holder == mOptions.mNode ? nullptr : mPeers.Find(holder);
  if (peer != nullptr) {
    owner.mAddress = peer->mAllocatorAddress;
  }
  return owner;
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
