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

/// Limit on a plain answer, which is buffered completely before it is forwarded.
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
/// Bytes that one answer may always buffer, even when the limit on all answers is exceeded.
constexpr std::size_t kMinBufferedBytes = 64U << 10U;

/// @return whether an answer has a body, and so a length of its own (RFC 9110, 6.4.1).
bool
HasBody(http::verb aMethod, int aStatus)
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aMethod != http::verb::head && aStatus != kNoContent && aStatus != kNotModified;
}

} // namespace

Exchange::Exchange(RelayCore* aCore,
                   AnswerWriter* aCaller,
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
  if (!mCore->mAcceptsRequests) {
    Refuse("stopping");
    return;
  }
  const auto metadata = mCore->mDialect.mReadRequest(mRequest.base());
  if (!metadata.has_value()) {
    Answer(kBadRequest, "bad_request", metadata.error().mDetail);
    return;
  }
  mMetadata = metadata.value();
  mLastEvent = mMetadata.mLastEvent;
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
  mDeadlineAt =
    mArrived + std::min(mMetadata.mDeadline.value_or(mRoute->mTimeout), mRoute->mTimeout);
  if (!CheckCustomer(*plan)) {
    return;
  }
  mKey = KeyOfRequest(
    mCustomer, text(mRequest[http::field::host]), text(mRequest.target()), mRequest.body());
  mService = mRoutes->PickService(*mRoute, Hash64(mMetadata.mId));
  if (mService == nullptr) {
    Refuse("no_service");
    return;
  }
  mParts.reserve(mMetadata.mPromptParts.size());
  for (const auto& it : mMetadata.mPromptParts) {
    mParts.push_back({ it, KeyOfPromptPart(mCustomer, mService->mName, it) });
  }
  if (IsQuarantined()) {
    RefuseQuarantined();
    return;
  }
  if (!mService->mPool) {
    mCore->mRetries.OnRequest(mService->mName);
  }
  AllocateAndSend(false, [this](const std::string& aReason) { Refuse(aReason); });
}

bool
Exchange::CheckCustomer(const TrafficPlan& aPlan)
{
  if (mRoute->mPublic || !mRoutes->NeedsKeys()) {
    return true;
  }
  if (mCore->Now() >= aPlan.mKeysValidUntil) {
    // A newer configuration that this node has not received may have revoked the key.
    Refuse("keys_out_of_date");
    return false;
  }
  const CustomerSpec* customer = mRoutes->CustomerOf(mMetadata.mKey);
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
    // A newer configuration may have it: another node, or this one a moment later, may serve the
    // request.
    Refuse("configuration_out_of_date");
    return;
  }
  Answer(aStatus, aReason, aDetail);
}

std::string
Exchange::HeadFault(const AnswerMetadata& aMetadata) const
{
  if (!aMetadata.mRequestId.empty() && aMetadata.mRequestId != mMetadata.mId) {
    return "foreign_answer";
  }
  if (aMetadata.mNotRun) {
    return aMetadata.mOtherEngine ? "other_engine" : "engine_refused";
  }
  return aMetadata.mSealed ? "" : "unsealed_answer";
}

void
Exchange::NoteHead(const EngineDispatch& aDispatch, const AnswerMetadata& aMetadata)
{
  const std::string& engine = aDispatch.mTarget.mEngine;
  if (aMetadata.mOtherEngine) {
    mCore->mBalancer.OnFault(engine, mCore->Now());
    return;
  }
  NoteLimit(aDispatch, aMetadata);
  if (!mService->mPool) {
    return;
  }
  RefusalTracker& refusals = mCore->mBalancer.Refusals();
  if (!aMetadata.mNotRun) {
    refusals.OnTaken(engine, aDispatch.mSentAt);
  } else if (refusals.OnRefused(engine, aDispatch.mSentAt, mCore->Now()) &&
             mCore->mHooks.mOnRefused) {
    mCore->mHooks.mOnRefused(engine);
  }
}

