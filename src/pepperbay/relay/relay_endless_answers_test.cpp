/// Engines that send endless bytes that never form an answer.
#include "relay_fixture.hpp"

#include <future>

namespace pepperbay {
namespace {

/// Size in bytes of an answer that exceeds the buffer limit in these tests.
constexpr std::size_t kLarge = std::size_t{ 1 } << 20U;

class RelayEndlessAnswers : public RelayTest
{
protected:
  /// Writes a piece repeatedly until the relay closes the connection.
  static RawEngine::Script Repeats(const std::string& aFirst, const std::string& aPiece)
  {
    return [aFirst, aPiece](RawConnection& aConnection) {
      if (aConnection.ReadRequest().empty()) {
        return;
      }
      for (bool open = aConnection.Write(aFirst); open;) {
        open = aConnection.Write(aPiece);
      }
    };
  }

  static std::string Once() { return Post("/once/", "x", "Key: k1\r\n"); }

  const std::string mPiece = std::string(4096, 'a');
};

/// Guards against a caller that waits until its deadline while the engine sends interim answers.
TEST_F(RelayEndlessAnswers, EndlessInterimAnswersAreRejected)
{
  RawEngine engine(Repeats("", "HTTP/1.1 102 Processing\r\n\r\n"));
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Once())), 502);
}

TEST_F(RelayEndlessAnswers, AFewInterimAnswersAreSkipped)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" +
                      std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Once())), 200);
}

/// Guards against running out of memory by buffering an endless header.
TEST_F(RelayEndlessAnswers, AnEndlessHeaderIsRejected)
{
  RawEngine engine(Repeats("HTTP/1.1 200 OK\r\nA: ", mPiece));
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Once())), 502);
}

/// As above, for an endless chunk extension before the first byte of a chunk.
TEST_F(RelayEndlessAnswers, AnEndlessChunkSizeIsRejected)
{
  RawEngine engine(Repeats(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n5;", mPiece));
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Once())), 502);
}

/// As above, for endless trailers after the last chunk.
TEST_F(RelayEndlessAnswers, EndlessTrailersAreRejected)
{
  RawEngine engine(Repeats(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                           "A: " + mPiece + "\r\n"));
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Once())), 502);
}

/// Guards against running out of memory by several answers that are each within the limit.
TEST_F(RelayEndlessAnswers, BodiesAreBoundedTogetherAndSmallAnswersServed)
{
  constexpr std::size_t kHalf = std::size_t{ 300 } << 10U;
  RelayOptions options;
  options.mMaxBufferedBytes = std::size_t{ 512 } << 10U;
  std::promise<void> over;
  RawEngine engine([&](RawConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (Has(request, "slow")) {
      aConnection.Write(std::string(kHead) + "\r\n" + std::string(kHalf, 'a'));
      over.get_future().wait();
    } else if (Has(request, "large")) {
      aConnection.Write(std::string(kHead) + "\r\n" + std::string(kLarge, 'a'));
    } else {
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
    }
  });
  Serve({ &engine }, options);
  auto slow =
    std::async(std::launch::async, [this] { return Ask(Post("/once/", "slow", "Key: k1\r\n")); });
  while (Counters().mBufferedBytes < kHalf) {
  }
  EXPECT_EQ(StatusOf(Ask(Post("/once/", "large", "Key: k1\r\n"))), 502);
  EXPECT_EQ(StatusOf(Ask(Once())), 200);
  over.set_value();
  EXPECT_EQ(StatusOf(slow.get()), 200);
  EXPECT_EQ(Counters().mBufferedBytes, 0U);
}

/// As above, for large events, each of which would be complete in the end.
TEST_F(RelayEndlessAnswers, EventsAreBoundedTogetherWithBodies)
{
  RelayOptions options;
  options.mMaxBufferedBytes = std::size_t{ 512 } << 10U;
  mStreamAttempts = 1;
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "\r\ndata: " + std::string(kLarge, 'a') + "\n\n");
  });
  Serve({ &engine }, options);
  EXPECT_EQ(StatusOf(Ask(Post("/stream/", "x", "Model: m\r\n"))), 502);
}

} // namespace
} // namespace pepperbay
