#include "pepperbay/journal/appender.hpp"

#include <algorithm>

namespace pepperbay {
namespace {
constexpr std::uint32_t kRecordFormat = 1;
}

Appender::Appender(AppenderOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

Result<void>
Appender::Submit(proto::Record aRecord, TimePoint aGiveUp, Done aDone)
{
  if (mWaiting.size() >= mOptions.mMaxWaiting) {
    return Error{ Errc::kUnavailable, "log.submit", "", "too many records wait for the log" };
  }
  aRecord.set_format(kRecordFormat);
  aRecord.mutable_id()->set_author(mOptions.mAuthor);
  aRecord.mutable_id()->set_incarnation(mOptions.mIncarnation);
  aRecord.mutable_id()->set_sequence(++mLastSequence);
  mWaiting.push_back(
    { mLastSequence, aRecord.SerializeAsString(), aGiveUp, TimePoint{}, std::move(aDone) });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<std::string>
Appender::Next(TimePoint aNow)
{
  std::vector<std::string> batch;
  if (mInFlight || aNow < mNotBefore) {
    return batch;
  }
  const bool due = std::any_of(mWaiting.begin(), mWaiting.end(), [aNow](const Entry& aEntry) {
    return aEntry.mResendAt <= aNow;
  });
  if (!due) {
    return batch;
  }
  // From the oldest on, sent before or not: the fold takes ids only in growing order, so a record
  // that overtook an older one would shut the older one out.
  for (auto& it : mWaiting) {
    if (batch.size() == mOptions.mMaxBatch) {
      break;
    }
    batch.push_back(it.mBytes);
    mFlightThrough = it.mSequence;
  }
  mInFlight = true;
  return batch;
}

void
Appender::OnAnswer(bool aAppended, TimePoint aNow)
{
  mInFlight = false;
  if (!aAppended) {
    const int shift = std::min(mFailures, 10);
    mNotBefore = aNow + std::min(mOptions.mRetryMost, mOptions.mRetryFirst * (1 << shift));
    ++mFailures;
    return;
  }
  mFailures = 0;
  for (auto& it : mWaiting) {
    if (it.mSequence <= mFlightThrough) {
      it.mResendAt = aNow + mOptions.mFoldPatience;
    }
  }
}

void
Appender::OnFolded(std::uint64_t aSequence, const Result<std::uint64_t>& aVerdict)
{
  const auto it = std::find_if(mWaiting.begin(), mWaiting.end(), [aSequence](const Entry& aEntry) {
    return aEntry.mSequence == aSequence;
  });
  if (it == mWaiting.end()) {
    return;
  }
  const Done done = std::move(it->mDone);
  mWaiting.erase(it);
  if (done) {
    done(aVerdict);
  }
}

void
Appender::ExpireBefore(TimePoint aNow)
{
  std::vector<Done> expired;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (it->mGiveUp <= aNow) {
      expired.push_back(std::move(it->mDone));
      it = mWaiting.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& it : expired) {
    if (it) {
      it(Error{ Errc::kTimeout, "log.append", "", "not folded in time; it may still take effect" });
    }
  }
}

} // namespace pepperbay