void
Exchange::NoteHeard(EngineDispatch* aDispatch)
{
  aDispatch->mHeardAt = mCore->Now();
  mCore->OnHeard(*aDispatch->mAttempt);
}

const EngineDispatch*
Exchange::DirectDispatch() const
{
  const bool waits = mPhase != Phase::kFinished && !mPushing && mCurrent.mAttempt &&
                     mCurrent.mAttempt->Connected() && mCurrent.mAttempt->Peer().empty();
  return waits ? &mCurrent : nullptr;
}

void
Exchange::OnHead(int aStatus, const HeaderFields& aFields)
{
  NoteHeard(&mCurrent);
  SettleStale(mCurrent, true);
  const AnswerMetadata metadata = mCore->mDialect.mReadAnswer(aStatus, aFields);
  const std::string fault = HeadFault(metadata);
  if (fault == "foreign_answer") {
    ++mCore->mCounters.mForeignAnswers;
  }
  NoteHead(mCurrent, metadata);
  if (!fault.empty()) {
    if (metadata.mNotRun) {
      mAsked.OnNotTaken(mCurrent.mTarget.mEngine);
    } else {
      NoteNonRepeatableFailure();
    }
    OnFailure(fault, !metadata.mNotRun);
    return;
  }
  BeginAnswer(aStatus, aFields, metadata);
}

void
Exchange::BeginAnswer(int aStatus, const HeaderFields& aFields, const AnswerMetadata& aMetadata)
{
  mMayHaveRun = true;
  mCurrent.mHeadAt = mCore->Now();
  mCurrent.mAttempt->SetKeepAlive(aMetadata.mKeepAlive);
  const bool events = mRoute->mKind == RequestKind::kStream && aStatus == kOk;
  if (!events && mStreamStarted) {
    OnFailure("resume_refused", true);
    return;
  }
  mPhase = events ? Phase::kStreaming : Phase::kBuffering;
  if (!mStreamStarted) {
    mStatus = aStatus;
    mFields = aFields;
    DropHopByHop(&mFields);
  }
  if (mHedge && !events && aStatus < kServerFailure) {
    DropHedge("the first engine answers", mHedge->mAttempt->MayHaveRun());
  }
  mCurrent.mAttempt->ReadMore();
}

void
Exchange::OnBody(std::string_view aBytes)
{
  NoteHeard(&mCurrent);
  if (mPhase == Phase::kStreaming) {
    ForwardEvents(aBytes);
    return;
  }
  mBody.append(aBytes);
  if (!CountBuffered()) {
    NoteNonRepeatableFailure();
    OnFailure("answer_too_long", true);
    return;
  }
  mCurrent.mAttempt->ReadMore();
}

bool
Exchange::CountBuffered()
{
  std::uint64_t& all = mCore->mCounters.mBufferedBytes;
  all -= mBuffered;
  mBuffered = mBody.size() + mSplitter.PartialBytes();
  all += mBuffered;
  return mBuffered <= kMaxAnswerBytes &&
         (mBuffered <= kMinBufferedBytes || all <= mCore->mOptions.mMaxBufferedBytes);
}

