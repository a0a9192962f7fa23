/// @file
/// @brief Connections to engines: direct ones, or tunnels through a peer where the direct path
/// fails. Used by the relay's thread only.
///
/// Opening a connection costs an engine almost nothing and runs nothing. So a second path is tried
/// in parallel after some tens of milliseconds, for every kind of request. The request itself is
/// sent once, over the first connection that is established. What this shows about the network
/// paths is recorded, see reach/way_book.hpp.
#pragma once

#include "pepperbay/reach/proxy_choice.hpp"
#include "pepperbay/reach/way_book.hpp"
#include "pepperbay/tunnel/sockets.hpp"
#include "pepperbay/tunnel/tunnel_opening.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct AttemptTarget
{
  std::string mEngine;
  std::string mAddress; ///< IP:port
  WallTime mBorn{};     ///< when the engine process started
  std::string mDataCentre;
};

/// An established connection to an engine.
struct EngineSocket
{
  Socket mSocket;
  std::string mPeer;                  ///< peer that tunnels the connection; empty: direct
  std::shared_ptr<void> mTunnelCount; ///< counts the tunnel at its peer until it is released
};

/// Result of a connection attempt.
struct EngineConnection
{
  std::optional<EngineSocket> mSocket;
  /// No process listens at the engine's address: two nodes that reach other engines were refused,
  /// or this one was if no second node can tell.
  bool mNotListening = false;
  std::string mReason; ///< error; empty when connected
};

struct EngineConnectorOptions
{
  std::string mNode;
  std::string mDataCentre;
  Duration mTimeout = std::chrono::milliseconds(120);
  /// A peer is asked for a tunnel if no connection is established after this time. Several round
  /// trips between data centres.
  Duration mTunnelDelay = std::chrono::milliseconds(20);
  /// First interval between probes of a silent engine whose path was found to work. It doubles with
  /// each probe up to the limit below, as long as the engine stays silent.
  Duration mProbeInterval = std::chrono::milliseconds(500);
  Duration mMaxProbeInterval = std::chrono::seconds(4);
  /// Limit on the recently failed peers that are asked for one connection. They are asked after all
  /// others.
  std::size_t mMaxFailedPeers = 3;
};

/// Starts to connect; see Dial().
using DialFn = std::function<
  void(Socket&, const std::string& aAddress, std::function<void(boost::system::error_code)> aDone)>;

/// Asks a peer for a tunnel to an engine. @return a function that cancels the request
using AskPeerFn = std::function<std::function<void()>(boost::asio::io_context&,
                                                      const ProxyPeer&,
                                                      const std::string& aAddress,
                                                      const TunnelRequest&,
                                                      TunnelOpening::Done)>;

/// Default AskPeerFn: asks over the network with a TunnelOpening.
std::function<void()>
OpenTunnel(boost::asio::io_context& aContext,
           const ProxyPeer& aPeer,
           const std::string& aAddress,
           const TunnelRequest& aRequest,
           TunnelOpening::Done aDone);

struct EngineConnectorHooks
{
  NowFn mNow;
  /// Direct connections are avoided from now on, or used again.
  std::function<void(bool aDown)> mOnDirectPathChange;
  /// @return engines that may be connected to in order to test the network path.
  std::function<std::vector<AttemptTarget>()> mEngines;
  /// A tunnel through a peer was established.
  std::function<void()> mOnTunnelled;
  /// A probe connection was established and may be used for requests.
  std::function<void(const AttemptTarget&, EngineSocket)> mOnProbeConnected;
  DialFn mDial = &Dial;
  AskPeerFn mAskPeer = &OpenTunnel;
};

class ConnectOperation;

/// @code
/// const std::uint64_t id = connector.Connect(engine, [](EngineConnection aConnection) { ... });
/// connector.Cancel(id); // if it is no longer needed
/// @endcode
class EngineConnector
{
public:
  using Done = std::function<void(EngineConnection)>;

  EngineConnector(boost::asio::io_context& aContext,
                  EngineConnectorOptions aOptions,
                  EngineConnectorHooks aHooks);
  ~EngineConnector();
  EngineConnector(const EngineConnector&) = delete;
  EngineConnector& operator=(const EngineConnector&) = delete;

  /// Opens a connection.
  /// @param aDone called once, asynchronously, unless the connect is cancelled
  /// @return ID for `Cancel()`
  std::uint64_t Connect(const AttemptTarget& aEngine, Done aDone);
  void Cancel(std::uint64_t aId);
  void Tick();

