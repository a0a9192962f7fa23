/// @file
/// @brief Token bucket: tokens arrive at a constant rate and are kept up to a depth. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

namespace pepperbay {

/// In any interval without a Fill() a bucket grants at most its rate times the interval, plus its
/// depth.
///
/// @code
/// TokenBucket bucket({ 3.0, 2.0 }, now);
/// if (bucket.Take(now)) { send(); }
/// @endcode
class TokenBucket
{
public:
  struct Options
  {
    double mPerSecond = 1;
    double mDepth = 1; ///< maximum number of tokens; at least 1, or none could be taken
  };

  /// A bucket starts empty: its previous owner may have just spent all tokens.
  TokenBucket(Options aOptions, TimePoint aNow);

  /// Changes the rate and depth from now on. The level is kept, up to the new depth.
  void SetOptions(Options aOptions, TimePoint aNow);
  const Options& Current() const { return mOptions; }

  double Level(TimePoint aNow) const;
  bool IsFull(TimePoint aNow) const { return Level(aNow) >= mOptions.mDepth; }
  /// Takes one token. @return false if there is no whole token
  bool Take(TimePoint aNow);
  /// Deducts a token that was spent without Take(). The level falls to minus the depth at most.
  void Spend(TimePoint aNow);
  /// Drops all tokens; the refill starts from now.
  void Empty(TimePoint aNow);
  /// As many tokens as the depth, whatever was taken before.
  void Fill(TimePoint aNow);

private:
  void Advance(TimePoint aNow);

  Options mOptions;
  double mLevel = 0;
  TimePoint mAt{};
};

} // namespace pepperbay
