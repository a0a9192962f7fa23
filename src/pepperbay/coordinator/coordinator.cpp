#include "pepperbay/coordinator/coordinator.hpp"

#include "engine_doubts.hpp"
#include "peer_book.hpp"
#include "pepperbay/base/hash.hpp"
#include "plan_builder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace pepperbay {
namespace {

/// The plan's counts of other nodes' requests are renewed this often without any other change.
constexpr std::chrono::milliseconds kPublishEvery{ 100 };
/// Most that a challenger's wait is lengthened, so that not all claim a free lease at once.
constexpr std::chrono::milliseconds kMostStagger{ 120 };
/// News of a holder that has been silent for this long is not used: the holder may be gone and the
/// registrations have moved on.
constexpr std::chrono::seconds kNewsLife{ 3 };

LeaseOptions
LeaseOptionsOf(const CoordinatorOptions& aOptions)
{
  LeaseOptions options;
  options.mScope = "pool";
  options.mHolder = aOptions.mNode;
  options.mIncarnation = aOptions.mIncarnation;
  options.mLength = aOptions.mLease;
  options.mStagger = kMostStagger *
                     static_cast<int>(Hash64(aOptions.mNode) % kMostStagger.count()) /
                     static_cast<int>(kMostStagger.count());
  return options;
}

} // namespace

struct Coordinator::Impl
{
  Impl(CoordinatorOptions aOptions, CoordinatorHooks aHooks);

  TimePoint Now() const { return mHooks.mNow(); }
  void Tick();
  void OnConfiguration(const KeyedRecord& aRecord);
  void OnEngine(const KeyedRecord& aRecord);
  void OnEngineList(const std::vector<KeyedRecord>& aRecords);
  void OnNode(const KeyedRecord& aRecord);
  void PutOwnRecord();
  void OnBeat(const std::string& aBytes);
  void SendBeat();
  void TakePrompts(const proto::NodeBeat& aBeat);
  void TellPrompts(const std::vector<SentPrompt>& aPrompts);
  void OnSuspect(const std::string& aHead, Duration aSilence);
  void AskMembers(const std::string& aHead);
  void OnEngineChange(const EngineRecord& aEngine, bool aLost);
  void PlanPools();
  void AskAsPlanned(const GroupPlanner& aPlanner);
  void Publish();
  bool MayOrder() const;
  int InFlightEverywhere(const std::string& aEngine) const;
  std::unordered_map<std::string, int> OthersInFlight() const;
  KeyedFollowerEvents Events(const char* aName,
                             std::function<void(const std::vector<KeyedRecord>&)> aOnList,
                             std::function<void(const KeyedRecord&)> aOnRecord);
  std::string Dump() const;

  CoordinatorOptions mOptions;
  CoordinatorHooks mHooks;
  CoordinatorCounters mCounters;
  KeyedFollower mConfigFollower;
  KeyedFollower mEngineFollower;
  KeyedFollower mNodeFollower;
  LogLease mLease;
  EngineDirectory mDirectory;
  EngineDoubts mDoubts;
  PeerBook mPeers;
  std::shared_ptr<const RouteTable> mRoutes;
  std::map<std::string, GroupPlanner> mPlanners; ///< by service
  std::map<std::string, proto::ReplicaNews> mNews;
  std::uint64_t mNewsFrom = 0; ///< lease record of the holder that told the news
  TimePoint mNewsAt{};
  std::unordered_map<std::string, int> mInFlight;
  std::map<std::string, TimePoint> mSuspects;               ///< heads that this node finds silent
  std::unordered_map<std::uint32_t, std::string> mShortIds; ///< of the directory's engines
  std::uint64_t mShortIdsOf = 0;                            ///< revision that they are of
  std::uint64_t mPlannedFence = 0;
  std::uint64_t mPublishedRevision = 0;
  bool mChanged = true;
  bool mTraffic = false;
  bool mStopping = false;
  bool mRecordWritten = false;
  bool mRecordOnItsWay = false;
  TimePoint mBeatDue{};
  TimePoint mPublishDue{};
  TimePoint mEngineReadDue{};
};

