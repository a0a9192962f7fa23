/// @file
/// @brief Opens one connection to an engine: directly, through peers, or both in parallel.
#pragma once

#include "engine_connector.hpp"

namespace pepperbay {

class ConnectOperation : public std::enable_shared_from_this<ConnectOperation>
{
public:
  ConnectOperation(EngineConnector* aConnector, AttemptTarget aEngine, EngineConnector::Done aDone);

  void Start();
  void Tick();
  void Cancel();
  bool IsFinished() const { return mDone == nullptr; }

private:
  enum class Direct
  {
    kNotStarted,
    kPending,
    kRefused,
    kFailed,
    kNotTried, ///< this process lacked descriptors or the like; proves nothing about the engine
  };

  void StartDirect();
  void OnDirect(boost::system::error_code aError);
  static Direct FailureOf(boost::system::error_code aError);
  /// Asks the next peer for a tunnel. @return false if no peer is left to ask
  bool AskPeer();
  /// Asks more peers in parallel, since those asked so far have not answered in time.
  /// @return false if no peer is left to ask
  bool AskMorePeers();
  void OnPeer(const std::string& aPeer, OpenedTunnel aTunnel);
  /// Continues after the direct connection or a tunnel has failed: asks the next peer or finishes.
  void OnPathFailed();
  /// No path is left: finishes, if necessary after a check whether this node reaches other engines.
  void OnNoPathLeft();
  void FinishFailed(bool aNotListening);
  /// Called when a peer reaches the engine. @return whether the direct connection has failed or is
  /// overdue
  bool IsPathFault() const;
  void Finish(EngineConnection aConnection);

  EngineConnector* mConnector;
  AttemptTarget mEngine;
  EngineConnector::Done mDone;
  TimePoint mStartedAt{};
  TimePoint mNextPeerAt{};
  std::size_t mPeersToAsk = 1; ///< peers to ask in parallel at that time
  Direct mDirect = Direct::kNotStarted;
  TimePoint mDirectStartedAt{};
  std::string mReason; ///< error of the direct connection
  Socket mSocket;
  struct AskedPeer
  {
    std::function<void()> mCancel;
    TimePoint mAt{};
  };
  std::map<std::string, AskedPeer> mPendingTunnels; ///< pending tunnels, by peer
  std::set<std::string> mAsked;                     ///< peers asked so far
  std::size_t mFailedPeersAsked = 0;                ///< asked peers that had failed recently
  int mAwayReports = 0; ///< peers that reach others, but not this engine
  int mRefusals = 0;    ///< of these, peers that the engine refused
};

} // namespace pepperbay
