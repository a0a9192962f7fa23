#include "survey.hpp"

#include "pepperbay/placement/reserves.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pepperbay {
namespace {

constexpr double kSecondsPerHour = 3600.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// One round of planning.
class Round : private Survey
{
public:
  Round(const PlanInput& aInput,
        const PlannerOptions& aOptions,
        std::map<std::string, TimePoint>& aSilentSince)
    : Survey(aInput, aOptions, aSilentSince)
  {
  }

  PlanOutcome Run()
  {
    DetectFailedVersions();
    StopAndRelease();
    Repair();
    Roll();
    Grow();
    MakeRoom();
    Reserve();
    for (const auto& [domain, hosts] : mFree) {
      mOut.mSpares += static_cast<int>(hosts.size());
    }
    return std::move(mOut);
  }

  /// Returns repairs that only carry out reservations.
  std::vector<proto::Assign> RunOutage()
  {
    std::vector<proto::Assign> repairs;
    for (const auto* replica : Broken()) {
      if (replica->mLost.size() != 1 ||
          ChooseRepair(CaseOf(*replica, false), mOptions) != RepairChoice::kUseSpares) {
        continue;
      }
      std::vector<std::string>& free = mFree[replica->Assigned().members(0).domain()];
      for (auto it = free.begin(); it != free.end(); ++it) {
        const proto::Assign repair = ReplacedBy(*replica, *it);
        if (CarriesOutReservation(*mIn.mState, repair)) {
          repairs.push_back(repair);
          free.erase(it);
          break;
        }
      }
    }
    return repairs;
  }

private:
  // ---- Versions ----

  /// A host that cannot load the published version stops the roll for all replicas: the next
  /// replica would fail in the same way.
  void DetectFailedVersions()
  {
    for (const auto& it : mReplicas) {
      const auto profile = mProfiles.find(it.Assigned().profile());
      if (profile == mProfiles.end()) {
        continue;
      }
      const proto::Profile& wanted = *profile->second.mProfile;
      const bool newest = it.Assigned().model_version() == wanted.model_version();
      if (!newest || VersionFailed(wanted) || mReportedFailures.count(wanted.name()) > 0) {
        continue;
      }
      for (const auto& member : it.Assigned().members()) {
        const HostWord* word = mIn.mEvidence->Find(member.host());
        const bool failed = word != nullptr && word->mEvidence.phase() == proto::PHASE_FAILED &&
                            word->mEvidence.replica() == it.mName &&
                            word->mEvidence.generation() == it.Assigned().generation() &&
                            word->mEvidence.model_version() == wanted.model_version();
        if (failed) {
          auto& note = *NewRecord().mutable_version_failed();
          note.set_scope(mIn.mScope);
          note.set_fence(mIn.mFence);
          note.set_profile(wanted.name());
          note.set_model_version(wanted.model_version());
          mReportedFailures.insert(wanted.name());
          break;
        }
      }
    }
  }

  // ---- Records ----

  proto::Record& NewRecord() { return mOut.mRecords.emplace_back(); }

  void Release(const ReplicaView& aReplica, bool aClosing)
  {
    auto& release = *NewRecord().mutable_release();
    release.set_scope(mIn.mScope);
    release.set_fence(mIn.mFence);
    release.set_replica(aReplica.mName);
    release.set_generation(aReplica.Assigned().generation());
    release.set_closing(aClosing);
    mTouched.insert(aReplica.mName);
  }

  void Assign(const std::string& aReplica,
              const proto::Profile& aProfile,
              const std::vector<proto::Member>& aMembers)
  {
    const auto& generations = mIn.mState->Content().generations();
    const auto last = generations.find(aReplica);
    auto& assign = *NewRecord().mutable_assign();
    assign.set_scope(mIn.mScope);
    assign.set_fence(mIn.mFence);
    assign.set_replica(aReplica);
    assign.set_generation((last == generations.end() ? 0 : last->second) + 1);
    assign.set_profile(aProfile.name());
    assign.set_model(aProfile.model());
    assign.set_model_version(WantedVersion(aProfile));
    for (const auto& it : aMembers) {
      *assign.add_members() = it;
    }
    mTouched.insert(aReplica);
  }

  proto::Member MemberOf(const std::string& aHost) const
  {
    const HostView& view = *mHosts.at(aHost);
    proto::Member member;
    member.set_host(view.mHost);
    member.set_domain(view.mDomain);
    member.set_address(view.mAddress);
    member.set_checks_fence(view.mChecksFence);
    member.set_accelerators(view.mAccelerators);
    return member;
  }

  // ---- Decisions ----

