/// Requests on pooled connections that the engine closes.
#include "relay_fixture.hpp"

#include <condition_variable>
#include <mutex>

namespace pepperbay {
namespace {

constexpr int kCallers = 8;

/// Blocks threads until the expected number have arrived.
class Barrier
{
public:
  explicit Barrier(int aExpected)
    : mExpected(aExpected)
  {
  }

  void Pass()
  {
    std::unique_lock<std::mutex> lock(mMutex);
    ++mArrived;
    mChanged.notify_all();
    mChanged.wait(lock, [this] { return mArrived >= mExpected; });
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mExpected;
  int mArrived = 0;
};

class RelayPooledConnections : public RelayTest
{
protected:
  std::vector<int> AskAtOnce(const std::function<std::string(int)>& aRequest)
  {
    std::vector<std::future<std::string>> answers;
    for (int i = 0; i < kCallers; ++i) {
      answers.push_back(
        std::async(std::launch::async, [this, request = aRequest(i)] { return Ask(request); }));
    }
    std::vector<int> statuses;
    for (auto& it : answers) {
      statuses.push_back(StatusOf(it.get()));
    }
    return statuses;
  }

  /// An engine that answers the first request on each of its first `kCallers` connections, once all
  /// of these have a request, and closes each of them on its next request. Later connections serve
  /// all requests.
  RawEngine::Script ClosesPooled()
  {
    return [this](RawConnection& aConnection) {
      const bool pooled = mConnections++ < kCallers;
      while (!aConnection.ReadRequest().empty()) {
        if (pooled) {
          mAllConnected.Pass();
        }
        aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
        if (pooled) {
          aConnection.ReadRequest();
          return;
        }
      }
    };
  }

