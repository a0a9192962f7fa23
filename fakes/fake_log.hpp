/// @file
/// @brief A stand-in for the platform's append-only log.
#pragma once

#include "timers.hpp"

#include "pepperbay/http/server.hpp"

#include <deque>
#include <map>
#include <pepperbay.pb.h>
#include <set>

namespace fakes {

/// Faults that can be switched while it runs.
struct LogFaults
{
  bool mOut = false;             ///< every call is answered 503
  bool mHangs = false;           ///< no call is answered
  int mSlowMs = 0;               ///< answers come so much later
  int mLoseAnswers = 0;          ///< so many appends take effect without an answer
  std::set<std::string> mCutOff; ///< callers by IP that get no answer
  std::size_t mRetention = 0;    ///< records kept; 0 keeps all
};

class FakeLog
{
public:
  explicit FakeLog(Timers& aTimers)
    : mTimers(aTimers)
  {
  }

  bool Listen(const std::string& aAddress, int aPort);
  void Handle(const pepperbay::HttpRequest& aRequest,
              const std::shared_ptr<pepperbay::Responder>& aResponder);
  void Change(const std::function<void(LogFaults&)>& aChange);

  std::uint64_t Appends() const;
  std::uint64_t Reads() const;
  std::uint64_t EndOf(const std::string& aStream) const;

private:
  struct Stream
  {
    std::uint64_t mEarliest = 0;
    std::deque<std::string> mRecords;
  };
  struct Waiter
  {
    std::string mStream;
    std::uint64_t mFrom;
    std::size_t mMax;
    std::shared_ptr<pepperbay::Responder> mResponder;
    std::uint64_t mId;
  };

  void Append(const std::string& aStream,
              const std::string& aBody,
              const std::shared_ptr<pepperbay::Responder>& aResponder);
  void Read(const std::string& aStream,
            const pepperbay::HttpRequest& aRequest,
            const std::shared_ptr<pepperbay::Responder>& aResponder);
  std::string RecordsFrom(const std::string& aStream, std::uint64_t aFrom, std::size_t aMax);
  void Answer(const std::shared_ptr<pepperbay::Responder>& aResponder, std::string aBody);

  Timers& mTimers;
  std::unique_ptr<pepperbay::HttpServer> mServer;
  mutable std::mutex mMutex;
  std::map<std::string, Stream> mStreams;
  std::vector<Waiter> mWaiters;
  std::vector<std::shared_ptr<pepperbay::Responder>> mHeld;
  LogFaults mFaults;
  std::uint64_t mLastWaiter = 0;
  std::uint64_t mAppends = 0;
  std::uint64_t mReads = 0;
};

} // namespace fakes
