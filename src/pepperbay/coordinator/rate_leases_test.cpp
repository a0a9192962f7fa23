#include "pepperbay/coordinator/rate_leases.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Centres = std::vector<std::string>;

const TimePoint kStart{ std::chrono::hours(1) };

TEST(RateLeases, OneNodeCountsInADataCentreUntilItsTimeHasRunOut)
{
  RateLeaseTable book;
  book.Begin(1, kStart);
  TimePoint now = kStart + seconds(2);
  EXPECT_EQ(book.Grant({ "d1", 1, 5 }, { "a", "b" }, now), (Centres{ "a", "b" }));
  EXPECT_EQ(book.Grant({ "d2", 1, 5 }, { "a", "c" }, now), (Centres{ "c" }));
  now += milliseconds(900);
  EXPECT_EQ(book.Grant({ "d1", 1, 5 }, { "a" }, now), (Centres{ "a" }));
  now += milliseconds(1010);
  EXPECT_EQ(book.Grant({ "d2", 1, 5 }, { "a" }, now), Centres{}) << "a slow clock may run on";
  now += milliseconds(10);
  EXPECT_EQ(book.Grant({ "d2", 1, 5 }, { "a" }, now), (Centres{ "a" }));
}

/// Guards against two nodes that count when the holder of the lease changes.
TEST(RateLeases, ANewHolderWaitsForWhatTheLastOneGave)
{
  RateLeaseTable book;
  book.Begin(7, kStart);
  EXPECT_EQ(book.Grant({ "d1", 1, 5 }, { "a" }, kStart + milliseconds(1019)), Centres{});
  EXPECT_EQ(book.Grant({ "d1", 1, 5 }, { "a" }, kStart + milliseconds(1020)), Centres{ "a" });
  book.Begin(7, kStart + seconds(2));
  EXPECT_EQ(book.Grant({ "d1", 1, 5 }, { "a" }, kStart + seconds(2)), Centres{ "a" });
  book.Begin(9, kStart + seconds(2));
  EXPECT_EQ(book.Grant({ "d1", 1, 5 }, { "a" }, kStart + seconds(2)), Centres{});
}

/// Guards against a desk that only one cut-off node follows keeping the right from all others.
TEST(RateLeases, ADeskThatFewFollowGivesWayToOneThatMostFollow)
{
  RateLeaseTable book;
  book.Begin(1, kStart);
  TimePoint now = kStart + seconds(2);
  EXPECT_EQ(book.Grant({ "few", 1, 1 }, { "a" }, now), Centres{ "a" });
  bool given = false;
  for (int i = 0; i < 8 && !given; ++i) {
    now += milliseconds(200);
    given = !book.Grant({ "most", 1, 24 }, { "a" }, now).empty();
    if (!given) {
      book.Grant({ "few", 1, 1 }, { "a" }, now);
    }
  }
  EXPECT_TRUE(given);
  EXPECT_EQ(book.Grant({ "few", 1, 1 }, { "a" }, now + seconds(1)), Centres{});
}

TEST(RateLeases, WhatIsGivenLateIsNotTaken)
{
  HeldRateLeases hold;
  hold.OnGranted({ "a" }, kStart, seconds(1), kStart + seconds(1));
  EXPECT_TRUE(hold.Current(kStart + seconds(1)).empty());
  hold.OnGranted({ "a" }, kStart + seconds(5), seconds(1), kStart + seconds(2));
  EXPECT_TRUE(hold.Current(kStart + seconds(2)).empty()) << "no question of this process";
  hold.OnGranted({ "a" }, kStart + seconds(3), seconds(1), kStart + milliseconds(3900));
  const auto leases = hold.Current(kStart + milliseconds(3950));
  ASSERT_EQ(leases.count("a"), 1U);
  EXPECT_EQ(leases.at("a").mSince, kStart + milliseconds(3900));
  EXPECT_EQ(leases.at("a").mUntil, kStart + seconds(4));
  EXPECT_TRUE(hold.Current(kStart + seconds(4)).empty());
}

