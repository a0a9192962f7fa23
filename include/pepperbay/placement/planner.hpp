/// @file
/// @brief Hosts to whole replicas: growth, repair, planned stops and changes of version.
///
/// Run by the holder of a data centre's control lease only. It decides; the fold judges the records
/// and orders.hpp turns folded assignments into orders to hosts.
#pragma once

#include "pepperbay/membership/evidence.hpp"
#include "pepperbay/state/fold.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

/// A backend server host as the platform lists it.
struct HostView
{
  std::string mHost;
  std::string mDomain;
  std::string mAddress;
  bool mChecksFence = true;
  std::uint32_t mAccelerators = 1;
  bool mLeaving = false; ///< announced by the platform or by an operator
};

/// What may be done about a replica with lost members.
enum class RepairChoice
{
  kWait,
  kUseSpares,
  kTakeFromAnother,
  kGiveUp,
};

struct RepairCase;
struct PlannerOptions;

/// How to judge one broken replica; see ChooseRepair().
using RepairPolicy = std::function<RepairChoice(const RepairCase&, const PlannerOptions&)>;

struct PlannerOptions
{
  RepairPolicy mRepair;   ///< ChooseRepair() when empty
  bool mFirstFit = false; ///< take the first domain with room, for comparison

  double mDowntimeWeight = 2.0; ///< cost of a replica-second of downtime
  double mStrandedWeight = 1.0; ///< cost of an accelerator-second stranded
  Duration mBlip = std::chrono::seconds(5);
  Duration mLoadTime = std::chrono::seconds(60);
  Duration mFreshness = std::chrono::seconds(2);
  bool mReserve = true;                  ///< keep reservations of spares in the log
  double mBlipShare = 0.8;               ///< silences that end within mBlip, as a share
  double mHostFailuresPerHour = 0.00026; ///< 45 a day among 7,300
  double mHostRepairHours = 4.0;         ///< until a failed host is back
};

/// All that one round of planning looks at.
struct PlanInput
{
  const State* mState = nullptr;
  const EvidenceTable* mEvidence = nullptr;
  std::vector<HostView> mHosts; ///< of this data centre
  std::string mScope;           ///< the data centre
  std::uint64_t mFence = 0;
  TimePoint mHeldSince{}; ///< evidence from before this tenure is not acted on
  TimePoint mNow{};
  /// Every node has confirmed that nothing is in progress on this generation.
  std::function<bool(const std::string& aReplica, std::uint64_t aGeneration)> mDrained;
};

/// What a round decided, and why what is broken stays so.
struct PlanOutcome
{
  std::vector<proto::Record> mRecords;         ///< bodies; ids are the appender's
  std::map<std::string, std::string> mWaiting; ///< replica or profile to reason
  int mSpares = 0;                             ///< usable hosts in no replica
};

/// The state of a replica that matters to its repair.
struct RepairCase
{
  Duration mSilentFor{ 0 };
  bool mProcessGone = false; ///< nothing listens: it comes back empty and must load anyway
  std::size_t mLost = 1;
  std::size_t mSize = 4;
  std::uint32_t mAccelerators = 4; ///< of one host
  std::size_t mSparesInDomain = 0;
  bool mDonorInDomain = false; ///< another broken replica, of no greater worth
  bool mRoomElsewhere = false; ///< another domain could hold a whole new replica
};

/// The cheapest choice by expected group downtime and stranded accelerators.
///
/// Waiting costs the rest of the blip and, when the host does not return, the load after it. A
/// repair costs one load. Both cost the replica's downtime and strand the members that are left.
RepairChoice
ChooseRepair(const RepairCase& aCase, const PlannerOptions& aOptions);

/// @return how many free hosts of a domain are worth keeping idle for repairs.
std::size_t
SparesWorthKeeping(std::size_t aHostsInUse,
                   std::size_t aReplicaSize,
                   std::uint32_t aAccelerators,
                   const PlannerOptions& aOptions);

/// Remembers how long hosts have been silent; everything else is in the input.
class Planner
{
public:
  explicit Planner(const PlannerOptions& aOptions);

  /// Decide one round. Call again once the records of the last round are folded or refused.
  PlanOutcome Plan(const PlanInput& aInput);

  /// While the log is out: reservations that should be carried out now; see reserves.hpp.
  std::vector<proto::Assign> PlanOutage(const PlanInput& aInput);

private:
  PlannerOptions mOptions;
  std::map<std::string, TimePoint> mSilentSince;
};

} // namespace pepperbay
