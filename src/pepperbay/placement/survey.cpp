#include "survey.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr double kPermille = 1000.0;

} // namespace

Survey::Survey(const PlanInput& aInput,
               const PlannerOptions& aOptions,
               std::map<std::string, TimePoint>& aSilentSince)
  : mIn(aInput)
  , mOptions(aOptions)
  , mSilentSince(aSilentSince)
{
  SurveyHosts();
  SurveyReplicas();
  SurveyProfiles();
}

bool
Survey::Silent(const std::string& aHost) const
{
  const HostWord* word = mIn.mEvidence->Find(aHost);
  return word == nullptr || mIn.mNow - word->mSaidNoEarlier > mOptions.mFreshness;
}

bool
Survey::Refuses(const std::string& aHost) const
{
  const HostWord* word = mIn.mEvidence->Find(aHost);
  return word != nullptr && word->mEvidence.refused();
}

bool
Survey::Draining(const std::string& aHost) const
{
  const auto it = mIn.mState->Content().drains().find(aHost);
  if (it == mIn.mState->Content().drains().end()) {
    return false;
  }
  const HostWord* word = mIn.mEvidence->Find(aHost);
  return word == nullptr || word->mEvidence.host_incarnation() <= it->second;
}

bool
Survey::Usable(const HostView& aHost) const
{
  return !aHost.mLeaving && !Draining(aHost.mHost) && !Silent(aHost.mHost) && !Refuses(aHost.mHost);
}

bool
Survey::Free(const HostView& aHost) const
{
  return mIn.mState->ReplicaOfHost(aHost.mHost) == nullptr &&
         mIn.mEvidence->Find(aHost.mHost)->mSaidNoEarlier >= mIn.mHeldSince;
}

void
Survey::SurveyHosts()
{
  for (const auto& it : mIn.mHosts) {
    mHosts[it.mHost] = &it;
    if (!Silent(it.mHost) && !Refuses(it.mHost)) {
      mSilentSince.erase(it.mHost);
    } else {
      mSilentSince.emplace(it.mHost, mIn.mNow);
    }
    if (Usable(it)) {
      ++mUsable;
      ++mUsableIn[it.mDomain];
      if (Free(it)) {
        mFree[it.mDomain].push_back(it.mHost);
      }
    }
  }
}

void
Survey::SurveyReplicas()
{
  for (const auto& [name, state] : mIn.mState->Content().replicas()) {
    if (state.assign().scope() != mIn.mScope) {
      continue;
    }
    ReplicaView view;
    view.mName = name;
    view.mState = &state;
    Expected expected;
    expected.mReplica = name;
    expected.mGeneration = state.assign().generation();
    expected.mModelVersion = state.assign().model_version();
    for (const auto& member : state.assign().members()) {
      expected.mHosts.push_back(member.host());
      SurveyMember(member.host(), view);
    }
    const auto report = mIn.mEvidence->Judge(expected, mOptions.mFreshness, mIn.mNow);
    view.mWhole = report.mWholeness == Wholeness::kWhole;
    const proto::Profile* profile = mIn.mState->FindProfile(state.assign().profile());
    const auto members = static_cast<std::uint32_t>(state.assign().members_size());
    if (profile == nullptr || profile->hosts_per_replica() != members) {
      view.mMustStop = true;
    }
    mReplicas.push_back(std::move(view));
  }
  std::sort(mReplicas.begin(), mReplicas.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mName < aRight.mName;
  });
}

void
Survey::SurveyMember(const std::string& aHost, ReplicaView& aView)
{
  const auto listed = mHosts.find(aHost);
  const bool leaving = listed != mHosts.end() && listed->second->mLeaving;
  if (leaving || Draining(aHost)) {
    aView.mMustStop = true;
  }
  const bool gone = Refuses(aHost);
  if (!gone && !Silent(aHost)) {
    mSilentSince.erase(aHost);
    return;
  }
  const TimePoint since = mSilentSince.emplace(aHost, mIn.mNow).first->second;
  aView.mLost.push_back({ aHost, mIn.mNow - since, gone });
}

void
Survey::SurveyProfiles()
{
  for (const auto& [key, versioned] : mIn.mState->Content().documents()) {
    if (!versioned.document().has_profile()) {
      continue;
    }
    const proto::Profile& profile = versioned.document().profile();
    ProfileView& view = mProfiles[profile.name()];
    view.mProfile = &profile;
    const double hosts = static_cast<double>(mUsable) * profile.share_permille() / kPermille;
    view.mEntitled = hosts / profile.hosts_per_replica();
    constexpr double kRounding = 1e-9;
    view.mFloor = static_cast<std::size_t>(view.mEntitled + kRounding);
    if (view.mFloor == 0 && profile.share_permille() > 0) {
      view.mFloor = 1;
    }
    const double all = static_cast<double>(mIn.mHosts.size()) * profile.share_permille();
    view.mDue =
      std::max(view.mFloor,
               static_cast<std::size_t>(all / kPermille / profile.hosts_per_replica() + kRounding));
  }
  for (const auto& it : mReplicas) {
    const auto profile = mProfiles.find(it.Assigned().profile());
    if (profile == mProfiles.end() || it.mState->closing() || it.mMustStop) {
      continue;
    }
    ++profile->second.mLive;
    profile->second.mServing += it.mWhole ? 1 : 0;
    if (it.Assigned().model_version() != WantedVersion(*profile->second.mProfile)) {
      profile->second.mRolling = true;
    }
  }
}

bool
Survey::VersionFailed(const proto::Profile& aProfile) const
{
  const auto& failed = mIn.mState->Content().failed_versions();
  const auto it = failed.find(aProfile.name());
  return it != failed.end() && it->second == aProfile.model_version();
}

std::string
Survey::WantedVersion(const proto::Profile& aProfile) const
{
  if (!VersionFailed(aProfile)) {
    return aProfile.model_version();
  }
  for (const auto& it : mReplicas) {
    if (it.Assigned().profile() != aProfile.name()) {
      continue;
    }
    if (it.Assigned().model_version() != aProfile.model_version()) {
      return it.Assigned().model_version();
    }
    if (!it.mState->previous_version().empty()) {
      return it.mState->previous_version();
    }
  }
  return aProfile.model_version();
}

} // namespace pepperbay
