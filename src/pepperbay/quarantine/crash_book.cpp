#include "pepperbay/quarantine/crash_book.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace pepperbay {
namespace {

/// The time doubles at most this often; more would overflow before the longest time is applied.
constexpr int kMostDoublings = 16;

bool
ByEngine(const EngineEnd& aLeft, const EngineEnd& aRight)
{
  return aLeft.mEngine < aRight.mEngine;
}

} // namespace

std::uint64_t
EngineStartHash(std::string_view aEngine, WallTime aBorn)
{
  return Hash64(aEngine, static_cast<std::uint64_t>(aBorn.time_since_epoch().count()));
}

CrashBook::CrashBook(CrashBookOptions aOptions)
  : mOptions(aOptions)
{
}

bool
CrashBook::Add(const RequestKey& aKey, const EngineEnd& aEnd, TimePoint aNow)
{
  if (mRequests.count(aKey) == 0) {
    MakeRoom();
  }
  Request& request = mRequests[aKey];
  const auto it = std::lower_bound(request.mEnds.begin(), request.mEnds.end(), aEnd, &ByEngine);
  const bool known = it != request.mEnds.end() && it->mEngine == aEnd.mEngine;
  if (known && it->mSuspicion >= aEnd.mSuspicion) {
    return false;
  }
  if (known) {
    request.mScore += static_cast<int>(aEnd.mSuspicion) - static_cast<int>(it->mSuspicion);
    it->mSuspicion = aEnd.mSuspicion;
  } else if (request.mEnds.size() < kMostEnds) {
    request.mScore += static_cast<int>(aEnd.mSuspicion);
    request.mEnds.insert(it, aEnd);
  } else {
    return false;
  }
  request.mLastEnd = std::max(request.mLastEnd, std::min(aEnd.mAt, aNow));
  ++mRevision;
  if (request.mScore >= mOptions.mQuarantineFrom) {
    AccountForEnds();
  }
  return true;
}

void
CrashBook::MakeRoom()
{
  if (mRequests.size() < mOptions.mMost) {
    return;
  }
  const auto least =
    std::min_element(mRequests.begin(), mRequests.end(), [](const auto& aLeft, const auto& aRight) {
      const Request& left = aLeft.second;
      const Request& right = aRight.second;
      return std::tie(left.mScore, left.mLastEnd) < std::tie(right.mScore, right.mLastEnd);
    });
  mRequests.erase(least);
}

bool
CrashBook::Clear(const RequestKey& aKey)
{
  const auto it = mRequests.find(aKey);
  if (it == mRequests.end()) {
    return false;
  }
  const bool accounts = it->second.mScore >= mOptions.mQuarantineFrom;
  mRequests.erase(it);
  ++mRevision;
  if (accounts) {
    AccountForEnds();
  }
  return true;
}

std::vector<RequestKey>
CrashBook::Expire(TimePoint aNow)
{
  std::vector<RequestKey> forgotten;
  for (const auto& [key, request] : mRequests) {
    if (std::max(HeldUntil(request), request.mLastEnd) + mOptions.mRemember <= aNow) {
      forgotten.push_back(key);
    }
  }
  for (const auto& it : forgotten) {
    Clear(it);
  }
  return forgotten;
}

int
CrashBook::Begun(const Request& aRequest)
{
  return static_cast<int>(
    std::count_if(aRequest.mEnds.begin(), aRequest.mEnds.end(), [](const EngineEnd& aIt) {
      return aIt.mSuspicion == Suspicion::kBegun;
    }));
}

int
CrashBook::Charge(const Request& aRequest) const
{
  if (mAccounted.empty()) {
    return aRequest.mScore;
  }
  const int begun = Begun(aRequest);
  int charge = 0;
  for (const auto& it : aRequest.mEnds) {
    const auto cause = mAccounted.find(it.mEngine);
    const bool accounted = cause != mAccounted.end() && cause->second > begun;
    charge += accounted ? 0 : static_cast<int>(it.mSuspicion);
  }
  return charge;
}

void
CrashBook::AccountForEnds()
{
  mAccounted.clear();
  std::map<int, std::vector<const Request*>, std::greater<>> byBegun;
  for (const auto& [key, request] : mRequests) {
    if (request.mScore >= mOptions.mQuarantineFrom) {
      byBegun[Begun(request)].push_back(&request);
    }
  }
  for (auto& [begun, requests] : byBegun) {
    // Of those that began to end equally many, none accounts for another's.
    requests.erase(std::remove_if(requests.begin(),
                                  requests.end(),
                                  [this](const Request* aIt) {
                                    return Charge(*aIt) < mOptions.mQuarantineFrom;
                                  }),
                   requests.end());
    for (const Request* request : requests) {
      for (const auto& it : request->mEnds) {
        if (it.mSuspicion == Suspicion::kBegun) {
          mAccounted.emplace(it.mEngine, begun);
        }
      }
    }
  }
}

TimePoint
CrashBook::HeldUntil(const Request& aRequest) const
{
  const int charge = Charge(aRequest);
  if (charge < mOptions.mHoldFrom) {
    return {};
  }
  if (charge < mOptions.mQuarantineFrom) {
    return aRequest.mLastEnd + mOptions.mHold + mOptions.mSpread;
  }
  const int further = (charge - mOptions.mQuarantineFrom) / static_cast<int>(Suspicion::kBegun);
  const Duration length = mOptions.mQuarantine * (1 << std::min(further, kMostDoublings));
  return aRequest.mLastEnd + std::min(length, mOptions.mMostQuarantine) + mOptions.mSpread;
}

int
CrashBook::Score(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? 0 : it->second.mScore;
}

int
CrashBook::Charge(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? 0 : Charge(it->second);
}

TimePoint
CrashBook::HeldUntil(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? TimePoint{} : HeldUntil(it->second);
}

std::vector<EngineEnd>
CrashBook::Ends(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? std::vector<EngineEnd>{} : it->second.mEnds;
}

SuspectRequests
CrashBook::Suspects() const
{
  SuspectRequests suspects;
  suspects.reserve(mRequests.size());
  for (const auto& [key, request] : mRequests) {
    if (const int charge = Charge(request); charge > 0) {
      suspects[key] = { charge, HeldUntil(request) };
    }
  }
  return suspects;
}

std::vector<RequestKey>
CrashBook::Keys() const
{
  std::vector<RequestKey> keys;
  keys.reserve(mRequests.size());
  for (const auto& [key, request] : mRequests) {
    keys.push_back(key);
  }
  return keys;
}

} // namespace pepperbay
