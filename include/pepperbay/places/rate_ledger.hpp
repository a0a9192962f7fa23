/// @file
/// @brief Counts requests to engines with a rate limit, on the node that holds the rate lease.
/// Pure: no I/O and no clock of its own.
#pragma once

#include "pepperbay/admission/fairness_tracker.hpp"
#include "pepperbay/admission/token_bucket.hpp"
#include "pepperbay/routing/traffic_plan.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace pepperbay {

struct RateLedgerOptions
{
  /// Fraction of each limit that is granted here. The rest is set aside for local shares when no
  /// node counts, see local_share.hpp.
  double mCountedShare = 0.9;
  /// Minimum rate at which an engine gets requests, however low its limit; without it, no node
  /// would learn that the limit is over.
  double mMinPerSecond = 0.2;
  /// Burst: unused capacity is kept for this time, and two requests at least, of which one is for
  /// the most urgent.
  Duration mBurst = std::chrono::milliseconds(250);
  /// Retry times are reserved at most this far ahead, since callers come back within a third of the
  /// time they have left.
  Duration mMaxAhead = std::chrono::seconds(2);
  /// An account that is not used for this time is dropped.
  Duration mExpireAfter = std::chrono::seconds(30);
};

/// An engine with a rate limit.
struct LimitedEngine
{
  std::uint32_t mId = 0; ///< by ShortId()
  std::string mDataCentre;
  double mPerSecond = 0; ///< limit in requests per second, from all nodes together
};

/// Grants requests to engines with a limit. Only the node that holds the rate lease of a data
/// centre counts for its engines, see coordinator/rate_leases.hpp.
///
/// @code
/// if (ledger.Counts(engine.mDataCentre, now) && ledger.Take(engine, "pool/m", claimant, now)) {
///   send();
/// } else {
///   refuse(ledger.Refuse("pool/m", engine.mPerSecond, claimant, now));
/// }
/// @endcode
class RateLedger
{
public:
  explicit RateLedger(RateLedgerOptions aOptions = {});

  void SetLeases(RateLeases aLeases) { mLeases = std::move(aLeases); }
  /// @return whether this node holds the rate lease of a data centre.
  bool Counts(const std::string& aDataCentre, TimePoint aNow) const;

  /// @param aWork kind of request; requests of the same kind wait for the same engines
  /// @return whether the engine may get a request of this claimant now; spends nothing
  bool MayTake(const LimitedEngine& aEngine,
               const std::string& aWork,
               const Claimant& aClaimant,
               TimePoint aNow);
  /// Grant and count a request. @return false where the limit does not allow it
  bool Take(const LimitedEngine& aEngine,
            const std::string& aWork,
            const Claimant& aClaimant,
            TimePoint aNow);
  /// Count a request that was sent without a grant.
  void Spend(const LimitedEngine& aEngine, TimePoint aNow);
  /// Record that a request was refused since all engines have reached their limits.
  /// @param aPerSecond sum of the limits of all engines for this kind of request
  /// @return the time after which the caller should retry
  Duration Refuse(const std::string& aWork,
                  double aPerSecond,
                  const Claimant& aClaimant,
                  TimePoint aNow);
  void Tick(TimePoint aNow);
  /// @return the number of engines with an account.
  std::size_t Size() const { return mAccounts.size(); }

private:
  struct Account
  {
    TokenBucket mBucket;
    TimePoint mLeaseSince{};
    TimePoint mUsed{};
  };
  struct Queue
  {
    FairnessTracker mTurns;
    TimePoint mPromised{}; ///< latest retry time that was handed out
  };

  TokenBucket::Options OptionsFor(double aPerSecond) const;
  TokenBucket& BucketOf(const LimitedEngine& aEngine, TimePoint aNow);

  RateLedgerOptions mOptions;
  RateLeases mLeases;
  std::unordered_map<std::uint32_t, Account> mAccounts; ///< by engine
  std::map<std::string, Queue> mQueues;                 ///< by work
};

} // namespace pepperbay
