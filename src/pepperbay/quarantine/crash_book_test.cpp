#include "pepperbay/quarantine/crash_book.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
const RequestKey kKey{ 1, 2 };

EngineEnd
Begun(std::uint64_t aEngine, TimePoint aAt = kNow)
{
  return { aEngine, Suspicion::kBegun, aAt };
}

EngineEnd
Present(std::uint64_t aEngine)
{
  return { aEngine, Suspicion::kPresent, kNow };
}

TEST(CrashBook, HoldsARequestBackForLongOnceItHasEndedThreeEngines)
{
  CrashBook book;
  book.Add(kKey, Begun(1), kNow);
  EXPECT_EQ(book.HeldUntil(kKey), TimePoint{});
  book.Add(kKey, Begun(2), kNow);
  EXPECT_EQ(book.HeldUntil(kKey), kNow + CrashBookOptions().mHold);
  book.Add(kKey, Begun(3), kNow);
  EXPECT_EQ(book.HeldUntil(kKey), kNow + CrashBookOptions().mQuarantine);
}

/// Many nodes see the end of one engine; counted once for each, one end would hold a request back.
TEST(CrashBook, CountsEachEngineOnce)
{
  CrashBook book;
  EXPECT_TRUE(book.Add(kKey, Begun(1), kNow));
  EXPECT_FALSE(book.Add(kKey, Begun(1), kNow + seconds(1)));
  EXPECT_FALSE(book.Add(kKey, Present(1), kNow));
  EXPECT_EQ(book.Score(kKey), 2);
}

TEST(CrashBook, AStrongerSuspicionOfTheSameEngineReplacesTheWeaker)
{
  CrashBook book;
  book.Add(kKey, Present(1), kNow);
  EXPECT_TRUE(book.Add(kKey, Begun(1), kNow));
  EXPECT_EQ(book.Score(kKey), 2);
}

/// A request that happened to be at three engines that ended would be refused to its caller.
TEST(CrashBook, ABystanderOfThreeEndsIsNotHeldBack)
{
  CrashBook book;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(kKey, Present(it), kNow);
  }
  EXPECT_EQ(book.HeldUntil(kKey), TimePoint{});
}

TEST(CrashBook, ARunToTheEndClearsARequest)
{
  CrashBook book;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  EXPECT_TRUE(book.Clear(kKey));
  EXPECT_FALSE(book.Clear(kKey));
  EXPECT_EQ(book.Score(kKey), 0);
  EXPECT_EQ(book.HeldUntil(kKey), TimePoint{});
}

/// A caller that repeats such a request for hours would end three engines each time its quarantine
/// is over.
TEST(CrashBook, EachFurtherEngineDoublesTheTime)
{
  const CrashBookOptions options;
  CrashBook book;
  for (std::uint64_t it = 1; it <= 4; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  EXPECT_EQ(book.HeldUntil(kKey), kNow + 2 * options.mQuarantine);
  for (std::uint64_t it = 5; it <= CrashBook::kMostEnds + 5; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  EXPECT_EQ(book.HeldUntil(kKey), kNow + options.mMostQuarantine);
}

/// A bystander of three ends of one cause would be refused with it for ten minutes.
TEST(CrashBook, EndsOfAStrongerCauseAreNotChargedToBystanders)
{
  const RequestKey bystander{ 1, 3 };
  CrashBook book;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(bystander, Begun(it), kNow);
  }
  EXPECT_GT(book.HeldUntil(bystander), kNow);
  for (std::uint64_t it = 1; it <= 4; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  EXPECT_GT(book.HeldUntil(kKey), kNow);
  EXPECT_EQ(book.Charge(bystander), 0);
  EXPECT_EQ(book.HeldUntil(bystander), TimePoint{});
  EXPECT_EQ(book.Suspects().count(bystander), 0U);
  book.Clear(kKey); // and then it is one of them again
  EXPECT_GT(book.HeldUntil(bystander), kNow);
}

/// Two causes at a time would excuse one another, and both go on ending engines.
TEST(CrashBook, ACauseIsChargedWithItsOwnEndsBesideAnother)
{
  const RequestKey other{ 1, 3 };
  CrashBook book;
  for (std::uint64_t it = 1; it <= 5; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  book.Add(other, Begun(5), kNow);
  for (std::uint64_t it = 6; it <= 7; ++it) {
    book.Add(other, Begun(it), kNow);
    book.Add(kKey, Present(it), kNow);
  }
  EXPECT_EQ(book.Charge(other), 4);
  book.Add(other, Begun(8), kNow);
  EXPECT_EQ(book.Charge(other), 6);
  EXPECT_GT(book.HeldUntil(other), kNow + minutes(1));
  EXPECT_GT(book.HeldUntil(kKey), kNow + minutes(1));
}

/// A session that was at one engine of each of three causes would be refused for ten minutes.
TEST(CrashBook, ABystanderOfOneEndOfEachOfThreeCausesIsNotHeldBack)
{
  const RequestKey bystander{ 2, 9 };
  CrashBook book;
  for (std::uint64_t cause = 1; cause <= 3; ++cause) {
    book.Add(bystander, Begun(10 * cause), kNow);
  }
  EXPECT_GT(book.HeldUntil(bystander), kNow);
  for (std::uint64_t cause = 1; cause <= 3; ++cause) {
    for (std::uint64_t it = 0; it < 3; ++it) {
      book.Add({ 1, cause }, Begun(10 * cause + it), kNow);
    }
  }
  EXPECT_EQ(book.Charge(bystander), 0);
  for (std::uint64_t cause = 1; cause <= 3; ++cause) {
    EXPECT_EQ(book.Charge({ 1, cause }), 6);
  }
}

/// What cannot be told apart is held back together; let go, the cause would end a fourth engine.
TEST(CrashBook, EqualCausesDoNotExcuseOneAnother)
{
  const RequestKey other{ 1, 3 };
  CrashBook book;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(kKey, Begun(it), kNow);
    book.Add(other, Begun(it), kNow);
  }
  EXPECT_GT(book.HeldUntil(kKey), kNow + minutes(1));
  EXPECT_GT(book.HeldUntil(other), kNow + minutes(1));
}

TEST(CrashBook, ForgetsARequestAnHourAfterItMayRunAgain)
{
  const CrashBookOptions options;
  CrashBook book;
  book.Add(kKey, Begun(1), kNow);
  EXPECT_TRUE(book.Expire(kNow + options.mRemember - milliseconds(1)).empty());
  EXPECT_EQ(book.Expire(kNow + options.mRemember).size(), 1U);
  EXPECT_EQ(book.Size(), 0U);
}

/// A time of an end that lies ahead, of a node whose word is broken, would hold for ever.
TEST(CrashBook, AnEndIsNeverLaterThanNow)
{
  CrashBook book;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(kKey, Begun(it, kNow + std::chrono::hours(99)), kNow);
  }
  EXPECT_EQ(book.HeldUntil(kKey), kNow + CrashBookOptions().mQuarantine);
}

/// A cause that has made room for another would excuse what is charged with its ends for ever.
TEST(CrashBook, EndsOfACauseThatIsForgottenAreChargedAgain)
{
  CrashBookOptions options;
  options.mMost = 2;
  CrashBook book(options);
  const RequestKey other{ 1, 3 };
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  for (std::uint64_t it = 11; it <= 14; ++it) {
    book.Add(other, Begun(it), kNow + seconds(1));
  }
  book.Add({ 1, 4 }, Begun(1), kNow + seconds(2)); // of the first two the less suspected goes
  EXPECT_EQ(book.Score(kKey), 0);
  EXPECT_EQ(book.Charge({ 1, 4 }), 2);
}

/// Callers that send many such requests would fill the memory, or push out what is held back.
TEST(CrashBook, KeepsABoundedNumberAndTheMostSuspectedOfThem)
{
  CrashBookOptions options;
  options.mMost = 10;
  CrashBook book(options);
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.Add(kKey, Begun(it), kNow);
  }
  for (std::uint64_t it = 0; it < 200; ++it) {
    book.Add({ 7, it }, Begun(it), kNow + milliseconds(it));
  }
  EXPECT_EQ(book.Size(), 10U);
  EXPECT_EQ(book.Score(kKey), 6);
  EXPECT_EQ(book.Score({ 7, 199 }), 2);
}

