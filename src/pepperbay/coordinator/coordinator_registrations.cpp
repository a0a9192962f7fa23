#include "coordinator_impl.hpp"

#include <utility>

namespace pepperbay {

void
Coordinator::Impl::OnEngine(const KeyedRecord& aRecord)
{
  mEnginesTaken = mEnginesTaken.value_or(Now());
  if (!aRecord.mValue) {
    mRefusedEntries.erase(aRecord.mKey);
    const bool known = mDirectory.Find(aRecord.mKey) != nullptr;
    mDirectory.Remove(aRecord.mKey, Now());
    if (known) {
      LogRemoval(aRecord.mKey);
    }
    return;
  }
  auto engine = mHooks.mDecodeEngine(aRecord.mKey, *aRecord.mValue);
  if (engine.has_value()) {
    mRefusedEntries.erase(aRecord.mKey);
    TakeEngine(std::move(engine.value()));
    return;
  }
  // The log accepts records of other writers. An invalid record is no evidence on the engine, not
  // even that the previous record still holds; sending requests on that basis would be a guess. A
  // live engine writes its own record again.
  ++mCounters.mBadRegistrations;
  mDirectory.Withdraw(aRecord.mKey, Now());
  std::string reason = ToString(engine.error());
  std::string& loggedReason = mRefusedEntries[aRecord.mKey];
  if (loggedReason != reason) {
    mHooks.mLog("registration_refused", { { "key", aRecord.mKey }, { "error", reason } });
    loggedReason = std::move(reason);
  }
}

void
Coordinator::Impl::LogRemoval(const std::string& aEngine)
{
  mHooks.mLog("registration_removed",
              { { "engine", aEngine },
                { "from", mFeeder.empty() ? "store" : mFeeder },
                { "kept", mDirectory.IsKept(aEngine) ? "true" : "false" } });
}

void
Coordinator::Impl::TakeEngine(EngineRecord aEngine)
{
  const std::string id = aEngine.mId;
  const EngineRecord* known = mDirectory.Find(id);
  const bool leavesNow = aEngine.mLeaving && (known == nullptr || !known->mLeaving);
  if (mRoutes && mRoutes->FindService(aEngine.mService) == nullptr && known == nullptr) {
    // Kept, since a later configuration may contain the service; no requests are sent there until
    // then.
    mHooks.mLog("engine_without_service", { { "engine", id }, { "service", aEngine.mService } });
  }
  switch (mDirectory.Put(std::move(aEngine), Now())) {
    case EngineNews::kFormerStart:
      ++mCounters.mStaleIncarnations;
      mHooks.mLog("former_start", { { "engine", id }, { "source", "registration" } });
      return;
    case EngineNews::kNewStart:
      ++mCounters.mRestarts;
      mEngineSuspicions.Forget(id);
      mHooks.mLog("engine_restarted", { { "engine", id } });
      break;
    case EngineNews::kInDoubt:
      return;
    case EngineNews::kSameStart:
      break;
  }
  if (leavesNow) {
    mHooks.mLog("engine_leaves", { { "engine", id } });
  }
}

void
Coordinator::Impl::OnEngineList(const std::vector<KeyedRecord>& aRecords)
{
  std::set<std::string> listed;
  for (const auto& it : aRecords) {
    if (it.mValue) {
      listed.insert(it.mKey);
      OnEngine(it);
    }
  }
  for (const auto& it : mDirectory.KeepOnly(listed, Now())) {
    LogRemoval(it);
  }
  for (auto it = mRefusedEntries.begin(); it != mRefusedEntries.end();) {
    it = listed.count(it->first) == 0 ? mRefusedEntries.erase(it) : std::next(it);
  }
}

void
Coordinator::Impl::OnReport(const EngineRecord& aEngine, const EngineReport& aReport)
{
  if (aReport.mBorn < mDirectory.NewestStart(aEngine.mId)) {
    ++mCounters.mStaleIncarnations;
    mHooks.mLog("former_start", { { "engine", aEngine.mId }, { "source", "report" } });
    return;
  }
  const auto planner = mPlanners.find(aEngine.mService);
  if (planner != mPlanners.end()) {
    planner->second.OnReport(aEngine.mId, aReport, Now());
    planner->second.ReinstateEngine(aEngine.mId);
  }
}

} // namespace pepperbay