  void StopAndRelease()
  {
    for (const auto& it : mReplicas) {
      if (mTouched.count(it.mName) > 0) {
        continue;
      }
      if (it.mMustStop && !it.mState->closing()) {
        Release(it, true);
        continue;
      }
      if (!it.mState->closing()) {
        continue;
      }
      if (!mIn.mDrained(it.mName, it.Assigned().generation())) {
        mOut.mWaiting[it.mName] = "closing: requests may be in progress";
        continue;
      }
      const auto profile = mProfiles.find(it.Assigned().profile());
      const bool again = !it.mMustStop && it.mLost.empty() && profile != mProfiles.end() &&
                         it.Assigned().model_version() != WantedVersion(*profile->second.mProfile);
      if (again) {
        const auto& members = it.Assigned().members();
        Assign(it.mName, *profile->second.mProfile, { members.begin(), members.end() });
      } else {
        Release(it, false);
      }
    }
  }

  /// Sorted by urgency of the profile, then by least service.
  std::vector<const ReplicaView*> Broken() const
  {
    std::vector<const ReplicaView*> broken;
    for (const auto& it : mReplicas) {
      const bool candidate = !it.mLost.empty() && !it.mState->closing() && !it.mMustStop &&
                             mTouched.count(it.mName) == 0;
      if (candidate) {
        broken.push_back(&it);
      }
    }
    std::stable_sort(broken.begin(), broken.end(), [this](const auto* aLeft, const auto* aRight) {
      const ProfileView& left = mProfiles.at(aLeft->Assigned().profile());
      const ProfileView& right = mProfiles.at(aRight->Assigned().profile());
      if (left.mProfile->priority() != right.mProfile->priority()) {
        return left.mProfile->priority() < right.mProfile->priority();
      }
      if (left.mServing != right.mServing) {
        return left.mServing < right.mServing;
      }
      return aLeft->mLost.size() < aRight->mLost.size();
    });
    return broken;
  }

  void Repair()
  {
    const auto broken = Broken();
    std::set<std::string> given;
    for (std::size_t i = 0; i < broken.size(); ++i) {
      const ReplicaView& replica = *broken[i];
      if (given.count(replica.mName) > 0) {
        continue;
      }
      const std::string& domain = replica.Assigned().members(0).domain();
      const ReplicaView* donor = nullptr;
      for (std::size_t j = broken.size(); j-- > i + 1;) {
        const bool fits =
          broken[j]->Assigned().members(0).domain() == domain &&
          given.count(broken[j]->mName) == 0 &&
          broken[j]->mLost.size() < static_cast<std::size_t>(broken[j]->Assigned().members_size());
        if (fits) {
          donor = broken[j];
          break;
        }
      }
      const RepairCase repair = CaseOf(replica, donor != nullptr);
      const RepairChoice choice =
        mOptions.mRepair ? mOptions.mRepair(repair, mOptions) : ChooseRepair(repair, mOptions);
      Carry(replica, donor, choice, given);
    }
  }

  RepairCase CaseOf(const ReplicaView& aReplica, bool aDonor)
  {
    RepairCase repair;
    repair.mLost = aReplica.mLost.size();
    repair.mSize = static_cast<std::size_t>(aReplica.Assigned().members_size());
    repair.mAccelerators = aReplica.Assigned().members(0).accelerators();
    for (const auto& it : aReplica.mLost) {
      repair.mSilentFor = std::max(repair.mSilentFor, it.mSilentFor);
      repair.mProcessGone = repair.mProcessGone || it.mProcessGone;
    }
    const std::string& domain = aReplica.Assigned().members(0).domain();
    repair.mSparesInDomain = mFree[domain].size();
    repair.mDonorInDomain = aDonor;
    for (const auto& [name, hosts] : mFree) {
      repair.mRoomElsewhere |= name != domain && hosts.size() >= repair.mSize;
    }
    return repair;
  }

  void Carry(const ReplicaView& aReplica,
             const ReplicaView* aDonor,
             RepairChoice aChoice,
             std::set<std::string>& aGiven)
  {
    switch (aChoice) {
      case RepairChoice::kWait:
        mOut.mWaiting[aReplica.mName] = "waiting for " + aReplica.mLost.front().mHost;
        return;
      case RepairChoice::kUseSpares:
        ReplaceLost(aReplica);
        return;
      case RepairChoice::kTakeFromAnother:
        aGiven.insert(aDonor->mName);
        Release(*aDonor, true);
        mOut.mWaiting[aReplica.mName] = "taking hosts from " + aDonor->mName;
        return;
      case RepairChoice::kGiveUp:
        Release(aReplica, true);
        mOut.mWaiting[aReplica.mName] = "released; another domain has room";
        return;
    }
  }

