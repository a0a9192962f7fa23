/// @file
/// @brief Retries as a share of traffic, so that a dark domain does not multiply the load.
#pragma once

namespace pepperbay {

/// A bucket of retries that each request fills a little. Pure; not for several threads at once.
///
/// Without it, every request to a dark domain is tried again on what is left, which doubles the
/// load there just when capacity is lowest. One would notice attempts rising while answers fall.
///
/// @code
/// RetryBudget budget({ 0.1, 10 });
/// budget.OnRequest();
/// if (budget.TakeRetry()) { ... }
/// @endcode
class RetryBudget
{
public:
  struct Options
  {
    double mShare = 0.1; ///< retries earned by one request
    double mBurst = 10;  ///< most retries saved up; also what a quiet node starts with
  };

  explicit RetryBudget(Options aOptions);

  void OnRequest();
  /// @return whether one retry may be made now; it is then spent.
  bool TakeRetry();
  double Left() const { return mLeft; }
  /// The settings or the number of nodes that share the budget have changed. What is saved up
  /// beyond the new most is gone.
  void SetOptions(Options aOptions);

private:
  Options mOptions;
  double mLeft;
};

} // namespace pepperbay
