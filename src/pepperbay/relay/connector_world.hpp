/// @file
/// @brief An engine connector with simulated engines and peers, in virtual time.
#pragma once

#include "engine_connector.hpp"

#include <boost/asio/error.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pepperbay {

enum class PathKind
{
  kOpen,
  kSilent, ///< packets are dropped
  kRefuses,
};

enum class PeerKind
{
  kTunnels,
  kLate,   ///< opens tunnels, but answers slowly
  kFull,   ///< opens no tunnel at the moment
  kFrozen, ///< accepts the request and never answers
  kGone,   ///< no process listens
  kCut,    ///< reaches no engine either: its paths are silent
};

class ConnectorWorld
{
public:
  static constexpr std::chrono::milliseconds kRoundTrip{ 4 };
  static constexpr std::chrono::milliseconds kLate{ 16 };
  static constexpr std::chrono::seconds kRetransmission{ 1 }; ///< time-out of a lost SYN

  explicit ConnectorWorld(int aEngines, const std::string& aNode = "node")
    : mConnector(mContext, Options(aNode), Hooks())
  {
    for (int i = 0; i < aEngines; ++i) {
      const std::string id = "e" + std::to_string(i);
      mEngines.push_back({ id, id, {}, "c0" });
    }
  }

  void SetPeers(const ProxyPeers& aPeers)
  {
    mConnector.SetPeers(std::make_shared<const ProxyPeers>(aPeers));
  }

  /// Advances the time in steps of 1 ms and runs what is due. Ticks keep their phase over calls.
  void Run(Duration aFor)
  {
    constexpr std::chrono::milliseconds kStep{ 1 };
    for (const TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      mClock.Advance(kStep);
      while (!mDue.empty() && mDue.begin()->first <= mClock.Now()) {
        const auto what = mDue.begin()->second;
        mDue.erase(mDue.begin());
        what();
      }
      if (mClock.Now() >= mTickDue) {
        mTickDue += mTick;
        mConnector.Tick();
      }
    }
  }

  /// @return whether a connection to the engine was established.
  bool CanConnect(std::size_t aEngine)
  {
    std::optional<bool> stands;
    mConnector.Connect(mEngines[aEngine], [&stands](const EngineConnection& aConnection) {
      stands = aConnection.mSocket.has_value();
    });
    while (!stands) {
      Run(std::chrono::milliseconds(1));
    }
    return *stands;
  }

  /// Simulates one request that finds no pooled connection. Like the relay, it tries other engines
  /// when a connection fails.
  /// @return the time until a connection was established, or std::nullopt if all attempts failed
  std::optional<Duration> Request(std::size_t aFirst)
  {
    constexpr std::size_t kConnects = 3;
    const TimePoint begun = mClock.Now();
    for (std::size_t i = 0; i < kConnects; ++i) {
      if (CanConnect((aFirst + i) % mEngines.size())) {
        return mClock.Now() - begun;
      }
    }
    return std::nullopt;
  }

  bool Paused(const std::string& aEngine) const
  {
    const auto it = mPausedUntil.find(aEngine);
    return it != mPausedUntil.end() && mClock.Now() < it->second;
  }

  ManualClock mClock;
  PathKind mPath = PathKind::kOpen;              ///< from this node to all engines
  std::map<std::string, PathKind> mPathTo;       ///< exceptions for single engines
  std::map<std::string, TimePoint> mPausedUntil; ///< engines that accept no connection
  std::map<std::string, PeerKind> mPeerKinds;    ///< default: kTunnels
  std::vector<AttemptTarget> mEngines;
  Duration mTick = std::chrono::milliseconds(20); ///< default of the relay
  int mDirectPathDownEvents = 0;                  ///< times that the direct path was found down
  int mTunnelRequests = 0;                        ///< tunnel requests to peers

private:
  static EngineConnectorOptions Options(const std::string& aNode)
  {
    EngineConnectorOptions options;
    options.mNode = aNode;
    options.mDataCentre = "c0";
    return options;
  }

