/// @file
/// @brief Checks the retries of all nodes together against the limit; for tests and benchmarks.
#pragma once

#include "pepperbay/admission/retry_limits.hpp"

#include <algorithm>
#include <vector>

namespace pepperbay {

/// Counts requests and retries by time and compares the sum in each window with the limit.
class RetryAccount
{
public:
  explicit RetryAccount(RetryLimits aLimits)
    : mLimits(aLimits)
  {
  }

  void OnRequest(TimePoint aNow) { ++At(&mRequests, aNow); }
  void OnRetry(TimePoint aNow) { ++At(&mRetries, aNow); }

  /// @return the largest excess of any window over the limit; 0 or less: the limit held. The limit
  /// is that for the most requests of: this window, the previous one, the one half-way between.
  double Excess() const
  {
    double excess = -mLimits.mSlack;
    for (int first = 0; first < Steps(); ++first) {
      const int half = kWindow / 2;
      const int requests = std::max(
        { Sum(mRequests, first), Sum(mRequests, first - half), Sum(mRequests, first - kWindow) });
      excess = std::max(excess, Sum(mRetries, first) - mLimits.mShare * requests - mLimits.mSlack);
    }
    return excess;
  }

  int Retries() const { return Sum(mRetries, 0, Steps()); }

private:
  static constexpr std::chrono::milliseconds kStep{ 100 };
  static constexpr int kWindow = 100; ///< steps

  int& At(std::vector<int>* aCounts, TimePoint aNow)
  {
    if (mBegin == TimePoint{}) {
      mBegin = aNow;
    }
    const auto step = static_cast<std::size_t>((aNow - mBegin) / kStep);
    mRequests.resize(std::max(mRequests.size(), step + 1));
    mRetries.resize(mRequests.size());
    return (*aCounts)[step];
  }

  int Steps() const { return static_cast<int>(mRequests.size()); }

  static int Sum(const std::vector<int>& aCounts, int aFirst, int aMany = kWindow)
  {
    int sum = 0;
    for (int i = std::max(0, aFirst); i < aFirst + aMany && i < static_cast<int>(aCounts.size());
         ++i) {
      sum += aCounts[static_cast<std::size_t>(i)];
    }
    return sum;
  }

  RetryLimits mLimits;
  TimePoint mBegin{};
  std::vector<int> mRequests;
  std::vector<int> mRetries;
};

} // namespace pepperbay
