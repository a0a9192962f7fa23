/// @file
/// @brief Ways for a node that reaches no engine to serve its callers: what each adds to a request,
/// what is lost when the peer that helps ends, and how far the load spreads. Virtual time, no
/// network.
///
/// @code
/// pepperbay_bench_ways --cut 0.375 --rate 21
/// @endcode

#include "pepperbay/reach/proxy_choice.hpp"
#include "pepperbay/reach/way_book.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

ABSL_FLAG(double, cut, 0.375, "share of the nodes that reach no engine");
ABSL_FLAG(double, rate, 21, "requests a second of a node");
ABSL_FLAG(int, seconds, 60, "of virtual time; the cut lasts for all of it");
ABSL_FLAG(int, seeds, 5, "runs whose results are averaged");
ABSL_FLAG(double, change_every, 5, "seconds between two versions of the configuration");

namespace pepperbay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 14;
constexpr microseconds kRoundTrip{ 1800 };   ///< between nodes, and from a node to an engine
constexpr microseconds kPlace{ 1800 };       ///< a question for a place
constexpr milliseconds kConnect{ 120 };      ///< after which a connection is given up
constexpr int kConnects = 3;                 ///< that a request is given
constexpr milliseconds kPeerAfter{ 20 };     ///< a second way is tried beside the first
constexpr milliseconds kRun{ 20 };           ///< of an engine, for an alert
constexpr milliseconds kObjective{ 100 };    ///< of an alert
constexpr milliseconds kOtherIsBehind{ 40 }; ///< a node has a version later than another, at most
constexpr seconds kPeerEndsEvery{ 5 };       ///< one of the peers that help ends, and is replaced

enum class Design
{
  kNone,        ///< connections of its own only
  kTunnel,      ///< a connection to the engine through a peer
  kHandOver,    ///< the request goes to a peer, which handles it as a caller's
  kTunnelBlind, ///< a tunnel, beside the node's own connection each time: nothing is remembered
};

const char*
NameOf(Design aDesign)
{
  switch (aDesign) {
    case Design::kNone:
      return "own connections only";
    case Design::kTunnel:
      return "tunnel through a peer";
    case Design::kHandOver:
      return "request handed over";
    case Design::kTunnelBlind:
      return "tunnel, nothing remembered";
  }
  return "unknown";
}

struct Outcome
{
  double mServed = 0;       ///< share of the requests at cut nodes
  double mInTime = 0;       ///< share of them, within the objective
  double mMedianMs = 0;     ///< added to what a request takes at other nodes
  double mMostMs = 0;       ///< the same, of the slowest in a hundred
  double mUnknown = 0;      ///< in 10,000: may have run, since the peer ended
  double mNeedlessly = 0;   ///< in 10,000: unknown, though no engine had them yet
  double mOtherVersion = 0; ///< in 10,000: decided by a version other than the node's
  double mBusiest = 0;      ///< connections of the peer that helps most, over the mean
};

/// One request's time with a design, beyond what it takes at a node that reaches engines.
struct Added
{
  Duration mTime{ 0 };
  Duration mAtPeer{ 0 };   ///< a peer has it, and no engine
  Duration mAtEngine{ 0 }; ///< an engine has it, by way of the peer
  bool mServed = true;
};

class Run
{
public:
  Run(Design aDesign, int aNodes, unsigned aSeed)
    : mDesign(aDesign)
    , mNodes(aNodes)
    , mCut(std::clamp(static_cast<int>(aNodes * absl::GetFlag(FLAGS_cut)), 1, aNodes - 1))
    , mRandom(aSeed)
  {
  }

  Outcome Go()
  {
    const double rate = absl::GetFlag(FLAGS_rate);
    ProxyPeers others;
    for (int i = mCut; i < mNodes; ++i) {
      others.push_back({ "n" + std::to_string(i), "", "", "c" + std::to_string(i % 3) });
    }
    std::map<std::string, double> load;
    for (int i = 0; i < mCut; ++i) {
      const std::string name = "n" + std::to_string(i);
      const std::string centre = "c" + std::to_string(i % 3);
      WayBook ways;
      ProxyChoiceOptions options;
      options.mDataCentre = centre;
      options.mSeed = static_cast<std::uint64_t>(i);
      ProxyChoice peers(options);
      peers.SetPeers(std::make_shared<const ProxyPeers>(ChooseProxyPeers(name, centre, others, 8)));
      std::vector<std::pair<TimePoint, std::shared_ptr<void>>> open;
      TimePoint now = ManualClock().Now();
      const TimePoint end = now + seconds(absl::GetFlag(FLAGS_seconds));
      while (now < end) {
        std::exponential_distribution<double> gap(rate);
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(mRandom)));
        const std::string engine = "e" + std::to_string(mRandom() % kEngines);
        open.erase(std::remove_if(
                     open.begin(), open.end(), [now](const auto& aIt) { return aIt.first <= now; }),
                   open.end());
        const Added added = Send(&ways, engine, now);
        Note(added);
        if (const ProxyPeer* peer = added.mServed ? peers.Pick("c0", {}, now) : nullptr) {
          load[peer->mNode] += 1;
          open.emplace_back(now + added.mTime + kRun, peers.CountTunnel(peer->mNode));
        }
      }
    }
    return Sum(load);
  }

