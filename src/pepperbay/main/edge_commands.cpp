#include "edge_commands.hpp"

#include "pepperbay/quarantine/request_key.hpp"
#include "pepperbay/status/pool_status.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace pepperbay {
namespace {

/// Where a platform says which settings file to read, when the command line does not.
constexpr const char* kSettingsVariable = "PEPPERBAY_SETTINGS";
constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string
SettingsFile(const CommandOptions& aOptions)
{
  if (!aOptions.mConfig.empty()) {
    return aOptions.mConfig;
  }
  const char* file = std::getenv(kSettingsVariable); // NOLINT: before any thread starts
  return file == nullptr ? "" : file;
}

AskedNode
AskNode(const std::string& aAddress, const CommandOptions& aOptions)
{
  CommandOptions one = aOptions;
  one.mAdmin = aAddress;
  const HttpFetched fetched = Ask(one, "GET", "/state", "");
  if (!fetched.mOutcome.mOk) {
    return { aAddress, fetched.mOutcome.mError };
  }
  if (fetched.mResponse.mStatus != kOk) {
    return { aAddress,
             Error{ Errc::kInvalid,
                    "status.ask",
                    aAddress,
                    "status " + std::to_string(fetched.mResponse.mStatus) } };
  }
  return { aAddress, ParseNodeStatus(aAddress, fetched.mResponse.mBody) };
}

} // namespace

int
ReadEdgeSettings(const CommandOptions& aOptions, std::string* aFile, EdgeSettings* aSettings)
{
  *aFile = SettingsFile(aOptions);
  if (aFile->empty()) {
    std::cerr << "--config FILE or " << kSettingsVariable << " is needed\n";
    return kExitUsage;
  }
  const EdgeSettingsReport report = LoadEdgeSettings(*aFile);
  if (!report.mProblems.empty()) {
    PrintProblems(report.mProblems, aOptions.mJson);
    return kExitBadInput;
  }
  *aSettings = report.mSettings;
  return kExitOk;
}

int
CheckEdge(const std::vector<std::string>& /*aWords*/, const CommandOptions& aOptions)
{
  std::string file;
  EdgeSettings settings;
  const int read = ReadEdgeSettings(aOptions, &file, &settings);
  if (read == kExitOk) {
    PrintGood(file, aOptions.mJson);
  }
  return read;
}

int
PoolStatus(const std::vector<std::string>& aWords, const CommandOptions& aOptions)
{
  const std::vector<std::string> addresses =
    aWords.empty() ? std::vector<std::string>{ aOptions.mAdmin } : aWords;
  for (const auto& it : addresses) {
    if (!ParseEndpoint(it).has_value()) {
      std::cerr << "'" << it << "' is not IP:port\n";
      return kExitUsage;
    }
  }
  std::vector<AskedNode> nodes;
  nodes.reserve(addresses.size());
  for (const auto& it : addresses) {
    nodes.push_back(AskNode(it, aOptions));
  }
  std::cout << PoolReport(nodes);
  const bool any = std::any_of(
    nodes.begin(), nodes.end(), [](const AskedNode& aNode) { return aNode.mStatus.has_value(); });
  return any ? kExitOk : kExitUnreachable;
}

int
ReleaseRequest(const std::vector<std::string>& aWords, const CommandOptions& aOptions)
{
  const auto key = ParseRequestKey(aWords.size() == 1 ? aWords[0] : "");
  if (!key.has_value()) {
    std::cerr << ToString(key.error()) << "\n";
    return kExitUsage;
  }
  const HttpFetched fetched =
    Ask(aOptions, "POST", "/release-request?key=" + ToString(key.value()), "");
  if (!fetched.mOutcome.mOk) {
    std::cerr << ToString(fetched.mOutcome.mError) << "\n";
    return kExitUnreachable;
  }
  if (fetched.mResponse.mStatus == kNotFound) {
    std::cerr << aOptions.mAdmin << " knows no engine that ended under request " << aWords[0]
              << "\n";
    return kExitRefused;
  }
  return fetched.mResponse.mStatus == kOk ? kExitOk : kExitUnknown;
}

} // namespace pepperbay
