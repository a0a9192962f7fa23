/// @file
/// @brief A client of engines in a process whose processor is slow, in virtual time.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>
#include <vector>

namespace pepperbay {

/// What the processor needs for a call.
struct FakeBusyClientCosts
{
  Duration mBegin = std::chrono::milliseconds(1);  ///< to make a connection and a request
  Duration mLook = std::chrono::microseconds(10);  ///< to look at a call that is under way
  Duration mEnd = std::chrono::microseconds(500);  ///< to read an answer, or to give up
  Duration mEngine = std::chrono::milliseconds(5); ///< from the request's leaving to the answer
};

/// One thread that works in rounds, as HTTP clients do: begin all that is new, then look at each
/// call under way. A request leaves at the first look. A call is given up at the look that finds
/// its time over, whether or not its answer lies there unread.
class FakeBusyClient
{
public:
  FakeBusyClient(NowFn aNow, FakeBusyClientCosts aCosts)
    : mNow(std::move(aNow))
    , mCosts(aCosts)
  {
  }

  /// From now on each call costs so many times as much.
  void SetSlowness(int aTimes) { mSlowness = aTimes; }

  /// @param aAtEngine what the request does where it arrives
  /// @param aDone whether an answer was read
  void Call(Duration aTimeout,
            std::function<void()> aAtEngine,
            std::function<void(bool aAnswered)> aDone)
  {
    ++mCalls;
    mMostOpen = std::max(mMostOpen, ++mOpen);
    mNew.push_back({ aTimeout, std::move(aAtEngine), std::move(aDone) });
  }

  /// Do what the processor had time for until now.
  void Advance()
  {
    const TimePoint now = mNow();
    mTime = std::max(mTime, mLast);
    mLast = now;
    while (mTime < now && !(mNew.empty() && mActive.empty())) {
      Round();
    }
    std::vector<Ended> due;
    const auto later = std::stable_partition(
      mEnded.begin(), mEnded.end(), [now](const Ended& aIt) { return aIt.mAt <= now; });
    std::move(mEnded.begin(), later, std::back_inserter(due));
    mEnded.erase(mEnded.begin(), later);
    for (const auto& it : due) {
      --mOpen;
      it.mDone(it.mAnswered);
    }
  }

  int Calls() const { return mCalls; }
  int MostOpen() const { return mMostOpen; }

private:
  struct Transfer
  {
    Duration mTimeout{ 0 };
    std::function<void()> mAtEngine;
    std::function<void(bool)> mDone;
    TimePoint mBegun{};
    TimePoint mSent{}; ///< the zero time before
  };
  struct Ended
  {
    TimePoint mAt{};
    std::function<void(bool)> mDone;
    bool mAnswered = false;
  };

  void Round()
  {
    const TimePoint begin = mTime;
    for (auto& it : std::exchange(mNew, {})) {
      mTime += mCosts.mBegin * mSlowness;
      it.mBegun = mTime;
      mActive.push_back(std::move(it));
    }
    std::vector<Transfer> active;
    for (auto& it : std::exchange(mActive, {})) {
      mTime += mCosts.mLook * mSlowness;
      const bool late = mTime - it.mBegun > it.mTimeout;
      if (!late && it.mSent == TimePoint{}) {
        it.mSent = mTime;
        it.mAtEngine();
      }
      const bool answered = it.mSent != TimePoint{} && mTime - it.mSent >= mCosts.mEngine;
      if (!late && !answered) {
        active.push_back(std::move(it));
        continue;
      }
      mTime += mCosts.mEnd * mSlowness;
      mEnded.push_back({ mTime, std::move(it.mDone), !late });
    }
    mActive = std::move(active);
    constexpr std::chrono::milliseconds kPoll{ 1 };
    mTime = std::max(mTime, begin + kPoll);
  }

  NowFn mNow;
  FakeBusyClientCosts mCosts;
  int mSlowness = 1;
  int mCalls = 0;
  int mOpen = 0;
  int mMostOpen = 0;
  TimePoint mTime{}; ///< up to which the processor's time is spent
  TimePoint mLast{};
  std::vector<Transfer> mNew;
  std::vector<Transfer> mActive;
  std::vector<Ended> mEnded;
};

} // namespace pepperbay
