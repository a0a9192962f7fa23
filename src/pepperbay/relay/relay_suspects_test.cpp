/// Requests during which engines exit: which of them the relay reports as suspects, and which it
/// refuses because they are quarantined.
#include "relay_fixture.hpp"

namespace pepperbay {
namespace {

constexpr const char* kEvent = "f\r\nid: 1\ndata: a\n\n\r\n";
constexpr const char* kStreamEnd = "0\r\n\r\n";

/// These engines close the connection after each answer, and announce it.
std::string
StreamHead()
{
  return std::string(kHead) + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
}

class RelaySuspects : public RelayTest
{
protected:
  static RequestKey StreamKey() { return KeyOfRequest("", "h", "/stream/", "x"); }

  std::string AskStream() const { return Ask(Post("/stream/", "x", "Model: m\r\n")); }

  /// Requests a stream with a body of its own and the prompt part `p`.
  std::string AskWithPart(const std::string& aBody) const
  {
    return Ask(Post("/stream/", aBody, "Model: m\r\nPart: p\r\n"));
  }

  static RequestKey PartKey() { return KeyOfPromptPart("", "pool", "p"); }

  /// Publishes a plan that marks a request or a prompt part as suspect.
  /// @param aHeldFor duration of the quarantine; negative: it is over
  void Suspect(int aScore, Duration aHeldFor, const RequestKey& aKey = StreamKey())
  {
    auto suspects = std::make_shared<SuspectRequests>();
    (*suspects)[aKey] = { aScore, BootClock::now() + aHeldFor };
    mPlan.mSuspects = std::move(suspects);
    Publish();
  }

  std::vector<RecordedExit> WaitForExits(std::size_t aCount)
  {
    std::unique_lock<std::mutex> lock(mRecordsMutex);
    mRecordsChanged.wait_for(lock, seconds(20), [&] { return mExits.size() >= aCount; });
    return mExits;
  }

  /// An engine that reads requests, can begin to answer them, and then exits with its listener.
  struct ExitingEngine
  {
    /// @param aAnswers sends the header of a stream before it exits
    /// @param aRuns if not null, the engine completes its answers while this is true
    explicit ExitingEngine(bool aAnswers, const std::atomic<bool>* aRuns = nullptr)
      : mEngine(std::make_unique<RawEngine>([this, aAnswers, aRuns](RawConnection& aConnection) {
        aConnection.ReadRequest();
        if (aRuns != nullptr && *aRuns) {
          aConnection.Write(StreamHead() + kEvent + kStreamEnd);
          return;
        }
        if (aAnswers) {
          aConnection.Write(StreamHead());
        }
        {
          const std::lock_guard<std::mutex> lock(mMutex);
          ++mReceived;
          mAsked.notify_all();
        }
        aConnection.ReadToEnd();
      }))
    {
    }

    void WaitUntilAsked(int aRequests = 1)
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mAsked.wait(lock, [&] { return mReceived >= aRequests; });
    }

    void ExitOnceAsked(int aRequests = 1)
    {
      WaitUntilAsked(aRequests);
      mEngine.reset();
    }

