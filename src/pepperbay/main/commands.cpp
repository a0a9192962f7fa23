#include "commands.hpp"

#include "edge_commands.hpp"
#include "pepperbay/base/descriptors.hpp"
#include "pepperbay/http/client.hpp"
#include "pepperbay/log/log.hpp"
#include "pepperbay/node/node.hpp"
#include "pepperbay/node/publish_file.hpp"

#include <array>
#include <csignal>
#include <functional>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pepperbay {
namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr const char* kVersion = "0.1.0";

Node* gNode = nullptr; // NOLINT: the signal handler has no other way to it

void
OnSignal(int /*aSignal*/)
{
  gNode->RequestStop();
}

/// Read and check the settings file. @return kExitOk, or why not after saying so
int
ReadSettings(const CommandOptions& aOptions, Settings* aSettings)
{
  if (aOptions.mConfig.empty()) {
    std::cerr << "--config FILE is needed\n";
    return kExitUsage;
  }
  const SettingsReport report = LoadSettings(aOptions.mConfig);
  if (!report.mProblems.empty()) {
    PrintProblems(report.mProblems, aOptions.mJson);
    return kExitBadInput;
  }
  *aSettings = report.mSettings;
  return kExitOk;
}

int
Edge(const Words& /*aWords*/, const CommandOptions& aOptions)
{
  return RunEdge(aOptions);
}

