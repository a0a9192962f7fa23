/// @file
/// @brief Shares what nodes know of requests under which engines exit: sent to peers at once, and
/// persisted in the store. Pure.
///
/// Each node observes only the exits under its own requests, and the same request returns at any
/// node. So each exit is sent to the others, and a request under which two engines have exited is
/// also written to the nodes' log: there it reaches nodes that are cut off from their peers, and
/// those that start later.
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

struct QuarantineManagerOptions
{
  std::string mNode;
  CrashTrackerOptions mCrashes;
  /// How often an update is sent. A lost message is compensated by the next; if as many are lost,
  /// the peer is unreachable. An update that quarantines no request is forwarded once: each exit of
  /// an engine causes some of those.
  int mSendCount = 3;
  Duration mSendInterval = std::chrono::milliseconds(200);
  /// Shortest time between two writes of this node. A caller with many such requests must not use
  /// up the rate of store calls that all nodes share.
  Duration mWriteInterval = std::chrono::milliseconds(100);
  /// A failed write is retried after the first of these, then after twice the pause up to the
  /// second.
  Duration mMinWriteRetry = std::chrono::milliseconds(400);
  Duration mMaxWriteRetry = std::chrono::seconds(5);
  /// The node that observed an exit writes the record. If that node has stopped as well, the lease
  /// holder does, after this.
  Duration mHolderWriteDelay = std::chrono::seconds(1);
  /// How long the exits that a request was cleared of are remembered: nodes that have not been
  /// notified go on sending them, and records are read late.
  Duration mClearRetention = std::chrono::minutes(10);
};

struct QuarantineManagerHooks
{
  NowFn mNow;
  /// Writes a record of the nodes' log; an empty value removes the key.
  std::function<
    void(const std::string& aKey, const std::string& aValue, std::function<void(Result<void>)>)>
    mPut;
  /// Sends an update to the nodes that this one exchanges heartbeats with.
  std::function<void(const proto::SuspectNews&)> mSend;
  std::function<void(const char* aEvent, const std::map<std::string, std::string>& aFields)> mLog;
};

/// @code
/// manager.OnEnd(key, end);           // this node observed an exit
/// manager.OnUpdate(update, passOn);  // a peer observed one
/// manager.Tick(holdsLease);          // often
/// @endcode
class QuarantineManager
{
public:
  QuarantineManager(QuarantineManagerOptions aOptions, QuarantineManagerHooks aHooks);

  /// Records that an engine exited while it had a request of this node.
  void OnEnd(const RequestKey& aKey, const EngineEnd& aEnd);
  /// Records that an engine completed the request.
  void OnRanToCompletion(const RequestKey& aKey);
  /// Releases a request from quarantine on behalf of an operator. @return whether it was known
  bool Lift(const RequestKey& aKey);
  /// @param aPassOn whether to forward the update: other nodes depend on this one for it
  void OnUpdate(const proto::SuspectNews& aUpdate, bool aPassOn);

  /// @return whether a key of the nodes' log belongs to such a record and not to a node.
  static bool IsRecord(const std::string& aLogKey);
  void OnRecord(const std::string& aLogKey, const std::optional<std::string>& aValue);
  /// Announces that all records of the log follow; any other record is no longer in the store.
  void OnListBegins() { mStored.clear(); }

  /// Sends and writes what is due.
  void Tick(bool aHoldsLease);

  const CrashTracker& Crashes() const { return mCrashes; }
  /// Increases whenever a request is quarantined, quarantined for longer, or released.
  std::uint64_t QuarantineRevision() const { return mQuarantineRevision; }
  /// Updates of peers or records that could not be decoded.
  std::uint64_t BadRecords() const { return mBadRecords; }

private:
  /// Contents of the newest record of a request in the store.
  struct Stored
  {
    int mScore = 0;
    std::string mWriter;
  };
  /// Engines whose exits no longer count against a request. Each incarnation of an engine exits
  /// only once.
  struct Cleared
  {
    std::set<std::uint64_t> mEngines;
    TimePoint mAt{};
  };
  struct Write
  {
    bool mPending = false;
    TimePoint mDue{};
    Duration mPause{ 0 };
  };

  TimePoint Now() const { return mHooks.mNow(); }
  /// Adds the exits of an update or record. @param aSource where it came from, for the log. @return
  /// whether one was new
  bool AddEnds(const proto::SuspectRequest& aRequest, const char* aSource);
  bool Forget(const RequestKey& aKey, const char* aReason);
  /// @return whether an engine's exit no longer counts against a request.
  bool IsCleared(const RequestKey& aKey, std::uint64_t aEngine) const;
  /// Drops the state of a request that is kept outside of `mCrashes`.
  void DropState(const RequestKey& aKey);
  /// Handles additional exits under a request. @param aBefore until when it was quarantined before
  void OnScoreIncreased(const RequestKey& aKey, TimePoint aBefore, const char* aSource);
  void Expire(bool aHoldsLease);
  proto::SuspectRequest Describe(const RequestKey& aKey) const;
  void SendDue();
  bool NeedsWrite(const RequestKey& aKey, bool aHoldsLease) const;
  void WriteDue(bool aHoldsLease);
  /// @return whether the record was written or its write is pending
  bool WriteOne(const RequestKey& aKey, const std::string& aValue);
  /// @param aScore score in the record; 0 if it was removed
  void OnWritten(const RequestKey& aKey, int aScore);

  QuarantineManagerOptions mOptions;
  QuarantineManagerHooks mHooks;
  CrashTracker mCrashes;
  std::map<RequestKey, int> mToSend;       ///< requests, and how often each is still to be sent
  std::map<RequestKey, int> mClearsToSend; ///< the same for requests that were cleared
  std::map<RequestKey, Cleared> mCleared;
  std::set<RequestKey> mObservedHere; ///< this node observed an exit under it
  /// Requests that belong in the store, and since when that is known here.
  std::map<RequestKey, TimePoint> mToPersist;
  std::map<RequestKey, Stored> mStored;
  std::set<RequestKey> mToDrop; ///< records to be removed from the store
  std::map<RequestKey, Write> mWrites;
  TimePoint mSendDue{};
  TimePoint mWriteDue{};
  TimePoint mExpireDue{};
  std::uint64_t mBadRecords = 0;
  std::uint64_t mQuarantineRevision = 0;
};

} // namespace pepperbay
