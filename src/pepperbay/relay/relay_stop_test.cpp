#include "relay_fixture.hpp"

namespace pepperbay {
namespace {

/// A relay with a manual clock that is asked to stop while one request is in progress.
class RelayStop : public RelayTest
{
protected:
  void ServeAndBegin()
  {
    mEngine = std::make_unique<RawEngine>([this](RawConnection& aConnection) {
      aConnection.ReadRequest();
      mBegan.set_value();
      mAnswer.get_future().wait();
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
    });
    RelayOptions options;
    options.mNow = mClock.Hook();
    Serve({ mEngine.get() }, options);
    mInProgress =
      std::async(std::launch::async, [this] { return Ask(Post("/once/", "x", "Key: k1\r\n")); });
    mBegan.get_future().wait();
  }

  void BeginStop()
  {
    std::promise<void> asked;
    asio::post(mContext, [&] {
      mRelay->BeginStop([this] { mStopped.set_value(); });
      asked.set_value();
    });
    asked.get_future().wait();
  }

  static std::string KeepAliveGet(const std::string& aPath)
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\nReq: q1\r\n\r\n";
  }

  SharedClock mClock;
  std::unique_ptr<RawEngine> mEngine;
  std::promise<void> mBegan;
  std::promise<void> mAnswer;
  std::promise<void> mStopped;
  std::future<std::string> mInProgress;
};

/// Guards against lost answers when a node is stopped: one request is in progress, one connection
/// is idle, and on a third half a request has arrived. Answers are lost if the process exits before
/// the load balancer stops sending, or accepts requests that it cannot finish.
TEST_F(RelayStop, AnswersWhatIsInProgressAndRefusesWhatComesLate)
{
  ServeAndBegin();
  const int idle = Connect();
  RawConnection idleSide(idle);
  idleSide.Write(KeepAliveGet("/nowhere/"));
  EXPECT_TRUE(Has(idleSide.ReadAnswer(), " 404 "));
  const int half = Connect();
  RawConnection halfSide(half);
  const std::string next = KeepAliveGet("/safe/");
  halfSide.Write(KeepAliveGet("/nowhere/") + next.substr(0, next.size() - 2));
  EXPECT_TRUE(Has(halfSide.ReadAnswer(), " 404 "));
  BeginStop();
  EXPECT_EQ(StatusOf(Ask(Get("/nowhere/"))), 404); // the load balancer may still send requests
  mClock.Advance(RelayOptions().mStopGrace);
  EXPECT_EQ(idleSide.ReadToEnd(), ""); // closed
  halfSide.Write(next.substr(next.size() - 2));
  const std::string late = halfSide.ReadToEnd();
  EXPECT_EQ(StatusOf(late), 503) << late;
  EXPECT_TRUE(Has(late, "\"ran\":\"no\""));
  EXPECT_TRUE(Has(late, "Retry-After: "));
  EXPECT_EQ(mEngine->Connections(), 1);
  mAnswer.set_value();
  EXPECT_EQ(StatusOf(mInProgress.get()), 200);
  ::close(half);
  ::close(idle);
  mStopped.get_future().wait();
}

/// Guards against an error body that denies a request has run when an engine has read it and then
/// stayed silent until the deadline. It happens if the outcome is updated after the body is built,
/// so that only the status reflects it.
TEST_F(RelayStop, ARequestWithoutAnAnswerInTimeIsReportedAsUnknown)
{
  ServeAndBegin();
  mClock.Advance(seconds(20)); // the route's timeout
  const std::string answer = mInProgress.get();
  EXPECT_EQ(StatusOf(answer), 504);
  EXPECT_TRUE(Has(answer, "\"ran\":\"unknown\"")) << answer;
  mAnswer.set_value();
}

/// A process that reaches its stop time-out answers its remaining callers before it exits. Guards
/// against a body that says "not run" for requests that engines have read.
TEST_F(RelayStop, RequestsUnfinishedAtTheStopTimeoutAreAnsweredBeforeExit)
{
  ServeAndBegin();
  BeginStop();
  mClock.Advance(RelayTuning().mMaxStopTime);
  const std::string answer = mInProgress.get();
  EXPECT_EQ(StatusOf(answer), 502);
  EXPECT_TRUE(Has(answer, "\"ran\":\"unknown\""));
  mStopped.get_future().wait();
  mAnswer.set_value();
}

/// Guards against a missing log line when a caller's connection closes during a half-read request.
TEST_F(RelayTest, AConnectionThatClosesDuringAHalfReadRequestIsLogged)
{
  Serve({});
  const int socket = Connect();
  RawConnection(socket).Write("GET /safe/ HTTP/1.1\r\nHost");
  ::close(socket);
  const auto fields = AwaitLogLine("connection_closed");
  EXPECT_EQ(fields.at("phase"), "reading");
  EXPECT_FALSE(fields.at("reason").empty());
}

} // namespace
} // namespace pepperbay
