/// @file
/// @brief pepperbay_fakes: the platform, engines and a plain service on loopback addresses.
///
/// A stand-in for tests, benches and the demo; no product code knows of it. Faults are switched
/// over HTTP at the control address:
///   POST /fault?target=log&kind=out|hang|slow|lose|cut|retention&value=V
///   POST /fault?target=host:NAME&kind=K&value=V      (see FakeEngines::Fault)
///   POST /fault?target=domain:NAME&kind=K&value=V    (each host of a fabric domain)
///   POST /fault?target=service&kind=K&value=V        (see FakeService::Fault)
///   GET /stats, GET /runs, GET /host?name=N

#include "fake_engines.hpp"
#include "fake_log.hpp"
#include "fake_service.hpp"

#include "pepperbay/settings/settings.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, log, "127.0.0.1:7000", "address of the log");
ABSL_FLAG(std::string, control, "127.0.0.1:7001", "address of the host list and the faults");
ABSL_FLAG(std::string, service, "127.0.0.1:7002", "address of the plain service");
ABSL_FLAG(std::string, centres, "levis", "data centres, separated by commas");
ABSL_FLAG(int, domains, 1, "fabric domains of a data centre");
ABSL_FLAG(int, hosts, 4, "hosts of a fabric domain");
ABSL_FLAG(int, port, 9000, "port of every engine; hosts differ by address");
ABSL_FLAG(int, net, 10, "engines of data centre i are at 127.(net+i).domain.host");
ABSL_FLAG(int, unchecked, 0, "hosts of a domain, from the first, that ignore fencing numbers");
ABSL_FLAG(int, slots, 16, "requests an engine runs at once");
ABSL_FLAG(int, load_ms, 200, "time of a weight load");
ABSL_FLAG(int, first_token_ms, 20, "time to the first token of an uncached prompt");
ABSL_FLAG(int, token_ms, 5, "time between tokens");
ABSL_FLAG(int, report_lag_ms, 200, "age of reported load");
ABSL_FLAG(bool, resumable, true, "engines resume from a token");