  void ReplaceLost(const ReplicaView& aReplica)
  {
    const std::string& domain = aReplica.Assigned().members(0).domain();
    std::vector<proto::Member> members;
    for (const auto& it : aReplica.Assigned().members()) {
      const bool lost =
        std::any_of(aReplica.mLost.begin(), aReplica.mLost.end(), [&](const LostMember& aLost) {
          return aLost.mHost == it.host();
        });
      if (!lost) {
        members.push_back(it);
        continue;
      }
      members.push_back(MemberOf(mFree[domain].back()));
      mFree[domain].pop_back();
    }
    Assign(aReplica.mName, *mProfiles.at(aReplica.Assigned().profile()).mProfile, members);
  }

  /// Changes the version of one replica of each profile at a time, never going below the profile's
  /// share.
  void Roll()
  {
    for (auto& [name, view] : mProfiles) {
      if (!view.mRolling) {
        continue;
      }
      const ReplicaView* next = nullptr;
      bool busy = false;
      for (const auto& it : mReplicas) {
        if (it.Assigned().profile() != name) {
          continue;
        }
        const bool old = it.Assigned().model_version() != WantedVersion(*view.mProfile);
        busy = busy || it.mState->closing() || (!old && !it.mWhole);
        const bool better = next == nullptr || (next->mWhole && !it.mWhole);
        if (old && !it.mState->closing() && mTouched.count(it.mName) == 0 && better) {
          next = &it;
        }
      }
      if (next == nullptr || (busy && next->mWhole)) {
        continue;
      }
      const std::size_t after = view.mServing - (next->mWhole ? 1 : 0);
      if (next->mWhole && after < view.mFloor) {
        mOut.mWaiting[name] = "roll: no replica above its share of " + std::to_string(view.mFloor);
        mSurge.insert(name);
        continue;
      }
      Release(*next, true);
      view.mServing = after;
    }
  }

  /// The profile with the highest rank grows first: one without any replica, then a roll that needs
  /// room, then the profile that would be least above its share. Shares are compared in hosts since
  /// replicas differ in size.
  static double GrowthRank(const ProfileView& aView, bool aSurge)
  {
    constexpr double kFirstReplica = 1e9;
    constexpr double kPerPriority = 1e7;
    constexpr double kSurge = 1e5;
    constexpr double kDue = 1e3;
    const double first =
      aView.mLive == 0 ? kFirstReplica - kPerPriority * aView.mProfile->priority() : 0;
    const double due = aView.mLive < aView.mDue ? kDue : 0.0;
    const double after = static_cast<double>(aView.mLive + 1) / std::max(aView.mEntitled, 1e-9);
    return first + (aSurge ? kSurge : 0.0) + due - after;
  }

  double GrowthRank(const ProfileView& aView) const
  {
    return GrowthRank(aView, mSurge.count(aView.mProfile->name()) > 0);
  }

  void Grow()
  {
    for (;;) {
      ProfileView* best = nullptr;
      for (auto& [name, view] : mProfiles) {
        const bool wants = view.mProfile->share_permille() > 0 && DomainFor(view) != nullptr;
        if (wants && (best == nullptr || GrowthRank(view) > GrowthRank(*best))) {
          best = &view;
        }
      }
      if (best == nullptr) {
        break;
      }
      Create(*best, *DomainFor(*best));
    }
    for (const auto& [name, view] : mProfiles) {
      if (view.mLive < view.mFloor) {
        mOut.mWaiting[name] = "has " + std::to_string(view.mLive) + " of " +
                              std::to_string(view.mFloor) + " replicas: no domain has room";
      }
    }
  }

  /// The domain where a new replica takes least room from larger ones and leaves the fewest hosts
  /// unusable; null if no domain has room.
  const std::string* DomainFor(const ProfileView& aView) const
  {
    const std::size_t size = aView.mProfile->hosts_per_replica();
    const bool needed = aView.mLive < aView.mDue || mSurge.count(aView.mProfile->name()) > 0;
    const std::size_t largest = LargestSize();
    const std::string* best = nullptr;
    std::size_t bestCost = 0;
    for (const auto& [domain, hosts] : mFree) {
      const std::size_t keep =
        needed ? 0 : SparesWorthKeeping(HostsInUse(domain), size, Accelerators(hosts), mOptions);
      if (hosts.size() < size + keep) {
        continue;
      }
      if (mOptions.mFirstFit) {
        return &domain;
      }
      const std::size_t left = hosts.size() - size;
      const std::size_t lost = hosts.size() / largest - left / largest;
      const std::size_t cost = lost * (largest + 1) + left % largest;
      if (best == nullptr || cost < bestCost) {
        best = &domain;
        bestCost = cost;
      }
    }
    return best;
  }

