#include "gateway_impl.hpp"

#include <nlohmann/json.hpp>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

constexpr Duration kPumpEvery = std::chrono::milliseconds(10);
constexpr Duration kPumpAtRest = std::chrono::seconds(1);

} // namespace

Gateway::Impl::Impl(const Settings& aSettings, NowFn aNow, ClaimHooks aClaims)
  : mSettings(aSettings)
  , mNow(std::move(aNow))
  , mClaims(std::move(aClaims))
  , mBudget({ aSettings.mRequests.mRetryShare, kRetryBurst })
  , mView(std::make_shared<TrafficView>())
{
  for (int i = 0; i < aSettings.mRequests.mThreads; ++i) {
    HttpClientOptions options;
    options.mSource = aSettings.mPlace.mSource;
    mClients.push_back(HttpClient::Create(options));
  }
  std::random_device seed;
  mRandom.seed((static_cast<std::uint64_t>(seed()) << 32U) ^ seed());
}

void
Gateway::Impl::Begin()
{
  mPump = std::thread([this] { PumpLoop(); });
}

void
Gateway::Impl::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mPump.join();
  mClients.clear();
}

// ---- Arrival ----

void
Gateway::Impl::Handle(HttpRequest aRequest, std::shared_ptr<Responder> aResponder)
{
  const bool model = aRequest.mPath == "/v1/chat/completions";
  const bool service = aRequest.mPath.rfind("/services/", 0) == 0;
  if (aRequest.mPath == "/readyz") {
    const auto view = View();
    const int status = view->mAccepts ? kOk : kUnavailable;
    aResponder->Send({ status, {}, Json{ { "ready", view->mAccepts } }.dump() });
    return;
  }
  if (!model && !service) {
    ++mCounters.mInvalid;
    aResponder->Send(BadFieldResponse(
      { kNotFound, "path", "must be /v1/chat/completions, /services/NAME/... or /readyz" }));
    return;
  }
  ++mCounters.mRequests;
  const RequestLimits limits{ mSettings.mRequests.mDefaultDeadline,
                              mSettings.mRequests.mLongestDeadline };
  ParsedRequest parsed = model ? ParseModelRequest(std::move(aRequest), limits)
                               : ParseServiceRequest(std::move(aRequest), limits);
  const auto view = View();
  if (!parsed.mBad) {
    parsed.mBad = CheckNames(parsed.mRequest, *view);
  }
  if (parsed.mBad) {
    ++mCounters.mInvalid;
    aResponder->Send(BadFieldResponse(*parsed.mBad));
    return;
  }
  if (!view->mAccepts) {
    ++mCounters.mRefused;
    aResponder->Send(
      ErrorResponse(kUnavailable, "this node is " + view->mWhyNot, Ran::kNo, kComeBackSoon));
    return;
  }
  Accept(std::move(parsed.mRequest), std::move(aResponder));
}

std::optional<BadField>
Gateway::Impl::CheckNames(const CallerRequest& aRequest, const TrafficView& aView)
{
  // A node that has no configuration yet cannot tell a wrong name from a new one.
  if (!aView.mAccepts) {
    return std::nullopt;
  }
  if (aView.mCustomers.count(aRequest.mCustomer) == 0) {
    return BadField{ kForbidden, "X-Customer", "'" + aRequest.mCustomer + "' is not published" };
  }
  if (aRequest.mService && aView.mRouting.mServices.count(aRequest.mTarget) == 0) {
    return BadField{ kNotFound, "path", "no service '" + aRequest.mTarget + "' is published" };
  }
  if (!aRequest.mService && aView.mPools.count(aRequest.mTarget) == 0) {
    return BadField{ kNotFound, "model", "no profile '" + aRequest.mTarget + "' is published" };
  }
  return std::nullopt;
}

void
Gateway::Impl::Accept(CallerRequest aRequest, std::shared_ptr<Responder> aResponder)
{
  auto job = std::make_shared<Job>();
  job->mRequest = std::move(aRequest);
  job->mResponder = std::move(aResponder);
  job->mArrived = mNow();
  job->mDeadline = job->mArrived + job->mRequest.mTimeLeft;
  DeliveryRequest delivery;
  delivery.mUnrepeatable = job->mRequest.mUnrepeatable;
  delivery.mStreams = job->mRequest.mStream;
  delivery.mDeadline = job->mDeadline;
  job->mDelivery.emplace(delivery);
  {
    const std::lock_guard lock(mMutex);
    job->mId = ++mLastId;
    mJobs[job->mId] = job;
    mBudget.OnRequest();
    ++mCounters.mOpen;
  }
  mWake.notify_one(); // the pump may be at rest
  const std::weak_ptr<Job> weak = job;
  job->mResponder->OnClosed([self = weak_from_this(), weak](bool aComplete) {
    const auto impl = self.lock();
    const auto gone = weak.lock();
    if (impl && gone && !aComplete) {
      impl->OnCallerGone(gone);
    }
  });
  const std::lock_guard lock(job->mMutex);
  const bool once = job->mRequest.mUnrepeatable && !job->mRequest.mKey.empty();
  if (once && !job->mRequest.mForwarded) {
    ClaimKey(job);
  } else {
    Begin(job);
  }
}

