/// How many engines a stream is sent to, and which of them it may be sent to again.
#include "pepperbay/base/hash.hpp"
#include "relay_moves_fixture.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

/// After this time without data, the head of a replica reported as lost counts as stalled.
constexpr milliseconds kStallTimeout{ 200 };

class RelayAttempts : public RelayMoves
{
protected:
  /// An engine that refuses the first requests and serves the later ones.
  static RawEngine::Script RefuseFirst(int aRefusals, std::atomic<int>* aRequests)
  {
    return [aRefusals, aRequests](RawConnection& aConnection) {
      if (aConnection.ReadRequest().empty()) {
        return; // a probe that only checks whether the engine listens
      }
      aConnection.Write(++*aRequests <= aRefusals ? std::string(kRefusal)
                                                  : StreamHead() + kEventB + kStreamEnd);
    };
  }

  /// An engine that answers the first request with one event and resets that connection on command.
  /// It serves all later requests.
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
      mReset.get_future().wait();
      aConnection.Reset();
    }

    std::atomic<int> mRequests{ 0 };
    std::promise<void> mBegan;
    std::promise<void> mReset;
    RawEngine mEngine{ [this](RawConnection& aConnection) { Script(aConnection); } };
  };

  /// Waits up to 10 s for the next request to the slot allocator.
  /// @return the request; an empty message if there was none
  proto::PlaceMessage AwaitSlotRequest()
  {
    const TimePoint until = BootClock::now() + seconds(10);
    while (BootClock::now() < until) {
      {
        const std::lock_guard<std::mutex> lock(mRecordsMutex);
        while (mMessagesRead < mSentToAllocators.size()) {
          proto::PlaceMessage message;
          message.ParseFromString(mSentToAllocators[mMessagesRead++]);
          if (message.has_ask()) {
            return message;
          }
        }
      }
      std::this_thread::yield();
    }
    ADD_FAILURE() << "no request to the slot allocator within 10 s";
    return {};
  }

  /// Sends the slot allocator's answer: a slot granted at the engine with this index.
  void Grant(const proto::PlaceMessage& aRequest, std::size_t aEngine)
  {
    const PoolReplica& replica = mPlan.mReplicas["pool"][aEngine];
    proto::PlaceMessage message;
    message.set_node("desk");
    auto* answer = message.mutable_answer();
    answer->set_id(aRequest.ask().id());
    answer->set_outcome(proto::PlaceAnswer::GRANTED);
    answer->set_group(replica.mGroup);
    answer->set_epoch(replica.mEpoch);
    answer->set_head(replica.mHead.mId);
    answer->set_address(replica.mHead.mAddress);
    answer->set_desk_address("127.0.0.1:1");
    asio::post(mContext,
               [this, bytes = message.SerializeAsString()] { mRelay->OnAllocatorMessage(bytes); });
  }

  std::size_t mMessagesRead = 0;

  void AwaitRefusal() const
  {
    while (mRefusalReports == 0) {
      std::this_thread::yield();
    }
  }
};

/// Guards against cutting a stream when its first engine dies because an earlier refusal by the
/// second engine counts towards the route's maximum number of engines.
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
  AdvanceInSteps(kStallTimeout);
  AwaitRefusal();
  AdvanceInSteps(milliseconds(300));
  EXPECT_EQ(requests, 1) << "asked again although the first engine may only be paused";
  first.mReset.set_value();
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(requests, 2);
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// As above, on a route that allows more engines than there are.
TEST_F(RelayAttempts, AnEngineThatHasRefusedTakesTheStreamOfARouteThatAllowsMoreEngines)
{
  mStreamAttempts = 3;
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine second(RefuseFirst(1, &requests));
  Serve({ &first.mEngine, &second });
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  OfferSecond();
  AdvanceInSteps(kStallTimeout);
  AwaitRefusal();
  AdvanceInSteps(milliseconds(300));
  first.mReset.set_value();
  mClock.WaitForTicks();
  AdvanceInSteps(milliseconds(2000));
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(requests, 2);
  EXPECT_TRUE(Has(text, "data: b")) << text;
}

