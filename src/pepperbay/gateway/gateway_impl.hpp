/// @file
/// @brief The gateway's parts, shared by gateway.cpp (arrival, ends, the pump), gateway_claims.cpp
/// (at most once), gateway_attempts.cpp (replicas) and gateway_relays.cpp (plain services, other
/// data centres).
///
/// A job's members are guarded by its own mutex, which its caller holds in every function here that
/// takes a job but OnCallerGone(). `mMutex` guards the gateway's own and is taken after a job's,
/// never before.
#pragma once

#include "pepperbay/gateway/gateway.hpp"

#include "job.hpp"
#include "request.hpp"

#include "pepperbay/settings/settings.hpp"

#include <condition_variable>
#include <map>
#include <random>
#include <thread>

namespace pepperbay {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kForbidden = 403;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr Duration kComeBackSoon = std::chrono::seconds(1);
/// A time to first token that is older says nothing of its replica any more.
constexpr Duration kFirstTokenMemory = std::chrono::seconds(10);

/// A replica's recent time to first token, as seen here.
struct FirstTokenMean
{
  double mSeconds = 0;
  TimePoint mAt{};
};

struct Gateway::Impl : std::enable_shared_from_this<Gateway::Impl>
{
  Impl(const Settings& aSettings, NowFn aNow, ClaimHooks aClaims);
  /// Start the pump.
  void Begin();
  void Stop();
  std::shared_ptr<const TrafficView> View() const { return std::atomic_load(&mView); }

  // ---- Arrival ----
  void Handle(HttpRequest aRequest, std::shared_ptr<Responder> aResponder);
  static std::optional<BadField> CheckNames(const CallerRequest& aRequest,
                                            const TrafficView& aView);
  void Accept(CallerRequest aRequest, std::shared_ptr<Responder> aResponder);
  /// It may be dispatched: on to admission, or to its service.
  void Begin(const std::shared_ptr<Job>& aJob);

  // ---- At most once ----
  /// A key belongs to its customer: another customer's equal key is another key.
  static std::string ClaimKeyOf(const Job& aJob);
  /// What makes two requests the same one: where it goes and what it says.
  static std::uint64_t FingerprintOf(const CallerRequest& aRequest);
  void ClaimKey(const std::shared_ptr<Job>& aJob);
  void OnClaim(const std::shared_ptr<Job>& aJob, const proto::ClaimAnswer& aAnswer);
  void Replay(const std::shared_ptr<Job>& aJob, const proto::KeptAnswer& aKept);
  void FinishWith(const std::shared_ptr<Job>& aJob, HttpResponse aResponse);
  /// After the last answer of a request whose claim won: keep the answer, or free the key.
  void SettleClaim(const Job& aJob, Ran aRan, const HttpResponse& aAnswer);
  /// What is kept of an answer that was streamed: that it was given.
  static HttpResponse StreamedAnswer() { return { kOk, {}, std::string(kMaxKeptAnswer + 1, ' ') }; }

  // ---- Admission ----
  void Admit(const std::shared_ptr<Job>& aJob);
  Admission& AdmissionOf(const std::string& aProfile);

  // ---- Attempts at replicas ----
  void RunModel(const std::shared_ptr<Job>& aJob);
  /// Prompts that begin alike share the hash of their beginning; short ones are not worth caching.
  std::uint64_t PrefixOf(const std::string& aPrompt) const;
  void NoReplica(const std::shared_ptr<Job>& aJob);
  void ResetAttempt(const std::shared_ptr<Job>& aJob, int aAttempt);
  /// Every call to a back end is on a connection of its own, so that no library sends it again.
  void StartCall(const std::shared_ptr<Job>& aJob,
                 HttpCall aCall,
                 std::function<bool(std::string_view)> aOnBytes);
  bool OnEngineBytes(const std::shared_ptr<Job>& aJob, std::string_view aBytes);
  /// One event of the engine. @return whether the attempt goes on.
  bool OnEnginePart(const std::shared_ptr<Job>& aJob, const std::string& aData);
  static std::string RequestId(const Job& aJob) { return "req-" + std::to_string(aJob.mId); }
  static void StartStream(const std::shared_ptr<Job>& aJob);
  void NoteFirstToken(const std::shared_ptr<Job>& aJob);
  void SampleFirstToken(const std::string& aReplica, Duration aTook);
  void OnAttemptDone(const std::shared_ptr<Job>& aJob, const HttpOutcome& aOutcome);
  static std::string Describe(const Job& aJob, const HttpOutcome& aOutcome);

  // ---- Relays: plain services and other data centres ----
  void RunService(const std::shared_ptr<Job>& aJob);
  /// Pass a request on to a node of a data centre that has room. @return whether there is one.
  bool Spill(const std::shared_ptr<Job>& aJob);
  void Relay(const std::shared_ptr<Job>& aJob,
             const std::string& aAddress,
             const std::string& aPath);
  bool OnRelayBytes(const std::shared_ptr<Job>& aJob, std::string_view aBytes);
  void OnRelayDone(const std::shared_ptr<Job>& aJob, const HttpOutcome& aOutcome);

  // ---- Ends ----
  void Complete(const std::shared_ptr<Job>& aJob);
  void Refuse(const std::shared_ptr<Job>& aJob, const AdmissionDecision& aDecision);
  void Fail(const std::shared_ptr<Job>& aJob, Ran aRan, const std::string& aReason);
  void LeaveReplica(const std::shared_ptr<Job>& aJob);
  /// The job is over: give back all that it holds.
  void Close(const std::shared_ptr<Job>& aJob);
  void OnCallerGone(const std::shared_ptr<Job>& aJob);

  // ---- The pump: waiting requests, timeouts ----
  void PumpLoop();
  void CollectDue(std::vector<std::shared_ptr<Job>>* aStart,
                  std::vector<std::pair<std::shared_ptr<Job>, AdmissionDecision>>* aRefuse);
  /// End attempts at replicas that have lost a member, and those that bring nothing for too long.
  void CheckAttempts(const std::vector<std::shared_ptr<Job>>& aJobs);

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

} // namespace pepperbay
