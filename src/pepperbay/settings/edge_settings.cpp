#include "pepperbay/settings/edge_settings.hpp"

#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace pepperbay {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kMostMemoryMb = 1 << 24;
constexpr int kMostSlack = 1000000;

void
ReadEndpoint(YamlReader& aReader, const char* aKey, std::string* aValue)
{
  aReader.Read(aKey, aValue);
  const auto endpoint = ParseEndpoint(*aValue);
  if (!aValue->empty() && !endpoint.has_value()) {
    aReader.Problem(aKey, endpoint.error().mDetail);
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
  ReadEndpoint(aReader, "store", &aSettings.mStore);
  aReader.Read("ready_path", &aSettings.mReadyPath);
  if (!aSettings.mReadyPath.empty() && aSettings.mReadyPath.front() != '/') {
    aReader.Problem("ready_path", "must begin with '/'");
  }
  aReader.Read("memory_mb", &aSettings.mMemoryMb, 0, kMostMemoryMb);
  aReader.Read("revoke_within", &aSettings.mRevokeWithin, seconds(1), minutes(10));
  aReader.Read("stop_within", &aSettings.mStopWithin, seconds(1), minutes(10));
  aReader.Read("retry_share", &aSettings.mRetryShare, 0.0, 1.0);
  aReader.Read("retry_slack", &aSettings.mRetrySlack, 0, kMostSlack);
}

} // namespace

EdgeSettingsReport
ParseEdgeSettings(const std::string& aName, const std::string& aText)
{
  EdgeSettingsReport report;
  YAML::Node root;
  try {
    root = YAML::Load(aText);
  } catch (const YAML::Exception& ec) {
    report.mProblems.push_back({ aName, ec.mark.line + 1, "", "not YAML: " + ec.msg });
    return report;
  }
  YamlReader reader(aName, root, "", &report.mProblems);
  ReadAll(reader, report.mSettings);
  reader.Finish();
  return report;
}

EdgeSettingsReport
LoadEdgeSettings(const std::string& aFile)
{
  const std::ifstream file(aFile);
  if (!file) {
    EdgeSettingsReport report;
    report.mProblems.push_back({ aFile, 0, "", "cannot be read" });
    return report;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseEdgeSettings(aFile, text.str());
}

} // namespace pepperbay
