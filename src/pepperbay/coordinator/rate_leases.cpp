#include "pepperbay/coordinator/rate_leases.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr int kPermille = 1000;
/// How many times more followers another requester must have to take precedence over this one.
constexpr std::size_t kFollowedRatio = 2;

} // namespace

RateLeaseTable::RateLeaseTable(RateLeaseOptions aOptions)
  : mOptions(aOptions)
{
}

TimePoint
RateLeaseTable::EndOf(TimePoint aGranted) const
{
  return aGranted + mOptions.mLength + mOptions.mLength * mOptions.mDriftPermille / kPermille;
}

void
RateLeaseTable::Begin(std::uint64_t aFence, TimePoint aNow)
{
  if (aFence == mFence) {
    return;
  }
  mFence = aFence;
  mEntries.clear();
  mFrom = EndOf(aNow);
}

std::size_t
RateLeaseTable::MaxFollowers(Entry* aEntry, TimePoint aNow) const
{
  std::size_t max = 0;
  for (auto it = aEntry->mRequesters.begin(); it != aEntry->mRequesters.end();) {
    if (aNow - it->second.mAt > mOptions.mContestWindow) {
      it = aEntry->mRequesters.erase(it);
      continue;
    }
    max = std::max(max, it->second.mFollowers);
    ++it;
  }
  return max;
}

std::vector<std::string>
RateLeaseTable::Grant(const RateLeaseRequester& aRequester,
                      const std::vector<std::string>& aDataCentres,
                      TimePoint aNow)
{
  std::vector<std::string> granted;
  for (const auto& it : aDataCentres) {
    Entry& entry = mEntries[it];
    entry.mRequesters[aRequester.mNode] = { aRequester.mFollowers, aNow };
    const bool own =
      entry.mNode == aRequester.mNode && entry.mIncarnation == aRequester.mIncarnation;
    const bool free = aNow >= mFrom && (own || aNow >= entry.mUntil);
    const bool outranked = MaxFollowers(&entry, aNow) > kFollowedRatio * aRequester.mFollowers;
    if (!free || outranked) {
      continue;
    }
    entry.mNode = aRequester.mNode;
    entry.mIncarnation = aRequester.mIncarnation;
    entry.mUntil = EndOf(aNow);
    granted.push_back(it);
  }
  return granted;
}

void
HeldRateLeases::OnGranted(const std::vector<std::string>& aDataCentres,
                          TimePoint aAskedAt,
                          Duration aLength,
                          TimePoint aNow)
{
  if (aAskedAt > aNow || aNow - aAskedAt >= aLength) {
    return;
  }
  // Counted from the request: the holder counts from a later time, whatever the answer's delay.
  const TimePoint until = aAskedAt + aLength;
  for (const auto& it : aDataCentres) {
    RateLease& lease = mLeases[it];
    if (aNow >= lease.mUntil) {
      lease.mSince = aNow;
    }
    lease.mUntil = std::max(lease.mUntil, until);
  }
}

RateLeases
HeldRateLeases::Current(TimePoint aNow)
{
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    it = aNow >= it->second.mUntil ? mLeases.erase(it) : std::next(it);
  }
  return mLeases;
}

} // namespace pepperbay
