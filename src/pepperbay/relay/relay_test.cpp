#include "relay_fixture.hpp"

#include <set>

namespace pepperbay {
namespace {

TEST_F(RelayTest, PassesRequestAndAnswerOnUnchanged)
{
  std::string seen;
  RawEngine engine([&](RawConnection& aConnection) {
    seen = aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "X-Own: 1\r\nContent-Length: 5\r\n\r\nhello");
  });
  Serve({ &engine });
  const std::string answer =
    Ask(Post("/once/a?b=%20c", "body", "Key: k1\r\nCustomer: forged\r\nX-Mine: 7\r\n"));
  EXPECT_EQ(StatusOf(answer), 200);
  EXPECT_TRUE(Has(answer, "Seal: s")) << answer;
  EXPECT_TRUE(Has(answer, "X-Own: 1"));
  EXPECT_TRUE(Has(answer, "\r\n\r\nhello"));
  EXPECT_TRUE(Has(seen, "POST /once/a?b=%20c HTTP/1.1")) << seen;
  EXPECT_TRUE(Has(seen, "X-Mine: 7"));
  EXPECT_TRUE(Has(seen, "Customer: school"));
  EXPECT_FALSE(Has(seen, "forged"));
  EXPECT_FALSE(Has(seen, "Key:"));
  EXPECT_TRUE(Has(seen, "\r\n\r\nbody"));
}

/// Guards against a 404 or 401 that is wrong under a newer configuration that this node has not
/// received yet.
TEST_F(RelayTest, AMissInAConfigurationThatMayBeOutOfDateIsNotRunRatherThanRefused)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 0\r\n\r\n");
  });
  SharedClock clock;
  RelayOptions options;
  options.mNow = clock.Hook();
  Serve({ &engine }, options);
  EXPECT_EQ(StatusOf(Ask(Get("/added/"))), 404);
  EXPECT_EQ(StatusOf(Ask(Post("/once/", "", "Key: added\r\n"))), 401);
  mPlan.mMissesValidUntil = options.mNow() + seconds(1);
  Publish();
  clock.Advance(seconds(1));
  const std::string noRoute = Ask(Get("/added/"));
  EXPECT_EQ(StatusOf(noRoute), 503);
  EXPECT_TRUE(Has(noRoute, "Retry-After")) << noRoute;
  EXPECT_EQ(StatusOf(Ask(Post("/once/", "", "Key: added\r\n"))), 503);
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  EXPECT_EQ(StatusOf(Ask(Post("/once/", "", "Key: k1\r\n"))), 200);
}

struct AnswerCase
{
  const char* mWhat;
  std::string mBytes;
  bool mReset;
  int mStatus; ///< for a request that must not be repeated; 0: the connection is closed
};

/// Guards against passing on as a success what is not provably the complete answer to this request.
TEST_F(RelayTest, OnlyAWholeAnswerOfThisRequestIsPassedOn)
{
  const std::string head = kHead;
  const std::vector<AnswerCase> cases = {
    { "whole", head + "Content-Length: 2\r\n\r\nok", false, 200 },
    { "no length, ends with the connection", head + "\r\nok", false, 200 },
    { "no length, reset", head + "\r\nok", true, 502 },
    { "shorter than its length", head + "Content-Length: 9\r\n\r\nok", false, 502 },
    { "chunks without an end", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, 502 },
    { "no HTTP at all", "garbage\r\n\r\n", false, 502 },
    { "nothing", "", false, 502 },
    { "of another request",
      "HTTP/1.1 200 OK\r\nReq: q9\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
      false,
      502 },
    { "not sealed", "HTTP/1.1 200 OK\r\nReq: q1\r\nContent-Length: 2\r\n\r\nok", false, 502 },
    { "stated not to have run",
      "HTTP/1.1 503 No\r\nReq: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
      false,
      503 },
    { "the engine's own failure",
      "HTTP/1.1 500 Oops\r\nReq: q1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
      false,
      500 },
    { "early and with more to come",
      head + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
      false,
      200 },
  };
  std::size_t n = 0;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(cases[n].mBytes);
    if (cases[n].mReset) {
      aConnection.Reset();
    }
  });
  Serve({ &engine });
  for (n = 0; n < cases.size(); ++n) {
    const std::string answer = Ask(Post("/once/", "x", "Key: k1\r\n"));
    EXPECT_EQ(StatusOf(answer), cases[n].mStatus) << cases[n].mWhat << "\n" << answer;
    if (cases[n].mStatus == 200) {
      EXPECT_TRUE(Has(answer, "\r\n\r\nok")) << cases[n].mWhat;
      EXPECT_EQ(answer.substr(answer.size() - 2), "ok") << cases[n].mWhat;
    }
  }
  EXPECT_EQ(engine.Requests(), static_cast<int>(cases.size())); // each sent once
}

