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
Position(const std::string& aGroup, std::uint64_t aEpoch)
{
  return { aGroup, aEpoch, 1, GroupPhase::kReady };
}

/// The engine is in r1 at epoch 9 with six orders accepted; its registration shows r1 at epoch 7.
EngineState
RegisteredInEpochNine()
{
  EngineState state;
  state.OnRegistration(Position("r1", 7));
  state.OnReport(Position("r1", 9), 6, kNow);
  return state;
}

TEST(EngineState, AJoinThatBeginsMovesTheEngineAndIsCountedOnce)
{
  EngineState state = EngineState::JustStarted();
  EXPECT_EQ(state.OnAnswer(Join(3, 0), OrderAnswer::kBegun, kNow), OrderProof::kDone);
  EXPECT_TRUE(state.IsIn("r1", 3));
  EXPECT_EQ(state.Position().mRank, 1);
  EXPECT_EQ(state.Accepted(), 1U);
  EXPECT_EQ(state.OnAnswer(Join(3), OrderAnswer::kBegun, kNow), OrderProof::kAlreadySo);
  EXPECT_EQ(state.OnAnswer(Join(3), OrderAnswer::kHolds, kNow), OrderProof::kAlreadySo);
  EXPECT_EQ(state.Accepted(), 1U);
}

/// Guards against ordering a serving engine elsewhere. It is ordered to leave an older epoch than
/// its own and answers that this holds. The answer proves that it is not in that epoch, not that it
/// is in no replica.
TEST(EngineState, ALeaveOfAnOlderEpochProvesNothingOfTheNewer)
{
  EngineState state = RegisteredInEpochNine();
  EXPECT_EQ(state.OnAnswer(Leave(7, 6), OrderAnswer::kHolds, kNow), OrderProof::kIgnored);
  EXPECT_TRUE(state.IsIn("r1", 9));
  EXPECT_EQ(state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow), OrderProof::kDone);
  EXPECT_TRUE(state.Position().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
}

/// Without a number in the order, the engine may have left, or have been ordered elsewhere since.
TEST(EngineState, ALeaveWithoutANumberInvalidatesTheNumber)
{
  EngineState state = RegisteredInEpochNine();
  EXPECT_EQ(state.OnAnswer(Leave(9), OrderAnswer::kHolds, kNow), OrderProof::kAlreadySo);
  EXPECT_EQ(state.Accepted(), std::nullopt);
  EXPECT_TRUE(state.ShouldQuery(kNow));
}

/// Guards against treating a member with an outdated registration as free. The member reports a
/// newer epoch while its registration still shows the old one. The failure occurs if the report is
/// valid for half a second only.
TEST(EngineState, AnOutdatedRegistrationIsIgnored)
{
  EngineState state = RegisteredInEpochNine();
  state.OnRegistration(Position("r1", 7));
  EXPECT_TRUE(state.IsIn("r1", 9));
  state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow);
  state.OnRegistration(Position("r1", 9)); // from before it left
  EXPECT_TRUE(state.Position().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
  state.OnRegistration(Position("r2", 12)); // by another holder
  EXPECT_TRUE(state.IsIn("r2", 12));
  EXPECT_EQ(state.Accepted(), std::nullopt);
}

TEST(EngineState, AReportFromBeforeAnAnsweredOrderIsIgnored)
{
  EngineState state = RegisteredInEpochNine();
  state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow);
  state.OnReport(Position("r1", 9), 6, kNow);
  EXPECT_TRUE(state.Position().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
}

/// An open or stage order that is still in progress is answered with kBegun again. Whether it is
/// counted shows only in a report that is recent enough.
TEST(EngineState, AnOpenIsCountedOnceTheEngineSaysSo)
{
  EngineState state = RegisteredInEpochNine();
  const GroupOrder open = Order(GroupOrderKind::kOpen, 9, std::nullopt);
  EXPECT_EQ(state.OnAnswer(open, OrderAnswer::kBegun, kNow), OrderProof::kAccepted);
  EXPECT_FALSE(state.ShouldQuery(kNow));
  state.OnReport(Position("r1", 9), 6, kNow + milliseconds(100)); // perhaps from before
  EXPECT_EQ(state.Accepted(), std::nullopt);
  EXPECT_TRUE(state.ShouldQuery(kNow + EngineState::kMaxReportAge));
  state.OnReport(Position("r1", 9), 6, kNow + EngineState::kMaxReportAge);
  EXPECT_EQ(state.Accepted(), 6U);
}

/// Guards against a second refusal of the same join. The engine has accepted an order unknown to
/// the holder, and its report is from before that order. The failure occurs if the number that was
/// just refused is taken from the report again.
TEST(EngineState, ARefusedNumberIsNotUsedAgain)
{
  EngineState state = RegisteredInEpochNine();
  EXPECT_EQ(state.OnAnswer(Join(11, 6), OrderAnswer::kNotNow, kNow), OrderProof::kRefused);
  EXPECT_TRUE(state.ShouldQuery(kNow));
  state.OnReport(Position("r1", 9), 6, kNow + milliseconds(50));
  EXPECT_EQ(state.Accepted(), std::nullopt);
  state.OnReport(Position("r1", 9), 7, kNow + milliseconds(250));
  EXPECT_EQ(state.Accepted(), 7U);
}

TEST(EngineState, AnOrderWithoutAnAnswerInvalidatesTheNumber)
{
  EngineState state = RegisteredInEpochNine();
  EXPECT_EQ(state.OnAnswer(Join(11, 6), OrderAnswer::kNone, kNow), OrderProof::kUnknown);
  EXPECT_TRUE(state.IsIn("r1", 9));
  EXPECT_TRUE(state.ShouldQuery(kNow));
  state.OnReport(Position("r1", 11), 7, kNow);
  EXPECT_TRUE(state.IsIn("r1", 11));
  EXPECT_EQ(state.Accepted(), 7U);
}

/// A late answer to a join must not restore a membership that the engine has left since.
TEST(EngineState, ALateAnswerToAnOlderJoinIsIgnored)
{
  EngineState state = RegisteredInEpochNine();
  state.OnAnswer(Leave(9, 6), OrderAnswer::kHolds, kNow);
  EXPECT_EQ(state.OnAnswer(Join(9), OrderAnswer::kHolds, kNow), OrderProof::kIgnored);
  EXPECT_EQ(state.OnAnswer(Join(8, 5), OrderAnswer::kBegun, kNow), OrderProof::kIgnored);
  EXPECT_TRUE(state.Position().mName.empty());
  EXPECT_EQ(state.Accepted(), 7U);
}

} // namespace
} // namespace pepperbay
