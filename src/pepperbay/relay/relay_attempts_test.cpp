/// How many engines a stream is sent to, and which of them may have it once more.
#include "relay_moves_fixture.hpp"

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

/// After this a head whose replica is called lost counts as one that stands still.
constexpr milliseconds kStandsStill{ 200 };

class RelayAttempts : public RelayMoves
{
protected:
  /// An engine that refuses some requests, then serves.
  static RawEngine::Script RefuseFirst(int aRefusals, std::atomic<int>* aRequests)
  {
    return [aRefusals, aRequests](RawConnection& aConnection) {
      if (aConnection.ReadRequest().empty()) {
        return; // it was only tried whether it listens
      }
      aConnection.Write(++*aRequests <= aRefusals ? std::string(kRefusal)
                                                  : StreamHead() + kEventB + kStreamEnd);
    };
  }

  /// An engine that writes an event and ends its connection when it is told to; from then on it
  /// serves.
  struct FirstEngine
  {
    void Script(RawConnection& aConnection)
    {
      if (aConnection.ReadRequest().empty()) {
        return;
      }
      if (mRequests++ > 0) {
        aConnection.Write(StreamHead() + kEventB + kStreamEnd);
        return;
      }
      aConnection.Write(StreamHead() + kEventA);
      mBegan.set_value();
      mEnd.get_future().wait();
      aConnection.Reset();
    }

    std::atomic<int> mRequests{ 0 };
    std::promise<void> mBegan;
    std::promise<void> mEnd;
    RawEngine mEngine{ [this](RawConnection& aConnection) { Script(aConnection); } };
  };

  void AwaitRefusal() const
  {
    while (mRefusals == 0) {
      std::this_thread::yield();
    }
  }
};

/// Guards against a stream that is cut when its first engine dies, since a refusal of its second
/// engine has used up those that its route allows.
TEST_F(RelayAttempts, AnEngineThatHasRefusedTakesTheStreamWhoseFirstEngineDies)
{
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine second(RefuseFirst(1, &requests));
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  Pass(kStandsStill);
  AwaitRefusal();
  Pass(milliseconds(300));
  EXPECT_EQ(requests, 1) << "asked again while its first engine may only pause";
  first.mEnd.set_value();
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(requests, 2);
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// The same where the first engine is dark: nothing of its end shows.
TEST_F(RelayAttempts, AnEngineThatHasRefusedTakesTheStreamWhoseFirstEngineStaysSilent)
{
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine second(RefuseFirst(1, &requests));
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  Pass(kStandsStill);
  AwaitRefusal();
  Pass(seconds(1));
  const std::string text = TextOf(std::move(answer));
  first.mEnd.set_value();
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against a stream that is cut though the head that worked on it has formed anew.
TEST_F(RelayAttempts, AHeadThatHasFormedAnewTakesItsStreamAgain)
{
  FirstEngine first;
  std::promise<void> asked;
  RawEngine second([&](RawConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.Write(StreamHead());
      aConnection.Reset();
      asked.set_value();
    }
  });
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  Pass(kStandsStill);
  asked.get_future().wait();
  AwaitLine("attempt_failed");
  FirstReplica().mLost = false;
  FirstReplica().mEpoch += 1;
  Publish();
  mClock.WaitForTicks();
  first.mEnd.set_value();
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(first.mRequests, 2);
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against a stream that is sent to more engines than its route allows.
TEST_F(RelayAttempts, AStreamIsSentToNoThirdEngineWhateverTheOthersDo)
{
  constexpr int kAlways = 1000;
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine second(RefuseFirst(kAlways, &requests));
  RawEngine third([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEventB + kStreamEnd);
  });
  Serve({ &first.mEngine, &second, &third });
  mPlan.mReplicas["pool"][2].mSuspended = true;
  Publish();
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  Pass(kStandsStill);
  AwaitRefusal();
  mPlan.mReplicas["pool"][2].mSuspended = false;
  Publish();
  Pass(milliseconds(300));
  first.mEnd.set_value();
  Pass(seconds(2));
  const std::string text = TextOf(std::move(answer));
  EXPECT_FALSE(Has(text, kStreamEnd)) << text;
  EXPECT_EQ(third.Requests(), 0);
  EXPECT_EQ(requests, 2) << "once more, and no third time";
}

} // namespace
} // namespace pepperbay