/// A listener that accepts no connection because its backlog is full.
struct FullBacklogListener
{
  FullBacklogListener()
  {
    mListener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    ::listen(mListener, 0);
    socklen_t size = sizeof(address);
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    for (int i = 0; i < 4; ++i) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Pending and established connections both fill the backlog.
      static_cast<void>(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
      mSockets.push_back(socket);
    }
  }
  ~FullBacklogListener()
  {
    for (const int it : mSockets) {
      ::close(it);
    }
    ::close(mListener);
  }
  int mListener = -1;
  std::string mAddress;
  std::vector<int> mSockets;
};

/// Guards against excluding a second engine permanently after a pause in which it accepted no
/// connection: the stream could not continue anywhere once its first engine exits.
TEST_F(RelayAttempts, AnEngineThatPausedTakesTheStreamWhoseFirstEngineDies)
{
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine second(RefuseFirst(0, &requests));
  FullBacklogListener unresponsive;
  Serve({ &first.mEngine, &second });
  const std::string address = mPlan.mReplicas["pool"][1].mHead.mAddress;
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  mPlan.mReplicas["pool"][1].mHead.mAddress = unresponsive.mAddress;
  OfferSecond();
  AdvanceInSteps(milliseconds(600)); // both pause
  EXPECT_GE(Counters().mConnectsFailed["connect: no answer"], 1U);
  FirstReplica().mLost = false;
  mPlan.mReplicas["pool"][1].mHead.mAddress = address;
  Publish();
  AdvanceInSteps(milliseconds(200)); // both have recovered
  first.mReset.set_value();
  mClock.WaitForTicks();
  AdvanceInSteps(milliseconds(2000));
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(requests, 1);
  EXPECT_TRUE(Has(text, "data: b")) << text;
}

/// Guards against a stream that has no second attempt left after three engines paused and accepted
/// no connection, although another engine is healthy.
TEST_F(RelayAttempts, AStreamThatMetThreePausesGoesOnAtAFourthEngine)
{
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine fourth(RefuseFirst(0, &requests));
  FullBacklogListener unresponsive;
  Serve({ &first.mEngine, &fourth });
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  for (const char* id : { "d1", "d2", "d3" }) {
    PoolReplica replica = mPlan.mReplicas["pool"][0];
    replica.mGroup = std::string("r") + id;
    replica.mHead = { id, unresponsive.mAddress, "" };
    mPlan.mReplicas["pool"].push_back(replica);
  }
  FirstReplica().mLost = true;
  Publish();
  AdvanceInSteps(milliseconds(1500)); // all of them pause
  EXPECT_GE(Counters().mConnectsFailed["connect: no answer"], 3U);
  FirstReplica().mLost = false;
  OfferSecond();
  AdvanceInSteps(milliseconds(200));
  first.mReset.set_value();
  mClock.WaitForTicks();
  AdvanceInSteps(milliseconds(2000));
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(requests, 1);
  EXPECT_TRUE(Has(text, "data: b")) << text;
}

/// As `AnEngineThatHasRefusedTakesTheStreamWhoseFirstEngineDies`, but the first engine stays silent
/// and its connection is never closed.
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
  AdvanceInSteps(kStallTimeout);
  AwaitRefusal();
  AdvanceInSteps(seconds(1));
  const std::string text = TextOf(std::move(answer));
  first.mReset.set_value();
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against cutting a stream although the replica of its first head was re-formed under the
/// same head, which can take the stream again.
TEST_F(RelayAttempts, AHeadOfAReformedReplicaTakesItsStreamAgain)
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
  AdvanceInSteps(kStallTimeout);
  asked.get_future().wait();
  AwaitLogLine("attempt_failed");
  FirstReplica().mLost = false;
  FirstReplica().mEpoch += 1;
  Publish();
  mClock.WaitForTicks();
  first.mReset.set_value();
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(first.mRequests, 2);
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
}