Coordinator::Impl::Impl(CoordinatorOptions aOptions, CoordinatorHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mConfigFollower(KeyedFollowerOptions{ mOptions.mConfigWait, std::chrono::milliseconds(50) },
                    mHooks.mConfigLog,
                    Events(
                      "configuration",
                      [this](const auto& aList) {
                        for (const auto& it : aList) {
                          OnConfiguration(it);
                        }
                      },
                      [this](const KeyedRecord& aRecord) { OnConfiguration(aRecord); }),
                    mHooks.mNow)
  , mEngineFollower(KeyedFollowerOptions{ mOptions.mEngineWait },
                    mHooks.mEngineLog,
                    Events(
                      "engines",
                      [this](const auto& aList) { OnEngineList(aList); },
                      [this](const KeyedRecord& aRecord) { OnEngine(aRecord); }),
                    mHooks.mNow)
  , mNodeFollower(KeyedFollowerOptions{},
                  mHooks.mNodeLog,
                  Events(
                    "nodes",
                    [this](const auto& aList) {
                      for (const auto& it : aList) {
                        OnNode(it);
                      }
                    },
                    [this](const KeyedRecord& aRecord) { OnNode(aRecord); }),
                  mHooks.mNow)
  , mLease(LeaseOptionsOf(mOptions), mHooks.mLeaseLog, mHooks.mNow)
  , mDoubts({ mOptions.mAskTimeout, mOptions.mAskAgain, mOptions.mAskState },
            { mHooks.mNow,
              mHooks.mAsk,
              [this](const EngineRecord& aEngine, const EngineReport& aReport) {
                const auto planner = mPlanners.find(aEngine.mService);
                if (planner != mPlanners.end()) {
                  planner->second.OnReport(aEngine.mId, aReport, Now());
                  planner->second.Forgive(aEngine.mId);
                }
              },
              [this](const EngineRecord& aEngine, bool aLost) { OnEngineChange(aEngine, aLost); } })
  , mPeers(mOptions.mNode, mOptions.mPeerSilence)
{
}

KeyedFollowerEvents
Coordinator::Impl::Events(const char* aName,
                          std::function<void(const std::vector<KeyedRecord>&)> aOnList,
                          std::function<void(const KeyedRecord&)> aOnRecord)
{
  KeyedFollowerEvents events;
  events.mOnList = std::move(aOnList);
  events.mOnRecord = std::move(aOnRecord);
  events.mOnBack = [this, aName] {
    mDirectory.OnStoreBack(Now());
    mHooks.mLog("store_back", { { "log", aName } });
  };
  events.mOnLost = [this, aName](const Error& aError) {
    mHooks.mLog("store_lost", { { "log", aName }, { "error", ToString(aError) } });
  };
  return events;
}

void
Coordinator::Impl::OnConfiguration(const KeyedRecord& aRecord)
{
  if (aRecord.mKey != mHooks.mConfigKey || !aRecord.mValue) {
    return;
  }
  auto configuration = mHooks.mDecodeConfiguration(*aRecord.mValue);
  if (!configuration.has_value()) {
    ++mCounters.mBadConfigurations;
    mHooks.mLog("configuration_refused", { { "error", ToString(configuration.error()) } });
    return;
  }
  // One life of a process never goes back: an older version may come from a read that is behind.
  if (mRoutes && configuration.value().mVersion <= mRoutes->Version()) {
    return;
  }
  const std::uint64_t version = configuration.value().mVersion;
  const std::size_t routes = configuration.value().mRoutes.size();
  mRoutes = std::make_shared<RouteTable>(std::move(configuration.value()));
  mChanged = true;
  mHooks.mLog("configuration",
              { { "version", std::to_string(version) }, { "routes", std::to_string(routes) } });
}

void
Coordinator::Impl::OnEngine(const KeyedRecord& aRecord)
{
  if (!aRecord.mValue) {
    mDirectory.Remove(aRecord.mKey, Now());
    return;
  }
  auto engine = mHooks.mDecodeEngine(aRecord.mKey, *aRecord.mValue);
  if (!engine.has_value()) {
    ++mCounters.mBadRegistrations;
    mHooks.mLog("registration_refused", { { "error", ToString(engine.error()) } });
    return;
  }
  const EngineRecord* known = mDirectory.Find(aRecord.mKey);
  if (engine.value().mLeaving && (known == nullptr || !known->mLeaving)) {
    mHooks.mLog("engine_leaves", { { "engine", aRecord.mKey } });
  }
  mDirectory.Put(std::move(engine.value()), Now());
}

void
Coordinator::Impl::OnEngineList(const std::vector<KeyedRecord>& aRecords)
{
  std::vector<EngineRecord> engines;
  for (const auto& it : aRecords) {
    if (!it.mValue) {
      continue;
    }
    auto engine = mHooks.mDecodeEngine(it.mKey, *it.mValue);
    if (engine.has_value()) {
      engines.push_back(std::move(engine.value()));
      continue;
    }
    ++mCounters.mBadRegistrations;
    mHooks.mLog("registration_refused", { { "error", ToString(engine.error()) } });
    // What it said before stays in force.
    if (const EngineRecord* known = mDirectory.Find(it.mKey)) {
      engines.push_back(*known);
    }
  }
  mDirectory.Replace(std::move(engines), Now());
}

void
Coordinator::Impl::OnNode(const KeyedRecord& aRecord)
{
  proto::NodeRecord record;
  if (!aRecord.mValue) {
    mPeers.OnGone(aRecord.mKey);
  } else if (record.ParseFromString(*aRecord.mValue)) {
    mPeers.OnRecord(record, Now());
  } else {
    ++mCounters.mBadMessages;
  }
}

void
Coordinator::Impl::PutOwnRecord()
{
  if (mRecordWritten || mRecordOnItsWay) {
    return;
  }
  mRecordOnItsWay = true;
  proto::NodeRecord record;
  record.set_node(mOptions.mNode);
  record.set_incarnation(mOptions.mIncarnation);
  record.set_address(mOptions.mAddress);
  mHooks.mPutNode(mOptions.mNode, record.SerializeAsString(), [this](const Result<void>& aResult) {
    mRecordOnItsWay = false;
    mRecordWritten = aResult.has_value();
  });
}

void
Coordinator::Impl::Tick()
{
  const TimePoint now = Now();
  if (now >= mBeatDue) {
    PutOwnRecord();
  }
  mConfigFollower.Tick();
  mNodeFollower.Tick();
  if (now >= mEngineReadDue || !mEngineFollower.HasList()) {
    mEngineReadDue = now + (mLease.LastIsMine() ? mOptions.mHolderPause : mOptions.mOtherPause);
    mEngineFollower.Tick();
  }
  if (!mStopping) {
    mLease.Tick();
  }
  mDirectory.Tick(now);
  if (MayOrder()) {
    mDoubts.Tick(mDirectory.Engines());
  }
  PlanPools();
  if (now >= mBeatDue) {
    SendBeat();
  }
  Publish();
}

bool
Coordinator::Impl::MayOrder() const
{
  if (mStopping || !mRoutes) {
    return false;
  }
  // While nobody can reach the log nobody can take the lease over either, and engines refuse the
  // orders of whoever has been overtaken; repairs must not wait for the store.
  return mLease.Held() || (mLease.LastIsMine() && mLease.LogLost());
}

int
Coordinator::Impl::InFlightEverywhere(const std::string& aEngine) const
{
  const auto own = mInFlight.find(aEngine);
  int n = own == mInFlight.end() ? 0 : own->second;
  const std::uint32_t id = ShortId(aEngine);
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (!mPeers.Alive(peer, Now())) {
      continue;
    }
    for (const auto& it : peer.mBeat.loads()) {
      n += it.engine() == id ? static_cast<int>(it.in_flight()) : 0;
    }
  }
  return n;
}

