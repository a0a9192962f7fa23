#include "suspect_keeper.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

constexpr const char* kRecordPrefix = "held/";
/// Requests in one message: a datagram holds 64 kB, and one request takes 300 bytes at most.
constexpr int kMostInMessage = 64;
constexpr std::chrono::seconds kExpireEvery{ 1 };

RequestKey
KeyOf(const proto::SuspectRequest& aRequest)
{
  return { aRequest.caller(), aRequest.content() };
}

std::string
LogKeyOf(const RequestKey& aKey)
{
  return kRecordPrefix + ToString(aKey);
}

/// @return nothing where the word is of a version that this one does not know.
std::optional<Suspicion>
SuspicionOf(std::uint32_t aWire)
{
  switch (aWire) {
    case static_cast<std::uint32_t>(Suspicion::kPresent):
      return Suspicion::kPresent;
    case static_cast<std::uint32_t>(Suspicion::kBegun):
      return Suspicion::kBegun;
    default:
      return std::nullopt;
  }
}

} // namespace

SuspectKeeper::SuspectKeeper(SuspectKeeperOptions aOptions, SuspectKeeperHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mBook(mOptions.mBook)
{
}

void
SuspectKeeper::OnEnd(const RequestKey& aKey, const EngineEnd& aEnd)
{
  const TimePoint before = mBook.QuarantinedUntil(aKey);
  if (IsCleared(aKey, aEnd.mEngine) || !mBook.Add(aKey, aEnd, Now())) {
    return;
  }
  mOwn.insert(aKey);
  OnMore(aKey, before, "own");
  mToTell[aKey] = mOptions.mTellTimes;
  mTellDue = Now();
}

void
SuspectKeeper::OnRanWhole(const RequestKey& aKey)
{
  if (Forget(aKey, "ran_whole")) {
    mClearedTold[aKey] = mOptions.mTellTimes;
    mTellDue = Now();
  }
}

bool
SuspectKeeper::Lift(const RequestKey& aKey)
{
  if (!Forget(aKey, "lifted")) {
    return false;
  }
  mClearedTold[aKey] = mOptions.mTellTimes;
  mTellDue = Now();
  return true;
}

bool
SuspectKeeper::Forget(const RequestKey& aKey, const char* aReason)
{
  const bool held = mBook.QuarantinedUntil(aKey) > Now();
  const auto ends = mBook.Ends(aKey);
  if (!mBook.Clear(aKey)) {
    return false;
  }
  Cleared& cleared = mCleared[aKey];
  cleared.mAt = Now();
  for (const auto& it : ends) {
    cleared.mEngines.insert(it.mEngine);
  }
  if (held) {
    ++mHeldRevision;
    mHooks.mLog("request_released", { { "key", ToString(aKey) }, { "reason", aReason } });
  }
  DropNotes(aKey);
  if (mStored.count(aKey) != 0) {
    mToDrop.insert(aKey);
  }
  return true;
}

bool
SuspectKeeper::IsCleared(const RequestKey& aKey, std::uint64_t aEngine) const
{
  const auto it = mCleared.find(aKey);
  return it != mCleared.end() && it->second.mEngines.count(aEngine) != 0;
}

void
SuspectKeeper::DropNotes(const RequestKey& aKey)
{
  mToTell.erase(aKey);
  mOwn.erase(aKey);
  mLasting.erase(aKey);
  mWrites.erase(aKey);
}

bool
SuspectKeeper::Take(const proto::SuspectRequest& aRequest, const char* aBy)
{
  const RequestKey key = KeyOf(aRequest);
  const TimePoint now = Now();
  const TimePoint before = mBook.QuarantinedUntil(key);
  bool isNew = false;
  for (const auto& it : aRequest.ends()) {
    const auto suspicion = SuspicionOf(it.suspicion());
    if (!suspicion) {
      ++mBadRecords;
      continue;
    }
    const EngineEnd end{ it.engine(), *suspicion, now - std::chrono::milliseconds(it.age_ms()) };
    if (!IsCleared(key, end.mEngine)) {
      isNew = mBook.Add(key, end, now) || isNew;
    }
  }
  if (isNew) {
    OnMore(key, before, aBy);
  }
  return isNew;
}

void
SuspectKeeper::OnMore(const RequestKey& aKey, TimePoint aBefore, const char* aBy)
{
  if (mBook.Charge(aKey) >= mOptions.mBook.mShortQuarantineScore) {
    mLasting.emplace(aKey, Now());
  }
  const TimePoint until = mBook.QuarantinedUntil(aKey);
  if (until <= aBefore) {
    return;
  }
  ++mHeldRevision;
  const auto ends = mBook.Ends(aKey);
  const auto last =
    std::max_element(ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  mHooks.mLog("request_held_back",
              { { "key", ToString(aKey) },
                { "engines", std::to_string(ends.size()) },
                { "score", std::to_string(mBook.Score(aKey)) },
                { "last_end_age_ms", std::to_string(ToMs(Now() - last->mAt).count()) },
                { "for_ms", std::to_string(ToMs(until - Now()).count()) },
                { "by", aBy } });
}

void
SuspectKeeper::OnNews(const proto::SuspectNews& aNews, bool aPassOn)
{
  for (const auto& it : aNews.requests()) {
    const RequestKey key = KeyOf(it);
    if (it.cleared()) {
      // Whoever cleared it drops the record of the store as well.
      const bool known = Forget(key, "cleared_by_peer");
      mToDrop.erase(key);
      if (known && aPassOn) {
        mClearedTold[key] = mOptions.mTellTimes;
        mTellDue = Now();
      }
    } else if (Take(it, "peer") && aPassOn) {
      mToTell[key] = mBook.QuarantinedUntil(key) > Now() ? mOptions.mTellTimes : 1;
      mTellDue = Now();
    }
  }
}

bool
SuspectKeeper::IsRecord(const std::string& aLogKey)
{
  return aLogKey.rfind(kRecordPrefix, 0) == 0;
}

void
SuspectKeeper::OnRecord(const std::string& aLogKey, const std::optional<std::string>& aValue)
{
  if (!aValue) {
    for (auto it = mStored.begin(); it != mStored.end(); ++it) {
      if (LogKeyOf(it->first) == aLogKey) {
        const RequestKey key = it->first;
        mStored.erase(it);
        Forget(key, "dropped_from_store");
        return;
      }
    }
    return;
  }
  proto::SuspectRequest request;
  if (!request.ParseFromString(*aValue) || LogKeyOf(KeyOf(request)) != aLogKey) {
    ++mBadRecords;
    return;
  }
  Take(request, "store");
  Stored& stored = mStored[KeyOf(request)];
  stored.mScore = 0;
  for (const auto& it : request.ends()) {
    stored.mScore += static_cast<int>(it.suspicion());
  }
  stored.mWriter = request.writer();
  if (mBook.Score(KeyOf(request)) == 0) {
    mToDrop.insert(KeyOf(request)); // its writer had not heard that it was cleared
  }
}

proto::SuspectRequest
SuspectKeeper::Describe(const RequestKey& aKey) const
{
  proto::SuspectRequest request;
  request.set_caller(aKey.mCaller);
  request.set_content(aKey.mContent);
  for (const auto& it : mBook.Ends(aKey)) {
    auto* end = request.add_ends();
    end->set_engine(it.mEngine);
    end->set_suspicion(static_cast<std::uint32_t>(it.mSuspicion));
    const auto age = ToMs(std::max(Duration::zero(), Now() - it.mAt)).count();
    end->set_age_ms(static_cast<std::uint32_t>(age));
  }
  return request;
}

void
SuspectKeeper::Tick(bool aHoldsLease)
{
  TellDue();
  WriteDue(aHoldsLease);
  if (Now() >= mExpireDue) {
    mExpireDue = Now() + kExpireEvery;
    Expire(aHoldsLease);
  }
}

void
SuspectKeeper::Expire(bool aHoldsLease)
{
  for (const auto& it : mBook.Expire(Now())) {
    DropNotes(it);
  }
  // The book makes room for more suspected requests as well.
  for (auto it = mOwn.begin(); it != mOwn.end();) {
    it = mBook.Score(*it) == 0 ? mOwn.erase(it) : std::next(it);
  }
  for (auto it = mLasting.begin(); it != mLasting.end();) {
    const RequestKey key = (it++)->first;
    if (mBook.Score(key) == 0) {
      DropNotes(key);
    }
  }
  for (auto it = mCleared.begin(); it != mCleared.end();) {
    const bool old = Now() - it->second.mAt >= mOptions.mRememberClear;
    it = old ? mCleared.erase(it) : std::next(it);
  }
  for (const auto& [key, stored] : mStored) {
    if (aHoldsLease && mBook.Score(key) == 0) {
      mToDrop.insert(key);
    }
  }
}

void
SuspectKeeper::TellDue()
{
  if (Now() < mTellDue || (mToTell.empty() && mClearedTold.empty())) {
    return;
  }
  mTellDue = Now() + mOptions.mTellEvery;
  proto::SuspectNews news;
  const auto add = [&](std::map<RequestKey, int>* aQueue, const auto& aDescribe) {
    for (auto it = aQueue->begin(); it != aQueue->end();) {
      *news.add_requests() = aDescribe(it->first);
      it = --it->second <= 0 ? aQueue->erase(it) : std::next(it);
      if (news.requests_size() >= kMostInMessage) {
        mHooks.mTell(news);
        news.Clear();
      }
    }
  };
  add(&mToTell, [this](const RequestKey& aKey) { return Describe(aKey); });
  add(&mClearedTold, [](const RequestKey& aKey) {
    proto::SuspectRequest request;
    request.set_caller(aKey.mCaller);
    request.set_content(aKey.mContent);
    request.set_cleared(true);
    return request;
  });
  if (news.requests_size() > 0) {
    mHooks.mTell(news);
  }
}

bool
SuspectKeeper::NeedsWrite(const RequestKey& aKey, bool aHoldsLease) const
{
  if (mBook.Charge(aKey) < mOptions.mBook.mShortQuarantineScore) {
    return false; // something else accounts for the ends by now
  }
  const int score = mBook.Score(aKey);
  const auto stored = mStored.find(aKey);
  if (stored != mStored.end() && stored->second.mScore >= score) {
    return false;
  }
  const bool waited = Now() - mLasting.at(aKey) >= mOptions.mHolderWritesAfter;
  // Of two records that cross, the later may say less; its writer makes that good.
  const bool wrote = stored != mStored.end() && stored->second.mWriter == mOptions.mNode;
  return mOwn.count(aKey) != 0 || wrote || (aHoldsLease && waited);
}

void
SuspectKeeper::WriteDue(bool aHoldsLease)
{
  if (Now() < mWriteDue) {
    return;
  }
  for (const auto& it : mToDrop) {
    if (WriteOne(it, "")) {
      return;
    }
  }
  for (const auto& [key, since] : mLasting) {
    if (NeedsWrite(key, aHoldsLease)) {
      proto::SuspectRequest record = Describe(key);
      record.set_writer(mOptions.mNode);
      if (WriteOne(key, record.SerializeAsString())) {
        return;
      }
    }
  }
}

bool
SuspectKeeper::WriteOne(const RequestKey& aKey, const std::string& aValue)
{
  Write& write = mWrites[aKey];
  if (write.mUnderWay || Now() < write.mDue) {
    return false;
  }
  write.mUnderWay = true;
  mWriteDue = Now() + mOptions.mWriteEvery;
  const int score = aValue.empty() ? 0 : mBook.Score(aKey);
  mHooks.mPut(LogKeyOf(aKey), aValue, [this, aKey, score](const Result<void>& aResult) {
    Write& done = mWrites[aKey];
    done.mUnderWay = false;
    if (!aResult.has_value()) {
      done.mPause =
        std::clamp(2 * done.mPause, mOptions.mWriteAgainFirst, mOptions.mWriteAgainMost);
      done.mDue = Now() + done.mPause;
      mHooks.mLog("request_record_failed",
                  { { "key", ToString(aKey) }, { "error", ToString(aResult.error()) } });
      return;
    }
    OnWritten(aKey, score);
  });
  return true;
}

void
SuspectKeeper::OnWritten(const RequestKey& aKey, int aScore)
{
  mWrites.erase(aKey);
  if (aScore == 0) {
    mStored.erase(aKey);
    mToDrop.erase(aKey);
    return;
  }
  Stored& stored = mStored[aKey];
  stored.mScore = std::max(stored.mScore, aScore);
  stored.mWriter = mOptions.mNode;
  if (mBook.Score(aKey) == 0) {
    mToDrop.insert(aKey); // it was cleared while the record was on its way
  }
}

} // namespace pepperbay
