/// @file
/// @brief A node: its threads and their wiring, and nothing else.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/settings/settings.hpp"

#include <memory>

namespace pepperbay {

/// Runs until `RequestStop()`.
///
/// One thread owns all control state. The server's and clients' threads carry traffic.
class Node
{
public:
  /// Open all sockets and start.
  static Result<std::unique_ptr<Node>> Start(const Settings& aSettings);
  virtual ~Node() = default;

  /// Begin to stop: readiness fails first, accepted requests end, the lease is given back.
  /// Safe in a signal handler.
  virtual void RequestStop() = 0;

  /// Wait until the node has stopped.
  virtual void Wait() = 0;
};

} // namespace pepperbay
