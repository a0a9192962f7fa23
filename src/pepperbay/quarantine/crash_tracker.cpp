#include "pepperbay/quarantine/crash_tracker.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace pepperbay {
namespace {

/// Limit of the number of doublings; more would overflow before mMaxQuarantine is applied.
constexpr int kMaxDoublings = 16;
/// Limit of the candidates for causes. Those beyond it are most likely bystanders, and the
/// comparison of each candidate with each other takes quadratic time.
constexpr std::size_t kMaxCandidates = 256;

bool
ByEngine(const EngineEnd& aLeft, const EngineEnd& aRight)
{
  return aLeft.mEngine < aRight.mEngine;
}

} // namespace

std::uint64_t
EngineIncarnationHash(std::string_view aEngine, WallTime aBorn)
{
  return Hash64(aEngine, static_cast<std::uint64_t>(aBorn.time_since_epoch().count()));
}

CrashTracker::CrashTracker(CrashTrackerOptions aOptions)
  : mOptions(aOptions)
{
}

bool
CrashTracker::Add(const RequestKey& aKey, const EngineEnd& aEnd, TimePoint aNow)
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
  } else if (request.mEnds.size() < kMaxEnds) {
    request.mScore += static_cast<int>(aEnd.mSuspicion);
    request.mEnds.insert(it, aEnd);
  } else {
    return false;
  }
  request.mLastEnd = std::max(request.mLastEnd, std::min(aEnd.mAt, aNow));
  ++mRevision;
  if (request.mScore >= mOptions.mLongQuarantineScore) {
    AccountForEnds();
  }
  return true;
}

void
CrashTracker::MakeRoom()
{
  if (mRequests.size() < mOptions.mMaxRequests) {
    return;
  }
  const auto least =
    std::min_element(mRequests.begin(), mRequests.end(), [](const auto& aLeft, const auto& aRight) {
      const Request& left = aLeft.second;
      const Request& right = aRight.second;
      return std::tie(left.mScore, left.mLastEnd) < std::tie(right.mScore, right.mLastEnd);
    });
  const bool accounts = least->second.mScore >= mOptions.mLongQuarantineScore;
  mRequests.erase(least);
  if (accounts) {
    AccountForEnds();
  }
}

bool
CrashTracker::Clear(const RequestKey& aKey)
{
  const auto it = mRequests.find(aKey);
  if (it == mRequests.end()) {
    return false;
  }
  const bool accounts = it->second.mScore >= mOptions.mLongQuarantineScore;
  mRequests.erase(it);
  ++mRevision;
  if (accounts) {
    AccountForEnds();
  }
  return true;
}

std::vector<RequestKey>
CrashTracker::Expire(TimePoint aNow)
{
  std::vector<RequestKey> forgotten;
  for (const auto& [key, request] : mRequests) {
    if (std::max(QuarantinedUntil(request), request.mLastEnd) + mOptions.mKeepFor <= aNow) {
      forgotten.push_back(key);
    }
  }
  for (const auto& it : forgotten) {
    Clear(it);
  }
  return forgotten;
}

int
CrashTracker::Charge(const Request& aRequest) const
{
  int charge = 0;
  for (const auto& it : aRequest.mEnds) {
    const auto cause = mAccounted.find(it.mEngine);
    const bool another = cause != mAccounted.end() && cause->second != aRequest.mCause;
    charge += another ? 0 : static_cast<int>(it.mSuspicion);
  }
  return charge;
}

struct CrashTracker::Candidate
{
  Request* mRequest = nullptr;
  std::vector<std::uint64_t> mBegun; ///< engines whose exits it may explain, ordered by hash
  std::ptrdiff_t mAlone = 0;         ///< number of these that no other candidate has

  bool operator<(const Candidate& aOther) const
  {
    return std::tuple(mBegun.size(), mAlone, aOther.mBegun) <
           std::tuple(aOther.mBegun.size(), aOther.mAlone, mBegun);
  }
};

