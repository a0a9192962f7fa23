/// @file
/// @brief A lease in a log that appends only at an expected end. Pure.
///
/// The log itself refuses a claim that was not made from the last record, so no state has to be
/// folded: the newest record is the lease. Nodes other than the holder need not read the log while
/// the holder is heard; it tells them its last record in its heartbeats, and to see a record
/// through a heartbeat is later than to see it in the log, which only lengthens a challenger's
/// wait.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/lease/keeper.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pepperbay {

/// What came of an append at an expected end.
struct ConditionalAppend
{
  bool mAppended = false; ///< false: the log ends elsewhere
};

/// The records of the lease's log from an offset on.
struct LeaseTail
{
  std::uint64_t mFirst = 0; ///< offset of the first of these records
  std::vector<std::string> mRecords;
};

struct LogLeaseHooks
{
  std::function<void(std::uint64_t aEnd,
                     const std::string& aRecord,
                     std::function<void(Result<ConditionalAppend>)>)>
    mAppend;
  /// Records from the offset on, or from the first that is kept where that is later.
  std::function<void(std::uint64_t aFrom, std::function<void(Result<LeaseTail>)>)> mRead;
};

/// One node's part in one lease.
///
/// @code
/// LogLease lease(options, hooks, now);
/// lease.Tick();                               // often
/// if (lease.Held()) giveOrders(lease.Fence());
/// @endcode
class LogLease
{
public:
  LogLease(const LeaseOptions& aOptions, LogLeaseHooks aHooks, NowFn aNow);

  void Tick();
  bool Held() const { return mKeeper.Held(mNow()); }
  /// @return whether the newest claim known here is this node's, in force or not.
  bool LastIsMine() const;
  /// The fencing number of this node's orders; also valid while only LastIsMine().
  std::uint64_t Fence() const { return mState.fence(); }
  /// The newest claim known here; for heartbeats.
  const proto::LeaseState& Newest() const { return mState; }
  /// A peer knows of a claim.
  void OnHint(const proto::LeaseState& aState);
  /// Somebody has a higher fencing number: look at the log before the next order.
  void Doubt();
  /// Give the lease back.
  void Release();
  /// Give it to whoever waits least, and take part again.
  void Yield();
  /// How much longer than others this node waits for a lease that has ended.
  void SetStagger(Duration aStagger) { mKeeper.SetStagger(aStagger); }
  /// @return whether the last call to the log failed.
  bool LogLost() const { return mLost; }

private:
  void Read();
  void OnTail(const Result<LeaseTail>& aTail);
  void Claim(const proto::Claim& aClaim);
  void OnAppended(const proto::Claim& aClaim, const Result<ConditionalAppend>& aResult);
  void Apply(std::uint64_t aOffset, const proto::Claim& aClaim);
  void DisownOldClaim();
  void Failed();

  LeaseOptions mOptions;
  LogLeaseHooks mHooks;
  NowFn mNow;
  LeaseKeeper mKeeper;
  proto::LeaseState mState;
  bool mMustRead = true;
  bool mBusy = false;
  bool mLost = false;
  /// Claims were lost or deleted unread: somebody may hold the lease by one of them.
  bool mMayBeHeld = false;
  TimePoint mRetryAt{};
  Duration mRetry{ 0 }; ///< pause after the last failure
};

} // namespace pepperbay