TEST_F(RelayTest, ASafeRequestGoesToASecondEngine)
{
  RawEngine bad([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  RawEngine good([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  });
  Serve({ &bad, &good });
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
}

/// Guards against a stream with missing or duplicate events after an engine fails inside an event
/// and the relay resumes at another engine. It happens if bytes of the partial event are passed on,
/// or if the second engine starts from the beginning.
TEST_F(RelayTest, AStreamGoesOnElsewhereAfterItsLastWholeEvent)
{
  const std::string stream = std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const auto chunk = [](const std::string& aBytes) {
    std::ostringstream text;
    text << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
    return text.str();
  };
  std::string resumed;
  RawEngine first([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(stream + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\nid: 3\nda"));
    aConnection.Reset();
  });
  RawEngine second([&](RawConnection& aConnection) {
    resumed = aConnection.ReadRequest();
    aConnection.Write(stream + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") +
                      "0\r\n\r\n");
  });
  Serve({ &first, &second });
  const std::string answer = Ask(Post("/stream/", "x", "Model: m\r\n"));
  EXPECT_EQ(StatusOf(answer), 200);
  EXPECT_TRUE(Has(resumed, "Last: 2") || Has(resumed, "Last: 1")) << resumed;
  for (const char* it : { "data: a\n\n", "data: b\n\n", "data: c\n\n" }) {
    const std::size_t at = answer.find(it);
    EXPECT_NE(at, std::string::npos) << it;
    EXPECT_EQ(answer.find(it, at + 1), std::string::npos) << it << " comes twice";
  }
  EXPECT_FALSE(Has(answer, "id: 3\nda\n"));
  EXPECT_TRUE(Has(answer, "\r\n0\r\n\r\n"));
  EXPECT_EQ(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
}

/// Guards against treating a stream as complete when its body ends in order, but inside an event.
TEST_F(RelayTest, AStreamThatEndsInsideAnEventIsBrokenOff)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) +
                      "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: a\n\nid: 2" +
                      "\r\n0\r\n\r\n");
  });
  Serve({ &engine });
  const std::string answer = Ask(Post("/stream/", "x", "Model: m\r\n"));
  EXPECT_TRUE(Has(answer, "data: a")) << answer;
  EXPECT_FALSE(Has(answer, "\r\n0\r\n\r\n")) << answer;
}

/// Guards against engines that work for callers who have given up. It happens if the relay passes
/// on the caller's time budget as received instead of what remains of it.
TEST_F(RelayTest, AnEngineIsGivenLessTimeThanTheCaller)
{
  std::string seen;
  RawEngine engine([&](RawConnection& aConnection) {
    seen = aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Get("/safe/", "Left-Ms: 9000\r\n"))), 200);
  const std::size_t at = seen.find("Left-Ms: ");
  ASSERT_NE(at, std::string::npos) << seen;
  EXPECT_LT(std::stoi(seen.substr(at + 9)), 9000);
}

/// Guards against refusing half of the requests for a second after all nodes restart. It happens if
/// a new process handles requests before it has received the configuration.
TEST_F(RelayTest, ACallerOfANewProcessIsServedOnceThePlanIsThere)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  });
  SharedClock clock;
  RelayOptions options;
  options.mNow = clock.Hook();
  mPublishAtOnce = false;
  Serve({ &engine }, options);
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Get("/safe/"));
  TrafficPlan empty;
  std::promise<void> asked; // the caller waits while the plan is empty
  asio::post(mContext, [&] {
    mRelay->SetPlan(std::make_shared<TrafficPlan>(empty));
    asked.set_value();
  });
  asked.get_future().wait();
  Publish();
  EXPECT_EQ(StatusOf(caller.ReadToEnd()), 200);
  ::close(socket);
}

/// Guards against callers that wait indefinitely when no plan arrives: they are refused.
TEST_F(RelayTest, ANewProcessWithoutAPlanRefusesAfterAWhile)
{
  RawEngine engine([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  SharedClock clock;
  RelayOptions options;
  options.mNow = clock.Hook();
  mPublishAtOnce = false;
  Serve({ &engine }, options);
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Get("/safe/"));
  clock.Advance(options.mWaitForPlan);
  EXPECT_EQ(StatusOf(caller.ReadToEnd()), 503);
  ::close(socket);
}

/// Guards against a 404 from a node that has no configuration yet.
TEST_F(RelayTest, ANodeWithoutAConfigurationRefuses)
{
  RawEngine engine([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  Serve({ &engine });
  mPlan.mRoutes = nullptr;
  Publish();
  EXPECT_EQ(StatusOf(Ask(Post("/once/", "x", "Key: k1\r\n"))), 503);
  EXPECT_EQ(engine.Connections(), 0);
}

TEST_F(RelayTest, AStreamThatCannotGoOnIsBrokenOff)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) +
                      "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n" + "\r\n");
    aConnection.Reset();
  });
  Serve({ &engine });
  const std::string answer = Ask(Post("/stream/", "x", "Model: m\r\n"));
  EXPECT_FALSE(Has(answer, "\r\n0\r\n\r\n"))
    << answer; // no final chunk, which would mark it complete
}