int
Serve(const Words& /*aWords*/, const CommandOptions& aOptions)
{
  Settings settings;
  const int read = ReadSettings(aOptions, &settings);
  if (read != kExitOk) {
    return read;
  }
  StartLogging(settings.mPlace.mName);
  // Values made on one thread are freed on another; with an arena a thread each arena would keep
  // its own peak of them, and the resident size would grow with the number of threads.
  constexpr int kArenas = 2;
  mallopt(M_ARENA_MAX, kArenas);
  if (const auto descriptors = RaiseDescriptorLimit(); !descriptors.has_value()) {
    LogWarning("descriptor_limit_unknown", { { "detail", ToString(descriptors.error()) } });
  }
  google::protobuf::SetLogHandler(nullptr); // what cannot be read is counted by reason instead
  auto node = Node::Start(settings);
  if (!node.has_value()) {
    std::cerr << ToString(node.error()) << "\n";
    return kExitUnreachable;
  }
  gNode = node.value().get();
  std::signal(SIGTERM, &OnSignal);
  std::signal(SIGINT, &OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  node.value()->Wait();
  return kExitOk;
}

int
CheckConfig(const Words& /*aWords*/, const CommandOptions& aOptions)
{
  Settings settings;
  const int read = ReadSettings(aOptions, &settings);
  if (read != kExitOk) {
    return read;
  }
  PrintGood(aOptions.mConfig, aOptions.mJson);
  return kExitOk;
}

/// @return kExitOk, or why there is no answer, after saying so.
int
CheckAnswer(const HttpFetched& aFetched)
{
  if (aFetched.mOutcome.mOk) {
    return kExitOk;
  }
  std::cerr << ToString(aFetched.mOutcome.mError) << "\n";
  return aFetched.mOutcome.mMayHaveRun ? kExitUnknown : kExitUnreachable;
}

int
CodeOf(const std::string& aOutcome)
{
  if (aOutcome == "accepted") {
    return kExitOk;
  }
  if (aOutcome == "conflict") {
    return kExitConflict;
  }
  return aOutcome == "refused" ? kExitRefused : kExitUnknown;
}

/// @return the least offset applied on any node that is alive, as a node and its data centre's
/// delegates know it.
std::uint64_t
LeastApplied(const Json& aDump)
{
  std::uint64_t least = aDump.value("applied", std::uint64_t{ 0 });
  for (const auto& [name, peer] : aDump["peers"].items()) {
    if (peer["data_centre"] == aDump["data_centre"] && peer["status"] == "alive") {
      least = std::min(least, peer["applied"].get<std::uint64_t>());
    }
  }
  for (const auto& [name, centre] : aDump["other_data_centres"].items()) {
    least = std::min(least, centre["least_applied"].get<std::uint64_t>());
  }
  return least;
}

/// Wait until every node has applied an offset. @return whether it did in time.
bool
WaitInForce(const CommandOptions& aOptions, std::uint64_t aOffset)
{
  const TimePoint until = BootClock::now() + std::chrono::seconds(aOptions.mTimeoutSeconds);
  while (BootClock::now() < until) {
    const HttpFetched fetched = Ask(aOptions, "GET", "/dump", "");
    const Json dump = Json::parse(fetched.mResponse.mBody, nullptr, false);
    if (fetched.mOutcome.mOk && dump.is_object() && LeastApplied(dump) > aOffset) {
      return true;
    }
    timespec pause{ 0, 50'000'000 };
    nanosleep(&pause, nullptr);
  }
  return false;
}

int
Publish(const Words& aWords, const CommandOptions& aOptions)
{
  if (aWords.size() != 1) {
    std::cerr << "publish takes one FILE\n";
    return kExitUsage;
  }
  PublishFile checked;
  const auto text = ReadTextFile(aWords[0], &checked.mProblems);
  if (text) {
    checked = ParsePublishFile(aWords[0], *text);
  }
  if (!checked.mProblems.empty()) {
    PrintProblems(checked.mProblems, aOptions.mJson);
    return kExitBadInput;
  }
  const HttpFetched fetched = Ask(aOptions, "POST", "/publish", *text);
  const int answered = CheckAnswer(fetched);
  if (answered != kExitOk) {
    return answered;
  }
  if (fetched.mResponse.mStatus == kBadRequest) {
    std::cerr << fetched.mResponse.mBody << "\n";
    return kExitBadInput;
  }
  Json json = Json::parse(fetched.mResponse.mBody, nullptr, false);
  if (!json.is_array()) {
    std::cerr << "the node's answer is not understood: " << fetched.mResponse.mBody << "\n";
    return kExitUnknown;
  }
  int code = kExitOk;
  std::uint64_t offset = 0;
  for (const auto& it : json) {
    code = std::max(code, CodeOf(it["outcome"].get<std::string>()));
    offset = std::max(offset, it["offset"].get<std::uint64_t>());
    if (!aOptions.mJson) {
      std::cout << it["key"].get<std::string>() << ": " << it["outcome"].get<std::string>();
      if (it["outcome"] == "accepted") {
        std::cout << " as version " << it["version"] << " at offset " << it["offset"];
      } else {
        std::cout << ": " << it["reason"].get<std::string>();
      }
      std::cout << "\n";
    }
  }
  bool inForce = false;
  if (code == kExitOk && aOptions.mWait) {
    inForce = WaitInForce(aOptions, offset);
    code = inForce ? kExitOk : kExitUnknown;
    if (!aOptions.mJson) {
      std::cout << (inForce ? "in force on every node\n" : "not yet in force on every node\n");
    }
  }
  if (aOptions.mJson) {
    std::cout << Json{ { "results", json }, { "in_force_everywhere", inForce } }.dump(2) << "\n";
  }
  return code;
}

void
PrintStatus(const Json& aDump)
{
  std::cout << "node " << aDump["node"].get<std::string>() << " in "
            << aDump["data_centre"].get<std::string>() << ": "
            << (aDump["ready"].get<bool>()
                  ? "ready"
                  : "not ready: " + aDump["why_not_ready"].get<std::string>())
            << "; log " << (aDump["log"]["reachable"].get<bool>() ? "reachable" : "out")
            << "\n\napplied\n";
  std::cout << "  " << aDump["node"].get<std::string>() << "  " << aDump["applied"] << "\n";
  for (const auto& [name, peer] : aDump["peers"].items()) {
    std::cout << "  " << name << "  " << peer["applied"] << "  "
              << peer["status"].get<std::string>() << "\n";
  }
  for (const auto& [name, centre] : aDump["other_data_centres"].items()) {
    std::cout << "  " << name << " (" << centre["nodes_alive"] << " of " << centre["nodes_known"]
              << " nodes alive)  " << centre["least_applied"] << "\n";
  }
  std::cout << "\nleases\n";
  for (const auto& [scope, lease] : aDump["leases"].items()) {
    std::cout << "  " << scope << "  " << lease["holder"].get<std::string>() << "  fence "
              << lease["fence"] << (lease["released"].get<bool>() ? "  released" : "") << "\n";
  }
  std::cout << "\ndocuments\n";
  for (const auto& [key, document] : aDump["documents"].items()) {
    std::cout << "  " << key << "  version " << document["version"] << "  offset "
              << document["offset"] << "\n";
  }
  std::cout << "\nreplicas\n";
  for (const auto& [name, replica] : aDump["replicas"].items()) {
    std::cout << "  " << name << "  generation " << replica["generation"] << "  version "
              << replica["model_version"].get<std::string>() << "  "
              << replica.value("wholeness", "of " + replica["scope"].get<std::string>())
              << (replica["closing"].get<bool>() ? "  closing" : "") << "\n";
  }
}

int
Status(const Words& /*aWords*/, const CommandOptions& aOptions)
{
  const HttpFetched fetched = Ask(aOptions, "GET", "/dump", "");
  const int answered = CheckAnswer(fetched);
  if (answered != kExitOk) {
    return answered;
  }
  const Json dump = Json::parse(fetched.mResponse.mBody, nullptr, false);
  if (!dump.is_object()) {
    std::cerr << "the node's answer is not understood\n";
    return kExitUnknown;
  }
  if (aOptions.mJson) {
    std::cout << dump.dump(2) << "\n";
  } else {
    PrintStatus(dump);
  }
  return kExitOk;
}

int
Dump(const Words& /*aWords*/, const CommandOptions& aOptions)
{
  const HttpFetched fetched = Ask(aOptions, "GET", "/dump", "");
  const int answered = CheckAnswer(fetched);
  if (answered == kExitOk) {
    const Json dump = Json::parse(fetched.mResponse.mBody, nullptr, false);
    std::cout << dump.dump(2) << "\n";
  }
  return answered;
}

int
StopHost(const Words& aWords, const CommandOptions& aOptions)
{
  const bool plain = aWords.size() == 1 && aWords[0].find_first_of("&?# %") == std::string::npos &&
                     !aWords[0].empty();
  if (!plain) {
    std::cerr << "stop-host takes one HOST, by the name in the platform's list\n";
    return kExitUsage;
  }
  const HttpFetched fetched = Ask(aOptions, "POST", "/stop-host?host=" + aWords[0], "");
  const int answered = CheckAnswer(fetched);
  if (answered != kExitOk) {
    return answered;
  }
  if (fetched.mResponse.mStatus == kOk) {
    std::cout << (aOptions.mJson ? fetched.mResponse.mBody
                                 : aWords[0] + ": stop announced; it receives no new work")
              << "\n";
    return kExitOk;
  }
  std::cerr << fetched.mResponse.mBody << "\n";
  return fetched.mResponse.mStatus == kNotFound ? kExitRefused : kExitUnknown;
}

int
Version(const Words& /*aWords*/, const CommandOptions& aOptions)
{
  if (aOptions.mJson) {
    std::cout << Json{ { "version", kVersion } }.dump() << "\n";
  } else {
    std::cout << "pepperbay " << kVersion << "\n";
  }
  return kExitOk;
}

struct Command
{
  const char* mName;
  const char* mArguments;
  const char* mWhat;
  const char* mMore;
  int (*mRun)(const Words&, const CommandOptions&);
};

constexpr std::array<Command, 11> kCommands{ {
  { "serve",
    "--config FILE",
    "run a node until SIGTERM or SIGINT",
    "The settings are checked whole before any socket opens. On SIGTERM readiness fails first,\n"
    "accepted requests end, the lease is given back, and the node exits with 0.\n",
    &Serve },
  { "edge",
    "[--config FILE]",
    "run a node before a shared pool of engines",
    "Without --config the file is the one that PEPPERBAY_SETTINGS names. SIGTERM ends it: "
    "readiness\n"
    "fails first, requests in progress end. SIGHUP reads the file again: bounds and budgets take\n"
    "force, addresses and names at the next start.\n",
    &Edge },
  { "check-edge",
    "[--config FILE]",
    "check the settings of a node before a shared pool",
    "Each problem names file, line, key and what is allowed.\n",
    &CheckEdge },
  { "pool-status",
    "[IP:port ...]",
    "show the nodes before a shared pool side by side, and its replicas",
    "The addresses are those of /state; without any, the one of --admin is asked. Shown are each\n"
    "node's configuration and its age, whether it reaches the store, who holds the lease, and for\n"
    "each replica its members and why it does not serve; then the requests that are held back.\n",
    &PoolStatus },
  { "release-request",
    "KEY [--admin IP:port]",
    "let a request run again that nodes before a shared pool hold back",
    "KEY is the one that pool-status and the log name. The node tells all others.\n",
    &ReleaseRequest },
  { "check-config",
    "--config FILE",
    "check a settings file and say each thing that is wrong",
    "Each problem names file, line, key and what is allowed.\n",
    &CheckConfig },
  { "publish",
    "FILE [--admin IP:port] [--wait] [--json]",
    "publish profiles, customers and services",
    "Each is accepted once the node has folded its record. if_version beside a name publishes "
    "only\n"
    "when that is the version in force. --wait returns when it is in force on every node.\n",
    &Publish },
  { "status",
    "[--admin IP:port] [--json]",
    "show offsets, leases, documents and replicas",
    "",
    &Status },
  { "dump", "[--admin IP:port]", "print the whole control state of a node as JSON", "", &Dump },
  { "stop-host",
    "HOST [--admin IP:port] [--json]",
    "announce a planned stop of a backend server host",
    "Ask a node of the host's own data centre. The host receives no new work; its replica is\n"
    "drained and its other hosts are used again.\n",
    &StopHost },
  { "version", "[--json]", "print the version", "", &Version },
} };

} // namespace

