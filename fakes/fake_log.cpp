#include "fake_log.hpp"

#include <cstdlib>

namespace fakes {

using pepperbay::FirstValue;
using pepperbay::HttpRequest;
using pepperbay::HttpServer;
using pepperbay::Responder;

bool
FakeLog::Listen(const std::string& aAddress, int aPort)
{
  pepperbay::HttpServerOptions options;
  options.mAddress = aAddress;
  options.mPort = aPort;
  options.mMaxBody = 64U << 20U;
  auto server =
    HttpServer::Start(options, [this](const HttpRequest& aRequest, const auto& aResponder) {
      Handle(aRequest, aResponder);
    });
  if (!server.has_value()) {
    return false;
  }
  mServer = std::move(server.value());
  return true;
}

void
FakeLog::Change(const std::function<void(LogFaults&)>& aChange)
{
  std::vector<std::shared_ptr<Responder>> release;
  {
    const std::lock_guard lock(mMutex);
    aChange(mFaults);
    if (!mFaults.mHangs) {
      release.swap(mHeld);
    }
  }
  for (const auto& it : release) {
    it->Abort();
  }
}

std::uint64_t
FakeLog::Appends() const
{
  const std::lock_guard lock(mMutex);
  return mAppends;
}

std::uint64_t
FakeLog::Reads() const
{
  const std::lock_guard lock(mMutex);
  return mReads;
}

std::uint64_t
FakeLog::EndOf(const std::string& aStream) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mStreams.find(aStream);
  return it == mStreams.end() ? 0 : it->second.mEarliest + it->second.mRecords.size();
}

void
FakeLog::Handle(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
{
  const std::string prefix = "/streams/";
  {
    const std::lock_guard lock(mMutex);
    if (mFaults.mHangs || mFaults.mCutOff.count(aRequest.mCallerIp) > 0) {
      mHeld.push_back(aResponder);
      return;
    }
    if (mFaults.mOut) {
      aResponder->Send({ 503, {}, "out" });
      return;
    }
  }
  if (aRequest.mPath.rfind(prefix, 0) != 0) {
    aResponder->Send({ 404, {}, "no such page" });
    return;
  }
  const std::string stream = aRequest.mPath.substr(prefix.size());
  if (aRequest.mMethod == "POST") {
    Append(stream, aRequest.mBody, aResponder);
  } else {
    Read(stream, aRequest, aResponder);
  }
}

void
FakeLog::Append(const std::string& aStream,
                const std::string& aBody,
                const std::shared_ptr<Responder>& aResponder)
{
  pepperbay::proto::LogAppend append;
  if (!append.ParseFromString(aBody)) {
    aResponder->Send({ 400, {}, "not a LogAppend" });
    return;
  }
  std::vector<std::pair<std::shared_ptr<Responder>, std::string>> news;
  pepperbay::proto::LogAppended appended;
  bool lose = false;
  {
    const std::lock_guard lock(mMutex);
    ++mAppends;
    Stream& stream = mStreams[aStream];
    appended.set_first_offset(stream.mEarliest + stream.mRecords.size());
    for (const auto& it : append.records()) {
      stream.mRecords.push_back(it);
    }
    while (mFaults.mRetention > 0 && stream.mRecords.size() > mFaults.mRetention) {
      stream.mRecords.pop_front();
      ++stream.mEarliest;
    }
    if (mFaults.mLoseAnswers > 0) {
      --mFaults.mLoseAnswers;
      lose = true;
    }
    for (auto it = mWaiters.begin(); it != mWaiters.end();) {
      if (it->mStream == aStream) {
        news.emplace_back(it->mResponder, RecordsFrom(aStream, it->mFrom, it->mMax));
        it = mWaiters.erase(it);
      } else {
        ++it;
      }
    }
  }
  if (lose) {
    aResponder->Abort();
  } else {
    Answer(aResponder, appended.SerializeAsString());
  }
  for (auto& [responder, body] : news) {
    Answer(responder, std::move(body));
  }
}

void
FakeLog::Read(const std::string& aStream,
              const HttpRequest& aRequest,
              const std::shared_ptr<Responder>& aResponder)
{
  const auto from =
    std::strtoull(FirstValue(aRequest.mQuery, "from").value_or("0").c_str(), nullptr, 10);
  const auto max =
    std::strtoull(FirstValue(aRequest.mQuery, "max").value_or("100").c_str(), nullptr, 10);
  const int wait = std::atoi(FirstValue(aRequest.mQuery, "wait_ms").value_or("0").c_str());
  std::string body;
  {
    const std::lock_guard lock(mMutex);
    ++mReads;
    Stream& stream = mStreams[aStream];
    const std::uint64_t end = stream.mEarliest + stream.mRecords.size();
    if (from >= end && wait > 0) {
      const std::uint64_t id = ++mLastWaiter;
      mWaiters.push_back({ aStream, from, max, aResponder, id });
      mTimers.After(std::chrono::milliseconds(wait), [this, id] {
        std::shared_ptr<Responder> responder;
        std::string late;
        {
          const std::lock_guard again(mMutex);
          for (auto it = mWaiters.begin(); it != mWaiters.end(); ++it) {
            if (it->mId == id) {
              responder = it->mResponder;
              late = RecordsFrom(it->mStream, it->mFrom, it->mMax);
              mWaiters.erase(it);
              break;
            }
          }
        }
        if (responder) {
          Answer(responder, std::move(late));
        }
      });
      return;
    }
    body = RecordsFrom(aStream, from, max);
  }
  Answer(aResponder, std::move(body));
}

std::string
FakeLog::RecordsFrom(const std::string& aStream, std::uint64_t aFrom, std::size_t aMax)
{
  const Stream& stream = mStreams[aStream];
  const std::uint64_t end = stream.mEarliest + stream.mRecords.size();
  const std::uint64_t from = std::max(aFrom, stream.mEarliest);
  pepperbay::proto::LogRecords records;
  records.set_first_offset(from);
  records.set_earliest(stream.mEarliest);
  records.set_end(end);
  for (std::uint64_t i = from; i < end && i < from + aMax; ++i) {
    records.add_records(stream.mRecords[i - stream.mEarliest]);
  }
  return records.SerializeAsString();
}

void
FakeLog::Answer(const std::shared_ptr<Responder>& aResponder, std::string aBody)
{
  int slow = 0;
  {
    const std::lock_guard lock(mMutex);
    // An outage that began while a read waited also takes the answer.
    if (mFaults.mHangs || mFaults.mOut) {
      mHeld.push_back(aResponder);
      return;
    }
    slow = mFaults.mSlowMs;
  }
  pepperbay::HttpResponse response;
  response.mContentType = "application/x-protobuf";
  response.mBody = std::move(aBody);
  if (slow == 0) {
    aResponder->Send(std::move(response));
    return;
  }
  mTimers.After(std::chrono::milliseconds(slow),
                [aResponder, response = std::move(response)] { aResponder->Send(response); });
}

} // namespace fakes