/// Guards against a request without a first event that waits until its connection times out. The
/// head of its replica dies silently and the replica is re-formed under another head; a search for
/// the old head among the replicas then finds nothing.
TEST_F(RelayTest, AReplicaReformedUnderAnotherHeadIsAbandoned)
{
  std::promise<void> began;
  RawEngine silent([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    began.set_value();
    aConnection.ReadToEnd();
  });
  RawEngine other([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) +
                      "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
  });
  Serve({ &silent, &other });
  mPlan.mReplicas["pool"][1].mSuspended = true; // the first request goes to the first replica
  Publish();
  std::future<std::string> answer =
    std::async(std::launch::async, [this] { return Ask(Post("/stream/", "x", "Model: m\r\n")); });
  began.get_future().wait();
  auto& replicas = mPlan.mReplicas["pool"];
  replicas[1].mSuspended = false;
  replicas[0].mHead = replicas[1].mHead;
  replicas[0].mEpoch += 1;
  Publish();
  EXPECT_EQ(StatusOf(answer.get()), 200);
}

/// When the caller disconnects, the relay closes the engine's connection, which ends the work.
TEST_F(RelayTest, ACallerThatLeavesStopsTheWork)
{
  std::promise<void> began;
  std::promise<void> ended;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    began.set_value();
    aConnection.ReadToEnd();
    ended.set_value();
  });
  Serve({ &engine });
  const int socket = Connect();
  RawConnection(socket).Write(Post("/stream/", "x", "Model: m\r\n"));
  began.get_future().wait();
  ::close(socket);
  ended.get_future().wait();
  EXPECT_EQ(Counters().mCallerGone, 1U);
}

struct CallerCase
{
  std::string mRequest;
  int mStatus;
};

TEST_F(RelayTest, BadInputGetsAClearErrorAndReachesNoEngine)
{
  RawEngine engine([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  Serve({ &engine });
  const std::vector<CallerCase> cases = {
    { "no http at all\r\n\r\n", 400 },
    { "GET /safe/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'a') + "\r\n\r\n", 431 },
    { Post("/safe/", std::string(2000, 'b')), 413 },
    { Get("/nowhere/"), 404 },
    { "GET /safe/ HTTP/1.1\r\nConnection: close\r\n\r\n", 404 },
    { Post("/once/", "x"), 401 },
    { Post("/once/", "x", "Key: k9\r\n"), 401 },
    { Get("/safe/", "Bad: 1\r\n"), 400 },
    { Post("/stream/", "x", "Model: unknown\r\n"), 503 },
  };
  for (const auto& it : cases) {
    const std::string answer = Ask(it.mRequest);
    EXPECT_EQ(StatusOf(answer), it.mStatus) << it.mRequest.substr(0, 60) << "\n" << answer;
    EXPECT_EQ(Has(answer, "Retry-After: "), it.mStatus == 503);
  }
  EXPECT_EQ(engine.Connections(), 0);
}

/// Guards against accepting a revoked key at a node that cannot reach the store. It happens if the
/// node trusts its configuration regardless of its age.
TEST_F(RelayTest, KeysThatMayBeOutOfDateAreNotTrusted)
{
  RawEngine engine([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  Serve({ &engine });
  mPlan.mKeysValidUntil = BootClock::now() - seconds(1);
  Publish();
  const std::string answer = Ask(Post("/once/", "x", "Key: k1\r\n"));
  EXPECT_EQ(StatusOf(answer), 503);
  EXPECT_EQ(engine.Connections(), 0);
}

/// Guards against doubling the load on a service whose engines all fail. Here each engine closes
/// its connection after it has read a request.
TEST_F(RelayTest, SecondAttemptsStayWithinTheBudget)
{
  const auto breaks = [](RawConnection& aConnection) { aConnection.ReadRequest(); };
  RawEngine first(breaks);
  RawEngine second(breaks);
  RelayOptions options;
  options.mTuning.mRetryShare = 0.2;
  options.mTuning.mRetrySlack = 3;
  Serve({ &first, &second }, options);
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 502);
  }
  const RelayCounters counters = Counters();
  EXPECT_GT(counters.mSecondAttempts, 3U);
  EXPECT_LE(counters.mSecondAttempts, kRequests / 5 + 3U);
  EXPECT_EQ(first.Requests() + second.Requests(),
            kRequests + static_cast<int>(counters.mSecondAttempts));
}

/// New settings apply to later requests, also for services that have a budget already.
TEST_F(RelayTest, ANewBudgetTakesEffectWhileTheRelayRuns)
{
  const auto breaks = [](RawConnection& aConnection) { aConnection.ReadRequest(); };
  RawEngine first(breaks);
  RawEngine second(breaks);
  RelayOptions options;
  options.mTuning.mRetryShare = 1;
  options.mTuning.mRetrySlack = 100;
  Serve({ &first, &second }, options);
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 502);
  EXPECT_EQ(Counters().mSecondAttempts, 1U);
  std::promise<void> tuned;
  asio::post(mContext, [&] {
    mRelay->Tune({ 0, 0, seconds(7) });
    tuned.set_value();
  });
  tuned.get_future().wait();
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 502);
  EXPECT_EQ(Counters().mSecondAttempts, 1U);
}

/// Guards against taking a second answer, which arrives after the connection was pooled, for the
/// answer to the next request.
TEST_F(RelayTest, AnAnswerOnAPooledConnectionMakesItUnusable)
{
  std::promise<void> answered;
  std::promise<void> late;
  std::atomic<bool> first{ true };
  RawEngine engine([&](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
      if (first.exchange(false)) {
        answered.get_future().wait();
        aConnection.Write(std::string(kHead) + "Content-Length: 3\r\n\r\nbad");
        late.set_value();
      }
    }
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  answered.set_value();
  late.get_future().wait();
  const std::string answer = Ask(Get("/safe/"));
  EXPECT_TRUE(Has(answer, "\r\n\r\nok")) << answer;
}

/// As above, when the second answer arrives together with the first.
TEST_F(RelayTest, ALateAnswerIsNotTakenForTheNext)
{
  RawEngine engine([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok" + kHead +
                        "Content-Length: 3\r\n\r\nbad");
    }
  });
  Serve({ &engine });
  for (int i = 0; i < 5; ++i) {
    const std::string answer = Ask(Get("/safe/"));
    EXPECT_EQ(StatusOf(answer), 200);
    EXPECT_FALSE(Has(answer, "bad"));
  }
}

