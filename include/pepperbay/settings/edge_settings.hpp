/// @file
/// @brief Settings of a node before a shared pool of engines: one YAML file, checked whole.
#pragma once

#include "pepperbay/settings/settings.hpp"

#include <string>
#include <vector>

namespace pepperbay {

struct EdgeSettings
{
  std::string mName;
  std::string mDataCentre;
  std::string mCallers;   ///< IP:port for callers
  std::string mAdmin;     ///< IP:port for the balancer's question, metrics and the state dump
  std::string mMetrics;   ///< IP:port for metrics and the dump besides; empty: mAdmin only
  std::string mReadyPath; ///< where the balancer asks whether this node takes connections
  std::string mPeers;     ///< IP:port (UDP) where this node hears the others
  std::string mDesk; ///< IP:port (UDP) for questions for places; empty: each node chooses alone
  /// IP:port (TCP) where this node carries connections to engines for nodes that reach none; empty:
  /// it does not.
  std::string mTunnel;
  std::string mStore;   ///< IP:port of the platform's store
  double mMemoryMb = 0; ///< the process is killed beyond it; 0: not said
  double mCpuCores = 0; ///< processor that the process may use; 0: not said

  /// A configuration must be in force everywhere this long after the store's acknowledgement.
  Duration mConfigureWithin = std::chrono::seconds(2);
  /// An engine that says that it leaves must get no more requests this long after it.
  Duration mLeaveWithin = std::chrono::seconds(2);
  /// A key that was taken away must be refused this long after the store's acknowledgement.
  Duration mRevokeWithin = std::chrono::seconds(5);
  /// After a request to stop, the process is killed this long.
  Duration mStopWithin = std::chrono::seconds(8);
  /// Second attempts of all nodes together: a share of requests, and so many beyond it.
  double mRetryShare = 0.2;
  double mRetrySlack = 100;
};

/// @return the keys that differ and that a running node cannot take up; the others it can.
std::vector<std::string>
KeysForNextStart(const EdgeSettings& aRunning, const EdgeSettings& aNew);

struct EdgeSettingsReport
{
  EdgeSettings mSettings;
  std::vector<YamlProblem> mProblems;
};

/// @code
/// auto report = LoadEdgeSettings("edge.yaml");
/// for (const auto& it : report.mProblems) std::cerr << ToString(it) << "\n";
/// @endcode
EdgeSettingsReport
LoadEdgeSettings(const std::string& aFile);

/// The same from text, for tests; `aName` stands for the file in problems.
EdgeSettingsReport
ParseEdgeSettings(const std::string& aName, const std::string& aText);

} // namespace pepperbay
