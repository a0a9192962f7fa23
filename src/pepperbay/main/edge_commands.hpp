/// @file
/// @brief Commands for nodes before a shared pool of engines.
#pragma once

#include "commands.hpp"
#include "pepperbay/settings/edge_settings.hpp"

namespace pepperbay {

/// Find the settings file (--config, or the variable PEPPERBAY_SETTINGS), read and check it.
/// @return kExitOk, or why not after saying so
int
ReadEdgeSettings(const CommandOptions& aOptions, std::string* aFile, EdgeSettings* aSettings);

/// Check a node's settings and say each thing that is wrong.
int
CheckEdge(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

/// Ask the nodes at the admin addresses and put side by side what they say.
int
PoolStatus(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

/// Have a node, and by it all others, let a request run again that they hold back.
int
ReleaseRequest(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

} // namespace pepperbay
