/// Engines that pause for about a second and resume, while the plan reports their replicas as lost.
#include "relay_moves_fixture.hpp"

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

/// The longest pause after which a healthy engine resumes.
constexpr milliseconds kPause{ 1500 };
/// After this time without data, the head of a replica reported as lost counts as stalled.
constexpr milliseconds kStallTimeout{ 200 };

class RelayPauses : public RelayMoves
{
protected:
  /// An engine that answers a request with given bytes, pauses, and writes the rest on command.
  struct PausingEngine
  {
    explicit PausingEngine(std::string aBefore)
      : mBefore(std::move(aBefore))
      , mEngine([this](RawConnection& aConnection) {
        if (aConnection.ReadRequest().empty()) {
          return;
        }
        aConnection.Write(mBefore);
        mAsked.set_value();
        const std::string after = mAfter.get_future().get();
        aConnection.Write(after);
      })
    {
    }

    void AwaitRequest() { mAsked.get_future().wait(); }
    void Resume(const std::string& aAfter) { mAfter.set_value(aAfter); }

    std::string mBefore;
    std::promise<void> mAsked;
    std::promise<std::string> mAfter;
    RawEngine mEngine;
  };

  /// Publishes what the control thread reports when the head or a member of a replica is silent.
  void ReportFirstLost()
  {
    FirstReplica().mLost = true;
    FirstReplica().mEpoch += 1;
    Publish();
  }
};

