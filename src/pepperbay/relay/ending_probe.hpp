/// @file
/// @brief Finds out whether an engine that broke its connections off has ended. Used by the relay's
/// thread only.
///
/// A connection that an engine closes in the middle of an answer says little: the engine may have
/// been reset, cut off, or may fail single requests. An engine whose process has ended refuses the
/// next connection, from wherever it is asked; see EngineConnection. What a request is suspected of
/// rests on that alone.
#pragma once

#include "attempt.hpp"
#include "connection_pool.hpp"
#include "pepperbay/quarantine/crash_tracker.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

/// A request that an engine had when it closed the connection.
struct BrokenOff
{
  RequestKey mKey;
  std::string mRequest; ///< id of the caller's attempt, for the log
  std::vector<PromptPart> mParts;
  Suspicion mSuspicion = Suspicion::kPresent;
  TimePoint mAt{};
  bool mOfReplica = false; ///< the engine was the head of a replica
  bool mOnce = false;      ///< of a plain service, and may run only once
};

class EndingProbe
{
public:
  /// A process that ends closes its connections and its listener within this.
  static constexpr std::chrono::milliseconds kAskAfter{ 10 };
  /// Requests kept for one engine until it is known whether it ended; more than it has places.
  static constexpr std::size_t kMostKept = 256;

  using OnFound = std::function<void(const AttemptTarget&, const std::vector<BrokenOff>&)>;

  /// @param aPool takes the connections of engines that turn out to be alive
  /// @param aOnEnded an engine has ended, with these requests
  /// @param aOnAlive an engine that broke these off is alive, and reached directly: so it was not
  /// the path that failed
  EndingProbe(EngineConnector* aConnector,
              NowFn aNow,
              ConnectionPool* aPool,
              OnFound aOnEnded,
              OnFound aOnAlive);

  /// An engine closed a request's connection before its answer was whole.
  void OnBrokenOff(const AttemptTarget& aEngine, BrokenOff aRequest);
  /// Ask the engines that are due.
  void Tick();

private:
  /// Of one start of one engine.
  struct Pending
  {
    AttemptTarget mTarget;
    std::vector<BrokenOff> mRequests;
    TimePoint mAskAt{};
    bool mAsked = false;
  };

  void OnAnswer(std::uint64_t aEngine, EngineConnection aConnection);

  EngineConnector* mConnector;
  NowFn mNow;
  ConnectionPool* mPool;
  OnFound mOnEnded;
  OnFound mOnAlive;
  std::map<std::uint64_t, Pending> mPending; ///< by EngineIncarnationHash()
};

} // namespace pepperbay
