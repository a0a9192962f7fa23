/// @file
/// @brief Connections to engines: of this node's own, or through a peer where that does not stand.
/// Used by the relay's thread only.
///
/// Connecting costs an engine nothing and runs nothing, so a second way is tried beside the first
/// after tens of milliseconds, for every kind of request; the request itself is sent once, over the
/// connection that stands first. What that shows of the path is kept, see reach/way_book.hpp.
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
  WallTime mBorn{};     ///< of the engine's start
  std::string mDataCentre;
};

/// A connection to an engine that stands.
struct EngineSocket
{
  Socket mSocket;
  std::string mPeer;                ///< that carries it; empty: none
  std::shared_ptr<void> mCarriedBy; ///< counts it as long as it is there
};

/// What came of connecting.
struct EngineConnection
{
  std::optional<EngineSocket> mSocket;
  /// No process listens at its address, by the word of two places that reach other engines.
  bool mGone = false;
  std::string mWhy; ///< it does not stand
};

struct EngineConnectorOptions
{
  std::string mNode;
  std::string mDataCentre;
  Duration mTimeout = std::chrono::milliseconds(120);
  /// A peer is asked where a connection does not stand after this: several round trips between data
  /// centres.
  Duration mPeerAfter = std::chrono::milliseconds(20);
  /// The path to an engine that is silent and was found well is tried again after this, and then
  /// after twice the time, up to the most, for as long as that goes on.
  Duration mLookAgain = std::chrono::milliseconds(500);
  Duration mLookAgainMost = std::chrono::seconds(4);
  /// So many of the peers that have failed lately are asked for one connection, after the others.
  std::size_t mMostFailing = 3;
};

/// Begins a connection; see Dial().
using DialFn = std::function<
  void(Socket&, const std::string& aAddress, std::function<void(boost::system::error_code)> aDone)>;

/// Asks a peer for a connection to an engine. @return what ends the question without an answer
using AskPeerFn = std::function<std::function<void()>(boost::asio::io_context&,
                                                      const ProxyPeer&,
                                                      const std::string& aAddress,
                                                      const TunnelRequest&,
                                                      TunnelOpening::Done)>;

/// Asks over the network, with a TunnelOpening.
std::function<void()>
OpenTunnel(boost::asio::io_context& aContext,
           const ProxyPeer& aPeer,
           const std::string& aAddress,
           const TunnelRequest& aRequest,
           TunnelOpening::Done aDone);

struct EngineConnectorHooks
{
  NowFn mNow;
  /// Own connections are avoided from now on, or used again.
  std::function<void(bool aAvoids)> mOnAvoid;
  /// Engines that may be tried to see whether the path works.
  std::function<std::vector<AttemptTarget>()> mEngines;
  /// A peer carries a connection from now on.
  std::function<void()> mOnCarried;
  /// A connection that was only tried stands, and may be used.
  std::function<void(const AttemptTarget&, EngineSocket)> mKeep;
  DialFn mDial = &Dial;
  AskPeerFn mAskPeer = &OpenTunnel;
};

class Connecting;

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

  /// @param aDone called once, later, unless it is cancelled
  /// @return for `Cancel()`
  std::uint64_t Connect(const AttemptTarget& aEngine, Done aDone);
  void Cancel(std::uint64_t aId);
  void Tick();

  /// A byte of an engine came.
  /// @param aPeer that carries the connection; empty: none
  void OnHeard(const std::string& aEngine, const std::string& aPeer);
  /// Nothing has come from an engine for long that should have written: see whether its path works,
  /// unless that has just been done.
  void Look(const AttemptTarget& aEngine);
  /// The engine is listed no more.
  void Forget(const std::string& aEngine);
  /// @return when an engine was last heard directly; the zero time for never.
  TimePoint HeardAt(const std::string& aEngine) const;
  /// Find out whether this node reaches any engine but this one; see TunnelServerHooks. Bytes over
  /// a connection that was there before prove nothing: it may live on while new ones fail.
  void FindSight(const std::string& aEngine, TimePoint aSince, std::function<void(bool)> aDone);
  /// A peer that carries something has given nothing for long.
  void OnPeerSilent(const std::string& aPeer);

  Way WayTo(const std::string& aEngine) const;
  /// @return whether a kept connection may be used for an engine.
  bool MayUse(const std::string& aEngine, const std::string& aPeer) const;
  bool Avoids() const { return mWays.Avoids(); }
  TimePoint AvoidsSince() const { return mWays.AvoidsSince(); }
  TimePoint HeardAt() const { return mHeardAt; }
  /// @return whether they differ from those before.
  bool SetPeers(std::shared_ptr<const ProxyPeers> aPeers);
  bool IsPeer(const std::string& aNode) const { return mPeers.Knows(aNode); }
  /// @return whether there is another way than this node's own.
  bool HasPeers() const { return mPeers.Any(); }

private:
  friend class Connecting;

  TimePoint Now() const { return mHooks.mNow(); }
  void OnConnected(const std::string& aEngine);
  /// Engines that are tried after a fault, since one of them may pause as well.
  static constexpr std::size_t kLooksAtFault = 2;

  /// A peer has reached an engine that this node has not. Whether that is all engines' paths is
  /// seen from others first: this one may just have paused.
  void OnPathFault(const std::string& aEngine, TimePoint aBegun);
  void NotePathFault(const std::string& aEngine, TimePoint aBegun);
  void NoteLookedFaults();
  void TellAvoid();
  /// Try whether own connections to engines stand again.
  void TryWay();
  /// Try a connection of this node's own, only to see whether it stands.
  void Try(const AttemptTarget& aEngine, Duration aWithin, std::function<void(bool aStands)> aDone);
  /// @return an engine to try, another each time; null where there is none.
  std::optional<AttemptTarget> NextToTry(const std::set<std::string>& aExcept);
  /// @return whether there is any engine but this one.
  bool HasOther(const std::string& aEngine) const;

  struct Trial;

  boost::asio::io_context& mContext;
  EngineConnectorOptions mOptions;
  EngineConnectorHooks mHooks;
  WayBook mWays;
  ProxyChoice mPeers;
  LastHeard mLastStood; ///< own connections when they were begun
  TimePoint mHeardAt{}; ///< any byte over own connections
  std::map<std::uint64_t, std::shared_ptr<Connecting>> mConnecting;
  std::vector<std::shared_ptr<Trial>> mTrials;
  std::unordered_map<std::string, TimePoint> mHeardOf; ///< by engine, over own connections
  struct Looked
  {
    TimePoint mNext{};
    Duration mPause{ 0 };
  };
  std::unordered_map<std::string, Looked> mLooked; ///< by engine
  std::uint64_t mLastId = 0;
  std::size_t mTried = 0;
  /// Engines whose path faults wait for looks at others, and when their connections were begun.
  std::map<std::string, TimePoint> mFaultsLooked;
  std::set<std::string> mTriedForFaults; ///< these, and the engines that are looked at
  std::size_t mLooks = 0;                ///< under way
  bool mToldAvoid = false;
};

} // namespace pepperbay
