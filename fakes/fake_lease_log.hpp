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

  ConditionalAppend Append(std::uint64_t aEnd, const std::string& aRecord)
  {
    ConditionalAppend result;
    result.mAppended = aEnd == mRecords.size();
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
      tail.mFirst = std::max<std::uint64_t>(aFrom, mFirst);
      for (std::size_t i = tail.mFirst; i < mRecords.size(); ++i) {
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
  bool mDown = false;
  std::vector<std::pair<std::uint64_t, std::string>> mLate;
  std::function<Fate()> mFate;
};

} // namespace pepperbay
