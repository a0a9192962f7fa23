#include "pepperbay/routing/unanswered_tracker.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

class UnansweredTrackerTest : public testing::Test
{
protected:
  TimePoint At(milliseconds aAfter) const { return mStart + aAfter; }

  const TimePoint mStart{ std::chrono::hours(1) };
  UnansweredTracker mTracker;
};

TEST_F(UnansweredTrackerTest, AnEngineIsSilentSomeTimeAfterItsFirstUnansweredRequest)
{
  EXPECT_FALSE(mTracker.IsSilent("e", At(milliseconds(0))));
  mTracker.OnSent("e", false, At(milliseconds(0)));
  mTracker.OnSent("e", false, At(milliseconds(190)));
  EXPECT_FALSE(mTracker.IsSilent("e", At(milliseconds(200))));
  EXPECT_TRUE(mTracker.IsSilent("e", At(milliseconds(201))));
  EXPECT_FALSE(mTracker.IsSilent("other", At(milliseconds(201))));
  EXPECT_EQ(mTracker.Silent(At(milliseconds(200))), 0U);
  EXPECT_EQ(mTracker.Silent(At(milliseconds(201))), 1U);
}

TEST_F(UnansweredTrackerTest, ASilentEngineGetsNoSecondSendings)
{
  mTracker.OnSent("e", false, At(milliseconds(0)));
  EXPECT_TRUE(mTracker.MayRepeatAt("e", At(milliseconds(200))));
  EXPECT_FALSE(mTracker.MayRepeatAt("e", At(milliseconds(201))));
  mTracker.OnHeard("e");
  EXPECT_TRUE(mTracker.MayRepeatAt("e", At(milliseconds(202))));
}

TEST_F(UnansweredTrackerTest, ABurstOfSecondSendingsWaitsForASignOfLife)
{
  mTracker.OnSent("e", false, At(milliseconds(0)));
  EXPECT_TRUE(mTracker.MayRepeatAt("e", At(milliseconds(1))));
  mTracker.OnSent("e", true, At(milliseconds(1)));
  EXPECT_FALSE(mTracker.MayRepeatAt("e", At(milliseconds(2))));
  mTracker.OnHeard("e");
  EXPECT_TRUE(mTracker.MayRepeatAt("e", At(milliseconds(2))));
}

TEST_F(UnansweredTrackerTest, AnEngineIsSilentAtOnceWhenAnotherAnswersItsRequest)
{
  mTracker.OnSent("e", false, At(milliseconds(0)));
  mTracker.OnOvertaken("e", At(milliseconds(90)));
  EXPECT_TRUE(mTracker.IsSilent("e", At(milliseconds(90))));
  mTracker.OnHeard("e");
  EXPECT_FALSE(mTracker.IsSilent("e", At(milliseconds(91))));
  // One that was heard since the request was sent is not.
  mTracker.OnOvertaken("e", At(milliseconds(92)));
  EXPECT_FALSE(mTracker.IsSilent("e", At(milliseconds(92))));
}

TEST_F(UnansweredTrackerTest, AnEngineThatIsNotUsedIsForgotten)
{
  mTracker.OnSent("e", true, At(milliseconds(0)));
  mTracker.OnSent("e", true, At(milliseconds(1000)));
  EXPECT_TRUE(mTracker.IsSilent("e", At(milliseconds(5000))));
  EXPECT_FALSE(mTracker.IsSilent("e", At(milliseconds(5001))));
  EXPECT_TRUE(mTracker.MayRepeatAt("e", At(milliseconds(5001))));
  // What was known then does not count for what is sent from here on.
  mTracker.OnSent("e", false, At(milliseconds(6000)));
  EXPECT_TRUE(mTracker.MayRepeatAt("e", At(milliseconds(6001))));
}

} // namespace
} // namespace pepperbay
