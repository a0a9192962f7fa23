#include "pepperbay/relay/event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

TEST(EventSplitter, ReturnsCompleteEventsOnly)
{
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: a\n\nid: 2\nda");
  auto event = splitter.Next();
  ASSERT_TRUE(event);
  EXPECT_EQ(event->mBytes, "id: 1\ndata: a\n\n");
  EXPECT_EQ(event->mId, 1U);
  EXPECT_FALSE(splitter.Next());
  EXPECT_TRUE(splitter.HasPartial());
  splitter.Feed("ta: b\r\n\r\n");
  event = splitter.Next();
  ASSERT_TRUE(event);
  EXPECT_EQ(event->mId, 2U);
  EXPECT_FALSE(splitter.HasPartial());
}

TEST(EventSplitter, AnIdThatIsNoNumberIsNone)
{
  EventSplitter splitter;
  splitter.Feed("id: x\ndata: id: 7\n\n");
  const auto event = splitter.Next();
  ASSERT_TRUE(event);
  EXPECT_FALSE(event->mId);
}

/// Guards against quadratic run time: if each piece restarted the search for the event's end from
/// its beginning, this test would take minutes.
TEST(EventSplitter, AnUnterminatedEventIsScannedOnce)
{
  constexpr std::size_t kPiece = 256;
  constexpr std::size_t kAll = std::size_t{ 64 } << 20U;
  EventSplitter splitter;
  const std::string piece(kPiece, 'a');
  for (std::size_t n = 0; n < kAll; n += kPiece) {
    splitter.Feed(piece);
    ASSERT_FALSE(splitter.Next());
  }
  for (const char* it : { "\r", "\n", "\r" }) {
    splitter.Feed(it);
    ASSERT_FALSE(splitter.Next());
  }
  splitter.Feed("\n");
  EXPECT_EQ(splitter.Next()->mBytes.size(), kAll + 4);
}

/// The events do not depend on how the bytes are split into pieces, and no bytes are lost.
RC_GTEST_PROP(EventSplitter, EventsDoNotDependOnHowBytesAreSplit, ())
{
  std::string all;
  const auto count = *rc::gen::inRange(0, 20);
  for (int i = 0; i < count; ++i) {
    all += "id: " + std::to_string(i + 1) +
           "\ndata: " + std::string(*rc::gen::inRange<std::size_t>(0, 30), 'x') + "\n\n";
  }
  EventSplitter splitter;
  std::string out;
  std::uint64_t last = 0;
  for (std::size_t at = 0; at < all.size();) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 25);
    splitter.Feed(std::string_view(all).substr(at, n));
    at += n;
    while (auto event = splitter.Next()) {
      RC_ASSERT(event->mId == ++last);
      out += event->mBytes;
    }
  }
  RC_ASSERT(out == all);
  RC_ASSERT(!splitter.HasPartial());
}

} // namespace
} // namespace pepperbay
