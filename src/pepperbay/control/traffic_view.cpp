#include "pepperbay/control/traffic_view.hpp"

#include "controller_impl.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/log/log.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr Duration kViewEvery = std::chrono::milliseconds(200);
constexpr double kStragglerFactor = 3.0;
constexpr double kMostEjected = 0.2;
constexpr double kPermilleUnit = 1000.0;
constexpr Duration kRemoteTrusted = std::chrono::seconds(10);

/// Put this node's stable subset of a pool first. Each node keeps to its own part, so the
/// connections and cached prefixes of one engine are those of a few nodes only.
void
PutSubsetFirst(Pool* aPool, const std::string& aNode, std::size_t aSubset)
{
  const std::uint64_t seed = Hash64(aNode);
  std::sort(aPool->mTargets.begin(),
            aPool->mTargets.end(),
            [seed](const ReplicaTarget& aLeft, const ReplicaTarget& aRight) {
              const auto left = Hash64(aLeft.mReplica, seed);
              const auto right = Hash64(aRight.mReplica, seed);
              return left != right ? left > right : aLeft.mReplica < aRight.mReplica;
            });
  aPool->mSubset = std::min(aSubset, aPool->mTargets.size());
}

Expected
ExpectedOf(const std::string& aName, const proto::Assign& aAssign)
{
  Expected expected;
  expected.mReplica = aName;
  expected.mGeneration = aAssign.generation();
  expected.mModelVersion = aAssign.model_version();
  for (const auto& it : aAssign.members()) {
    expected.mHosts.push_back(it.host());
  }
  return expected;
}

} // namespace

/// A node that hears neither the log nor its peers cannot know of a planned stop or of a change of
/// configuration. It goes on with what it has and takes nothing new: its callers are served by the
/// others. Half of the nodes, counting this one, always include one that was told of a stop, since
/// a stop is confirmed only once more than half know it.
bool
Controller::Impl::ViewIsCurrent() const
{
  const TimePoint now = mHooks.mNow();
  if (mFollower.LogReachable() && now - mFollower.LastRead() < mSettings.mControl.mSuspectAfter) {
    return true;
  }
  const std::size_t heard = 1 + AliveHere().size();
  const std::size_t known = NodesOf(mSettings.mPlace.mDataCentre).size() + 1;
  return heard * 2 >= known && (known > 1 || mFollower.CaughtUp() || mPeerState);
}

std::string
Controller::Impl::WhyNotReady() const
{
  if (mStopping) {
    return "stopping";
  }
  if (!mFollower.CaughtUp() && !mPeerState) {
    return "no state yet from the log or a peer";
  }
  if (!mFollower.CaughtUp()) {
    std::string behind = WhyBehindPeers();
    if (!behind.empty()) {
      return behind;
    }
  }
  if (!ViewIsCurrent()) {
    return "cut off from the log and from most nodes";
  }
  return "";
}

/// A node that started empty while the log is out must not serve from an older state than any peer:
/// it waits to hear each of them, or for the lapse of those that stay silent.
std::string
Controller::Impl::WhyBehindPeers() const
{
  const TimePoint now = mHooks.mNow();
  for (const auto& [name, peer] : mRoster.Peers()) {
    if (peer.mDataCentre != mSettings.mPlace.mDataCentre) {
      continue;
    }
    const PeerStatus status = mRoster.StatusOf(name, now);
    if (status == PeerStatus::kUnheard) {
      return "waiting to hear peer " + name;
    }
    if (status == PeerStatus::kAlive && peer.mApplied > mState.Next()) {
      return "behind peer " + name;
    }
  }
  return "";
}

std::size_t
Controller::Impl::SilentNodes() const
{
  const TimePoint now = mHooks.mNow();
  std::size_t silent = 0;
  for (const auto& [name, peer] : mRoster.Peers()) {
    const bool here = peer.mDataCentre == mSettings.mPlace.mDataCentre;
    const bool alive = peer.mHeard && mRoster.StatusOf(name, now) == PeerStatus::kAlive;
    const bool working = mRoster.MayBeWorking(name, mSettings.mRequests.mLongestDeadline, now);
    silent += here && !alive && working ? 1 : 0;
  }
  return silent;
}

