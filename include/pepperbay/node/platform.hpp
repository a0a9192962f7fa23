/// @file
/// @brief The platform and the engines over HTTP.
///
/// The interfaces, also to be found in docs/OPERATING.md:
/// - log: `POST /streams/NAME` with a LogAppend, answered by a LogAppended;
///   `GET /streams/NAME?from=N&max=N&wait_ms=N`, answered by LogRecords (protobuf both);
/// - host list: `GET /hosts?data_centre=NAME`, JSON, with an ETag; unchanged lists are not sent
/// again;
/// - engine: `GET /state`, `POST /orders`, JSON.
#pragma once

#include "pepperbay/control/controller.hpp"
#include "pepperbay/http/client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pepperbay {

/// Calls to the platform and to hosts. Answers come on the client's thread.
class Platform
{
public:
  Platform(const PlatformSettings& aSettings, HttpClient* aClient);

  void Append(const std::string& aStream,
              const std::vector<std::string>& aRecords,
              std::function<void(Result<std::uint64_t> aFirstOffset)> aDone);
  /// @param aWait how long the log may hold the read when there is nothing new
  void Read(const std::string& aStream,
            const LogRead& aRead,
            Duration aWait,
            std::function<void(Result<proto::LogRecords>)> aDone);
  /// The hosts of one data centre.
  void ListHosts(const std::string& aDataCentre,
                 std::function<void(Result<std::vector<HostListing>>)> aDone);
  void Probe(const std::string& aAddress,
             Duration aTimeout,
             std::function<void(Result<proto::Evidence>)> aDone);
  void Order(const HostOrder& aOrder, Duration aTimeout, std::function<void(Result<void>)> aDone);

private:
  /// The last list, for answers that say it is unchanged. Touched on the client's thread only.
  struct HostCache
  {
    std::string mTag;
    std::vector<HostListing> mHosts;
  };

  PlatformSettings mSettings;
  HttpClient* mClient;
  std::shared_ptr<HostCache> mHostCache = std::make_shared<HostCache>();
};

/// @return what a host said of itself, from the JSON of `GET /state`.
Result<proto::Evidence>
ParseHostState(const std::string& aBody, const std::string& aPeer);

/// @return the hosts of `GET /hosts`.
Result<std::vector<HostListing>>
ParseHostList(const std::string& aBody, const std::string& aPeer);

} // namespace pepperbay
