/// @file
/// @brief The hosts, replicas and profiles as seen by one planning round, collected at its start.
#pragma once

#include "pepperbay/placement/planner.hpp"

#include <map>
#include <string>
#include <vector>

namespace pepperbay {

/// A member that is lost to its replica.
struct LostMember
{
  std::string mHost;
  Duration mSilentFor{ 0 };
  bool mProcessGone = false;
};

/// A live replica in this round.
struct ReplicaView
{
  std::string mName;
  const proto::ReplicaState* mState = nullptr;
  std::vector<LostMember> mLost;
  bool mWhole = false;
  bool mMustStop = false;

  const proto::Assign& Assigned() const { return mState->assign(); }
};

/// A profile in this round.
struct ProfileView
{
  const proto::Profile* mProfile = nullptr;
  std::size_t mFloor = 0;   ///< replicas due by its share of the hosts that answer
  std::size_t mDue = 0;     ///< replicas due by its share of all listed hosts
  double mEntitled = 0;     ///< mFloor before rounding
  std::size_t mLive = 0;    ///< replicas not closing
  std::size_t mServing = 0; ///< whole and not closing
  bool mRolling = false;    ///< some replica serves another version than the wanted one
};

/// Classifies hosts by availability, replicas by lost members, and profiles by the replicas due to
/// them.
class Survey
{
protected:
  /// @param aSilentSince hosts that do not answer and since when; kept between rounds
  Survey(const PlanInput& aInput,
         const PlannerOptions& aOptions,
         std::map<std::string, TimePoint>& aSilentSince);

  bool VersionFailed(const proto::Profile& aProfile) const;

  /// The version to load on a replica now: the published one, or the last working one if the
  /// published one failed to load.
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
  /// Whether a host may be assigned to a replica: it must have answered in this tenure, since its
  /// answer shows the effect of earlier holders' orders.
  bool Free(const HostView& aHost) const;
  void SurveyHosts();
  void SurveyReplicas();
  void SurveyMember(const std::string& aHost, ReplicaView& aView);
  void SurveyProfiles();
};

} // namespace pepperbay