/// Guards against a caller that waits until its deadline for an answer that cannot arrive. An
/// engine loses power during a request, so its connection is not closed, and registers again under
/// the same id. By the id alone it looks as if the engine were still there.
TEST_F(RelayTest, ARequestAtAnEngineThatStartedAgainGoesElsewhere)
{
  std::promise<void> asked;
  RawEngine silent([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    asked.set_value();
    aConnection.ReadToEnd();
  });
  RawEngine other([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  });
  mPublishAtOnce = false;
  Serve({ &silent, &other });
  const WallTime first(std::chrono::milliseconds(1000));
  mPlan.mEngines["plain"][0].mBorn = first;
  mPlan.mIncarnations["e0"] = first;
  Publish();
  auto answer = std::async(std::launch::async, [this] { return Ask(Get("/safe/")); });
  asked.get_future().wait();
  const WallTime second(std::chrono::milliseconds(2000));
  mPlan.mEngines["plain"][0].mBorn = second;
  mPlan.mIncarnations["e0"] = second;
  Publish();
  EXPECT_TRUE(Has(answer.get(), "\r\n\r\nok"));
}

/// Guards against synchronised retries: in a burst for which no replica has free slots, callers
/// that are refused together would retry together and be refused again.
TEST_F(RelayTest, CallersWhoFindAllReplicasFullComeBackAtDifferentTimes)
{
  RawEngine engine([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  mPlan.mOthersInFlight["e0"] = 12;
  const RelayOptions options;
  Serve({ &engine }, options);
  std::set<double> times;
  for (int i = 0; i < 20; ++i) {
    std::string request = Post("/stream/", "x", "Model: m\r\n");
    request.replace(request.find("q1"), 2, "q" + std::to_string(10 + i));
    const std::string answer = Ask(request);
    EXPECT_EQ(StatusOf(answer), 503);
    const auto at = answer.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << answer;
    times.insert(std::stod(answer.substr(at + 13)));
  }
  EXPECT_GE(times.size(), 15U);
  const auto seconds = [](Duration aTime) { return std::chrono::duration<double>(aTime).count(); };
  EXPECT_GE(*times.begin(), seconds(options.mRetryAfter));
  EXPECT_LE(*times.rbegin(), seconds(options.mRetryAfter + options.mRetryJitter));
  const std::string hurried = Ask(Post("/stream/", "x", "Model: m\r\nLeft-Ms: 1500\r\n"));
  const auto at = hurried.find("Retry-After: ");
  ASSERT_NE(at, std::string::npos) << hurried;
  EXPECT_LE(std::stod(hurried.substr(at + 13)), seconds(options.mRetryAfter))
    << "Retry-After must not exceed what the caller can wait";
}

} // namespace
} // namespace pepperbay