  /// Notes that bytes of an engine were received.
  /// @param aPeer peer that tunnels the connection; empty: direct
  void OnHeard(const std::string& aEngine, const std::string& aPeer);
  /// Probes the path to an engine that should have written and has been silent for long, unless it
  /// was probed recently.
  void ProbeIfDue(const AttemptTarget& aEngine);
  /// Discards what is recorded about an engine that is no longer listed.
  void Forget(const std::string& aEngine);
  /// @return when bytes of this engine last arrived over a direct connection; the zero time for
  /// never.
  TimePoint HeardAt(const std::string& aEngine) const;
  /// Checks whether this node reaches any engine other than `aEngine`; see TunnelServerHooks. Only
  /// connections opened since `aSince` count: an older one may still work while new ones fail.
  void CheckReachability(const std::string& aEngine,
                         TimePoint aSince,
                         std::function<void(bool)> aDone);
  /// Notes that a tunnel of a peer has been silent for long.
  void OnPeerSilent(const std::string& aPeer);

  Way WayTo(const std::string& aEngine) const;
  /// @return whether an idle connection through this peer may be used for an engine.
  bool MayUse(const std::string& aEngine, const std::string& aPeer) const;
  bool IsDirectPathDown() const { return mWays.Avoids(); }
  TimePoint DirectPathDownSince() const { return mWays.AvoidsSince(); }
  TimePoint HeardAt() const { return mHeardAt; }
  /// @return whether the peers differ from the previous ones.
  bool SetPeers(std::shared_ptr<const ProxyPeers> aPeers);
  bool IsPeer(const std::string& aNode) const { return mPeers.Knows(aNode); }
  /// @return whether there are peers that can tunnel connections.
  bool HasPeers() const { return mPeers.Any(); }

private:
  friend class ConnectOperation;

  TimePoint Now() const { return mHooks.mNow(); }
  void OnConnected(const std::string& aEngine);
  /// Other engines probed after a path fault. More than one, since one of them may pause as well.
  static constexpr std::size_t kProbesPerFault = 2;

  /// A peer has reached an engine that this node has not reached. Other engines are probed before
  /// the fault is recorded: this engine may only have paused.
  void OnPathFault(const std::string& aEngine, TimePoint aBegun);
  void RecordPathFault(const std::string& aEngine, TimePoint aBegun);
  void RecordPendingFaults();
  void NotifyDirectPath();
  /// Probes whether direct connections to engines work again.
  void ProbeDirectPath();
  /// Opens a direct connection to test the path.
  void ProbeDirect(const AttemptTarget& aEngine,
                   Duration aWithin,
                   std::function<void(bool aConnected)> aDone);
  /// @return an engine to probe, in rotation; none if there is no other.
  std::optional<AttemptTarget> NextToProbe(const std::set<std::string>& aExcept);
  /// @return whether there is any engine other than this one.
  bool HasOtherEngine(const std::string& aEngine) const;

  struct DirectProbe;

  boost::asio::io_context& mContext;
  EngineConnectorOptions mOptions;
  EngineConnectorHooks mHooks;
  WayBook mWays;
  ProxyChoice mPeers;
  LastHeard mLastConnected; ///< direct connections that were established, by engine
  TimePoint mHeardAt{};     ///< last connect, or bytes of any engine, over a direct connection
  std::map<std::uint64_t, std::shared_ptr<ConnectOperation>> mOperations;
  std::vector<std::shared_ptr<DirectProbe>> mProbes;
  std::unordered_map<std::string, TimePoint> mHeardOf; ///< by engine, over direct connections
  struct ProbeBackoff
  {
    TimePoint mNext{};
    Duration mPause{ 0 };
  };
  std::unordered_map<std::string, ProbeBackoff> mBackoffs; ///< by engine
  std::uint64_t mLastId = 0;
  std::size_t mProbeIndex = 0;
  /// Engines with a path fault that waits for the probes of other engines, and when the connection
  /// to each was started.
  std::map<std::string, TimePoint> mPendingFaults;
  std::set<std::string> mProbedForFaults; ///< these engines, and those that are probed for them
  std::size_t mFaultProbes = 0;           ///< pending probes for them
  bool mNotifiedDown = false;
};

} // namespace pepperbay
