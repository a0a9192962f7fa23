/// @file
/// @brief The gateway's attempts at replicas: choice, the engine's parts, what follows a failure.

#include "gateway_impl.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/base/ids.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr double kFirstTokenSmoothing = 0.2;
/// A failed attempt as a time to first token, for the ejection of stragglers.
constexpr Duration kFailedAttemptCounts = std::chrono::seconds(5);

} // namespace

void
Gateway::Impl::RunModel(const std::shared_ptr<Job>& aJob)
{
  const auto view = View();
  if (aJob->mStarted == TimePoint{}) {
    aJob->mStarted = mNow();
  }
  RouteQuery query;
  query.mProfile = aJob->mRequest.mTarget;
  query.mAvoid = aJob->mAvoid;
  query.mPrefix = PrefixOf(aJob->mRequest.mPrompt);
  const auto random = [this] {
    const std::lock_guard lock(mMutex);
    return mRandom();
  };
  RouteOptions options;
  const auto pool = view->mPools.find(aJob->mRequest.mTarget);
  options.mNodes = pool == view->mPools.end() ? 1.0 : static_cast<double>(pool->second.mNodes);
  {
    const std::lock_guard lock(mMutex);
    options.mFullness = AdmissionOf(aJob->mRequest.mTarget).Fullness();
  }
  const ReplicaTarget* target = ChooseReplica(view->mRouting, query, options, mNow(), random);
  if (target == nullptr && !aJob->mAvoid.empty()) {
    query.mAvoid.clear(); // better the same replica again than none
    target = ChooseReplica(view->mRouting, query, options, mNow(), random);
  }
  if (target == nullptr) {
    NoReplica(aJob);
    return;
  }
  const int attempt = aJob->mDelivery->BeginAttempt();
  if (attempt == 0) {
    target->mLoad->Leave();
    Fail(aJob, Ran::kUnknown, "no further attempt may be made");
    return;
  }
  aJob->mLoad = target->mLoad;
  aJob->mReplica = { target->mReplica, target->mGeneration };
  ResetAttempt(aJob, attempt);
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + target->mAddress + "/v1/chat/completions";
  call.mBody = aJob->mRequest.mBody;
  call.mHeaders = { { "Content-Type", "application/json" },
                    { "X-Attempt-Id", aJob->mAttemptId },
                    { "X-Replica", target->mReplica },
                    { "X-Generation", std::to_string(target->mGeneration) },
                    { "X-Priority", std::to_string(aJob->mRequest.mPriority) },
                    { "X-Resume-From", std::to_string(aJob->mDelivery->Tokens()) } };
  StartCall(aJob, std::move(call), [this, aJob](std::string_view aBytes) {
    return OnEngineBytes(aJob, aBytes);
  });
}

std::uint64_t
Gateway::Impl::PrefixOf(const std::string& aPrompt) const
{
  const auto n = static_cast<std::size_t>(mSettings.mRequests.mPrefixBytes);
  return aPrompt.size() < n ? 0 : Hash64(std::string_view(aPrompt).substr(0, n));
}

void
Gateway::Impl::NoReplica(const std::shared_ptr<Job>& aJob)
{
  if (aJob->mDelivery->Attempts() == 0) {
    if (!Spill(aJob)) {
      Refuse(aJob, { AdmissionVerdict::kRefuse, "no replica is whole", kComeBackSoon });
    }
    return;
  }
  Fail(aJob, Ran::kUnknown, "no replica is left to go on with");
}

void
Gateway::Impl::ResetAttempt(const std::shared_ptr<Job>& aJob, int aAttempt)
{
  aJob->mAttempt = aAttempt;
  aJob->mAttemptId = NewAttemptId();
  aJob->mLines = EventLines();
  aJob->mAttemptStarted = mNow();
  aJob->mLastPart = aJob->mAttemptStarted;
  aJob->mFirstPartSeen = false;
  aJob->mFinishSeen = false;
  aJob->mResumable = false;
  aJob->mStatus = 0;
  aJob->mBackEndSaysNotRun = false;
  aJob->mEndDetail.clear();
  aJob->mRelayed = HttpResponse();
}

