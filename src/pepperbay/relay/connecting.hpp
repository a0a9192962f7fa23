/// @file
/// @brief One connection to an engine on its way: directly, through peers, or both at once.
#pragma once

#include "engine_connector.hpp"

namespace pepperbay {

class Connecting : public std::enable_shared_from_this<Connecting>
{
public:
  Connecting(EngineConnector* aConnector, AttemptTarget aEngine, EngineConnector::Done aDone);

  void Start();
  void Tick();
  void Cancel();
  bool Over() const { return mDone == nullptr; }

private:
  enum class Direct
  {
    kNotBegun,
    kOnItsWay,
    kRefused,
    kFailed,
    kNotTried, ///< this process has run out of something; says nothing of the engine
  };

  void BeginDirect();
  void OnDirect(boost::system::error_code aError);
  static Direct FailureOf(boost::system::error_code aError);
  /// @return whether there was one more to ask.
  bool AskPeer();
  /// Those that were asked have said nothing for a while: ask others beside them.
  /// @return whether there was one more to ask
  bool AskMorePeers();
  void OnPeer(const std::string& aPeer, OpenedTunnel aTunnel);
  /// Go on after one way has failed: ask the next peer, or end.
  void OnWayFailed();
  /// No way is left: end, perhaps once it is known whether this node reaches other engines.
  void OnNoWay();
  void FinishUnconnected(bool aGone);
  /// A peer reaches the engine. @return whether a direct connection should have stood by now
  bool IsPathFault() const;
  void Finish(EngineConnection aConnection);

  EngineConnector* mConnector;
  AttemptTarget mEngine;
  EngineConnector::Done mDone;
  TimePoint mBegun{};
  TimePoint mNextPeerAt{};
  std::size_t mAskNext = 1; ///< peers to ask at once then
  Direct mDirect = Direct::kNotBegun;
  TimePoint mDirectBegun{};
  std::string mWhy; ///< what was wrong with the direct connection
  Socket mSocket;
  struct AskedPeer
  {
    std::function<void()> mCancel;
    TimePoint mAt{};
  };
  std::map<std::string, AskedPeer> mOpenings; ///< by peer
  std::set<std::string> mAsked;               ///< peers
  std::size_t mFailingAsked = 0;              ///< of these, that had failed lately
  int mHeardOf = 0;                           ///< peers that had a word on the engine
  int mRefusals = 0; ///< of these, that the engine refuses them and others do not
};

} // namespace pepperbay
