/// @file
/// @brief How many lines of one kind may be written. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace pepperbay {

struct LineBudgetOptions
{
  /// Lines of one kind in a second. All kinds together stay below a few hundred lines, which costs
  /// a small host about a hundredth of a core.
  int mPerSecond = 40;
};

/// May be used by several threads.
class LineBudget
{
public:
  using Clock = std::chrono::steady_clock;

  LineBudget() = default;
  explicit LineBudget(LineBudgetOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// @return whether a line of the kind may be written now. When it may, `aLeftOut` becomes the
  /// number of lines of the kind that could not since the last one.
  bool Take(const std::string& aKind, Clock::time_point aNow, std::uint64_t* aLeftOut);
  std::uint64_t LeftOut() const;

private:
  struct Kind
  {
    Clock::time_point mSecond{};
    int mWritten = 0;
    std::uint64_t mLeftOut = 0;
  };

  LineBudgetOptions mOptions;
  mutable std::mutex mMutex;
  std::map<std::string, Kind> mKinds;
  std::uint64_t mTotalLeftOut = 0;
};

} // namespace pepperbay
