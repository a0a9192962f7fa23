#include "pepperbay/places/rate_ledger.hpp"

#include <algorithm>

namespace pepperbay {

RateLedger::RateLedger(RateLedgerOptions aOptions)
  : mOptions(aOptions)
{
}

bool
RateLedger::Counts(const std::string& aDataCentre, TimePoint aNow) const
{
  const auto it = mLeases.find(aDataCentre);
  return it != mLeases.end() && aNow < it->second.mUntil;
}

TokenBucket::Options
RateLedger::OptionsFor(double aPerSecond) const
{
  const double rate = std::max(aPerSecond * mOptions.mCountedShare, mOptions.mMinPerSecond);
  constexpr double kMinDepth = 2;
  return { rate,
           std::max(kMinDepth, rate * std::chrono::duration<double>(mOptions.mBurst).count()) };
}

TokenBucket&
RateLedger::BucketOf(const LimitedEngine& aEngine, TimePoint aNow)
{
  const TimePoint since = mLeases.at(aEngine.mDataCentre).mSince;
  const TokenBucket::Options options = OptionsFor(aEngine.mPerSecond);
  auto it = mAccounts.find(aEngine.mId);
  if (it == mAccounts.end()) {
    it = mAccounts.emplace(aEngine.mId, Account{ TokenBucket(options, aNow), since, aNow }).first;
  }
  Account& account = it->second;
  account.mUsed = aNow;
  if (account.mLeaseSince != since) {
    // Another node has held the lease in between and granted the capacity of that time.
    account.mLeaseSince = since;
    account.mBucket.Empty(aNow);
  }
  if (account.mBucket.Current().mPerSecond != options.mPerSecond) {
    account.mBucket.SetOptions(options, aNow);
  }
  return account.mBucket;
}

bool
RateLedger::MayTake(const LimitedEngine& aEngine,
                    const std::string& aWork,
                    const Claimant& aClaimant,
                    TimePoint aNow)
{
  if (!Counts(aEngine.mDataCentre, aNow)) {
    return false;
  }
  const TokenBucket& bucket = BucketOf(aEngine, aNow);
  if (bucket.Level(aNow) < 1.0) {
    return false;
  }
  const auto queue = mQueues.find(aWork);
  // Capacity is not reserved for more urgent requests once the bucket is full, where it would be
  // wasted.
  return bucket.IsFull(aNow) || queue == mQueues.end() ||
         !queue->second.mTurns.IsOutranked(aClaimant, aNow);
}

bool
RateLedger::Take(const LimitedEngine& aEngine,
                 const std::string& aWork,
                 const Claimant& aClaimant,
                 TimePoint aNow)
{
  if (!MayTake(aEngine, aWork, aClaimant, aNow) || !BucketOf(aEngine, aNow).Take(aNow)) {
    return false;
  }
  mQueues[aWork].mTurns.OnTaken(aClaimant, aNow);
  return true;
}

void
RateLedger::Spend(const LimitedEngine& aEngine, TimePoint aNow)
{
  if (Counts(aEngine.mDataCentre, aNow)) {
    BucketOf(aEngine, aNow).Spend(aNow);
  }
}

Duration
RateLedger::Refuse(const std::string& aWork,
                   double aPerSecond,
                   const Claimant& aClaimant,
                   TimePoint aNow)
{
  Queue& queue = mQueues[aWork];
  queue.mTurns.OnRefused(aClaimant, aNow);
  const double rate = std::max(aPerSecond * mOptions.mCountedShare, mOptions.mMinPerSecond);
  const auto apart = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  const TimePoint next = std::max(queue.mPromised, aNow) + apart;
  // A caller with a later retry time has given up by then, and its reserved turn would go unused.
  if (next - aNow <= mOptions.mMaxAhead) {
    queue.mPromised = next;
  }
  return next - aNow;
}

void
RateLedger::Tick(TimePoint aNow)
{
  for (auto it = mAccounts.begin(); it != mAccounts.end();) {
    const bool old = aNow - it->second.mUsed >= mOptions.mExpireAfter;
    it = old ? mAccounts.erase(it) : std::next(it);
  }
  for (auto it = mQueues.begin(); it != mQueues.end();) {
    const bool old = aNow >= it->second.mPromised && it->second.mTurns.IsEmpty(aNow);
    it = old ? mQueues.erase(it) : std::next(it);
  }
}

} // namespace pepperbay