void
Gateway::Impl::StartCall(const std::shared_ptr<Job>& aJob,
                         HttpCall aCall,
                         std::function<bool(std::string_view)> aOnBytes)
{
  ++mCounters.mAttempts;
  aCall.mOwnConnection = true;
  aCall.mTimeout = std::max<Duration>(aJob->mDeadline - mNow(), std::chrono::milliseconds(1));
  const int attempt = aJob->mAttempt;
  HttpEvents events;
  events.mOnHead = [aJob, attempt](int aStatus, const std::vector<HttpHeader>& aHeaders) {
    const std::lock_guard lock(aJob->mMutex);
    if (aJob->mAttempt != attempt) {
      return;
    }
    aJob->mStatus = aStatus;
    aJob->mBackEndSaysNotRun = FirstValue(aHeaders, "X-Ran").value_or("") == "no";
    aJob->mResumable = FirstValue(aHeaders, "X-Resumable").value_or("") == "true";
    aJob->mRelayed.mStatus = aStatus;
    aJob->mRelayed.mContentType = FirstValue(aHeaders, "Content-Type").value_or("text/plain");
    for (const char* name : { "Retry-After", "X-Ran" }) {
      if (const auto value = FirstValue(aHeaders, name)) {
        aJob->mRelayed.mHeaders.push_back({ name, *value });
      }
    }
  };
  events.mOnBody = [aJob, attempt, onBytes = std::move(aOnBytes)](std::string_view aBytes) {
    const std::lock_guard lock(aJob->mMutex);
    return aJob->mAttempt == attempt && !aJob->mDone && onBytes(aBytes);
  };
  events.mOnDone = [this, aJob, attempt](const HttpOutcome& aOutcome) {
    const std::lock_guard lock(aJob->mMutex);
    if (aJob->mAttempt == attempt && !aJob->mDone) {
      OnAttemptDone(aJob, aOutcome);
    }
  };
  aJob->mClient = aJob->mId % mClients.size();
  aJob->mCallId = mClients[aJob->mClient]->Start(std::move(aCall), std::move(events));
}

bool
Gateway::Impl::OnEngineBytes(const std::shared_ptr<Job>& aJob, std::string_view aBytes)
{
  if (aJob->mStatus != kOk) {
    return true; // an error's body; the status says enough
  }
  bool wanted = true;
  const bool sane = aJob->mLines.Feed(
    aBytes, [&](const std::string& aData) { wanted = wanted && OnEnginePart(aJob, aData); });
  if (!sane) {
    aJob->mEndDetail = "an event longer than allowed";
  }
  return wanted && sane;
}

bool
Gateway::Impl::OnEnginePart(const std::shared_ptr<Job>& aJob, const std::string& aData)
{
  if (aData == "[DONE]") {
    return true;
  }
  const EnginePart part = ParseEnginePart(aData, aJob->mAttemptId);
  Delivery& delivery = *aJob->mDelivery;
  switch (part.mKind) {
    case EnginePart::Kind::kForeign:
      ++mCounters.mForeignParts;
      return true;
    case EnginePart::Kind::kError:
      aJob->mEndDetail = "the engine says: " + part.mText;
      return false;
    case EnginePart::Kind::kFinish:
      aJob->mFinishSeen = part.mIndex == delivery.Tokens();
      if (!aJob->mFinishSeen) {
        aJob->mEndDetail = "tokens are missing before the end";
      }
      return aJob->mFinishSeen;
    case EnginePart::Kind::kToken:
      break;
  }
  if (part.mIndex < delivery.Tokens()) {
    ++mCounters.mDoubledParts;
    return true;
  }
  if (part.mIndex > delivery.Tokens()) {
    aJob->mEndDetail = "a token is missing";
    return false;
  }
  NoteFirstToken(aJob);
  aJob->mLastPart = mNow();
  delivery.OnToken();
  ++mCounters.mTokens;
  if (!aJob->mRequest.mStream) {
    aJob->mText += part.mText;
    return true;
  }
  StartStream(aJob);
  aJob->mCallerLost = !aJob->mResponder->Write(ChunkEvent(RequestId(*aJob), part.mText));
  return !aJob->mCallerLost;
}

