#include "pepperbay/lease/keeper.hpp"

#include "pepperbay/state/fold.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 3;
constexpr Duration kLength = seconds(6);

/// One node with a clock of its own that drifts, its own copy of the log, and claims under way.
struct Contender
{
  Contender(int aIndex, double aRate)
    : mName("n" + std::to_string(aIndex))
    , mRate(aRate)
    , mKeeper({ "dc", mName, 1, kLength, 20, Duration::zero() })
  {
  }

  std::string mName;
  double mRate;
  LeaseKeeper mKeeper;
  State mState;
  std::uint64_t mSequence = 0;
  std::vector<std::string> mUnderWay; ///< claims that have not reached the log, or never will
  bool mPaused = false;
  bool mBlind = false; ///< reads nothing of the log, though its claims may still reach it
  /// What it last decided while it believed to hold; a pause may fall between that and the send.
  std::uint64_t mDecidedFence = 0;
};

/// The log, the nodes, and an engine that checks fencing numbers.
class World
{
public:
  explicit World(const std::vector<int>& aDrift)
  {
    for (int i = 0; i < kNodes; ++i) {
      constexpr double kPermille = 1000.0;
      mNodes.emplace_back(i, 1.0 + aDrift[static_cast<std::size_t>(i)] / kPermille);
    }
  }

  TimePoint LocalNow(const Contender& aNode) const
  {
    const double local = static_cast<double>(mReal.count()) * aNode.mRate;
    return TimePoint(Duration(static_cast<Duration::rep>(local)));
  }

  void Follow(Contender& aNode)
  {
    while (aNode.mState.Next() < mLog.size()) {
      const std::uint64_t offset = aNode.mState.Next();
      aNode.mState.Apply(offset, mLog[offset]);
      OnState(aNode);
    }
    OnState(aNode);
  }

  void OnState(Contender& aNode) const
  {
    const auto it = aNode.mState.Content().leases().find("dc");
    const bool none = it == aNode.mState.Content().leases().end();
    aNode.mKeeper.OnFolded(none ? nullptr : &it->second, LocalNow(aNode));
  }

  void Tick(Contender& aNode) const
  {
    if (const auto claim = aNode.mKeeper.Tick(LocalNow(aNode))) {
      proto::Record record = MakeRecord(aNode.mName, 1, ++aNode.mSequence);
      *record.mutable_claim() = *claim;
      aNode.mUnderWay.push_back(record.SerializeAsString());
    }
  }

  void Arrive(Contender& aNode)
  {
    if (!aNode.mUnderWay.empty()) {
      mLog.push_back(aNode.mUnderWay.front());
      aNode.mUnderWay.erase(aNode.mUnderWay.begin());
    }
  }

  int Holders() const
  {
    int n = 0;
    for (const auto& it : mNodes) {
      n += !it.mPaused && it.mKeeper.Held(LocalNow(it)) ? 1 : 0;
    }
    return n;
  }

  std::vector<Contender> mNodes;
  std::vector<std::string> mLog;
  Duration mReal = seconds(100);
};

/// Symptom: two nodes give orders at once.
/// Sequence: any mix of late and lost claims, answers that never come, nodes that read the log
/// late, clocks that drift within the margin, and pauses.
/// Checked at every instant: at most one node that is not paused believes that it holds the lease,
/// and an engine that refuses older fencing numbers never takes an order of an earlier holder after
/// one of a later holder, even when a pause fell between a holder's check and its send.
RC_GTEST_PROP(LeaseKeeper, NeverTwoHolders, ())
{
  const auto drift = *rc::gen::container<std::vector<int>>(kNodes, rc::gen::inRange(-5, 6));
  const auto script = *rc::gen::container<std::vector<std::pair<int, int>>>(
    600, rc::gen::pair(rc::gen::inRange(0, kNodes), rc::gen::inRange(0, 20)));
  World world(drift);
  std::uint64_t engineFence = 0;
  std::uint64_t orders = 0;
  for (const auto& [index, kind] : script) {
    Contender& node = world.mNodes[static_cast<std::size_t>(index)];
    world.mReal += milliseconds(250);
    if (kind == 0) {
      node.mPaused = !node.mPaused;
    } else if (kind == 1) {
      world.Arrive(node); // also of a paused node: its claim was on the wire
    } else if (kind == 2 && !node.mUnderWay.empty()) {
      node.mUnderWay.pop_back(); // lost
    } else if (kind == 3) {
      node.mKeeper.OnClaimDone(); // gave up waiting; the claim may still arrive
    } else if (kind == 4 && node.mDecidedFence != 0) {
      // Sends what it decided earlier, however long it was paused in between.
      const bool taken = node.mDecidedFence >= engineFence;
      engineFence = std::max(engineFence, node.mDecidedFence);
      orders += taken ? 1 : 0;
      RC_ASSERT(!taken || node.mDecidedFence == engineFence);
      node.mDecidedFence = 0;
    } else if (kind == 5) {
      node.mBlind = !node.mBlind;
    } else if (!node.mPaused) {
      world.Tick(node);
      world.Arrive(node);
      if (!node.mBlind) {
        world.Follow(node);
      }
      if (node.mKeeper.Held(world.LocalNow(node))) {
        node.mDecidedFence = node.mKeeper.Fence();
      }
    }
    RC_ASSERT(world.Holders() <= 1);
  }
  RC_CLASSIFY(orders > 0, "orders given");
}

