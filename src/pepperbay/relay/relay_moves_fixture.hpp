/// @file
/// @brief A relay before two engines, of which the test offers the second when it wants to.
#pragma once

#include "relay_fixture.hpp"

#include <condition_variable>
#include <mutex>

namespace pepperbay {

inline constexpr const char* kEventA = "f\r\nid: 1\ndata: a\n\n\r\n";
inline constexpr const char* kEventB = "f\r\nid: 2\ndata: b\n\n\r\n";
inline constexpr const char* kStreamEnd = "0\r\n\r\n";

/// An engine that gives this has not run the request.
inline constexpr const char* kRefusal =
  "HTTP/1.1 503 No\r\nReq: q1\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

inline std::string
StreamHead()
{
  return std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// A clock that the test moves, and that tells when the relay has looked at it often enough to have
/// done all that was due.
class WatchedClock
{
public:
  NowFn Hook()
  {
    return [this] {
      const std::lock_guard<std::mutex> lock(mMutex);
      ++mFaultProbes;
      mBackoffs.notify_all();
      return mNow;
    };
  }

  void Advance(Duration aBy)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mNow += aBy;
  }

  /// Return once several ticks of the relay have passed.
  void WaitForTicks()
  {
    constexpr std::uint64_t kLooks = 60; // a tick looks at the clock some five times
    std::unique_lock<std::mutex> lock(mMutex);
    const std::uint64_t enough = mFaultProbes + kLooks;
    mBackoffs.wait(lock, [&] { return mFaultProbes >= enough; });
  }

private:
  std::mutex mMutex;
  std::condition_variable mBackoffs;
  TimePoint mNow = BootClock::now();
  std::uint64_t mFaultProbes = 0;
};

class RelayMoves : public RelayTest
{
protected:
  void Serve(const std::vector<RawEngine*>& aEngines)
  {
    RelayOptions options;
    options.mNow = mClock.Hook();
    options.mTick = std::chrono::milliseconds(1);
    RelayTest::Serve(aEngines, options);
    // The first request goes to the first engine.
    mPlan.mReplicas["pool"][1].mSuspended = true;
    auto& plain = mPlan.mEngines["plain"];
    mSecondPlain = plain.back();
    plain.pop_back();
    Publish();
  }

  /// From here on the second engine takes requests as well.
  void OfferSecond()
  {
    mPlan.mReplicas["pool"][1].mSuspended = false;
    mPlan.mEngines["plain"].push_back(mSecondPlain);
    Publish();
  }

  std::future<std::string> AskStream()
  {
    return std::async(std::launch::async,
                      [this] { return Ask(Post("/stream/", "x", "Model: m\r\n")); });
  }

  /// Let time pass in steps, so that the relay does in between what is due.
  void Pass(Duration aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 50 };
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      mClock.Advance(kStep);
      mClock.WaitForTicks();
    }
  }

  /// @return an answer that is due; a request that nothing ends is ended by its deadline.
  std::string TextOf(std::future<std::string> aAnswer)
  {
    if (aAnswer.wait_for(seconds(10)) != std::future_status::ready) {
      mClock.Advance(seconds(20));
    }
    return aAnswer.get();
  }

  PoolReplica& FirstReplica() { return mPlan.mReplicas["pool"][0]; }

  WatchedClock mClock;
  EngineTarget mSecondPlain;
};

} // namespace pepperbay
