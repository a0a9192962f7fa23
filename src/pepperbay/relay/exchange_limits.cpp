/// @file
/// @brief Rate limits that engines state in their answers.

#include "exchange.hpp"
#include "pepperbay/base/hash.hpp"

namespace pepperbay {

void
Exchange::NoteLimit(const EngineDispatch& aDispatch, const AnswerFacts& aFacts)
{
  const bool foreign = !aFacts.mRequestId.empty() && aFacts.mRequestId != mFacts.mId;
  if (foreign || (!aFacts.mSealed && !aFacts.mNotRun)) {
    return; // the sender of the answer cannot be verified
  }
  if (aFacts.mBadLimit) {
    ++mCore->mCounters.mBadLimits;
    mCore->Log("bad_engine_limit", { { "engine", aDispatch.mTarget.mEngine } });
  }
  if (!aFacts.mLimit && (aFacts.mBadLimit || aFacts.mNotRun)) {
    return; // no limit given: a refusal may omit it, and an unreadable limit is still a limit
  }
  const AttemptTarget& target = aDispatch.mTarget;
  mCore->mPlaces.OnStatement({ target.mEngine, target.mAddress, target.mDataCentre, target.mBorn },
                             aDispatch.mRate,
                             { target.mBorn, aFacts.mLimit, aDispatch.mSentAt, mCore->Now() });
}

void
Exchange::CountIfLimited(const EngineDispatch& aDispatch)
{
  const AttemptTarget& target = aDispatch.mTarget;
  if (!mCore->mBalancer.Limits().LimitOf(ShortId(target.mEngine), target.mBorn)) {
    return;
  }
  std::string how = mSent == 0 ? "first" : mStreamStarted ? "resumed" : "second";
  how += aDispatch.mTicket.mDesk.empty() ? "_alone" : "_by_desk";
  ++mCore->mCounters.mSentToLimited[how];
}

} // namespace pepperbay
