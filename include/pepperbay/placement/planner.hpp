/// @file
/// @brief Assigns hosts to whole replicas: growth, repair, planned stops and version changes.
///
/// Run only by the holder of a data centre's control lease. The planner proposes records, the fold
/// (the state built from the log) accepts or rejects them, and orders.hpp derives orders to hosts
/// from folded assignments. A replica is whole if all its members serve together.
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

/// The choices for a replica with lost members.
enum class RepairChoice
{
  kWait,
  kUseSpares,
  kTakeFromAnother,
  kGiveUp,
};

struct RepairCase;
struct PlannerOptions;

/// Chooses the repair of one broken replica; see ChooseRepair().
using RepairPolicy = std::function<RepairChoice(const RepairCase&, const PlannerOptions&)>;

struct PlannerOptions
{
  RepairPolicy mRepair;   ///< ChooseRepair() when empty
  bool mFirstFit = false; ///< choose the first domain with room; for comparison in benchmarks

  double mDowntimeWeight = 2.0; ///< cost of a replica-second of downtime
  double mStrandedWeight = 1.0; ///< cost of one unusable accelerator-second
  Duration mBlip = std::chrono::seconds(5);
  Duration mLoadTime = std::chrono::seconds(60);
  Duration mFreshness = std::chrono::seconds(2);
  bool mReserve = true;                  ///< write reservations of spares to the log
  double mBlipShare = 0.8;               ///< fraction of silences that end within mBlip
  double mHostFailuresPerHour = 0.00026; ///< 45 per day among 7,300 hosts
  double mHostRepairHours = 4.0;         ///< until a failed host is available again
};

/// The input of one planning round.
struct PlanInput
{
  const State* mState = nullptr;
  const EvidenceTable* mEvidence = nullptr;
  std::vector<HostView> mHosts; ///< of this data centre
  std::string mScope;           ///< the data centre
  std::uint64_t mFence = 0;
  TimePoint mHeldSince{}; ///< start of this tenure; older evidence is ignored
  TimePoint mNow{};
  /// Returns whether every node has confirmed that no request is in progress on this generation.
  std::function<bool(const std::string& aReplica, std::uint64_t aGeneration)> mDrained;
};

/// The result of one planning round, with the reasons why broken replicas stay broken.
struct PlanOutcome
{
  std::vector<proto::Record> mRecords;         ///< record bodies; the appender assigns the ids
  std::map<std::string, std::string> mWaiting; ///< replica or profile to reason
  int mSpares = 0;                             ///< usable hosts in no replica
};

/// The state of a broken replica that determines its repair.
struct RepairCase
{
  Duration mSilentFor{ 0 };
  bool mProcessGone = false; ///< nothing listens: it restarts empty and must load the weights
  std::size_t mLost = 1;
  std::size_t mSize = 4;
  std::uint32_t mAccelerators = 4; ///< per host
  std::size_t mSparesInDomain = 0;
  bool mDonorInDomain = false; ///< another broken replica of the same or lower value
  bool mRoomElsewhere = false; ///< another domain has room for a whole new replica
};

/// Returns the cheapest choice by expected replica downtime and unusable accelerators.
///
/// Waiting costs the rest of the blip and, if the host does not return, the weight load after it. A
/// repair costs one load. Both cost the replica's downtime and leave the remaining members unusable
/// meanwhile.
RepairChoice
ChooseRepair(const RepairCase& aCase, const PlannerOptions& aOptions);

/// @return the number of free hosts of a domain to keep idle for repairs.
std::size_t
SparesWorthKeeping(std::size_t aHostsInUse,
                   std::size_t aReplicaSize,
                   std::uint32_t aAccelerators,
                   const PlannerOptions& aOptions);

/// Plans replicas round by round. Its only state is since when each host has been silent.
class Planner
{
public:
  explicit Planner(const PlannerOptions& aOptions);

  /// Plans one round. Call again once the records of the last round are folded or refused.
  PlanOutcome Plan(const PlanInput& aInput);

  /// While the log is unavailable: the reservations that should be carried out now; see
  /// reserves.hpp.
  std::vector<proto::Assign> PlanOutage(const PlanInput& aInput);

private:
  PlannerOptions mOptions;
  std::map<std::string, TimePoint> mSilentSince;
};

} // namespace pepperbay
