/// @file
/// @brief What nodes before one pool tell each other, by their number: messages, bytes, and how old
/// the word of a change is when it reaches them, also while delegates die. Virtual time.
///
/// @code
/// pepperbay_bench_fleet --nodes 295 --centres 5
/// @endcode

#include "pepperbay/coordinator/coordinator_world.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>

ABSL_FLAG(int, nodes, 65, "nodes, spread evenly over the data centres");
ABSL_FLAG(int, centres, 3, "data centres");
ABSL_FLAG(int, strong, 3, "nodes of a data centre with four times the processor of the others");
ABSL_FLAG(int, seconds, 10, "of virtual time that are counted");

namespace pepperbay {
namespace {

constexpr int kStrongPermille = 500;
constexpr int kWeakPermille = 120;
constexpr Duration kStep = milliseconds(20);

struct Traffic
{
  std::size_t mMessages = 0;
  std::size_t mBytes = 0;
};

class Fleet : public CoordinatorWorld
{
public:
  void Start(int aNodes, int aCentres, int aStrong)
  {
    AddPool();
    for (int i = 0; i < aNodes; ++i) {
      const int centre = i % aCentres;
      mCentres.push_back("c" + std::to_string(centre));
      const bool strong = i / aCentres < aStrong;
      const std::string name = mCentres.back() + "-" + std::to_string(i / aCentres);
      AddNode(name, strong ? kStrongPermille : kWeakPermille, mCentres.back().c_str());
    }
    mOnSend = [this](const std::string& aAddress, const proto::PeerMessage& aMessage) {
      const std::size_t bytes = aMessage.ByteSizeLong();
      ++mOut[aMessage.node()].mMessages;
      mOut[aMessage.node()].mBytes += bytes;
      ++mIn[aAddress].mMessages;
      mIn[aAddress].mBytes += bytes;
      mBetween += CentreOf(aAddress) == CentreOf(aMessage.node()) ? 0 : bytes;
    };
    Run(seconds(10));
  }

  static std::string CentreOf(const std::string& aNode) { return aNode.substr(0, aNode.find('-')); }

  void Count(int aSeconds)
  {
    mOut.clear();
    mIn.clear();
    mBetween = 0;
    Run(seconds(aSeconds));
    std::vector<double> messages;
    std::vector<double> bytes;
    for (const auto& it : mNodes) {
      const Traffic& out = mOut[it.mName];
      const Traffic& in = mIn[it.mName];
      messages.push_back(static_cast<double>(out.mMessages + in.mMessages) / aSeconds);
      bytes.push_back(static_cast<double>(out.mBytes + in.mBytes) / aSeconds / 1000);
    }
    std::sort(messages.begin(), messages.end());
    std::sort(bytes.begin(), bytes.end());
    std::printf("messages a node and second, in and out: median %.1f, most %.1f\n",
                messages[messages.size() / 2],
                messages.back());
    std::printf("kB a node and second, in and out:       median %.2f, most %.2f\n",
                bytes[bytes.size() / 2],
                bytes.back());
    std::printf("kB a second between data centres:       %.2f in all, %.3f a node\n",
                static_cast<double>(mBetween) / aSeconds / 1000,
                static_cast<double>(mBetween) / aSeconds / 1000 /
                  static_cast<double>(mNodes.size()));
  }

  /// How long a new configuration takes to be in force.
  void Spread(const char* aWhat)
  {
    Configure(std::to_string(++mVersion));
    std::vector<double> ages;
    std::set<std::string> have;
    const TimePoint began = mClock.Now();
    while (mClock.Now() - began < seconds(20)) {
      Run(kStep);
      for (const auto& it : mNodes) {
        if (it.mAlive && it.mPlan->mRoutes->Version() == mVersion && have.insert(it.mName).second) {
          ages.push_back(static_cast<double>(ToMs(mClock.Now() - began).count()));
        }
      }
    }
    const auto alive = static_cast<std::size_t>(std::count_if(
      mNodes.begin(), mNodes.end(), [](const TestNode& aNode) { return aNode.mAlive; }));
    std::sort(ages.begin(), ages.end());
    std::printf("%-46s %zu of %zu nodes, median %.0f ms, worst %.0f ms\n",
                aWhat,
                ages.size(),
                alive,
                ages.empty() ? 0 : ages[ages.size() / 2],
                ages.empty() ? 0 : ages.back());
  }

  /// Nodes that many others write to.
  std::vector<TestNode*> Delegates()
  {
    std::vector<TestNode*> delegates;
    for (auto& it : mNodes) {
      const std::string dump = it.mCoordinator->Dump();
      if (dump.find("\"followers\": 0") == std::string::npos) {
        delegates.push_back(&it);
      }
    }
    return delegates;
  }

private:
  std::vector<std::string> mCentres;
  std::map<std::string, Traffic> mOut;
  std::map<std::string, Traffic> mIn;
  std::size_t mBetween = 0;
  std::uint64_t mVersion = 1;
};

void
Main()
{
  const int nodes = absl::GetFlag(FLAGS_nodes);
  Fleet fleet;
  fleet.Start(nodes, absl::GetFlag(FLAGS_centres), absl::GetFlag(FLAGS_strong));
  std::printf("%d nodes in %d data centres\n", nodes, absl::GetFlag(FLAGS_centres));
  fleet.Count(absl::GetFlag(FLAGS_seconds));
  fleet.Spread("a change, all well");
  const auto delegates = fleet.Delegates();
  for (auto* it : delegates) {
    it->mAlive = false;
  }
  fleet.Spread("a change, all delegates killed at that moment");
  for (auto* it : delegates) {
    it->mAlive = true;
  }
  fleet.Run(seconds(3));
  std::set<std::string> cut;
  for (auto* it : fleet.Delegates()) {
    cut.insert(it->mName);
  }
  fleet.mLoses = [&cut](const std::string& aFrom, const std::string&) {
    return cut.count(aFrom) != 0;
  };
  fleet.Spread("a change, all delegates heard no more");
  fleet.mLoses = [](const std::string&, const std::string&) { return false; };
  fleet.Run(seconds(3));
  std::uint32_t state = 1;
  fleet.mLoses = [&state](const std::string&, const std::string&) {
    state = state * 1664525U + 1013904223U;
    return (state >> 16U) % 10 == 0;
  };
  fleet.Spread("a change, one message in ten lost");
}

} // namespace
} // namespace pepperbay

int
main(int aCount, char** aValues)
{
  absl::ParseCommandLine(aCount, aValues);
  pepperbay::Main();
  return 0;
}