std::vector<CrashTracker::Candidate>
CrashTracker::Candidates()
{
  std::vector<Candidate> candidates;
  for (auto& [key, request] : mRequests) {
    request.mCause = 0;
    if (request.mScore >= mOptions.mLongQuarantineScore) {
      candidates.push_back({ &request, {}, 0 });
    }
  }
  const std::size_t n = std::min(candidates.size(), kMaxCandidates);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(n),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return aLeft.mRequest->mScore > aRight.mRequest->mScore;
                    });
  candidates.resize(n);
  std::unordered_map<std::uint64_t, int> shared;
  for (auto& it : candidates) {
    for (const auto& end : it.mRequest->mEnds) {
      if (end.mSuspicion == Suspicion::kBegun) {
        it.mBegun.push_back(end.mEngine);
        ++shared[end.mEngine];
      }
    }
  }
  for (auto& it : candidates) {
    it.mAlone = std::count_if(
      it.mBegun.begin(), it.mBegun.end(), [&](std::uint64_t aIt) { return shared[aIt] == 1; });
  }
  return candidates;
}

void
CrashTracker::AccountForEnds()
{
  mAccounted.clear();
  std::vector<Candidate> candidates = Candidates();
  for (int cause = 1; !candidates.empty(); ++cause) {
    const Candidate best = *std::max_element(candidates.begin(), candidates.end());
    if (Charge(*best.mRequest) < mOptions.mLongQuarantineScore) {
      return;
    }
    for (const auto engine : best.mBegun) {
      mAccounted.emplace(engine, cause);
    }
    std::vector<Candidate> left;
    for (auto& it : candidates) {
      if (it.mBegun == best.mBegun) {
        it.mRequest->mCause = cause;
        continue;
      }
      std::vector<std::uint64_t> begun;
      std::set_difference(it.mBegun.begin(),
                          it.mBegun.end(),
                          best.mBegun.begin(),
                          best.mBegun.end(),
                          std::back_inserter(begun));
      it.mBegun = std::move(begun);
      left.push_back(std::move(it));
    }
    candidates = std::move(left);
  }
}

TimePoint
CrashTracker::QuarantinedUntil(const Request& aRequest) const
{
  const int charge = Charge(aRequest);
  if (charge < mOptions.mShortQuarantineScore) {
    return {};
  }
  if (charge < mOptions.mLongQuarantineScore) {
    return aRequest.mLastEnd + mOptions.mShortQuarantine + mOptions.mSpread;
  }
  const int further =
    (charge - mOptions.mLongQuarantineScore) / static_cast<int>(Suspicion::kBegun);
  const Duration length = mOptions.mLongQuarantine * (1 << std::min(further, kMaxDoublings));
  return aRequest.mLastEnd + std::min(length, mOptions.mMaxQuarantine) + mOptions.mSpread;
}

int
CrashTracker::Score(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? 0 : it->second.mScore;
}

int
CrashTracker::Charge(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? 0 : Charge(it->second);
}

TimePoint
CrashTracker::QuarantinedUntil(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? TimePoint{} : QuarantinedUntil(it->second);
}

std::vector<EngineEnd>
CrashTracker::Ends(const RequestKey& aKey) const
{
  const auto it = mRequests.find(aKey);
  return it == mRequests.end() ? std::vector<EngineEnd>{} : it->second.mEnds;
}

SuspectRequests
CrashTracker::Suspects() const
{
  SuspectRequests suspects;
  suspects.reserve(mRequests.size());
  for (const auto& [key, request] : mRequests) {
    if (const int charge = Charge(request); charge > 0) {
      suspects[key] = { charge, QuarantinedUntil(request) };
    }
  }
  return suspects;
}

std::vector<RequestKey>
CrashTracker::Keys() const
{
  std::vector<RequestKey> keys;
  keys.reserve(mRequests.size());
  for (const auto& [key, request] : mRequests) {
    keys.push_back(key);
  }
  return keys;
}

} // namespace pepperbay
