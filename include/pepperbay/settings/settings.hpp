/// @file
/// @brief A node's settings: one YAML file, checked whole before any socket opens.
///
/// Every field's unit, range and default stands in docs/OPERATING.md, written from this table.
#pragma once

#include "pepperbay/settings/yaml_reader.hpp"

#include <string>
#include <vector>

namespace pepperbay {

/// Where this node is and where it listens; all addresses are `IP:port`.
struct PlaceSettings
{
  std::string mName;
  std::string mDataCentre;
  std::string mCallers;
  std::string mAdmin;
  std::string mPeers;
  std::string mPeersPublic; ///< where other nodes reach `peers`, when that is another address
  std::string mSource;      ///< IP number of outgoing connections; empty lets the system choose
  std::vector<std::string> mSeeds; ///< peers to ask when the log is out at the start
};

/// The platform's services.
struct PlatformSettings
{
  std::string mLog;
  std::string mHosts;
  std::string mStream = "control";
  std::string mClaimsStream = "claims";
  Duration mTimeout = std::chrono::seconds(2);  ///< one call
  Duration mReadWait = std::chrono::seconds(1); ///< how long the log may hold a read without news
  Duration mReadEvery = std::chrono::milliseconds(100); ///< shortest time between reads
  Duration mHostsEvery = std::chrono::seconds(1);
  int mSnapshotEvery = 2000; ///< records between snapshots
};

/// How nodes and hosts are watched and led.
struct ControlSettings
{
  Duration mTick = std::chrono::milliseconds(50);
  Duration mHeartbeat = std::chrono::milliseconds(500);
  Duration mSuspectAfter = std::chrono::seconds(2);
  Duration mLapseAfter = std::chrono::seconds(6);
  Duration mLease = std::chrono::seconds(6);
  Duration mProbe = std::chrono::milliseconds(500);
  Duration mProbeTimeout = std::chrono::milliseconds(400);
  Duration mFreshness = std::chrono::milliseconds(2000);
  int mProbersPerHost = 2;
  Duration mOrderTimeout = std::chrono::seconds(2);
  Duration mDrainGrace = std::chrono::seconds(2); ///< between failing readiness and stopping
};

/// Placement and repair.
struct PlacementSettings
{
  double mDowntimeWeight = 2.0;                  ///< cost of one replica-second of downtime
  double mStrandedWeight = 1.0;                  ///< cost of one accelerator-second stranded
  Duration mBlip = std::chrono::seconds(5);      ///< most silences are over within this time
  Duration mLoadTime = std::chrono::seconds(60); ///< expected time of one weight load
  bool mReserveSpares = true; ///< let spares replace lost members while the log is out
  int mLoadsAtOnce = 8; ///< weight loads of a data centre in progress, the weight store's rate
};

/// Callers' requests.
struct RequestSettings
{
  int mThreads = 2;
  int mMaxBody = 1 << 20; ///< bytes
  Duration mDefaultDeadline = std::chrono::seconds(60);
  Duration mLongestDeadline = std::chrono::seconds(600);
  Duration mFirstTokenTimeout = std::chrono::seconds(10);
  int mSlotsPerReplica = 16;                              ///< requests an engine runs at once
  int mQueue = 512;                                       ///< requests waiting in one node
  Duration mLongestWait = std::chrono::milliseconds(500); ///< expected; see AdmissionOptions
  double mRetryShare = 0.1;                               ///< retries as a share of requests
  int mSubset = 48;                                       ///< replicas a node looks at per profile
  int mPrefixBytes = 256; ///< beginning of a prompt by which requests share a replica's cache
  Duration mClaimWindow = std::chrono::hours(1); ///< how long a key is remembered
  int mClaimPartitions = 16;
};

struct Settings
{
  PlaceSettings mPlace;
  PlatformSettings mPlatform;
  ControlSettings mControl;
  PlacementSettings mPlacement;
  RequestSettings mRequests;
};

/// A file's settings and all that is wrong with it; use the settings only when nothing is.
struct SettingsReport
{
  Settings mSettings;
  std::vector<YamlProblem> mProblems;
};

/// @code
/// auto report = LoadSettings("node.yaml");
/// for (const auto& it : report.mProblems) std::cerr << ToString(it) << "\n";
/// @endcode
SettingsReport
LoadSettings(const std::string& aFile);

/// The same from text, for tests; `aName` stands for the file in problems.
SettingsReport
ParseSettings(const std::string& aName, const std::string& aText);

/// An `IP:port` taken apart.
struct Endpoint
{
  std::string mHost;
  int mPort = 0;
};

Result<Endpoint>
ParseEndpoint(const std::string& aText);

/// Note a problem at a key whose value is no IP:port.
void
CheckEndpoint(YamlReader& aReader, const std::string& aKey, const std::string& aValue);

} // namespace pepperbay
