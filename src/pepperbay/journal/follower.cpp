#include "pepperbay/journal/follower.hpp"

#include <algorithm>

namespace pepperbay {

Follower::Follower(FollowerOptions aOptions, FollowerHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
{
}

bool
Follower::NextRead(TimePoint aNow, LogRead* aRead)
{
  if (mInFlight || aNow < mNotBefore) {
    return false;
  }
  mInFlight = true;
  aRead->mFrom = mSeeking ? mSeekAt : mHooks.mNext();
  aRead->mMax = mOptions.mMaxRead;
  return true;
}

void
Follower::OnRead(const proto::LogRecords& aRecords, TimePoint aNow)
{
  mInFlight = false;
  mLogReachable = true;
  mFailures = 0;
  mLastRead = aNow;
  const bool cut = mHooks.mNext() < aRecords.earliest();
  if (cut || mSeeking) {
    SeekSnapshot(aRecords);
    return;
  }
  Take(aRecords.first_offset(), aRecords.records_size(), [&](int aIndex) -> const std::string& {
    return aRecords.records(aIndex);
  });
  if (mHooks.mNext() >= aRecords.end()) {
    mReachedEnd = true;
  }
}

void
Follower::OnReadFailed(TimePoint aNow)
{
  mInFlight = false;
  mLogReachable = false;
  const int shift = std::min(mFailures, 10);
  mNotBefore = aNow + std::min(mOptions.mRetryMost, mOptions.mRetryFirst * (1 << shift));
  ++mFailures;
}

/// Retention has cut what this node still needed. Read on from the oldest record kept until a
/// snapshot comes whose own successors are still there, then follow from it.
void
Follower::SeekSnapshot(const proto::LogRecords& aRecords)
{
  if (!mSeeking || mSeekAt < aRecords.earliest()) {
    mSeeking = true;
    mSeekAt = aRecords.earliest();
  }
  if (mHooks.mNext() >= aRecords.earliest()) {
    mSeeking = false; // a peer helped meanwhile
    return;
  }
  for (int i = 0; i < aRecords.records_size(); ++i) {
    const std::uint64_t offset = aRecords.first_offset() + static_cast<std::uint64_t>(i);
    if (offset < mSeekAt) {
      continue;
    }
    mSeekAt = offset + 1;
    proto::Record record;
    const bool usable = record.ParseFromString(aRecords.records(i)) && record.has_snapshot() &&
                        record.snapshot().next_offset() >= aRecords.earliest() &&
                        record.snapshot().next_offset() > mHooks.mNext();
    if (usable) {
      mHooks.mInstall(record.snapshot());
      mSeeking = false;
      return;
    }
  }
}

bool
Follower::OnPeerApplied(std::uint64_t aApplied, TimePoint aNow)
{
  if (aApplied <= mHooks.mNext() || aNow < mNextPeerFetch) {
    return false;
  }
  mNextPeerFetch = aNow + mOptions.mPeerFetchEvery;
  return true;
}

void
Follower::OnPeerRecords(const proto::Records& aRecords)
{
  Take(aRecords.first_offset(), aRecords.records_size(), [&](int aIndex) -> const std::string& {
    return aRecords.records(aIndex);
  });
}

void
Follower::OnPeerSnapshot(const proto::Snapshot& aSnapshot)
{
  if (aSnapshot.next_offset() <= mHooks.mNext()) {
    return; // never back to an older state
  }
  mHooks.mInstall(aSnapshot);
  mKept.clear();
  mKeptBytes = 0;
}

void
Follower::Take(std::uint64_t aFirst, int aCount, const std::function<const std::string&(int)>& aAt)
{
  for (int i = 0; i < aCount; ++i) {
    const std::uint64_t offset = aFirst + static_cast<std::uint64_t>(i);
    if (offset < mHooks.mNext()) {
      continue;
    }
    if (offset > mHooks.mNext()) {
      return;
    }
    Keep(offset, aAt(i));
    mHooks.mApply(offset, aAt(i));
  }
}

void
Follower::Keep(std::uint64_t aOffset, const std::string& aBytes)
{
  if (!mKept.empty() && mKept.back().mOffset + 1 != aOffset) {
    mKept.clear();
    mKeptBytes = 0;
  }
  mKept.push_back({ aOffset, aBytes });
  mKeptBytes += aBytes.size();
  while (mKeptBytes > mOptions.mKeepBytes && mKept.size() > 1) {
    mKeptBytes -= mKept.front().mBytes.size();
    mKept.pop_front();
  }
}

proto::Records
Follower::Serve(std::uint64_t aFrom) const
{
  proto::Records records;
  records.set_first_offset(aFrom);
  if (mKept.empty() || aFrom < mKept.front().mOffset) {
    return records;
  }
  const auto skip = static_cast<std::size_t>(aFrom - mKept.front().mOffset);
  for (std::size_t i = skip; i < mKept.size() && i < skip + mOptions.mMaxServe; ++i) {
    records.add_records(mKept[i].mBytes);
  }
  return records;
}

} // namespace pepperbay
