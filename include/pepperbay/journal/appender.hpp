/// @file
/// @brief Records on their way into the log: batched, sent again until folded, never twice.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

struct AppenderOptions
{
  std::string mAuthor;
  std::uint64_t mIncarnation = 0;
  std::size_t mMaxBatch = 256;             ///< records in one append
  std::size_t mMaxWaiting = 4096;          ///< more are refused at once
  Duration mRetryFirst{ 100'000'000 };     ///< wait after the first failure; doubles
  Duration mRetryMost{ 2'000'000'000 };    ///< longest wait between tries
  Duration mFoldPatience{ 2'000'000'000 }; ///< appended but not folded for so long: send again
};

/// Keeps records until the fold has judged them.
///
/// An append whose answer is lost may have taken effect, so only the fold tells: the same ids are
/// sent again until they come back. One batch is in flight at a time, which keeps the order of ids.
/// Pure: the caller carries batches to the log and reports back.
///
/// @code
/// appender.Submit(record, now + 5s, [](Result<FoldNews> aNews) { ... });
/// if (auto batch = appender.Next(now)) { log.Append(*batch); }   // then OnAnswer()
/// appender.OnFolded(id, outcome);                                // for each record folded
/// @endcode
class Appender
{
public:
  /// What became of a record. The error kTimeout means unknown: it may still be appended.
  using Done = std::function<void(Result<std::uint64_t> aOffset)>;

  explicit Appender(AppenderOptions aOptions);

  /// Queue a record; its format and id are filled in here.
  /// @param aGiveUp when to stop waiting and report kTimeout
  /// @return kUnavailable when too many wait.
  Result<void> Submit(proto::Record aRecord, TimePoint aGiveUp, Done aDone);

  /// @return the batch to append now; empty when there is nothing to do or one is in flight.
  std::vector<std::string> Next(TimePoint aNow);

  /// The log answered, or the call failed.
  void OnAnswer(bool aAppended, TimePoint aNow);

  /// The fold has judged a record of this author and incarnation.
  /// @param aVerdict the offset when accepted, the reason as an error otherwise
  void OnFolded(std::uint64_t aSequence, const Result<std::uint64_t>& aVerdict);

  /// Report records whose time is over.
  void ExpireBefore(TimePoint aNow);

  std::size_t Waiting() const { return mWaiting.size(); }

private:
  struct Entry
  {
    std::uint64_t mSequence;
    std::string mBytes;
    TimePoint mGiveUp;
    TimePoint mResendAt;
    Done mDone;
  };

  AppenderOptions mOptions;
  std::uint64_t mLastSequence = 0;
  std::deque<Entry> mWaiting;
  bool mInFlight = false;
  std::uint64_t mFlightThrough = 0;
  int mFailures = 0;
  TimePoint mNotBefore{};
};

} // namespace pepperbay