void
Coordinator::Impl::PlanPools()
{
  if (!MayOrder()) {
    return;
  }
  if (mPlannedFence != mLease.Fence()) {
    mPlannedFence = mLease.Fence();
    mPlanners.clear();
    mHooks.mLog("lease_taken", { { "fence", std::to_string(mPlannedFence) } });
  }
  for (const auto& service : mRoutes->Services()) {
    if (!service.mPool) {
      continue;
    }
    GroupPlanner& planner =
      mPlanners.emplace(service.mName, GroupPlanner(mOptions.mPlanner)).first->second;
    GroupView view;
    view.mEngines = &mDirectory.Engines();
    view.mService = service.mName;
    view.mPool = &*service.mPool;
    view.mNow = Now();
    view.mFence = mLease.Fence();
    view.mTraffic = mTraffic;
    view.mDead = [this](const std::string& aEngine) { return mDoubts.IsLost(aEngine); };
    view.mInFlight = [this](const std::string& aHead) { return InFlightEverywhere(aHead); };
    const auto orders = planner.Plan(view);
    AskAsPlanned(planner);
    for (const auto& order : orders) {
      mHooks.mOrder(
        order, mOptions.mOrderTimeout, [this, order, name = service.mName](OrderAnswer aAnswer) {
          ++mCounters.mOrders[std::string(ToString(order.mKind)) + "_" + ToString(aAnswer)];
          mHooks.mLog("order",
                      { { "kind", ToString(order.mKind) },
                        { "engine", order.mEngine },
                        { "group", order.mGroup },
                        { "epoch", std::to_string(order.mEpoch) },
                        { "model", order.mModel },
                        { "fence", std::to_string(order.mFence) },
                        { "answer", ToString(aAnswer) } });
          if (aAnswer == OrderAnswer::kStale) {
            mLease.Doubt();
          }
          const auto it = mPlanners.find(name);
          if (it != mPlanners.end() && order.mFence == mPlannedFence) {
            it->second.OnAnswer(order, aAnswer, Now());
          }
        });
    }
    for (auto& news : NewsOf(planner.Replicas(), Now(), service.mPool->mFormTime)) {
      proto::ReplicaNews& known = mNews[news.group()];
      const bool same =
        known.epoch() == news.epoch() && known.open() == news.open() && known.lost() == news.lost();
      if (!same) {
        mHooks.mLog("replica",
                    { { "group", news.group() },
                      { "epoch", std::to_string(news.epoch()) },
                      { "model", news.model() },
                      { "open", news.open() ? "true" : "false" },
                      { "lost", news.lost() ? "true" : "false" },
                      { "why", planner.Replicas().at(news.group()).mWhy } });
        known = std::move(news);
        mChanged = true;
        mBeatDue = Now(); // peers must hear of it at once
      }
    }
    for (auto it = mNews.begin(); it != mNews.end();) {
      it = planner.Replicas().count(it->first) == 0 ? mNews.erase(it) : std::next(it);
    }
  }
  mNewsAt = Now();
  mNewsFrom = mLease.Newest().last();
}

