#include "pepperbay/settings/edge_settings.hpp"

#include <array>

namespace pepperbay {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Platforms compute their limits, so fractions, zero and very large numbers are all taken. Each of
// these bounds is far beyond any host or pool; what exceeds it is a slip of a unit.
constexpr double kMostMemoryMb = 1e9;
constexpr double kMostSlack = 1e9;
constexpr double kMostShare = 100;
constexpr double kMostCores = 1e5;
constexpr hours kLongestBound{ 24 };
constexpr milliseconds kShortestInForce{ 1 };
/// Below this no request could end between the question for a stop and the end.
constexpr milliseconds kShortestStop{ 100 };

void
ReadEndpoint(YamlReader& aReader, const char* aKey, std::string* aValue)
{
  aReader.Read(aKey, aValue);
  if (!aValue->empty()) {
    CheckEndpoint(aReader, aKey, *aValue);
  }
}

void
ReadAll(YamlReader& aReader, EdgeSettings& aSettings)
{
  for (const char* it :
       { "name", "data_centre", "ready_path", "callers", "admin", "peers", "store" }) {
    aReader.Require(it);
  }
  aReader.Read("name", &aSettings.mName);
  aReader.Read("data_centre", &aSettings.mDataCentre);
  ReadEndpoint(aReader, "callers", &aSettings.mCallers);
  ReadEndpoint(aReader, "admin", &aSettings.mAdmin);
  ReadEndpoint(aReader, "metrics", &aSettings.mMetrics);
  ReadEndpoint(aReader, "peers", &aSettings.mPeers);
  ReadEndpoint(aReader, "desk", &aSettings.mDesk);
  ReadEndpoint(aReader, "tunnel", &aSettings.mTunnel);
  ReadEndpoint(aReader, "store", &aSettings.mStore);
  aReader.Read("ready_path", &aSettings.mReadyPath);
  if (!aSettings.mReadyPath.empty() && aSettings.mReadyPath.front() != '/') {
    aReader.Problem("ready_path", "must begin with '/'");
  }
  aReader.Read("memory_mb", &aSettings.mMemoryMb, 0.0, kMostMemoryMb);
  aReader.Read("cpu_cores", &aSettings.mCpuCores, 0.0, kMostCores);
  aReader.Read("configure_within", &aSettings.mConfigureWithin, kShortestInForce, kLongestBound);
  aReader.Read("leave_within", &aSettings.mLeaveWithin, kShortestInForce, kLongestBound);
  aReader.Read("revoke_within", &aSettings.mRevokeWithin, seconds(1), kLongestBound);
  aReader.Read("stop_within", &aSettings.mStopWithin, kShortestStop, kLongestBound);
  aReader.Read("retry_share", &aSettings.mRetryShare, 0.0, kMostShare);
  aReader.Read("retry_slack", &aSettings.mRetrySlack, 0.0, kMostSlack);
}

} // namespace

std::vector<std::string>
KeysForNextStart(const EdgeSettings& aRunning, const EdgeSettings& aNew)
{
  struct Field
  {
    const char* mKey;
    std::string EdgeSettings::*mValue;
  };
  constexpr std::array<Field, 10> kFixed{ { { "name", &EdgeSettings::mName },
                                            { "data_centre", &EdgeSettings::mDataCentre },
                                            { "callers", &EdgeSettings::mCallers },
                                            { "admin", &EdgeSettings::mAdmin },
                                            { "metrics", &EdgeSettings::mMetrics },
                                            { "ready_path", &EdgeSettings::mReadyPath },
                                            { "peers", &EdgeSettings::mPeers },
                                            { "desk", &EdgeSettings::mDesk },
                                            { "tunnel", &EdgeSettings::mTunnel },
                                            { "store", &EdgeSettings::mStore } } };
  std::vector<std::string> keys;
  for (const auto& it : kFixed) {
    if (aRunning.*it.mValue != aNew.*it.mValue) {
      keys.emplace_back(it.mKey);
    }
  }
  return keys;
}

EdgeSettingsReport
ParseEdgeSettings(const std::string& aName, const std::string& aText)
{
  EdgeSettingsReport report;
  ReadYaml(aName, aText, &report.mProblems, [&](YamlReader& aReader) {
    ReadAll(aReader, report.mSettings);
  });
  return report;
}

EdgeSettingsReport
LoadEdgeSettings(const std::string& aFile)
{
  EdgeSettingsReport report;
  const auto text = ReadTextFile(aFile, &report.mProblems);
  return text ? ParseEdgeSettings(aFile, *text) : report;
}

} // namespace pepperbay
