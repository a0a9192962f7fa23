#include "controller_impl.hpp"

#include <nlohmann/json.hpp>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

double
SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Json
DocumentJson(const proto::Versioned& aVersioned)
{
  Json json;
  json["version"] = aVersioned.version();
  json["offset"] = aVersioned.offset();
  const proto::Document& document = aVersioned.document();
  if (document.has_profile()) {
    const proto::Profile& profile = document.profile();
    json["profile"] = { { "model", profile.model() },
                        { "model_version", profile.model_version() },
                        { "hosts_per_replica", profile.hosts_per_replica() },
                        { "priority", profile.priority() },
                        { "share_permille", profile.share_permille() } };
  } else if (document.has_customer()) {
    json["customer"] = { { "share_permille", document.customer().share_permille() } };
  } else if (document.has_service()) {
    const auto& endpoints = document.service().endpoints();
    json["service"] = { { "endpoints",
                          std::vector<std::string>(endpoints.begin(), endpoints.end()) } };
  } else {
    json["removed"] = true;
  }
  return json;
}

const char*
PhaseName(proto::Phase aPhase)
{
  switch (aPhase) {
    case proto::PHASE_IDLE:
      return "idle";
    case proto::PHASE_LOADING:
      return "loading";
    case proto::PHASE_READY:
      return "ready";
    case proto::PHASE_FAILED:
      return "failed";
    default:
      return "unknown";
  }
}

} // namespace

std::string
Controller::Impl::Dump() const
{
  const TimePoint now = mHooks.mNow();
  Json json;
  json["node"] = mSettings.mPlace.mName;
  json["data_centre"] = mSettings.mPlace.mDataCentre;
  json["incarnation"] = mIncarnation;
  json["revision"] = mRevision;
  // As the traffic threads have been told, not as it would be judged now.
  json["ready"] = mLastWhyNot.empty();
  json["why_not_ready"] = mLastWhyNot;
  json["applied"] = mState.Next();
  json["log"] = { { "reachable", mFollower.LogReachable() },
                  { "caught_up", mFollower.CaughtUp() },
                  { "records_waiting", mAppender.Waiting() } };
  Json& documents = json["documents"] = Json::object();
  for (const auto& [key, versioned] : mState.Content().documents()) {
    documents[key] = DocumentJson(versioned);
  }
  Json& leases = json["leases"] = Json::object();
  for (const auto& [scope, lease] : mState.Content().leases()) {
    leases[scope] = { { "holder", lease.holder() },
                      { "incarnation", lease.incarnation() },
                      { "fence", lease.fence() },
                      { "released", lease.released() } };
  }
  json["holder"] = { { "held", mHolder.Lease().Held(now) },
                     { "remaining_s", SecondsOf(mHolder.Lease().Remaining(now)) },
                     { "orders", mHolder.Orders() },
                     { "orders_refused", mCounters.mOrdersRefused },
                     { "records_refused", mHolder.Refused() },
                     { "spares", mHolder.LastPlan().mSpares },
                     { "waiting", mHolder.LastPlan().mWaiting } };
  Json& replicas = json["replicas"] = Json::object();
  for (const auto& [name, replica] : mState.Content().replicas()) {
    const auto repair = mRepairs.find(name);
    const proto::Assign& assign = repair == mRepairs.end() ? replica.assign() : repair->second;
    Json entry = { { "scope", assign.scope() },
                   { "generation", assign.generation() },
                   { "profile", assign.profile() },
                   { "model_version", assign.model_version() },
                   { "repaired_without_log", repair != mRepairs.end() },
                   { "closing", replica.closing() },
                   { "straggler", mEjected.count(name) > 0 } };
    for (const auto& it : assign.members()) {
      entry["members"].push_back(it.host());
    }
    const auto report = mReports.find({ name, assign.generation() });
    if (report != mReports.end()) {
      entry["wholeness"] = ToString(report->second.mWholeness);
      entry["because_of"] = report->second.mHost;
    }
    const auto load = mLoads.find({ name, assign.generation() });
    if (load != mLoads.end()) {
      entry["in_flight_here"] = load->second->InFlight();
      entry["closed_here"] = load->second->Closed();
    }
    replicas[name] = std::move(entry);
  }
  Json& hosts = json["hosts"] = Json::object();
  for (const auto& [host, word] : mWatch.Table().Words()) {
    hosts[host] = { { "incarnation", word.mEvidence.host_incarnation() },
                    { "phase", PhaseName(word.mEvidence.phase()) },
                    { "replica", word.mEvidence.replica() },
                    { "generation", word.mEvidence.generation() },
                    { "fence", word.mEvidence.fence() },
                    { "refused", word.mEvidence.refused() },
                    { "running", word.mEvidence.running() },
                    { "age_s", SecondsOf(now - word.mSaidNoEarlier) },
                    { "draining", Draining(host) } };
  }
  Json& peers = json["peers"] = Json::object();
  for (const auto& [name, peer] : mRoster.Peers()) {
    peers[name] = { { "status", ToString(mRoster.StatusOf(name, now)) },
                    { "data_centre", peer.mDataCentre },
                    { "incarnation", peer.mIncarnation },
                    { "in_log", peer.mInLog },
                    { "applied", peer.mApplied } };
  }
  Json& centres = json["other_data_centres"] = Json::object();
  for (const auto& [name, remote] : mRemotes) {
    Json entry = { { "least_applied", remote.mSummary.least_applied() },
                   { "nodes_alive", remote.mSummary.nodes_alive() },
                   { "nodes_known", remote.mSummary.nodes_known() },
                   { "age_s", SecondsOf(now - remote.mSaid) } };
    for (const auto& it : remote.mSummary.capacity()) {
      entry["free_slots"][it.profile()] = it.free_slots();
    }
    centres[name] = std::move(entry);
  }
  Json& failed = json["failed_versions"] = Json::object();
  for (const auto& [profile, version] : mState.Content().failed_versions()) {
    failed[profile] = version;
  }
  Json& reserves = json["reserves"] = Json::object();
  for (const auto& [host, reserve] : mState.Content().reserves()) {
    reserves[host] = std::vector<std::string>(reserve.replicas().begin(), reserve.replicas().end());
  }
  json["claims"] = { { "keys", mClaims.Keys() }, { "appends", mClaims.Appends() } };
  json["drains_not_in_log"] = mLocalDrains;
  json["replicas_lost"] = mCounters.mReplicasLost;
  json["dropped_messages"] = mCounters.mDroppedMessages;
  json["records_folded"] = mCounters.mFolded;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace pepperbay