void
Gateway::Impl::Begin(const std::shared_ptr<Job>& aJob)
{
  if (aJob->mRequest.mService) {
    RunService(aJob);
  } else {
    Admit(aJob);
  }
}

// ---- Admission ----

void
Gateway::Impl::Admit(const std::shared_ptr<Job>& aJob)
{
  Arrival arrival;
  arrival.mId = aJob->mId;
  arrival.mCustomer = aJob->mRequest.mCustomer;
  arrival.mPriority = aJob->mRequest.mPriority;
  arrival.mDeadline = aJob->mDeadline;
  std::vector<GivenUp> givenUp;
  AdmissionDecision decision;
  {
    const std::lock_guard lock(mMutex);
    decision = AdmissionOf(aJob->mRequest.mTarget).Arrive(arrival, mNow(), &givenUp);
    mGivenUp.insert(mGivenUp.end(), givenUp.begin(), givenUp.end());
  }
  if (!givenUp.empty()) {
    mWake.notify_one();
  }
  switch (decision.mVerdict) {
    case AdmissionVerdict::kRun:
      RunModel(aJob);
      return;
    case AdmissionVerdict::kWait:
      return;
    case AdmissionVerdict::kRefuse:
      if (!Spill(aJob)) {
        Refuse(aJob, decision);
      }
      return;
  }
}

Admission&
Gateway::Impl::AdmissionOf(const std::string& aProfile)
{
  auto it = mAdmissions.find(aProfile);
  if (it == mAdmissions.end()) {
    AdmissionOptions options;
    options.mQueue = static_cast<std::size_t>(mSettings.mRequests.mQueue);
    options.mLongestWait = mSettings.mRequests.mLongestWait;
    it = mAdmissions.emplace(aProfile, Admission(options)).first;
    const auto view = View();
    const auto pool = view->mPools.find(aProfile);
    if (pool != view->mPools.end()) {
      it->second.SetPool(pool->second);
    }
  }
  return it->second;
}

// ---- Ends ----

