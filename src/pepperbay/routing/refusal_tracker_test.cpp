#include "pepperbay/routing/refusal_tracker.hpp"

#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RefusalTrackerTest : public testing::Test
{
protected:
  bool Refuses() const { return mTracker.Refuses(ShortId(mHead), mNow); }
  /// A request is sent and immediately refused.
  bool Refuse() { return mTracker.OnRefused(mHead, mNow, mNow); }

  const std::string mHead = "h";
  TimePoint mNow = TimePoint(std::chrono::hours(1));
  RefusalTracker mTracker;
};

TEST_F(RefusalTrackerTest, AHeadIsChosenAgainAfterAPauseThatDoublesUpToALimit)
{
  for (const int ms : { 100, 200, 400, 800, 800 }) {
    EXPECT_TRUE(Refuse());
    mNow += milliseconds(ms - 1);
    EXPECT_TRUE(Refuses()) << ms;
    mNow += milliseconds(1);
    EXPECT_FALSE(Refuses()) << ms;
  }
}

/// Refusals of requests that were in flight at the first refusal do not extend the pause.
TEST_F(RefusalTrackerTest, RefusalsOfRequestsSentBeforeAreIgnored)
{
  const TimePoint sent = mNow;
  mNow += milliseconds(5);
  EXPECT_TRUE(mTracker.OnRefused(mHead, sent, mNow));
  EXPECT_FALSE(mTracker.OnRefused(mHead, sent + milliseconds(2), mNow + milliseconds(2)));
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses());
}

/// A request accepted before the refusal has no effect; one accepted after the pause clears it.
TEST_F(RefusalTrackerTest, AHeadThatTakesARequestAgainIsCleared)
{
  Refuse();
  mTracker.OnTaken(mHead, mNow - milliseconds(50));
  EXPECT_TRUE(Refuses());
  mNow += milliseconds(100);
  mTracker.OnTaken(mHead, mNow);
  Refuse();
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses()) << "the pause has its initial length again";
}

TEST_F(RefusalTrackerTest, AnotherNodesReportExpiresSoonAndIsNotPassedOn)
{
  mTracker.OnPeerReport(ShortId(mHead), mNow);
  EXPECT_TRUE(Refuses());
  EXPECT_TRUE(mTracker.Refusing(mNow).empty());
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses());
}

TEST_F(RefusalTrackerTest, OldRefusalsDoNotLengthenAPause)
{
  for (int i = 0; i < 4; ++i) {
    Refuse();
    mNow += seconds(1);
  }
  mNow += seconds(5);
  Refuse();
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses());
}

TEST_F(RefusalTrackerTest, ARestartedHeadIsChosenAsAnyOther)
{
  Refuse();
  mTracker.Forget(mHead);
  EXPECT_FALSE(Refuses());
}

} // namespace
} // namespace pepperbay
