#include "holder.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/log/log.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr int kStaggerSteps = 16;
constexpr int kTicksPerPlan = 10;

LeaseOptions
MakeLeaseOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  LeaseOptions options;
  options.mScope = aSettings.mPlace.mDataCentre;
  options.mHolder = aSettings.mPlace.mName;
  options.mIncarnation = aIncarnation;
  options.mLength = aSettings.mControl.mLease;
  // Challengers that all claim at once cost the log an append each; spread them.
  const auto step = static_cast<int>(Hash64(options.mHolder) % kStaggerSteps);
  options.mStagger = aSettings.mControl.mTick * step;
  return options;
}

PlannerOptions
MakePlannerOptions(const Settings& aSettings)
{
  PlannerOptions options;
  options.mDowntimeWeight = aSettings.mPlacement.mDowntimeWeight;
  options.mStrandedWeight = aSettings.mPlacement.mStrandedWeight;
  options.mBlip = aSettings.mPlacement.mBlip;
  options.mLoadTime = aSettings.mPlacement.mLoadTime;
  options.mFreshness = aSettings.mControl.mFreshness;
  options.mReserve = aSettings.mPlacement.mReserveSpares;
  return options;
}

OrderOptions
MakeOrderOptions(const Settings& aSettings)
{
  OrderOptions options;
  options.mFreshness = aSettings.mControl.mFreshness;
  options.mLease = aSettings.mControl.mLease;
  options.mOrderTimeout = aSettings.mControl.mOrderTimeout;
  options.mLoadsAtOnce = aSettings.mPlacement.mLoadsAtOnce;
  return options;
}

} // namespace

Holder::Holder(const Settings& aSettings, std::uint64_t aIncarnation, HolderHooks aHooks)
  : mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mKeeper(MakeLeaseOptions(aSettings, aIncarnation))
  , mPlanner(MakePlannerOptions(aSettings))
  , mOrderPlan(MakeOrderOptions(aSettings))
{
}

void
Holder::OnState(const State& aState, TimePoint aNow)
{
  const auto& leases = aState.Content().leases();
  const auto it = leases.find(mSettings.mPlace.mDataCentre);
  const std::uint64_t before = mKeeper.Fence();
  mKeeper.OnFolded(it == leases.end() ? nullptr : &it->second, aNow);
  const std::uint64_t after = mKeeper.Fence();
  mLastHolder = after != 0;
  if (after != before) {
    const char* event = after != 0 ? "lease.acquired" : "lease.lost";
    LogEvent(event,
             { { "scope", mSettings.mPlace.mDataCentre },
               { "fence", std::to_string(after != 0 ? after : before) } });
  }
}

void
Holder::Claim(const proto::Claim& aClaim, TimePoint aNow)
{
  proto::Record record;
  *record.mutable_claim() = aClaim;
  const auto queued =
    mHooks.mSubmit(std::move(record),
                   aNow + mSettings.mControl.mLease,
                   [this](const Result<std::uint64_t>&) { mKeeper.OnClaimDone(); });
  if (!queued.has_value()) {
    mKeeper.OnClaimDone();
  }
}

void
Holder::Tick(PlanInput aInput, TimePoint aNow, bool aMayPlan)
{
  if (const auto claim = mKeeper.Tick(aNow)) {
    Claim(*claim, aNow);
  }
  // Planning looks at every host and replica; a few times a second is soon enough.
  if (!mKeeper.Held(aNow) || aNow < mNextPlan) {
    return;
  }
  mNextPlan = aNow + mSettings.mControl.mTick * kTicksPerPlan;
  aInput.mScope = mSettings.mPlace.mDataCentre;
  aInput.mFence = mKeeper.Fence();
  aInput.mHeldSince = mKeeper.HeldSince();
  aInput.mNow = aNow;
  // A node that has just started has heard few hosts; planning on that, it would take serving
  // replicas for broken and profiles for being above their shares.
  const bool informed = aNow - mKeeper.HeldSince() >= mSettings.mControl.mFreshness;
  if (aMayPlan && informed) {
    AppendPlan(aInput, aNow);
    AppendSnapshot(*aInput.mState, aNow);
  }
  // An order must be over before the lease is, or it could arrive after a successor's.
  const Duration timeout = mSettings.mControl.mOrderTimeout;
  if (mKeeper.Remaining(aNow) > timeout) {
    GiveOrders(aInput, timeout);
  }
}

