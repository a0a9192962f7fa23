#include "commands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, config, "", "settings file (serve, check-config)");
ABSL_FLAG(std::string, admin, "127.0.0.1:8081", "admin address of a node, IP:port");
ABSL_FLAG(bool, json, false, "print JSON instead of text");
ABSL_FLAG(bool, wait, false, "publish: return once the change is in force on every node");
ABSL_FLAG(int, timeout, 30, "seconds to wait for an answer");

namespace {

bool
AsksForHelp(const std::string& aArgument)
{
  return aArgument == "--help" || aArgument == "-h" || aArgument == "help";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::string command;
  bool help = aCount < 2;
  for (int i = 1; i < aCount; ++i) {
    const std::string argument = aArguments[i];
    if (AsksForHelp(argument)) {
      help = true;
    } else if (command.empty() && argument[0] != '-') {
      command = argument;
    }
  }
  if (help) {
    std::cout << pepperbay::HelpOf(command);
    return aCount < 2 ? pepperbay::kExitUsage : pepperbay::kExitOk;
  }
  absl::SetProgramUsageMessage(pepperbay::HelpOf(""));
  const std::vector<char*> left = absl::ParseCommandLine(aCount, aArguments);
  const std::vector<std::string> words(left.begin() + 1, left.end());
  pepperbay::CommandOptions options;
  options.mConfig = absl::GetFlag(FLAGS_config);
  options.mAdmin = absl::GetFlag(FLAGS_admin);
  options.mJson = absl::GetFlag(FLAGS_json);
  options.mWait = absl::GetFlag(FLAGS_wait);
  options.mTimeoutSeconds = absl::GetFlag(FLAGS_timeout);
  return pepperbay::RunCommand(words, options);
}