void
Exchange::ForwardEvents(std::string_view aBytes)
{
  mSplitter.Feed(aBytes);
  if (!CountBuffered()) {
    OnFailure("event_too_long", true);
    return;
  }
  std::string ready;
  while (auto event = mSplitter.Next()) {
    if (event->mId && mLastEvent && *event->mId <= *mLastEvent) {
      continue; // the caller has this event already
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
  if (mHedge) {
    DropHedge("the first engine goes on", mHedge->mAttempt->MayHaveRun());
  }
  if (!mCurrent.mWriting) {
    mCurrent.mWriting = true;
    if (mStreamStarted) {
      mCore->mCounters.mResumePause.Observe(now - mForwardedAt);
    }
  } else {
    mCore->mBalancer.OnPause(mCurrent.mTarget.mEngine, now - mCurrent.mLastEventAt, now);
  }
  mCurrent.mLastEventAt = now;
  mForwardedAt = now;
  NoteLongRun();
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
  // While a slow caller delays the reading, the engine's silence does not count. Otherwise the
  // replica could be re-formed because of it, which would break the streams of all other callers.
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
Exchange::Watch(EngineDispatch* aDispatch)
{
  if (!std::exchange(aDispatch->mWatched, true)) {
    mCore->mStalls.OnWriting(aDispatch->mTarget.mEngine, mCore->Now());
  }
}

void
Exchange::Unwatch(EngineDispatch* aDispatch)
{
  if (std::exchange(aDispatch->mWatched, false)) {
    mCore->mStalls.OnDone(aDispatch->mTarget.mEngine);
  }
}

void
Exchange::OnEnd(const AttemptEnd& aEnd)
{
  if (!aEnd.mComplete) {
    NoteEnd(&mCurrent, aEnd);
    OnFailure(aEnd.mReason, aEnd.mMayHaveRun);
    return;
  }
  if (mPhase == Phase::kBuffering) {
    OnCompleteAnswer(!aEnd.mByClose);
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
  NoteCompleted(!aEnd.mByClose);
  ++mCore->mCounters.mAnswered;
  if (!mStreamStarted) {
    // A stream without any event is complete when it ends.
    mStreamStarted = true;
    mFields.erase(http::field::content_length);
    mCaller->StartStream(mStatus, mFields);
  }
  LogEnd("answered", "");
  Finish()->EndStream();
}

void
Exchange::OnCompleteAnswer(bool aExplicitEnd)
{
  CallerAnswer answer;
  static_cast<HeaderFields&>(answer.base()) = mFields;
  answer.result(static_cast<unsigned>(mStatus));
  answer.body() = std::move(mBody);
  if (HasBody(mRequest.method(), mStatus)) {
    answer.content_length(answer.body().size());
  }
  // The engine answered with an error and the request may run again: another engine may succeed.
  const bool failed = mStatus >= kServerFailure && mRoute->Repeatable() && !mFallback;
  if (failed && mHedge) {
    mFallback = std::move(answer);
    Drop(&mCurrent);
    PromoteHedge();
    return;
  }
  if (failed && MayHedge()) {
    mFallback = std::move(answer);
    DropAttempt();
    AllocateAndSend(true, [this](const std::string&) { AnswerFallback("no second engine"); });
    return;
  }
  mCore->mBalancer.OnAnswer(mCurrent.mTarget.mEngine);
  if (mStatus < kServerFailure) {
    NoteCompleted(aExplicitEnd);
  } else {
    NoteNonRepeatableFailure();
  }
  mCore->mCounters.mWholeAnswer.Observe(mCore->Now() - mArrived);
  ++mCore->mCounters.mAnswered;
  LogEnd("answered", "");
  Finish()->SendAnswer(std::move(answer));
}

void
Exchange::NoteNonRepeatableFailure()
{
  if (!mService->mPool && !mRoute->Repeatable()) {
    mCore->mBalancer.Failures().OnFailed(mCurrent.mTarget.mEngine, mCore->Now());
  }
}

void
Exchange::DropAttempt()
{
  Drop(&mCurrent);
  if (mHedge) {
    Drop(&*mHedge);
    mHedge.reset();
  }
}

void
Exchange::Drop(EngineDispatch* aDispatch)
{
  if (!aDispatch->mAttempt) {
    return;
  }
  aDispatch->mAttempt->Cancel();
  EndCounts(aDispatch);
}

void
Exchange::EndCounts(EngineDispatch* aDispatch)
{
  aDispatch->mAttempt.reset();
  mCore->mBalancer.OnEnd(aDispatch->mTarget.mEngine);
  mCore->mPlaces.End(std::exchange(aDispatch->mTicket, {}));
  Unwatch(aDispatch);
}

} // namespace pepperbay
