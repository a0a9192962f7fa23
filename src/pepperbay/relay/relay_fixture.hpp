/// @file
/// @brief Test fixture: a relay in front of scripted engines.
#pragma once

#include "fakes/raw_engine.hpp"
#include "fakes/shared_clock.hpp"
#include "pepperbay/relay/relay.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <sstream>

namespace pepperbay {

namespace asio = boost::asio;

using std::chrono::seconds;

/// The headers of an imaginary platform: `Req` is the request id, `Part` a prompt part, `Seal`
/// marks an answer as authentic, `Not-Run` states that the request was not run, and `Limit` is the
/// engine's rate limit in requests per second.
inline Dialect
TestDialect()
{
  Dialect dialect;
  const auto text = [](const HeaderFields& aFields, const char* aName) {
    const auto value = aFields[aName];
    return std::string(value.data(), value.size());
  };
  dialect.mReadRequest = [text](const HeaderFields& aFields) -> Result<RequestMetadata> {
    RequestMetadata metadata;
    metadata.mId = text(aFields, "Req");
    metadata.mModel = text(aFields, "Model");
    metadata.mKey = text(aFields, "Key");
    if (const std::string part = text(aFields, "Part"); !part.empty()) {
      metadata.mPromptParts = { part };
    }
    if (const std::string left = text(aFields, "Left-Ms"); !left.empty()) {
      metadata.mDeadline = std::chrono::milliseconds(std::stoi(left));
    }
    if (!text(aFields, "Bad").empty()) {
      return Error{ Errc::kInvalid, "request.decode", "caller", "bad" };
    }
    return metadata;
  };
  dialect.mStampRequest = [](const RequestStamp& aStamp, HeaderFields* aFields) {
    aFields->erase("Key");
    aFields->set("Engine", aStamp.mEngine);
    aFields->set("Customer", aStamp.mCustomer);
    aFields->set("Left-Ms", std::to_string(ToMs(aStamp.mDeadline).count()));
    if (aStamp.mLastEvent) {
      aFields->set("Last", std::to_string(*aStamp.mLastEvent));
    }
  };
  dialect.mReadAnswer = [text](int /*aStatus*/, const HeaderFields& aFields) {
    AnswerMetadata metadata;
    metadata.mSealed = !text(aFields, "Seal").empty();
    metadata.mNotRun = !text(aFields, "Not-Run").empty();
    metadata.mRequestId = text(aFields, "Req");
    const std::string limit = text(aFields, "Limit");
    metadata.mBadLimit = limit == "bad";
    if (!limit.empty() && !metadata.mBadLimit) {
      metadata.mLimit = std::stod(limit);
    }
    return metadata;
  };
  return dialect;
}

inline Route
MakeRoute(const std::string& aPrefix, RequestKind aKind, const std::string& aService)
{
  Route route;
  route.mName = aPrefix;
  route.mHost = "h";
  route.mPathPrefix = aPrefix;
  route.mKind = aKind;
  route.mResumable = aKind == RequestKind::kStream;
  route.mMaxAttempts = aKind == RequestKind::kUnrepeatable ? 1 : 2;
  route.mTimeout = seconds(20);
  route.mObjective = seconds(20); // slow requests are not hedged in these tests
  route.mSplit = { { aService, 1.0 } };
  return route;
}

/// Runs a relay on its own thread in front of the engines of a test.
class RelayTest : public testing::Test
{
protected:
  void Serve(const std::vector<RawEngine*>& aEngines, RelayOptions aOptions = {})
  {
    aOptions.mCallers = FreeAddress();
    aOptions.mMaxSilence = seconds(20);
    mAddress = aOptions.mCallers;
    RelayHooks hooks;
    hooks.mOnSuspect = [this](const std::string&, Duration) { ++mSilenceReports; };
    hooks.mOnEngineExited = [this](const RequestKey& aRequest, const EngineEnd& aEnd) {
      const std::lock_guard<std::mutex> lock(mRecordsMutex);
      mExits.push_back({ aRequest, aEnd });
      mRecordsChanged.notify_all();
    };
    hooks.mOnRefused = [this](const std::string&) { ++mRefusalReports; };
    hooks.mLog = [this](const char* aEvent, const std::map<std::string, std::string>& aFields) {
      const std::lock_guard<std::mutex> lock(mRecordsMutex);
      mLogLines.push_back({ aEvent, aFields });
      mRecordsChanged.notify_all();
    };
    hooks.mOnReachability = [this](bool aReachable) { mDirectPathUp = aReachable; };
    hooks.mOnSuspectCompleted = [this](const RequestKey&) { ++mCompletedSuspects; };
    hooks.mSendToAllocator = [this](const std::string&, const std::string& aBytes) {
      const std::lock_guard<std::mutex> lock(mRecordsMutex);
      mSentToAllocators.push_back(aBytes);
    };
    auto relay = Relay::Open(mContext, aOptions, TestDialect(), std::move(hooks));
    ASSERT_TRUE(relay.has_value()) << ToString(relay.error());
    mRelay = std::move(relay.value());
    Configuration configuration;
    configuration.mVersion = 1;
    configuration.mRoutes = { MakeRoute("/safe/", RequestKind::kSafe, "plain"),
                              MakeRoute("/once/", RequestKind::kUnrepeatable, "plain"),
                              MakeRoute("/stream/", RequestKind::kStream, "pool") };
    configuration.mRoutes.back().mMaxAttempts = mStreamAttempts;
    for (auto& it : configuration.mRoutes) {
      it.mPublic = it.mName != "/once/";
    }
    ServiceSpec plain;
    plain.mName = "plain";
    ServiceSpec pool;
    pool.mName = "pool";
    pool.mPool.emplace();
    pool.mPool->mSlots = 8;
    configuration.mServices = { plain, pool };
    configuration.mCustomers = { { "school", { "k1" }, {} } };
    configuration.mLimits.mBodyBytes = 1000;
    mPlan.mComplete = true;
    mPlan.mRoutes = std::make_shared<RouteTable>(std::move(configuration));
    mPlan.mKeysValidUntil = BootClock::now() + std::chrono::hours(1);
    mPlan.mMissesValidUntil = mPlan.mKeysValidUntil;
    int n = 0;
    for (const auto* it : aEngines) {
      const std::string id = "e" + std::to_string(n++);
      const EngineTarget target{ id, it->Address(), "" };
      mPlan.mEngines["plain"].push_back(target);
      PoolReplica replica;
      replica.mGroup = "r" + id;
      replica.mModel = "m";
      replica.mHead = target;
      mPlan.mReplicas["pool"].push_back(replica);
    }
    if (mPublishAtOnce) {
      Publish();
    }
    mThread = std::thread([this] { mContext.run(); });
  }

