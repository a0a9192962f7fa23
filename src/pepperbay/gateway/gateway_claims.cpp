/// @file
/// @brief The gateway's unrepeatable requests with a key: claimed before they are dispatched.

#include "gateway_impl.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/base/ids.hpp"
#include "pepperbay/dispatch/claims.hpp"

#include <algorithm>

namespace pepperbay {

std::string
Gateway::Impl::ClaimKeyOf(const Job& aJob)
{
  return aJob.mRequest.mCustomer + "\n" + aJob.mRequest.mKey;
}

std::uint64_t
Gateway::Impl::FingerprintOf(const CallerRequest& aRequest)
{
  return Hash64(aRequest.mBody,
                Hash64(aRequest.mServicePath, Hash64(aRequest.mTarget, Hash64(aRequest.mMethod))));
}

void
Gateway::Impl::ClaimKey(const std::shared_ptr<Job>& aJob)
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
  claim.mTimeLimit = std::min<Duration>(mSettings.mPlatform.mTimeout * 2, aJob->mDeadline - mNow());
  mClaims.mClaim(claim, [self = weak_from_this(), aJob](const proto::ClaimAnswer& aAnswer) {
    const auto impl = self.lock();
    const std::lock_guard lock(aJob->mMutex);
    if (impl) {
      impl->OnClaim(aJob, aAnswer);
    }
  });
}

void
Gateway::Impl::OnClaim(const std::shared_ptr<Job>& aJob, const proto::ClaimAnswer& aAnswer)
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
      Refuse(aJob,
             { AdmissionVerdict::kRefuse, "the log cannot be asked about the key", kComeBackSoon });
      return;
  }
}

void
Gateway::Impl::Replay(const std::shared_ptr<Job>& aJob, const proto::KeptAnswer& aKept)
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

void
Gateway::Impl::FinishWith(const std::shared_ptr<Job>& aJob, HttpResponse aResponse)
{
  ++mCounters.mReplayed;
  aJob->mResponder->Send(std::move(aResponse));
  Close(aJob);
}

void
Gateway::Impl::SettleClaim(const Job& aJob, Ran aRan, const HttpResponse& aAnswer)
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

} // namespace pepperbay