void
Coordinator::Impl::AskAsPlanned(const GroupPlanner& aPlanner)
{
  for (const auto& [id, engine] : aPlanner.Wanted()) {
    mDoubts.AskOnce(engine);
  }
  for (const auto& id : aPlanner.Unanswering()) {
    const EngineRecord* engine = mDirectory.Find(id);
    if (engine != nullptr && !mDoubts.IsLost(id)) {
      mDoubts.AskOnce(*engine);
    }
  }
}

void
Coordinator::Impl::OnSuspect(const std::string& aHead, Duration aSilence)
{
  mSuspects[aHead] = Now();
  mHooks.mLog("suspect",
              { { "head", aHead }, { "silent_ms", std::to_string(ToMs(aSilence).count()) } });
  if (MayOrder()) {
    AskMembers(aHead);
  } else {
    mBeatDue = Now(); // the holder must hear of it at once
  }
}

void
Coordinator::Impl::AskMembers(const std::string& aHead)
{
  for (const auto& [name, planner] : mPlanners) {
    for (const auto& [group, replica] : planner.Replicas()) {
      if (replica.mMembers.front() != aHead || replica.mPhase != ReplicaPhase::kOpen) {
        continue;
      }
      for (const auto& it : replica.mMembers) {
        if (const EngineRecord* engine = mDirectory.Find(it)) {
          mDoubts.Ask(*engine);
        }
      }
    }
  }
}

void
Coordinator::Impl::OnEngineChange(const EngineRecord& aEngine, bool aLost)
{
  mChanged = true;
  mHooks.mLog(aLost ? "engine_lost" : "engine_back",
              { { "engine", aEngine.mId }, { "domain", aEngine.mDomain } });
  const auto planner = mPlanners.find(aEngine.mService);
  if (!aLost) {
    if (planner != mPlanners.end()) {
      planner->second.Forgive(aEngine.mId);
    }
    return;
  }
  ++mCounters.mLostEngines;
  // Domains go dark whole: the next repair must not choose a spare that is gone as well.
  for (const auto& [id, engine] : mDirectory.Engines()) {
    const bool neighbour = !engine.mDomain.empty() && engine.mDomain == aEngine.mDomain;
    if (neighbour && id != aEngine.mId && !mDoubts.IsLost(id)) {
      mDoubts.Ask(engine);
    }
  }
}

