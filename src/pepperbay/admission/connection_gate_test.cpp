#include "pepperbay/admission/connection_gate.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kHighLag{ 60 };

class Gate
{
public:
  /// Ticks, with evenly spread connections. @return how many were accepted
  int Run(double aPerSecond, Duration aFor, Duration aLag)
  {
    int taken = 0;
    double due = 0;
    for (const TimePoint end = mNow + aFor; mNow < end; mNow += kTick) {
      mGate.OnTick(aLag, mNow);
      due += aPerSecond * std::chrono::duration<double>(kTick).count();
      for (; due >= 1; due -= 1) {
        taken += mGate.Takes(0, mNow) ? 1 : 0;
      }
    }
    return taken;
  }

  ConnectionGate mGate;
  TimePoint mNow = TimePoint(std::chrono::hours(1));
};

/// Guards against a node that is slow, or was suspended, refusing its usual callers.
TEST(ConnectionGate, UsualConnectionsAreTakenThoughTheThreadIsLate)
{
  Gate gate;
  gate.Run(50, seconds(30), milliseconds(0));
  EXPECT_EQ(gate.Run(100, seconds(5), kHighLag), 500);
}

/// Guards against refusing a moderate increase that the node could serve.
TEST(ConnectionGate, AFewTimesTheUsualRateIsTakenByANodeThatKeepsUp)
{
  Gate gate;
  gate.Run(50, seconds(30), milliseconds(0));
  EXPECT_EQ(gate.Run(350, seconds(5), milliseconds(0)), 1750);
}

/// Guards against idle nodes refusing callers that reconnect at once after their connections were
/// cut.
TEST(ConnectionGate, CallersThatReconnectAtOnceAreTaken)
{
  Gate gate;
  gate.Run(2, seconds(30), milliseconds(0));
  EXPECT_EQ(gate.Run(1000, milliseconds(180), kHighLag), 180);
}

/// After a restart of all nodes their callers reconnect at once.
TEST(ConnectionGate, ANewProcessThatKeepsUpTakesAll)
{
  Gate gate;
  EXPECT_EQ(gate.Run(1000, seconds(5), milliseconds(0)), 5000);
}

/// After the loss of other nodes the rate stays high; callers refused for ever would find no node.
TEST(ConnectionGate, ANodeThatKeepsUpEventuallyTakesAll)
{
  Gate gate;
  gate.Run(20, seconds(30), milliseconds(0));
  gate.Run(1000, seconds(30), milliseconds(0));
  EXPECT_EQ(gate.Run(1000, seconds(1), milliseconds(0)), 1000);
}

TEST(ConnectionGate, ANodeThatLagsInABurstTakesTheUsualRate)
{
  Gate gate;
  gate.Run(50, seconds(30), milliseconds(0));
  gate.Run(1000, seconds(10), kHighLag);
  EXPECT_LT(gate.Run(1000, seconds(1), kHighLag), 2 * 50);
}

/// A process without free file descriptors can neither accept a connection nor connect to an
/// engine.
TEST(ConnectionGate, NoMoreAreTakenThanMayBeOpen)
{
  ConnectionGateOptions options;
  options.mMaxOpen = 10;
  ConnectionGate gate(options);
  const TimePoint now(std::chrono::hours(1));
  EXPECT_TRUE(gate.Takes(9, now));
  EXPECT_FALSE(gate.Takes(10, now));
  EXPECT_EQ(MaxCallers(4100), 2460U);
}

/// A node with a single-threaded server: a request costs time when it is read, and more time with
/// each of its events.
class Node
{
public:
  static constexpr Duration kRead = milliseconds(1);
  static constexpr Duration kEvent = std::chrono::microseconds(120);
  static constexpr int kEvents = 25;
  static constexpr milliseconds kEventEvery{ 60 };
  static constexpr milliseconds kMaxLate{ 120 };

  struct Count
  {
    int mRead = 0;
    int mInTime = 0;
    int mUnread = 0;
  };

  /// @return the outcome of the connections of this run.
  Count Run(double aPerSecond, Duration aFor)
  {
    const std::size_t from = mRequests.size();
    Count count;
    count.mUnread = Serve(aPerSecond, aFor);
    const std::size_t to = mRequests.size();
    constexpr int kTicks = 500;
    for (int i = 0; i < kTicks; ++i, mNow += kTick) {
      Tick(); // serve the requests that were read to the end
    }
    for (std::size_t i = from; i < to; ++i) {
      ++count.mRead;
      count.mInTime += mRequests[i].mLate ? 0 : 1;
    }
    return count;
  }

  /// @return the number of connections closed unread.
  int Serve(double aPerSecond, Duration aFor)
  {
    int unread = 0;
    double due = 0;
    for (const TimePoint end = mNow + aFor; mNow < end; mNow += kTick) {
      due += aPerSecond * std::chrono::duration<double>(kTick).count();
      for (; due >= 1; due -= 1) {
        unread += Connect() ? 0 : 1;
      }
      Tick();
    }
    return unread;
  }

private:
  struct Request
  {
    TimePoint mNextEvent{};
    int mEvents = 0;
    bool mLate = false;
  };

  bool Connect()
  {
    if (!mGate.Takes(mOpen, mNow)) {
      return false;
    }
    ++mOpen;
    mBacklog += kRead;
    mRequests.push_back({ mNow + kEventEvery, 0, mBacklog > kMaxLate });
    return true;
  }

  void Tick()
  {
    for (std::size_t i = mFirst; i < mRequests.size(); ++i) {
      Request& request = mRequests[i];
      if (request.mEvents < kEvents && request.mNextEvent <= mNow) {
        ++request.mEvents;
        request.mNextEvent += kEventEvery;
        mBacklog += kEvent;
        request.mLate = request.mLate || mBacklog > kMaxLate;
        mOpen -= request.mEvents == kEvents ? 1 : 0;
      }
    }
    while (mFirst < mRequests.size() && mRequests[mFirst].mEvents == kEvents) {
      ++mFirst;
    }
    constexpr int kWeight = 8;
    mLag = (mLag * (kWeight - 1) + mBacklog) / kWeight;
    mBacklog = std::max(Duration::zero(), mBacklog - Duration(kTick));
    mGate.OnTick(mLag, mNow);
  }

  ConnectionGate mGate;
  TimePoint mNow = TimePoint(std::chrono::hours(1));
  Duration mBacklog{ 0 };
  Duration mLag{ 0 };
  std::size_t mOpen = 0;
  std::vector<Request> mRequests;
  std::size_t mFirst = 0; ///< of the requests that have not ended
};

/// Guards against a node that receives the connections of a whole region and serves nearly none of
/// its requests in time.
TEST(ConnectionGate, RequestsReadInABurstAreServedInTime)
{
  for (const double burst : { 60.0, 160.0, 400.0, 1200.0, 5000.0 }) {
    Node node;
    node.Serve(20, seconds(60));
    node.Serve(burst, seconds(3));
    const Node::Count count = node.Run(burst, seconds(5));
    EXPECT_GE(count.mInTime, 0.95 * count.mRead) << burst;
    EXPECT_GE(count.mRead + 1, std::min(burst, 160.0) * 5)
      << burst << ": refused requests that it could serve";
  }
}

} // namespace
} // namespace pepperbay
