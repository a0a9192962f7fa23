/// Requests under which engines end: what the relay notes of them, and what it refuses.
#include "relay_fixture.hpp"

namespace pepperbay {
namespace {

constexpr const char* kEvent = "f\r\nid: 1\ndata: a\n\n\r\n";
constexpr const char* kStreamEnd = "0\r\n\r\n";

/// The engines here close after each answer, and say so.
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

  /// A stream's request with a body of its own and a part that others may have.
  std::string AskWithPart(const std::string& aBody) const
  {
    return Ask(Post("/stream/", aBody, "Model: m\r\nPart: p\r\n"));
  }

  static RequestKey PartKey() { return KeyOfPromptPart("", "pool", "p"); }

  /// What the plan says of a request or a part from here on.
  void Suspect(int aScore, Duration aHeldFor, const RequestKey& aKey = StreamKey())
  {
    auto suspects = std::make_shared<SuspectRequests>();
    (*suspects)[aKey] = { aScore, BootClock::now() + aHeldFor };
    mPlan.mSuspects = std::move(suspects);
    Publish();
  }

  std::vector<SeenEnd> WaitForEnds(std::size_t aCount)
  {
    std::unique_lock<std::mutex> lock(mEndsMutex);
    mEndsChanged.wait_for(lock, seconds(20), [&] { return mEnds.size() >= aCount; });
    return mEnds;
  }

  /// Reads a request, begins to answer it where asked to, and ends: its listener with it.
  struct MortalEngine
  {
    /// @param aRuns it answers whole while this is so
    explicit MortalEngine(bool aAnswers, const std::atomic<bool>* aRuns = nullptr)
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
          ++mGot;
          mAsked.notify_all();
        }
        aConnection.ReadToEnd();
      }))
    {
    }

    void WaitUntilAsked(int aRequests = 1)
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mAsked.wait(lock, [&] { return mGot >= aRequests; });
    }

    void EndOnceAsked(int aRequests = 1)
    {
      WaitUntilAsked(aRequests);
      mEngine.reset();
    }

    std::mutex mMutex;
    std::condition_variable mAsked;
    int mGot = 0; ///< requests that it has begun
    std::unique_ptr<RawEngine> mEngine;
  };
};

/// An engine that ends is told apart from one that breaks a connection off, by its listener.
TEST_F(RelaySuspects, ARequestIsSuspectedOfTheEndOfAnEngineThatHadJustBegunIt)
{
  MortalEngine mortal(true);
  Serve({ mortal.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  mortal.EndOnceAsked();
  EXPECT_EQ(StatusOf(answer.get()), 502);
  const auto ends = WaitForEnds(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, StreamKey());
  EXPECT_EQ(ends[0].mEnd.mSuspicion, Suspicion::kBegun);
  EXPECT_EQ(ends[0].mEnd.mEngine, EngineIncarnationHash("e0", {}));
}

/// A replica whose head has ended stays in the plan until its registration lapses, and all that is
/// sent there fails: nobody tells the holder of a head that closes its connections.
TEST_F(RelaySuspects, TheHolderHearsOfAHeadThatHasEndedWithItsStreams)
{
  MortalEngine mortal(true);
  Serve({ mortal.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  mortal.EndOnceAsked();
  answer.get();
  WaitForEnds(1);
  EXPECT_GE(mRefusals, 1);
}

TEST_F(RelaySuspects, TheHolderHearsOfAHeadThatRefusesConnectionsAndNotWithEachRequest)
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
  EXPECT_EQ(mRefusals, 1);
  clock.Advance(seconds(1));
  EXPECT_EQ(StatusOf(AskStream()), 503);
  EXPECT_EQ(mRefusals, 2); // a new holder has not heard the first
}

/// What waits at an engine that ends is a bystander, more likely than not.
TEST_F(RelaySuspects, ARequestThatWaitedAtAnEngineThatEndsIsSuspectedLess)
{
  MortalEngine mortal(false);
  Serve({ mortal.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  mortal.EndOnceAsked();
  answer.get();
  const auto ends = WaitForEnds(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mEnd.mSuspicion, Suspicion::kPresent);
}

/// A plain engine answers when it is done, so a request without an answer may be the cause.
TEST_F(RelaySuspects, ARequestWithoutAnAnswerAtAPlainEngineThatEndsIsSuspected)
{
  MortalEngine mortal(false);
  Serve({ mortal.mEngine.get() });
  auto answer =
    std::async(std::launch::async, [this] { return Ask(Post("/once/", "x", "Key: k1\r\n")); });
  mortal.EndOnceAsked();
  EXPECT_EQ(StatusOf(answer.get()), 502);
  const auto ends = WaitForEnds(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, KeyOfRequest("school", "h", "/once/", "x"));
  EXPECT_EQ(ends[0].mEnd.mSuspicion, Suspicion::kBegun);
}

/// Engines that reset connections and live, or sit behind a link that does, would have harmless
/// requests refused.
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
  ASSERT_GT(engine.Connections(), engine.Requests()) << "it is connected to once more";
  EXPECT_EQ(StatusOf(AskStream()), 502); // by now the relay has seen that connection
  EXPECT_TRUE(WaitForEnds(0).empty());
  EXPECT_EQ(Counters().mEnginesExited, 0U);
}

/// Each node would send it on, and each time an engine would end.
TEST_F(RelaySuspects, ARequestThatIsHeldBackIsRefusedAtOnceAndReachesNoEngine)
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
  // Another caller's request, or another body, is not held back.
  EXPECT_EQ(StatusOf(Ask(Post("/stream/", "y", "Model: m\r\n"))), 200);
}

TEST_F(RelaySuspects, ARequestRunsAgainOnceItsTimeIsOver)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ &engine });
  Suspect(4, -seconds(1));
  EXPECT_EQ(StatusOf(AskStream()), 200);
  EXPECT_EQ(mRanWhole, 1); // which clears it on all nodes
}

