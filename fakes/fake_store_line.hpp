/// @file
/// @brief One node's way to the store for tests: reads are held, calls on a silent line run out.
#pragma once

#include "fakes/fake_keyed_log.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>
#include <vector>

namespace pepperbay {

/// What a store sends to all its callers together, shared evenly by the answers under way.
class FakeBandwidth
{
public:
  /// @param aRecordBytes size of each record on the wire
  FakeBandwidth(double aBytesPerSecond, double aRecordBytes)
    : mBytesPerSecond(aBytesPerSecond)
    , mRecordBytes(aRecordBytes)
  {
  }

  double SizeOf(std::size_t aRecords) const { return mRecordBytes * static_cast<double>(aRecords); }
  /// A step of time begins.
  void Advance(Duration aStep)
  {
    const double seconds = std::chrono::duration<double>(aStep).count();
    mShare = mBytesPerSecond * seconds / std::max(1, std::exchange(mAnswers, 0));
  }
  /// @return the bytes of one answer under way that are sent in this step.
  double Take()
  {
    ++mAnswers;
    return mShare;
  }

private:
  double mBytesPerSecond;
  double mRecordBytes;
  double mShare = 0;
  int mAnswers = 0; ///< under way in this step
};

/// Answers calls as a store over a connection does: at the next Advance(), a read without news when
/// its time is over. What is under way when the line falls silent gets no answer any more.
class FakeStoreLine
{
public:
  /// A caller waits so long beyond the time that a read may be held.
  static constexpr std::chrono::milliseconds kTimeout{ 1000 };

  explicit FakeStoreLine(NowFn aNow)
    : mNow(std::move(aNow))
  {
  }

  KeyedLogHooks Hooks(FakeKeyedLog* aLog)
  {
    KeyedLogHooks hooks;
    hooks.mReplaceConnections = [this] { mDead = false; };
    hooks.mNewest = [this, aLog](const std::string& aAfter,
                                 const std::function<void(Result<KeyedPage>)>& aDone) {
      Call call = NewCall(aLog, Duration::zero());
      call.mAnswers = [] { return true; };
      call.mAnswer = [aLog, aAfter, aDone] { aLog->Hooks().mNewest(aAfter, aDone); };
      call.mRecords = [aLog] { return std::min(aLog->mPage, aLog->mNewest.size()); };
      call.mRunsOut = [aDone] { aDone(Error{ Errc::kTimeout, "log.newest", "store", "" }); };
      mCalls.push_back(std::move(call));
    };
    hooks.mRead = [this, aLog](std::uint64_t aFrom,
                               Duration aWait,
                               const std::function<void(Result<KeyedTail>)>& aDone) {
      Call call = NewCall(aLog, aWait);
      call.mAnswers = [aLog, aFrom] { return aLog->mEnd > aFrom || aLog->mFirst > aFrom; };
      call.mAnswer = [aLog, aFrom, aDone] { aLog->Hooks().mRead(aFrom, Duration::zero(), aDone); };
      call.mRecords = [aLog, aFrom] { return aLog->mFirst > aFrom ? 0 : aLog->mEnd - aFrom; };
      call.mRunsOut = [aDone] { aDone(Error{ Errc::kTimeout, "log.read", "store", "" }); };
      mCalls.push_back(std::move(call));
    };
    return hooks;
  }

  void SetSilent(bool aSilent)
  {
    mSilent = aSilent;
    for (auto& it : mCalls) {
      it.mLost = it.mLost || aSilent;
    }
  }
  /// The connections that are open go dead without a sign: calls under way get no answer, nor do
  /// others until the connections are replaced.
  void BreakConnections()
  {
    mDead = true;
    for (auto& it : mCalls) {
      it.mLost = true;
    }
  }
  /// Only the calls to one log get no answer.
  void SilenceLog(const FakeKeyedLog* aLog)
  {
    mSilentLog = aLog;
    for (auto& it : mCalls) {
      it.mLost = it.mLost || it.mLog == aLog;
    }
  }
  bool Silent() const { return mSilent; }
  /// Answers come so much later than the store has them.
  void SetDelay(Duration aDelay) { mDelay = aDelay; }
  /// Answers take the time that their bytes need. Null: none.
  void SetBandwidth(FakeBandwidth* aBandwidth) { mBandwidth = aBandwidth; }

  /// Answer what is due.
  void Advance()
  {
    const TimePoint now = mNow();
    std::vector<Call> calls;
    calls.swap(mCalls); // an answer may lead to the next call
    for (auto& it : calls) {
      const bool answers =
        !it.mLost && now >= it.mSent + mDelay && (it.mAnswers() || now >= it.mHeldUntil + mDelay);
      if (answers && IsSent(&it)) {
        it.mAnswer();
      } else if ((it.mLost || answers) && now >= it.mHeldUntil + kTimeout) {
        it.mRunsOut();
      } else {
        mCalls.push_back(std::move(it));
      }
    }
  }

private:
  struct Call
  {
    const FakeKeyedLog* mLog = nullptr;
    TimePoint mSent{};
    TimePoint mHeldUntil{};
    bool mLost = false;
    double mSentBytes = 0;
    std::function<std::size_t()> mRecords; ///< of the answer
    std::function<bool()> mAnswers;        ///< there is something to say before the time is over
    std::function<void()> mAnswer;
    std::function<void()> mRunsOut;
  };

  /// Sends the next bytes of an answer. @return whether all of it is sent
  bool IsSent(Call* aCall)
  {
    if (mBandwidth == nullptr || aCall->mRecords() == 0) {
      return true;
    }
    aCall->mSentBytes += mBandwidth->Take();
    return aCall->mSentBytes >= mBandwidth->SizeOf(aCall->mRecords());
  }

  Call NewCall(const FakeKeyedLog* aLog, Duration aWait) const
  {
    Call call;
    call.mLog = aLog;
    call.mSent = mNow();
    call.mHeldUntil = call.mSent + aWait;
    call.mLost = mSilent || mDead || aLog == mSilentLog;
    return call;
  }

  NowFn mNow;
  bool mSilent = false;
  Duration mDelay{ 0 };
  FakeBandwidth* mBandwidth = nullptr;
  bool mDead = false; ///< connections that are open give no answer
  const FakeKeyedLog* mSilentLog = nullptr;
  std::vector<Call> mCalls;
};

} // namespace pepperbay
