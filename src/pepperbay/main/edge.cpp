#include "edge_commands.hpp"
#include "pepperbay/edge/edge_node.hpp"
#include "pepperbay/log/log.hpp"
#include "platform/link.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace pepperbay {
namespace {

EdgeNode* gEdge = nullptr; // NOLINT: the signal handlers have no other way to it

void
OnStop(int /*aSignal*/)
{
  gEdge->RequestStop();
}

void
OnReload(int /*aSignal*/)
{
  gEdge->RequestReload();
}

/// Read the settings again. A file with a problem changes nothing.
void
Reload(const std::string& aFile, const EdgeSettings& aRunning)
{
  const EdgeSettingsReport report = LoadEdgeSettings(aFile);
  for (const auto& it : report.mProblems) {
    LogWarning("reload_refused", { { "problem", ToString(it) } });
  }
  if (!report.mProblems.empty()) {
    return;
  }
  gEdge->Apply(report.mSettings);
  std::string later;
  for (const auto& it : KeysForNextStart(aRunning, report.mSettings)) {
    later += (later.empty() ? "" : ",") + it;
  }
  LogEvent("reload",
           { { "file", aFile },
             { "configure_within", FormatDuration(report.mSettings.mConfigureWithin) },
             { "leave_within", FormatDuration(report.mSettings.mLeaveWithin) },
             { "revoke_within", FormatDuration(report.mSettings.mRevokeWithin) },
             { "stop_within", FormatDuration(report.mSettings.mStopWithin) },
             { "retry_share", std::to_string(report.mSettings.mRetryShare) },
             { "retry_slack", std::to_string(report.mSettings.mRetrySlack) },
             { "at_the_next_start", later } });
}

} // namespace

int
RunEdge(const CommandOptions& aOptions)
{
  std::string file;
  EdgeSettings settings;
  const int read = ReadEdgeSettings(aOptions, &file, &settings);
  if (read != kExitOk) {
    return read;
  }
  StartLogging(settings.mName);
  // Few arenas: values made on one thread are freed on another, and each arena keeps its own peak.
  constexpr int kArenas = 2;
  mallopt(M_ARENA_MAX, kArenas);
  std::signal(SIGPIPE, SIG_IGN);
  auto node = EdgeNode::Start(settings, &platform::MakePlatformLink);
  if (!node.has_value()) {
    std::cerr << ToString(node.error()) << "\n";
    return kExitUnreachable;
  }
  gEdge = node.value().get();
  std::signal(SIGTERM, &OnStop);
  std::signal(SIGINT, &OnStop);
  std::signal(SIGHUP, &OnReload);
  LogEvent("started",
           { { "file", file },
             { "data_centre", settings.mDataCentre },
             { "callers", settings.mCallers },
             { "admin", settings.mAdmin },
             { "peers", settings.mPeers } });
  gEdge->Wait([&file, &settings] { Reload(file, settings); });
  LogEvent("stopped");
  // Nothing is left to write back, and the libraries' threads would be waited for: a call that the
  // store holds open keeps its thread for seconds, and the platform kills what is late.
  std::_Exit(kExitOk);
}

} // namespace pepperbay
