/// @file
/// @brief Test fixture: a relay in front of two engines, the second of which the test adds later.
#pragma once

#include "relay_fixture.hpp"

#include <condition_variable>
#include <mutex>

namespace pepperbay {

inline constexpr const char* kEventA = "f\r\nid: 1\ndata: a\n\n\r\n";
inline constexpr const char* kEventB = "f\r\nid: 2\ndata: b\n\n\r\n";
inline constexpr const char* kStreamEnd = "0\r\n\r\n";

/// States that the engine has not run the request.
inline constexpr const char* kRefusal =
  "HTTP/1.1 503 No\r\nReq: q1\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

inline std::string
StreamHead()
{
  return std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// A manual clock that counts how often the relay reads it. From the count a test knows that the
/// relay has run everything that was due.
class WatchedClock
{
public:
  NowFn Hook()
  {
    return [this] {
      const std::lock_guard<std::mutex> lock(mMutex);
      ++mReads;
      mReadsChanged.notify_all();
      return mNow;
    };
  }

  void Advance(Duration aBy)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mNow += aBy;
  }

  /// Waits until several ticks of the relay have passed.
  void WaitForTicks()
  {
    constexpr std::uint64_t kReads = 60; // a tick reads the clock about five times
    std::unique_lock<std::mutex> lock(mMutex);
    const std::uint64_t enough = mReads + kReads;
    mReadsChanged.wait(lock, [&] { return mReads >= enough; });
  }

private:
  std::mutex mMutex;
  std::condition_variable mReadsChanged;
  TimePoint mNow = BootClock::now();
  std::uint64_t mReads = 0;
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

  /// Publishes a plan in which the second engine takes requests as well.
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

  /// Advances the clock in steps, so that the relay runs what is due in between.
  void AdvanceInSteps(Duration aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 50 };
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      mClock.Advance(kStep);
      mClock.WaitForTicks();
    }
  }

  /// @return the answer. A request that hangs is ended by its deadline: after 10 s of real time the
  /// clock advances by 20 s.
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