  EngineConnectorHooks Hooks()
  {
    EngineConnectorHooks hooks;
    hooks.mNow = mClock.Hook();
    hooks.mOnDirectPathChange = [this](bool aDown) { mDirectPathDownEvents += aDown ? 1 : 0; };
    hooks.mEngines = [this] { return mEngines; };
    hooks.mOnTunnelled = [] {};
    hooks.mOnProbeConnected = [](const AttemptTarget&, const EngineSocket&) {};
    hooks.mDial = [this](Socket&, const std::string& aAddress, auto aDone) {
      After(kRoundTrip, [this, aAddress, done = std::move(aDone)] { Answer(aAddress, done); });
    };
    hooks.mAskPeer = [this](boost::asio::io_context&,
                            const ProxyPeer& aPeer,
                            const std::string& aAddress,
                            const TunnelRequest& aRequest,
                            const TunnelOpening::Done& aDone) {
      ++mTunnelRequests;
      Ask(aPeer.mNode, aAddress, aRequest, aDone);
      return [] {}; // cancelling does nothing: late answers are ignored
    };
    return hooks;
  }

  void After(Duration aAfter, std::function<void()> aWhat)
  {
    mDue.emplace(mClock.Now() + aAfter, std::move(aWhat));
  }

  void Answer(const std::string& aAddress,
              const std::function<void(boost::system::error_code)>& aDone)
  {
    const auto it = mPathTo.find(aAddress);
    const PathKind path = it == mPathTo.end() ? mPath : it->second;
    if (path == PathKind::kRefuses) {
      aDone(boost::asio::error::make_error_code(boost::asio::error::connection_refused));
    } else if (path == PathKind::kSilent || Paused(aAddress)) {
      After(kRetransmission, [this, aAddress, aDone] { Answer(aAddress, aDone); });
    } else {
      aDone({});
    }
  }

  void Ask(const std::string& aPeer,
           const std::string& aAddress,
           const TunnelRequest& aRequest,
           const TunnelOpening::Done& aDone)
  {
    const auto it = mPeerKinds.find(aPeer);
    switch (it == mPeerKinds.end() ? PeerKind::kTunnels : it->second) {
      case PeerKind::kTunnels:
        After(kRoundTrip, [=] { OpenTunnel(aAddress, aRequest, aDone); });
        return;
      case PeerKind::kLate:
        After(kRoundTrip + kLate, [=] { OpenTunnel(aAddress, aRequest, aDone); });
        return;
      case PeerKind::kFull:
        After(kRoundTrip, [aDone] { aDone({ TunnelAnswer::kNotNow, false, std::nullopt }); });
        return;
      case PeerKind::kFrozen:
        return;
      case PeerKind::kGone:
        After(kRoundTrip, [aDone] { aDone({}); });
        return;
      case PeerKind::kCut:
        After(aRequest.mWithin, [aDone] { aDone({ TunnelAnswer::kSilent, false, std::nullopt }); });
        return;
    }
  }

  void OpenTunnel(const std::string& aAddress,
                  const TunnelRequest& aRequest,
                  const TunnelOpening::Done& aDone)
  {
    if (Paused(aAddress)) {
      After(aRequest.mWithin, [aDone] { aDone({ TunnelAnswer::kSilent, true, std::nullopt }); });
      return;
    }
    OpenedTunnel tunnel;
    tunnel.mAnswer = TunnelAnswer::kOpen;
    tunnel.mSocket.emplace(mContext, boost::asio::ip::tcp::v4());
    aDone(std::move(tunnel));
  }

  boost::asio::io_context mContext{ 1 };
  std::multimap<TimePoint, std::function<void()>> mDue;
  TimePoint mTickDue = mClock.Now();

public:
  EngineConnector mConnector;
};

} // namespace pepperbay
