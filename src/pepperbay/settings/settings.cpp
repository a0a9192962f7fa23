#include "pepperbay/settings/settings.hpp"

#include <arpa/inet.h>

namespace pepperbay {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kMostPort = 65535;

void
ReadPlace(YamlReader& aReader, PlaceSettings& aPlace)
{
  for (const char* key : { "name", "data_centre", "callers", "admin", "peers" }) {
    aReader.Require(key);
  }
  aReader.Read("name", &aPlace.mName);
  aReader.Read("data_centre", &aPlace.mDataCentre);
  aReader.Read("callers", &aPlace.mCallers);
  aReader.Read("admin", &aPlace.mAdmin);
  aReader.Read("peers", &aPlace.mPeers);
  aPlace.mPeersPublic = aPlace.mPeers;
  aReader.Read("peers_public", &aPlace.mPeersPublic);
  aReader.Read("source", &aPlace.mSource);
  aReader.Read("seeds", &aPlace.mSeeds);
  constexpr const char* kNameChars = "abcdefghijklmnopqrstuvwxyz0123456789-_";
  for (const char* key : { "name", "data_centre" }) {
    const std::string& value = std::string(key) == "name" ? aPlace.mName : aPlace.mDataCentre;
    if (value.empty() || value.find_first_not_of(kNameChars) != std::string::npos) {
      aReader.Problem(key, "must be of a-z, 0-9, '-', '_'");
    }
  }
  CheckEndpoint(aReader, "callers", aPlace.mCallers);
  CheckEndpoint(aReader, "admin", aPlace.mAdmin);
  CheckEndpoint(aReader, "peers", aPlace.mPeers);
  CheckEndpoint(aReader, "peers_public", aPlace.mPeersPublic);
  if (!aPlace.mSource.empty() && !ParseEndpoint(aPlace.mSource + ":1").has_value()) {
    aReader.Problem("source", "'" + aPlace.mSource + "' is not an IP number");
  }
  for (const auto& it : aPlace.mSeeds) {
    CheckEndpoint(aReader, "seeds", it);
  }
}

void
ReadPlatform(YamlReader& aReader, PlatformSettings& aPlatform)
{
  aReader.Require("log");
  aReader.Require("hosts");
  aReader.Read("log", &aPlatform.mLog);
  aReader.Read("hosts", &aPlatform.mHosts);
  CheckEndpoint(aReader, "log", aPlatform.mLog);
  CheckEndpoint(aReader, "hosts", aPlatform.mHosts);
  aReader.Read("stream", &aPlatform.mStream);
  aReader.Read("claims_stream", &aPlatform.mClaimsStream);
  aReader.Read("timeout", &aPlatform.mTimeout, milliseconds(10), minutes(1));
  aReader.Read("read_wait", &aPlatform.mReadWait, milliseconds(0), minutes(1));
  aReader.Read("read_every", &aPlatform.mReadEvery, milliseconds(1), minutes(1));
  aReader.Read("hosts_every", &aPlatform.mHostsEvery, milliseconds(10), hours(1));
  aReader.Read("snapshot_every", &aPlatform.mSnapshotEvery, 10, 1000000);
}

void
ReadControl(YamlReader& aReader, ControlSettings& aControl)
{
  aReader.Read("tick", &aControl.mTick, milliseconds(1), seconds(1));
  aReader.Read("heartbeat", &aControl.mHeartbeat, milliseconds(10), minutes(1));
  aReader.Read("suspect_after", &aControl.mSuspectAfter, milliseconds(20), minutes(5));
  aReader.Read("lapse_after", &aControl.mLapseAfter, milliseconds(30), minutes(15));
  aReader.Read("lease", &aControl.mLease, milliseconds(100), minutes(5));
  aReader.Read("probe", &aControl.mProbe, milliseconds(10), minutes(1));
  aReader.Read("probe_timeout", &aControl.mProbeTimeout, milliseconds(5), minutes(1));
  aReader.Read("freshness", &aControl.mFreshness, milliseconds(20), minutes(5));
  aReader.Read("probers_per_host", &aControl.mProbersPerHost, 1, 16);
  aReader.Read("order_timeout", &aControl.mOrderTimeout, milliseconds(10), minutes(1));
  aReader.Read("drain_grace", &aControl.mDrainGrace, milliseconds(0), minutes(10));
  if (aControl.mSuspectAfter <= aControl.mHeartbeat) {
    aReader.Problem("suspect_after", "must be longer than heartbeat");
  }
  if (aControl.mLapseAfter <= aControl.mSuspectAfter) {
    aReader.Problem("lapse_after", "must be longer than suspect_after");
  }
  if (aControl.mFreshness <= aControl.mProbe + aControl.mHeartbeat) {
    aReader.Problem("freshness", "must be longer than probe and heartbeat together");
  }
  if (aControl.mLease <= aControl.mOrderTimeout) {
    aReader.Problem("lease", "must be longer than order_timeout");
  }
}

void
ReadPlacement(YamlReader& aReader, PlacementSettings& aPlacement)
{
  constexpr double kMostWeight = 1000;
  aReader.Read("downtime_weight", &aPlacement.mDowntimeWeight, 0.0, kMostWeight);
  aReader.Read("stranded_weight", &aPlacement.mStrandedWeight, 0.0, kMostWeight);
  aReader.Read("blip", &aPlacement.mBlip, milliseconds(0), hours(1));
  aReader.Read("load_time", &aPlacement.mLoadTime, milliseconds(1), hours(2));
  aReader.Read("reserve_spares", &aPlacement.mReserveSpares);
  aReader.Read("loads_at_once", &aPlacement.mLoadsAtOnce, 1, 100000);
}

void
ReadRequests(YamlReader& aReader, RequestSettings& aRequests)
{
  aReader.Read("threads", &aRequests.mThreads, 1, 64);
  aReader.Read("max_body", &aRequests.mMaxBody, 1024, 64 << 20);
  aReader.Read("default_deadline", &aRequests.mDefaultDeadline, milliseconds(10), hours(1));
  aReader.Read("longest_deadline", &aRequests.mLongestDeadline, milliseconds(10), hours(24));
  aReader.Read("first_token_timeout", &aRequests.mFirstTokenTimeout, milliseconds(10), hours(1));
  aReader.Read("slots_per_replica", &aRequests.mSlotsPerReplica, 1, 100000);
  aReader.Read("queue", &aRequests.mQueue, 0, 1000000);
  aReader.Read("longest_wait", &aRequests.mLongestWait, milliseconds(0), hours(1));
  aReader.Read("retry_share", &aRequests.mRetryShare, 0.0, 1.0);
  aReader.Read("subset", &aRequests.mSubset, 2, 10000);
  aReader.Read("prefix_bytes", &aRequests.mPrefixBytes, 16, 1 << 20);
  aReader.Read("claim_window", &aRequests.mClaimWindow, seconds(1), hours(24 * 30));
  aReader.Read("claim_partitions", &aRequests.mClaimPartitions, 1, 1024);
  if (aRequests.mLongestDeadline < aRequests.mDefaultDeadline) {
    aReader.Problem("longest_deadline", "must not be shorter than default_deadline");
  }
}

} // namespace

Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const Error bad{ Errc::kInvalid, "settings.address", aText, "'" + aText + "' is not 'IP:port'" };
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return bad;
  }
  Endpoint endpoint;
  endpoint.mHost = aText.substr(0, colon);
  in_addr addr{};
  if (inet_pton(AF_INET, endpoint.mHost.c_str(), &addr) != 1) {
    return bad;
  }
  const std::string port = aText.substr(colon + 1);
  constexpr std::size_t kPortDigits = 5;
  if (port.empty() || port.size() > kPortDigits ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return bad;
  }
  endpoint.mPort = std::stoi(port);
  if (endpoint.mPort < 1 || endpoint.mPort > kMostPort) {
    return bad;
  }
  return endpoint;
}