  void Publish()
  {
    asio::post(mContext,
               [this, plan = std::make_shared<TrafficPlan>(mPlan)] { mRelay->SetPlan(plan); });
  }

  RelayCounters Counters()
  {
    std::promise<RelayCounters> promise;
    asio::post(mContext, [&] { promise.set_value(mRelay->Counters()); });
    return promise.get_future().get();
  }

  void TearDown() override
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
    mRelay.reset();
  }

  int Connect() const
  {
    const int socket = ConnectTo(mAddress);
    EXPECT_GE(socket, 0);
    return socket;
  }

  /// Sends one request and reads until the relay closes the connection.
  std::string Ask(const std::string& aRequest) const
  {
    const int socket = Connect();
    RawConnection connection(socket);
    connection.Write(aRequest);
    std::string answer = connection.ReadToEnd();
    ::close(socket);
    return answer;
  }

  static std::string Get(const std::string& aPath, const std::string& aHeaders = "")
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\nReq: q1\r\nConnection: close\r\n" + aHeaders +
           "\r\n";
  }

  static std::string Post(const std::string& aPath,
                          const std::string& aBody,
                          const std::string& aHeaders = "")
  {
    return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nReq: q1\r\nConnection: close\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork{ mContext.get_executor() };
  TrafficPlan mPlan;
  bool mPublishAtOnce = true;
  /// An engine exit, and a request that was at the engine.
  struct RecordedExit
  {
    RequestKey mRequest;
    EngineEnd mEnd;
  };

  /// One line of the relay's log.
  struct LogLine
  {
    std::string mEvent;
    std::map<std::string, std::string> mFields;
  };

  /// Waits for a log line of an event.
  /// @return the fields of the first such line
  std::map<std::string, std::string> AwaitLogLine(const std::string& aEvent)
  {
    std::unique_lock<std::mutex> lock(mRecordsMutex);
    const auto find = [&] {
      return std::find_if(
        mLogLines.begin(), mLogLines.end(), [&](const auto& aIt) { return aIt.mEvent == aEvent; });
    };
    mRecordsChanged.wait(lock, [&] { return find() != mLogLines.end(); });
    return find()->mFields;
  }

  std::mutex mRecordsMutex;
  std::condition_variable mRecordsChanged;
  std::vector<RecordedExit> mExits;
  int mStreamAttempts = 2; ///< maximum number of engines a stream is sent to
  std::vector<LogLine> mLogLines;
  std::vector<std::string> mSentToAllocators; ///< serialized messages, in order
  std::atomic<bool> mDirectPathUp{ true };    ///< last reported state of the direct path
  std::atomic<int> mCompletedSuspects{ 0 };   ///< suspect requests reported as completed
  std::atomic<int> mRefusalReports{ 0 };      ///< heads reported as refusing
  std::atomic<int> mSilenceReports{ 0 };      ///< heads reported as silent
  std::unique_ptr<Relay> mRelay;
  std::string mAddress;
  std::thread mThread;
};

inline constexpr const char* kHead = "HTTP/1.1 200 OK\r\nReq: q1\r\nSeal: s\r\n";

inline bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

inline int
StatusOf(const std::string& aAnswer)
{
  return aAnswer.size() < 12 ? 0 : std::stoi(aAnswer.substr(9, 3));
}

} // namespace pepperbay
