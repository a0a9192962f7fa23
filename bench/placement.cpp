/// @file
/// @brief Replays seeded schedules of host failures against the planner and its baselines.
///
/// The planner, the order plan and the fold are the product's own. The hosts are a table: each is
/// up, silent (paused, keeps its memory), or down (comes back empty). Time is a paused clock that
/// is moved step by step. Printed for each policy: group downtime (replica-hours below the
/// profile's share) and stranded accelerators (accelerator-hours of hosts that answer and serve in
/// no whole replica).

#include "pepperbay/placement/orders.hpp"
#include "pepperbay/placement/planner.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>
#include <future>
#include <random>

ABSL_FLAG(double, hours, 24, "hours replayed");
ABSL_FLAG(double, failures, 20, "times the target's failure rate (45 of 7,300 hosts a day)");
ABSL_FLAG(int, seeds, 3, "schedules for each size");
ABSL_FLAG(int, step_s, 2, "seconds of one step");
ABSL_FLAG(bool, large, true, "replay 730 hosts too");

namespace {

using pepperbay::Duration;
using pepperbay::EvidenceTable;
using pepperbay::ManualClock;
using pepperbay::OrderOptions;
using pepperbay::OrderPlan;
using pepperbay::PlanInput;
using pepperbay::Planner;
using pepperbay::PlannerOptions;
using pepperbay::RepairCase;
using pepperbay::RepairChoice;
using pepperbay::State;
using pepperbay::TimePoint;
namespace proto = pepperbay::proto;
using std::chrono::seconds;

struct Size
{
  const char* mName;
  int mDomains;
  int mHostsPerDomain;
  int mSmall; ///< hosts for a second profile of single hosts, in thousandths of the whole
};

struct Policy
{
  const char* mName;
  PlannerOptions mOptions;
};

struct Costs
{
  double mDowntime = 0; ///< replica-hours
  double mStranded = 0; ///< accelerator-hours
};

/// One thing that befalls a host.
struct Event
{
  double mAt; ///< seconds
  int mHost;
  bool mDown; ///< loses its memory
  double mFor;
};

std::vector<Event>
MakeSchedule(int aDomains, int aHosts, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const double horizon = absl::GetFlag(FLAGS_hours) * 3600;
  const double perSecond = absl::GetFlag(FLAGS_failures) * 45.0 / 7300.0 / 86400.0;
  const int all = aDomains * aHosts;
  std::vector<Event> events;
  const auto add = [&](double aRate, bool aDown, double aMeanFor) {
    std::exponential_distribution<double> gap(aRate * all);
    std::exponential_distribution<double> length(1.0 / aMeanFor);
    for (double at = gap(random); at < horizon; at += gap(random)) {
      events.push_back({ at,
                         static_cast<int>(random() % static_cast<std::uint64_t>(all)),
                         aDown,
                         length(random) });
    }
  };
  add(perSecond * 6, false, 2.0);                 // blips: pauses of a few seconds
  add(perSecond * 1700.0 / 45 / 10, true, 120.0); // restarts
  add(perSecond, true, 4 * 3600.0);               // failures
  // A whole domain goes dark now and then.
  std::exponential_distribution<double> dark(absl::GetFlag(FLAGS_failures) / (30 * 86400.0));
  for (double at = dark(random); at < horizon; at += dark(random)) {
    const int domain = static_cast<int>(random() % static_cast<std::uint64_t>(aDomains));
    for (int h = 0; h < aHosts; ++h) {
      events.push_back({ at, domain * aHosts + h, true, 3600 });
    }
  }
  std::sort(events.begin(), events.end(), [](const Event& aLeft, const Event& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return events;
}

struct HostRow
{
  pepperbay::HostView mView;
  proto::Evidence mSaid;
  double mSilentUntil = 0;
  bool mEmptyOnReturn = false;
  double mReadyAt = 0;
  std::string mLoaded;
};

class Replay
{
public:
  Replay(const Size& aSize, const PlannerOptions& aOptions)
    : mSize(aSize)
    , mPlanner(aOptions)
    , mOrders(MakeOrderOptions(aSize))
  {
    for (int d = 0; d < aSize.mDomains; ++d) {
      for (int h = 0; h < aSize.mHostsPerDomain; ++h) {
        HostRow row;
        row.mView.mDomain = "d" + std::to_string(d);
        row.mView.mHost = row.mView.mDomain + "h" + std::to_string(h);
        row.mView.mAddress = row.mView.mHost;
        row.mView.mAccelerators = 4;
        row.mSaid.set_host(row.mView.mHost);
        row.mSaid.set_host_incarnation(1);
        row.mSaid.set_phase(proto::PHASE_IDLE);
        mByName[row.mView.mHost] = static_cast<int>(mRows.size());
        mRows.push_back(std::move(row));
      }
    }
    proto::Record claim = New();
    claim.mutable_claim()->set_scope("dc");
    claim.mutable_claim()->set_holder("n");
    claim.mutable_claim()->set_incarnation(1);
    Fold(claim);
    Publish("big", 4, 1000 - aSize.mSmall - 50);
    Publish("small", 1, aSize.mSmall);
  }

  Costs Run(const std::vector<Event>& aEvents)
  {
    const double step = absl::GetFlag(FLAGS_step_s);
    const double horizon = absl::GetFlag(FLAGS_hours) * 3600;
    constexpr double kWarmUp = 600;
    Costs costs;
    std::size_t next = 0;
    for (double now = 0; now < horizon + kWarmUp; now += step) {
      for (; next < aEvents.size() && aEvents[next].mAt + kWarmUp <= now; ++next) {
        Befall(aEvents[next], now);
      }
      Step(now);
      if (now >= kWarmUp) {
        Count(step / 3600.0, &costs);
      }
      mClock.Advance(seconds(absl::GetFlag(FLAGS_step_s)));
    }
    return costs;
  }

private:
  static OrderOptions MakeOrderOptions(const Size& aSize)
  {
    OrderOptions options;
    options.mFreshness = seconds(5);
    options.mLoadsAtOnce = std::max(8, aSize.mDomains * aSize.mHostsPerDomain / 20);
    return options;
  }

  proto::Record New() { return pepperbay::MakeRecord("n", 1, ++mSequence); }
  void Fold(const proto::Record& aRecord)
  {
    mState.Apply(mState.Next(), aRecord.SerializeAsString());
  }

  void Publish(const std::string& aName, int aHosts, int aShare)
  {
    proto::Record record = New();
    proto::Publish& publish = *record.mutable_publish();
    publish.set_key("profiles/" + aName);
    proto::Profile& profile = *publish.mutable_document()->mutable_profile();
    profile.set_name(aName);
    profile.set_model(aName);
    profile.set_model_version("1");
    profile.set_hosts_per_replica(static_cast<std::uint32_t>(aHosts));
    profile.set_share_permille(static_cast<std::uint32_t>(aShare));
    profile.set_priority(aHosts == 1 ? 1 : 5);
    Fold(record);
  }

  void Befall(const Event& aEvent, double aNow)
  {
    HostRow& row = mRows[static_cast<std::size_t>(aEvent.mHost)];
    row.mSilentUntil = std::max(row.mSilentUntil, aNow + aEvent.mFor);
    row.mEmptyOnReturn = row.mEmptyOnReturn || aEvent.mDown;
  }

  void Step(double aNow)
  {
    PlanInput input;
    for (auto& row : mRows) {
      if (row.mSilentUntil <= aNow) {
        if (row.mEmptyOnReturn) {
          row.mEmptyOnReturn = false;
          row.mLoaded.clear();
          row.mSaid.set_host_incarnation(row.mSaid.host_incarnation() + 1);
          row.mSaid.clear_replica();
          row.mSaid.set_phase(proto::PHASE_IDLE);
        }
        if (row.mSaid.phase() == proto::PHASE_LOADING && row.mReadyAt <= aNow) {
          row.mSaid.set_phase(proto::PHASE_READY);
        }
        mEvidence.Merge(row.mSaid, mClock.Now());
      }
      input.mHosts.push_back(row.mView);
    }
    input.mState = &mState;
    input.mEvidence = &mEvidence;
    input.mScope = "dc";
    input.mFence = mState.Content().leases().at("dc").fence();
    input.mNow = mClock.Now();
    input.mDrained = [](const auto&, auto) { return true; };
    for (const auto& it : mPlanner.Plan(input).mRecords) {
      proto::Record record = it;
      *record.mutable_id() = New().id();
      record.set_format(pepperbay::kFormat);
      Fold(record);
    }
    for (const auto& order : mOrders.Due(input)) {
      Obey(mRows[static_cast<std::size_t>(mByName.at(order.mHost))], order, aNow);
    }
  }

  static void Obey(HostRow& aRow, const pepperbay::HostOrder& aOrder, double aNow)
  {
    if (aRow.mSilentUntil > aNow) {
      return;
    }
    if (aOrder.mKind == pepperbay::OrderKind::kUnload) {
      aRow.mSaid.clear_replica();
      aRow.mSaid.set_phase(proto::PHASE_IDLE);
      return;
    }
    constexpr double kLoad = 60;
    constexpr double kRegroup = 4; // weights are in memory; only the group forms anew
    aRow.mReadyAt = aNow + (aRow.mLoaded == aOrder.mModel ? kRegroup : kLoad);
    aRow.mLoaded = aOrder.mModel;
    aRow.mSaid.set_replica(aOrder.mReplica);
    aRow.mSaid.set_generation(aOrder.mGeneration);
    aRow.mSaid.set_model_version(aOrder.mModelVersion);
    aRow.mSaid.set_phase(proto::PHASE_LOADING);
  }

  void Count(double aHours, Costs* aCosts)
  {
    std::map<std::string, int> whole;
    int serving = 0;
    for (const auto& [name, replica] : mState.Content().replicas()) {
      pepperbay::Expected expected{ name, replica.assign().generation(), "1", {} };
      for (const auto& it : replica.assign().members()) {
        expected.mHosts.push_back(it.host());
      }
      const auto report =
        mEvidence.Judge(expected, seconds(absl::GetFlag(FLAGS_step_s)), mClock.Now());
      if (report.mWholeness == pepperbay::Wholeness::kWhole) {
        ++whole[replica.assign().profile()];
        serving += replica.assign().members_size();
      }
    }
    int up = 0;
    for (const auto& [host, word] : mEvidence.Words()) {
      up += word.mSaidNoEarlier == mClock.Now() ? 1 : 0;
    }
    // Against what the profiles are entitled to of all hosts, so that each policy is held to the
    // same figure.
    const double all = mSize.mDomains * mSize.mHostsPerDomain;
    const double bigFloor = std::floor(all * (1000 - mSize.mSmall - 50) / 1000.0 / 4);
    const double smallFloor = std::max(1.0, std::floor(all * mSize.mSmall / 1000.0));
    aCosts->mDowntime += aHours * (std::max(0.0, bigFloor - whole["big"]) +
                                   std::max(0.0, smallFloor - whole["small"]));
    aCosts->mStranded += aHours * 4 * (up - serving);
  }

  Size mSize;
  ManualClock mClock;
  State mState;
  EvidenceTable mEvidence;
  Planner mPlanner;
  OrderPlan mOrders;
  std::vector<HostRow> mRows;
  std::map<std::string, int> mByName;
  std::uint64_t mSequence = 0;
};

/// Repair as soon as a host is silent, from a spare if there is one, else leave it.
RepairChoice
RepairAtOnce(const RepairCase& aCase, const PlannerOptions& /*aOptions*/)
{
  return aCase.mSparesInDomain >= aCase.mLost ? RepairChoice::kUseSpares : RepairChoice::kWait;
}

/// Wait for ever for a host that is silent; replace one whose process is gone.
RepairChoice
WaitForReturn(const RepairCase& aCase, const PlannerOptions& /*aOptions*/)
{
  const bool replace = aCase.mProcessGone && aCase.mSparesInDomain >= aCase.mLost;
  return replace ? RepairChoice::kUseSpares : RepairChoice::kWait;
}

PlannerOptions
Base(double aDowntime, double aStranded)
{
  PlannerOptions options;
  options.mDowntimeWeight = aDowntime;
  options.mStrandedWeight = aStranded;
  options.mFreshness = seconds(5);
  options.mHostFailuresPerHour *= absl::GetFlag(FLAGS_failures);
  return options;
}

Costs
SumOfSeeds(const Size& aSize, const Policy& aPolicy)
{
  Costs sum;
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    const auto events =
      MakeSchedule(aSize.mDomains, aSize.mHostsPerDomain, static_cast<std::uint64_t>(seed));
    const Costs costs = Replay(aSize, aPolicy.mOptions).Run(events);
    sum.mDowntime += costs.mDowntime;
    sum.mStranded += costs.mStranded;
  }
  return sum;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  std::vector<Size> sizes = {
    { "association 68", 4, 17, 44 },
    { "arrieta 68", 2, 34, 44 },
  };
  if (absl::GetFlag(FLAGS_large)) {
    sizes.push_back({ "target 730", 23, 32, 44 });
  }
  std::vector<Policy> policies;
  policies.push_back({ "first fit, wait", Base(2, 1) });
  policies.back().mOptions.mFirstFit = true;
  policies.back().mOptions.mRepair = WaitForReturn;
  policies.push_back({ "repair at once", Base(2, 1) });
  policies.back().mOptions.mFirstFit = true;
  policies.back().mOptions.mRepair = RepairAtOnce;
  policies.push_back({ "at once, keeps spares", Base(200, 1) });
  policies.back().mOptions.mFirstFit = true;
  policies.back().mOptions.mRepair = RepairAtOnce;
  policies.push_back({ "weighed, stranded first", Base(2, 1) });
  policies.push_back({ "weighed, downtime first", Base(200, 1) });
  std::printf("%-16s %-26s %16s %20s\n", "size", "policy", "downtime rep-h", "stranded acc-h");
  for (const auto& size : sizes) {
    std::vector<std::future<Costs>> runs;
    runs.reserve(policies.size());
    for (const auto& policy : policies) {
      runs.push_back(
        std::async(std::launch::async, [&size, &policy] { return SumOfSeeds(size, policy); }));
    }
    for (std::size_t i = 0; i < policies.size(); ++i) {
      const Costs sum = runs[i].get();
      std::printf(
        "%-16s %-26s %16.2f %20.1f\n", size.mName, policies[i].mName, sum.mDowntime, sum.mStranded);
      std::fflush(stdout);
    }
  }
  return 0;
}
