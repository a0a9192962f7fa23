/// @file
/// @brief Limits retries to a share of traffic, so that the outage of a fabric domain does not
/// multiply the load.
#pragma once

namespace pepperbay {

/// A token bucket of retries that is refilled by requests. Pure; not thread-safe.
///
/// Without it, every request to a failed fabric domain is retried on the remaining replicas, which
/// doubles their load when capacity is lowest. The symptom is that attempts rise while answers
/// fall.
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
    double mBurst = 10;  ///< maximum number of saved retries; also the initial number
  };

  explicit RetryBudget(Options aOptions);

  void OnRequest();
  /// Takes one retry. @return false if none is left
  bool TakeRetry();
  double Left() const { return mLeft; }
  /// Applies changed settings or a changed number of nodes that share the budget. Saved retries
  /// above the new maximum are dropped.
  void SetOptions(Options aOptions);

private:
  Options mOptions;
  double mLeft;
};

} // namespace pepperbay