ReplicaLoad&
Controller::Impl::LoadOf(const ReplicaKey& aKey)
{
  auto& load = mLoads[aKey];
  if (!load) {
    load = std::make_shared<ReplicaLoad>();
  }
  return *load;
}

void
Controller::Impl::BuildView()
{
  const TimePoint now = mHooks.mNow();
  if (!mViewDirty && now < mNextView) {
    return;
  }
  mViewDirty = false;
  mNextView = now + kViewEvery;
  auto view = std::make_shared<TrafficView>();
  view->mWhyNot = WhyNotReady();
  view->mAccepts = view->mWhyNot.empty();
  if (view->mWhyNot != mLastWhyNot) {
    ++mRevision;
    LogEvent(view->mAccepts ? "node.ready" : "node.not_ready", { { "why", view->mWhyNot } });
    mLastWhyNot = view->mWhyNot;
  }
  view->mRouting.mOffset = mState.Next();
  for (const auto& [key, versioned] : mState.Content().documents()) {
    const proto::Document& document = versioned.document();
    if (document.has_customer()) {
      view->mCustomers.insert(document.customer().name());
    } else if (document.has_service()) {
      const auto& endpoints = document.service().endpoints();
      view->mRouting.mServices[document.service().name()] = { endpoints.begin(), endpoints.end() };
    }
  }
  BuildPools(view.get());
  BuildPoolStates(view.get());
  BuildSpill(view.get());
  mHooks.mPublishView(std::move(view));
}

void
Controller::Impl::BuildPools(TrafficView* aView)
{
  std::map<ReplicaKey, WholenessReport> before;
  before.swap(mReports);
  mLeaving.clear();
  for (const auto& it : mListing) {
    if (it.mView.mLeaving) {
      mLeaving.insert(it.mView.mHost);
    }
  }
  for (const auto& [name, replica] : Effective().Content().replicas()) {
    if (replica.assign().scope() == mSettings.mPlace.mDataCentre) {
      AddReplica(aView, name, replica);
    }
  }
  for (const auto& [key, report] : mReports) {
    const auto old = before.find(key);
    if (old == before.end() || old->second.mWholeness != report.mWholeness) {
      ++mRevision;
      const bool lost = old != before.end() && old->second.mWholeness == Wholeness::kWhole;
      mCounters.mReplicasLost += lost ? 1 : 0;
      LogEvent("replica.wholeness",
               { { "replica", key.mReplica },
                 { "generation", std::to_string(key.mGeneration) },
                 { "state", ToString(report.mWholeness) },
                 { "host", report.mHost } });
    }
  }
  mRevision += before.size() != mReports.size() ? 1 : 0;
  // Generations that are over: closed for good, kept while requests on them end.
  for (auto it = mLoads.begin(); it != mLoads.end();) {
    if (mReports.count(it->first) > 0) {
      ++it;
      continue;
    }
    it->second->Close();
    aView->mBroken.insert(it->first);
    const bool idle = it->second->InFlight() == 0;
    mWholeSince.erase(it->first);
    it = idle ? mLoads.erase(it) : std::next(it);
  }
  const FirstTokenTimes times = mHooks.mTraffic().mFirstTokens;
  mEjected.clear();
  for (auto& [profile, pool] : aView->mRouting.mPools) {
    EjectStragglers(&pool, times, kStragglerFactor, kMostEjected);
    PutSubsetFirst(
      &pool, mSettings.mPlace.mName, static_cast<std::size_t>(mSettings.mRequests.mSubset));
    BuildRing(&pool);
    for (const auto& it : pool.mTargets) {
      if (it.mEjected) {
        mEjected.insert(it.mReplica);
      }
    }
  }
}

