/// @file
/// @brief Policies of spares and of choosing replicas side by side, in virtual time.
///
/// The planner, the balancer, the rule after a failure and the retry budget are the product's own;
/// engines and callers are models. `--csv` gives a table for plotting.

#include "stream_load.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cmath>
#include <cstdio>

ABSL_FLAG(int,
          domains,
          6,
          "fabric domains of 11 engines each: 6 of them are 66 engines, 664 the aim");
ABSL_FLAG(int, seconds, 60, "of requests for each line");
ABSL_FLAG(int, seeds, 3, "schedules of losses and requests; the figures are over all of them");
ABSL_FLAG(double, rate, pepperbay::pools::LoadOptions().mRate, "requests a second and engine");
ABSL_FLAG(int, loss_every_ms, 3000, "for 66 engines; a larger pool loses as many an engine");
ABSL_FLAG(std::string, policy, "", "only policies whose name has this in it");
ABSL_FLAG(bool, csv, false, "comma-separated values");

namespace {

using namespace pepperbay;        // NOLINT: a small program
using namespace pepperbay::pools; // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replicas form and spares load in this time before the first request.
constexpr seconds kLead{ 40 };

struct Policy
{
  const char* mName;
  SparePolicy mSpares;
  Choice mChoice;
};

struct Figures
{
  LoadResult mLoad;
  std::vector<double> mToWhole; ///< seconds, one an outage
  double mStranded = 0;
  std::size_t mLosses = 0;
  std::size_t mLoads = 0;
  double mRoundMs = 0; ///< of the planner, mean of the last schedule
};

void
Play(const Policy& aPolicy, std::uint32_t aSeed, Figures& aFigures)
{
  constexpr double kDomainsOfSite = 6;
  WorldOptions options;
  options.mDomains = static_cast<std::size_t>(absl::GetFlag(FLAGS_domains));
  options.mSpares = aPolicy.mSpares;
  options.mSeed = aSeed;
  options.mLossEvery =
    std::chrono::duration_cast<Duration>(milliseconds(absl::GetFlag(FLAGS_loss_every_ms)) *
                                         kDomainsOfSite / absl::GetFlag(FLAGS_domains));
  PoolWorld world(options);
  for (const TimePoint begun = world.Now(); world.Now() - begun < kLead;) {
    world.Step();
  }
  const std::size_t before = world.Loads();
  world.BeginTraffic();
  LoadOptions load;
  load.mRate = absl::GetFlag(FLAGS_rate);
  load.mChoice = aPolicy.mChoice;
  load.mSeed = aSeed;
  StreamLoad streams(load, &world);
  const TimePoint end = world.Now() + seconds(absl::GetFlag(FLAGS_seconds));
  while (world.Now() < end) {
    streams.Step();
    world.Step();
  }
  const LoadResult result = streams.Result();
  aFigures.mLoad.mAsked += result.mAsked;
  aFigures.mLoad.mOnTime += result.mOnTime;
  aFigures.mLoad.mLate += result.mLate;
  aFigures.mLoad.mRefused += result.mRefused;
  aFigures.mLoad.mCut += result.mCut;
  aFigures.mLoad.mResumed += result.mResumed;
  aFigures.mLoad.mWorstSecond = std::min(aFigures.mLoad.mWorstSecond, result.mWorstSecond);
  for (const auto& outages : { world.Outages(), world.OpenOutages() }) {
    for (const auto& it : outages) {
      aFigures.mToWhole.push_back(std::chrono::duration<double>(it.mLasted).count());
    }
  }
  aFigures.mStranded += world.StrandedEngineSeconds();
  aFigures.mLosses += world.Losses();
  aFigures.mLoads += world.Loads() - before;
  aFigures.mRoundMs = std::chrono::duration<double, std::milli>(world.RoundTime()).count();
}

void
Print(const Policy& aPolicy, Figures& aFigures)
{
  std::sort(aFigures.mToWhole.begin(), aFigures.mToWhole.end());
  const std::size_t n = aFigures.mToWhole.size();
  const double median = n == 0 ? 0 : aFigures.mToWhole[n / 2];
  const double worst = n == 0 ? 0 : aFigures.mToWhole.back();
  const auto& load = aFigures.mLoad;
  const auto ended = static_cast<double>(load.mOnTime + load.mLate + load.mRefused + load.mCut);
  const double unserved = static_cast<double>(load.mRefused + load.mCut) / ended;
  const double nines = -std::log10(std::max(unserved, 1e-6));
  const char* line =
    absl::GetFlag(FLAGS_csv)
      ? "%s,%zu,%.2f,%.2f,%.0f,%zu,%zu,%.4f,%.4f,%.4f,%.2f,%.3f,%.2f\n"
      : "%-34s %6zu %7.2f %7.2f %9.0f %6zu %8zu %8.4f %8.4f %8.4f %6.2f %7.3f %8.2f\n";
  std::printf(line,
              aPolicy.mName,
              aFigures.mLosses,
              median,
              worst,
              aFigures.mStranded,
              aFigures.mLoads,
              load.mAsked,
              static_cast<double>(load.mOnTime) / ended,
              static_cast<double>(load.mRefused) / ended,
              static_cast<double>(load.mCut) / ended,
              nines,
              load.mWorstSecond,
              aFigures.mRoundMs);
}

} // namespace

int
main(int aCount, char** aWords)
{
  absl::ParseCommandLine(aCount, aWords);
  const std::vector<Policy> policies = {
    { "idle spares", SparePolicy::kIdle, Choice::kBalancer },
    { "staged spares", SparePolicy::kStaged, Choice::kBalancer },
    { "standby of one model", SparePolicy::kStandby, Choice::kBalancer },
    { "standby, other weights staged", SparePolicy::kStandbyForAll, Choice::kBalancer },
    { "the same, least in progress", SparePolicy::kStandbyForAll, Choice::kLeast },
    { "the same, round robin", SparePolicy::kStandbyForAll, Choice::kRoundRobin },
  };
  const char* head = absl::GetFlag(FLAGS_csv)
                       ? "%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s\n"
                       : "%-34s %6s %7s %7s %9s %6s %8s %8s %8s %8s %6s %7s %8s\n";
  std::printf(head,
              "policy",
              "losses",
              "median",
              "worst",
              "stranded",
              "loads",
              "asked",
              "on time",
              "refused",
              "cut",
              "nines",
              "worst s",
              "round ms");
  for (const auto& policy : policies) {
    if (std::string(policy.mName).find(absl::GetFlag(FLAGS_policy)) == std::string::npos) {
      continue;
    }
    Figures figures;
    for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
      Play(policy, static_cast<std::uint32_t>(seed), figures);
    }
    Print(policy, figures);
  }
}