HttpFetched
Ask(const CommandOptions& aOptions,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody)
{
  const auto client = HttpClient::Create();
  HttpCall call;
  call.mMethod = aMethod;
  call.mUrl = "http://" + aOptions.mAdmin + aPath;
  call.mBody = aBody;
  call.mTimeout = std::chrono::seconds(aOptions.mTimeoutSeconds);
  return client->FetchAndWait(std::move(call));
}

void
PrintGood(const std::string& aFile, bool aJson)
{
  if (aJson) {
    std::cout << R"({"problems":[]})"
              << "\n";
  } else {
    std::cout << aFile << ": good\n";
  }
}

void
PrintProblems(const std::vector<YamlProblem>& aProblems, bool aJson)
{
  if (!aJson) {
    for (const auto& it : aProblems) {
      std::cerr << ToString(it) << "\n";
    }
    return;
  }
  Json json = Json::array();
  for (const auto& it : aProblems) {
    json.push_back(
      { { "file", it.mFile }, { "line", it.mLine }, { "key", it.mKey }, { "text", it.mText } });
  }
  std::cout << Json{ { "problems", json } }.dump(2) << "\n";
}

int
RunCommand(const Words& aWords, const CommandOptions& aOptions)
{
  if (aWords.empty()) {
    std::cerr << HelpOf("");
    return kExitUsage;
  }
  for (const auto& it : kCommands) {
    if (aWords[0] == it.mName) {
      return it.mRun(Words(aWords.begin() + 1, aWords.end()), aOptions);
    }
  }
  std::cerr << "no command '" << aWords[0] << "'\n" << HelpOf("");
  return kExitUsage;
}

std::string
HelpOf(const std::string& aCommand)
{
  std::ostringstream help;
  for (const auto& it : kCommands) {
    if (aCommand == it.mName) {
      help << "pepperbay " << it.mName << " " << it.mArguments << "\n  " << it.mWhat << "\n"
           << it.mMore;
      help << "\n--timeout SECONDS bounds the wait for a node's answer (30).\n";
      return help.str();
    }
  }
  help << "pepperbay COMMAND [ARGUMENTS]\n\n";
  for (const auto& it : kCommands) {
    help << "  " << it.mName << " " << it.mArguments << "\n      " << it.mWhat << "\n";
  }
  help << "\npepperbay COMMAND --help tells more. Exit codes: 0 done, 2 wrong arguments, 3 wrong\n"
          "file, 4 conflict, 5 refused, 6 unknown outcome, 7 node unreachable.\n";
  return help.str();
}

} // namespace pepperbay
