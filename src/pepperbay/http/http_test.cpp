#include "fakes/no_descriptors.hpp"
#include "fakes/raw_engine.hpp"
#include "fakes/shared_clock.hpp"
#include "pepperbay/http/client.hpp"
#include "pepperbay/http/server.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace pepperbay {
namespace {

constexpr int kPort = 18731;

std::unique_ptr<HttpServer>
Serve(HttpHandler aHandler, const std::string& aAddress = "127.0.0.1")
{
  HttpServerOptions options;
  options.mAddress = aAddress;
  options.mPort = kPort;
  options.mMaxBody = 1000;
  options.mMaxBuffered = 1000;
  auto server = HttpServer::Start(options, std::move(aHandler));
  EXPECT_TRUE(server.has_value());
  return std::move(server.value());
}

HttpFetched
Get(const std::string& aBody = "")
{
  const auto client = HttpClient::Create();
  HttpCall call;
  call.mMethod = aBody.empty() ? "GET" : "POST";
  call.mBody = aBody;
  call.mUrl = "http://127.0.0.1:" + std::to_string(kPort) + "/x?key=value";
  return client->FetchAndWait(call);
}

TEST(Http, AnswersNowAndLaterAndInPieces)
{
  std::thread later;
  const auto server = Serve([&](const HttpRequest& aRequest, const auto& aResponder) {
    if (aRequest.mBody == "now") {
      aResponder->Send({ 200, {}, "now" });
      return;
    }
    later = std::thread([aResponder] {
      aResponder->StartStream({ 200, {}, "" });
      aResponder->Write("la");
      aResponder->Write("ter");
      aResponder->End();
    });
  });
  EXPECT_EQ(Get("now").mResponse.mBody, "now");
  const auto fetched = Get("later");
  later.join();
  EXPECT_TRUE(fetched.mOutcome.mOk);
  EXPECT_EQ(fetched.mResponse.mBody, "later");
}

/// Guards against a body in an answer to HEAD, which callers take for the start of their next
/// answer.
TEST(Http, AnAnswerToHeadHasNoBody)
{
  const auto server = Serve([](const HttpRequest& aRequest, const auto& aResponder) {
    if (aRequest.mPath == "/stream") {
      aResponder->StartStream({ 200, {}, "" });
      aResponder->Write("piece");
      aResponder->End();
      return;
    }
    aResponder->Send({ aRequest.mPath == "/end" ? 404 : 401, {}, "body" });
  });
  for (const char* path : { "/own", "/stream" }) {
    const int socket = ConnectTo("127.0.0.1:" + std::to_string(kPort));
    ASSERT_GE(socket, 0);
    RawConnection connection(socket);
    connection.Write("HEAD " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(connection.ReadUntil("\r\n\r\n"));
    connection.Write("GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(connection.ReadToEnd().substr(0, 12), "HTTP/1.1 404") << path;
    ::close(socket);
  }
}

/// Symptom: a caller takes half an answer for a whole one.
TEST(Http, AnAbortedStreamIsNoCompleteAnswer)
{
  const auto server = Serve([](const HttpRequest&, const auto& aResponder) {
    aResponder->StartStream({ 200, {}, "" });
    aResponder->Write("half");
    aResponder->Abort();
  });
  const auto fetched = Get();
  EXPECT_FALSE(fetched.mOutcome.mOk);
  EXPECT_EQ(fetched.mResponse.mBody, "half") << "what was written still goes out";
}

TEST(Http, ADroppedResponderAnswers500)
{
  const auto server = Serve([](const HttpRequest&, const auto&) {});
  EXPECT_EQ(Get().mResponse.mStatus, 500);
}

TEST(Http, OversizedBodiesAreRefusedWithTheLimit)
{
  const auto server = Serve([](const HttpRequest&, const auto& aResponder) {
    aResponder->Send({ 200, {}, "" });
  });
  const auto fetched = Get(std::string(2000, 'x'));
  EXPECT_EQ(fetched.mResponse.mStatus, 413);
  EXPECT_NE(fetched.mResponse.mBody.find("1000"), std::string::npos);
}

/// Guards against an answer that is given up unread, since the thread was late in reading it.
TEST(Http, AnAnswerThatHasComeIsReadThoughItsTimeIsOver)
{
  RawConnection* late = nullptr; // its request has been read, its answer is written later
  std::promise<void> asked;
  std::promise<void> ended;
  RawEngine engine([&](RawConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (request.find("/late") != std::string::npos) {
      late = &aConnection;
      asked.set_value();
      ended.get_future().wait();
      return;
    }
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  SharedClock clock;
  HttpClientOptions options;
  options.mNow = clock.Hook();
  const auto client = HttpClient::Create(options);
  HttpCall call;
  call.mUrl = "http://" + engine.Address() + "/late";
  call.mTimeout = std::chrono::seconds(1);
  std::promise<HttpFetched> answer;
  client->Fetch(call, [&](HttpFetched aFetched) { answer.set_value(std::move(aFetched)); });
  asked.get_future().wait();
  // The client's thread is busy with another answer for longer than the call may take.
  call.mUrl = "http://" + engine.Address() + "/busy";
  client->Fetch(call, [&](const HttpFetched&) {
    late->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    clock.Advance(std::chrono::seconds(10));
  });
  EXPECT_TRUE(answer.get_future().get().mOutcome.mOk);
  ended.set_value();
}

/// A server that sends header lines without end would fill the memory until the call's time is
/// over.
TEST(Http, AHeadWithoutEndIsBrokenOff)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write("HTTP/1.1 200 OK\r\n");
    while (aConnection.Write("A: " + std::string(1000, 'a') + "\r\n")) {
    }
  });
  const auto client = HttpClient::Create();
  HttpCall call;
  call.mUrl = "http://" + engine.Address() + "/";
  call.mTimeout = std::chrono::hours(1);
  const HttpFetched fetched = client->FetchAndWait(std::move(call));
  EXPECT_FALSE(fetched.mOutcome.mOk);
  EXPECT_NE(fetched.mOutcome.mError.mCode, Errc::kTimeout);
}

/// Guards against an answer that breaks off in its head and is taken for a whole one without a
/// body.
TEST(Http, AnAnswerThatEndsWithinItsHeadIsNoAnswer)
{
  const std::vector<std::string> heads = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
  };
  for (const auto& head : heads) {
    for (std::size_t n = 0; n < head.size(); ++n) {
      for (const char* method : { "GET", "POST" }) {
        RawEngine engine([&](RawConnection& aConnection) {
          aConnection.ReadRequest();
          aConnection.Write(std::string_view(head).substr(0, n));
        });
        const auto client = HttpClient::Create();
        HttpCall call;
        call.mMethod = method;
        call.mUrl = "http://" + engine.Address() + "/";
        call.mOwnConnection = true;
        const HttpFetched fetched = client->FetchAndWait(call);
        EXPECT_FALSE(fetched.mOutcome.mOk) << method << " after '" << head.substr(0, n) << "'";
        EXPECT_TRUE(fetched.mOutcome.mMayHaveRun);
      }
    }
  }
}

/// Guards against calls that are never given up.
TEST(Http, ACallWithoutAnAnswerIsGivenUpAfterItsTime)
{
  std::promise<void> asked;
  std::promise<void> ended;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    asked.set_value();
    ended.get_future().wait();
  });
  SharedClock clock;
  HttpClientOptions options;
  options.mNow = clock.Hook();
  const auto client = HttpClient::Create(options);
  HttpCall call;
  call.mUrl = "http://" + engine.Address() + "/";
  call.mTimeout = std::chrono::seconds(1);
  std::promise<HttpFetched> answer;
  client->Fetch(call, [&](HttpFetched aFetched) { answer.set_value(std::move(aFetched)); });
  asked.get_future().wait();
  clock.Advance(std::chrono::seconds(2));
  const HttpFetched fetched = answer.get_future().get();
  EXPECT_FALSE(fetched.mOutcome.mOk);
  EXPECT_EQ(fetched.mOutcome.mError.mCode, Errc::kTimeout);
  EXPECT_TRUE(fetched.mOutcome.mMayHaveRun);
  ended.set_value();
}

