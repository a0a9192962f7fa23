/// Tests of the retry budget that all nodes share.
#include "retry_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace pepperbay {
namespace {

constexpr int kFleets[] = { 8, 75, 295, 1300 };

/// Requests of a service fail at a fixed rate; each failed one asks for a second attempt.
struct Load
{
  double mPerSecond = 0;
  double mFails = 0;        ///< share of requests
  std::size_t mCallers = 1; ///< the first nodes, which get all requests
};

/// Runs a simulation under load and keeps account of requests and second attempts.
class Trial
{
public:
  explicit Trial(RetrySimulationOptions aOptions)
    : mSimulation(aOptions)
    , mAccount(aOptions.mLimits)
  {
  }

  void Run(const Load& aLoad, Duration aFor)
  {
    for (const TimePoint end = mSimulation.Now() + aFor; mSimulation.Now() < end;) {
      mSimulation.Step();
      const double perStep =
        aLoad.mPerSecond * std::chrono::duration<double>(RetrySimulation::kStep).count();
      std::poisson_distribution<int> arrivals(perStep);
      for (int n = arrivals(mSimulation.Random()); n > 0; --n) {
        Request(aLoad);
      }
    }
  }

  RetrySimulation mSimulation;
  RetryAccount mAccount;
  int mWanted = 0;
  int mGranted = 0;

private:
  void Request(const Load& aLoad)
  {
    const std::size_t node = mSimulation.Random()() % std::min(aLoad.mCallers, mSimulation.Size());
    mAccount.OnRequest(mSimulation.Now());
    mSimulation.Agent(node).OnRequest("plain");
    if (!std::bernoulli_distribution(aLoad.mFails)(mSimulation.Random())) {
      return;
    }
    ++mWanted;
    if (mSimulation.Agent(node).MayTry("plain")) {
      mSimulation.Ask(node, [this](bool aGranted) {
        if (aGranted) {
          ++mGranted;
          mAccount.OnRetry(mSimulation.Now());
        }
      });
    }
  }
};

/// Guards against a fleet with more nodes than the budget has second attempts, in which no node
/// ever gets one.
TEST(RetryAgent, AnyNodeOfALargeFleetHasASecondAttemptSoon)
{
  for (const int nodes : kFleets) {
    RetrySimulationOptions options;
    options.mNodes = nodes;
    options.mMaxDelay = milliseconds(40);
    RetrySimulation simulation(options);
    simulation.Run(seconds(10));
    for (const std::size_t node :
         { std::size_t{ 0 }, simulation.Size() / 2, simulation.Size() - 1 }) {
      bool granted = false;
      ASSERT_TRUE(simulation.Agent(node).MayTry("plain")) << nodes;
      simulation.Ask(node, [&](bool aGranted) { granted = aGranted; });
      simulation.Run(milliseconds(140));
      EXPECT_TRUE(granted) << "node " << node << " of " << nodes;
    }
  }
}

/// Guards against a budget that goes unused when one node has all callers and all their requests
/// fail.
TEST(RetryAgent, OneNodesCallersMayUseMostOfTheBudget)
{
  for (const int nodes : kFleets) {
    RetrySimulationOptions options;
    options.mNodes = nodes;
    Trial trial(options);
    trial.Run({ 0, 0, 1 }, seconds(10));
    trial.Run({ 40, 1, 1 }, seconds(10));
    const double allowed = 0.2 * 40 * 10 + options.mLimits.mSlack;
    EXPECT_GE(trial.mGranted, 0.6 * allowed) << nodes;
    EXPECT_LE(trial.mAccount.Excess(), 0) << nodes;
  }
}

/// Guards against nodes that wait for a failed budget owner: their requests would be delayed, and
/// fail in the end.
TEST(RetryAgent, ASilentBudgetOwnerCostsOneTimeout)
{
  RetrySimulationOptions options;
  RetrySimulation simulation(options);
  simulation.Run(seconds(10));
  simulation.Freeze(simulation.BudgetOwner(), true);
  const std::size_t node = simulation.BudgetOwner() + 1;
  int answers = 0;
  simulation.Ask(node, [&](bool) { ++answers; });
  simulation.Run(milliseconds(140));
  EXPECT_EQ(answers, 1);
  simulation.Ask(node, [&](bool) { ++answers; });
  EXPECT_EQ(answers, 2) << "at once, without the budget owner";
}

/// Guards against a question being counted twice when its answer is lost and it is resent.
TEST(RetryAgent, AResentQuestionIsCountedOnce)
{
  RetrySimulationOptions options;
  options.mMaxDelay = milliseconds(40);
  options.mLimits.mSlack = 40; // the bucket of the budget owner holds 14
  RetrySimulation simulation(options);
  simulation.Run(seconds(20));
  int granted = 0;
  for (int i = 0; i < 12; ++i) {
    simulation.Ask(simulation.BudgetOwner() + 1,
                   [&](bool aGranted) { granted += aGranted ? 1 : 0; });
  }
  simulation.Run(milliseconds(200));
  EXPECT_EQ(granted, 12);
  EXPECT_LE(simulation.Agent(simulation.BudgetOwner()).Counters().mGrantedToOthers, 12U);
}

/// Guards against budget owners that fail one after the other and each spend the whole slack.
TEST(RetryAgent, ANewBudgetOwnerStartsEmpty)
{
  RetrySimulationOptions options;
  options.mLimits.mShare = 0;
  Trial trial(options);
  const std::size_t nodes = trial.mSimulation.Size();
  trial.Run({ 0, 0, nodes }, seconds(12));
  for (std::size_t i = 1; i <= 5; ++i) {
    const std::size_t owner = trial.mSimulation.BudgetOwner();
    trial.Run({ 400, 1, nodes }, seconds(1));
    trial.mSimulation.Restart(owner);
    trial.mSimulation.ChangeBudgetOwner(i);
  }
  EXPECT_LE(trial.mAccount.Excess(), 0);
  EXPECT_GT(trial.mGranted, options.mLimits.mSlack / 3);
}

/// Guards against each node using the share of all nodes where no budget owner answers.
TEST(RetryAgent, NodesWithoutABudgetOwnerStayWithinTheirShare)
{
  for (const int nodes : kFleets) {
    RetrySimulationOptions options;
    options.mNodes = nodes;
    options.mLimits.mShare = 0;
    Trial trial(options);
    trial.mSimulation.Freeze(trial.mSimulation.BudgetOwner(), true);
    trial.Run({ 400, 1, trial.mSimulation.Size() }, seconds(2));
    trial.Run({ 0, 0, 1 }, seconds(20)); // saved-up tokens come on top
    trial.Run({ 400, 1, trial.mSimulation.Size() }, seconds(12));
    EXPECT_LE(trial.mAccount.Excess(), 0) << nodes;
  }
}

/// Guards against local send times that coincide by chance where the slack is too small to allow
/// it.
TEST(RetryAgent, NodesHaveNoLocalShareWhereTheSlackIsSmall)
{
  LocalRetries own("n1", { 0.2, 3, seconds(10) }, {});
  for (TimePoint now{ std::chrono::hours(1) }; now < TimePoint{ std::chrono::hours(2) };
       now += milliseconds(100)) {
    ASSERT_FALSE(own.MayTake("plain", 8, now));
  }
}

/// Changed limits apply to the following requests.
TEST(RetryAgent, NewLimitsTakeForceWhileItRuns)
{
  ManualClock clock;
  RetryAgent agent({}, { clock.Hook(), nullptr });
  EXPECT_TRUE(agent.MayTry("plain"));
  agent.SetLimits({ 0, 0, seconds(10) });
  agent.OnRequest("plain");
  EXPECT_FALSE(agent.MayTry("plain"));
  bool granted = true;
  agent.Ask("plain", [&](bool aGranted) { granted = aGranted; });
  EXPECT_FALSE(granted);
}

/// One phase of a random scenario.
struct Phase
{
  Load mLoad;
  int mRestarts = 0; ///< nodes that restart, one after the other
  bool mOwnerRestarts = false;
  bool mOwnerFreezes = false;
  Duration mFor{ 0 };
};

Phase
ArbitraryPhase(int aNodes)
{
  Phase phase;
  phase.mLoad.mPerSecond = *rc::gen::element(0, 5, 20, 100, 400);
  phase.mLoad.mFails = *rc::gen::element(0.0, 0.1, 0.5, 1.0);
  phase.mLoad.mCallers = static_cast<std::size_t>(*rc::gen::element(1, 3, aNodes));
  phase.mRestarts = *rc::gen::element(0, 0, 1, 8, 60);
  phase.mOwnerRestarts = *rc::gen::element(false, false, true);
  phase.mOwnerFreezes = *rc::gen::element(false, false, true);
  phase.mFor = milliseconds(*rc::gen::inRange(100, 9000));
  return phase;
}

void
Play(const Phase& aPhase, Trial* aTrial)
{
  RetrySimulation& simulation = aTrial->mSimulation;
  const auto some = [&simulation] {
    return static_cast<std::size_t>(simulation.Random()()) % simulation.Size();
  };
  const std::size_t before = simulation.BudgetOwner();
  if (aPhase.mOwnerFreezes) {
    simulation.Freeze(before, true);
  }
  if (aPhase.mOwnerRestarts) {
    simulation.Restart(before);
  }
  if (aPhase.mOwnerRestarts || aPhase.mOwnerFreezes) {
    simulation.ChangeBudgetOwner(some());
  }
  const int parts = std::max(1, aPhase.mRestarts);
  for (int i = 0; i < parts; ++i) {
    if (aPhase.mRestarts > 0) {
      simulation.Restart(aPhase.mRestarts > 8 ? static_cast<std::size_t>(i) % simulation.Size()
                                              : some());
    }
    aTrial->Run(aPhase.mLoad, aPhase.mFor / parts);
  }
  simulation.Freeze(before, false);
}

/// Guards against more second attempts than the service allows for all nodes together: with any
/// distribution of callers, with budget owners that restart or freeze, nodes that restart, and
/// messages that are lost or late.
RC_GTEST_PROP(RetryAgentProperty, TheSumHoldsInEachWindow, ())
{
  RetrySimulationOptions options;
  options.mNodes = *rc::gen::weightedElement<int>({ { 8, 8 }, { 4, 75 }, { 3, 295 }, { 1, 1300 } });
  options.mLimits.mSlack = *rc::gen::element(0.0, 3.0, 35.2, 134.0, 669.0);
  options.mLimits.mShare = *rc::gen::element(0.0, 0.02, 0.2);
  options.mLossRate = *rc::gen::element(0.0, 0.05, 0.5);
  options.mMaxDelay = milliseconds(*rc::gen::element(0, 30, 150));
  options.mAnnounceDelay = milliseconds(*rc::gen::element(0, 200, 1500));
  options.mUncounted = *rc::gen::element(0.0, 0.0, 0.2);
  options.mSeed = *rc::gen::arbitrary<std::uint32_t>();
  Trial trial(options);
  const int phases = *rc::gen::inRange(2, 6);
  for (int i = 0; i < phases; ++i) {
    Play(ArbitraryPhase(options.mNodes), &trial);
  }
  RC_LOG() << options.mNodes << " nodes, slack " << options.mLimits.mSlack << ", lost "
           << options.mLossRate << ", miscounted " << options.mUncounted << ", over by "
           << trial.mAccount.Excess() << "" << std::endl;
  RC_ASSERT(trial.mAccount.Excess() <= 0);
}

} // namespace
} // namespace pepperbay
