#include "coordinator_impl.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// A head's silence is reported every 200 ms while it lasts; one report may be lost.
constexpr std::chrono::milliseconds kSilenceReportLifetime{ 500 };
}

bool
Coordinator::Impl::MayOrder() const
{
  if (mStopping || !mRoutes) {
    return false;
  }
  // While the log is unreachable for all, no node can take the lease over, and engines refuse the
  // orders of a node whose lease has been superseded; so repairs need not wait for the store.
  return mLease.Held() || (mLease.LastIsMine() && mLease.LogLost());
}

void
Coordinator::Impl::PlanPools()
{
  const TimePoint begun = Now();
  if (!MayOrder() || !mPlanPace.IsDue(begun)) {
    return;
  }
  if (mPlannedFence != mLease.Fence()) {
    mPlannedFence = mLease.Fence();
    mPlanners.clear();
    mFormerUpdates = mUpdates.Replicas();
    mFormerHeads = mFormerUpdates;
    mUpdates.Begin(mPlannedFence, Now());
    mLastSentChange = 0;
    mHooks.mLog("lease_taken", { { "fence", std::to_string(mPlannedFence) } });
  }
  for (const auto& service : mRoutes->Services()) {
    if (service.mPool) {
      PlanPool(service);
    }
  }
  DropRemovedReplicas();
  mFormerUpdates.clear();
  SendUpdates();
  mPlanPace.OnRound(begun, Now());
}

void
Coordinator::Impl::PlanPool(const ServiceSpec& aService)
{
  GroupPlanner& planner =
    mPlanners.emplace(aService.mName, GroupPlanner(mOptions.mPlanner)).first->second;
  GroupView view;
  view.mEngines = &mDirectory.Engines();
  view.mService = aService.mName;
  view.mPool = &*aService.mPool;
  view.mNow = Now();
  view.mFence = mLease.Fence();
  view.mMaxOrders = mCalls.RoomForOrders();
  view.mTraffic = mTraffic;
  view.mIsUnreachable = [this](const std::string& aEngine) {
    return mEngineSuspicions.IsLost(aEngine);
  };
  view.mHasExited = [this](const std::string& aEngine) {
    return mEngineSuspicions.HasExited(aEngine);
  };
  // Computed on demand: most rounds need it for no head, some for every head of the pool.
  std::optional<std::unordered_map<std::string, int>> others;
  view.mInFlight = [this, &others](const std::string& aHead) {
    others = others ? std::move(others) : OthersInFlight();
    const auto own = mInFlight.find(aHead);
    const auto there = others->find(aHead);
    return (own == mInFlight.end() ? 0 : own->second) +
           (there == others->end() ? 0 : there->second);
  };
  std::optional<EngineLimits> limits;
  view.mLimitOf = [this, &limits](const std::string& aHead) {
    if (!limits) {
      limits = AllLimits();
    }
    const auto it = limits->find(ShortId(aHead));
    return it == limits->end() ? std::nullopt : std::optional<double>(it->second);
  };
  view.mInFlightAtFormerHead = [this](const std::string& aGroup, std::uint64_t aEpoch) {
    return InFlightAtFormerHead(aGroup, aEpoch);
  };
  view.mIsStalled = [this](const std::string& aHead) {
    const auto it = mSilentHeads.find(aHead);
    return it != mSilentHeads.end() && Now() - it->second < kSilenceReportLifetime;
  };
  const auto orders = planner.Plan(view);
  LogComposition(planner.TakeChanges());
  QueryPlannedEngines(planner);
  for (const auto& it : orders) {
    SendOrder(it, aService.mName);
  }
  RecordUpdates(planner, aService.mPool->mFormTime);
}

void
Coordinator::Impl::LogComposition(const std::vector<CompositionChange>& aChanges)
{
  for (const auto& it : aChanges) {
    mCounters.mReplicasGivenUp[it.mFrom] += it.mGiven;
    mHooks.mLog("composition",
                { { "from", it.mFrom },
                  { "to", it.mTo },
                  { "domain", it.mDomain },
                  { "gives", std::to_string(it.mGiven) },
                  { "gets", std::to_string(it.mComing) },
                  { "in_use_from", std::to_string(it.mInUseFrom) },
                  { "in_use_to", std::to_string(it.mInUseTo) } });
  }
}

