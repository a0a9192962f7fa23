/// @file
/// @brief Which new connections of callers a node takes up. Pure.
///
/// A balancer may send most new connections of a whole region to one node. What that node reads it
/// has to serve, and what it reads beyond its strength comes late for all. A connection that is
/// closed unread costs its caller one round trip, and the next try meets another node.
///
/// What a request costs comes after it was read, so lag shows too late how many were too many. In a
/// rush connections are therefore taken up at a rate that begins at a multiple of the usual one,
/// grows while the thread keeps up and falls when it does not.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <array>
#include <cstddef>

namespace pepperbay {

struct ConnectionGateOptions
{
  /// A thread that is later than this, averaged, has no time for more.
  Duration mMostLag = std::chrono::milliseconds(30);
  /// A rush is so many times the usual rate. Below, a node that is late for another reason serves
  /// its own callers on.
  double mRushFrom = 3;
  /// New connections a second; fewer are no rush. Callers that were cut off come back all at once.
  double mLeastRush = 200;
  double mFirstRate = 8;    ///< times the usual rate, taken at first in a rush
  double mLeastFirst = 100; ///< a second; the same where the usual rate is low
  double mLeastRate = 20;   ///< a second, taken whatever the lag
  double mGrowth = 1.02;    ///< of the rate in a rush, while the thread keeps up
  double mFall = 0.8;       ///< of that rate, while it is late
  Duration mControlEvery = std::chrono::milliseconds(200);
  Duration mUsualOver = std::chrono::seconds(20); ///< over which a rate becomes the usual one
  std::size_t mMostOpen = 4096;                   ///< connections; see MostCallers()
};

/// @return the connections of callers that a process may have that may open so many files: each
/// request takes one more, to an engine.
std::size_t
MostCallers(std::size_t aDescriptors);

/// @code
/// gate.OnTick(lag, now);                     // often
/// if (!gate.Takes(open, now)) { close(); }   // for each new connection
/// @endcode
class ConnectionGate
{
public:
  explicit ConnectionGate(ConnectionGateOptions aOptions = {});

  /// @param aLag how late the thread is that serves the connections, averaged
  void OnTick(Duration aLag, TimePoint aNow);
  /// @param aOpen connections that are open
  bool Takes(std::size_t aOpen, TimePoint aNow);
  double UsualPerSecond() const { return mUsual; }

private:
  static constexpr std::size_t kPeriods = 5; ///< of control, over which a rush is seen

  void Control(TimePoint aNow);
  bool IsRush() const;
  bool KnowsUsual(TimePoint aNow) const;

  ConnectionGateOptions mOptions;
  Duration mLag{ 0 };
  double mUsual = 0;                      ///< a second
  std::array<double, kPeriods> mCounts{}; ///< of the last periods of control, each its connections
  std::size_t mPeriod = 0;                ///< the present one
  double mRate = 0;                       ///< a second, taken in a rush; 0: none is on
  double mTaken = 0;                      ///< in this period
  TimePoint mPeriodFrom{};
  TimePoint mSince{}; ///< the first look
};

} // namespace pepperbay