/// Symptom: memory fills with answers that nobody reads.
TEST(Http, AReaderThatDoesNotReadIsCutOff)
{
  std::mutex mutex;
  std::condition_variable closed;
  bool over = false;
  bool refused = false;
  const auto server = Serve([&](const HttpRequest&, const auto& aResponder) {
    aResponder->OnClosed([&](bool) {
      const std::lock_guard lock(mutex);
      over = true;
      closed.notify_all();
    });
    aResponder->StartStream({ 200, {}, "" });
    // Nothing is taken out of the buffer before this handler returns.
    refused = aResponder->Write(std::string(600, 'x')) && !aResponder->Write(std::string(600, 'x'));
  });
  EXPECT_FALSE(Get().mOutcome.mOk);
  std::unique_lock lock(mutex);
  closed.wait(lock, [&] { return over; });
  EXPECT_TRUE(refused);
}

TEST(Http, NothingListensMeansThatNothingRan)
{
  const auto fetched = Get("x");
  EXPECT_FALSE(fetched.mOutcome.mOk);
  EXPECT_FALSE(fetched.mOutcome.mMayHaveRun);
  EXPECT_TRUE(fetched.mOutcome.mRefused);
}

/// A peer that accepts connections and closes each after it has read a request.
class ClosingPeer
{
public:
  ClosingPeer()
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    const int on = 1;
    ::setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(kPort);
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(mSocket, reinterpret_cast<sockaddr*>(&addr), sizeof addr), 0);
    ::listen(mSocket, 16);
    mThread = std::thread([this] { Run(); });
  }
  ~ClosingPeer()
  {
    ::shutdown(mSocket, SHUT_RDWR);
    mThread.join();
    ::close(mSocket);
  }
  ClosingPeer(const ClosingPeer&) = delete;
  ClosingPeer& operator=(const ClosingPeer&) = delete;

  int Requests() const { return mRequests; }