    std::mutex mMutex;
    std::condition_variable mAsked;
    int mReceived = 0; ///< requests that it has received and not completed
    std::unique_ptr<RawEngine> mEngine;
  };
};

/// An engine that exits no longer listens, unlike one that only closes a connection.
TEST_F(RelaySuspects, ARequestIsSuspectedOfTheExitOfAnEngineThatHadJustBegunIt)
{
  ExitingEngine exiting(true);
  Serve({ exiting.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  exiting.ExitOnceAsked();
  EXPECT_EQ(StatusOf(answer.get()), 502);
  const auto ends = WaitForExits(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, StreamKey());
  EXPECT_EQ(ends[0].mEnd.mSuspicion, Suspicion::kBegun);
  EXPECT_EQ(ends[0].mEnd.mEngine, EngineIncarnationHash("e0", {}));
}

/// Guards against not reporting a head that closes its connections to the lease holder: its replica
/// would stay in the plan until the registration expires, and all requests sent there would fail.
TEST_F(RelaySuspects, TheHolderIsNotifiedOfAHeadThatHasExitedWithItsStreams)
{
  ExitingEngine exiting(true);
  Serve({ exiting.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  exiting.ExitOnceAsked();
  answer.get();
  WaitForExits(1);
  EXPECT_GE(mRefusalReports, 1);
}

TEST_F(RelaySuspects, TheHolderIsNotifiedOfAHeadThatRefusesConnectionsButNotWithEachRequest)
{
  SharedClock clock;
  RelayOptions options;
  options.mNow = clock.Hook();
  RawEngine engine([](RawConnection&) {});
  Serve({ &engine }, options);
  mPlan.mReplicas["pool"][0].mHead.mAddress = FreeAddress();
  Publish();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(StatusOf(AskStream()), 503);
  }
  EXPECT_EQ(mRefusalReports, 1);
  clock.Advance(seconds(1));
  EXPECT_EQ(StatusOf(AskStream()), 503);
  EXPECT_EQ(mRefusalReports,
            2); // repeated because a new holder may not have received the first report
}

/// A request that only waited at an engine that exits is probably not the cause.
TEST_F(RelaySuspects, ARequestThatWaitedAtAnEngineThatExitsIsSuspectedLess)
{
  ExitingEngine exiting(false);
  Serve({ exiting.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  exiting.ExitOnceAsked();
  answer.get();
  const auto ends = WaitForExits(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mEnd.mSuspicion, Suspicion::kPresent);
}

/// A plain engine answers only when it is done, so a request without an answer may be the cause.
TEST_F(RelaySuspects, ARequestWithoutAnAnswerAtAPlainEngineThatExitsIsSuspected)
{
  ExitingEngine exiting(false);
  Serve({ exiting.mEngine.get() });
  auto answer =
    std::async(std::launch::async, [this] { return Ask(Post("/once/", "x", "Key: k1\r\n")); });
  exiting.ExitOnceAsked();
  EXPECT_EQ(StatusOf(answer.get()), 502);
  const auto ends = WaitForExits(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, KeyOfRequest("school", "h", "/once/", "x"));
  EXPECT_EQ(ends[0].mEnd.mSuspicion, Suspicion::kBegun);
}

/// Guards against refusing harmless requests because an engine, or the link to it, resets
/// connections without an exit.
TEST_F(RelaySuspects, AnEngineThatBreaksOffAndLivesRaisesNoSuspicion)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead());
    aConnection.Reset();
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(AskStream()), 502);
  const auto deadline = std::chrono::steady_clock::now() + seconds(20);
  while (engine.Connections() == engine.Requests() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::yield();
  }
  ASSERT_GT(engine.Connections(), engine.Requests()) << "the relay probes whether it still listens";
  EXPECT_EQ(StatusOf(AskStream()), 502); // after this answer the relay has handled that connection
  EXPECT_TRUE(WaitForExits(0).empty());
  EXPECT_EQ(Counters().mEnginesExited, 0U);
}

/// Guards against nodes that keep sending a request which makes an engine exit each time.
TEST_F(RelaySuspects, ARequestThatIsQuarantinedIsRefusedAtOnceAndReachesNoEngine)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ &engine });
  Suspect(6, std::chrono::minutes(10));
  const std::string answer = AskStream();
  EXPECT_EQ(StatusOf(answer), 503);
  EXPECT_TRUE(Has(answer, "held_back")) << answer;
  EXPECT_TRUE(Has(answer, R"("ran":"no")")) << answer;
  const auto at = answer.find("Retry-After: ");
  ASSERT_NE(at, std::string::npos) << answer;
  EXPECT_GT(std::stod(answer.substr(at + 13)), 590.0);
  EXPECT_EQ(engine.Connections(), 0);
  // A request with another body is not quarantined.
  EXPECT_EQ(StatusOf(Ask(Post("/stream/", "y", "Model: m\r\n"))), 200);
}

TEST_F(RelaySuspects, ARequestRunsAgainOnceItsQuarantineTimeIsOver)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ &engine });
  Suspect(4, -seconds(1));
  EXPECT_EQ(StatusOf(AskStream()), 200);
  EXPECT_EQ(mCompletedSuspects, 1); // reported, which clears it on all nodes
}