private:
  Added Send(WayBook* aWays, const std::string& aEngine, TimePoint aNow)
  {
    Added added;
    if (mDesign == Design::kNone) {
      added.mTime = kConnect * kConnects;
      added.mServed = false;
      return added;
    }
    const bool known = mDesign != Design::kTunnelBlind && aWays->WayTo(aEngine, aNow) == Way::kPeer;
    if (!known) {
      added.mTime += kPeerAfter;
      aWays->OnPathFault(aEngine, aNow, aNow + kPeerAfter);
    }
    aWays->TakeProbe(aNow); // it does not stand
    aWays->OnBadProbe(aNow);
    // A connection to the peer, in place of the one to the engine.
    if (mDesign == Design::kHandOver) {
      added.mTime += kRoundTrip + kRoundTrip / 2;
      added.mAtPeer = kRoundTrip / 2 + kPlace + kRoundTrip;
    } else {
      added.mTime += kRoundTrip + kRoundTrip; // CONNECT, and the peer's connection to the engine
      added.mTime += kRoundTrip;              // the request's and the answer's longer way
    }
    added.mAtEngine = kRun + kRoundTrip;
    return added;
  }

  void Note(const Added& aAdded)
  {
    ++mAll;
    mTimes.push_back(aAdded.mTime);
    mServed += aAdded.mServed ? 1 : 0;
    mInTime += aAdded.mServed && aAdded.mTime + kRun + 3 * kRoundTrip <= kObjective ? 1 : 0;
    if (!aAdded.mServed) {
      return;
    }
    // The peer that has it ends at any moment with the same likelihood.
    const double ends =
      1.0 / std::chrono::duration<double>(kPeerEndsEvery).count() / std::max(1, mNodes - mCut);
    mUnknown += std::chrono::duration<double>(aAdded.mAtPeer + aAdded.mAtEngine).count() * ends;
    mNeedlessly += std::chrono::duration<double>(aAdded.mAtPeer).count() * ends;
    if (mDesign == Design::kHandOver) {
      std::uniform_real_distribution<double> behind(
        0, std::chrono::duration<double>(kOtherIsBehind).count());
      mOther += behind(mRandom) / absl::GetFlag(FLAGS_change_every);
    }
  }

  Outcome Sum(const std::map<std::string, double>& aLoad)
  {
    constexpr double kTenThousand = 10000;
    Outcome outcome;
    std::sort(mTimes.begin(), mTimes.end());
    const auto ms = [this](double aPart) {
      const auto at = static_cast<std::size_t>(aPart * static_cast<double>(mTimes.size() - 1));
      return std::chrono::duration<double, std::milli>(mTimes[at]).count();
    };
    outcome.mServed = mServed / mAll;
    outcome.mInTime = mInTime / mAll;
    outcome.mMedianMs = ms(0.5);
    outcome.mMostMs = ms(0.99);
    outcome.mUnknown = mUnknown / mAll * kTenThousand;
    outcome.mNeedlessly = mNeedlessly / mAll * kTenThousand;
    outcome.mOtherVersion = mOther / mAll * kTenThousand;
    double most = 0;
    double sum = 0;
    for (const auto& [peer, n] : aLoad) {
      most = std::max(most, n);
      sum += n;
    }
    outcome.mBusiest = sum > 0 ? most / (sum / (mNodes - mCut)) : 0;
    return outcome;
  }

  Design mDesign;
  int mNodes;
  int mCut;
  std::mt19937 mRandom;
  std::vector<Duration> mTimes;
  double mAll = 0;
  double mServed = 0;
  double mInTime = 0;
  double mUnknown = 0;
  double mNeedlessly = 0;
  double mOther = 0;
};

Outcome
Mean(Design aDesign, int aNodes)
{
  const int seeds = absl::GetFlag(FLAGS_seeds);
  Outcome mean;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Outcome outcome = Run(aDesign, aNodes, static_cast<unsigned>(seed)).Go();
    for (auto field : { &Outcome::mServed,
                        &Outcome::mInTime,
                        &Outcome::mMedianMs,
                        &Outcome::mMostMs,
                        &Outcome::mUnknown,
                        &Outcome::mNeedlessly,
                        &Outcome::mOtherVersion,
                        &Outcome::mBusiest }) {
      mean.*field += outcome.*field / seeds;
    }
  }
  return mean;
}

void
Print()
{
  std::printf("%-28s %5s %7s %7s %9s %9s %8s %10s %8s %8s\n",
              "way",
              "nodes",
              "served",
              "in time",
              "added ms",
              "most ms",
              "unknown",
              "needlessly",
              "version",
              "busiest");
  for (const int nodes : { 8, 75, 295 }) {
    for (const auto design :
         { Design::kNone, Design::kTunnelBlind, Design::kHandOver, Design::kTunnel }) {
      const Outcome it = Mean(design, nodes);
      std::printf("%-28s %5d %7.3f %7.3f %9.1f %9.1f %8.2f %10.2f %8.1f %8.2f\n",
                  NameOf(design),
                  nodes,
                  it.mServed,
                  it.mInTime,
                  it.mMedianMs,
                  it.mMostMs,
                  it.mUnknown,
                  it.mNeedlessly,
                  it.mOtherVersion,
                  it.mBusiest);
    }
  }
}

} // namespace
} // namespace pepperbay

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  pepperbay::Print();
  return 0;
}