void
Coordinator::Impl::OnBeat(const std::string& aBytes)
{
  proto::NodeBeat beat;
  if (!beat.ParseFromString(aBytes)) {
    ++mCounters.mBadMessages;
    return;
  }
  const TimePoint now = Now();
  if (beat.prompts_only()) {
    if (mPeers.IsCurrent(beat)) {
      TakePrompts(beat);
    }
    return;
  }
  if (!mPeers.OnBeat(beat, now)) {
    return;
  }
  ++mCounters.mBeats;
  mTraffic = mTraffic || beat.traffic();
  const std::uint64_t before = mLease.Newest().last();
  mLease.OnHint(beat.lease());
  const bool fromHolder = beat.lease().holder() == beat.node() &&
                          beat.lease().incarnation() == beat.incarnation() &&
                          beat.lease().last() >= before && !MayOrder();
  if (fromHolder && beat.replicas_size() > 0) {
    mNews.clear();
    for (const auto& it : beat.replicas()) {
      mNews[it.group()] = it;
    }
    mNewsFrom = beat.lease().last();
    mNewsAt = now;
    mChanged = true;
  }
  if (!MayOrder()) {
    return;
  }
  for (const auto& suspect : beat.suspects()) {
    for (const auto& [id, engine] : mDirectory.Engines()) {
      if (ShortId(id) == suspect.engine()) {
        AskMembers(id);
        break;
      }
    }
  }
}

void
Coordinator::Impl::TakePrompts(const proto::NodeBeat& aBeat)
{
  if (mShortIdsOf != mDirectory.Revision()) {
    mShortIdsOf = mDirectory.Revision();
    mShortIds.clear();
    for (const auto& [id, engine] : mDirectory.Engines()) {
      mShortIds[ShortId(id)] = id;
    }
  }
  std::vector<SentPrompt> prompts;
  for (const auto& it : aBeat.prompts()) {
    const auto id = mShortIds.find(it.engine());
    if (id != mShortIds.end()) {
      prompts.push_back({ id->second, std::chrono::microseconds(it.work_us()) });
    }
  }
  if (!prompts.empty() && mHooks.mOnPrompts) {
    mHooks.mOnPrompts(std::move(prompts));
  }
}

void
Coordinator::Impl::TellPrompts(const std::vector<SentPrompt>& aPrompts)
{
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  beat.set_prompts_only(true);
  for (const auto& it : aPrompts) {
    auto* prompt = beat.add_prompts();
    prompt->set_engine(ShortId(it.mHead));
    prompt->set_work_us(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(it.mWork).count()));
  }
  const std::string bytes = beat.SerializeAsString();
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (mPeers.Alive(peer, Now())) {
      mHooks.mSend(peer.mAddress, bytes);
    }
  }
}

void
Coordinator::Impl::SendBeat()
{
  const TimePoint now = Now();
  mBeatDue = now + mOptions.mBeat;
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  *beat.mutable_lease() = mLease.Newest();
  for (const auto& [id, n] : mInFlight) {
    auto* load = beat.add_loads();
    load->set_engine(ShortId(id));
    load->set_in_flight(static_cast<std::uint32_t>(n));
  }
  for (auto it = mSuspects.begin(); it != mSuspects.end();) {
    if (now - it->second > mOptions.mBeat) {
      it = mSuspects.erase(it);
      continue;
    }
    beat.add_suspects()->set_engine(ShortId(it->first));
    ++it;
  }
  if (MayOrder()) {
    for (const auto& [name, news] : mNews) {
      *beat.add_replicas() = news;
    }
  }
  beat.set_config_version(mRoutes ? mRoutes->Version() : 0);
  beat.set_traffic(mTraffic);
  beat.set_stopping(mStopping);
  const std::string bytes = beat.SerializeAsString();
  for (const auto& it : mPeers.Addresses(now)) {
    mHooks.mSend(it, bytes);
  }
}

std::unordered_map<std::string, int>
Coordinator::Impl::OthersInFlight() const
{
  std::unordered_map<std::uint32_t, int> counts;
  for (const auto& [name, peer] : mPeers.Peers()) {
    if (!mPeers.Alive(peer, Now())) {
      continue;
    }
    for (const auto& it : peer.mBeat.loads()) {
      counts[it.engine()] += static_cast<int>(it.in_flight());
    }
  }
  std::unordered_map<std::string, int> inFlight;
  for (const auto& [id, engine] : mDirectory.Engines()) {
    const auto it = counts.find(ShortId(id));
    if (it != counts.end()) {
      inFlight[id] = it->second;
    }
  }
  return inFlight;
}