void
Gateway::Impl::Complete(const std::shared_ptr<Job>& aJob)
{
  aJob->mDelivery->OnComplete();
  ++mCounters.mCompleted;
  if (aJob->mRequest.mStream) {
    StartStream(aJob);
    SettleClaim(*aJob, Ran::kYes, StreamedAnswer());
    aJob->mResponder->Write(LastEvents(RequestId(*aJob)));
    aJob->mResponder->End();
  } else {
    const Json message = { { "role", "assistant" }, { "content", aJob->mText } };
    const Json choice = { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    const Json json = { { "id", RequestId(*aJob) },
                        { "object", "chat.completion" },
                        { "model", aJob->mRequest.mTarget },
                        { "choices", Json::array({ choice }) },
                        { "usage", { { "completion_tokens", aJob->mDelivery->Tokens() } } } };
    HttpResponse response{ kOk, {}, json.dump(-1, ' ', false, Json::error_handler_t::replace) };
    SettleClaim(*aJob, Ran::kYes, response);
    aJob->mResponder->Send(std::move(response));
  }
  Close(aJob);
}

void
Gateway::Impl::Refuse(const std::shared_ptr<Job>& aJob, const AdmissionDecision& aDecision)
{
  ++mCounters.mRefused;
  SettleClaim(*aJob, Ran::kNo, {});
  aJob->mResponder->Send(
    ErrorResponse(kUnavailable, aDecision.mReason, Ran::kNo, aDecision.mRetryAfter));
  Close(aJob);
}

void
Gateway::Impl::Fail(const std::shared_ptr<Job>& aJob, Ran aRan, const std::string& aReason)
{
  ++mCounters.mFailed;
  mCounters.mUnknown += aRan == Ran::kUnknown ? 1 : 0;
  SettleClaim(*aJob, aRan, {});
  if (aJob->mStreamStarted) {
    aJob->mResponder->Write(ErrorEvent(aReason, aRan));
    aJob->mResponder->Abort();
  } else {
    const int status = aRan == Ran::kNo ? kUnavailable : kBadGateway;
    aJob->mResponder->Send(ErrorResponse(status, aReason, aRan, kComeBackSoon));
  }
  Close(aJob);
}

void
Gateway::Impl::LeaveReplica(const std::shared_ptr<Job>& aJob)
{
  if (aJob->mLoad) {
    aJob->mLoad->Leave();
    aJob->mLoad.reset();
  }
  aJob->mCallId = 0;
}

void
Gateway::Impl::Close(const std::shared_ptr<Job>& aJob)
{
  if (aJob->mDone) {
    return;
  }
  aJob->mDone = true;
  LeaveReplica(aJob);
  const Duration service =
    aJob->mStarted == TimePoint{} ? Duration::zero() : mNow() - aJob->mStarted;
  {
    const std::lock_guard lock(mMutex);
    mJobs.erase(aJob->mId);
    --mCounters.mOpen;
    const auto it = mAdmissions.find(aJob->mRequest.mTarget);
    if (it != mAdmissions.end() && !aJob->mRequest.mService) {
      it->second.OnDone(aJob->mId, service);
      it->second.OnGone(aJob->mId);
    }
  }
  mWake.notify_one();
}

void
Gateway::Impl::OnCallerGone(const std::shared_ptr<Job>& aJob)
{
  const std::lock_guard lock(aJob->mMutex);
  if (aJob->mDone) {
    return;
  }
  ++mCounters.mCallerGone;
  if (aJob->mCallId != 0) {
    mClients[aJob->mClient]->Cancel(aJob->mCallId);
  }
  Close(aJob);
}

// ---- The pump: waiting requests, timeouts ----

void
Gateway::Impl::PumpLoop()
{
  for (;;) {
    std::vector<std::shared_ptr<Job>> start;
    std::vector<std::pair<std::shared_ptr<Job>, AdmissionDecision>> refuse;
    std::vector<std::shared_ptr<Job>> all;
    {
      std::unique_lock lock(mMutex);
      // Without requests there is nothing to time; a node at rest should cost next to nothing.
      mWake.wait_for(lock, mJobs.empty() ? kPumpAtRest : kPumpEvery);
      if (mStopping) {
        return;
      }
      CollectDue(&start, &refuse);
      for (const auto& [id, job] : mJobs) {
        all.push_back(job);
      }
    }
    for (const auto& it : start) {
      const std::lock_guard lock(it->mMutex);
      if (!it->mDone) {
        RunModel(it);
      }
    }
    for (const auto& [job, decision] : refuse) {
      const std::lock_guard lock(job->mMutex);
      if (!job->mDone) {
        Refuse(job, decision);
      }
    }
    CheckAttempts(all);
  }
}

void
Gateway::Impl::CollectDue(std::vector<std::shared_ptr<Job>>* aStart,
                          std::vector<std::pair<std::shared_ptr<Job>, AdmissionDecision>>* aRefuse)
{
  const TimePoint now = mNow();
  for (auto& [profile, admission] : mAdmissions) {
    auto hopeless = admission.Hopeless(now);
    mGivenUp.insert(mGivenUp.end(), hopeless.begin(), hopeless.end());
    for (const auto id : admission.Next(now)) {
      const auto it = mJobs.find(id);
      if (it != mJobs.end()) {
        aStart->push_back(it->second);
      }
    }
  }
  for (const auto& it : mGivenUp) {
    const auto job = mJobs.find(it.mId);
    if (job != mJobs.end()) {
      aRefuse->emplace_back(job->second, it.mDecision);
    }
  }
  mGivenUp.clear();
}

void
Gateway::Impl::CheckAttempts(const std::vector<std::shared_ptr<Job>>& aJobs)
{
  const auto view = View();
  const TimePoint now = mNow();
  for (const auto& it : aJobs) {
    const std::lock_guard lock(it->mMutex);
    if (it->mDone || it->mCallId == 0 || !it->mEndDetail.empty()) {
      continue;
    }
    const bool broken = view->mBroken.count(it->mReplica) > 0 && !it->mRequest.mService;
    const bool silent =
      now - it->mLastPart > mSettings.mRequests.mFirstTokenTimeout && !it->mRequest.mService;
    if (broken || silent) {
      it->mEndDetail = broken ? "its replica has lost a member" : "no token came in time";
      mClients[it->mClient]->Cancel(it->mCallId);
    }
  }
}

Gateway::Gateway(const Settings& aSettings, NowFn aNow, ClaimHooks aClaims)
  : mImpl(std::make_shared<Impl>(aSettings, std::move(aNow), std::move(aClaims)))
{
  mImpl->Begin();
}

Gateway::~Gateway()
{
  mImpl->Stop();
}

void
Gateway::Handle(HttpRequest aRequest, std::shared_ptr<Responder> aResponder)
{
  mImpl->Handle(std::move(aRequest), std::move(aResponder));
}

void
Gateway::SetView(std::shared_ptr<const TrafficView> aView)
{
  {
    const std::lock_guard lock(mImpl->mMutex);
    for (auto& [profile, admission] : mImpl->mAdmissions) {
      const auto pool = aView->mPools.find(profile);
      admission.SetPool(pool == aView->mPools.end() ? PoolState() : pool->second);
    }
  }
  std::atomic_store(&mImpl->mView, std::move(aView));
  if (mImpl->mCounters.mOpen.load() > 0) {
    mImpl->mWake.notify_one();
  }
}

TrafficReport
Gateway::Report() const
{
  TrafficReport report;
  const TimePoint now = mImpl->mNow();
  const std::lock_guard lock(mImpl->mMutex);
  for (const auto& [profile, admission] : mImpl->mAdmissions) {
    report.mUsage[profile] = admission.Usage();
  }
  for (const auto& [replica, mean] : mImpl->mFirstTokens) {
    if (now - mean.mAt < kFirstTokenMemory) {
      report.mFirstTokens[replica] =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean.mSeconds));
    }
  }
  return report;
}

const GatewayCounters&
Gateway::Counters() const
{
  return mImpl->mCounters;
}

} // namespace pepperbay
