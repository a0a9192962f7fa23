#include "pepperbay/journal/keyed_log.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <unordered_set>
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
  if (IsLate()) {
    --mRepeatsLeft;
    ReplaceConnections();
    Send(true);
    return;
  }
  if (!MayAsk()) {
    return;
  }
  mAsking = true;
  // While the log is lost each call opens a connection and is followed by another one soon.
  mRepeatsLeft = mLost ? 0 : mOptions.mMostRepeats;
  if (mLost) {
    ReplaceConnections();
  }
  Send(false);
}

void
KeyedFollower::ReplaceConnections()
{
  if (mHooks.mReplaceConnections) {
    mHooks.mReplaceConnections();
  }
}

void
KeyedFollower::SuspectConnection(TimePoint aOpenedBefore)
{
  if (mAsking && mFirstSent < aOpenedBefore) {
    mLateAt = std::min(mLateAt, mNow());
    mSuspected = true;
  }
}

void
KeyedFollower::Send(bool aIsRepeat)
{
  Call call;
  call.mRound = mRound;
  call.mIsRepeat = aIsRepeat;
  call.mSent = mNow();
  call.mFrom = mNext;
  // After an outage, or a while without own reads, nothing may be new for long, and how old the
  // view is must be known at once.
  const bool held = !mListing && !aIsRepeat && !mLost && call.mSent - mAsOf <= mOptions.mMostGap;
  call.mWait = held ? mOptions.mWait : Duration::zero();
  if (!aIsRepeat) {
    mFirstSent = call.mSent;
    mAnswerDue = call.mSent + call.mWait;
    mSuspected = false;
  }
  mLateAt = call.mSent + call.mWait + mOptions.mLateAfter;
  ++mCalls;
  if (mListing) {
    AskNewest(call);
  } else {
    AskTail(call);
  }
}

void
KeyedFollower::AskNewest(const Call& aCall)
{
  const std::string after = mList.empty() ? std::string() : mList.back().mKey;
  mHooks.mNewest(after,
                 [this, aCall](Result<KeyedPage> aPage) { OnPage(std::move(aPage), aCall); });
}

void
KeyedFollower::AskTail(const Call& aCall)
{
  mHooks.mRead(aCall.mFrom, aCall.mWait, [this, aCall](Result<KeyedTail> aTail) {
    OnTail(std::move(aTail), aCall);
  });
}

bool
KeyedFollower::EndCall(const Call& aCall, const Error* aError)
{
  if (aCall.mRound != mRound) {
    return false; // another call of its round was answered first
  }
  --mCalls;
  const bool failed = aError != nullptr;
  // The first call's time leaves enough for its repetitions; another failure may be that of one
  // connection.
  const bool timedOut = failed && !aCall.mIsRepeat && aError->mCode == Errc::kTimeout;
  if (failed && mCalls > 0 && !timedOut) {
    return false;
  }
  mAsking = false;
  mCalls = 0;
  ++mRound;
  if (!failed && aCall.mIsRepeat && !mSuspected && mEvents.mOnReplaced) {
    mEvents.mOnReplaced(aCall.mSent, mNow() - mAnswerDue);
  }
  return true;
}

void
KeyedFollower::OnPage(Result<KeyedPage> aPage, const Call& aCall)
{
  const Error* error = aPage.has_value() ? nullptr : &aPage.error();
  if (!EndCall(aCall, error)) {
    return;
  }
  if (error != nullptr) {
    mList.clear(); // pages of two attempts must not be mixed
    mListEnd.reset();
    OnFailure(*error);
    return;
  }
  OnSuccess();
  KeyedPage page = std::move(aPage.value());
  if (!mListEnd) {
    mListEnd = page.mEnd;
    mListSent = aCall.mSent;
  }
  const bool more = page.mMore && !page.mRecords.empty();
  for (auto& it : page.mRecords) {
    mList.push_back(std::move(it));
  }
  if (more) {
    return; // the next tick asks for the next page
  }
  const std::uint64_t before = mNext;
  mNext = *mListEnd;
  mListEnd.reset();
  mListing = false;
  const bool passesOn = std::exchange(mHasList, true) && !std::exchange(mRestored, false);
  mAsOf = std::max(mAsOf, mListSent);
  const std::vector<KeyedRecord> list = std::exchange(mList, {});
  const KeyedTail changes = ChangesTo(list);
  if (passesOn && mEvents.mOnTail) {
    mEvents.mOnTail(before, changes);
  }
  mEvents.mOnList(list);
}

void
KeyedFollower::Note(const KeyedRecord& aRecord)
{
  if (aRecord.mValue) {
    mKnown[aRecord.mKey] = Hash64(*aRecord.mValue);
  } else {
    mKnown.erase(aRecord.mKey);
  }
}

