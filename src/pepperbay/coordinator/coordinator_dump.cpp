#include "coordinator_impl.hpp"

#include <nlohmann/json.hpp>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

Json
DumpReplica(const std::string& aService, const PlannedReplica& aReplica, TimePoint aNow)
{
  return { { "name", aReplica.mName },
           { "service", aService },
           { "epoch", aReplica.mEpoch },
           { "model", aReplica.mModel },
           { "domain", aReplica.mDomain },
           { "members", aReplica.mMembers },
           { "phase", ToString(aReplica.mPhase) },
           { "since_ms", ToMs(aNow - aReplica.mSince).count() },
           { "why", aReplica.mPhase == ReplicaPhase::kOpen ? "" : aReplica.mWhy } };
}

} // namespace

std::string
Coordinator::Impl::Dump()
{
  Json models = Json::array();
  for (const auto& [service, planner] : mPlanners) {
    for (const auto& it : planner.Uses()) {
      models.push_back({ { "service", service },
                         { "model", it.mModel },
                         { "replicas", it.mReplicas },
                         { "in_use", it.mInUse } });
    }
  }
  Json replicas = Json::array();
  for (const auto& [service, planner] : mPlanners) {
    for (const auto& [name, it] : planner.Replicas()) {
      replicas.push_back(DumpReplica(service, it, Now()));
    }
  }
  Json peers = Json::array();
  for (const auto& [name, it] : mPeers.Peers()) {
    peers.push_back({ { "node", name },
                      { "address", it.mAddress },
                      { "alive", mPeers.Alive(it, Now()) }, // most nodes only hear from delegates
                      { "relies_on_this", it.mBeat.follows() },
                      { "configuration", it.mBeat.config_version() } });
  }
  Json lost = Json::array();
  for (const auto& [engine, since] : mEngineSuspicions.Lost()) {
    lost.push_back(engine);
  }
  Json logs = Json::object();
  for (const auto log : { FollowedLog::kConfiguration, FollowedLog::kEngines }) {
    const KeyedFollower& follower = FollowerOf(log);
    logs[NameOf(log)] = { { "next", follower.Next() },
                          { "age_ms", ToMs(Now() - LogAsOf(log)).count() },
                          { "own_read_age_ms", ToMs(Now() - follower.AsOf()).count() },
                          { "reads", mReads.Reads(log) } };
  }
  Json held = Json::array();
  for (const auto& it : mSuspects.Crashes().Keys()) {
    const TimePoint until = mSuspects.Crashes().QuarantinedUntil(it);
    if (until > Now()) {
      held.push_back({ { "key", ToString(it) },
                       { "engines", mSuspects.Crashes().Ends(it).size() },
                       { "score", mSuspects.Crashes().Charge(it) },
                       { "for_ms", ToMs(until - Now()).count() } });
    }
  }
  Json limits = Json::array();
  for (const auto& [id, limit] : mLimits) {
    const EngineRecord* engine = FindEngine(EngineOf(id));
    if (engine != nullptr) {
      limits.push_back({ { "engine", engine->mId },
                         { "data_centre", engine->mDataCentre },
                         { "per_second", limit } });
    }
  }
  Json counts = Json::array();
  for (const auto& [centre, lease] : mRateLeases.Current(Now())) {
    counts.push_back(centre);
  }
  Json proxies = Json::array();
  for (const auto& it : mProxyPeers ? *mProxyPeers : ProxyPeers{}) {
    proxies.push_back(it.mNode);
  }
  const Json dump = { { "node", mOptions.mNode },
                      { "incarnation", mOptions.mIncarnation },
                      { "ready", IsReady() },
                      { "stopping", mStopping },
                      { "holds_lease", mLease.Held() },
                      { "lease",
                        { { "holder", mLease.Newest().holder() },
                          { "fence", mLease.Newest().fence() },
                          { "log_lost", mLease.LogLost() } } },
                      { "configuration",
                        { { "version", ConfigurationVersion() },
                          { "age_ms", ToMs(Now() - ConfigurationAsOf()).count() },
                          { "by_peers", AsksFreshness() } } },
                      { "delegates",
                        { { "followed", mTree.Followed() },
                          { "followers", Followers() },
                          { "heard", mTree.Delegates() },
                          { "of_other_data_centres", mTree.OtherDelegates() },
                          { "candidate", mTree.IsCandidate() } } },
                      { "nodes_at_work", LiveNodes() },
                      { "news",
                        { { "fence", mUpdates.Fence() },
                          { "change", mUpdates.Change() },
                          { "age_ms", ToMs(Now() - mUpdates.AsOf()).count() } } },
                      { "store_read_by",
                        { { "node", ReadsForItself() ? mOptions.mNode : mTree.Reader() },
                          { "lost", StoreLost() },
                          { "looks", mCounters.mDirectReads } } },
                      { "logs", logs },
                      { "engines", mDirectory.Engines().size() },
                      { "engines_reached",
                        { { "directly", !IsUnreached() },
                          { "through", proxies },
                          { "undecided", mEngineSuspicions.Undecided() } } },
                      { "lost_engines", lost },
                      { "limits", limits },
                      { "counts_for", counts },
                      { "suspect_requests", mSuspects.Crashes().Size() },
                      { "held_requests", held },
                      { "models", models },
                      { "replicas", replicas },
                      { "peers", peers } };
  return dump.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace pepperbay
