#include "coordinator_fixture.hpp"
#include "freshness_tracker.hpp"

#include <pepperbay.pb.h>

namespace pepperbay {
namespace {

/// Symptom: a key that was taken away works on at a node that the store turns away.
/// Sequence: no node reaches the store. Two that vouched for each other could trust keys for ever.
TEST_F(CoordinatorTest, KeysAreTrustedOnlyWhileTheConfigurationIsFresh)
{
  TestNode& a = AddNode("a");
  TestNode& b = AddNode("b");
  Run(seconds(2));
  EXPECT_GT(a.mPlan->mKeysValidUntil, mClock.Now());
  mStoreDown = true;
  Run(seconds(5));
  EXPECT_LT(a.mPlan->mKeysValidUntil, mClock.Now());
  EXPECT_LT(b.mPlan->mKeysValidUntil, mClock.Now());
  mStoreDown = false;
  Run(seconds(1));
  EXPECT_GT(a.mPlan->mKeysValidUntil, mClock.Now());
}

/// Symptom: a node refuses every request with a key while its neighbours serve them.
/// Sequence: the store turns this node away; its peers reach the store and this node. Then the last
/// of them dies.
TEST_F(CoordinatorTest, ANodeThatTheStoreTurnsAwayLearnsFreshnessFromPeers)
{
  TestNode& cut = AddNode("a");
  TestNode& fine = AddNode("b");
  Run(seconds(2));
  cut.mStoreDown = true;
  Run(seconds(20));
  EXPECT_GT(cut.mPlan->mKeysValidUntil, mClock.Now());
  fine.mAlive = false;
  Run(seconds(5));
  EXPECT_LT(cut.mPlan->mKeysValidUntil, mClock.Now());
}

/// Symptom: a key that was taken away works on at a node that the store turns away.
/// Sequence: a peer's word is long on its way and arrives when the key is already gone.
/// Cause: the word was taken as of its receipt.
TEST_F(CoordinatorTest, ALateWordOfAPeerMakesNothingFresh)
{
  TestNode& cut = AddNode("a");
  TestNode& fine = AddNode("b");
  Run(seconds(2));
  cut.mStoreDown = true;
  Run(seconds(4));
  fine.mAlive = false;
  const std::string late = mLastSent["a"];
  Run(seconds(10));
  cut.mCoordinator->OnMessage(late);
  Run(seconds(1));
  EXPECT_LT(cut.mPlan->mKeysValidUntil, mClock.Now());
}

/// A new configuration reaches a node that the store turns away, and is not taken from a message of
/// an earlier start.
TEST_F(CoordinatorTest, ANodeThatTheStoreTurnsAwayGetsTheConfigurationFromPeers)
{
  TestNode& cut = AddNode("a");
  AddNode("b");
  Run(seconds(2));
  cut.mStoreDown = true;
  Run(seconds(3));
  Configure("5");
  Run(seconds(1));
  EXPECT_EQ(cut.mPlan->mRoutes->Version(), 5U);
  EXPECT_GT(cut.mPlan->mKeysValidUntil, mClock.Now());
  proto::PeerMessage old;
  old.set_node("b");
  old.set_incarnation(99);
  old.set_configuration("9");
  cut.mCoordinator->OnMessage(old.SerializeAsString());
  Run(milliseconds(200));
  EXPECT_EQ(cut.mPlan->mRoutes->Version(), 5U);
}

/// Symptom: requests go to an engine that has left, by a node that believes its registrations new.
/// Sequence: a peer has read a record that has not come here and says that all it knows is new.
TEST(FreshnessTracker, AnAgeOfALogCountsOnlyForWhoHasAllThatItSpeaksOf)
{
  const TimePoint asked{ seconds(100) };
  const TimePoint now = asked + milliseconds(30);
  proto::PeerMessage message;
  proto::Beat* beat = message.mutable_beat();
  for (const std::uint64_t it : { 4U, 9U, 2U }) {
    beat->add_log_next(it);
    beat->add_log_age_ms(200);
  }
  auto* answer = beat->add_freshness();
  answer->set_node("self");
  answer->set_incarnation(3);
  answer->set_asked_at_ns(static_cast<std::uint64_t>(Duration(seconds(100)).count()));
  answer->set_held_ns(static_cast<std::uint64_t>(Duration(milliseconds(20)).count()));

  FreshnessTracker book("self", 3);
  book.OnBeat(message, 1, { 4, 8, 2 }, now);
  EXPECT_EQ(book.LogAsOf(FollowedLog::kConfiguration), asked + milliseconds(20 - 200));
  EXPECT_EQ(book.LogAsOf(FollowedLog::kEngines), TimePoint{}) << "one record is missing here";
  book.OnBeat(message, 1, { 4, 9, 2 }, now);
  EXPECT_EQ(book.LogAsOf(FollowedLog::kEngines), asked + milliseconds(20 - 200));
}

/// Guards against nodes that read the store all the time, or never in time, by what was promised.
TEST(CoordinatorBoundsTest, FollowFromThePromises)
{
  const CoordinatorBounds usual = BoundsOf(InForceWithin{});
  EXPECT_EQ(usual.mDirectReadAfter, milliseconds(1200));
  EXPECT_EQ(usual.mEnginesDirectReadAfter, milliseconds(1600));
  EXPECT_EQ(usual.mMaxDirectReadPause, seconds(1));
  EXPECT_EQ(usual.mMissesTrusted, seconds(2));
  for (const milliseconds within : { seconds(2), seconds(4), seconds(3600) }) {
    const CoordinatorBounds bounds = BoundsOf({ within, within, within });
    EXPECT_LT(bounds.mDirectReadAfter, within);
    EXPECT_LT(bounds.mEnginesDirectReadAfter, within);
    EXPECT_LT(bounds.mMaxDirectReadPause, within);
  }
  const CoordinatorBounds least = BoundsOf({ milliseconds(1), milliseconds(1), milliseconds(1) });
  EXPECT_GE(least.mDirectReadAfter, seconds(1));
  EXPECT_GE(least.mMaxDirectReadPause, milliseconds(400));
}

} // namespace
} // namespace pepperbay