/// Nodes that hear of the same ends in another order, or several times, would disagree on whom to
/// refuse.
RC_GTEST_PROP(CrashBookProperty, BooksThatHeardTheSameAgree, ())
{
  struct Heard
  {
    RequestKey mKey;
    EngineEnd mEnd;
  };
  std::vector<Heard> heard;
  const auto n = *rc::gen::inRange<std::size_t>(0, 40);
  for (std::size_t i = 0; i < n; ++i) {
    heard.push_back({ { 1, *rc::gen::inRange<std::uint64_t>(0, 4) },
                      { *rc::gen::inRange<std::uint64_t>(0, 6),
                        *rc::gen::element(Suspicion::kPresent, Suspicion::kBegun),
                        kNow - seconds(*rc::gen::inRange(0, 60)) } });
  }
  CrashBook one;
  CrashBook other;
  for (const auto& it : heard) {
    one.Add(it.mKey, it.mEnd, kNow);
  }
  std::vector<Heard> again = heard;
  again.insert(again.end(), heard.begin(), heard.end());
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  std::shuffle(again.begin(), again.end(), random);
  for (const auto& it : again) {
    other.Add(it.mKey, it.mEnd, kNow);
  }
  RC_ASSERT(one.Size() == other.Size());
  for (const auto& it : one.Keys()) {
    RC_ASSERT(one.Score(it) == other.Score(it));
    RC_ASSERT(one.Charge(it) == other.Charge(it));
    RC_ASSERT(one.Ends(it).size() == other.Ends(it).size());
    RC_ASSERT((one.HeldUntil(it) == TimePoint{}) == (other.HeldUntil(it) == TimePoint{}));
  }
}

/// A whole domain ends at one moment, and what moved elsewhere runs to its end: none of the
/// requests there may be refused, nor those of a second domain that ends later.
RC_GTEST_PROP(CrashBookProperty, EndsAtOneMomentHoldNobodyBack, ())
{
  CrashBook book;
  const auto engines = *rc::gen::inRange<std::uint64_t>(1, 12);
  const auto requests = *rc::gen::inRange<std::uint64_t>(1, 300);
  for (std::uint64_t it = 0; it < requests; ++it) {
    const auto suspicion = *rc::gen::element(Suspicion::kPresent, Suspicion::kBegun);
    book.Add({ 1, it }, { it % engines, suspicion, kNow }, kNow); // each is at one engine only
  }
  for (std::uint64_t it = 0; it < requests; ++it) {
    RC_ASSERT(book.HeldUntil({ 1, it }) == TimePoint{});
  }
}

TEST(EngineStartHash, TellsStartsOfOneEngineApart)
{
  EXPECT_EQ(EngineStartHash("e", WallTime(milliseconds(1))),
            EngineStartHash("e", WallTime(milliseconds(1))));
  EXPECT_NE(EngineStartHash("e", WallTime(milliseconds(1))),
            EngineStartHash("e", WallTime(milliseconds(2))));
}

} // namespace
} // namespace pepperbay
