#include "pepperbay/journal/keyed_log.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

KeyedFollower::KeyedFollower(const KeyedFollowerOptions& aOptions,
                             KeyedLogHooks aHooks,
                             KeyedFollowerEvents aEvents,
                             NowFn aNow)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mEvents(std::move(aEvents))
  , mNow(std::move(aNow))
{
}

void
KeyedFollower::Tick()
{
  if (!MayAsk()) {
    return;
  }
  mAsking = true;
  if (mListing) {
    AskNewest();
  } else {
    AskTail();
  }
}

void
KeyedFollower::AskNewest()
{
  const TimePoint sent = mNow();
  mAnswerDue = sent;
  const std::string after = mList.empty() ? std::string() : mList.back().mKey;
  mHooks.mNewest(after, [this, sent](Result<KeyedPage> aPage) { OnPage(std::move(aPage), sent); });
}

void
KeyedFollower::AskTail()
{
  const TimePoint sent = mNow();
  // After an outage, or a while without own reads, nothing may be new for long, and how old the
  // view is must be known at once.
  const bool atOnce = mLost || sent - mAsOf > mOptions.mMostGap;
  const Duration wait = atOnce ? Duration::zero() : mOptions.mWait;
  mAnswerDue = sent + wait;
  mHooks.mRead(mNext, wait, [this, from = mNext, sent, wait](Result<KeyedTail> aTail) {
    OnTail(std::move(aTail), from, sent, wait);
  });
}

void
KeyedFollower::OnPage(Result<KeyedPage> aPage, TimePoint aSent)
{
  mAsking = false;
  if (!aPage.has_value()) {
    mList.clear(); // pages of two attempts must not be mixed
    mListEnd.reset();
    OnFailure(aPage.error());
    return;
  }
  OnSuccess();
  KeyedPage page = std::move(aPage.value());
  if (!mListEnd) {
    mListEnd = page.mEnd;
    mListSent = aSent;
  }
  const bool more = page.mMore && !page.mRecords.empty();
  for (auto& it : page.mRecords) {
    mList.push_back(std::move(it));
  }
  if (more) {
    return; // the next tick asks for the next page
  }
  mNext = *mListEnd;
  mListEnd.reset();
  mListing = false;
  mHasList = true;
  mAsOf = std::max(mAsOf, mListSent);
  mEvents.mOnList(std::exchange(mList, {}));
}

void
KeyedFollower::OnTail(Result<KeyedTail> aTail, std::uint64_t aFrom, TimePoint aSent, Duration aWait)
{
  mAsking = false;
  if (!aTail.has_value()) {
    const Errc code = aTail.error().mCode;
    if (code == Errc::kNotFound || code == Errc::kRestored) {
      OnSuccess();
      mListing = true;
      if (code == Errc::kRestored && mEvents.mOnRestored) {
        mEvents.mOnRestored(aTail.error());
      }
      return;
    }
    OnFailure(aTail.error());
    return;
  }
  OnSuccess();
  const KeyedTail& tail = aTail.value();
  mDue = mNow() + mOptions.mPause;
  // The answer shows the end as it was when the log answered, which was not before the call. A
  // read without news that was held to its end says that there was none all the while.
  const bool held = tail.mRecords.empty() && mNow() - aSent >= aWait;
  if (std::max(mNext, tail.mNext) >= tail.mEnd) {
    mAsOf = std::max(mAsOf, held ? aSent + aWait : aSent);
  }
  if (tail.mNext < mNext) {
    return; // another node's word was quicker than this answer
  }
  // Records that were fed in the meantime are told again; what they lead to is the same.
  mNext = tail.mNext;
  if (mEvents.mOnTail && !tail.mRecords.empty()) {
    mEvents.mOnTail(aFrom, tail);
  }
  for (const auto& it : tail.mRecords) {
    mEvents.mOnRecord(it);
  }
}

bool
KeyedFollower::Feed(std::uint64_t aFrom, const KeyedTail& aTail)
{
  if (mListing || aFrom > mNext || aTail.mNext <= mNext) {
    return false;
  }
  mNext = aTail.mNext;
  for (const auto& it : aTail.mRecords) {
    mEvents.mOnRecord(it);
  }
  return true;
}

void
KeyedFollower::OnFailure(const Error& aError)
{
  mRetry =
    mRetry == Duration::zero() ? mOptions.mRetryFirst : std::min(mRetry * 2, mOptions.mRetryMost);
  mDue = mNow() + mRetry;
  if (!mLost) {
    mLost = true;
    mEvents.mOnLost(aError);
  }
}

void
KeyedFollower::OnSuccess()
{
  mRetry = Duration::zero();
  if (mLost) {
    mLost = false;
    mEvents.mOnBack();
  }
}

} // namespace pepperbay
