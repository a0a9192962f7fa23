/// @file
/// @brief Requests that may go to engines with a limit, as the node that counts them gives them
/// out. Pure.
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
  /// Of each limit; the rest is the parts that nodes keep for when nobody counts, see own_part.hpp.
  double mCountedPart = 0.9;
  /// An engine whose limit is lower still gets a request so often, or nobody would hear that the
  /// limit is over.
  double mLeastPerSecond = 0.2;
  /// What was not used is kept for so long, and two requests at least: one for those who go first.
  Duration mKeep = std::chrono::milliseconds(250);
  /// Returns are promised this far ahead at most: callers come back within a third of what they
  /// have left.
  Duration mMostAhead = std::chrono::seconds(2);
  /// What is not used for so long is forgotten.
  Duration mForgetAfter = std::chrono::seconds(30);
};

/// An engine with a limit.
struct LimitedEngine
{
  std::uint32_t mId = 0; ///< by ShortId()
  std::string mDataCentre;
  double mPerSecond = 0; ///< from all nodes together
};

/// What engines with a limit may get, counted by this node alone while it holds the right to; see
/// coordinator/rate_leases.hpp.
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
  /// @return whether this node counts for the engines of a data centre.
  bool Counts(const std::string& aDataCentre, TimePoint aNow) const;

  /// @param aWork what the request is of; those of the same work wait for the same engines
  /// @return whether the engine may get a request of this claimant now
  bool MayTake(const LimitedEngine& aEngine,
               const std::string& aWork,
               const Claimant& aClaimant,
               TimePoint aNow);
  /// Count a request that goes there.
  bool Take(const LimitedEngine& aEngine,
            const std::string& aWork,
            const Claimant& aClaimant,
            TimePoint aNow);
  /// Count a request that was sent without asking.
  void Spend(const LimitedEngine& aEngine, TimePoint aNow);
  /// No engine has anything left for a request.
  /// @param aPerSecond what all engines that do such work take together
  /// @return when the caller should come back
  Duration Refuse(const std::string& aWork,
                  double aPerSecond,
                  const Claimant& aClaimant,
                  TimePoint aNow);
  void Tick(TimePoint aNow);
  /// @return engines that are counted.
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
    TimePoint mPromised{}; ///< when the last one who was refused should come back
  };

  TokenBucket::Options OptionsFor(double aPerSecond) const;
  TokenBucket& BucketOf(const LimitedEngine& aEngine, TimePoint aNow);

  RateLedgerOptions mOptions;
  RateLeases mLeases;
  std::unordered_map<std::uint32_t, Account> mAccounts; ///< by engine
  std::map<std::string, Queue> mQueues;                 ///< by work
};

} // namespace pepperbay
