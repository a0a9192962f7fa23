/// @file
/// @brief Checks whether an engine that closed connections during requests has exited. Used by the
/// relay's thread only.
///
/// A connection that is closed in the middle of an answer proves little: the connection may have
/// been reset, the network may be partitioned, or the engine may fail single requests. An engine
/// whose process has exited refuses the next connection, whichever node opens it; see
/// EngineConnection. Only that makes a request a suspect.
#pragma once

#include "attempt.hpp"
#include "connection_pool.hpp"
#include "pepperbay/quarantine/crash_tracker.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

/// A request whose connection the engine closed before the answer was complete.
struct InterruptedRequest
{
  RequestKey mKey;
  std::string mRequest; ///< the caller's request ID, for the log
  std::vector<PromptPart> mParts;
  Suspicion mSuspicion = Suspicion::kPresent;
  TimePoint mAt{};
  bool mOfReplica = false;     ///< the engine was the head of a replica
  bool mNonRepeatable = false; ///< to a plain service, and must not run twice
};

class ExitProbe
{
public:
  /// An exiting process closes its connections and its listening socket within this time.
  static constexpr std::chrono::milliseconds kProbeDelay{ 10 };
  /// Limit on the requests that are kept for one engine until its state is known. More than an
  /// engine has slots.
  static constexpr std::size_t kMaxPendingRequests = 256;

  using OnFound = std::function<void(const AttemptTarget&, const std::vector<InterruptedRequest>&)>;

  /// @param aPool receives the connections to engines that turn out to be alive
  /// @param aOnExited called when an engine has exited while it had these requests
  /// @param aOnAlive called when an engine that closed the connections of these requests is alive
  /// and reached directly, so that the network path was not at fault
  ExitProbe(EngineConnector* aConnector,
            NowFn aNow,
            ConnectionPool* aPool,
            OnFound aOnExited,
            OnFound aOnAlive);

  /// Notes that an engine closed a request's connection before the answer was complete.
  void OnInterrupted(const AttemptTarget& aEngine, InterruptedRequest aRequest);
  /// Connects to the engines whose check is due.
  void Tick();

private:
  /// Pending check of one engine process.
  struct Pending
  {
    AttemptTarget mTarget;
    std::vector<InterruptedRequest> mRequests;
    TimePoint mProbeAt{};
    bool mProbed = false;
  };

  void OnAnswer(std::uint64_t aEngine, EngineConnection aConnection);

  EngineConnector* mConnector;
  NowFn mNow;
  ConnectionPool* mPool;
  OnFound mOnExited;
  OnFound mOnAlive;
  std::map<std::uint64_t, Pending> mPending; ///< by EngineIncarnationHash()
};

} // namespace pepperbay
