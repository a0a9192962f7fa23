#include "engine_calls.hpp"

#include <deque>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 110 };

/// Questions that the test answers when it likes.
class EngineCallsTest : public testing::Test
{
protected:
  void Ask()
  {
    mCalls.Ask(
      EngineRecord{}, { kTimeout, std::nullopt }, [this](const Result<EngineReport>& aReport) {
        mLast = aReport.has_value() ? std::nullopt : std::make_optional(aReport.error().mCode);
      });
  }
  /// Put questions while there is room, and answer each after a time. @return how many there were
  int Round(Duration aAfter)
  {
    while (mCalls.RoomForStatusRequest()) {
      Ask();
    }
    const auto n = static_cast<int>(mAsked.size());
    mClock.Advance(aAfter);
    while (!mAsked.empty()) {
      End(EngineReport{});
    }
    return n;
  }
  void End(const Result<EngineReport>& aReport)
  {
    const auto done = mAsked.front();
    mAsked.pop_front();
    done(aReport);
  }

  const Error mTimedOut{ Errc::kTimeout, "engine.ask", "e", "" };
  ManualClock mClock;
  std::deque<std::function<void(Result<EngineReport>)>> mAsked;
  std::optional<Errc> mLast; ///< of the question that ended last
  EngineCallsOptions mOptions;
  EngineCalls mCalls{ mOptions,
                      { mClock.Hook(),
                        nullptr,
                        [this](const EngineRecord&,
                               const EngineCallOptions&,
                               const std::function<void(Result<EngineReport>)>& aDone) {
                          mAsked.push_back(aDone);
                        } } };
};

TEST_F(EngineCallsTest, MoreAreUnderWayWhileAnswersAreReadSoonUpToABound)
{
  EXPECT_EQ(Round(milliseconds(5)), mOptions.mInitialWindow);
  EXPECT_EQ(Round(milliseconds(5)), 2 * mOptions.mInitialWindow);
  Round(milliseconds(5));
  EXPECT_EQ(Round(milliseconds(5)), mOptions.mMaxWindow);
}

/// Guards against a node that goes on to begin more calls than it can read the answers of.
TEST_F(EngineCallsTest, FewerAreUnderWayWhileAnswersAreReadLateButNeverNone)
{
  Round(milliseconds(200));
  EXPECT_EQ(mCalls.Window(), mOptions.mInitialWindow / 2) << "the answers of one round count once";
  for (int i = 0; i < 10; ++i) {
    Round(milliseconds(200));
  }
  EXPECT_EQ(mCalls.Window(), mOptions.mMinWindow);
}

/// Guards against engines that count as lost because the node that asked them was late.
TEST_F(EngineCallsTest, ACallWhoseEndIsToldLateTellsNothingOfTheEngine)
{
  Ask();
  mClock.Advance(kTimeout + mOptions.mLateTimeout + milliseconds(1));
  End(mTimedOut);
  EXPECT_EQ(mLast, Errc::kCancelled);
  EXPECT_EQ(mCalls.Unread(), 1U);
}

/// Guards against a bound that grows tighter the more engines are gone.
TEST_F(EngineCallsTest, SilenceThatIsToldInTimeIsTheEngines)
{
  Ask();
  mClock.Advance(kTimeout);
  End(mTimedOut);
  EXPECT_EQ(mLast, Errc::kTimeout);
  EXPECT_EQ(mCalls.Window(), mOptions.mInitialWindow);
}

TEST_F(EngineCallsTest, OrdersLeaveRoomForQuestions)
{
  const int orders = mCalls.RoomForOrders();
  EXPECT_LT(orders, mOptions.mInitialWindow);
  for (int i = 0; i < orders; ++i) {
    Ask();
  }
  EXPECT_EQ(mCalls.RoomForOrders(), 0);
  EXPECT_TRUE(mCalls.RoomForStatusRequest());
}

} // namespace
} // namespace pepperbay