/// Guards against refusing a request that many callers send constantly, so that it is present at
/// each engine that exits.
TEST_F(RelaySuspects, ARequestThatHasJustCompletedIsNotSuspected)
{
  std::atomic<bool> runs{ true };
  ExitingEngine exiting(true, &runs);
  Serve({ exiting.mEngine.get() });
  EXPECT_EQ(StatusOf(AskStream()), 200);
  runs = false;
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  auto other =
    std::async(std::launch::async, [this] { return Ask(Post("/stream/", "y", "Model: m\r\n")); });
  exiting.ExitOnceAsked(2);
  answer.get();
  other.get();
  const auto ends = WaitForExits(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, KeyOfRequest("", "h", "/stream/", "y"));
}

/// Nodes that saw only the exits quarantine a request; a node where it has just been answered
/// clears it.
TEST_F(RelaySuspects, ANodeClearsWhatHasJustCompletedThere)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(AskStream()), 200);
  EXPECT_EQ(mCompletedSuspects, 0);
  Suspect(4, seconds(2));
  Counters(); // the plan is in force
  EXPECT_EQ(mCompletedSuspects, 1);
}

/// Guards against a suspect request that makes a second engine exit as well.
TEST_F(RelaySuspects, ASuspectRequestIsNotSentToASecondEngineWhenItsFirstBreaksOff)
{
  ExitingEngine first(true);
  RawEngine second([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ first.mEngine.get(), &second });
  mPlan.mReplicas["pool"][1].mSuspended = true;
  Suspect(2, -seconds(1));
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  first.WaitUntilAsked();
  mPlan.mReplicas["pool"][1].mSuspended = false;
  Publish();
  Counters(); // the plan is in force
  first.mEngine.reset();
  EXPECT_EQ(StatusOf(answer.get()), 502);
  EXPECT_EQ(second.Connections(), 0);
}

/// Guards against further engine exits by copies of a request that are already at engines when the
/// request is quarantined.
TEST_F(RelaySuspects, WhatAnEngineHasOnlyBegunIsStoppedOnceItIsQuarantined)
{
  std::promise<void> asked;
  std::promise<void> closed;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    asked.set_value();
    aConnection.ReadToEnd();
    closed.set_value();
  });
  Serve({ &engine });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  asked.get_future().wait();
  Suspect(6, std::chrono::minutes(10));
  closed.get_future().wait();
  const std::string text = answer.get();
  EXPECT_EQ(StatusOf(text), 502); // it may have begun
  EXPECT_TRUE(Has(text, R"("ran":"unknown")")) << text;
}

/// Guards against different requests that share one prompt part, each of which makes another engine
/// exit.
TEST_F(RelaySuspects, APartOfAPromptIsSuspectedWithItsRequest)
{
  ExitingEngine exiting(true);
  Serve({ exiting.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskWithPart("x"); });
  exiting.ExitOnceAsked();
  answer.get();
  const auto ends = WaitForExits(2);
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[0].mRequest, StreamKey());
  EXPECT_EQ(ends[1].mRequest, PartKey());
  EXPECT_EQ(ends[1].mEnd.mSuspicion, Suspicion::kBegun);
  EXPECT_EQ(AwaitLogLine("engine_ended")["parts"], "p");
}

/// Guards against refusing a whole route: most of its requests share one prompt part, which would
/// be suspected of each engine exit.
TEST_F(RelaySuspects, APartThatHasJustCompletedIsNotSuspected)
{
  std::atomic<bool> runs{ true };
  ExitingEngine exiting(true, &runs);
  Serve({ exiting.mEngine.get() });
  EXPECT_EQ(StatusOf(AskWithPart("y")), 200);
  runs = false;
  auto answer = std::async(std::launch::async, [this] { return AskWithPart("x"); });
  exiting.ExitOnceAsked();
  answer.get();
  const auto ends = WaitForExits(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, StreamKey());
}

