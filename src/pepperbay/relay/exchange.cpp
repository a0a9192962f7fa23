#include "exchange.hpp"

#include "exchange_constants.hpp"
#include "hop_by_hop.hpp"
#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;

/// Bytes of an answer that is collected whole before it is passed on; plain answers are small.
constexpr std::size_t kMostWholeBytes = 16U << 20U;
/// Bytes of one answer that may be kept though others keep too much.
constexpr std::size_t kAlwaysKept = 64U << 10U;

} // namespace

Exchange::Exchange(RelayCore* aCore,
                   CallerSide* aCaller,
                   CallerRequest aRequest,
                   TimePoint aArrived)
  : mCore(aCore)
  , mCaller(aCaller)
  , mRequest(std::move(aRequest))
  , mArrived(aArrived)
{
}

void
Exchange::Start()
{
  ++mCore->mCounters.mRequests;
  ++mCore->mCounters.mOpen;
  const auto plan = mCore->mPlan;
  if (!plan || !plan->mRoutes) {
    Refuse("no_configuration");
    return;
  }
  if (!mCore->mTakesRequests) {
    Refuse("stopping");
    return;
  }
  const auto facts = mCore->mDialect.mReadRequest(mRequest.base());
  if (!facts.has_value()) {
    Answer(kBadRequest, "bad_request", facts.error().mDetail);
    return;
  }
  mFacts = facts.value();
  mLastEvent = mFacts.mLastEvent;
  mRoutes = plan->mRoutes;
  const auto text = [](boost::beast::string_view aView) {
    return std::string_view(aView.data(), aView.size());
  };
  mRoute = mRoutes->Find(text(mRequest[http::field::host]), text(mRequest.target()));
  if (mRoute == nullptr) {
    RefuseMiss(*plan, kNotFound, "no_route", "no route matches this host and path");
    return;
  }
  mPriority = mRoute->mPriority;
  mDeadlineAt = mArrived + std::min(mFacts.mDeadline.value_or(mRoute->mTimeout), mRoute->mTimeout);
  if (!CheckCustomer(*plan)) {
    return;
  }
  mKey = KeyOfRequest(
    mCustomer, text(mRequest[http::field::host]), text(mRequest.target()), mRequest.body());
  mService = mRoutes->PickService(*mRoute, Hash64(mFacts.mId));
  if (mService == nullptr) {
    Refuse("no_service");
    return;
  }
  mParts.reserve(mFacts.mPromptParts.size());
  for (const auto& it : mFacts.mPromptParts) {
    mParts.push_back({ it, KeyOfPromptPart(mCustomer, mService->mName, it) });
  }
  if (IsHeldBack()) {
    RefuseHeldBack();
    return;
  }
  if (!mService->mPool) {
    mCore->mRetries.OnRequest(mService->mName);
  }
  PlaceAndSend(false, [this](const std::string& aWhy) { Refuse(aWhy); });
}

bool
Exchange::CheckCustomer(const TrafficPlan& aPlan)
{
  if (mRoute->mPublic || !mRoutes->NeedsKeys()) {
    return true;
  }
  if (mCore->Now() >= aPlan.mKeysValidUntil) {
    // The configuration could have taken the key away without this node having heard of it.
    Refuse("keys_out_of_date");
    return false;
  }
  const CustomerSpec* customer = mRoutes->CustomerOf(mFacts.mKey);
  if (customer == nullptr) {
    RefuseMiss(aPlan, kUnauthorized, "unknown_key", "the key belongs to no customer");
    return false;
  }
  mCustomer = customer->mName;
  mPriority = customer->mPriority.value_or(mPriority);
  return true;
}

void
Exchange::RefuseMiss(const TrafficPlan& aPlan,
                     int aStatus,
                     const char* aReason,
                     const char* aDetail)
{
  if (mCore->Now() >= aPlan.mMissesValidUntil) {
    // A newer configuration may have it; elsewhere, or in a moment, the request may be served.
    Refuse("configuration_out_of_date");
    return;
  }
  Answer(aStatus, aReason, aDetail);
}

std::string
Exchange::HeadFault(const AnswerFacts& aFacts) const
{
  if (!aFacts.mRequestId.empty() && aFacts.mRequestId != mFacts.mId) {
    return "foreign_answer";
  }
  if (aFacts.mNotRun) {
    return aFacts.mOtherEngine ? "other_engine" : "engine_refused";
  }
  return aFacts.mSealed ? "" : "unsealed_answer";
}