/// Guards against sending a stream to more engines than its route allows.
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
  AdvanceInSteps(kStallTimeout);
  AwaitRefusal();
  mPlan.mReplicas["pool"][2].mSuspended = false;
  Publish();
  AdvanceInSteps(milliseconds(300));
  first.mReset.set_value();
  AdvanceInSteps(seconds(2));
  const std::string text = TextOf(std::move(answer));
  EXPECT_FALSE(Has(text, kStreamEnd)) << text;
  EXPECT_EQ(third.Requests(), 0);
  EXPECT_EQ(requests, 2) << "sent to the second engine again, but not a third time";
}

/// Guards against exceeding the route's maximum number of engines because of a slot allocator,
/// which does not know how many engines the stream was sent to.
TEST_F(RelayAttempts, ASlotAtAThirdEngineIsReleased)
{
  FirstEngine first;
  std::atomic<int> requests{ 0 };
  RawEngine second(RefuseFirst(1, &requests));
  RawEngine third([](RawConnection& aConnection) { aConnection.ReadRequest(); });
  mPlan.mIsAllocator = false;
  mPlan.mAllocators = { { "desk", "127.0.0.1:1" } };
  Serve({ &first.mEngine, &second, &third });
  OfferSecond();
  auto answer = AskStream();
  Grant(AwaitSlotRequest(), 0);
  first.mBegan.get_future().wait();
  mClock.WaitForTicks();
  FirstReplica().mLost = true;
  Publish();
  mClock.Advance(kStallTimeout);
  Grant(AwaitSlotRequest(), 1);
  AwaitRefusal();
  mClock.Advance(milliseconds(300));
  mClock.WaitForTicks();
  first.mReset.set_value();
  const proto::PlaceMessage request = AwaitSlotRequest();
  const std::set<std::uint32_t> tried(request.ask().tried().begin(), request.ask().tried().end());
  EXPECT_EQ(tried, (std::set<std::uint32_t>{ ShortId("e0"), ShortId("e2") }));
  Grant(request, 2);
  mClock.WaitForTicks();
  mClock.Advance(milliseconds(250));
  Grant(AwaitSlotRequest(), 1);
  const std::string text = TextOf(std::move(answer));
  EXPECT_TRUE(Has(text, "data: b")) << text;
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
  EXPECT_EQ(third.Requests(), 0);
}

/// Guards against sending a stream to a second engine that is silent for this node as well. That
/// uses up the last engine which the route allows, while another engine could serve the stream.
TEST_F(RelayAttempts, AStreamDoesNotMoveToAHeadThatIsStalledForThisNode)
{
  FirstEngine first;
  FirstEngine silent;
  RawEngine sound([](RawConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Write(StreamHead() + kEventB + kStreamEnd);
  });
  Serve({ &first.mEngine, &silent.mEngine, &sound });
  auto& replicas = mPlan.mReplicas["pool"];
  replicas[2].mSuspended = true;
  replicas[2].mHead.mDataCentre = "far"; // makes the silent engine the preferred one
  Publish();
  auto answer = AskStream();
  first.mBegan.get_future().wait();
  replicas[0].mSuspended = true;
  replicas[1].mSuspended = false;
  Publish();
  auto other = AskStream();
  silent.mBegan.get_future().wait();
  mClock.WaitForTicks();
  replicas[0].mLost = true;
  replicas[2].mSuspended = false;
  mClock.Advance(kStallTimeout);
  Publish();
  mClock.WaitForTicks();
  const std::string text = TextOf(std::move(answer));
  EXPECT_EQ(silent.mRequests, 1);
  EXPECT_EQ(sound.Requests(), 1);
  EXPECT_TRUE(Has(text, kStreamEnd)) << text;
  silent.mReset.set_value();
  first.mReset.set_value();
  TextOf(std::move(other));
}

} // namespace
} // namespace pepperbay
