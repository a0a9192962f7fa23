/// @file
/// @brief The gateway's relays: plain services, and nodes of other data centres.

#include "gateway_impl.hpp"

#include <algorithm>

namespace pepperbay {

void
Gateway::Impl::RunService(const std::shared_ptr<Job>& aJob)
{
  const auto view = View();
  const auto& endpoints = view->mRouting.mServices.at(aJob->mRequest.mTarget);
  std::string address;
  {
    const std::lock_guard lock(mMutex);
    const std::size_t start = mRandom() % endpoints.size();
    for (std::size_t i = 0; i < endpoints.size() && address.empty(); ++i) {
      const std::string& it = endpoints[(start + i) % endpoints.size()];
      address = aJob->mAvoid.count(it) == 0 ? it : "";
    }
    if (address.empty()) {
      address = endpoints[start];
    }
  }
  aJob->mAvoid.insert(address);
  Relay(aJob, address, aJob->mRequest.mServicePath);
}

bool
Gateway::Impl::Spill(const std::shared_ptr<Job>& aJob)
{
  const auto view = View();
  const auto it = view->mSpill.find(aJob->mRequest.mTarget);
  if (aJob->mRequest.mForwarded || it == view->mSpill.end()) {
    return false;
  }
  for (const auto& address : it->second) {
    if (aJob->mAvoid.insert(address).second) {
      ++mCounters.mSpilled;
      aJob->mReplica = ReplicaKey();
      Relay(aJob, address, "/v1/chat/completions");
      return true;
    }
  }
  return false;
}

void
Gateway::Impl::Relay(const std::shared_ptr<Job>& aJob,
                     const std::string& aAddress,
                     const std::string& aPath)
{
  const int attempt = aJob->mDelivery->BeginAttempt();
  if (attempt == 0) {
    Fail(aJob, Ran::kUnknown, "no further attempt may be made");
    return;
  }
  ResetAttempt(aJob, attempt);
  const CallerRequest& request = aJob->mRequest;
  HttpCall call;
  call.mMethod = request.mMethod;
  call.mUrl = "http://" + aAddress + aPath;
  call.mBody = request.mBody;
  call.mHeaders = { { "Content-Type", request.mContentType },
                    { "X-Customer", request.mCustomer },
                    { "X-Priority", std::to_string(request.mPriority) },
                    { "X-Attempt-Id", aJob->mAttemptId } };
  if (!request.mKey.empty()) {
    call.mHeaders.push_back({ "Idempotency-Key", request.mKey });
  }
  if (request.mUnrepeatable) {
    call.mHeaders.push_back({ "X-Unrepeatable", "true" });
  }
  if (!request.mService) {
    const auto left = ToMs(aJob->mDeadline - mNow()).count();
    call.mHeaders.push_back({ "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(left, 1)) });
    call.mHeaders.push_back({ "X-Pepperbay-Forwarded", mSettings.mPlace.mDataCentre });
  }
  StartCall(aJob, std::move(call), [this, aJob](std::string_view aBytes) {
    return OnRelayBytes(aJob, aBytes);
  });
}

bool
Gateway::Impl::OnRelayBytes(const std::shared_ptr<Job>& aJob, std::string_view aBytes)
{
  aJob->mLastPart = mNow();
  aJob->mFirstPartSeen = true;
  if (aJob->mRequest.mStream && aJob->mStatus == kOk) {
    StartStream(aJob);
    aJob->mDelivery->OnToken();
    aJob->mCallerLost = !aJob->mResponder->Write(aBytes);
    return !aJob->mCallerLost;
  }
  constexpr std::size_t kMostRelayed = 16U << 20U;
  if (aJob->mRelayed.mBody.size() + aBytes.size() > kMostRelayed) {
    aJob->mEndDetail = "the answer is larger than allowed";
    return false;
  }
  aJob->mRelayed.mBody.append(aBytes);
  return true;
}

void
Gateway::Impl::OnRelayDone(const std::shared_ptr<Job>& aJob, const HttpOutcome& aOutcome)
{
  const bool refused = aJob->mBackEndSaysNotRun && aJob->mStatus != kOk;
  if (aOutcome.mOk && !refused) {
    aJob->mDelivery->OnComplete();
    ++mCounters.mCompleted;
    if (aJob->mStreamStarted) {
      SettleClaim(*aJob, Ran::kYes, StreamedAnswer());
      aJob->mResponder->End();
    } else {
      constexpr int kFirstError = 400;
      const bool error = aJob->mStatus >= kFirstError;
      const bool told = FirstValue(aJob->mRelayed.mHeaders, "X-Ran").has_value();
      if (error && !told) {
        aJob->mRelayed.mHeaders.push_back({ "X-Ran", "unknown" });
      }
      // An error without a word on whether it ran leaves the key taken, outcome unknown.
      SettleClaim(*aJob, error && !told ? Ran::kUnknown : Ran::kYes, aJob->mRelayed);
      aJob->mResponder->Send(std::move(aJob->mRelayed));
    }
    Close(aJob);
    return;
  }
  AttemptFailure failure;
  failure.mByteLeft = aOutcome.mMayHaveRun;
  failure.mBackEndSaysNotRun = aJob->mBackEndSaysNotRun;
  failure.mRefused = refused;
  failure.mDetail = Describe(*aJob, aOutcome);
  NextDecision next;
  {
    const std::lock_guard lock(mMutex);
    next = aJob->mDelivery->OnFailure(failure, mNow(), &mBudget);
  }
  if (next.mStep == NextStep::kAnswer) {
    Fail(aJob, next.mRan, next.mReason);
    return;
  }
  ++mCounters.mRetries;
  if (aJob->mRequest.mService) {
    RunService(aJob);
  } else if (!Spill(aJob)) {
    Fail(aJob, refused ? Ran::kNo : Ran::kUnknown, "no data centre took it");
  }
}

} // namespace pepperbay