void
Gateway::Impl::StartStream(const std::shared_ptr<Job>& aJob)
{
  if (!aJob->mStreamStarted) {
    aJob->mStreamStarted = true;
    aJob->mResponder->StartStream(
      { kOk, { { "Cache-Control", "no-store" } }, "", "text/event-stream" });
  }
}

void
Gateway::Impl::NoteFirstToken(const std::shared_ptr<Job>& aJob)
{
  if (aJob->mFirstPartSeen) {
    return;
  }
  aJob->mFirstPartSeen = true;
  SampleFirstToken(aJob->mReplica.mReplica, mNow() - aJob->mAttemptStarted);
}

void
Gateway::Impl::SampleFirstToken(const std::string& aReplica, Duration aTook)
{
  const TimePoint now = mNow();
  const double seconds = std::chrono::duration<double>(aTook).count();
  const std::lock_guard lock(mMutex);
  FirstTokenMean& mean = mFirstTokens[aReplica];
  const bool fresh = now - mean.mAt < kFirstTokenMemory;
  mean.mSeconds =
    fresh ? mean.mSeconds + kFirstTokenSmoothing * (seconds - mean.mSeconds) : seconds;
  mean.mAt = now;
}

void
Gateway::Impl::OnAttemptDone(const std::shared_ptr<Job>& aJob, const HttpOutcome& aOutcome)
{
  LeaveReplica(aJob);
  if (aJob->mCallerLost) {
    ++mCounters.mCallerGone;
    Close(aJob);
    return;
  }
  if (aJob->mRequest.mService || aJob->mReplica.mReplica.empty()) {
    OnRelayDone(aJob, aOutcome);
    return;
  }
  if (aJob->mFinishSeen) {
    Complete(aJob);
    return;
  }
  AttemptFailure failure;
  failure.mByteLeft = aOutcome.mMayHaveRun;
  failure.mBackEndSaysNotRun = aJob->mBackEndSaysNotRun;
  failure.mRefused = aOutcome.mOk && aJob->mStatus != kOk;
  // Whether the next engine can resume is not known before it answers; the one that began this
  // answer could, and a profile's engines are alike.
  failure.mCanResume = aJob->mResumable;
  failure.mDetail = Describe(*aJob, aOutcome);
  aJob->mAvoid.insert(aJob->mReplica.mReplica);
  // A replica that fails each request at once has the least in progress and would draw all of
  // them, while every host of it still answers its probe.
  if (!aJob->mBackEndSaysNotRun) {
    SampleFirstToken(aJob->mReplica.mReplica, kFailedAttemptCounts);
  }
  NextDecision next;
  {
    const std::lock_guard lock(mMutex);
    next = aJob->mDelivery->OnFailure(failure, mNow(), &mBudget);
  }
  if (next.mStep == NextStep::kAnswer) {
    Fail(aJob, next.mRan, next.mReason);
    return;
  }
  if (aJob->mDelivery->Tokens() == 0) {
    aJob->mText.clear();
  }
  ++(next.mStep == NextStep::kResume ? mCounters.mResumes : mCounters.mRetries);
  RunModel(aJob);
}

std::string
Gateway::Impl::Describe(const Job& aJob, const HttpOutcome& aOutcome)
{
  if (!aJob.mEndDetail.empty()) {
    return aJob.mEndDetail;
  }
  if (!aOutcome.mOk) {
    return ToString(aOutcome.mError);
  }
  if (aJob.mStatus != kOk) {
    return "the engine answered " + std::to_string(aJob.mStatus);
  }
  return "the answer ended without its end mark";
}

} // namespace pepperbay
