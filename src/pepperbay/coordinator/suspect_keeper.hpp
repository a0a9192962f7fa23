/// @file
/// @brief What all nodes know of requests under which engines end: told to peers at once, kept in
/// the store. Pure.
///
/// Each node sees only the ends that befell its own requests, and the same request comes back at
/// any of them. So each end is told to the others, and a request that two engines have ended under
/// is written into the nodes' log as well: there it reaches nodes that hear no peer, and those that
/// start later.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/quarantine/crash_tracker.hpp"

#include <functional>
#include <map>
#include <optional>
#include <pepperbay.pb.h>
#include <set>
#include <string>

namespace pepperbay {

struct SuspectKeeperOptions
{
  std::string mNode;
  CrashTrackerOptions mBook;
  /// A message that is lost is made good by the next; after so many they all are, or the peer is
  /// away. What holds nothing back is passed on once: each crash of an engine brings some of that.
  int mTellTimes = 3;
  Duration mTellEvery = std::chrono::milliseconds(200);
  /// Shortest time between two writes of this node. A caller with many such requests must not use
  /// up the calls to the store that all nodes share.
  Duration mWriteEvery = std::chrono::milliseconds(100);
  /// A write that failed is made again after the first of these, then after twice the time up to
  /// the second.
  Duration mWriteAgainFirst = std::chrono::milliseconds(400);
  Duration mWriteAgainMost = std::chrono::seconds(5);
  /// Who saw an end writes it. If that node has ended as well, the holder of the lease does, after
  /// this.
  Duration mHolderWritesAfter = std::chrono::seconds(1);
  /// What a request was cleared of is kept for so long: nodes that have not heard go on telling it,
  /// and records of it are read late.
  Duration mRememberClear = std::chrono::minutes(10);
};

struct SuspectKeeperHooks
{
  NowFn mNow;
  /// Write a record of the nodes' log; without a value its key is dropped.
  std::function<
    void(const std::string& aKey, const std::string& aValue, std::function<void(Result<void>)>)>
    mPut;
  /// Tell the nodes that this one exchanges heartbeats with.
  std::function<void(const proto::SuspectNews&)> mTell;
  std::function<void(const char* aEvent, const std::map<std::string, std::string>& aFields)> mLog;
};

/// @code
/// keeper.OnEnd(key, end);        // this node's traffic saw an engine end
/// keeper.OnNews(news, passOn);   // a peer did
/// keeper.Tick(holdsLease);       // often
/// @endcode
class SuspectKeeper
{
public:
  SuspectKeeper(SuspectKeeperOptions aOptions, SuspectKeeperHooks aHooks);

  /// An engine ended that had a request of this node.
  void OnEnd(const RequestKey& aKey, const EngineEnd& aEnd);
  /// An engine ran the request to its end.
  void OnRanWhole(const RequestKey& aKey);
  /// An operator lets a request run again. @return whether it was known
  bool Lift(const RequestKey& aKey);
  /// @param aPassOn others hear of it by this node only
  void OnNews(const proto::SuspectNews& aNews, bool aPassOn);

  /// @return whether a key of the nodes' log is one of these records, and not a node's.
  static bool IsRecord(const std::string& aLogKey);
  void OnRecord(const std::string& aLogKey, const std::optional<std::string>& aValue);
  /// All records of the log follow; what is not among them is not in the store.
  void OnListBegins() { mStored.clear(); }

  /// Do what is due.
  void Tick(bool aHoldsLease);

  const CrashTracker& Book() const { return mBook; }
  /// Grows whenever a request is held back, for longer, or no more.
  std::uint64_t HeldRevision() const { return mHeldRevision; }
  /// Words of peers or records that could not be read.
  std::uint64_t BadRecords() const { return mBadRecords; }

private:
  /// What the newest record of the store says of a request.
  struct Stored
  {
    int mScore = 0;
    std::string mWriter;
  };
  /// Engines whose ends count no more against a request. An engine's start ends only once.
  struct Cleared
  {
    std::set<std::uint64_t> mEngines;
    TimePoint mAt{};
  };
  struct Write
  {
    bool mUnderWay = false;
    TimePoint mDue{};
    Duration mPause{ 0 };
  };

  TimePoint Now() const { return mHooks.mNow(); }
  /// Take ends into the book. @param aBy who says so, for the log. @return whether one was new
  bool Take(const proto::SuspectRequest& aRequest, const char* aBy);
  bool Forget(const RequestKey& aKey, const char* aReason);
  /// @return whether an engine's end counts no more against a request.
  bool IsCleared(const RequestKey& aKey, std::uint64_t aEngine) const;
  /// Drop what is kept beside the book.
  void DropNotes(const RequestKey& aKey);
  /// The book has more of a request. @param aBefore until when it was held back before
  void OnMore(const RequestKey& aKey, TimePoint aBefore, const char* aBy);
  void Expire(bool aHoldsLease);
  proto::SuspectRequest Describe(const RequestKey& aKey) const;
  void TellDue();
  bool NeedsWrite(const RequestKey& aKey, bool aHoldsLease) const;
  void WriteDue(bool aHoldsLease);
  /// @return whether the record was written or is on its way
  bool WriteOne(const RequestKey& aKey, const std::string& aValue);
  /// @param aScore of the record; 0 where it was dropped
  void OnWritten(const RequestKey& aKey, int aScore);

  SuspectKeeperOptions mOptions;
  SuspectKeeperHooks mHooks;
  CrashTracker mBook;
  std::map<RequestKey, int> mToTell;      ///< requests, and how often they are told yet
  std::map<RequestKey, int> mClearedTold; ///< the same for those that were cleared
  std::map<RequestKey, Cleared> mCleared;
  std::set<RequestKey> mOwn; ///< this node saw an engine end under it
  /// Requests that belong into the store, and since when that is known here.
  std::map<RequestKey, TimePoint> mLasting;
  std::map<RequestKey, Stored> mStored;
  std::set<RequestKey> mToDrop; ///< records to be dropped from the store
  std::map<RequestKey, Write> mWrites;
  TimePoint mTellDue{};
  TimePoint mWriteDue{};
  TimePoint mExpireDue{};
  std::uint64_t mBadRecords = 0;
  std::uint64_t mHeldRevision = 0;
};

} // namespace pepperbay