/// Guards against ending an answer because its engine pauses, when no other engine can take the
/// stream.
TEST_F(RelayPauses, AStreamWhoseOnlyEnginePausesWhileReportedLostIsCompleted)
{
  PausingEngine first(StreamHead() + kEventA);
  RawEngine second([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  ReportFirstLost();
  AdvanceInSteps(kPause);
  first.Resume(std::string(kEventB) + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  EXPECT_TRUE(Has(text, "data: a")) << text;
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against a 502 for a request whose engine pauses before the first event, when a second
/// engine refuses it.
TEST_F(RelayPauses, ARequestThatWaitsAtAPausingEngineIsAnsweredThoughASecondRefuses)
{
  PausingEngine first("");
  RawEngine second([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(kRefusal);
    }
  });
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  ReportFirstLost();
  OfferSecond();
  AdvanceInSteps(kPause);
  first.Resume(StreamHead() + kEventA + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  EXPECT_GE(second.Requests(), 1);
  EXPECT_EQ(StatusOf(text), 200) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against cutting a stream whose engine pauses after the first event, when a second engine
/// refuses it.
TEST_F(RelayPauses, AStreamThatASecondEngineRefusesOutlastsThePauseOfItsFirst)
{
  PausingEngine first(StreamHead() + kEventA);
  RawEngine second([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(kRefusal);
    }
  });
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  ReportFirstLost();
  OfferSecond();
  AdvanceInSteps(kPause);
  first.Resume(std::string(kEventB) + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  EXPECT_GE(second.Requests(), 1);
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against dropping a stream whose two engines both pause and are reported as lost: the
/// engine that resumes first answers.
TEST_F(RelayPauses, AStreamGoesOnAtTheSecondEngineThoughBothHavePaused)
{
  PausingEngine first(StreamHead() + kEventA);
  PausingEngine second("");
  Serve({ &first.mEngine, &second.mEngine });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  ReportFirstLost();
  OfferSecond();
  AdvanceInSteps(kStallTimeout);
  second.AwaitRequest();
  mPlan.mReplicas["pool"][1].mLost = true;
  Publish();
  AdvanceInSteps(kPause);
  second.Resume(StreamHead() + kEventB + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  first.Resume("");
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// As above, but the first engine resumes.
TEST_F(RelayPauses, AStreamGoesOnAtTheFirstEngineThoughBothHavePaused)
{
  PausingEngine first(StreamHead() + kEventA);
  PausingEngine second("");
  Serve({ &first.mEngine, &second.mEngine });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  ReportFirstLost();
  OfferSecond();
  AdvanceInSteps(kStallTimeout);
  second.AwaitRequest();
  mPlan.mReplicas["pool"][1].mLost = true;
  Publish();
  AdvanceInSteps(kPause - kStallTimeout);
  first.Resume(std::string(kEventB) + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
  second.Resume("");
}

/// Guards against a short pause that ends a stream which has waited for long before. It happens if
/// the silence is measured from when the stream was sent instead of from the start of the pause.
TEST_F(RelayPauses, AStreamThatHasWaitedForLongOutlastsAShortPauseOfItsHead)
{
  PausingEngine first("");
  RawEngine second([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(kRefusal);
    }
  });
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  AdvanceInSteps(milliseconds(100)); // first pause: the second engine refuses
  FirstReplica().mLost = false;
  mPlan.mReplicas["pool"][1].mSuspended = true;
  Publish();
  AdvanceInSteps(milliseconds(2500)); // waits at a healthy head
  FirstReplica().mLost = true;
  Publish();
  AdvanceInSteps(milliseconds(300)); // second, short pause
  const auto failed = Counters().mFailed;
  const auto cut = Counters().mCut;
  const auto refused = Counters().mRefused;
  EXPECT_EQ(failed + cut + refused, 0U) << failed << cut << refused;
  first.Resume(StreamHead() + kEventA + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  EXPECT_GE(second.Requests(), 1);
  EXPECT_EQ(StatusOf(text), 200) << text;
}

/// As above, for a stream that has begun and that its head has set aside to serve others.
TEST_F(RelayPauses, AStreamThatStoodAsideForLongOutlastsAShortPauseOfItsHead)
{
  PausingEngine first(StreamHead() + kEventA);
  RawEngine second([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(kRefusal);
    }
  });
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.AwaitRequest();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  AdvanceInSteps(milliseconds(300));
  FirstReplica().mLost = false;
  mPlan.mReplicas["pool"][1].mSuspended = true;
  Publish();
  AdvanceInSteps(milliseconds(2500));
  FirstReplica().mLost = true;
  Publish();
  AdvanceInSteps(milliseconds(300));
  first.Resume(std::string(kEventB) + kStreamEnd);
  const std::string text = TextOf(std::move(answer));
  EXPECT_GE(second.Requests(), 1);
  EXPECT_TRUE(Has(text, "data: b")) << text;
}

/// A pause of a plain service's engine before or in the middle of its answer.
struct PlainPause
{
  const char* mWhat;
  const char* mBefore;
  const char* mAfter;
};

class RelayPlainPauses
  : public RelayPauses
  , public testing::WithParamInterface<PlainPause>
{
protected:
  std::future<std::string> AskPlain(const std::string& aPath)
  {
    return std::async(std::launch::async, [this, aPath] {
      return Ask(Post(aPath, "x", "Key: k1\r\nLeft-Ms: 4000\r\n"));
    });
  }

  static std::string Begun(const char* aBody)
  {
    return std::string(kHead) + "Content-Length: 4\r\n\r\n" + aBody;
  }
};

/// Guards against a 502 or 504 before the deadline for a request that must not be repeated.
TEST_P(RelayPlainPauses, ARequestThatMayRunOnceWaitsForItsAnswer)
{
  const bool begun = *GetParam().mBefore != '\0';
  PausingEngine first(begun ? Begun(GetParam().mBefore) : "");
  Serve({ &first.mEngine, &first.mEngine });
  auto answer = AskPlain("/once/");
  first.AwaitRequest();
  mClock.WaitForTicks();
  AdvanceInSteps(kPause);
  EXPECT_EQ(Counters().mFailed, 0U);
  first.Resume(begun ? GetParam().mAfter : Begun(GetParam().mAfter));
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(StatusOf(text), 200) << text;
  EXPECT_TRUE(Has(text, "okok")) << text;
}

INSTANTIATE_TEST_SUITE_P(Pauses,
                         RelayPlainPauses,
                         testing::Values(PlainPause{ "before", "", "okok" },
                                         PlainPause{ "middle", "ok", "ok" }),
                         [](const auto& aInfo) { return std::string(aInfo.param.mWhat); });

/// Guards against a failed safe request when its engine pauses and a second one refuses.
TEST_F(RelayPauses, ASafeRequestOutlastsAPauseThoughASecondEngineRefuses)
{
  PausingEngine first("");
  RawEngine second([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(kRefusal);
    }
  });
  Serve({ &first.mEngine, &second });
  auto answer = std::async(std::launch::async, [this] { return Ask(Get("/safe/")); });
  first.AwaitRequest();
  mClock.WaitForTicks();
  OfferSecond();
  mClock.Advance(seconds(12)); // past the fraction of the objective after which requests are hedged
  AdvanceInSteps(kPause);
  first.Resume(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  EXPECT_EQ(StatusOf(TextOf(std::move(answer))), 200);
  EXPECT_EQ(second.Requests(), 1);
}

} // namespace
} // namespace pepperbay
