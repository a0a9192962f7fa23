/// @file
/// @brief Decides which new client connections a node accepts. Pure.
///
/// An external load balancer may send most new connections of a whole region to one node. The node
/// has to serve each request that it reads, and requests beyond its capacity delay all others. A
/// connection that is closed unread costs its caller one round trip, and the retry reaches another
/// node.
///
/// The cost of a request arises after it was read, so thread lag shows overload too late. In a
/// connection burst the acceptance rate therefore starts at a multiple of the usual rate, grows
/// while the thread keeps up and falls while it lags.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <array>
#include <cstddef>

namespace pepperbay {

struct ConnectionGateOptions
{
  /// Above this averaged lag the thread is overloaded.
  Duration mMaxLag = std::chrono::milliseconds(30);
  /// A burst is at least this multiple of the usual rate. Below it, a node that lags for another
  /// reason still accepts its usual callers.
  double mBurstFactor = 3;
  /// New connections per second; a lower rate is never a burst, since callers whose connections
  /// were cut reconnect all at once.
  double mMinBurst = 200;
  double mFirstRate = 8;      ///< initial rate in a burst, as a multiple of the usual rate
  double mMinFirstRate = 100; ///< per second; lower bound of the initial rate
  double mMinRate = 20;       ///< per second, accepted whatever the lag
  double mGrowth = 1.02;      ///< factor per control period while the thread keeps up
  double mFall = 0.8;         ///< factor per control period while it lags
  Duration mControlEvery = std::chrono::milliseconds(200);
  Duration mUsualOver = std::chrono::seconds(20); ///< averaging time of the usual rate
  std::size_t mMaxOpen = 4096;                    ///< open connections; see MaxCallers()
};

/// @return the number of client connections that a process with this limit of file descriptors may
/// hold: each request needs a second descriptor for its connection to an engine.
std::size_t
MaxCallers(std::size_t aDescriptors);

/// @code
/// gate.OnTick(lag, now);                     // often
/// if (!gate.Takes(open, now)) { close(); }   // for each new connection
/// @endcode
class ConnectionGate
{
public:
  explicit ConnectionGate(ConnectionGateOptions aOptions = {});

  /// @param aLag averaged lag of the thread that serves the connections
  void OnTick(Duration aLag, TimePoint aNow);
  /// @param aOpen connections that are open
  /// @return whether to accept a new connection
  bool Takes(std::size_t aOpen, TimePoint aNow);
  double UsualPerSecond() const { return mUsual; }

private:
  static constexpr std::size_t kPeriods = 5; ///< control periods over which a burst is detected

  void Control(TimePoint aNow);
  bool IsBurst() const;
  bool KnowsUsual(TimePoint aNow) const;

  ConnectionGateOptions mOptions;
  Duration mLag{ 0 };
  double mUsual = 0;                      ///< per second
  std::array<double, kPeriods> mCounts{}; ///< new connections in each of the last control periods
  std::size_t mPeriod = 0;                ///< index of the current one
  double mRate = 0;                       ///< per second, accepted in a burst; 0: no burst
  double mTaken = 0;                      ///< accepted in this period
  TimePoint mPeriodFrom{};
  TimePoint mSince{}; ///< the first tick
};

} // namespace pepperbay
