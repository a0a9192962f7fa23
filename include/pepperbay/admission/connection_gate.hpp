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

#include <cstddef>

namespace pepperbay {

struct ConnectionGateOptions
{
  /// A thread that is later than this, averaged, has no time for more.
  Duration mMostLag = std::chrono::milliseconds(30);
  /// A rush is so many times the usual rate. Below, a node that is late for another reason serves
  /// its own callers on.
  double mRushFrom = 3;
  double mLeastRush = 20; ///< new connections a second; fewer are no rush
  double mFirstRate = 8;  ///< times the usual rate, taken at first in a rush
  double mGrowth = 1.02;  ///< of that rate, while the thread keeps up
  double mFall = 0.8;     ///< of that rate, while it is late
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
  void Control(TimePoint aNow);
  bool IsRush() const;
  bool KnowsUsual(TimePoint aNow) const;

  ConnectionGateOptions mOptions;
  Duration mLag{ 0 };
  double mUsual = 0;  ///< a second
  double mRecent = 0; ///< a second, that came in the last whole period of control
  double mRate = 0;   ///< a second, taken in a rush; 0: none is on
  double mCame = 0;   ///< in this period
  double mTaken = 0;  ///< of these
  TimePoint mPeriodFrom{};
  TimePoint mSince{}; ///< the first look
};

} // namespace pepperbay
