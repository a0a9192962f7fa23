#include "pepperbay/node/gateway.hpp"

#include "job.hpp"
#include "request.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/base/ids.hpp"
#include "pepperbay/dispatch/claims.hpp"
#include "pepperbay/settings/settings.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

constexpr Duration kPumpEvery = std::chrono::milliseconds(10);
constexpr Duration kPumpAtRest = std::chrono::seconds(1);
constexpr Duration kFirstTokenMemory = std::chrono::seconds(10);
constexpr double kFirstTokenSmoothing = 0.2;
/// A failed attempt as a time to first token, for the ejection of stragglers.
constexpr Duration kFailedAttemptCounts = std::chrono::seconds(5);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kForbidden = 403;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr Duration kComeBackSoon = std::chrono::seconds(1);

struct FirstTokenMean
{
  double mSeconds = 0;
  TimePoint mAt{};
};

} // namespace

struct Gateway::Impl : std::enable_shared_from_this<Gateway::Impl>
{
  Impl(const Settings& aSettings, NowFn aNow, ClaimHooks aClaims)
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

  void Begin()
  {
    mPump = std::thread([this] { PumpLoop(); });
  }

  void Stop()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mWake.notify_all();
    mPump.join();
    mClients.clear();
  }

  std::shared_ptr<const TrafficView> View() const { return std::atomic_load(&mView); }

  // ---- Arrival ----

  void Handle(HttpRequest aRequest, std::shared_ptr<Responder> aResponder)
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

  static std::optional<BadField> CheckNames(const CallerRequest& aRequest, const TrafficView& aView)
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

  void Accept(CallerRequest aRequest, std::shared_ptr<Responder> aResponder)
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

  void Begin(const std::shared_ptr<Job>& aJob)
  {
    if (aJob->mRequest.mService) {
      RunService(aJob);
    } else {
      Admit(aJob);
    }
  }

  // ---- At most once ----

  /// A key belongs to its customer: another customer's equal key is another key.
  static std::string ClaimKeyOf(const Job& aJob)
  {
    return aJob.mRequest.mCustomer + "\n" + aJob.mRequest.mKey;
  }

  /// What makes two requests the same one: where it goes and what it says.
  static std::uint64_t FingerprintOf(const CallerRequest& aRequest)
  {
    return Hash64(
      aRequest.mBody,
      Hash64(aRequest.mServicePath, Hash64(aRequest.mTarget, Hash64(aRequest.mMethod))));
  }

  void ClaimKey(const std::shared_ptr<Job>& aJob)
  {
    const auto made = TimeOfKey(aJob->mRequest.mKey);
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    if (made && wall - *made > mSettings.mRequests.mClaimWindow) {
      // Its first use may be forgotten already; to take it for new could run it twice.
      FinishWith(aJob,
                 ErrorResponse(kConflict,
                               "Idempotency-Key: older than the time for which keys are remembered",
                               Ran::kUnknown,
                               Duration::zero()));
      return;
    }
    aJob->mClaimId = NewAttemptId();
    KeyClaim claim;
    claim.mKey = ClaimKeyOf(*aJob);
    claim.mClaimId = aJob->mClaimId;
    claim.mFingerprint = FingerprintOf(aJob->mRequest);
    claim.mPatience =
      std::min<Duration>(mSettings.mPlatform.mTimeout * 2, aJob->mDeadline - mNow());
    mClaims.mClaim(claim, [self = weak_from_this(), aJob](const proto::ClaimAnswer& aAnswer) {
      const auto impl = self.lock();
      const std::lock_guard lock(aJob->mMutex);
      if (impl) {
        impl->OnClaim(aJob, aAnswer);
      }
    });
  }

  void OnClaim(const std::shared_ptr<Job>& aJob, const proto::ClaimAnswer& aAnswer)
  {
    if (aJob->mDone) { // the caller has gone; nothing was dispatched
      if (aAnswer.verdict() == proto::ClaimAnswer::WON) {
        mClaims.mAbandon(ClaimKeyOf(*aJob), aJob->mClaimId);
      }
      return;
    }
    switch (aAnswer.verdict()) {
      case proto::ClaimAnswer::WON:
        aJob->mClaimWon = true;
        Begin(aJob);
        return;
      case proto::ClaimAnswer::ANSWERED:
        Replay(aJob, aAnswer.answer());
        return;
      case proto::ClaimAnswer::MISMATCH:
        FinishWith(aJob,
                   ErrorResponse(kUnprocessable,
                                 "Idempotency-Key: already used for a request that differs from "
                                 "this one; send each request with a key of its own",
                                 Ran::kNo,
                                 Duration::zero()));
        return;
      case proto::ClaimAnswer::TAKEN:
        FinishWith(aJob,
                   ErrorResponse(kConflict,
                                 "a request with this key was dispatched; its outcome is not known",
                                 Ran::kUnknown,
                                 kComeBackSoon));
        return;
      default:
        Refuse(
          aJob,
          { AdmissionVerdict::kRefuse, "the log cannot be asked about the key", kComeBackSoon });
        return;
    }
  }

  void Replay(const std::shared_ptr<Job>& aJob, const proto::KeptAnswer& aKept)
  {
    HttpResponse response;
    response.mStatus = static_cast<int>(aKept.status());
    response.mContentType = aKept.content_type();
    response.mBody = aKept.body();
    response.mHeaders.push_back({ "X-Replayed", "true" });
    response.mHeaders.push_back({ "X-Ran", "yes" });
    if (aKept.body_left_out()) {
      response.mBody = R"({"error":{"message":"it ran and was answered; the answer was too large )"
                       R"(to keep"},"ran":"yes"})";
      response.mContentType = "application/json";
    }
    FinishWith(aJob, std::move(response));
  }

  void FinishWith(const std::shared_ptr<Job>& aJob, HttpResponse aResponse)
  {
    ++mCounters.mReplayed;
    aJob->mResponder->Send(std::move(aResponse));
    Close(aJob);
  }

  /// After the last answer of a request whose claim won: keep the answer, or free the key.
  void SettleClaim(const Job& aJob, Ran aRan, const HttpResponse& aAnswer)
  {
    if (!aJob.mClaimWon) {
      return;
    }
    if (aRan == Ran::kNo) {
      mClaims.mAbandon(ClaimKeyOf(aJob), aJob.mClaimId);
    } else if (aRan == Ran::kYes) {
      proto::KeptAnswer kept;
      kept.set_status(static_cast<std::uint32_t>(aAnswer.mStatus));
      kept.set_content_type(aAnswer.mContentType);
      kept.set_body(aAnswer.mBody);
      mClaims.mReport(ClaimKeyOf(aJob), aJob.mClaimId, kept);
    }
  }

  /// What is kept of an answer that was streamed: that it was given.
  static HttpResponse StreamedAnswer() { return { kOk, {}, std::string(kMaxKeptAnswer + 1, ' ') }; }

  void Admit(const std::shared_ptr<Job>& aJob)
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

  Admission& AdmissionOf(const std::string& aProfile)
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

  // ---- Attempts at replicas ----

  void RunModel(const std::shared_ptr<Job>& aJob)
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

  /// Prompts that begin alike share the hash of their beginning; short ones are not worth caching.
  std::uint64_t PrefixOf(const std::string& aPrompt) const
  {
    const auto n = static_cast<std::size_t>(mSettings.mRequests.mPrefixBytes);
    return aPrompt.size() < n ? 0 : Hash64(std::string_view(aPrompt).substr(0, n));
  }

  void NoReplica(const std::shared_ptr<Job>& aJob)
  {
    if (aJob->mDelivery->Attempts() == 0) {
      if (!Spill(aJob)) {
        Refuse(aJob, { AdmissionVerdict::kRefuse, "no replica is whole", kComeBackSoon });
      }
      return;
    }
    Fail(aJob, Ran::kUnknown, "no replica is left to go on with");
  }

  void ResetAttempt(const std::shared_ptr<Job>& aJob, int aAttempt)
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

  /// Every call to a back end is on a connection of its own, so that no library sends it again.
  void StartCall(const std::shared_ptr<Job>& aJob,
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

  bool OnEngineBytes(const std::shared_ptr<Job>& aJob, std::string_view aBytes)
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

  /// One event of the engine. @return whether the attempt goes on.
  bool OnEnginePart(const std::shared_ptr<Job>& aJob, const std::string& aData)
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

  static std::string RequestId(const Job& aJob) { return "req-" + std::to_string(aJob.mId); }

  static void StartStream(const std::shared_ptr<Job>& aJob)
  {
    if (!aJob->mStreamStarted) {
      aJob->mStreamStarted = true;
      aJob->mResponder->StartStream(
        { kOk, { { "Cache-Control", "no-store" } }, "", "text/event-stream" });
    }
  }

  void NoteFirstToken(const std::shared_ptr<Job>& aJob)
  {
    if (aJob->mFirstPartSeen) {
      return;
    }
    aJob->mFirstPartSeen = true;
    SampleFirstToken(aJob->mReplica.mReplica, mNow() - aJob->mAttemptStarted);
  }

  void SampleFirstToken(const std::string& aReplica, Duration aTook)
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

  void OnAttemptDone(const std::shared_ptr<Job>& aJob, const HttpOutcome& aOutcome)
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

  static std::string Describe(const Job& aJob, const HttpOutcome& aOutcome)
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

  // ---- Relays: plain services and other data centres ----

  void RunService(const std::shared_ptr<Job>& aJob)
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

  /// Pass a request on to a node of a data centre that has room. @return whether there is one.
  bool Spill(const std::shared_ptr<Job>& aJob)
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

  void Relay(const std::shared_ptr<Job>& aJob,
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

  bool OnRelayBytes(const std::shared_ptr<Job>& aJob, std::string_view aBytes)
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

  void OnRelayDone(const std::shared_ptr<Job>& aJob, const HttpOutcome& aOutcome)
  {
    const bool refused = aJob->mBackEndSaysNotRun && aJob->mStatus != kOk;
    if (aOutcome.mOk && !refused) {
      aJob->mDelivery->OnComplete();
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
      ++mCounters.mCompleted;
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

  // ---- Ends ----

  void Complete(const std::shared_ptr<Job>& aJob)
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

  void Refuse(const std::shared_ptr<Job>& aJob, const AdmissionDecision& aDecision)
  {
    ++mCounters.mRefused;
    SettleClaim(*aJob, Ran::kNo, {});
    aJob->mResponder->Send(
      ErrorResponse(kUnavailable, aDecision.mReason, Ran::kNo, aDecision.mRetryAfter));
    Close(aJob);
  }

  void Fail(const std::shared_ptr<Job>& aJob, Ran aRan, const std::string& aReason)
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

  void LeaveReplica(const std::shared_ptr<Job>& aJob)
  {
    if (aJob->mLoad) {
      aJob->mLoad->Leave();
      aJob->mLoad.reset();
    }
    aJob->mCallId = 0;
  }

  /// The job is over: give back all that it holds.
  void Close(const std::shared_ptr<Job>& aJob)
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

  void OnCallerGone(const std::shared_ptr<Job>& aJob)
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

  void PumpLoop()
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

  void CollectDue(std::vector<std::shared_ptr<Job>>* aStart,
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

  /// End attempts at replicas that have lost a member, and those that bring nothing for too long.
  void CheckAttempts(const std::vector<std::shared_ptr<Job>>& aJobs)
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

  static constexpr double kRetryBurst = 20;

  Settings mSettings;
  NowFn mNow;
  ClaimHooks mClaims;
  std::vector<std::unique_ptr<HttpClient>> mClients;
  std::thread mPump;
  GatewayCounters mCounters;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, std::shared_ptr<Job>> mJobs;
  std::map<std::string, Admission> mAdmissions;
  std::vector<GivenUp> mGivenUp;
  std::map<std::string, FirstTokenMean> mFirstTokens;
  RetryBudget mBudget;
  std::mt19937_64 mRandom;
  std::shared_ptr<const TrafficView> mView;
};

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