  Barrier mAllConnected{ kCallers };
  std::atomic<int> mConnections{ 0 };
};

const std::vector<int> kAllServed(kCallers, 200);

/// Guards against failures of repeatable requests when the only engine closes all of its pooled
/// connections at once.
TEST_F(RelayPooledConnections, RequestsAreServedThoughAllPooledConnectionsCloseAtOnce)
{
  RawEngine engine(ClosesPooled());
  Serve({ &engine });
  const auto request = [](int aCaller) { return Get("/safe/" + std::to_string(aCaller)); };
  ASSERT_EQ(AskAtOnce(request), kAllServed);
  EXPECT_EQ(AskAtOnce(request), kAllServed);
}

/// As above, for equal requests.
TEST_F(RelayPooledConnections, EqualRequestsAreServedThoughAllPooledConnectionsCloseAtOnce)
{
  RawEngine engine(ClosesPooled());
  Serve({ &engine });
  const auto request = [](int) { return Get("/safe/"); };
  ASSERT_EQ(AskAtOnce(request), kAllServed);
  EXPECT_EQ(AskAtOnce(request), kAllServed);
}

/// Guards against one probe of the engine per stale connection, in addition to the connections that
/// serve the requests.
TEST_F(RelayPooledConnections, NoProbeIsMadePerStaleConnection)
{
  RawEngine engine(ClosesPooled());
  Serve({ &engine });
  const auto request = [](int) { return Get("/safe/"); };
  ASSERT_EQ(AskAtOnce(request), kAllServed);
  ASSERT_EQ(AskAtOnce(request), kAllServed);
  EXPECT_GE(Counters().mStaleConnections, 1U);
  EXPECT_LE(engine.Connections(), 2 * kCallers);
  EXPECT_TRUE(mExits.empty());
}

/// An engine that serves one request on each connection and closes it on the next one.
void
ServesOne(RawConnection& aConnection)
{
  aConnection.ReadRequest();
  aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  aConnection.ReadRequest();
}

/// Guards against avoiding a healthy engine after it has closed a pooled connection.
TEST_F(RelayPooledConnections, TheEngineIsNotAvoided)
{
  RawEngine first(ServesOne);
  RawEngine second(ServesOne);
  Serve({ &first, &second });
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  }
  EXPECT_EQ(std::min(first.Requests(), second.Requests()), 0)
    << "all requests go to the same engine";
}

/// Guards against counting a new connection to the same engine as a second engine: on this route a
/// request may be sent to one engine only.
TEST_F(RelayPooledConnections, OneAttemptIsEnoughForASecondConnection)
{
  RawEngine engine(ServesOne);
  mPublishAtOnce = false;
  Serve({ &engine });
  Configuration configuration;
  configuration.mVersion = 2;
  configuration.mRoutes = { MakeRoute("/safe/", RequestKind::kSafe, "plain") };
  configuration.mRoutes.front().mMaxAttempts = 1;
  configuration.mRoutes.front().mPublic = true;
  configuration.mServices = { ServiceSpec{} };
  configuration.mServices.front().mName = "plain";
  mPlan.mRoutes = std::make_shared<RouteTable>(std::move(configuration));
  Publish();
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
}

/// As `RequestsAreServedThoughAllPooledConnectionsCloseAtOnce`, for HEAD requests and for requests
/// with a body.
TEST_F(RelayPooledConnections, HeadsAndBodiesAreServedAsWell)
{
  RawEngine engine([](RawConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    const bool head = request.rfind("HEAD", 0) == 0;
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\n" + (head ? "" : "ok"));
    aConnection.ReadRequest();
  });
  Serve({ &engine });
  std::string head = Get("/safe/");
  head.replace(0, 3, "HEAD");
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(StatusOf(Ask(head)), 200);
    EXPECT_EQ(StatusOf(Ask(Post("/safe/", std::string(900, 'a')))), 200);
  }
}

/// An engine that also fails on a new connection counts as failed, and another engine is tried.
TEST_F(RelayPooledConnections, AnEngineThatClosesAgainCountsAsFailed)
{
  std::atomic<int> connections{ 0 };
  RawEngine first([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    if (connections++ == 0) {
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
      aConnection.ReadRequest();
    }
  });
  RawEngine second(ServesOne);
  Serve({ &first, &second });
  const EngineTarget other = mPlan.mEngines["plain"].back();
  mPlan.mEngines["plain"].pop_back();
  Publish();
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  mPlan.mEngines["plain"].push_back(other);
  Publish();
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  EXPECT_GE(first.Connections(), 2);
  EXPECT_EQ(second.Requests(), 1);
}

/// Guards against a third attempt at an engine that is slow on the second connection, while another
/// engine is free.
TEST_F(RelayPooledConnections, AnEngineThatIsSlowOnTheSecondConnectionIsNotAskedAgain)
{
  std::atomic<int> connections{ 0 };
  RawEngine first([&](RawConnection& aConnection) {
    if (connections++ == 0) {
      ServesOne(aConnection);
    } else {
      aConnection.ReadToEnd();
    }
  });
  RawEngine second(ServesOne);
  RelayOptions options;
  options.mHedgeAfter = 0.001; // of 20 s
  Serve({ &first, &second }, options);
  const EngineTarget other = mPlan.mEngines["plain"].back();
  mPlan.mEngines["plain"].pop_back();
  Publish();
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  mPlan.mEngines["plain"].push_back(other);
  Publish();
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  EXPECT_EQ(second.Requests(), 1);
}

/// Guards against spending a stream's last attempt on a pooled connection right after a reset of
/// its path: pooled connections are then likely to be dead as well.
TEST_F(RelayPooledConnections, AnInterruptedStreamGoesOnOverANewConnection)
{
  const std::string head = std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string first = "f\r\nid: 1\ndata: a\n\n\r\n";
  std::promise<void> breaks;
  RawEngine broken([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(head + first);
    breaks.get_future().wait();
    aConnection.Reset();
  });
  std::atomic<int> connections{ 0 };
  RawEngine other([&](RawConnection& aConnection) {
    const bool pooled = connections++ == 0;
    aConnection.ReadRequest();
    aConnection.Write(head + (pooled ? first : "f\r\nid: 2\ndata: b\n\n\r\n") + "0\r\n\r\n");
    aConnection.ReadRequest(); // a second request on the pooled connection: the engine closes it
  });
  mPublishAtOnce = false;
  Serve({ &broken, &other });
  const std::vector<PoolReplica> both = mPlan.mReplicas["pool"];
  mPlan.mReplicas["pool"] = { both[0] };
  Publish();
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Post("/stream/", "x", "Model: m\r\n"));
  ASSERT_TRUE(caller.ReadUntil("data: a\n\n"));
  mPlan.mReplicas["pool"] = { both[1] };
  Publish();
  ASSERT_EQ(StatusOf(Ask(Get("/stream/", "Model: m\r\n"))), 200); // its connection is pooled
  mPlan.mReplicas["pool"] = both;
  Publish();
  breaks.set_value();
  EXPECT_TRUE(caller.ReadUntil("data: b\n\n"));
  ::close(socket);
}

/// Guards against missing an engine's exit during a request because the connection was a pooled
/// one.
TEST_F(RelayPooledConnections, ARequestIsSuspectedWhenItsEngineHasExited)
{
  auto engine = std::make_unique<RawEngine>([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
    aConnection.ReadRequest();
    aConnection.ReadRequest(); // blocks until the engine exits
  });
  Serve({ engine.get() });
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  auto answer = std::async(std::launch::async, [this] { return Ask(Get("/safe/2")); });
  while (engine->Requests() < 2) {
    std::this_thread::yield();
  }
  engine.reset();
  EXPECT_GE(StatusOf(answer.get()), 500);
  std::unique_lock<std::mutex> lock(mRecordsMutex);
  mRecordsChanged.wait(lock, [this] { return !mExits.empty(); });
  EXPECT_EQ(mExits.size(), 1U);
}

} // namespace
} // namespace pepperbay
