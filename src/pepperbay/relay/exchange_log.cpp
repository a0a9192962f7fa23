/// @file
/// @brief The lines that tell what became of a request and of its attempts.

#include "exchange.hpp"

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
Exchange::LogFailedAttempt(const Sending& aSending,
                           const std::string& aWhy,
                           bool aMayHaveRun,
                           const std::string& aNotAgain) const
{
  std::map<std::string, std::string> fields = {
    { "request", mFacts.mId },
    { "key", ToString(mKey) },
    { "parts", ToString(mParts) },
    { "engine", aSending.mTarget.mEngine },
    { "by_peer", aSending.mAttempt ? aSending.mAttempt->Peer() : "" },
    { "reason", aWhy },
    { "after_ms", Millis(mCore->Now() - aSending.mSentAt) },
    { "may_have_run", YesNo(aMayHaveRun) },
    { "last_event", mLastEvent ? std::to_string(*mLastEvent) : "" },
    { "not_again", aNotAgain },
    { "stale", YesNo(aSending.mStale) },
    { "sent", std::to_string(mSent) },
  };
  if (mMovesRefused > 0) {
    fields["moves_refused"] = std::to_string(mMovesRefused);
  }
  if (mNext) {
    fields["next_after_ms"] = Millis(mCore->Now() - mNext->mSentAt);
  }
  if (aSending.mHeadAt) {
    fields["answering_ms"] = Millis(mCore->Now() - *aSending.mHeadAt);
  }
  if (mService->mPool) {
    AddReplicaFields(aSending, &fields);
  }
  mCore->Log("attempt_failed", fields);
}

void
Exchange::AddReplicaFields(const Sending& aSending,
                           std::map<std::string, std::string>* aFields) const
{
  const TimePoint now = mCore->Now();
  const TrafficPlan& plan = *mCore->mPlan;
  auto& fields = *aFields;
  fields["group"] = aSending.mGroup;
  fields["epoch"] = std::to_string(aSending.mEpoch);
  fields["desk"] = aSending.mTicket.mDesk;
  fields["in_flight"] = std::to_string(mCore->mBalancer.InFlight(plan, aSending.mTarget.mEngine));
  fields["head_silent_ms"] = Millis(mCore->mStalls.Silence(aSending.mTarget.mEngine, now));
  if (aSending.mWriting) {
    fields["event_age_ms"] = Millis(now - aSending.mLastEventAt);
  }
  if (const PoolReplica* replica = ReplicaInPlan(aSending.mGroup)) {
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
Exchange::LogEnd(const char* aOutcome, const std::string& aReason) const
{
  const bool good = std::string_view(aOutcome) == "answered" && mSent <= 1;
  if (good) {
    return; // counted; a line for each would drown the others
  }
  mCore->Log("request",
             { { "request", mFacts.mId },
               { "key", ToString(mKey) },
               { "parts", ToString(mParts) },
               { "outcome", aOutcome },
               { "reason", aReason },
               { "route", mRoute != nullptr ? mRoute->mName : "" },
               { "engine", mCurrent.mTarget.mEngine },
               { "sent", std::to_string(mSent) },
               { "config", mRoutes ? std::to_string(mRoutes->Version()) : "" },
               { "model", mFacts.mModel },
               { "after_ms", Millis(mCore->Now() - mArrived) } });
}

} // namespace pepperbay
