/// Engines that fall silent and go on as if nothing had happened, as the control state takes them.
#include "coordinator_pauses_world.hpp"

namespace pepperbay {
namespace {

/// Guards against a head's pause that ends its group and the streams that it writes.
RC_GTEST_PROP(CoordinatorPauses, OfAHeadEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Pause(world.Head(DrawReplica()), DrawPause());
  CheckNothingHappened(world);
}

/// Guards against a member's pause that ends its group and the streams of the group's head.
RC_GTEST_PROP(CoordinatorPauses, OfAMemberEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Pause(world.Member(DrawReplica()), DrawPause());
  CheckNothingHappened(world);
}

/// Guards against a spare's pause that costs a replica something.
RC_GTEST_PROP(CoordinatorPauses, OfASpareEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Pause(world.Spare(), DrawPause());
  CheckNothingHappened(world);
}

/// Guards against several engines that are silent at once being taken for a failure of all.
RC_GTEST_PROP(CoordinatorPauses, OfSeveralAtOnceEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  PauseSeveral(world, 0);
  CheckNothingHappened(world);
}

/// Guards against a domain that is silent for a moment being taken for one that is dark.
RC_GTEST_PROP(CoordinatorPauses, OfADomainEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const std::string domain = "d" + std::to_string(*rc::gen::inRange(0, 3));
  const Duration pause = DrawPause();
  for (const auto& [id, engine] : world.mPool.All()) {
    if (engine.mRecord.mDomain == domain) {
      world.Pause(id, pause);
    }
  }
  CheckNothingHappened(world);
}

/// Guards against pauses of different engines that add up to the end of a group.
RC_GTEST_PROP(CoordinatorPauses, InSeriesEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  PauseSeveral(world, 1000);
  CheckNothingHappened(world);
}

/// Guards against requests that go on being sent to a replica which stands still.
TEST(PausedReplica, TakesNoNewRequestsSoon)
{
  for (const bool head : { false, true }) {
    PausingWorld world(3);
    world.Pause(head ? world.Head(0) : world.Member(0), kLongestPause);
    world.Go(kSuspectAfter + milliseconds(400));
    for (const auto& it : world.mNodes) {
      EXPECT_EQ(CoordinatorWorld::Usable(it), kReplicas - 1) << it.mName;
    }
  }
}

} // namespace
} // namespace pepperbay