/// Guards against clearing a harmful prompt part: if an engine exits between two events of an
/// answer without a length or chunks, the answer looks complete.
TEST_F(RelaySuspects, AnAnswerThatEndsWithItsConnectionClearsNoPart)
{
  std::atomic<int> answers{ 0 };
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    if (++answers == 1) {
      aConnection.Write(std::string(kHead) + "\r\nid: 1\ndata: a\n\n");
    } else {
      aConnection.Write(StreamHead() + kEvent + kStreamEnd);
    }
  });
  Serve({ &engine });
  Suspect(2, -seconds(1), PartKey());
  EXPECT_TRUE(Has(AskWithPart("x"), "data: a"));
  EXPECT_EQ(mCompletedSuspects, 0);
  EXPECT_TRUE(Has(AskWithPart("y"), "data: a"));
  EXPECT_EQ(mCompletedSuspects, 1);
}

/// Guards against new requests with a quarantined prompt part that still reach engines.
TEST_F(RelaySuspects, ARequestWithAPartThatIsQuarantinedIsRefusedAtOnceAndOthersAreNot)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ &engine });
  Suspect(6, std::chrono::minutes(10), PartKey());
  const std::string answer = AskWithPart("x");
  EXPECT_EQ(StatusOf(answer), 503);
  EXPECT_TRUE(Has(answer, "held_back")) << answer;
  EXPECT_TRUE(Has(answer, R"("ran":"no")")) << answer;
  EXPECT_TRUE(Has(answer, "Retry-After: ")) << answer;
  EXPECT_EQ(engine.Connections(), 0);
  EXPECT_EQ(StatusOf(AskStream()), 200);
  EXPECT_EQ(StatusOf(Ask(Post("/stream/", "x", "Model: m\r\nPart: q\r\n"))), 200);
}

/// Guards against refusing a whole route for ten minutes: its common prompt part may be quarantined
/// together with the actual cause before any node has seen it complete. If all its requests are
/// refused, no completed request can clear it, so a stream that continues to run must do so.
TEST_F(RelaySuspects, AStreamThatRunsOnWithAPartThatIsQuarantinedClearsIt)
{
  SharedClock clock;
  std::promise<void> wrote;
  std::promise<void> goOn;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent);
    wrote.set_value();
    goOn.get_future().wait();
    aConnection.Write("f\r\nid: 2\ndata: b\n\n\r\n");
    aConnection.ReadToEnd();
  });
  RelayOptions options;
  options.mNow = clock.Hook();
  options.mTick = std::chrono::milliseconds(1);
  Serve({ &engine }, options);
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Post("/stream/", "x", "Model: m\r\nPart: p\r\n"));
  wrote.get_future().wait();
  ASSERT_TRUE(caller.ReadUntil("data: a"));
  clock.Advance(std::chrono::milliseconds(400));
  Suspect(6, std::chrono::minutes(10), PartKey());
  for (int i = 0; i < 20; ++i) {
    Counters(); // returns after the work that was due before
  }
  EXPECT_EQ(mCompletedSuspects, 0);
  clock.Advance(std::chrono::milliseconds(700));
  goOn.set_value();
  ASSERT_TRUE(caller.ReadUntil("data: b"));
  EXPECT_EQ(mCompletedSuspects, 1);
  ::close(socket);
}

/// A stream that has run for longer than requests which make engines exit is not the cause.
TEST_F(RelaySuspects, AStreamThatRunsForLongIsNotCutWhenItIsQuarantined)
{
  SharedClock clock;
  std::promise<void> wrote;
  std::promise<void> goOn;
  RawEngine engine([&](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent);
    wrote.set_value();
    goOn.get_future().wait();
    aConnection.Write(std::string("f\r\nid: 2\ndata: b\n\n\r\n") + kStreamEnd);
  });
  RelayOptions options;
  options.mNow = clock.Hook();
  options.mTick = std::chrono::milliseconds(1);
  Serve({ &engine }, options);
  const int socket = Connect();
  RawConnection caller(socket);
  caller.Write(Post("/stream/", "x", "Model: m\r\n"));
  wrote.get_future().wait();
  ASSERT_TRUE(caller.ReadUntil("data: a"));
  clock.Advance(seconds(2));
  Suspect(6, std::chrono::minutes(10));
  for (int i = 0; i < 20; ++i) {
    Counters(); // returns after the work that was due before
  }
  goOn.set_value();
  EXPECT_TRUE(Has(caller.ReadToEnd(), "data: b"));
  ::close(socket);
}

} // namespace
} // namespace pepperbay