void
Controller::Impl::AddReplica(TrafficView* aView,
                             const std::string& aName,
                             const proto::ReplicaState& aState)
{
  const TimePoint now = mHooks.mNow();
  const proto::Assign& assign = aState.assign();
  const ReplicaKey key{ aName, assign.generation() };
  const WholenessReport report =
    mWatch.Table().Judge(ExpectedOf(aName, assign), mSettings.mControl.mFreshness, now);
  mReports[key] = report;
  ReplicaLoad& load = LoadOf(key);
  bool closing = aState.closing();
  for (const auto& it : assign.members()) {
    closing = closing || Draining(it.host()) || mLeaving.count(it.host()) > 0;
  }
  if (closing) {
    load.Close();
  } else {
    load.Open();
  }
  if (report.mWholeness == Wholeness::kRefused || report.mWholeness == Wholeness::kElsewhere) {
    aView->mBroken.insert(key);
  }
  if (report.mWholeness != Wholeness::kWhole) {
    mWholeSince.erase(key);
    return;
  }
  const TimePoint since = mWholeSince.emplace(key, now).first->second;
  if (closing) {
    return;
  }
  ReplicaTarget target;
  target.mReplica = aName;
  target.mGeneration = assign.generation();
  target.mAddress = assign.members(0).address();
  target.mSlots = mSettings.mRequests.mSlotsPerReplica;
  target.mWholeSince = since;
  target.mLoad = mLoads[key];
  const HostWord* leader = mWatch.Table().Find(assign.members(0).host());
  if (leader != nullptr) {
    LastReport& last = mLastReports[aName];
    if (last.mAt != leader->mSaidNoEarlier) {
      last.mAt = leader->mSaidNoEarlier;
      last.mOthers.OnReport(
        static_cast<int>(leader->mEvidence.running() + leader->mEvidence.queued()),
        load.InFlight());
    }
    target.mOthers = last.mOthers.Value();
  }
  aView->mRouting.mPools[assign.profile()].mTargets.push_back(std::move(target));
}

void
Controller::Impl::BuildPoolStates(TrafficView* aView) const
{
  const TimePoint now = mHooks.mNow();
  PoolState common;
  common.mNodes = NodesOf(mSettings.mPlace.mDataCentre).size() + 1;
  common.mSilentNodes = SilentNodes();
  common.mUsageAt = mUsageTotalAt;
  // Without the collector's sum nothing is known of the others: each counts with its even part.
  if (now - mUsageTotalAt > mSettings.mControl.mSuspectAfter) {
    common.mSilentNodes = common.mNodes - 1;
  }
  for (const auto& [key, versioned] : mState.Content().documents()) {
    if (versioned.document().has_customer()) {
      const proto::Customer& customer = versioned.document().customer();
      common.mShares[customer.name()] = customer.share_permille() / kPermilleUnit;
    }
  }
  for (const auto& [key, versioned] : mState.Content().documents()) {
    if (!versioned.document().has_profile()) {
      continue;
    }
    const std::string& profile = versioned.document().profile().name();
    PoolState& pool = aView->mPools[profile];
    pool = common;
    const auto routed = aView->mRouting.mPools.find(profile);
    if (routed != aView->mRouting.mPools.end()) {
      pool.mSlots = routed->second.mTargets.size() *
                    static_cast<std::size_t>(mSettings.mRequests.mSlotsPerReplica);
    }
    pool.mOthers = OthersUsage(profile);
  }
}

/// What the other nodes run: the collector's sum less this node's own part of it.
std::map<std::string, CustomerUsage>
Controller::Impl::OthersUsage(const std::string& aProfile) const
{
  const auto total = mUsageTotal.find(aProfile);
  if (total == mUsageTotal.end()) {
    return {};
  }
  std::map<std::string, CustomerUsage> others = total->second;
  const auto own = mUsageInTotal.find(aProfile);
  if (own == mUsageInTotal.end()) {
    return others;
  }
  for (const auto& [customer, part] : own->second) {
    CustomerUsage& usage = others[customer];
    usage.mRunning -= std::min(usage.mRunning, part.mRunning);
    usage.mWaiting -= std::min(usage.mWaiting, part.mWaiting);
  }
  return others;
}

void
Controller::Impl::BuildSpill(TrafficView* aView) const
{
  const TimePoint now = mHooks.mNow();
  for (const auto& [centre, remote] : mRemotes) {
    if (now - remote.mSaid > kRemoteTrusted) {
      continue;
    }
    for (const auto& capacity : remote.mSummary.capacity()) {
      if (capacity.free_slots() == 0) {
        continue;
      }
      auto& entries = aView->mSpill[capacity.profile()];
      entries.insert(
        entries.end(), remote.mSummary.entries().begin(), remote.mSummary.entries().end());
    }
  }
}

} // namespace pepperbay