void
Holder::GiveOrders(const PlanInput& aInput, Duration aTimeout)
{
  for (const auto& it : mOrderPlan.Due(aInput)) {
    ++mOrders;
    mHooks.mOrder(it, aTimeout);
  }
}

std::vector<proto::Assign>
Holder::TickOutage(PlanInput aInput, TimePoint aNow)
{
  if (!mLastHolder || aNow < mNextPlan) {
    return {};
  }
  mNextPlan = aNow + mSettings.mControl.mTick * kTicksPerPlan;
  aInput.mScope = mSettings.mPlace.mDataCentre;
  aInput.mFence = mKeeper.Fence();
  aInput.mHeldSince = mKeeper.HeldSince();
  aInput.mNow = aNow;
  // Only hosts that check fencing numbers: a successor's orders override these whenever they come.
  auto& hosts = aInput.mHosts;
  hosts.erase(std::remove_if(hosts.begin(),
                             hosts.end(),
                             [](const HostView& aHost) { return !aHost.mChecksFence; }),
              hosts.end());
  std::vector<proto::Assign> repairs = mPlanner.PlanOutage(aInput);
  GiveOrders(aInput, mSettings.mControl.mOrderTimeout);
  return repairs;
}

bool
Holder::Adopt(const OutageRepairs& aRepairs, TimePoint aNow)
{
  if (mOutstanding > 0 || !mKeeper.Held(aNow)) {
    return true;
  }
  for (const auto& [name, repair] : aRepairs) {
    proto::Record record;
    *record.mutable_assign() = repair;
    record.mutable_assign()->set_fence(mKeeper.Fence());
    const auto queued = mHooks.mSubmit(std::move(record),
                                       aNow + mSettings.mControl.mLease,
                                       [this](const Result<std::uint64_t>&) { --mOutstanding; });
    mOutstanding += queued.has_value() ? 1 : 0;
  }
  return mOutstanding > 0;
}

void
Holder::AppendPlan(const PlanInput& aInput, TimePoint aNow)
{
  if (mOutstanding > 0) {
    return;
  }
  mLastPlan = mPlanner.Plan(aInput);
  for (const auto& it : mLastPlan.mRecords) {
    const auto queued = mHooks.mSubmit(
      it, aNow + mSettings.mControl.mLease, [this](const Result<std::uint64_t>& aOutcome) {
        --mOutstanding;
        mRefused += aOutcome.has_value() ? 0 : 1;
      });
    mOutstanding += queued.has_value() ? 1 : 0;
  }
}

/// A stream that retention cuts below its last snapshot can no longer start an empty node.
void
Holder::AppendSnapshot(const State& aState, TimePoint aNow)
{
  const std::uint64_t since = aState.Next() - aState.Content().last_snapshot();
  // The holders of several data centres would all write one: the later ones in name wait longer.
  std::uint64_t rank = 0;
  for (const auto& [scope, lease] : aState.Content().leases()) {
    rank += scope < mSettings.mPlace.mDataCentre ? 1 : 0;
  }
  const auto every = static_cast<std::uint64_t>(mSettings.mPlatform.mSnapshotEvery);
  if (mSnapshotOutstanding || since < every + rank * every / 4) {
    return;
  }
  proto::Record record;
  *record.mutable_snapshot() = aState.Content();
  const auto queued =
    mHooks.mSubmit(std::move(record),
                   aNow + mSettings.mControl.mLease,
                   [this](const Result<std::uint64_t>&) { mSnapshotOutstanding = false; });
  mSnapshotOutstanding = queued.has_value();
}

bool
Holder::GiveUp(TimePoint aNow)
{
  const auto claim = mKeeper.Release();
  if (!claim) {
    return false;
  }
  Claim(*claim, aNow);
  return true;
}

} // namespace pepperbay