void
Exchange::NoteHead(const Sending& aSending, const AnswerFacts& aFacts)
{
  const std::string& engine = aSending.mTarget.mEngine;
  if (aFacts.mOtherEngine) {
    mCore->mBalancer.OnFault(engine, mCore->Now());
    return;
  }
  NoteLimit(aSending, aFacts);
  if (!mService->mPool) {
    return;
  }
  RefusalTracker& refusals = mCore->mBalancer.Refusals();
  if (!aFacts.mNotRun) {
    refusals.OnTaken(engine, aSending.mSentAt);
  } else if (refusals.OnRefused(engine, aSending.mSentAt, mCore->Now()) &&
             mCore->mHooks.mOnRefused) {
    mCore->mHooks.mOnRefused(engine);
  }
}

void
Exchange::NoteHeard(Sending* aSending)
{
  aSending->mHeardAt = mCore->Now();
  mCore->OnHeard(*aSending->mAttempt);
}

const Sending*
Exchange::DirectSending() const
{
  const bool waits = mPhase != Phase::kOver && !mPushing && mCurrent.mAttempt &&
                     mCurrent.mAttempt->Connected() && mCurrent.mAttempt->Peer().empty();
  return waits ? &mCurrent : nullptr;
}

void
Exchange::OnHead(int aStatus, const HeaderFields& aFields)
{
  NoteHeard(&mCurrent);
  SettleStale(mCurrent, true);
  const AnswerFacts facts = mCore->mDialect.mReadAnswer(aStatus, aFields);
  const std::string fault = HeadFault(facts);
  if (fault == "foreign_answer") {
    ++mCore->mCounters.mForeignAnswers;
  }
  NoteHead(mCurrent, facts);
  if (!fault.empty()) {
    if (facts.mNotRun) {
      mAsked.OnNotTaken(mCurrent.mTarget.mEngine);
    } else {
      NoteFailedOnce();
    }
    OnFailure(fault, !facts.mNotRun);
    return;
  }
  TakeHead(aStatus, aFields, facts);
}

void
Exchange::TakeHead(int aStatus, const HeaderFields& aFields, const AnswerFacts& aFacts)
{
  mMayHaveRun = true;
  mCurrent.mHeadAt = mCore->Now();
  mCurrent.mAttempt->SetKeepAlive(aFacts.mKeepAlive);
  const bool events = mRoute->mKind == RequestKind::kStream && aStatus == kOk;
  if (!events && mStreamStarted) {
    OnFailure("resume_refused", true);
    return;
  }
  mPhase = events ? Phase::kEvents : Phase::kWhole;
  if (!mStreamStarted) {
    mStatus = aStatus;
    mFields = aFields;
    DropHopByHop(&mFields);
  }
  if (mNext && !events && aStatus < kServerFailure) {
    DropNext("the first engine answers", mNext->mAttempt->MayHaveRun());
  }
  mCurrent.mAttempt->ReadMore();
}

void
Exchange::OnBody(std::string_view aBytes)
{
  NoteHeard(&mCurrent);
  if (mPhase == Phase::kEvents) {
    PassEvents(aBytes);
    return;
  }
  mBody.append(aBytes);
  if (!CountKept()) {
    NoteFailedOnce();
    OnFailure("answer_too_long", true);
    return;
  }
  mCurrent.mAttempt->ReadMore();
}

bool
Exchange::CountKept()
{
  std::uint64_t& all = mCore->mCounters.mKeptBytes;
  all -= mKept;
  mKept = mBody.size() + mSplitter.PartialBytes();
  all += mKept;
  return mKept <= kMostWholeBytes &&
         (mKept <= kAlwaysKept || all <= mCore->mOptions.mMostKeptBytes);
}

void
Exchange::PassEvents(std::string_view aBytes)
{
  mSplitter.Feed(aBytes);
  if (!CountKept()) {
    OnFailure("event_too_long", true);
    return;
  }
  std::string ready;
  while (auto event = mSplitter.Next()) {
    if (event->mId && mLastEvent && *event->mId <= *mLastEvent) {
      continue; // the caller has it
    }
    if (event->mId) {
      mLastEvent = event->mId;
    }
    ready += event->mBytes;
  }
  if (ready.empty()) {
    mCurrent.mAttempt->ReadMore();
    return;
  }
  const TimePoint now = mCore->Now();
  if (mNext) {
    DropNext("the first engine goes on", mNext->mAttempt->MayHaveRun());
  }
  if (!mCurrent.mWriting) {
    mCurrent.mWriting = true;
    if (mStreamStarted) {
      mCore->mCounters.mResumePause.Observe(now - mPassedAt);
    }
  } else {
    mCore->mBalancer.OnPause(mCurrent.mTarget.mEngine, now - mCurrent.mLastEventAt, now);
  }
  mCurrent.mLastEventAt = now;
  mPassedAt = now;
  NoteRunsOn();
  if (!mStreamStarted) {
    mCore->mCounters.mFirstEvent.Observe(now - mArrived);
    mStreamStarted = true;
    mFields.erase(http::field::content_length);
    mCaller->StartStream(mStatus, mFields);
  }
  PushToCaller(ready);
}