KeyedTail
KeyedFollower::ChangesTo(const std::vector<KeyedRecord>& aList)
{
  KeyedTail changes;
  changes.mNext = mNext;
  changes.mEnd = mNext;
  changes.mOfList = true;
  std::unordered_set<std::string> listed;
  for (const auto& it : aList) {
    if (!it.mValue) {
      continue;
    }
    listed.insert(it.mKey);
    changes.mListed.push_back(ShortId(it.mKey));
    const auto known = mKnown.find(it.mKey);
    if (known == mKnown.end() || known->second != Hash64(*it.mValue)) {
      changes.mRecords.push_back(it);
    }
  }
  for (const auto& [key, value] : mKnown) {
    if (listed.count(key) == 0) {
      changes.mRecords.push_back({ key, std::nullopt });
    }
  }
  for (const auto& it : changes.mRecords) {
    Note(it);
  }
  return changes;
}

void
KeyedFollower::OnTail(Result<KeyedTail> aTail, const Call& aCall)
{
  const Error* error = aTail.has_value() ? nullptr : &aTail.error();
  const bool answered =
    error == nullptr || error->mCode == Errc::kNotFound || error->mCode == Errc::kRestored;
  if (!EndCall(aCall, answered ? nullptr : error)) {
    return;
  }
  if (!answered) {
    OnFailure(*error);
    return;
  }
  OnSuccess();
  if (error != nullptr) {
    mListing = true;
    mRestored = error->mCode == Errc::kRestored;
    if (mRestored && mEvents.mOnRestored) {
      mEvents.mOnRestored(*error);
    }
    return;
  }
  const KeyedTail& tail = aTail.value();
  mDue = mNow() + mOptions.mPause;
  // The answer shows the end as it was when the log answered, which was not before the call. A
  // read without news that was held to its end says that there was none all the while.
  const bool held = tail.mRecords.empty() && mNow() - aCall.mSent >= aCall.mWait;
  if (std::max(mNext, tail.mNext) >= tail.mEnd) {
    mAsOf = std::max(mAsOf, held ? aCall.mSent + aCall.mWait : aCall.mSent);
  }
  if (tail.mNext < mNext) {
    return; // another node's word was quicker than this answer
  }
  // Records that were fed in the meantime are told again; what they lead to is the same.
  mNext = tail.mNext;
  if (mEvents.mOnTail && !tail.mRecords.empty()) {
    mEvents.mOnTail(aCall.mFrom, tail);
  }
  for (const auto& it : tail.mRecords) {
    Note(it);
    mEvents.mOnRecord(it);
  }
}

bool
KeyedFollower::Feed(std::uint64_t aFrom, const KeyedTail& aTail)
{
  if (!mHasList || mRestored || aFrom > mNext || aTail.mNext <= mNext) {
    return false;
  }
  if (mListing) {
    AbandonList();
  }
  mNext = aTail.mNext;
  const auto tell = [this](const KeyedRecord& aRecord) {
    Note(aRecord);
    mEvents.mOnRecord(aRecord);
  };
  std::for_each(aTail.mRecords.begin(), aTail.mRecords.end(), tell);
  if (!aTail.mOfList) {
    return true;
  }
  // A key that was written and dropped after the offset at which the sender knew the log, and is
  // known here, is in none of the records.
  const std::unordered_set<std::uint32_t> listed(aTail.mListed.begin(), aTail.mListed.end());
  std::vector<KeyedRecord> gone;
  for (const auto& [key, value] : mKnown) {
    if (listed.count(ShortId(key)) == 0) {
      gone.push_back({ key, std::nullopt });
    }
  }
  std::for_each(gone.begin(), gone.end(), tell);
  return true;
}

void
KeyedFollower::AbandonList()
{
  mListing = false;
  mList.clear();
  mListEnd.reset();
  if (mAsking) {
    mAsking = false;
    mCalls = 0;
    ++mRound; // an answer to the call under way counts no more
  }
}

void
KeyedFollower::OnFailure(const Error& aError)
{
  mRetry =
    mRetry == Duration::zero() ? mOptions.mRetryFirst : std::min(mRetry * 2, mOptions.mRetryMost);
  mDue = mNow() + mRetry;
  if (mEvents.mOnFailure) {
    mEvents.mOnFailure();
  }
  if (!mLost) {
    mLost = true;
    mEvents.mOnLost(aError);
  }
}

void
KeyedFollower::OnSuccess()
{
  mRetry = Duration::zero();
  if (mEvents.mOnAnswer) {
    mEvents.mOnAnswer();
  }
  if (mLost) {
    mLost = false;
    mEvents.mOnBack();
  }
}

} // namespace pepperbay