  std::size_t LargestSize() const
  {
    std::size_t largest = 1;
    for (const auto& [name, view] : mProfiles) {
      if (view.mProfile->share_permille() > 0) {
        largest = std::max<std::size_t>(largest, view.mProfile->hosts_per_replica());
      }
    }
    return largest;
  }

  std::uint32_t Accelerators(const std::vector<std::string>& aHosts) const
  {
    return aHosts.empty() ? 1 : mHosts.at(aHosts.front())->mAccelerators;
  }

  /// The number of hosts of a domain that are members of replicas, including assignments of this
  /// round.
  std::size_t HostsInUse(const std::string& aDomain) const
  {
    const auto usable = mUsableIn.find(aDomain);
    const auto free = mFree.find(aDomain);
    return (usable == mUsableIn.end() ? 0 : usable->second) -
           (free == mFree.end() ? 0 : free->second.size());
  }

  void Create(ProfileView& aView, const std::string& aDomain)
  {
    std::vector<std::string>& hosts = mFree[aDomain];
    std::vector<proto::Member> members;
    for (std::uint32_t i = 0; i < aView.mProfile->hosts_per_replica(); ++i) {
      members.push_back(MemberOf(hosts.back()));
      hosts.pop_back();
    }
    Assign(FreshName(*aView.mProfile), *aView.mProfile, members);
    ++aView.mLive;
    mSurge.erase(aView.mProfile->name());
  }

  std::string FreshName(const proto::Profile& aProfile) const
  {
    for (int i = 1;; ++i) {
      std::string name = mIn.mScope + "/" + aProfile.name() + "-" + std::to_string(i);
      const bool taken =
        mIn.mState->Content().replicas().count(name) > 0 || mTouched.count(name) > 0;
      if (!taken) {
        return name;
      }
    }
  }

  /// After a change of shares: a profile above its share gives up one replica for a profile below
  /// its share.
  void MakeRoom()
  {
    for (const auto& it : mReplicas) {
      if (it.mState->closing()) {
        return; // hosts are being released already
      }
    }
    const ProfileView* needy = nullptr;
    for (const auto& [name, view] : mProfiles) {
      const bool lacks = view.mLive < view.mDue || mSurge.count(name) > 0;
      if (lacks && (needy == nullptr || GrowthRank(view) > GrowthRank(*needy))) {
        needy = &view;
      }
    }
    if (needy == nullptr || !mOut.mRecords.empty()) {
      return;
    }
    CloseSurplus(needy->mProfile->hosts_per_replica(), needy->mProfile->name());
  }

  /// Closes the fewest replicas of profiles above their share that free `aSize` hosts in one
  /// domain. Several small replicas can make room for a large one.
  void CloseSurplus(std::size_t aSize, const std::string& aFor)
  {
    std::vector<const ReplicaView*> best;
    std::set<std::string> domains;
    for (const auto& it : mReplicas) {
      domains.insert(it.Assigned().members(0).domain());
    }
    for (const auto& domain : domains) {
      std::map<std::string, std::size_t> surplus;
      for (const auto& [name, view] : mProfiles) {
        surplus[name] = name != aFor && view.mLive > view.mDue ? view.mLive - view.mDue : 0;
      }
      std::size_t room = mFree[domain].size();
      std::vector<const ReplicaView*> chosen;
      for (const auto& it : mReplicas) {
        const bool here = it.Assigned().members(0).domain() == domain;
        if (room >= aSize || !here || surplus[it.Assigned().profile()] == 0) {
          continue;
        }
        --surplus[it.Assigned().profile()];
        room += static_cast<std::size_t>(it.Assigned().members_size()) - it.mLost.size();
        chosen.push_back(&it);
      }
      if (room >= aSize && (best.empty() || chosen.size() < best.size())) {
        best = chosen;
      }
    }
    for (const auto* it : best) {
      Release(*it, true);
    }
  }

  proto::Assign ReplacedBy(const ReplicaView& aReplica, const std::string& aSpare) const
  {
    proto::Assign repair = aReplica.Assigned();
    repair.set_generation(repair.generation() + 1);
    repair.set_fence(mIn.mFence);
    for (auto& it : *repair.mutable_members()) {
      if (it.host() == aReplica.mLost.front().mHost) {
        it = MemberOf(aSpare);
      }
    }
    return repair;
  }

