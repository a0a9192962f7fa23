/// @file
/// @brief A keyed log for tests: pages, deletion of old records, outages, changes between pages.
#pragma once

#include "pepperbay/journal/keyed_log.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pepperbay {

/// A log that keeps the newest record of each key, with faults.
struct FakeKeyedLog
{
  struct Entry
  {
    std::uint64_t mOffset = 0;
    KeyedRecord mRecord;
  };

  void Put(const std::string& aKey, std::optional<std::string> aValue)
  {
    mRecords.push_back({ mEnd++, { aKey, aValue } });
    mAll.push_back({ aKey, aValue });
    if (aValue) {
      mNewest[aKey] = *aValue;
    } else {
      mNewest.erase(aKey);
    }
  }

  /// Come back from a copy that lacks the last records; their offsets are void. What is written
  /// from here on has greater ones than all before.
  void GoBack(std::size_t aRecords)
  {
    mAll.resize(mAll.size() - std::min(aRecords, mAll.size()));
    constexpr std::uint64_t kEra = std::uint64_t{ 1 } << 40;
    mFirst = (mEnd / kEra + 1) * kEra;
    mEnd = mFirst;
    mRecords.clear();
    mNewest.clear();
    for (const auto& it : std::exchange(mAll, {})) {
      Put(it.mKey, it.mValue);
    }
    mRestoredAt = mFirst;
  }

  /// Delete what was written so far, but for the newest of each key.
  void Compact()
  {
    mFirst = mEnd;
    mRecords.clear();
  }

  KeyedLogHooks Hooks()
  {
    KeyedLogHooks hooks;
    hooks.mNewest = [this](const std::string& aAfter,
                           const std::function<void(Result<KeyedPage>)>& aDone) {
      ++mCalls;
      if (mDown) {
        aDone(Error{ Errc::kUnavailable, "log.newest", "store", "" });
        return;
      }
      KeyedPage page;
      page.mEnd = mEnd;
      for (auto it = mNewest.upper_bound(aAfter); it != mNewest.end(); ++it) {
        if (page.mRecords.size() == mPage) {
          page.mMore = true;
          break;
        }
        page.mRecords.push_back({ it->first, it->second });
      }
      if (mBetweenPages) {
        mBetweenPages();
      }
      aDone(page);
    };
    hooks.mRead = [this](std::uint64_t aFrom,
                         Duration /*aWait*/,
                         const std::function<void(Result<KeyedTail>)>& aDone) {
      ++mCalls;
      if (mDown) {
        aDone(Error{ Errc::kUnavailable, "log.read", "store", "" });
      } else if (aFrom < mRestoredAt) {
        aDone(Error{ Errc::kRestored, "log.read", "store", "" });
      } else if (aFrom < mFirst) {
        aDone(Error{ Errc::kNotFound, "log.read", "store", "" });
      } else {
        KeyedTail tail;
        tail.mEnd = mEnd;
        tail.mNext = mEnd;
        for (const auto& it : mRecords) {
          if (it.mOffset >= aFrom) {
            tail.mRecords.push_back(it.mRecord);
          }
        }
        aDone(tail);
      }
    };
    return hooks;
  }

  std::vector<Entry> mRecords;
  std::vector<KeyedRecord> mAll; ///< written since the beginning, deleted or not
  std::uint64_t mRestoredAt = 0; ///< offsets before this are of an earlier era
  std::map<std::string, std::string> mNewest;
  std::uint64_t mEnd = 0;
  std::uint64_t mFirst = 0;
  std::size_t mPage = 2;
  bool mDown = false;
  int mCalls = 0;
  std::function<void()> mBetweenPages;
};

} // namespace pepperbay
