/// @file
/// @brief The command line: `serve` and the operator's commands.
#pragma once

#include "pepperbay/http/client.hpp"
#include "pepperbay/settings/yaml_reader.hpp"

#include <string>
#include <vector>

namespace pepperbay {

/// Exit codes, the same for every command.
enum ExitCode
{
  kExitOk = 0,
  kExitUsage = 2,       ///< wrong arguments
  kExitBadInput = 3,    ///< a settings or publish file is wrong
  kExitConflict = 4,    ///< somebody else's change came first
  kExitRefused = 5,     ///< the change breaks a rule, or the thing named does not exist
  kExitUnknown = 6,     ///< no answer in time; the effect is unknown
  kExitUnreachable = 7, ///< the node does not answer; nothing was done
};

/// What the flags said.
struct CommandOptions
{
  std::string mConfig;
  std::string mAdmin;
  bool mJson = false;
  bool mWait = false;
  int mTimeoutSeconds = 30;
};

/// Run a command. @param aWords the command's name and its arguments
int
RunCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

/// One call to a node's admin address.
HttpFetched
Ask(const CommandOptions& aOptions,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody);

/// Say that a file has nothing wrong.
void
PrintGood(const std::string& aFile, bool aJson);

/// Serve before a shared pool of engines until SIGTERM or SIGINT.
int
RunEdge(const CommandOptions& aOptions);

/// Say each thing that is wrong with a file.
void
PrintProblems(const std::vector<YamlProblem>& aProblems, bool aJson);

/// @return the help of a command, or of all when it is not known.
std::string
HelpOf(const std::string& aCommand);

} // namespace pepperbay