/// Symptom: a holder acts on for seconds after a challenger has lawfully taken the lease.
/// Sequence: its renewal reaches the log, but the answer and the record do not reach the holder; it
/// gives up waiting and makes the same renewal again much later; then it folds the first one.
/// Cause: counting the lease from the second send, though challengers count from the first record.
TEST(LeaseKeeper, CountsFromTheFirstClaimMadeUponARecord)
{
  ManualClock clock;
  LeaseKeeper keeper({ "dc", "n0", 1, kLength, 20, Duration::zero() });
  keeper.OnFolded(nullptr, clock.Now());
  ASSERT_TRUE(keeper.Tick(clock.Now()).has_value());
  const TimePoint firstSent = clock.Now();
  clock.Advance(seconds(5));
  keeper.OnClaimDone();
  ASSERT_TRUE(keeper.Tick(clock.Now()).has_value());
  proto::LeaseState lease;
  lease.set_holder("n0");
  lease.set_incarnation(1);
  lease.set_fence(1);
  lease.set_last(1);
  keeper.OnFolded(&lease, clock.Now());
  EXPECT_TRUE(keeper.Held(firstSent + kLength - milliseconds(1)));
  EXPECT_FALSE(keeper.Held(firstSent + kLength));
}

TEST(LeaseKeeper, AWakingHolderStepsDownByItself)
{
  ManualClock clock;
  LeaseKeeper keeper({ "dc", "n0", 1, kLength, 20, Duration::zero() });
  keeper.OnFolded(nullptr, clock.Now());
  ASSERT_TRUE(keeper.Tick(clock.Now()).has_value());
  proto::LeaseState lease;
  lease.set_holder("n0");
  lease.set_incarnation(1);
  lease.set_fence(1);
  lease.set_last(1);
  keeper.OnFolded(&lease, clock.Now());
  EXPECT_TRUE(keeper.Held(clock.Now()));
  clock.Advance(seconds(60)); // paused; nothing has told it of a successor
  EXPECT_FALSE(keeper.Held(clock.Now()));
}

/// A challenger whose clock runs 2% fast must still not claim before the holder's lease is over.
TEST(LeaseKeeper, AChallengerWaitsForTheDriftMarginToo)
{
  ManualClock clock;
  LeaseKeeper challenger({ "dc", "n1", 1, kLength, 20, Duration::zero() });
  proto::LeaseState lease;
  lease.set_holder("n0");
  lease.set_last(3);
  challenger.OnFolded(&lease, clock.Now());
  clock.Advance(kLength + kLength * 20 / 1000 - milliseconds(1));
  EXPECT_FALSE(challenger.Tick(clock.Now()).has_value());
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(challenger.Tick(clock.Now()).has_value());
}

TEST(LeaseKeeper, AReleasedLeaseIsClaimedWithoutWaiting)
{
  ManualClock clock;
  LeaseKeeper challenger({ "dc", "n1", 1, kLength, 20, Duration::zero() });
  proto::LeaseState lease;
  lease.set_holder("n0");
  lease.set_last(3);
  challenger.OnFolded(&lease, clock.Now());
  EXPECT_FALSE(challenger.Tick(clock.Now()).has_value());
  lease.set_last(4);
  lease.set_released(true);
  challenger.OnFolded(&lease, clock.Now());
  const auto claim = challenger.Tick(clock.Now());
  ASSERT_TRUE(claim.has_value());
  EXPECT_EQ(claim->previous(), 4U);
}

} // namespace
} // namespace pepperbay
