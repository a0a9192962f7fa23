/// @file
/// @brief What engines' answers say of the requests that they take in a second.

#include "exchange.hpp"
#include "pepperbay/base/hash.hpp"

namespace pepperbay {

void
Exchange::NoteLimit(const Sending& aSending, const AnswerFacts& aFacts)
{
  const bool foreign = !aFacts.mRequestId.empty() && aFacts.mRequestId != mFacts.mId;
  if (foreign || (!aFacts.mSealed && !aFacts.mNotRun)) {
    return; // whose word it is cannot be told
  }
  if (aFacts.mBadLimit) {
    ++mCore->mCounters.mBadLimits;
    mCore->Log("bad_engine_limit", { { "engine", aSending.mTarget.mEngine } });
  }
  if (!aFacts.mLimit && (aFacts.mBadLimit || aFacts.mNotRun)) {
    return; // an engine that refuses may not say all; what cannot be read is not none
  }
  const AttemptTarget& target = aSending.mTarget;
  mCore->mPlaces.OnStatement({ target.mEngine, target.mAddress, target.mDataCentre, target.mBorn },
                             aSending.mRate,
                             { target.mBorn, aFacts.mLimit, aSending.mSentAt, mCore->Now() });
}

void
Exchange::CountIfLimited(const Sending& aSending)
{
  const AttemptTarget& target = aSending.mTarget;
  if (!mCore->mBalancer.Limits().LimitOf(ShortId(target.mEngine), target.mBorn)) {
    return;
  }
  std::string how = mSent == 0 ? "first" : mStreamStarted ? "resumed" : "second";
  how += aSending.mTicket.mAllocator.empty() ? "_alone" : "_by_desk";
  ++mCore->mCounters.mSentToLimited[how];
}

} // namespace pepperbay
