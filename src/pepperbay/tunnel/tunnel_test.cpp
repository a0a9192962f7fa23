/// A tunnel server before a hand-written engine, asked over real sockets.
#include "fakes/no_descriptors.hpp"
#include "fakes/raw_engine.hpp"
#include "fakes/shared_clock.hpp"
#include "pepperbay/tunnel/tunnel_opening.hpp"
#include "pepperbay/tunnel/tunnel_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <gtest/gtest.h>
#include <optional>

namespace pepperbay {
namespace {

namespace asio = boost::asio;

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "0123456789abcdef";

class TunnelTest : public testing::Test
{
protected:
  void Serve(const std::string& aEngineAddress, TunnelServerOptions aOptions = {})
  {
    mAddress = FreeAddress();
    aOptions.mAddress = mAddress;
    aOptions.mKey = kKey;
    aOptions.mNow = mClock.Hook();
    TunnelServerHooks hooks;
    hooks.mAddressOf = [aEngineAddress](const std::string& aEngine) {
      return aEngine == "e" ? aEngineAddress : "";
    };
    hooks.mWhyNot = [this] {
      if (mBeforeConnect) {
        mBeforeConnect();
      }
      return mWhyNot;
    };
    hooks.mOnHeard = [this](const std::string&) { ++mHeard; };
    hooks.mFindSight = [this](const std::string&,
                              TimePoint,
                              const std::function<void(bool)>& aDone) { aDone(mSight); };
    hooks.mLog = [](const char*, const std::map<std::string, std::string>&) {};
    auto server = TunnelServer::Open(mContext, aOptions, hooks, &mCounters);
    ASSERT_TRUE(server.has_value()) << ToString(server.error());
    mServer = std::move(server.value());
    mThread = std::thread([this] { mContext.run(); });
  }

  void TearDown() override
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
    mServer.reset();
  }

  template<class F>
  auto OnThread(F aDo)
  {
    std::promise<decltype(aDo())> promise;
    asio::post(mContext, [&] { promise.set_value(aDo()); });
    return promise.get_future().get();
  }

  TunnelCounters Counters()
  {
    return OnThread([this] { return mCounters; });
  }

  /// Move the clock on and have the server do what is due.
  void Pass(Duration aTime)
  {
    mClock.Advance(aTime);
    OnThread([this] {
      mServer->Tick();
      return 0;
    });
  }

  int Connect() const
  {
    const int socket = ConnectTo(mAddress);
    EXPECT_GE(socket, 0);
    const timeval most{ 10, 0 }; // what should be closed and is not must not hang the test
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
    return socket;
  }

  static std::string Request(const std::string& aEngine = "e",
                             const std::string& aKey = kKey,
                             const std::string& aFrom = "a")
  {
    std::string text = "CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: 10.0.0.1:80\r\n";
    for (const auto& it : HeadersOf({ aEngine, aFrom, aKey, milliseconds(70) })) {
      text += it.mName + ": " + it.mValue + "\r\n";
    }
    return text + "\r\n";
  }

  /// Send bytes as the first ones. @return all that comes until the server closes
  std::string Send(const std::string& aBytes) const
  {
    const int socket = Connect();
    RawConnection connection(socket);
    connection.Write(aBytes);
    std::string answer = connection.ReadToEnd();
    ::close(socket);
    return answer;
  }

  static std::string FirstLine(const std::string& aText)
  {
    return aText.substr(0, aText.find('\r'));
  }

