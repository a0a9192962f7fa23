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

/// The settings of a running node do not change; a new file is checked and told, and takes force
/// at the next start.
void
CheckReloaded(const std::string& aFile)
{
  const EdgeSettingsReport report = LoadEdgeSettings(aFile);
  if (report.mProblems.empty()) {
    LogEvent("reload", { { "file", aFile }, { "in_force", "at the next start" } });
    return;
  }
  for (const auto& it : report.mProblems) {
    LogWarning("reload_refused", { { "problem", ToString(it) } });
  }
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
  gEdge->Wait([&file] { CheckReloaded(file); });
  LogEvent("stopped");
  // Nothing is left to write back, and the libraries' threads would be waited for: a call that the
  // store holds open keeps its thread for seconds, and the platform kills what is late.
  std::_Exit(kExitOk);
}

} // namespace pepperbay
