/// @file
/// @brief A log that keeps the newest record of each key, and following it. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct KeyedRecord
{
  std::string mKey;
  std::optional<std::string> mValue; ///< none: the key was dropped
};

/// Some of the newest records, in the order of their keys.
struct KeyedPage
{
  std::vector<KeyedRecord> mRecords;
  bool mMore = false;     ///< ask again after the last key
  std::uint64_t mEnd = 0; ///< offset after the last record of the log
};

/// Records from an offset on.
struct KeyedTail
{
  std::vector<KeyedRecord> mRecords;
  std::uint64_t mEnd = 0;  ///< offset after the last record of the log
  std::uint64_t mNext = 0; ///< offset after the last record that was read
  /// The records are those that differ in a list of the whole log, whose older records had been
  /// deleted.
  bool mOfList = false;
  std::vector<std::uint32_t> mListed; ///< with `mOfList`: the keys in that list, by ShortId()
};

/// Calls to the log; each answers exactly once. A read of records that were deleted answers with
/// Errc::kNotFound; one from an offset that a log which has come back from an older copy gave out
/// before answers with Errc::kRestored. Offsets given out afterwards are greater than all before.
struct KeyedLogHooks
{
  std::function<void(const std::string& aAfterKey, std::function<void(Result<KeyedPage>)>)> mNewest;
  std::function<void(std::uint64_t aFrom, Duration aWait, std::function<void(Result<KeyedTail>)>)>
    mRead;
  /// Calls made from now on use no connection that is open now. May be null.
  std::function<void()> mReplaceConnections = nullptr;
};

/// What the follower tells its owner.
struct KeyedFollowerEvents
{
  /// The whole list was read: keys that are not in it are gone.
  std::function<void(std::vector<KeyedRecord>)> mOnList;
  std::function<void(const KeyedRecord&)> mOnRecord;
  /// The log answers again after it did not.
  std::function<void()> mOnBack;
  /// The log stopped answering.
  std::function<void(const Error&)> mOnLost;
  /// The log has come back from an older copy: the list that follows may lack what was told before.
  /// May be null.
  std::function<void(const Error&)> mOnRestored = nullptr;
  /// Records were read from the log, before each is told: for passing them on. After a list that
  /// was read anew, the changes since the offset `aFrom`, unless the log was restored. May be null.
  std::function<void(std::uint64_t aFrom, const KeyedTail&)> mOnTail = nullptr;
  /// The log has answered, before anything that it says is told. May be null.
  std::function<void()> mOnAnswer = nullptr;
  /// A call has failed, whether or not the log was lost already. May be null.
  std::function<void()> mOnFailure = nullptr;
  /// A call that was late was answered over a connection opened at `aOpened`: others that were open
  /// before may be dead. May be null.
  std::function<void(TimePoint aOpened, Duration aLate)> mOnReplaced = nullptr;
  /// Whether a call that is late may be repeated over a new connection; not asked where another log
  /// has found its connection to be dead. Null: always.
  std::function<bool()> mMayRepeat = nullptr;
};

struct KeyedFollowerOptions
{
  Duration mWait = std::chrono::seconds(20); ///< how long the log may hold a read without news
  Duration mPause{ 0 };                      ///< shortest time between two reads
  Duration mRetryFirst = std::chrono::milliseconds(50); ///< pause after a failed call
  Duration mRetryMost = std::chrono::milliseconds(400); ///< it doubles up to this
  /// A view that is older than this is brought up to date by a read that is not held: a held one
  /// without news would say only at its end whether the log answers at all.
  Duration mMostGap = Duration::max();
  /// A call that is not answered this long after the end of its hold is repeated over a new
  /// connection. A slow log still answers within this.
  Duration mLateAfter = std::chrono::milliseconds(300);
  /// Repetitions of one call. Each is made `mLateAfter` after the one before.
  int mMostRepeats = 2;
};

/// Follows one keyed log: the list first, then records as they come; the list again whenever
/// records that were not read yet have been deleted.
///
/// A connection may be dead without a sign of it. A call that is late is therefore repeated over a
/// new connection, and the first answer counts. Only if no connection answers is the log lost.
///
/// Pages of a list are no snapshot. Reading goes on from the end that the *first* page gave, so a
/// record that was added between two pages is read again rather than missed.
///
/// @code
/// KeyedFollower follower(options, hooks, events);
/// follower.Tick(now); // often
/// if (now - follower.AsOf() < limit) { ... what was told is no older than the limit }
/// @endcode
class KeyedFollower
{
public:
  KeyedFollower(const KeyedFollowerOptions& aOptions,
                KeyedLogHooks aHooks,
                KeyedFollowerEvents aEvents,
                NowFn aNow);

