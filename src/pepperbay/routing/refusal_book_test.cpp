#include "pepperbay/routing/refusal_book.hpp"

#include "pepperbay/base/hash.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RefusalBookTest : public testing::Test
{
protected:
  bool Refuses() const { return mBook.Refuses(ShortId(mHead), mNow); }
  /// A request is sent and immediately refused.
  bool Refuse() { return mBook.OnRefused(mHead, mNow, mNow); }

  const std::string mHead = "h";
  TimePoint mNow = TimePoint(std::chrono::hours(1));
  RefusalBook mBook;
};

TEST_F(RefusalBookTest, AHeadIsChosenAgainAfterAPauseThatDoublesUpToALimit)
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
TEST_F(RefusalBookTest, RefusalsOfRequestsSentBeforeAreIgnored)
{
  const TimePoint sent = mNow;
  mNow += milliseconds(5);
  EXPECT_TRUE(mBook.OnRefused(mHead, sent, mNow));
  EXPECT_FALSE(mBook.OnRefused(mHead, sent + milliseconds(2), mNow + milliseconds(2)));
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses());
}

/// A request accepted before the refusal has no effect; one accepted after the pause clears it.
TEST_F(RefusalBookTest, AHeadThatTakesARequestAgainIsCleared)
{
  Refuse();
  mBook.OnTaken(mHead, mNow - milliseconds(50));
  EXPECT_TRUE(Refuses());
  mNow += milliseconds(100);
  mBook.OnTaken(mHead, mNow);
  Refuse();
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses()) << "the pause has its initial length again";
}

TEST_F(RefusalBookTest, AnotherNodesReportExpiresSoonAndIsNotPassedOn)
{
  mBook.OnTold(ShortId(mHead), mNow);
  EXPECT_TRUE(Refuses());
  EXPECT_TRUE(mBook.Refusing(mNow).empty());
  mNow += milliseconds(100);
  EXPECT_FALSE(Refuses());
}

TEST_F(RefusalBookTest, OldRefusalsDoNotLengthenAPause)
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

TEST_F(RefusalBookTest, ARestartedHeadIsChosenAsAnyOther)
{
  Refuse();
  mBook.Forget(mHead);
  EXPECT_FALSE(Refuses());
}

} // namespace
} // namespace pepperbay
