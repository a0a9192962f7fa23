/// @file
/// @brief Delayed work for the stand-ins: one thread, ordered by time.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace fakes {

using Clock = std::chrono::steady_clock;

class Timers
{
public:
  Timers()
    : mThread([this] { Run(); })
  {
  }
  ~Timers()
  {
    {
      const std::lock_guard lock(mMutex);
      mStop = true;
    }
    mWake.notify_all();
    mThread.join();
  }
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  void After(std::chrono::nanoseconds aDelay, std::function<void()> aWork)
  {
    {
      const std::lock_guard lock(mMutex);
      mDue.emplace(Clock::now() + aDelay, std::move(aWork));
    }
    mWake.notify_one();
  }

private:
  void Run()
  {
    std::unique_lock lock(mMutex);
    while (!mStop) {
      if (mDue.empty()) {
        mWake.wait(lock);
        continue;
      }
      if (mDue.begin()->first > Clock::now()) {
        mWake.wait_until(lock, mDue.begin()->first);
        continue;
      }
      const auto work = std::move(mDue.begin()->second);
      mDue.erase(mDue.begin());
      lock.unlock();
      work();
      lock.lock();
    }
  }

  std::mutex mMutex;
  std::condition_variable mWake;
  std::multimap<Clock::time_point, std::function<void()>> mDue;
  bool mStop = false;
  std::thread mThread;
};

} // namespace fakes
