#include "relay_fixture.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pepperbay {
namespace {

/// A HEAD request, and what is expected of the answer.
struct HeadCase
{
  std::string mPath;
  std::string mHeaders;
  std::string mBody; ///< of the request
  int mStatus = 0;
  bool mKeeps = true; ///< the connection is used for another request
};

class BodilessAnswers : public RelayTest
{
protected:
  /// The answer to the request behind the first begins so.
  static constexpr std::string_view kNextAnswer = "HTTP/1.1 404";

  static std::string Head(const HeadCase& aCase)
  {
    const std::string length =
      aCase.mBody.empty() ? "" : "Content-Length: " + std::to_string(aCase.mBody.size()) + "\r\n";
    return "HEAD " + aCase.mPath + " HTTP/1.1\r\nHost: h\r\nReq: q1\r\n" + aCase.mHeaders + length +
           "\r\n" + aCase.mBody;
  }

  /// Sends a request and another one behind it. @return all bytes that follow the first header
  std::string AfterHeader(const std::string& aRequest, int aStatus) const
  {
    const std::string bytes = Ask(aRequest + Get("/nowhere/"));
    EXPECT_EQ(StatusOf(bytes), aStatus) << bytes;
    const std::size_t end = bytes.find("\r\n\r\n");
    return end == std::string::npos ? bytes : bytes.substr(end + 4);
  }

  void Check(const HeadCase& aCase) const
  {
    SCOPED_TRACE("HEAD " + aCase.mPath + ", " + std::to_string(aCase.mStatus));
    const std::string rest = AfterHeader(Head(aCase), aCase.mStatus);
    EXPECT_EQ(rest.substr(0, kNextAnswer.size()), aCase.mKeeps ? kNextAnswer : std::string_view());
  }
};

/// Guards against a body in this node's own answer to HEAD, which callers take for the start of
/// their next answer.
TEST_F(BodilessAnswers, OwnAnswersToHeadHaveNoBody)
{
  RawEngine engine([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  Serve({ &engine });
  const std::vector<HeadCase> cases = {
    { "/once/", "", "", 401 },
    { "/nowhere/", "", "", 404 },
    { "/safe/", "Bad: 1\r\n", "", 400 },
    { "/stream/", "Model: unknown\r\n", "", 503 },
    { "/once/", "Key: k1\r\n", "", 502 }, // the engine closes the connection
    { "/safe/", "", std::string(2000, 'b'), 413, false },
    { "/safe/", "X: " + std::string(20000, 'a') + "\r\n", "", 431, false },
  };
  for (const auto& it : cases) {
    Check(it);
  }
  EXPECT_FALSE(Has(AfterHeader(Get("/once/"), 401), "HTTP/1.1")) << "GET has a body, and closes";
}

/// Guards against the end of a chunked body after the header of a stream that HEAD asks for.
TEST_F(BodilessAnswers, AStreamThatHeadAsksForHasNoBody)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) +
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    aConnection.ReadToEnd();
  });
  Serve({ &engine });
  Check({ "/stream/", "Model: m\r\n", "", 200 });
}

/// Guards against a length or a body where the status allows none.
TEST_F(BodilessAnswers, EnginesAnswersWithoutABodyArePassedOnAsTheyAre)
{
  for (const int status : { 204, 304 }) {
    for (const char* method : { "GET", "HEAD" }) {
      SCOPED_TRACE(std::string(method) + " " + std::to_string(status));
      RawEngine engine([status](RawConnection& aConnection) {
        aConnection.ReadRequest();
        aConnection.Write("HTTP/1.1 " + std::to_string(status) +
                          " X\r\nReq: q1\r\nSeal: s\r\nETag: \"x\"\r\n\r\n");
        aConnection.ReadRequest();
      });
      Serve({ &engine });
      const std::string request =
        std::string(method) + " /safe/ HTTP/1.1\r\nHost: h\r\nReq: q1\r\n\r\n";
      const std::string bytes = Ask(request + Get("/nowhere/"));
      EXPECT_EQ(StatusOf(bytes), status);
      const std::string head = bytes.substr(0, bytes.find("\r\n\r\n"));
      EXPECT_FALSE(Has(head, "Content-Length")) << head;
      EXPECT_EQ(StatusOf(bytes.substr(head.size() + 4)), 404);
      TearDown();
      mContext.restart();
      mPlan = {};
    }
  }
}

} // namespace
} // namespace pepperbay