  /// Reserves free hosts in the log for the replicas of their domain, for outages of the log.
  void Reserve()
  {
    if (!mOptions.mReserve || !mOut.mRecords.empty()) {
      return;
    }
    for (const auto& [domain, hosts] : mFree) {
      for (const auto& host : hosts) {
        proto::Reserve wanted;
        wanted.set_scope(mIn.mScope);
        wanted.set_fence(mIn.mFence);
        *wanted.mutable_spare() = MemberOf(host);
        for (const auto& it : mReplicas) {
          const bool here = it.Assigned().members(0).domain() == domain;
          if (here && !it.mState->closing() && mHosts.at(host)->mChecksFence) {
            wanted.add_replicas(it.mName);
          }
        }
        const auto known = mIn.mState->Content().reserves().find(host);
        const bool none = known == mIn.mState->Content().reserves().end();
        const bool same = none ? wanted.replicas().empty()
                               : std::equal(wanted.replicas().begin(),
                                            wanted.replicas().end(),
                                            known->second.replicas().begin(),
                                            known->second.replicas().end());
        if (!same) {
          *NewRecord().mutable_reserve() = wanted;
        }
      }
    }
  }

  PlanOutcome mOut;
  std::set<std::string> mTouched;
  std::set<std::string> mReportedFailures;
  std::set<std::string> mSurge;
};

} // namespace

RepairChoice
ChooseRepair(const RepairCase& aCase, const PlannerOptions& aOptions)
{
  // Cost per second in which the replica is not whole.
  const double left = static_cast<double>(aCase.mSize - aCase.mLost) * aCase.mAccelerators;
  const double perSecond = aOptions.mDowntimeWeight + aOptions.mStrandedWeight * left;
  const double load = Seconds(aOptions.mLoadTime);
  const double blipLeft = Seconds(aOptions.mBlip - aCase.mSilentFor);
  const bool mayBeBlip = !aCase.mProcessGone && blipLeft > 0;
  const double returns = mayBeBlip ? aOptions.mBlipShare : 0.0;
  const double wait =
    mayBeBlip ? blipLeft + (1.0 - returns) * load : Seconds(aCase.mSilentFor) + load;
  const double costOfWait = perSecond * wait;
  const double costOfLoad = perSecond * load;
  if (aCase.mSparesInDomain >= aCase.mLost) {
    return costOfLoad < costOfWait || aCase.mProcessGone ? RepairChoice::kUseSpares
                                                         : RepairChoice::kWait;
  }
  // The donor loses its own chance of recovery: most hosts that are away for longer than a blip
  // were restarted and return within one or two weight loads. The planner therefore takes hosts
  // from a donor, or moves the replica to another domain, only after this replica's host has been
  // away for as long as a load takes.
  const bool longGone = aCase.mSilentFor > aOptions.mLoadTime;
  if (aCase.mDonorInDomain && longGone) {
    return RepairChoice::kTakeFromAnother;
  }
  const bool hopeless = longGone || aCase.mLost == aCase.mSize;
  return aCase.mRoomElsewhere && hopeless && !mayBeBlip ? RepairChoice::kGiveUp
                                                        : RepairChoice::kWait;
}

std::size_t
SparesWorthKeeping(std::size_t aHostsInUse,
                   std::size_t aReplicaSize,
                   std::uint32_t aAccelerators,
                   const PlannerOptions& aOptions)
{
  // The n-th spare is used if n hosts of the domain are down together. With few failures the
  // probability of that is close to the n-th power of the mean number of hosts down.
  const double meanDown =
    static_cast<double>(aHostsInUse) * aOptions.mHostFailuresPerHour * aOptions.mHostRepairHours;
  const double downtimePerHour = aOptions.mDowntimeWeight * kSecondsPerHour;
  const double strandedPerHour = aOptions.mStrandedWeight * aAccelerators * kSecondsPerHour;
  std::size_t worth = 0;
  double chance = std::min(1.0, meanDown);
  while (worth < aReplicaSize && chance * downtimePerHour > strandedPerHour) {
    ++worth;
    chance *= meanDown;
  }
  return worth;
}

Planner::Planner(const PlannerOptions& aOptions)
  : mOptions(aOptions)
{
}

PlanOutcome
Planner::Plan(const PlanInput& aInput)
{
  return Round(aInput, mOptions, mSilentSince).Run();
}

std::vector<proto::Assign>
Planner::PlanOutage(const PlanInput& aInput)
{
  return Round(aInput, mOptions, mSilentSince).RunOutage();
}

} // namespace pepperbay
