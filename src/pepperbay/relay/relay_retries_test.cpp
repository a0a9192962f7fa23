/// Second attempts of plain services' requests, which are limited by a budget shared by all nodes.
#include "relay_fixture.hpp"

namespace pepperbay {
namespace {

class RelayRetries : public RelayTest
{
protected:
  void ClosesUnanswered(RawConnection& aConnection)
  {
    ++mRead;
    aConnection.ReadRequest();
  }

  static void Serves(RawConnection& aConnection)
  {
    aConnection.ReadRequest();
    aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
  }

  /// Waits for the request to the retry budget owner and returns it.
  proto::PlaceMessage AwaitRetryRequest()
  {
    for (;;) {
      {
        const std::lock_guard<std::mutex> lock(mRecordsMutex);
        for (const auto& it : mSentToAllocators) {
          proto::PlaceMessage message;
          if (message.ParseFromString(it) && message.has_retry_ask()) {
            return message;
          }
        }
      }
      std::this_thread::yield();
    }
  }

  void Answer(const proto::PlaceMessage& aRequest, bool aGranted)
  {
    proto::PlaceMessage message;
    auto* answer = message.mutable_retry_answer();
    answer->set_id(aRequest.retry_ask().id());
    answer->set_incarnation(aRequest.incarnation());
    answer->set_granted(aGranted);
    asio::post(mContext,
               [this, bytes = message.SerializeAsString()] { mRelay->OnAllocatorMessage(bytes); });
  }

  std::atomic<int> mRead{ 0 };
};

/// Guards against a fleet with more nodes than second attempts in the budget, where the local share
/// of a node would never allow one.
TEST_F(RelayRetries, ARequestHasASecondAttemptHoweverManyNodesThereAre)
{
  RawEngine first([this](RawConnection& aConnection) { ClosesUnanswered(aConnection); });
  RawEngine second(Serves);
  mPlan.mNodes = 295;
  mPlan.mListedNodes = 295;
  Serve({ &first, &second });
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
  EXPECT_EQ(StatusOf(Ask(Get("/safe/"))), 200);
}

/// A node that does not own the retry budget asks the owner and follows its answer.
TEST_F(RelayRetries, TheBudgetOwnerIsAskedAndItsAnswerFollowed)
{
  for (const bool granted : { true, false }) {
    mSentToAllocators.clear();
    RawEngine first([this](RawConnection& aConnection) { ClosesUnanswered(aConnection); });
    RawEngine second([this](RawConnection& aConnection) {
      aConnection.ReadRequest();
      if (mRead > 0) {
        aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
      } else {
        ++mRead; // the request came here first
      }
    });
    mPlan = TrafficPlan();
    mPlan.mListedNodes = 295;
    mPlan.mRetryBudgetOwner = { "127.0.0.1:1", std::nullopt };
    mRead = 0;
    Serve({ &first, &second });
    auto answer = std::async(std::launch::async, [this] { return Ask(Get("/safe/")); });
    Answer(AwaitRetryRequest(), granted);
    const std::string text = answer.get();
    EXPECT_EQ(StatusOf(text), granted ? 200 : 502) << text;
    EXPECT_EQ(first.Requests() + second.Requests(), granted ? 2 : 1);
    TearDown();
    mContext.restart();
  }
}

/// A stream whose engine fails after the first event, while another engine could resume it.
class RelayAwaited : public RelayRetries
{
protected:
  void InterruptStream()
  {
    RelayOptions options;
    options.mNow = mClock.Hook();
    options.mTuning.mRetryShare = 0;
    options.mTuning.mRetrySlack = 0;
    mPublishAtOnce = false;
    Serve({ &mBroken, &mOther }, options);
    const std::vector<PoolReplica> both = mPlan.mReplicas["pool"];
    mPlan.mReplicas["pool"] = { both[0] };
    Publish();
    mSocket = Connect();
    mCaller = std::make_unique<RawConnection>(mSocket);
    mCaller->Write(Post("/stream/", "x", "Model: m\r\n"));
    ASSERT_TRUE(mCaller->ReadUntil("data: a\n\n"));
    mPlan.mReplicas["pool"] = both;
    Publish();
    mBreaks.set_value();
    while (Counters().mMovesRefused.empty() && Counters().mCut == 0) {
      std::this_thread::yield();
    }
  }

  void TearDown() override
  {
    ::close(mSocket);
    RelayRetries::TearDown();
  }

  static std::string Head() { return std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n"; }

  SharedClock mClock;
  std::promise<void> mBreaks;
  std::shared_future<void> mBroke = mBreaks.get_future().share();
  RawEngine mBroken{ [this](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(Head() + "f\r\nid: 1\ndata: a\n\n\r\n");
    mBroke.wait();
  } };
  RawEngine mOther{ [](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(Head() + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
  } };
  int mSocket = -1;
  std::unique_ptr<RawConnection> mCaller;
};

/// Guards against cutting streams because second attempts are used up for a moment, although their
/// callers would wait.
TEST_F(RelayAwaited, AStreamGoesOnOnceThereIsASecondAttempt)
{
  InterruptStream();
  RelayTuning tuning;
  asio::post(mContext, [this, tuning] { mRelay->Tune(tuning); });
  mClock.Advance(std::chrono::milliseconds(200));
  EXPECT_TRUE(mCaller->ReadUntil("data: b\n\n"));
  EXPECT_EQ(Counters().mCut, 0U);
}

/// Guards against callers that wait until they give up although no second attempt becomes
/// available.
TEST_F(RelayAwaited, AStreamThatFindsNoSecondAttemptIsCutInTimeToComeBack)
{
  InterruptStream();
  EXPECT_EQ(Counters().mCut, 0U);
  mClock.Advance(seconds(1));
  EXPECT_FALSE(mCaller->ReadUntil("data: b\n\n"));
  EXPECT_EQ(Counters().mCut, 1U);
}

} // namespace
} // namespace pepperbay
