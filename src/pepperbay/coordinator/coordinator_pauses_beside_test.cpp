/// Pauses of engines beside other trouble, or of several in turn, as the control state takes them.
#include "coordinator_pauses_world.hpp"

namespace pepperbay {
namespace {

/// Guards against a group whose members fall silent in turn, so that its streams stand still for
/// longer than any of them was silent.
RC_GTEST_PROP(CoordinatorPauses, OfAGroupsMembersInTurnEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const auto members = world.mPool.At(world.Head(DrawReplica())).mMembers;
  for (const auto& it : members) {
    const Duration pause = DrawPause();
    world.Pause(it, pause);
    world.Go(pause * *rc::gen::inRange(3, 11) / 10);
  }
  CheckNothingHappened(world);
}

/// Guards against a registration that lapses in a pause and returns, with the same start, being
/// taken for a leave or a new start.
RC_GTEST_PROP(CoordinatorPauses, InWhichTheRegistrationLapsesEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const int replica = DrawReplica();
  const std::string id = *rc::gen::arbitrary<bool>() ? world.Head(replica) : world.Member(replica);
  const Duration lapse = milliseconds(*rc::gen::inRange(600, 1300));
  world.Pause(id, lapse + milliseconds(200));
  world.Go(lapse);
  world.LapseWhilePaused(id);
  CheckNothingHappened(world);
}

/// Guards against orders that an engine finds after its pause and carries out, though what they
/// were given for is over.
RC_GTEST_PROP(CoordinatorPauses, WithOrdersThatAreLostEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.mPausedLoseOrders = true;
  PauseSeveral(world, 300);
  CheckNothingHappened(world);
}

/// Guards against a new holder of the lease that meets engines in the middle of a pause, of whose
/// beginning it knows nothing.
RC_GTEST_PROP(CoordinatorPauses, AcrossAChangeOfTheHolderEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  world.Go(milliseconds(*rc::gen::inRange(0, 600)));
  auto& holder = world.Holder();
  const bool before = *rc::gen::arbitrary<bool>();
  const Duration lead = milliseconds(*rc::gen::inRange(20, 1600));
  holder.mAlive = !before;
  if (before) {
    world.Go(lead);
  }
  PauseSeveral(world, 300);
  if (!before) {
    world.Go(lead);
    holder.mAlive = false;
  }
  CheckNothingHappened(world, kTakeover);
}

/// Guards against a pause beside a node that reaches no engine: its own blindness and the silence
/// together make no end.
RC_GTEST_PROP(CoordinatorPauses, BesideACutNodeEndNoGroup, ())
{
  const int nodes = DrawNodes();
  PausingWorld world(nodes);
  auto& cut = world.mNodes[static_cast<std::size_t>(*rc::gen::inRange(0, nodes))];
  world.mCut = { cut.mName };
  world.mCutRefuses = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    cut.mCoordinator->SetReach(false);
  }
  world.Go(milliseconds(*rc::gen::inRange(20, 800)));
  PauseSeveral(world, 300);
  CheckNothingHappened(world);
}

/// Guards against a holder that looks for its sight at engines which are silent as well, finds
/// none, and takes its own word for that of a second place or gives the others' up.
RC_GTEST_PROP(CoordinatorPauses, OfMostEnginesEndNoGroup, ())
{
  PausingWorld world(DrawNodes());
  const int spared = *rc::gen::inRange(0, 15);
  const Duration pause = DrawPause();
  int i = 0;
  for (const auto& [id, engine] : world.mPool.All()) {
    if (i++ != spared) {
      world.Pause(id, pause);
    }
  }
  CheckNothingHappened(world);
}

/// Guards against a pause that counts from an answer of well before it: the head of a group pauses
/// while another member does, and was last asked some time before.
TEST(CoordinatorPausesInTurn, AHeadThatPausesAfterItsMemberIsNotEndedEarly)
{
  for (int nodes : { 3, 5 }) {
    for (int after = 300; after < 1500; after += 20) {
      PausingWorld world(nodes);
      const std::string head = world.Head(0);
      world.Pause(world.Member(0), milliseconds(1500));
      world.Go(milliseconds(after));
      world.Pause(head, milliseconds(1500));
      world.GoBeyondPauses(seconds(1));
      EXPECT_TRUE(world.mHarmful.empty())
        << nodes << " nodes, " << after << " ms: " << testing::PrintToString(world.mHarmful);
    }
  }
}

} // namespace
} // namespace pepperbay