/// A request that many callers send all the time is at each engine that ends; it would be refused
/// to all of them.
TEST_F(RelaySuspects, ARequestThatHasJustRunToItsEndIsNotSuspected)
{
  std::atomic<bool> runs{ true };
  MortalEngine mortal(true, &runs);
  Serve({ mortal.mEngine.get() });
  EXPECT_EQ(StatusOf(AskStream()), 200);
  runs = false;
  auto answer = std::async(std::launch::async, [this] { return AskStream(); });
  auto other =
    std::async(std::launch::async, [this] { return Ask(Post("/stream/", "y", "Model: m\r\n")); });
  mortal.EndOnceAsked(2);
  answer.get();
  other.get();
  const auto ends = WaitForEnds(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, KeyOfRequest("", "h", "/stream/", "y"));
}

/// Nodes that saw only the ends hold it back; one that has just had it answered knows better.
TEST_F(RelaySuspects, ANodeClearsWhatHasJustRunToItsEndThere)
{
  RawEngine engine([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEvent + kStreamEnd);
  });
  Serve({ &engine });
  EXPECT_EQ(StatusOf(AskStream()), 200);
  EXPECT_EQ(mRanWhole, 0);
  Suspect(4, seconds(2));
  Counters(); // the plan is in force
  EXPECT_EQ(mRanWhole, 1);
}

/// A second engine would end as the first one did.
TEST_F(RelaySuspects, ASuspectRequestIsNotSentToASecondEngineWhenItsFirstBreaksOff)
{
  MortalEngine first(true);
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

/// Copies of one request wait at several engines when it becomes clear that it ends them.
TEST_F(RelaySuspects, WhatAnEngineHasOnlyBegunIsStoppedOnceItIsHeldBack)
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

/// Requests that share one part of their prompts, and are never alike, each end one engine more.
TEST_F(RelaySuspects, APartOfAPromptIsSuspectedWithItsRequest)
{
  MortalEngine mortal(true);
  Serve({ mortal.mEngine.get() });
  auto answer = std::async(std::launch::async, [this] { return AskWithPart("x"); });
  mortal.EndOnceAsked();
  answer.get();
  const auto ends = WaitForEnds(2);
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[0].mRequest, StreamKey());
  EXPECT_EQ(ends[1].mRequest, PartKey());
  EXPECT_EQ(ends[1].mEnd.mSuspicion, Suspicion::kBegun);
  EXPECT_EQ(AwaitLine("engine_ended")["parts"], "p");
}

/// Most requests of a route share a part; each engine's end would be charged to it, and the whole
/// route be refused.
TEST_F(RelaySuspects, APartThatHasJustRunToItsEndIsNotSuspected)
{
  std::atomic<bool> runs{ true };
  MortalEngine mortal(true, &runs);
  Serve({ mortal.mEngine.get() });
  EXPECT_EQ(StatusOf(AskWithPart("y")), 200);
  runs = false;
  auto answer = std::async(std::launch::async, [this] { return AskWithPart("x"); });
  mortal.EndOnceAsked();
  answer.get();
  const auto ends = WaitForEnds(1);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].mRequest, StreamKey());
}

/// An engine that ends between two events of an answer without length or chunks closes it as if it
/// were whole; a part that ends engines would count as harmless.
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
  EXPECT_EQ(mRanWhole, 0);
  EXPECT_TRUE(Has(AskWithPart("y"), "data: a"));
  EXPECT_EQ(mRanWhole, 1);
}

/// Requests with a part that ends engines would go on reaching them, each as a new one.
TEST_F(RelaySuspects, ARequestWithAPartThatIsHeldBackIsRefusedAtOnceAndOthersAreNot)
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

/// The first part of a whole route, held back with the cause before anybody has seen it run, would
/// be refused for ten minutes: with nothing running, nothing clears it.
TEST_F(RelaySuspects, AStreamThatRunsOnWithAPartThatIsHeldBackClearsIt)
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
    Counters(); // each comes after what was due before
  }
  EXPECT_EQ(mRanWhole, 0);
  clock.Advance(std::chrono::milliseconds(700));
  goOn.set_value();
  ASSERT_TRUE(caller.ReadUntil("data: b"));
  EXPECT_EQ(mRanWhole, 1);
  ::close(socket);
}

/// A stream that has been written for longer than any that ended an engine is not the cause.
TEST_F(RelaySuspects, AStreamThatRunsForLongIsNotCutWhenItIsHeldBack)
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
    Counters(); // each comes after what was due before
  }
  goOn.set_value();
  EXPECT_TRUE(Has(caller.ReadToEnd(), "data: b"));
  ::close(socket);
}

} // namespace
} // namespace pepperbay