void
CheckEndpoint(YamlReader& aReader, const std::string& aKey, const std::string& aValue)
{
  const auto endpoint = ParseEndpoint(aValue);
  if (!endpoint.has_value()) {
    aReader.Problem(aKey, endpoint.error().mDetail);
  }
}

SettingsReport
ParseSettings(const std::string& aName, const std::string& aText)
{
  SettingsReport report;
  Settings& settings = report.mSettings;
  ReadYaml(aName, aText, &report.mProblems, [&](YamlReader& aReader) {
    aReader.Require("node");
    aReader.Require("platform");
    aReader.Section("node", [&](YamlReader& aIn) { ReadPlace(aIn, settings.mPlace); });
    aReader.Section("platform", [&](YamlReader& aIn) { ReadPlatform(aIn, settings.mPlatform); });
    aReader.Section("control", [&](YamlReader& aIn) { ReadControl(aIn, settings.mControl); });
    aReader.Section("placement", [&](YamlReader& aIn) { ReadPlacement(aIn, settings.mPlacement); });
    aReader.Section("requests", [&](YamlReader& aIn) { ReadRequests(aIn, settings.mRequests); });
  });
  return report;
}

SettingsReport
LoadSettings(const std::string& aFile)
{
  SettingsReport report;
  const auto text = ReadTextFile(aFile, &report.mProblems);
  return text ? ParseSettings(aFile, *text) : report;
}

} // namespace pepperbay