  /// Make the call that is due, if any.
  void Tick();

  /// Records that another node has read, as a tail from an offset on. Records at an offset never
  /// change, so any node is as good a source as the log; only what follows on from what is known
  /// here is taken, and ends the reading of a list. @return whether it was
  bool Feed(std::uint64_t aFrom, const KeyedTail& aTail);
  /// Offset after the last record that was told.
  std::uint64_t Next() const { return mNext; }
  /// @return whether Tick() would make a call: none is under way, and none has just failed.
  bool MayAsk() const { return !mAsking && mNow() >= mDue; }
  /// @return whether Tick() would repeat the call under way over a new connection.
  bool IsLate() const
  {
    return mAsking && mRepeatsLeft > 0 && mNow() >= mLateAt &&
           (mSuspected || !mEvents.mMayRepeat || mEvents.mMayRepeat());
  }
  /// @return whether another log has found the connection of the call under way to be dead.
  bool IsSuspected() const { return mAsking && mSuspected; }
  /// Another log has found that connections opened before a time may be dead. A call that was sent
  /// before then counts as late.
  void SuspectConnection(TimePoint aOpenedBefore);

  /// All that was in the log at this time has been told; the zero time when nothing was read yet.
  TimePoint AsOf() const { return mAsOf; }
  bool HasList() const { return mHasList; }
  /// @return whether the list is to be read before anything else can be told: it never was, or
  /// records that were not read yet are gone.
  bool NeedsList() const { return mListing; }
  /// @return whether a page of the list has been asked for, and not all have been read.
  bool IsReadingList() const { return mListing && (mAsking || mListEnd); }
  /// @return whether the last call failed.
  bool Lost() const { return mLost; }
  /// @return whether the log should have answered the call under way by now.
  bool Overdue() const { return mAsking && mNow() > mAnswerDue; }

private:
  /// One call of a round. A round is a call and its repetitions, and ends with the first answer.
  struct Call
  {
    std::uint64_t mRound = 0;
    bool mIsRepeat = false; ///< sent over a new connection, since the first call was late
    TimePoint mSent{};
    Duration mWait{ 0 };     ///< how long the log may hold it
    std::uint64_t mFrom = 0; ///< offset that is read from; unused for a page of the list
  };

  void Send(bool aIsRepeat);
  void AskNewest(const Call& aCall);
  void AskTail(const Call& aCall);
  void ReplaceConnections();
  /// Handles the end of a call. @return whether its answer counts
  bool EndCall(const Call& aCall, const Error* aError);
  void OnPage(Result<KeyedPage> aPage, const Call& aCall);
  void OnTail(Result<KeyedTail> aTail, const Call& aCall);
  /// Notes the newest value of a record's key, before the record is told.
  void Note(const KeyedRecord& aRecord);
  /// @return what has changed against the values noted, which are those of the list from now on.
  KeyedTail ChangesTo(const std::vector<KeyedRecord>& aList);
  /// Ends the reading of a list, since another node has told what it would say.
  void AbandonList();
  void OnFailure(const Error& aError);
  void OnSuccess();

  KeyedFollowerOptions mOptions;
  KeyedLogHooks mHooks;
  KeyedFollowerEvents mEvents;
  NowFn mNow;
  bool mAsking = false;
  bool mHasList = false;
  bool mListing = true;
  bool mLost = false;
  bool mRestored = false; ///< the list that is being read is of a log that was restored
  std::unordered_map<std::string, std::uint64_t> mKnown; ///< hash of the newest value, by key
  std::vector<KeyedRecord> mList;
  std::optional<std::uint64_t> mListEnd; ///< of the first page
  TimePoint mListSent{};
  std::uint64_t mNext = 0;
  TimePoint mAsOf{};
  TimePoint mDue{};
  TimePoint mAnswerDue{}; ///< of the call under way: end of the time that it may be held
  std::uint64_t mRound = 0;
  int mCalls = 0; ///< of the round, under way
  int mRepeatsLeft = 0;
  TimePoint mFirstSent{};  ///< of the round
  TimePoint mLateAt{};     ///< the round's next call is due
  bool mSuspected = false; ///< another log's word made the call late
  Duration mRetry{ 0 };
};

} // namespace pepperbay