namespace {

using nlohmann::json;
using pepperbay::FirstValue;
using pepperbay::HttpRequest;
using pepperbay::Responder;

struct World
{
  fakes::Timers mTimers;
  fakes::FakeLog mLog{ mTimers };
  fakes::FakeService mService{ mTimers };
  std::unique_ptr<fakes::FakeEngines> mEngines;
};

bool
LogFault(World& aWorld, const std::string& aKind, const std::string& aValue)
{
  bool known = true;
  aWorld.mLog.Change([&](fakes::LogFaults& aFaults) {
    if (aKind == "out") {
      aFaults.mOut = aValue == "1";
    } else if (aKind == "hang") {
      aFaults.mHangs = aValue == "1";
    } else if (aKind == "slow") {
      aFaults.mSlowMs = std::atoi(aValue.c_str());
    } else if (aKind == "lose") {
      aFaults.mLoseAnswers = std::atoi(aValue.c_str());
    } else if (aKind == "cut") {
      aFaults.mCutOff.insert(aValue);
    } else if (aKind == "uncut") {
      aFaults.mCutOff.erase(aValue);
    } else if (aKind == "retention") {
      aFaults.mRetention = static_cast<std::size_t>(std::atoi(aValue.c_str()));
    } else {
      known = false;
    }
  });
  return known;
}

bool
SetFault(World& aWorld,
         const std::string& aTarget,
         const std::string& aKind,
         const std::string& aValue)
{
  if (aTarget == "log") {
    return LogFault(aWorld, aKind, aValue);
  }
  if (aTarget == "service") {
    aWorld.mService.Fault(aKind, aValue);
    return true;
  }
  const std::vector<std::string> parts = absl::StrSplit(aTarget, absl::MaxSplits(':', 1));
  if (parts.size() != 2) {
    return false;
  }
  if (parts[0] == "host") {
    return aWorld.mEngines->Fault(parts[1], aKind, aValue);
  }
  bool known = false;
  for (const auto& it : aWorld.mEngines->HostsOfDomain(parts[1])) {
    known = aWorld.mEngines->Fault(it, aKind, aValue);
  }
  return known;
}

std::string
Stats(const World& aWorld)
{
  const fakes::EngineCounts counts = aWorld.mEngines->Counts();
  return json{
    { "requests", counts.mRequests },
    { "completed", counts.mCompleted },
    { "cancelled", counts.mCancelled },
    { "tokens", counts.mTokens },
    { "partial", counts.mPartial },
    { "stale_orders", counts.mStaleOrders },
    { "cut_by_stop", counts.mCutByStop },
    { "after_leaving", counts.mAfterLeaving },
    { "cached_blocks", counts.mCachedBlocks },
    { "prompt_blocks", counts.mPromptBlocks },
    { "log_appends", aWorld.mLog.Appends() },
    { "log_reads", aWorld.mLog.Reads() },
    { "control_end", aWorld.mLog.EndOf("control") }
  }.dump();
}

void
OnControl(World& aWorld, const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
{
  const auto query = [&](const char* aKey) {
    return FirstValue(aRequest.mQuery, aKey).value_or("");
  };
  if (aRequest.mPath == "/hosts") {
    const std::string list = aWorld.mEngines->List(query("data_centre"));
    const std::string tag = "\"" + std::to_string(std::hash<std::string>()(list)) + "\"";
    const bool same = FirstValue(aRequest.mHeaders, "If-None-Match").value_or("") == tag;
    aResponder->Send({ same ? 304 : 200, { { "ETag", tag } }, same ? "" : list });
  } else if (aRequest.mPath == "/stats") {
    aResponder->Send({ 200, {}, Stats(aWorld) });
  } else if (aRequest.mPath == "/runs") {
    aResponder->Send({ 200, {}, aWorld.mService.Counts() });
  } else if (aRequest.mPath == "/host") {
    aResponder->Send({ 200, {}, aWorld.mEngines->StateOf(query("name")) });
  } else if (aRequest.mPath == "/fault") {
    const bool known = SetFault(aWorld, query("target"), query("kind"), query("value"));
    aResponder->Send({ known ? 200 : 400, {}, known ? "{}" : R"({"error":"unknown fault"})" });
  } else {
    aResponder->Send({ 404, {}, "{}" });
  }
}

bool
AddHosts(World& aWorld)
{
  const std::string centreNames = absl::GetFlag(FLAGS_centres);
  const std::vector<std::string> centres = absl::StrSplit(centreNames, ',');
  for (std::size_t c = 0; c < centres.size(); ++c) {
    for (int d = 0; d < absl::GetFlag(FLAGS_domains); ++d) {
      for (int h = 0; h < absl::GetFlag(FLAGS_hosts); ++h) {
        fakes::HostSpec spec;
        spec.mDataCentre = centres[c];
        spec.mDomain = centres[c] + "-d" + std::to_string(d + 1);
        spec.mHost = spec.mDomain + "-h" + std::to_string(h + 1);
        spec.mAddress = "127." + std::to_string(absl::GetFlag(FLAGS_net) + static_cast<int>(c)) +
                        "." + std::to_string(d + 1) + "." + std::to_string(h + 1);
        spec.mPort = absl::GetFlag(FLAGS_port);
        spec.mChecksFence = h >= absl::GetFlag(FLAGS_unchecked);
        if (!aWorld.mEngines->Add(spec)) {
          std::cerr << spec.mHost << ": cannot listen at " << spec.mAddress << "\n";
          return false;
        }
      }
    }
  }
  return true;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  // Before any thread starts, so that all threads leave the signals to sigwait().
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  World world;
  fakes::EngineOptions options;
  options.mSlots = absl::GetFlag(FLAGS_slots);
  options.mLoadMs = absl::GetFlag(FLAGS_load_ms);
  options.mFirstTokenMs = absl::GetFlag(FLAGS_first_token_ms);
  options.mTokenMs = absl::GetFlag(FLAGS_token_ms);
  options.mReportLagMs = absl::GetFlag(FLAGS_report_lag_ms);
  options.mResumable = absl::GetFlag(FLAGS_resumable);
  world.mEngines = std::make_unique<fakes::FakeEngines>(world.mTimers, options);
  const auto log = pepperbay::ParseEndpoint(absl::GetFlag(FLAGS_log));
  const auto control = pepperbay::ParseEndpoint(absl::GetFlag(FLAGS_control));
  const auto service = pepperbay::ParseEndpoint(absl::GetFlag(FLAGS_service));
  if (!log.has_value() || !control.has_value() || !service.has_value()) {
    std::cerr << "--log, --control and --service must be IP:port\n";
    return 2;
  }
  pepperbay::HttpServerOptions server;
  server.mAddress = control.value().mHost;
  server.mPort = control.value().mPort;
  auto listening = pepperbay::HttpServer::Start(
    server, [&world](const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder) {
      OnControl(world, aRequest, aResponder);
    });
  const bool up =
    listening.has_value() && world.mLog.Listen(log.value().mHost, log.value().mPort) &&
    world.mService.Listen(service.value().mHost, service.value().mPort) && AddHosts(world);
  if (!up) {
    std::cerr << "cannot listen\n";
    return 1;
  }
  std::cout << "fakes ready" << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0); // stand-ins hold nothing worth an orderly end
}
