/// @file
/// @brief The controller and the hosts: list, probes, planned stops, leading, repairs without the
/// log.

#include "controller_impl.hpp"

#include "pepperbay/log/log.hpp"

#include <algorithm>

namespace pepperbay {

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
      mTargetsStale = mTargetsStale || mListing.size() != aListing.value().size() ||
                      !std::equal(mListing.begin(),
                                  mListing.end(),
                                  aListing.value().begin(),
                                  [](const HostListing& aLeft, const HostListing& aRight) {
                                    return aLeft.mView.mHost == aRight.mView.mHost &&
                                           aLeft.mView.mAddress == aRight.mView.mAddress;
                                  });
      mListing = std::move(aListing.value());
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

/// Everything that is probed here, by anyone. Drawn up when the list or the state changes, not each
/// tick: at the target size the drawing up would cost more than the probes.
std::vector<ProbeTarget>
Controller::Impl::ProbeTargets()
{
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
  return targets;
}

void
Controller::Impl::ProbeDue()
{
  const TimePoint now = mHooks.mNow();
  if (mTargetsStale) {
    mTargets = ProbeTargets();
    mTargetsStale = false;
  }
  for (const auto& it : mWatch.Due(mTargets, AliveHere(), now)) {
    mHooks.mProbe(it.mAddress,
                  [this, host = it.mHost, now](const Result<proto::Evidence>& aAnswer) {
                    const bool news = mWatch.OnProbe(host, aAnswer, now);
                    mViewDirty = mViewDirty || news;
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
        mHooks.mNow() + kRecordPatience,
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
  mTargetsStale = true;
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
  const bool out =
    !mFollower.LogReachable() && now - mFollower.LastRead() > mSettings.mControl.mSuspectAfter;
  PlanInput input;
  input.mEvidence = &mWatch.Table();
  if (mHolder.WantsHosts(now)) {
    input.mHosts = OwnHosts(); // the others have no use for them
  }
  input.mDrained = [this](const std::string& aReplica, std::uint64_t aGeneration) {
    return Drained(aReplica, aGeneration);
  };
  if (mState.Content().leases().count(mSettings.mPlace.mDataCentre) == 0) {
    mHolder.OnState(mState, now);
  }
  if (out) {
    mAdoptUntil = now + mSettings.mControl.mLease * 3;
    input.mState = &Effective();
    for (const auto& it : mHolder.TickOutage(input, now)) {
      TakeRepair(it);
    }
  } else if (!mRepairs.empty()) {
    const bool adopting = now < mAdoptUntil && mHolder.Adopt(mRepairs, now);
    if (!adopting && now >= mAdoptUntil) {
      mTargetsStale = true;
      mRepairs.clear(); // the fold refuses them: another holder has decided otherwise
      mViewDirty = true;
    }
  }
  PlanInput planned = input;
  planned.mState = &Effective();
  mHolder.Tick(std::move(planned), now, mRepairs.empty());
}

} // namespace pepperbay