int
Coordinator::Impl::InFlightAtFormerHead(const std::string& aGroup, std::uint64_t aEpoch) const
{
  const auto it = mFormerHeads.find(aGroup);
  if (it == mFormerHeads.end() || it->second.epoch() != aEpoch) {
    return 0;
  }
  const std::uint32_t head = it->second.head();
  int n = 0;
  for (const auto& [engine, own] : mInFlight) {
    n += ShortId(engine) == head ? own : 0;
  }
  for (const auto& [name, peer] : mPeers.Peers()) {
    for (const auto& load : peer.mBeat.loads()) {
      const bool counts = load.engine() == head && mPeers.Alive(peer, Now());
      n += counts ? static_cast<int>(load.in_flight()) : 0;
    }
  }
  return n;
}

void
Coordinator::Impl::SendOrder(const GroupOrder& aOrder, const std::string& aService)
{
  const EngineRecord* engine = FindEngine(aOrder.mEngine);
  const EngineCallOptions options = CallOptions(
    aOrder.mEngine, engine == nullptr ? "" : engine->mDataCentre, mOptions.mOrderTimeout);
  mCalls.Order(aOrder, options, [this, aOrder, aService, options](OrderAnswer aAnswer) {
    NoteProxy(options, aAnswer != OrderAnswer::kNone && aAnswer != OrderAnswer::kUnread);
    ++mCounters.mOrders[std::string(ToString(aOrder.mKind)) + "_" + ToString(aAnswer)];
    mHooks.mLog("order",
                { { "kind", ToString(aOrder.mKind) },
                  { "engine", aOrder.mEngine },
                  { "group", aOrder.mGroup },
                  { "epoch", std::to_string(aOrder.mEpoch) },
                  { "model", aOrder.mModel },
                  { "fence", std::to_string(aOrder.mFence) },
                  { "by_peer", options.mVia ? options.mVia->mNode : "" },
                  { "expects", aOrder.mAccepted ? std::to_string(*aOrder.mAccepted) : "" },
                  { "answer", ToString(aAnswer) } });
    if (aAnswer == OrderAnswer::kStale) {
      mLease.Doubt();
    }
    const auto it = mPlanners.find(aService);
    if (it != mPlanners.end() && aOrder.mFence == mPlannedFence) {
      it->second.OnAnswer(aOrder, aAnswer, Now());
    }
  });
}

void
Coordinator::Impl::RecordUpdates(const GroupPlanner& aPlanner, Duration aFormTime)
{
  const auto bornOf = [this](const std::string& aEngine) {
    return mDirectory.NewestStart(aEngine);
  };
  for (const auto& update : UpdatesOf(aPlanner.Replicas(), bornOf, Now(), aFormTime)) {
    if (!mUpdates.Put(update)) {
      continue;
    }
    mChanged = true;
    const auto former = mFormerUpdates.find(update.group());
    if (former != mFormerUpdates.end() && IsSameState(former->second, update)) {
      continue;
    }
    mHooks.mLog("replica",
                { { "group", update.group() },
                  { "epoch", std::to_string(update.epoch()) },
                  { "model", update.model() },
                  { "open", update.open() ? "true" : "false" },
                  { "lost", update.lost() ? "true" : "false" },
                  { "why", aPlanner.Replicas().at(update.group()).mWhy } });
  }
}

void
Coordinator::Impl::DropRemovedReplicas()
{
  mUpdates.KeepOnly([this](const std::string& aGroup) {
    return std::any_of(mPlanners.begin(), mPlanners.end(), [&](const auto& aPlanner) {
      return aPlanner.second.Replicas().count(aGroup) != 0;
    });
  });
}

void
Coordinator::Impl::QueryPlannedEngines(const GroupPlanner& aPlanner)
{
  using IfSilent = EngineSuspicions::IfSilent;
  for (const auto& [id, engine] : aPlanner.EnginesToQuery()) {
    const bool lapsed = mDirectory.Find(id) == nullptr;
    mEngineSuspicions.AskOnce(engine, lapsed ? IfSilent::kSuspect : IfSilent::kIgnore);
  }
  for (const auto& id : aPlanner.Unanswering()) {
    const EngineRecord* engine = mDirectory.Find(id);
    if (engine != nullptr && !mEngineSuspicions.IsLost(id)) {
      mEngineSuspicions.AskOnce(*engine, IfSilent::kSuspect);
    }
  }
}

void
Coordinator::Impl::OnSuspect(const std::string& aHead, Duration aSilence)
{
  mHooks.mLog("suspect",
              { { "head", aHead }, { "silent_ms", std::to_string(ToMs(aSilence).count()) } });
  if (MayOrder()) {
    OnSilentHead(aHead, Now() - aSilence);
    return;
  }
  proto::Suspicions suspicions;
  suspicions.add_engines(ShortId(aHead));
  NotifyHolder(suspicions);
}

