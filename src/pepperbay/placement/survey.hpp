/// @file
/// @brief What one round of planning sees: hosts, replicas and profiles, drawn once at its start.
#pragma once

#include "pepperbay/placement/planner.hpp"

#include <map>
#include <string>
#include <vector>

namespace pepperbay {

/// A member that its replica cannot count on.
struct LostMember
{
  std::string mHost;
  Duration mSilentFor{ 0 };
  bool mProcessGone = false;
};

/// A live replica as this round sees it.
struct ReplicaView
{
  std::string mName;
  const proto::ReplicaState* mState = nullptr;
  std::vector<LostMember> mLost;
  bool mWhole = false;
  bool mMustStop = false;

  const proto::Assign& Assigned() const { return mState->assign(); }
};

/// A profile as this round sees it.
struct ProfileView
{
  const proto::Profile* mProfile = nullptr;
  std::size_t mFloor = 0;   ///< replicas that its share of the hosts up entitles it to
  std::size_t mDue = 0;     ///< the same of all hosts listed
  double mEntitled = 0;     ///< mFloor before rounding
  std::size_t mLive = 0;    ///< replicas not closing
  std::size_t mServing = 0; ///< whole and not closing
  bool mRolling = false;    ///< some replica serves another version than wanted
};

/// Hosts by what may be done with them, replicas by what they lack, profiles by what they are due.
class Survey
{
protected:
  /// @param aSilentSince kept between rounds: hosts that do not answer, and since when
  Survey(const PlanInput& aInput,
         const PlannerOptions& aOptions,
         std::map<std::string, TimePoint>& aSilentSince);

  bool VersionFailed(const proto::Profile& aProfile) const;

  /// The version to give to a replica now: the published one, or the last good one when that failed
  /// to load.
  std::string WantedVersion(const proto::Profile& aProfile) const;

  const PlanInput& mIn;
  const PlannerOptions& mOptions;
  std::map<std::string, TimePoint>& mSilentSince;
  std::map<std::string, const HostView*> mHosts;
  std::map<std::string, std::vector<std::string>> mFree; ///< hosts in no replica, by domain
  std::size_t mUsable = 0;                               ///< hosts that may serve
  std::map<std::string, std::size_t> mUsableIn;          ///< by fabric domain
  std::vector<ReplicaView> mReplicas;
  std::map<std::string, ProfileView> mProfiles;

private:
  bool Silent(const std::string& aHost) const;
  bool Refuses(const std::string& aHost) const;
  bool Draining(const std::string& aHost) const;
  bool Usable(const HostView& aHost) const;
  /// A host may be given to a replica once it has answered in this tenure: what an earlier holder
  /// did to it shows in that answer.
  bool Free(const HostView& aHost) const;
  void SurveyHosts();
  void SurveyReplicas();
  void SurveyMember(const std::string& aHost, ReplicaView& aView);
  void SurveyProfiles();
};

} // namespace pepperbay
