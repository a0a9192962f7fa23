/// Answers without a length or chunks, whose end is the close of the connection.
#include "relay_fixture.hpp"

#include <array>
#include <cerrno>
#include <future>

namespace pepperbay {
namespace {

constexpr const char* kEventA = "id: 1\ndata: a\n\n";
constexpr const char* kEventB = "id: 2\ndata: b\n\n";
constexpr const char* kLastChunk = "\r\n0\r\n\r\n";

std::string
OpenHead()
{
  return std::string(kHead) + "\r\n";
}

class RelayUntilClose : public RelayTest
{
protected:
  std::string AskStream() const { return Ask(Post("/stream/", "x", "Model: m\r\n")); }
};

TEST_F(RelayUntilClose, AStreamThatEndsBetweenEventsIsWhole)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(OpenHead() + kEventA + kEventB);
  });
  Serve({ &engine });
  const std::string answer = AskStream();
  EXPECT_TRUE(Has(answer, "data: b")) << answer;
  EXPECT_TRUE(Has(answer, kLastChunk)) << answer;
}

/// Guards against cutting a stream that ended inside an event, although another engine could resume
/// it.
TEST_F(RelayUntilClose, AStreamThatEndsInsideAnEventGoesOnElsewhere)
{
  RawEngine first([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(OpenHead() + kEventA + "id: 2\nda");
  });
  std::string asked;
  RawEngine second([&](RawConnection& aConnection) {
    asked = aConnection.ReadRequest();
    aConnection.Write(OpenHead() + kEventB);
  });
  Serve({ &first, &second });
  mPlan.mReplicas["pool"][1].mHead.mDataCentre = "far"; // makes the first engine the preferred one
  Publish();
  const std::string answer = AskStream();
  EXPECT_TRUE(Has(asked, "Last: 1")) << asked;
  EXPECT_TRUE(Has(answer, "data: a")) << answer;
  EXPECT_TRUE(Has(answer, "data: b")) << answer;
  EXPECT_TRUE(Has(answer, kLastChunk)) << answer;
}

/// Guards against missing the exit of an engine inside an event: the close of its connection looks
/// like the end of the answer.
TEST_F(RelayUntilClose, AnEngineExitInsideAnEventIsReported)
{
  std::promise<void> asked;
  std::promise<void> ends;
  auto engine = std::make_unique<RawEngine>([&](RawConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    aConnection.Write(OpenHead() + kEventA + "id: 2\nda");
    asked.set_value();
    ends.get_future().wait();
  });
  Serve({ engine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  asked.get_future().wait();
  std::thread ending([&] { engine.reset(); });
  ends.set_value();
  ending.join();
  EXPECT_FALSE(Has(answer.get(), kLastChunk));
  std::unique_lock<std::mutex> lock(mRecordsMutex);
  EXPECT_TRUE(mRecordsChanged.wait_for(lock, seconds(20), [this] { return !mExits.empty(); }));
}

/// Guards against taking a reset for the end of the answer, so that a partial answer looks
/// complete.
TEST_F(RelayUntilClose, AnAnswerThatIsResetIsNotWhole)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(OpenHead() + "half");
    aConnection.Reset();
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Post("/once/", "x", "Key: k1\r\n"))), 502);
}

TEST_F(RelayUntilClose, AnAnswerToHeadHasNoBody)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(OpenHead());
  });
  Serve({ &engine });
  const std::string answer =
    Ask("HEAD /safe/ HTTP/1.1\r\nHost: h\r\nReq: q1\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(StatusOf(answer), 200);
  EXPECT_EQ(answer.substr(answer.find("\r\n\r\n")), "\r\n\r\n");
}

/// For an HTTP/1.0 caller, which does not support chunks, the close of the connection ends the
/// answer. Guards against an orderly close that makes a truncated stream look complete.
TEST_F(RelayUntilClose, ACallerWithoutChunksSeesABrokenOffStreamReset)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(OpenHead() + kEventA + "id: 2\nda");
  });
  Serve({ &engine });
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(
    "POST /stream/ HTTP/1.0\r\nHost: h\r\nReq: q1\r\nModel: m\r\nContent-Length: 1\r\n\r\nx");
  std::array<char, 4096> bytes{};
  ssize_t n = 0;
  do {
    n = ::recv(socket, bytes.data(), bytes.size(), 0);
  } while (n > 0);
  EXPECT_EQ(n, -1);
  EXPECT_EQ(errno, ECONNRESET);
  ::close(socket);
}

} // namespace
} // namespace pepperbay