void
Exchange::PushToCaller(const std::string& aEvents)
{
  mPushing = true;
  // While a slow caller keeps the events back, the engine's silence says nothing of it: counted, it
  // could have the replica formed anew under the streams of all other callers.
  Unwatch(&mCurrent);
  mCaller->Push(aEvents, [self = shared_from_this(), serial = mCurrent.mSerial] {
    self->mPushing = false;
    if (self->IsCurrent(serial)) {
      self->Watch(&self->mCurrent);
      self->mCurrent.mAttempt->ReadMore();
    }
  });
}

void
Exchange::Watch(Sending* aSending)
{
  if (!std::exchange(aSending->mWatched, true)) {
    mCore->mStalls.OnWriting(aSending->mTarget.mEngine, mCore->Now());
  }
}

void
Exchange::Unwatch(Sending* aSending)
{
  if (std::exchange(aSending->mWatched, false)) {
    mCore->mStalls.OnDone(aSending->mTarget.mEngine);
  }
}

void
Exchange::OnEnd(const AttemptEnd& aEnd)
{
  if (!aEnd.mComplete) {
    NoteEnd(&mCurrent, aEnd);
    OnFailure(aEnd.mWhy, aEnd.mMayHaveRun);
    return;
  }
  if (mPhase == Phase::kWhole) {
    OnWholeAnswer(!aEnd.mByClose);
    return;
  }
  if (mSplitter.HasPartial()) {
    AttemptEnd broken = aEnd;
    broken.mClosed = aEnd.mByClose;
    NoteEnd(&mCurrent, broken);
    OnFailure("stream ended inside an event", true);
    return;
  }
  mCore->mBalancer.OnAnswer(mCurrent.mTarget.mEngine);
  NoteRan(!aEnd.mByClose);
  ++mCore->mCounters.mAnswered;
  if (!mStreamStarted) {
    // A stream without any event; its end says that it is whole.
    mStreamStarted = true;
    mFields.erase(http::field::content_length);
    mCaller->StartStream(mStatus, mFields);
  }
  LogEnd("answered", "");
  Finish()->EndStream();
}

void
Exchange::OnWholeAnswer(bool aSaidWhole)
{
  CallerAnswer answer;
  static_cast<HeaderFields&>(answer.base()) = mFields;
  answer.result(static_cast<unsigned>(mStatus));
  answer.body() = std::move(mBody);
  if (mRequest.method() != http::verb::head) {
    answer.content_length(answer.body().size());
  }
  // An engine's own failure of a request that may run again: another engine may do better.
  const bool failed = mStatus >= kServerFailure && mRoute->Repeatable() && !mFallback;
  if (failed && mNext) {
    mFallback = std::move(answer);
    Drop(&mCurrent);
    TakeNext();
    return;
  }
  if (failed && MayAskSecond()) {
    mFallback = std::move(answer);
    DropAttempt();
    PlaceAndSend(true, [this](const std::string&) { AnswerFallback("no second engine"); });
    return;
  }
  mCore->mBalancer.OnAnswer(mCurrent.mTarget.mEngine);
  if (mStatus < kServerFailure) {
    NoteRan(aSaidWhole);
  } else {
    NoteFailedOnce();
  }
  mCore->mCounters.mWholeAnswer.Observe(mCore->Now() - mArrived);
  ++mCore->mCounters.mAnswered;
  LogEnd("answered", "");
  Finish()->SendWhole(std::move(answer));
}

void
Exchange::NoteFailedOnce()
{
  if (!mService->mPool && !mRoute->Repeatable()) {
    mCore->mBalancer.Failures().OnFailed(mCurrent.mTarget.mEngine, mCore->Now());
  }
}

void
Exchange::DropAttempt()
{
  Drop(&mCurrent);
  if (mNext) {
    Drop(&*mNext);
    mNext.reset();
  }
}

void
Exchange::Drop(Sending* aSending)
{
  if (!aSending->mAttempt) {
    return;
  }
  aSending->mAttempt->Cancel();
  EndCounts(aSending);
}

void
Exchange::EndCounts(Sending* aSending)
{
  aSending->mAttempt.reset();
  mCore->mBalancer.OnEnd(aSending->mTarget.mEngine);
  mCore->mPlaces.End(std::exchange(aSending->mTicket, {}));
  Unwatch(aSending);
}

} // namespace pepperbay
