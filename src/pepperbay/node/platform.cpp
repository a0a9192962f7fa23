#include "pepperbay/node/platform.hpp"

#include <nlohmann/json.hpp>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;

/// @return the body of a complete 200, or what went wrong.
Result<std::string>
BodyOf(HttpFetched& aFetched, const std::string& aStep, const std::string& aPeer)
{
  if (!aFetched.mOutcome.mOk) {
    Error error = aFetched.mOutcome.mError;
    error.mStep = aStep;
    error.mPeer = aPeer;
    return error;
  }
  if (aFetched.mResponse.mStatus != kOk) {
    return Error{ Errc::kUnavailable,
                  aStep,
                  aPeer,
                  "status " + std::to_string(aFetched.mResponse.mStatus) + ": " +
                    aFetched.mResponse.mBody };
  }
  return std::move(aFetched.mResponse.mBody);
}

proto::Phase
PhaseOf(const std::string& aName)
{
  if (aName == "idle") {
    return proto::PHASE_IDLE;
  }
  if (aName == "loading") {
    return proto::PHASE_LOADING;
  }
  if (aName == "ready") {
    return proto::PHASE_READY;
  }
  return aName == "failed" ? proto::PHASE_FAILED : proto::PHASE_UNKNOWN;
}

} // namespace

Platform::Platform(const PlatformSettings& aSettings, HttpClient* aClient)
  : mSettings(aSettings)
  , mClient(aClient)
{
}

void
Platform::Append(const std::string& aStream,
                 const std::vector<std::string>& aRecords,
                 std::function<void(Result<std::uint64_t>)> aDone)
{
  proto::LogAppend append;
  for (const auto& it : aRecords) {
    append.add_records(it);
  }
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + mSettings.mLog + "/streams/" + aStream;
  call.mHeaders = { { "Content-Type", "application/x-protobuf" } };
  call.mBody = append.SerializeAsString();
  call.mTimeout = mSettings.mTimeout;
  mClient->Fetch(std::move(call),
                 [done = std::move(aDone), peer = mSettings.mLog](HttpFetched aFetched) {
                   const auto body = BodyOf(aFetched, "log.append", peer);
                   if (!body.has_value()) {
                     done(body.error());
                     return;
                   }
                   proto::LogAppended appended;
                   if (!appended.ParseFromString(body.value())) {
                     done(Error{ Errc::kInvalid, "log.append", peer, "not a LogAppended" });
                     return;
                   }
                   done(appended.first_offset());
                 });
}

void
Platform::Read(const std::string& aStream,
               const LogRead& aRead,
               Duration aWait,
               std::function<void(Result<proto::LogRecords>)> aDone)
{
  HttpCall call;
  call.mUrl = "http://" + mSettings.mLog + "/streams/" + aStream +
              "?from=" + std::to_string(aRead.mFrom) + "&max=" + std::to_string(aRead.mMax) +
              "&wait_ms=" + std::to_string(ToMs(aWait).count());
  call.mTimeout = aWait + mSettings.mTimeout;
  mClient->Fetch(std::move(call),
                 [done = std::move(aDone), peer = mSettings.mLog](HttpFetched aFetched) {
                   const auto body = BodyOf(aFetched, "log.read", peer);
                   if (!body.has_value()) {
                     done(body.error());
                     return;
                   }
                   proto::LogRecords records;
                   if (!records.ParseFromString(body.value())) {
                     done(Error{ Errc::kInvalid, "log.read", peer, "not LogRecords" });
                     return;
                   }
                   done(std::move(records));
                 });
}

void
Platform::ListHosts(const std::string& aDataCentre,
                    std::function<void(Result<std::vector<HostListing>>)> aDone)
{
  HttpCall call;
  call.mUrl = "http://" + mSettings.mHosts + "/hosts?data_centre=" + aDataCentre;
  call.mTimeout = mSettings.mTimeout;
  // The list is long and changes rarely. One call is under way at a time, so the tag is settled.
  if (!mHostCache->mTag.empty()) {
    call.mHeaders.push_back({ "If-None-Match", mHostCache->mTag });
  }
  mClient->Fetch(
    std::move(call),
    [done = std::move(aDone), peer = mSettings.mHosts, cache = mHostCache](HttpFetched aFetched) {
      constexpr int kNotModified = 304;
      if (aFetched.mOutcome.mOk && aFetched.mResponse.mStatus == kNotModified) {
        done(cache->mHosts);
        return;
      }
      const std::string tag = FirstValue(aFetched.mResponse.mHeaders, "ETag").value_or("");
      const auto body = BodyOf(aFetched, "hosts.list", peer);
      if (!body.has_value()) {
        done(body.error());
        return;
      }
      auto hosts = ParseHostList(body.value(), peer);
      if (hosts.has_value()) {
        cache->mTag = tag;
        cache->mHosts = hosts.value();
      }
      done(std::move(hosts));
    });
}

