/// @file
/// @brief The lease's log for tests: appends at its end only, lost answers, late calls, outages.
#pragma once

#include "pepperbay/lease/log_lease.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace pepperbay {

/// A log that appends only at its end, with answers lost before or after the effect and calls
/// carried out late.
struct FakeLeaseLog
{
  enum class Fate
  {
    kArrives,
    kLost,
    kAnswerLost,
    kLate,
  };

  /// Come back from a copy that lacks the last records; see FakeKeyedLog::GoBack().
  void GoBack(std::size_t aRecords)
  {
    mRecords.resize(mRecords.size() - std::min(aRecords, mRecords.size()));
    constexpr std::uint64_t kEra = std::uint64_t{ 1 } << 32;
    mBase += kEra;
  }

  ConditionalAppend Append(std::uint64_t aEnd, const std::string& aRecord)
  {
    ConditionalAppend result;
    result.mAppended = aEnd == mBase + mRecords.size();
    if (result.mAppended) {
      mRecords.push_back(aRecord);
    }
    return result;
  }

  LogLeaseHooks Hooks()
  {
    LogLeaseHooks hooks;
    hooks.mAppend = [this](std::uint64_t aEnd,
                           const std::string& aRecord,
                           const std::function<void(Result<ConditionalAppend>)>& aDone) {
      const Error lost{ Errc::kTimeout, "lease.append", "store", "" };
      switch (mFate ? mFate() : Fate::kArrives) {
        case Fate::kArrives:
          aDone(Append(aEnd, aRecord));
          return;
        case Fate::kLost:
          break;
        case Fate::kAnswerLost:
          Append(aEnd, aRecord);
          break;
        case Fate::kLate:
          mLate.emplace_back(aEnd, aRecord);
          break;
      }
      aDone(lost);
    };
    hooks.mRead = [this](std::uint64_t aFrom, const std::function<void(Result<LeaseTail>)>& aDone) {
      if (mDown) {
        aDone(Error{ Errc::kUnavailable, "lease.read", "store", "" });
        return;
      }
      LeaseTail tail;
      tail.mFirst = std::max<std::uint64_t>(aFrom, mBase + mFirst);
      if (aFrom < mBase) {
        aDone(tail); // of an earlier era: where to read from
        return;
      }
      for (std::size_t i = tail.mFirst - mBase; i < mRecords.size(); ++i) {
        tail.mRecords.push_back(mRecords[i]);
      }
      aDone(tail);
    };
    return hooks;
  }

  void CarryOutLate()
  {
    for (const auto& [end, record] : mLate) {
      Append(end, record);
    }
    mLate.clear();
  }

  std::vector<std::string> mRecords;
  std::size_t mFirst = 0;
  std::uint64_t mBase = 0; ///< rises when the log comes back from an older copy
  bool mDown = false;
  std::vector<std::pair<std::uint64_t, std::string>> mLate;
  std::function<Fate()> mFate;
};

} // namespace pepperbay