TEST(RateLeases, ARightThatWasRenewedInTimeHasNoBreak)
{
  HeldRateLeases hold;
  hold.OnGranted({ "a" }, kStart, seconds(1), kStart);
  hold.OnGranted({ "a" }, kStart + milliseconds(800), seconds(1), kStart + milliseconds(900));
  EXPECT_EQ(hold.Current(kStart + milliseconds(1500)).at("a").mSince, kStart);
  hold.OnGranted({ "a" }, kStart + seconds(3), seconds(1), kStart + seconds(3));
  EXPECT_EQ(hold.Current(kStart + seconds(3)).at("a").mSince, kStart + seconds(3));
}

/// Guards against two nodes that count for one data centre at once.
/// Property: whatever is lost, late or doubled, whoever freezes, restarts or takes the lease over,
/// at any moment at most one node holds the right.
RC_GTEST_PROP(RateLeasesProperty, AtMostOneNodeCounts, ())
{
  struct Desk
  {
    std::uint64_t mIncarnation = 1;
    HeldRateLeases mHold;
    TimePoint mFrozenUntil{};
  };
  struct Message
  {
    std::size_t mDesk = 0;
    std::uint64_t mIncarnation = 0;
    TimePoint mAskedAt{};
    std::optional<Centres> mGiven; ///< none: a question
    TimePoint mArrives{};
  };
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto chance = [&](int aPercent) { return static_cast<int>(random() % 100) < aPercent; };
  const auto upTo = [&](int aMs) { return milliseconds(random() % static_cast<unsigned>(aMs)); };
  std::vector<Desk> desks(4);
  std::vector<RateLeaseTable> holders(2);
  std::size_t holder = 0;
  std::uint64_t fence = 1;
  std::deque<Message> wire;
  TimePoint now = kStart;
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(20);
    if (chance(2)) {
      holder = 1 - holder; // the lease itself is held by one at a time
      ++fence;
    }
    for (std::size_t i = 0; i < desks.size(); ++i) {
      if (chance(2)) {
        desks[i].mFrozenUntil = now + upTo(3000);
      }
      if (chance(1)) {
        desks[i] = Desk{ desks[i].mIncarnation + 1, {}, now + upTo(300) };
      }
      if (now >= desks[i].mFrozenUntil && chance(15)) {
        const Message question{ i, desks[i].mIncarnation, now, std::nullopt, now + upTo(50) };
        for (int copies = chance(20) ? 0 : chance(10) ? 2 : 1; copies > 0; --copies) {
          wire.push_back(question);
          wire.back().mArrives = now + (chance(10) ? upTo(3000) : upTo(50));
        }
      }
    }
    for (std::size_t n = wire.size(); n > 0; --n) {
      Message message = wire.front();
      wire.pop_front();
      Desk& desk = desks[message.mDesk];
      if (now < message.mArrives || (message.mGiven && now < desk.mFrozenUntil)) {
        wire.push_back(message);
      } else if (message.mGiven) {
        if (desk.mIncarnation == message.mIncarnation) {
          desk.mHold.OnGranted(*message.mGiven, message.mAskedAt, seconds(1), now);
        }
      } else {
        holders[holder].Begin(fence, now);
        const RateLeaseRequester asker{ std::to_string(message.mDesk), message.mIncarnation, 3 };
        message.mGiven = holders[holder].Grant(asker, { "a" }, now);
        message.mArrives = now + (chance(10) ? upTo(3000) : upTo(50));
        wire.push_back(message);
      }
    }
    int counting = 0;
    for (auto& it : desks) {
      counting += it.mHold.Current(now).count("a") != 0 ? 1 : 0;
    }
    RC_ASSERT(counting <= 1);
  }
}

} // namespace
} // namespace pepperbay