  SharedClock mClock;
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork{ mContext.get_executor() };
  std::string mAddress;
  std::string mWhyNot;
  std::function<void()> mBeforeConnect; ///< on the server's thread
  bool mSight = true;
  std::atomic<int> mHeard{ 0 };
  TunnelCounters mCounters;
  std::unique_ptr<TunnelServer> mServer;
  std::thread mThread;
};

void
Echo(RawConnection& aConnection)
{
  while (!aConnection.ReadRequest().empty()) {
    aConnection.Write("answer");
  }
}

TEST_F(TunnelTest, BytesGoBothWaysAndTheAskersCloseReachesTheEngineAtOnce)
{
  std::promise<void> closed;
  RawEngine engine([&](RawConnection& aConnection) {
    Echo(aConnection);
    closed.set_value();
  });
  Serve(engine.Address());
  const int socket = Connect();
  RawConnection connection(socket);
  connection.Write(Request());
  ASSERT_TRUE(connection.ReadUntil("200 OK\r\n"));
  connection.Write("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(connection.ReadUntil("answer"));
  EXPECT_EQ(Counters().mOpen, 1U);
  ::close(socket);
  closed.get_future().wait();
  EXPECT_GT(mHeard, 0);
  while (Counters().mOpen != 0) {
  }
  EXPECT_EQ(Counters().mFromEngines, 6U);
}

/// Guards against an engine that runs a request which its asker has withdrawn.
TEST_F(TunnelTest, AResetOfTheAskerReachesTheEngineAsAReset)
{
  std::promise<bool> reset;
  RawEngine engine([&](RawConnection& aConnection) { reset.set_value(aConnection.AwaitReset()); });
  Serve(engine.Address());
  const int socket = Connect();
  RawConnection asker(socket);
  asker.Write(Request());
  ASSERT_TRUE(asker.ReadUntil("\r\n\r\n"));
  asker.Write("GET / HTTP/1.1\r\n\r\n");
  asker.Reset();
  ::close(socket);
  EXPECT_TRUE(reset.get_future().get());
}

/// Guards against strangers who reach engines, or anything else, through a node.
TEST_F(TunnelTest, NobodyIsLetInWithoutTheKeyAndToNothingButEngines)
{
  RawEngine engine(&Echo);
  Serve(engine.Address());
  EXPECT_EQ(Send(Request("e", "0123456789abcdeX")), "");
  EXPECT_EQ(Send(Request("e", "0123456789abcde")), "");
  EXPECT_EQ(Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), "");
  EXPECT_EQ(Send("CONNECT " + engine.Address() + " HTTP/1.1\r\nHost: h\r\n\r\n"), "");
  EXPECT_EQ(Send("\x16\x03\x01 not http at all\r\n\r\n"), "");
  EXPECT_EQ(Send(Request() + "bytes before the answer"), "");
  EXPECT_EQ(Counters().mForbidden, 6U);
  EXPECT_EQ(FirstLine(Send(Request("other"))), "HTTP/1.1 404 Not Found");
  EXPECT_EQ(engine.Connections(), 0);
}

/// Guards against connections that are opened and left, which would keep nodes out.
TEST_F(TunnelTest, SlowAskersAreClosedAndOneAddressTakesAnEighthOfTheRoomForThem)
{
  RawEngine engine(&Echo);
  TunnelServerOptions options;
  options.mMostWaiting = 16;
  Serve(engine.Address(), options);
  const int first = Connect();
  const int second = Connect();
  RawConnection slow(first);
  slow.Write("CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost:");
  const int third = Connect();
  EXPECT_EQ(RawConnection(third).ReadToEnd(), "");
  EXPECT_EQ(Counters().mForbidden, 1U) << "two of one address wait already";
  ::close(third);
  Pass(seconds(2));
  EXPECT_EQ(slow.ReadToEnd(), "");
  EXPECT_EQ(RawConnection(second).ReadToEnd(), "");
  ::close(first);
  ::close(second);
  EXPECT_EQ(FirstLine(Send(Request("other"))), "HTTP/1.1 404 Not Found") << "there is room again";
}

/// Guards against a second hop, and against a node that carries others' bytes while it stops.
TEST_F(TunnelTest, ANodeThatCarriesNothingSaysSoAtOnce)
{
  RawEngine engine(&Echo);
  mWhyNot = "unreached";
  Serve(engine.Address());
  EXPECT_EQ(FirstLine(Send(Request())), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(engine.Connections(), 0);
}

TEST_F(TunnelTest, AnEngineThatHasEndedIsSaidToRefuseWithTheWordOfWhetherOthersAnswer)
{
  const std::string gone = FreeAddress();
  Serve(gone);
  const std::string seeing = Send(Request());
  EXPECT_EQ(FirstLine(seeing), "HTTP/1.1 502 Bad Gateway");
  EXPECT_NE(seeing.find(kTunnelSight), std::string::npos);
  mSight = false;
  EXPECT_EQ(Send(Request()).find(kTunnelSight), std::string::npos);
}

/// Guards against a peer without descriptors whose word ends engines that are well.
TEST_F(TunnelTest, ANodeWithoutDescriptorsHasNoWordOnAnEngine)
{
  RawEngine engine(&Echo);
  Serve(engine.Address());
  std::optional<NoDescriptors> none;
  mBeforeConnect = [&none] { none.emplace(); };
  EXPECT_EQ(FirstLine(Send(Request())), "HTTP/1.1 503 Service Unavailable");
}

/// Guards against one node that takes all the room there is for nodes that reach no engine.
TEST_F(TunnelTest, ANewcomerFindsRoomHoweverManyConnectionsOthersHave)
{
  RawEngine engine(&Echo);
  TunnelServerOptions options;
  options.mMost = 6;
  Serve(engine.Address(), options);
  std::vector<int> sockets;
  const auto ask = [&](const char* aFrom) {
    sockets.push_back(Connect());
    RawConnection connection(sockets.back());
    connection.Write(Request("e", kKey, aFrom));
    return connection.ReadUntil("200 OK\r\n");
  };
  EXPECT_TRUE(ask("a"));
  EXPECT_TRUE(ask("a"));
  EXPECT_TRUE(ask("a"));
  EXPECT_FALSE(ask("a")) << "half of the room, while it is alone";
  EXPECT_TRUE(ask("b"));
  EXPECT_TRUE(ask("b"));
  EXPECT_FALSE(ask("b"));
  EXPECT_TRUE(ask("c"));
  EXPECT_FALSE(ask("d")) << "there is no more";
  for (const int it : sockets) {
    ::close(it);
  }
}

/// Guards against askers that lose power without a word and keep their room for ever.
TEST_F(TunnelTest, AConnectionThatNothingPassesOverIsClosed)
{
  RawEngine engine(&Echo);
  Serve(engine.Address());
  const int socket = Connect();
  RawConnection connection(socket);
  connection.Write(Request());
  ASSERT_TRUE(connection.ReadUntil("200 OK\r\n"));
  Pass(seconds(3599));
  connection.Write("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(connection.ReadUntil("answer"));
  Pass(seconds(3599));
  EXPECT_EQ(Counters().mOpen, 1U) << "something passed since";
  Pass(seconds(1));
  EXPECT_EQ(Counters().mOpen, 0U);
  ::close(socket);
}

/// Guards against an answer without a length that is cut off by a reset and passes for whole.
TEST_F(TunnelTest, AResetOfTheEngineReachesTheAskerAsAReset)
{
  RawEngine engine([](RawConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    aConnection.Write("half");
    if (request.find("/reset") != std::string::npos) {
      aConnection.Reset();
    }
  });
  Serve(engine.Address());
  const auto ask = [&](const std::string& aPath) {
    const int socket = Connect();
    RawConnection connection(socket);
    connection.Write(Request());
    EXPECT_TRUE(connection.ReadUntil("200 OK\r\n"));
    connection.Write("GET " + aPath + " HTTP/1.1\r\n\r\n");
    char buf[64];
    ssize_t n = 0;
    while ((n = ::recv(socket, buf, sizeof(buf), 0)) > 0) {
    }
    ::close(socket);
    return n;
  };
  EXPECT_EQ(ask("/end"), 0);
  EXPECT_EQ(ask("/reset"), -1);
}

/// Guards against a node that ends while it carries an answer without a length, which would pass
/// for whole.
TEST_F(TunnelTest, TheEndOfTheCarryingNodeIsSeenAsAReset)
{
  std::promise<void> sent;
  std::promise<void> over;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write("half");
    sent.set_value();
    over.get_future().wait();
  });
  Serve(engine.Address());
  const int socket = Connect();
  RawConnection connection(socket);
  connection.Write(Request());
  ASSERT_TRUE(connection.ReadUntil("200 OK\r\n"));
  connection.Write("GET / HTTP/1.1\r\n\r\n");
  sent.get_future().wait();
  ASSERT_TRUE(connection.ReadUntil("half"));
  OnThread([this] {
    mServer->Close(); // closes its sockets as the end of the process does
    return 0;
  });
  char buf[64];
  EXPECT_EQ(::recv(socket, buf, sizeof(buf), 0), -1);
  ::close(socket);
  over.set_value();
}

/// Guards against a node that has no descriptors left for its own callers because it carries.
TEST(MostCarriedTest, AQuarterOfTheDescriptorsIsForWhatIsCarried)
{
  EXPECT_EQ(MostCarried(64), 8U);
  EXPECT_EQ(MostCarried(1024), 128U);
  EXPECT_EQ(MostCarried(1U << 20U), kMostCarried);
}

TEST_F(TunnelTest, AnOpeningTellsWhatThePeerSaid)
{
  RawEngine engine(&Echo);
  Serve(engine.Address());
  const auto open = [this](const std::string& aEngine, const std::string& aAddress) {
    std::promise<TunnelAnswer> answer;
    const auto opening = std::make_shared<TunnelOpening>(mContext);
    asio::post(mContext, [&] {
      opening->Start({ "p", aAddress, kKey, "" },
                     "10.0.0.1:80",
                     { aEngine, "a", kKey, milliseconds(70) },
                     [&](const OpenedTunnel& aTunnel) { answer.set_value(aTunnel.mAnswer); });
    });
    return answer.get_future().get();
  };
  EXPECT_EQ(open("e", mAddress), TunnelAnswer::kOpen);
  EXPECT_EQ(open("other", mAddress), TunnelAnswer::kUnknown);
  const std::string gone = FreeAddress();
  EXPECT_EQ(open("e", gone), TunnelAnswer::kNone);
  RawEngine odd([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write("odd bytes\r\n\r\n");
  });
  EXPECT_EQ(open("e", odd.Address()), TunnelAnswer::kNone);
  const std::string head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
  for (std::size_t n = 0; n < head.size(); ++n) {
    RawEngine torn([&](RawConnection& aConnection) {
      aConnection.ReadRequest();
      aConnection.Write(std::string_view(head).substr(0, n));
    });
    EXPECT_EQ(open("e", torn.Address()), TunnelAnswer::kNone) << head.substr(0, n);
  }
}

} // namespace
} // namespace pepperbay
