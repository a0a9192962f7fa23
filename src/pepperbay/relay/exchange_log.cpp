/// @file
/// @brief Log lines about the outcome of a request and of its attempts.

#include "exchange.hpp"
#include "pepperbay/routing/find_engine.hpp"

#include <map>
#include <string_view>

namespace pepperbay {
namespace {

std::string
Millis(Duration aDuration)
{
  return std::to_string(ToMs(aDuration).count());
}

const char*
YesNo(bool aValue)
{
  return aValue ? "true" : "false";
}

} // namespace

void
Exchange::LogFailedAttempt(const EngineDispatch& aDispatch,
                           const std::string& aReason,
                           bool aMayHaveRun,
                           const std::string& aNotAgain) const
{
  std::map<std::string, std::string> fields = {
    { "request", mMetadata.mId },
    { "key", ToString(mKey) },
    { "parts", ToString(mParts) },
    { "engine", aDispatch.mTarget.mEngine },
    { "by_peer", aDispatch.mAttempt ? aDispatch.mAttempt->Peer() : "" },
    { "reason", aReason },
    { "after_ms", Millis(mCore->Now() - aDispatch.mSentAt) },
    { "may_have_run", YesNo(aMayHaveRun) },
    { "last_event", mLastEvent ? std::to_string(*mLastEvent) : "" },
    { "not_again", aNotAgain },
    { "chosen_by_view_ms", aDispatch.mViewAge ? Millis(*aDispatch.mViewAge) : "" },
    { "stale", YesNo(aDispatch.mStale) },
    { "sent", std::to_string(mSent) },
  };
  if (mMovesRefused > 0) {
    fields["moves_refused"] = std::to_string(mMovesRefused);
  }
  if (mHedge) {
    fields["next_after_ms"] = Millis(mCore->Now() - mHedge->mSentAt);
  }
  if (aDispatch.mHeadAt) {
    fields["answering_ms"] = Millis(mCore->Now() - *aDispatch.mHeadAt);
  }
  if (mService->mPool) {
    AddReplicaFields(aDispatch, &fields);
  }
  mCore->Log("attempt_failed", fields);
}

void
Exchange::AddReplicaFields(const EngineDispatch& aDispatch,
                           std::map<std::string, std::string>* aFields) const
{
  const TimePoint now = mCore->Now();
  const TrafficPlan& plan = *mCore->mPlan;
  auto& fields = *aFields;
  fields["group"] = aDispatch.mGroup;
  fields["epoch"] = std::to_string(aDispatch.mEpoch);
  fields["desk"] = aDispatch.mTicket.mAllocator;
  fields["in_flight"] = std::to_string(mCore->mBalancer.InFlight(plan, aDispatch.mTarget.mEngine));
  fields["head_silent_ms"] = Millis(mCore->mStalls.Silence(aDispatch.mTarget.mEngine, now));
  if (aDispatch.mWriting) {
    fields["event_age_ms"] = Millis(now - aDispatch.mLastEventAt);
  }
  if (const PoolReplica* replica = ReplicaInPlan(aDispatch.mGroup)) {
    fields["plan_epoch"] = std::to_string(replica->mEpoch);
    fields["plan_open"] = YesNo(!replica->mSuspended);
    fields["plan_lost"] = YesNo(replica->mLost);
  }
  if (plan.mUpdate.mFence != 0) {
    fields["news"] =
      std::to_string(plan.mUpdate.mFence) + "." + std::to_string(plan.mUpdate.mChange);
    fields["news_age_ms"] = Millis(now - plan.mUpdate.mAsOf);
  }
}

void
Exchange::LogSentToLeaving(const EngineDispatch& aDispatch, const EngineDeparture& aDeparture) const
{
  const TimePoint now = mCore->Now();
  const auto ownAge = EnginesAge(*mCore->mPlan, now);
  mCore->Log("sent_to_leaving",
             { { "request", mMetadata.mId },
               { "engine", aDispatch.mTarget.mEngine },
               { "known_ms", Millis(now - aDeparture.mSince) },
               { "granted_by", aDispatch.mTicket.mAllocator },
               { "chosen_by_view_ms", aDispatch.mViewAge ? Millis(*aDispatch.mViewAge) : "" },
               { "own_view_ms", ownAge ? Millis(*ownAge) : "" },
               { "sent", std::to_string(mSent) } });
}

void
Exchange::LogEnd(const char* aOutcome, const std::string& aReason) const
{
  const bool good = std::string_view(aOutcome) == "answered" && mSent <= 1;
  if (good) {
    return; // only counted; one line per request would hide the other lines
  }
  mCore->Log("request",
             { { "request", mMetadata.mId },
               { "key", ToString(mKey) },
               { "parts", ToString(mParts) },
               { "outcome", aOutcome },
               { "reason", aReason },
               { "route", mRoute != nullptr ? mRoute->mName : "" },
               { "engine", mCurrent.mTarget.mEngine },
               { "sent", std::to_string(mSent) },
               { "config", mRoutes ? std::to_string(mRoutes->Version()) : "" },
               { "model", mMetadata.mModel },
               { "after_ms", Millis(mCore->Now() - mArrived) } });
}

} // namespace pepperbay
