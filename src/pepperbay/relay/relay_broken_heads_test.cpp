/// Engines that close in the middle of their answer's head: no caller may take that for an answer.
#include "relay_reach_fixture.hpp"

namespace pepperbay {
namespace {

/// Heads of an engine's answer; the second and the third are preceded by an interim answer.
std::vector<std::string>
Heads()
{
  const std::string head = std::string(kHead) + "Content-Length: 2\r\n\r\n";
  return { head,
           "HTTP/1.1 100 Continue\r\n\r\n" + head,
           "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + head };
}

class RelayBrokenHeads : public RelayReach
{
protected:
  /// Reads a request, writes a part of a head and closes, in good order or with a reset.
  void BreakOff(RawConnection& aConnection)
  {
    if (aConnection.ReadRequest().empty()) {
      return; // only connected to, to see whether it lives
    }
    const std::lock_guard<std::mutex> lock(mPartMutex);
    aConnection.Write(mPart);
    if (mResets) {
      aConnection.Reset();
    }
  }

  void CheckAllKinds()
  {
    const std::vector<std::string> requests = { Get("/safe/"),
                                                Get("/once/", "Key: k1\r\n"),
                                                Post("/stream/", "x", "Model: m\r\n"),
                                                "HEAD" + Get("/safe/").substr(3) };
    for (const auto& head : Heads()) {
      for (std::size_t n = 0; n < head.size(); ++n) {
        for (const bool resets : { false, true }) {
          {
            const std::lock_guard<std::mutex> lock(mPartMutex);
            mPart = head.substr(0, n);
            mResets = resets;
          }
          for (const auto& request : requests) {
            const int status = StatusOf(Ask(request));
            EXPECT_GE(status, 500) << request << "after '" << head.substr(0, n) << "'";
          }
        }
      }
    }
  }

  std::mutex mPartMutex;
  std::string mPart;
  bool mResets = false;
};

/// Guards against a 200 with an empty body for a head that an engine breaks off.
TEST_F(RelayBrokenHeads, AHeadThatBreaksOffIsNoAnswer)
{
  mStreamAttempts = 1; // otherwise a stream waits for a second engine
  RawEngine engine([this](RawConnection& aConnection) { BreakOff(aConnection); });
  Serve({ &engine });
  CheckAllKinds();
}

/// Guards against the same where a peer carries the connection.
TEST_F(RelayBrokenHeads, AHeadThatBreaksOffBehindAPeerIsNoAnswer)
{
  mStreamAttempts = 1;
  ServeBehindPaths([this](RawConnection& aConnection) { BreakOff(aConnection); }, 1);
  Cut(PathState::kReset);
  CheckAllKinds();
  EXPECT_GT(mPeer.TunnelStats().mAnswers["open"], 0U);
}

/// Guards against a stream that looks complete because the engine that was to go on with it broke
/// off in its head.
TEST_F(RelayBrokenHeads, AStreamWhoseSecondEngineBreaksOffInItsHeadIsNotComplete)
{
  std::atomic<int> requests{ 0 };
  const auto script = [&](RawConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    if (requests++ == 0) {
      aConnection.Write(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n" +
                        "f\r\nid: 1\ndata: a\n\n\r\n");
    } else {
      aConnection.Write("HTTP/1.1 200 OK\r\nReq: q1\r\nSeal");
    }
  };
  RawEngine first(script);
  RawEngine second(script);
  Serve({ &first, &second });
  const std::string answer = Ask(Post("/stream/", "x", "Model: m\r\n"));
  EXPECT_GE(requests, 2);
  EXPECT_TRUE(Has(answer, "data: a")) << answer;
  EXPECT_FALSE(Has(answer, "\r\n0\r\n")) << answer;
}

} // namespace
} // namespace pepperbay