void
Coordinator::Impl::Publish()
{
  const TimePoint now = Now();
  const bool changed = mChanged || mDirectory.Revision() != mPublishedRevision;
  if (!changed && now < mPublishDue) {
    return;
  }
  mChanged = false;
  mPublishedRevision = mDirectory.Revision();
  mPublishDue = now + kPublishEvery;
  static const std::map<std::string, proto::ReplicaNews> kNoNews;
  PlanSources sources;
  sources.mRoutes = mRoutes;
  sources.mEngines = &mDirectory.Engines();
  sources.mNews = now - mNewsAt < kNewsLife ? &mNews : &kNoNews;
  sources.mLost = [this](const std::string& aEngine) { return mDoubts.IsLost(aEngine); };
  sources.mOthersInFlight = OthersInFlight();
  sources.mKeysValidUntil = mConfigFollower.AsOf() + mOptions.mKeysTrusted;
  sources.mNodes = mPeers.AliveCount(now);
  mHooks.mPublish(BuildPlan(sources));
}

std::string
Coordinator::Impl::Dump() const
{
  using Json = nlohmann::json;
  Json replicas = Json::array();
  for (const auto& [service, planner] : mPlanners) {
    for (const auto& [name, it] : planner.Replicas()) {
      replicas.push_back({ { "name", name },
                           { "service", service },
                           { "epoch", it.mEpoch },
                           { "model", it.mModel },
                           { "domain", it.mDomain },
                           { "members", it.mMembers },
                           { "phase", ToString(it.mPhase) },
                           { "why", it.mWhy } });
    }
  }
  Json peers = Json::array();
  for (const auto& [name, it] : mPeers.Peers()) {
    peers.push_back({ { "node", name },
                      { "address", it.mAddress },
                      { "alive", mPeers.Alive(it, Now()) },
                      { "configuration", it.mBeat.config_version() } });
  }
  const Json dump = { { "node", mOptions.mNode },
                      { "incarnation", mOptions.mIncarnation },
                      { "holds_lease", mLease.Held() },
                      { "lease",
                        { { "holder", mLease.Newest().holder() },
                          { "fence", mLease.Newest().fence() },
                          { "log_lost", mLease.LogLost() } } },
                      { "configuration",
                        { { "version", mRoutes ? mRoutes->Version() : 0 },
                          { "age_ms", ToMs(Now() - mConfigFollower.AsOf()).count() } } },
                      { "engines", mDirectory.Engines().size() },
                      { "lost_engines", mDoubts.Lost().size() },
                      { "replicas", replicas },
                      { "peers", peers } };
  return dump.dump(2);
}

Coordinator::Coordinator(CoordinatorOptions aOptions, CoordinatorHooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aHooks)))
{
}

Coordinator::~Coordinator() = default;

void
Coordinator::Tick()
{
  mImpl->Tick();
}

void
Coordinator::OnBeat(const std::string& aBytes)
{
  mImpl->OnBeat(aBytes);
}

void
Coordinator::OnSuspect(const std::string& aHead, Duration aSilence)
{
  mImpl->OnSuspect(aHead, aSilence);
}

void
Coordinator::SetInFlight(std::unordered_map<std::string, int> aInFlight, bool aTraffic)
{
  mImpl->mInFlight = std::move(aInFlight);
  mImpl->mTraffic = mImpl->mTraffic || aTraffic;
}

void
Coordinator::TellPrompts(const std::vector<SentPrompt>& aPrompts)
{
  mImpl->TellPrompts(aPrompts);
}

void
Coordinator::BeginStop()
{
  mImpl->mStopping = true;
  mImpl->mLease.Release();
  mImpl->mBeatDue = mImpl->Now();
}

bool
Coordinator::IsReady() const
{
  return !mImpl->mStopping && mImpl->mRoutes && mImpl->mEngineFollower.HasList();
}

bool
Coordinator::HoldsLease() const
{
  return mImpl->mLease.Held();
}

const CoordinatorCounters&
Coordinator::Counters() const
{
  mImpl->mCounters.mAsks = mImpl->mDoubts.Asked();
  return mImpl->mCounters;
}

std::string
Coordinator::Dump() const
{
  return mImpl->Dump();
}

} // namespace pepperbay
