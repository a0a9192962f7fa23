#include "quarantine_manager.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

constexpr const char* kRecordPrefix = "held/";
/// Requests in one message: a datagram holds 64 kB, and one request takes 300 bytes at most.
constexpr int kMaxInMessage = 64;
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

/// @return nothing for a value of a newer version that is unknown here.
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

QuarantineManager::QuarantineManager(QuarantineManagerOptions aOptions,
                                     QuarantineManagerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mCrashes(mOptions.mCrashes)
{
}

void
QuarantineManager::OnEnd(const RequestKey& aKey, const EngineEnd& aEnd)
{
  const TimePoint before = mCrashes.QuarantinedUntil(aKey);
  if (IsCleared(aKey, aEnd.mEngine) || !mCrashes.Add(aKey, aEnd, Now())) {
    return;
  }
  mObservedHere.insert(aKey);
  OnScoreIncreased(aKey, before, "own");
  mToSend[aKey] = mOptions.mSendCount;
  mSendDue = Now();
}

void
QuarantineManager::OnRanToCompletion(const RequestKey& aKey)
{
  if (Forget(aKey, "ran_whole")) {
    mClearsToSend[aKey] = mOptions.mSendCount;
    mSendDue = Now();
  }
}

bool
QuarantineManager::Lift(const RequestKey& aKey)
{
  if (!Forget(aKey, "lifted")) {
    return false;
  }
  mClearsToSend[aKey] = mOptions.mSendCount;
  mSendDue = Now();
  return true;
}

bool
QuarantineManager::Forget(const RequestKey& aKey, const char* aReason)
{
  const bool quarantined = mCrashes.QuarantinedUntil(aKey) > Now();
  const auto ends = mCrashes.Ends(aKey);
  if (!mCrashes.Clear(aKey)) {
    return false;
  }
  Cleared& cleared = mCleared[aKey];
  cleared.mAt = Now();
  for (const auto& it : ends) {
    cleared.mEngines.insert(it.mEngine);
  }
  if (quarantined) {
    ++mQuarantineRevision;
    mHooks.mLog("request_released", { { "key", ToString(aKey) }, { "reason", aReason } });
  }
  DropState(aKey);
  if (mStored.count(aKey) != 0) {
    mToDrop.insert(aKey);
  }
  return true;
}

bool
QuarantineManager::IsCleared(const RequestKey& aKey, std::uint64_t aEngine) const
{
  const auto it = mCleared.find(aKey);
  return it != mCleared.end() && it->second.mEngines.count(aEngine) != 0;
}

void
QuarantineManager::DropState(const RequestKey& aKey)
{
  mToSend.erase(aKey);
  mObservedHere.erase(aKey);
  mToPersist.erase(aKey);
  mWrites.erase(aKey);
}

bool
QuarantineManager::AddEnds(const proto::SuspectRequest& aRequest, const char* aSource)
{
  const RequestKey key = KeyOf(aRequest);
  const TimePoint now = Now();
  const TimePoint before = mCrashes.QuarantinedUntil(key);
  bool isNew = false;
  for (const auto& it : aRequest.ends()) {
    const auto suspicion = SuspicionOf(it.suspicion());
    if (!suspicion) {
      ++mBadRecords;
      continue;
    }
    const EngineEnd end{ it.engine(), *suspicion, now - std::chrono::milliseconds(it.age_ms()) };
    if (!IsCleared(key, end.mEngine)) {
      isNew = mCrashes.Add(key, end, now) || isNew;
    }
  }
  if (isNew) {
    OnScoreIncreased(key, before, aSource);
  }
  return isNew;
}

void
QuarantineManager::OnScoreIncreased(const RequestKey& aKey, TimePoint aBefore, const char* aSource)
{
  if (mCrashes.Charge(aKey) >= mOptions.mCrashes.mShortQuarantineScore) {
    mToPersist.emplace(aKey, Now());
  }
  const TimePoint until = mCrashes.QuarantinedUntil(aKey);
  if (until <= aBefore) {
    return;
  }
  ++mQuarantineRevision;
  const auto ends = mCrashes.Ends(aKey);
  const auto last =
    std::max_element(ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  mHooks.mLog("request_held_back",
              { { "key", ToString(aKey) },
                { "engines", std::to_string(ends.size()) },
                { "score", std::to_string(mCrashes.Score(aKey)) },
                { "last_end_age_ms", std::to_string(ToMs(Now() - last->mAt).count()) },
                { "for_ms", std::to_string(ToMs(until - Now()).count()) },
                { "by", aSource } });
}

void
QuarantineManager::OnUpdate(const proto::SuspectNews& aUpdate, bool aPassOn)
{
  for (const auto& it : aUpdate.requests()) {
    const RequestKey key = KeyOf(it);
    if (it.cleared()) {
      // The node that cleared it removes the record from the store.
      const bool known = Forget(key, "cleared_by_peer");
      mToDrop.erase(key);
      if (known && aPassOn) {
        mClearsToSend[key] = mOptions.mSendCount;
        mSendDue = Now();
      }
    } else if (AddEnds(it, "peer") && aPassOn) {
      mToSend[key] = mCrashes.QuarantinedUntil(key) > Now() ? mOptions.mSendCount : 1;
      mSendDue = Now();
    }
  }
}

bool
QuarantineManager::IsRecord(const std::string& aLogKey)
{
  return aLogKey.rfind(kRecordPrefix, 0) == 0;
}

void
QuarantineManager::OnRecord(const std::string& aLogKey, const std::optional<std::string>& aValue)
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
  AddEnds(request, "store");
  Stored& stored = mStored[KeyOf(request)];
  stored.mScore = 0;
  for (const auto& it : request.ends()) {
    stored.mScore += static_cast<int>(it.suspicion());
  }
  stored.mWriter = request.writer();
  if (mCrashes.Score(KeyOf(request)) == 0) {
    mToDrop.insert(KeyOf(request)); // its writer had not been notified that it was cleared
  }
}

proto::SuspectRequest
QuarantineManager::Describe(const RequestKey& aKey) const
{
  proto::SuspectRequest request;
  request.set_caller(aKey.mCaller);
  request.set_content(aKey.mContent);
  for (const auto& it : mCrashes.Ends(aKey)) {
    auto* end = request.add_ends();
    end->set_engine(it.mEngine);
    end->set_suspicion(static_cast<std::uint32_t>(it.mSuspicion));
    const auto age = ToMs(std::max(Duration::zero(), Now() - it.mAt)).count();
    end->set_age_ms(static_cast<std::uint32_t>(age));
  }
  return request;
}

void
QuarantineManager::Tick(bool aHoldsLease)
{
  SendDue();
  WriteDue(aHoldsLease);
  if (Now() >= mExpireDue) {
    mExpireDue = Now() + kExpireEvery;
    Expire(aHoldsLease);
  }
}

void
QuarantineManager::Expire(bool aHoldsLease)
{
  for (const auto& it : mCrashes.Expire(Now())) {
    DropState(it);
  }
  // The tracker also evicts suspected requests to make room.
  for (auto it = mObservedHere.begin(); it != mObservedHere.end();) {
    it = mCrashes.Score(*it) == 0 ? mObservedHere.erase(it) : std::next(it);
  }
  for (auto it = mToPersist.begin(); it != mToPersist.end();) {
    const RequestKey key = (it++)->first;
    if (mCrashes.Score(key) == 0) {
      DropState(key);
    }
  }
  for (auto it = mCleared.begin(); it != mCleared.end();) {
    const bool old = Now() - it->second.mAt >= mOptions.mClearRetention;
    it = old ? mCleared.erase(it) : std::next(it);
  }
  for (const auto& [key, stored] : mStored) {
    if (aHoldsLease && mCrashes.Score(key) == 0) {
      mToDrop.insert(key);
    }
  }
}

void
QuarantineManager::SendDue()
{
  if (Now() < mSendDue || (mToSend.empty() && mClearsToSend.empty())) {
    return;
  }
  mSendDue = Now() + mOptions.mSendInterval;
  proto::SuspectNews update;
  const auto add = [&](std::map<RequestKey, int>* aQueue, const auto& aDescribe) {
    for (auto it = aQueue->begin(); it != aQueue->end();) {
      *update.add_requests() = aDescribe(it->first);
      it = --it->second <= 0 ? aQueue->erase(it) : std::next(it);
      if (update.requests_size() >= kMaxInMessage) {
        mHooks.mSend(update);
        update.Clear();
      }
    }
  };
  add(&mToSend, [this](const RequestKey& aKey) { return Describe(aKey); });
  add(&mClearsToSend, [](const RequestKey& aKey) {
    proto::SuspectRequest request;
    request.set_caller(aKey.mCaller);
    request.set_content(aKey.mContent);
    request.set_cleared(true);
    return request;
  });
  if (update.requests_size() > 0) {
    mHooks.mSend(update);
  }
}

bool
QuarantineManager::NeedsWrite(const RequestKey& aKey, bool aHoldsLease) const
{
  if (mCrashes.Charge(aKey) < mOptions.mCrashes.mShortQuarantineScore) {
    return false; // another cause accounts for the exits by now
  }
  const int score = mCrashes.Score(aKey);
  const auto stored = mStored.find(aKey);
  if (stored != mStored.end() && stored->second.mScore >= score) {
    return false;
  }
  const bool waited = Now() - mToPersist.at(aKey) >= mOptions.mHolderWriteDelay;
  // Of two concurrent writes the later may contain less; its writer corrects that.
  const bool wrote = stored != mStored.end() && stored->second.mWriter == mOptions.mNode;
  return mObservedHere.count(aKey) != 0 || wrote || (aHoldsLease && waited);
}

void
QuarantineManager::WriteDue(bool aHoldsLease)
{
  if (Now() < mWriteDue) {
    return;
  }
  for (const auto& it : mToDrop) {
    if (WriteOne(it, "")) {
      return;
    }
  }
  for (const auto& [key, since] : mToPersist) {
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
QuarantineManager::WriteOne(const RequestKey& aKey, const std::string& aValue)
{
  Write& write = mWrites[aKey];
  if (write.mPending || Now() < write.mDue) {
    return false;
  }
  write.mPending = true;
  mWriteDue = Now() + mOptions.mWriteInterval;
  const int score = aValue.empty() ? 0 : mCrashes.Score(aKey);
  mHooks.mPut(LogKeyOf(aKey), aValue, [this, aKey, score](const Result<void>& aResult) {
    Write& done = mWrites[aKey];
    done.mPending = false;
    if (!aResult.has_value()) {
      done.mPause = std::clamp(2 * done.mPause, mOptions.mMinWriteRetry, mOptions.mMaxWriteRetry);
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
QuarantineManager::OnWritten(const RequestKey& aKey, int aScore)
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
  if (mCrashes.Score(aKey) == 0) {
    mToDrop.insert(aKey); // it was cleared while the write was pending
  }
}

} // namespace pepperbay