void
Platform::Probe(const std::string& aAddress,
                Duration aTimeout,
                std::function<void(Result<proto::Evidence>)> aDone)
{
  HttpCall call;
  call.mUrl = "http://" + aAddress + "/state";
  call.mTimeout = aTimeout;
  call.mConnectTimeout = aTimeout;
  mClient->Fetch(std::move(call), [done = std::move(aDone), aAddress](HttpFetched aFetched) {
    const bool refused = !aFetched.mOutcome.mOk && !aFetched.mOutcome.mMayHaveRun &&
                         aFetched.mOutcome.mError.mCode == Errc::kUnavailable;
    if (refused) {
      proto::Evidence evidence;
      evidence.set_refused(true);
      done(std::move(evidence));
      return;
    }
    const auto body = BodyOf(aFetched, "host.probe", aAddress);
    if (!body.has_value()) {
      done(body.error());
      return;
    }
    done(ParseHostState(body.value(), aAddress));
  });
}

void
Platform::Order(const HostOrder& aOrder, Duration aTimeout, std::function<void(Result<void>)> aDone)
{
  Json json = { { "order", aOrder.mKind == OrderKind::kLoad ? "load" : "unload" },
                { "fence", aOrder.mFence },
                { "replica", aOrder.mReplica },
                { "generation", aOrder.mGeneration },
                { "model", aOrder.mModel },
                { "model_version", aOrder.mModelVersion } };
  for (const auto& it : aOrder.mMembers) {
    json["members"].push_back({ { "host", it.host() }, { "address", it.address() } });
  }
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + aOrder.mAddress + "/orders";
  call.mBody = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  call.mTimeout = aTimeout;
  mClient->Fetch(std::move(call),
                 [done = std::move(aDone), peer = aOrder.mAddress](HttpFetched aFetched) {
                   const auto body = BodyOf(aFetched, "host.order", peer);
                   if (!body.has_value()) {
                     done(body.error());
                     return;
                   }
                   done(BOOST_OUTCOME_V2_NAMESPACE::success());
                 });
}

Result<proto::Evidence>
ParseHostState(const std::string& aBody, const std::string& aPeer)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return Error{ Errc::kInvalid, "host.probe", aPeer, "not a JSON object" };
  }
  proto::Evidence evidence;
  try {
    evidence.set_host_incarnation(json.at("incarnation").get<std::uint64_t>());
    evidence.set_phase(PhaseOf(json.at("phase").get<std::string>()));
    evidence.set_replica(json.value("replica", ""));
    evidence.set_generation(json.value("generation", std::uint64_t{ 0 }));
    evidence.set_model_version(json.value("model_version", ""));
    evidence.set_fence(json.value("fence", std::uint64_t{ 0 }));
    evidence.set_running(json.value("running", std::uint32_t{ 0 }));
    evidence.set_queued(json.value("queued", std::uint32_t{ 0 }));
  } catch (const Json::exception& ec) {
    return Error{ Errc::kInvalid, "host.probe", aPeer, ec.what() };
  }
  return evidence;
}

Result<std::vector<HostListing>>
ParseHostList(const std::string& aBody, const std::string& aPeer)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_array()) {
    return Error{ Errc::kInvalid, "hosts.list", aPeer, "not a JSON array" };
  }
  std::vector<HostListing> hosts;
  try {
    for (const auto& it : json) {
      HostListing listing;
      listing.mView.mHost = it.at("host").get<std::string>();
      listing.mView.mDomain = it.at("domain").get<std::string>();
      listing.mView.mAddress = it.at("address").get<std::string>();
      listing.mView.mChecksFence = it.value("checks_fence", true);
      listing.mView.mAccelerators = it.value("accelerators", std::uint32_t{ 1 });
      listing.mView.mLeaving = it.value("state", "live") == "leaving";
      listing.mDataCentre = it.at("data_centre").get<std::string>();
      hosts.push_back(std::move(listing));
    }
  } catch (const Json::exception& ec) {
    return Error{ Errc::kInvalid, "hosts.list", aPeer, ec.what() };
  }
  return hosts;
}

} // namespace pepperbay
