#include "pepperbay/dispatch/claims.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <cctype>

namespace pepperbay {

std::uint32_t
PartitionOf(const std::string& aKey, std::uint32_t aPartitions)
{
  return static_cast<std::uint32_t>(Hash64(aKey) % std::max(1U, aPartitions));
}

std::optional<std::chrono::milliseconds>
TimeOfKey(const std::string& aKey)
{
  constexpr std::size_t kLength = 36;
  constexpr std::size_t kVersionAt = 14;
  if (aKey.size() != kLength || aKey[kVersionAt] != '7') {
    return std::nullopt;
  }
  std::uint64_t ms = 0;
  for (std::size_t i = 0; i < kLength; ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const auto c = static_cast<unsigned char>(aKey[i]);
    if (dash ? c != '-' : std::isxdigit(c) == 0) {
      return std::nullopt;
    }
    constexpr std::size_t kTimeEnds = 13;
    if (!dash && i < kTimeEnds) {
      const int digit = std::isdigit(c) != 0 ? c - '0' : std::tolower(c) - 'a' + 10;
      ms = ms * 16 + static_cast<std::uint64_t>(digit);
    }
  }
  return std::chrono::milliseconds(ms);
}

void
ClaimFold::Apply(std::uint64_t aOffset, std::string_view aBytes)
{
  if (aOffset != mNext) {
    return;
  }
  ++mNext;
  proto::ClaimRecord record;
  if (!record.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      record.key().empty() || record.claim_id().empty()) {
    return;
  }
  const auto it = mClaims.find(record.key());
  switch (record.kind()) {
    case proto::ClaimRecord::CLAIM:
      // The first claim wins; a duplicate record has the same claim id and changes nothing.
      if (it == mClaims.end() && mVoid.count(record.claim_id()) == 0) {
        mClaims[record.key()] = { record.claim_id(), aOffset, std::nullopt, record.fingerprint() };
        mOrder.push_back({ aOffset, record.key() });
      }
      break;
    case proto::ClaimRecord::ANSWER:
      if (it != mClaims.end() && it->second.mId == record.claim_id()) {
        it->second.mAnswer = record.answer();
      }
      break;
    case proto::ClaimRecord::ABANDON:
      // The node has proof that the request did not run: the key is free again.
      if (it == mClaims.end() || it->second.mId != record.claim_id()) {
        MakeVoid(aOffset, record.claim_id());
      } else if (!it->second.mAnswer) {
        MakeVoid(aOffset, record.claim_id());
        mClaims.erase(it);
      }
      break;
    default:
      break;
  }
}

void
ClaimFold::MakeVoid(std::uint64_t aOffset, const std::string& aClaimId)
{
  if (mVoid.emplace(aClaimId, aOffset).second) {
    mVoidOrder.push_back({ aOffset, aClaimId });
  }
}

ClaimVerdict
ClaimFold::Judge(const std::string& aKey, const std::string& aClaimId) const
{
  ClaimVerdict verdict;
  const auto it = mClaims.find(aKey);
  if (it == mClaims.end()) {
    return verdict;
  }
  verdict.mFingerprint = it->second.mFingerprint;
  if (it->second.mId == aClaimId) {
    verdict.mStanding = ClaimStanding::kWon;
  } else if (it->second.mAnswer) {
    verdict.mStanding = ClaimStanding::kAnswered;
    verdict.mAnswer = *it->second.mAnswer;
  } else {
    verdict.mStanding = ClaimStanding::kTaken;
  }
  return verdict;
}

void
ClaimFold::ForgetBefore(std::uint64_t aEarliest)
{
  while (!mOrder.empty() && mOrder.front().mOffset < aEarliest) {
    const auto it = mClaims.find(mOrder.front().mName);
    if (it != mClaims.end() && it->second.mOffset == mOrder.front().mOffset) {
      mClaims.erase(it);
    }
    mOrder.pop_front();
  }
  while (!mVoidOrder.empty() && mVoidOrder.front().mOffset < aEarliest) {
    mVoid.erase(mVoidOrder.front().mName);
    mVoidOrder.pop_front();
  }
}

void
ClaimFold::StartAt(std::uint64_t aOffset)
{
  mNext = std::max(mNext, aOffset);
}

} // namespace pepperbay
