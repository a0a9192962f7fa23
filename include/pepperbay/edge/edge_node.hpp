/// @file
/// @brief A node before a shared pool of engines: its threads and their wiring, and nothing else.
///
/// One thread owns the control state, another carries the traffic. What speaks to a platform is
/// handed in, so that the node knows no platform's names.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/coordinator/coordinator.hpp"
#include "pepperbay/http/client.hpp"
#include "pepperbay/relay/dialect.hpp"
#include "pepperbay/settings/edge_settings.hpp"

#include <functional>
#include <memory>

namespace pepperbay {

/// A platform, as the node needs it.
class PlatformLink
{
public:
  virtual ~PlatformLink() = default;
  virtual Dialect CallerDialect() = 0;
  /// Fill in the hooks that lead to the store and to engines.
  virtual void Connect(CoordinatorHooks* aHooks) = 0;
};

/// Makes the link of a platform. `aPost` runs a function on the control thread.
using PlatformLinkFactory = std::function<std::unique_ptr<PlatformLink>(
  const EdgeSettings& aSettings,
  HttpClient* aClient,
  const std::function<void(std::function<void()>)>& aPost)>;

class EdgeNode
{
public:
  static Result<std::unique_ptr<EdgeNode>> Start(const EdgeSettings& aSettings,
                                                 const PlatformLinkFactory& aFactory);
  virtual ~EdgeNode() = default;

  /// Begin to stop: readiness fails first, requests in progress end. Safe in a signal handler.
  virtual void RequestStop() = 0;
  /// The settings file may have changed. Safe in a signal handler.
  virtual void RequestReload() = 0;
  /// Take up bounds and budgets of new settings; see KeysForNextStart() for what does not change.
  virtual void Apply(const EdgeSettings& aSettings) = 0;
  /// Wait until the node has stopped.
  /// @param aReload called on this thread after each RequestReload()
  virtual void Wait(const std::function<void()>& aReload) = 0;
};

} // namespace pepperbay
