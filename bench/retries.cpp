/// @file
/// @brief Ways to share the budget of second attempts of one service over a fleet, held against
/// each other: what failed requests get, and what a window sees.
///
/// The ways: each node has an equal part that is filled by its requests ("divided"); each node has
/// what its requests earn, and its part of the slack at times of its own ("own times"); what is
/// earned, and the slack from one keeper ("keeper"). For streams that break at half of the nodes at
/// once also a bucket at the desk of each of four data centres ("desks"), and what is earned
/// counted by desks in place of nodes, with the slack from the keeper ("both").

#include "pepperbay/admission/retry_budget.hpp"
#include "src/pepperbay/retries/retry_simulation.hpp"

#include <cstdio>
#include <map>

namespace pepperbay {
namespace {

struct Scenario
{
  const char* mName;
  double mPerSecondAndNode; ///< requests
  double mFails;            ///< share of requests, for the time of the fault
  bool mOneNode;            ///< has all callers
};

constexpr Scenario kScenarios[] = {
  { "a third fails", 2.25, 0.33, false },
  { "all fail", 2.25, 1.0, false },
  { "one request in 50 fails", 2.25, 0.02, false },
  { "quiet, a third fails", 0.05, 0.33, false },
  { "all callers at one node, all fail", 2.25, 1.0, true },
};

constexpr int kFleets[] = { 8, 75, 295, 1300 };
constexpr seconds kBefore{ 20 };
constexpr seconds kFault{ 10 };

struct Figures
{
  int mWanted = 0;
  int mGranted = 0;
  Duration mLongest{ 0 }; ///< until a question was answered
  double mExcess = 0;
  double mMessages = 0; ///< a second, of all nodes
};

using TakeFn = std::function<void(std::size_t aNode, RetryAgent::Done aDone)>;
using RequestFn = std::function<void(std::size_t aNode)>;

Figures
Play(RetrySimulation* aWorld,
     const Scenario& aScenario,
     const RequestFn& aOnRequest,
     const TakeFn& aTake)
{
  const RetryLimits limits{ 0.2, 134, seconds(10) };
  Figures figures;
  RetryAccount account(limits);
  const double nodes = aScenario.mOneNode ? 8.0 : static_cast<double>(aWorld->Size());
  std::poisson_distribution<int> arrivals(
    nodes * aScenario.mPerSecondAndNode *
    std::chrono::duration<double>(RetrySimulation::kStep).count());
  const TimePoint faultAt = aWorld->Now() + kBefore;
  std::uint64_t sent = 0;
  while (aWorld->Now() < faultAt + kFault) {
    aWorld->Step();
    const bool fault = aWorld->Now() >= faultAt;
    sent = fault ? sent : aWorld->Sent();
    for (int n = arrivals(aWorld->Random()); n > 0; --n) {
      const std::size_t node = aScenario.mOneNode ? 0 : aWorld->Random()() % aWorld->Size();
      account.OnRequest(aWorld->Now());
      aOnRequest(node);
      if (!fault || !std::bernoulli_distribution(aScenario.mFails)(aWorld->Random())) {
        continue;
      }
      ++figures.mWanted;
      aTake(node, [&, at = aWorld->Now()](bool aGranted) {
        figures.mLongest = std::max(figures.mLongest, aWorld->Now() - at);
        if (aGranted) {
          ++figures.mGranted;
          account.OnRetry(aWorld->Now());
        }
      });
    }
  }
  figures.mExcess = account.Excess();
  figures.mMessages =
    static_cast<double>(aWorld->Sent() - sent) / std::chrono::duration<double>(kFault).count();
  return figures;
}

RetrySimulationOptions
WorldOf(int aNodes)
{
  RetrySimulationOptions options;
  options.mNodes = aNodes;
  options.mMaxDelay = milliseconds(20);
  return options;
}

Figures
Divided(int aNodes, const Scenario& aScenario)
{
  RetrySimulation world(WorldOf(aNodes));
  std::map<std::size_t, RetryBudget> budgets;
  const auto of = [&](std::size_t aNode) -> RetryBudget& {
    return budgets.emplace(aNode, RetryBudget({ 0.2, 134.0 / aNodes })).first->second;
  };
  return Play(
    &world,
    aScenario,
    [&](std::size_t aNode) { of(aNode).OnRequest(); },
    [&](std::size_t aNode, const RetryAgent::Done& aDone) { aDone(of(aNode).TakeRetry()); });
}

Figures
OwnTimes(int aNodes, const Scenario& aScenario)
{
  RetrySimulation world(WorldOf(aNodes));
  const RetryLimits limits{ 0.2, 134, seconds(10) };
  RetryParts parts;
  parts.mNodesDepth = 0.45;
  parts.mNodesRate = 0.5;
  parts.mRareRate = 0.5;
  std::map<std::size_t, LocalRetries> owns;
  std::map<std::size_t, EarnedRetries> earneds;
  const auto earned = [&](std::size_t aNode) -> EarnedRetries& {
    return earneds.emplace(aNode, EarnedRetries({ 0.1, seconds(10) })).first->second;
  };
  for (std::size_t i = 0; i < world.Size(); ++i) {
    auto& own = owns.emplace(i, LocalRetries("n" + std::to_string(i), limits, parts)).first->second;
    own.MayTake("plain", aNodes, world.Now()); // begins to fill
  }
  return Play(
    &world,
    aScenario,
    [&](std::size_t aNode) { earned(aNode).OnRequest(world.Now()); },
    [&](std::size_t aNode, const RetryAgent::Done& aDone) {
      aDone(earned(aNode).Take(world.Now()) || owns.at(aNode).Take("plain", aNodes, world.Now()));
    });
}

void
AskIfItMay(RetrySimulation* aWorld, std::size_t aNode, RetryAgent::Done aDone)
{
  if (aWorld->Agent(aNode).MayTry("plain")) {
    aWorld->Ask(aNode, std::move(aDone));
  } else {
    aDone(false);
  }
}

Figures
Keeper(int aNodes, const Scenario& aScenario)
{
  RetrySimulation world(WorldOf(aNodes));
  return Play(
    &world,
    aScenario,
    [&](std::size_t aNode) { world.Agent(aNode).OnRequest("plain"); },
    [&](std::size_t aNode, RetryAgent::Done aDone) {
      AskIfItMay(&world, aNode, std::move(aDone));
    });
}

/// Streams in progress at half of the nodes break at once; each asks until it may go on, or its
/// caller has left.
struct Cut
{
  int mNodes;
  double mPerSecondAndNode; ///< requests
  double mSlack;
};

constexpr Cut kCuts[] = { { 8, 18.5, 134 },
                          { 60, 7.5, 274 },
                          { 295, 7.5, 669 },
                          { 1300, 7.5, 2900 } };
constexpr double kStreamSeconds = 1.3; ///< how long one lasts
constexpr milliseconds kAskAgain{ 200 };
constexpr seconds kPatience{ 2 };
constexpr milliseconds kSoon{ 100 };

struct CutFigures
{
  int mBroken = 0;
  int mSoon = 0;
  int mInTime = 0;
  double mExcess = 0;
};

CutFigures
PlayCut(RetrySimulation* aWorld, const Cut& aCut, const RequestFn& aOnRequest, const TakeFn& aTake)
{
  CutFigures figures;
  RetryAccount account({ 0.2, aCut.mSlack, seconds(10) });
  const double perStep = aCut.mNodes * aCut.mPerSecondAndNode *
                         std::chrono::duration<double>(RetrySimulation::kStep).count();
  std::poisson_distribution<int> arrivals(perStep);
  std::vector<std::size_t> broken;
  const TimePoint cutAt = aWorld->Now() + kBefore;
  for (TimePoint askAt = cutAt; aWorld->Now() < cutAt + kFault;) {
    aWorld->Step();
    const TimePoint now = aWorld->Now();
    for (int n = arrivals(aWorld->Random()); n > 0; --n) {
      account.OnRequest(now);
      aOnRequest(aWorld->Random()() % aWorld->Size());
    }
    if (now < askAt || now >= cutAt + kPatience) {
      continue;
    }
    if (figures.mBroken == 0) {
      std::poisson_distribution<int> streams(aCut.mPerSecondAndNode * kStreamSeconds);
      for (std::size_t node = 0; node < aWorld->Size() / 2; ++node) {
        broken.insert(broken.end(), static_cast<std::size_t>(streams(aWorld->Random())), node);
      }
      figures.mBroken = static_cast<int>(broken.size());
    }
    askAt = now + kAskAgain;
    for (const std::size_t node : std::exchange(broken, {})) {
      aTake(node, [&, node](bool aGranted) {
        if (!aGranted) {
          broken.push_back(node);
          return;
        }
        account.OnRetry(aWorld->Now());
        ++figures.mInTime;
        figures.mSoon += aWorld->Now() - cutAt <= kSoon ? 1 : 0;
      });
    }
  }
  figures.mExcess = account.Excess();
  return figures;
}

RetrySimulationOptions
WorldOf(const Cut& aCut)
{
  RetrySimulationOptions options = WorldOf(aCut.mNodes);
  options.mLimits.mSlack = aCut.mSlack;
  return options;
}

/// A bucket for the nodes of each of some groups.
CutFigures
CutBuckets(const Cut& aCut, std::size_t aGroups, double aPart)
{
  RetrySimulation world(WorldOf(aCut));
  std::vector<RetryBudget> budgets(
    aGroups, RetryBudget({ 0.2, aPart * aCut.mSlack / static_cast<double>(aGroups) }));
  return PlayCut(
    &world,
    aCut,
    [&](std::size_t aNode) { budgets[aNode % aGroups].OnRequest(); },
    [&](std::size_t aNode, const RetryAgent::Done& aDone) {
      aDone(budgets[aNode % aGroups].TakeRetry());
    });
}

CutFigures
CutKeeper(const Cut& aCut)
{
  RetrySimulation world(WorldOf(aCut));
  return PlayCut(
    &world,
    aCut,
    [&](std::size_t aNode) { world.Agent(aNode).OnRequest("plain"); },
    [&](std::size_t aNode, RetryAgent::Done aDone) {
      AskIfItMay(&world, aNode, std::move(aDone));
    });
}

/// What requests have earned at the desk of each group, and the slack from the keeper.
CutFigures
CutDesksAndKeeper(const Cut& aCut, std::size_t aGroups)
{
  RetrySimulation world(WorldOf(aCut));
  std::vector<EarnedRetries> desks(
    aGroups, EarnedRetries({ 0.2 * RetryParts().mEarned, RetryLimits().mWindow }));
  return PlayCut(
    &world,
    aCut,
    [&](std::size_t aNode) { desks[aNode % aGroups].OnRequest(world.Now()); },
    [&](std::size_t aNode, RetryAgent::Done aDone) {
      if (desks[aNode % aGroups].Take(world.Now())) {
        aDone(true);
      } else {
        AskIfItMay(&world, aNode, std::move(aDone));
      }
    });
}

void
Print(const char* aWay, const CutFigures& aFigures)
{
  std::printf("    %-10s of %5d streams %5d go on within 100 ms, %5d within 2 s  over the limit "
              "%6.1f\n",
              aWay,
              aFigures.mBroken,
              aFigures.mSoon,
              aFigures.mInTime,
              aFigures.mExcess);
}

void
Print(const char* aWay, const Figures& aFigures)
{
  const double share =
    aFigures.mWanted == 0 ? 0 : 100.0 * aFigures.mGranted / static_cast<double>(aFigures.mWanted);
  std::printf(
    "    %-10s granted %6d of %6d (%5.1f %%)  longest wait %3lld ms  over the limit %6.1f  "
    "%7.1f messages/s\n",
    aWay,
    aFigures.mGranted,
    aFigures.mWanted,
    share,
    static_cast<long long>(ToMs(aFigures.mLongest).count()),
    aFigures.mExcess,
    aFigures.mMessages);
}

} // namespace
} // namespace pepperbay

int
main()
{
  using namespace pepperbay;
  for (const int nodes : kFleets) {
    std::printf("%d nodes\n", nodes);
    for (const auto& it : kScenarios) {
      std::printf("  %s\n", it.mName);
      Print("divided", Divided(nodes, it));
      Print("own times", OwnTimes(nodes, it));
      Print("keeper", Keeper(nodes, it));
    }
  }
  constexpr std::size_t kDesks = 4;
  constexpr double kDesksPart = 0.6;
  for (const auto& it : kCuts) {
    std::printf("%d nodes, half of them cut at once\n", it.mNodes);
    Print("divided", CutBuckets(it, static_cast<std::size_t>(it.mNodes), 1));
    Print("desks", CutBuckets(it, kDesks, kDesksPart));
    Print("keeper", CutKeeper(it));
    Print("both", CutDesksAndKeeper(it, kDesks));
  }
  return 0;
}