void
Coordinator::Impl::OnRefused(const std::string& aHead)
{
  // A member that stops listening makes its head refuse requests; only the holder knows the
  // members. Probed at once, the loss is detected in a tenth of a second instead of most of one.
  mHooks.mLog("refused", { { "head", aHead } });
  if (MayOrder()) {
    AskMembers(aHead, std::nullopt);
    return;
  }
  proto::Suspicions suspicions;
  suspicions.add_refusing(ShortId(aHead));
  NotifyHolder(suspicions);
}

void
Coordinator::Impl::OnSilentHead(const std::string& aHead, TimePoint aSince)
{
  mSilentHeads[aHead] = Now();
  AskMembers(aHead, aSince);
}

void
Coordinator::Impl::AskMembers(const std::string& aHead, std::optional<TimePoint> aSilentSince)
{
  const TimePoint now = Now();
  for (auto it = mSilentHeads.begin(); it != mSilentHeads.end();) {
    it = now - it->second >= kSilenceReportLifetime ? mSilentHeads.erase(it) : std::next(it);
  }
  for (auto it = mHeadsAsked.begin(); it != mHeadsAsked.end();) {
    it = now - it->second >= mOptions.mAskHeadAgain ? mHeadsAsked.erase(it) : std::next(it);
  }
  if (!mHeadsAsked.emplace(aHead, now).second) {
    return; // its members have just been probed; another node has noticed the same pause
  }
  for (const auto& [name, planner] : mPlanners) {
    for (const auto& [group, replica] : planner.Replicas()) {
      if (replica.mMembers.front() != aHead || replica.mPhase != ReplicaPhase::kOpen) {
        continue;
      }
      for (const auto& it : replica.mMembers) {
        if (const EngineRecord* engine = FindEngine(it)) {
          mEngineSuspicions.Ask(*engine, aSilentSince);
        }
      }
    }
  }
}

const EngineRecord*
Coordinator::Impl::FindEngine(const std::string& aEngine) const
{
  if (const EngineRecord* engine = mDirectory.Find(aEngine)) {
    return engine;
  }
  for (const auto& [name, planner] : mPlanners) {
    const auto it = planner.Members().find(aEngine);
    if (it != planner.Members().end()) {
      return &it->second;
    }
  }
  return nullptr;
}

void
Coordinator::Impl::LogVerdict(const EngineRecord& aEngine, const EngineVerdict& aVerdict)
{
  const auto ms = [](Duration aDuration) { return std::to_string(ToMs(aDuration).count()); };
  const std::string ended = aVerdict.mExited ? "true" : "false";
  if (!aVerdict.mLostBy) {
    mHooks.mLog("engine_back",
                { { "engine", aEngine.mId },
                  { "domain", aEngine.mDomain },
                  { "lost_ms", ms(aVerdict.mLostFor) },
                  { "silent_ms", ms(aVerdict.mSilentFor) },
                  { "ended", ended } });
    return;
  }
  mHooks.mLog(
    aVerdict.mWasLost ? "engine_gone" : "engine_lost",
    { { "engine", aEngine.mId },
      { "domain", aEngine.mDomain },
      { "by", ToString(*aVerdict.mLostBy) },
      { "evidence", ToString(aVerdict.mEvidence) },
      { "silent_ms", ms(aVerdict.mSilentFor) },
      { "ended", ended },
      { "error", aVerdict.mError },
      { "heard_others_ms_ago", ms(Now() - mCalls.LastReplies().OtherThan(aEngine.mId)) } });
}

void
Coordinator::Impl::OnEngineChange(const EngineRecord& aEngine, const EngineVerdict& aVerdict)
{
  mChanged = true;
  LogVerdict(aEngine, aVerdict);
  mCounters.mPauses += aVerdict.mLostBy || aVerdict.mExited ? 0 : 1;
  if (aVerdict.mLostBy && aVerdict.mExited) {
    ++mCounters.mExitedEngines[ToString(aVerdict.mEvidence)];
  }
  const auto planner = mPlanners.find(aEngine.mService);
  if (!aVerdict.mLostBy) {
    if (planner != mPlanners.end()) {
      planner->second.ReinstateEngine(aEngine.mId);
    }
    return;
  }
  if (aVerdict.mWasLost) {
    return;
  }
  ++mCounters.mLostEngines[ToString(*aVerdict.mLostBy)];
  // Domains fail as a whole: the next repair must not choose a spare that is lost as well.
  for (const auto& [id, engine] : mDirectory.Engines()) {
    const bool neighbour = !engine.mDomain.empty() && engine.mDomain == aEngine.mDomain &&
                           engine.mService == aEngine.mService;
    if (neighbour && id != aEngine.mId && !mEngineSuspicions.IsLost(id)) {
      mEngineSuspicions.Ask(engine);
    }
  }
}

} // namespace pepperbay