private:
  void Run()
  {
    for (;;) {
      const int connection = ::accept(mSocket, nullptr, nullptr);
      if (connection < 0) {
        break;
      }
      mConversations.emplace_back([this, connection] { Converse(connection); });
    }
    for (auto& it : mConversations) {
      it.join();
    }
  }

  /// The first request on a connection is answered, so that the connection may be reused; the
  /// second is read and the connection closed without an answer.
  void Converse(int aConnection)
  {
    std::array<char, 4096> buf{};
    if (::recv(aConnection, buf.data(), buf.size(), 0) > 0) {
      ++mRequests;
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      (void)!::send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
      if (::recv(aConnection, buf.data(), buf.size(), 0) > 0) {
        ++mRequests;
      }
    }
    ::close(aConnection);
  }

  int mSocket;
  std::atomic<int> mRequests{ 0 };
  std::vector<std::thread> mConversations;
  std::thread mThread;
};

/// Symptom: an unrepeatable request runs twice though this project sent it once.
/// Sequence: the request goes out on a reused connection; the peer takes it and closes.
/// Cause: the library then sends it again by itself, on a new connection. A connection of its own
/// is never a reused one, and the closing shows as a failure that may have run.
/// Guards against a node without descriptors that takes those it calls for gone.
TEST(Http, ACallWithoutADescriptorFailsByThisProcess)
{
  const auto server = Serve([](const HttpRequest&, const auto& aResponder) {
    aResponder->Send({ 200, {}, "now" });
  });
  const auto client = HttpClient::Create();
  HttpCall call;
  call.mUrl = "http://127.0.0.1:" + std::to_string(kPort) + "/x";
  {
    const NoDescriptors none;
    const HttpFetched fetched = client->FetchAndWait(call);
    EXPECT_FALSE(fetched.mOutcome.mOk);
    EXPECT_FALSE(fetched.mOutcome.mMayHaveRun);
    EXPECT_EQ(fetched.mOutcome.mError.mCode, Errc::kInternal) << ToString(fetched.mOutcome.mError);
  }
  EXPECT_TRUE(client->FetchAndWait(call).mOutcome.mOk);
}

TEST(Http, ACallOnItsOwnConnectionIsSentOnce)
{
  for (const bool own : { false, true }) {
    const ClosingPeer peer;
    const auto client = HttpClient::Create();
    HttpCall call;
    call.mMethod = "POST";
    call.mBody = "x";
    call.mUrl = "http://127.0.0.1:" + std::to_string(kPort) + "/";
    EXPECT_TRUE(client->FetchAndWait(call).mOutcome.mOk);
    call.mOwnConnection = own;
    const auto second = client->FetchAndWait(call);
    EXPECT_TRUE(second.mOutcome.mOk);
    // Reused: sent on the old connection, taken there, and sent again on a new one.
    EXPECT_EQ(peer.Requests(), own ? 2 : 3);
  }
}

