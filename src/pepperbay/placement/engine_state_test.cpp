#include "pepperbay/placement/engine_state.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kEngine = "e1";
const TimePoint kNow = TimePoint(std::chrono::hours(1));

GroupOrder
Order(GroupOrderKind aKind, std::uint64_t aEpoch, std::optional<std::uint64_t> aAccepted)
{
  GroupOrder order;
  order.mKind = aKind;
  order.mEngine = kEngine;
  order.mGroup = "r1";
  order.mEpoch = aEpoch;
  order.mMembers = { "e0", kEngine };
  order.mAccepted = aAccepted;
  return order;
}

GroupOrder
Join(std::uint64_t aEpoch, std::optional<std::uint64_t> aAccepted = std::nullopt)
{
  return Order(GroupOrderKind::kJoin, aEpoch, aAccepted);
}

GroupOrder
Leave(std::uint64_t aEpoch, std::optional<std::uint64_t> aAccepted = std::nullopt)
{
  return Order(GroupOrderKind::kLeave, aEpoch, aAccepted);
}

GroupPlace
Place(const std::string& aGroup, std::uint64_t aEpoch)
{
  return { aGroup, aEpoch, 1, GroupPhase::kReady };
}

/// In r1 at epoch 9 with six orders accepted, and registered in it at epoch 7.
EngineState
InNine()
{
  EngineState state;
  state.OnRegistration(Place("r1", 7));
  state.OnReport(Place("r1", 9), 6, kNow);
  return state;
}

TEST(EngineState, AJoinThatBeginsMovesTheEngineAndIsCountedOnce)
{
  EngineState state = EngineState::JustStarted();
  EXPECT_EQ(state.OnAnswer(Join(3, 0), OrderAnswer::kBegun, kNow), OrderProof::kDone);
  EXPECT_TRUE(state.IsIn("r1", 3));
  EXPECT_EQ(state.Place().mRank, 1);
  EXPECT_EQ(state.Accepted(), 1U);
  EXPECT_EQ(state.OnAnswer(Join(3), OrderAnswer::kBegun, kNow), OrderProof::kAlreadySo);
  EXPECT_EQ(state.OnAnswer(Join(3), OrderAnswer::kHolds, kNow), OrderProof::kAlreadySo);
  EXPECT_EQ(state.Accepted(), 1U);
}

/// Symptom: an engine that serves is ordered elsewhere.
/// Sequence: it is told to leave an older epoch than it is in, and answers that this holds.
/// Cause: the answer says that it is not in that epoch, not that it is in none.
TEST(EngineState, ALeaveOfAnOlderEpochProvesNothingOfTheNewer)
{
  EngineState state = InNine();
  EXPECT_EQ(state.OnAnswer(Leave(7, 6), OrderAnswer::kHolds, kNow), OrderProof::kIgnored);
  EXPECT_TRUE(state.IsIn("r1", 9));
  EXPECT_EQ(state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow), OrderProof::kDone);
  EXPECT_TRUE(state.Place().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
}

/// Without a number the engine may have left, or have been ordered elsewhere since.
TEST(EngineState, ALeaveWithoutANumberLeavesTheNumberToTheEngine)
{
  EngineState state = InNine();
  EXPECT_EQ(state.OnAnswer(Leave(9), OrderAnswer::kHolds, kNow), OrderProof::kAlreadySo);
  EXPECT_EQ(state.Accepted(), std::nullopt);
  EXPECT_TRUE(state.ShouldAsk(kNow));
}

/// Symptom: a member whose registration stands still is taken for free.
/// Sequence: it says that it is in a newer epoch, and its registration goes on saying the old one.
/// Cause: what it says when asked held for half a second only.
TEST(EngineState, ARegistrationThatStandsStillNeverComesBack)
{
  EngineState state = InNine();
  state.OnRegistration(Place("r1", 7));
  EXPECT_TRUE(state.IsIn("r1", 9));
  state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow);
  state.OnRegistration(Place("r1", 9)); // of before it left
  EXPECT_TRUE(state.Place().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
  state.OnRegistration(Place("r2", 12)); // by another holder
  EXPECT_TRUE(state.IsIn("r2", 12));
  EXPECT_EQ(state.Accepted(), std::nullopt);
}

TEST(EngineState, AReportOfBeforeAnAnsweredOrderIsNotTaken)
{
  EngineState state = InNine();
  state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow);
  state.OnReport(Place("r1", 9), 6, kNow);
  EXPECT_TRUE(state.Place().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
}

/// An order to open or to stage that is still in progress is answered as begun again, so whether it
/// is counted shows only when the engine is asked late enough.
TEST(EngineState, AnOpenIsCountedOnceTheEngineSaysSo)
{
  EngineState state = InNine();
  const GroupOrder open = Order(GroupOrderKind::kOpen, 9, std::nullopt);
  EXPECT_EQ(state.OnAnswer(open, OrderAnswer::kBegun, kNow), OrderProof::kAccepted);
  EXPECT_FALSE(state.ShouldAsk(kNow));
  state.OnReport(Place("r1", 9), 6, kNow + milliseconds(100)); // perhaps of before
  EXPECT_EQ(state.Accepted(), std::nullopt);
  EXPECT_TRUE(state.ShouldAsk(kNow + EngineState::kReportAge));
  state.OnReport(Place("r1", 9), 6, kNow + EngineState::kReportAge);
  EXPECT_EQ(state.Accepted(), 6U);
}

/// Symptom: a join that was refused is refused a second time.
/// Sequence: the engine has accepted an order that the holder does not know of; asked, it says what
/// was so before that order. Cause: the number that had just been refused was taken again.
TEST(EngineState, ANumberThatWasRefusedIsNotTakenAgain)
{
  EngineState state = InNine();
  EXPECT_EQ(state.OnAnswer(Join(11, 6), OrderAnswer::kNotNow, kNow), OrderProof::kRefused);
  EXPECT_TRUE(state.ShouldAsk(kNow));
  state.OnReport(Place("r1", 9), 6, kNow + milliseconds(50));
  EXPECT_EQ(state.Accepted(), std::nullopt);
  state.OnReport(Place("r1", 9), 7, kNow + milliseconds(250));
  EXPECT_EQ(state.Accepted(), 7U);
}

TEST(EngineState, AnOrderWithoutAnAnswerLeavesTheNumberOpen)
{
  EngineState state = InNine();
  EXPECT_EQ(state.OnAnswer(Join(11, 6), OrderAnswer::kNone, kNow), OrderProof::kUnknown);
  EXPECT_TRUE(state.IsIn("r1", 9));
  EXPECT_TRUE(state.ShouldAsk(kNow));
  state.OnReport(Place("r1", 11), 7, kNow);
  EXPECT_TRUE(state.IsIn("r1", 11));
  EXPECT_EQ(state.Accepted(), 7U);
}

/// A late answer to a join does not bring back a membership that the engine has left since.
TEST(EngineState, ALateAnswerToAnOlderJoinIsIgnored)
{
  EngineState state = InNine();
  state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow);
  EXPECT_EQ(state.OnAnswer(Join(9), OrderAnswer::kHolds, kNow), OrderProof::kIgnored);
  EXPECT_EQ(state.OnAnswer(Join(8, 5), OrderAnswer::kBegun, kNow), OrderProof::kIgnored);
  EXPECT_TRUE(state.Place().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
}

} // namespace
} // namespace pepperbay
