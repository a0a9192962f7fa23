/// @file
/// @brief Rate limits that engines state in their answers.

#include "exchange.hpp"
#include "pepperbay/base/hash.hpp"

namespace pepperbay {

void
Exchange::NoteLimit(const EngineDispatch& aDispatch, const AnswerMetadata& aMetadata)
{
  const bool foreign = !aMetadata.mRequestId.empty() && aMetadata.mRequestId != mMetadata.mId;
  if (foreign || (!aMetadata.mSealed && !aMetadata.mNotRun)) {
    return; // the sender of the answer cannot be verified
  }
  if (aMetadata.mBadLimit) {
    ++mCore->mCounters.mBadLimits;
    mCore->Log("bad_engine_limit", { { "engine", aDispatch.mTarget.mEngine } });
  }
  if (!aMetadata.mLimit && (aMetadata.mBadLimit || aMetadata.mNotRun)) {
    return; // no limit given: a refusal may omit it, and an unreadable limit is still a limit
  }
  const AttemptTarget& target = aDispatch.mTarget;
  mCore->mPlaces.OnStatement({ target.mEngine, target.mAddress, target.mDataCentre, target.mBorn },
                             aDispatch.mRate,
                             { target.mBorn, aMetadata.mLimit, aDispatch.mSentAt, mCore->Now() });
}

void
Exchange::CountIfLimited(const EngineDispatch& aDispatch)
{
  const AttemptTarget& target = aDispatch.mTarget;
  if (!mCore->mBalancer.Limits().LimitOf(ShortId(target.mEngine), target.mBorn)) {
    return;
  }
  std::string how = mSent == 0 ? "first" : mStreamStarted ? "resumed" : "second";
  how += aDispatch.mTicket.mAllocator.empty() ? "_alone" : "_by_desk";
  ++mCore->mCounters.mSentToLimited[how];
}

} // namespace pepperbay