/// Guards against a call that waits on a connection that is known to be dead.
TEST(Http, ARetiredConnectionIsNotUsedAgain)
{
  for (const bool retires : { false, true }) {
    const ClosingPeer peer;
    const auto client = HttpClient::Create();
    HttpCall call;
    const std::string address = "127.0.0.1:" + std::to_string(kPort);
    call.mUrl = "http://" + address + "/";
    EXPECT_TRUE(client->FetchAndWait(call).mOutcome.mOk);
    client->RetireConnections(retires ? address : "127.0.0.1:1");
    EXPECT_TRUE(client->FetchAndWait(call).mOutcome.mOk);
    // Reused: sent on the old connection, which the peer closes, and again on a new one.
    EXPECT_EQ(peer.Requests(), retires ? 2 : 3);
  }
}

/// Guards against a server that ends with the last bytes of a complete answer unsent.
TEST(Http, AnAnswerCountsAsUnsentUntilItsLastBytesAreOut)
{
  constexpr std::size_t kLong = std::size_t{ 16 } << 20U; // more than sockets hold
  auto server = Serve([](const HttpRequest&, const auto& aResponder) {
    aResponder->Send({ 200, {}, std::string(kLong, 'a') });
  });
  const int socket = ConnectTo("127.0.0.1:" + std::to_string(kPort));
  ASSERT_GE(socket, 0);
  RawConnection caller(socket);
  caller.Write("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(caller.ReadUntil("\r\n\r\n"));
  EXPECT_EQ(server->Unsent(), 1U) << "the caller has not read the rest";
  auto rest = std::async(std::launch::async, [&] { return caller.ReadToEnd(); });
  while (server->Unsent() != 0) {
    std::this_thread::yield();
  }
  server.reset();
  EXPECT_EQ(rest.get().size(), kLong);
  ::close(socket);
}

/// Guards against callers on kept connections that are not told to go before the server ends.
TEST(Http, AServerThatClosesTellsItsCallers)
{
  const auto server = Serve([](const HttpRequest&, const auto& aResponder) {
    aResponder->Send({ 200, {}, "a" });
  });
  const int socket = ConnectTo("127.0.0.1:" + std::to_string(kPort));
  RawConnection caller(socket);
  caller.Write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(caller.ReadAnswer().find("Connection: close"), std::string::npos);
  server->BeginClosing();
  caller.Write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(caller.ReadAnswer().find("Connection: close"), std::string::npos);
  EXPECT_EQ(caller.ReadToEnd(), "") << "and the connection ends";
  ::close(socket);
}

/// Guards against a server that ends while a request's body is still coming.
TEST(Http, ARequestWhoseBodyIsStillComingIsOpen)
{
  const auto server = Serve([](const HttpRequest&, const auto& aResponder) {
    aResponder->Send({ 200, {}, "a" });
  });
  const int socket = ConnectTo("127.0.0.1:" + std::to_string(kPort));
  RawConnection caller(socket);
  caller.Write("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(caller.ReadUntil("100 Continue"));
  EXPECT_EQ(server->Open(), 1U);
  EXPECT_EQ(server->Connections(), 1U);
  caller.Write("xx");
  EXPECT_TRUE(caller.ReadUntil("HTTP/1.1 200"));
  ::close(socket);
  while (server->Connections() != 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(server->Open(), 0U);
}

TEST(Http, StoppingEndsExchangesThatWait)
{
  std::mutex mutex;
  std::condition_variable arrived;
  std::shared_ptr<Responder> held;
  auto server = Serve([&](const HttpRequest&, const auto& aResponder) {
    const std::lock_guard lock(mutex);
    held = aResponder;
    arrived.notify_all();
  });
  HttpFetched fetched;
  std::thread caller([&] { fetched = Get(); });
  {
    std::unique_lock lock(mutex);
    arrived.wait(lock, [&] { return held != nullptr; });
  }
  server.reset(); // hangs if a suspended connection is left
  caller.join();
  EXPECT_FALSE(fetched.mOutcome.mOk);
}

} // namespace
} // namespace pepperbay
