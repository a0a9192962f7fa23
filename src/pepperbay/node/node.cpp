#include "pepperbay/node/node.hpp"

#include "pepperbay/base/ids.hpp"
#include "pepperbay/control/controller.hpp"
#include "pepperbay/gateway/gateway.hpp"
#include "pepperbay/log/log.hpp"
#include "pepperbay/node/metrics.hpp"
#include "pepperbay/node/platform.hpp"
#include "pepperbay/node/publish_file.hpp"
#include "pepperbay/wire/codec.hpp"
#include "pepperbay/wire/peer_link.hpp"

#include <algorithm>
#include <atomic>
#include <ctime>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

namespace pepperbay {
namespace {

/// What operators and other programs wrote may be no text, and the library throws on that.
std::string
ToText(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr Duration kLongestDumpWait = std::chrono::seconds(30);
constexpr Duration kLastAppends = std::chrono::seconds(2);
/// A stop waits so long for requests of which only a part has come.
constexpr Duration kStillComing = std::chrono::seconds(2);
/// A caller that goes on asking sends its next request within this after an answer.
constexpr Duration kNextRequest = std::chrono::milliseconds(250);

double
ThreadCpuSeconds()
{
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  constexpr double kNano = 1e-9;
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * kNano;
}

/// An operator that waits for the dump to change.
struct DumpWaiter
{
  std::uint64_t mAfter = 0;
  TimePoint mUntil{};
  std::shared_ptr<Responder> mResponder;
};

class NodeImpl : public Node
{
public:
  explicit NodeImpl(const Settings& aSettings)
    : mSettings(aSettings)
    , mControlClient(HttpClient::Create(ClientOptions(aSettings)))
    , mPlatform(aSettings.mPlatform, mControlClient.get())
    , mGateway(std::make_unique<Gateway>(aSettings, &BootClock::now, MakeClaimHooks()))
    , mWakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  {
  }

  ~NodeImpl() override
  {
    RequestStop();
    if (mThread.joinable()) {
      mThread.join();
    }
    // Answers of calls in progress are posted to this object; end the calls first.
    mCallers.reset();
    mAdmin.reset();
    mGateway.reset();
    mControlClient.reset();
    ::close(mWakeFd);
  }
  NodeImpl(const NodeImpl&) = delete;
  NodeImpl& operator=(const NodeImpl&) = delete;

  Result<void> Open()
  {
    PeerLinkOptions link;
    link.mAddress = mSettings.mPlace.mPeers;
    link.mSource = mSettings.mPlace.mSource;
    auto opened = PeerLink::Open(link);
    if (!opened.has_value()) {
      return opened.error();
    }
    mLink = std::move(opened.value());
    mController = std::make_unique<Controller>(mSettings, NewIncarnation(), MakeHooks());
    auto admin = Listen(mSettings.mPlace.mAdmin,
                        1,
                        [this](HttpRequest aRequest, const std::shared_ptr<Responder>& aResponder) {
                          OnAdmin(std::move(aRequest), aResponder);
                        });
    if (!admin.has_value()) {
      return admin.error();
    }
    mAdmin = std::move(admin.value());
    auto callers =
      Listen(mSettings.mPlace.mCallers,
             mSettings.mRequests.mThreads,
             [this](HttpRequest aRequest, const std::shared_ptr<Responder>& aResponder) {
               mGateway->Handle(std::move(aRequest), aResponder);
             });
    if (!callers.has_value()) {
      return callers.error();
    }
    mCallers = std::move(callers.value());
    mThread = std::thread([this] { ControlLoop(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void RequestStop() override
  {
    mStopRequested = true;
    WakeControl();
  }

  void Wait() override
  {
    if (mThread.joinable()) {
      mThread.join();
    }
  }

private:
  static HttpClientOptions ClientOptions(const Settings& aSettings)
  {
    HttpClientOptions options;
    options.mSource = aSettings.mPlace.mSource;
    return options;
  }

  Result<std::unique_ptr<HttpServer>> Listen(const std::string& aAddress,
                                             int aThreads,
                                             HttpHandler aHandler) const
  {
    const auto endpoint = ParseEndpoint(aAddress);
    if (!endpoint.has_value()) {
      return endpoint.error();
    }
    HttpServerOptions options;
    options.mAddress = endpoint.value().mHost;
    options.mPort = endpoint.value().mPort;
    options.mThreads = aThreads;
    options.mMaxBody = static_cast<std::size_t>(mSettings.mRequests.mMaxBody);
    return HttpServer::Start(options, std::move(aHandler));
  }

  // ---- Towards the control thread ----

  void WakeControl() const
  {
    const std::uint64_t one = 1;
    (void)!::write(mWakeFd, &one, sizeof one);
  }

  void Post(std::function<void()> aTask)
  {
    {
      const std::lock_guard lock(mTasksMutex);
      mTasks.push_back(std::move(aTask));
    }
    WakeControl();
  }

  /// @return a callback that carries an answer to the control thread.
  template<class Answer>
  std::function<void(Answer)> Posted(std::function<void(Answer)> aDone)
  {
    return [this, done = std::move(aDone)](Answer aAnswer) {
      Post([done, answer = std::move(aAnswer)]() mutable { done(std::move(answer)); });
    };
  }

  ClaimHooks MakeClaimHooks()
  {
    ClaimHooks hooks;
    hooks.mClaim = [this](const KeyClaim& aClaim,
                          std::function<void(const proto::ClaimAnswer&)> aDone) {
      Post([this, aClaim, done = std::move(aDone)] { mController->Claim(aClaim, done); });
    };
    hooks.mReport = [this](const std::string& aKey,
                           const std::string& aClaimId,
                           const proto::KeptAnswer& aAnswer) {
      Post([this, aKey, aClaimId, aAnswer] { mController->ReportAnswer(aKey, aClaimId, aAnswer); });
    };
    hooks.mAbandon = [this](const std::string& aKey, const std::string& aClaimId) {
      Post([this, aKey, aClaimId] { mController->AbandonClaim(aKey, aClaimId); });
    };
    return hooks;
  }

  ControllerHooks MakeHooks()
  {
    ControllerHooks hooks;
    hooks.mNow = &BootClock::now;
    hooks.mSend = [this](const std::string& aAddress, const proto::Envelope& aEnvelope) {
      const Delivery delivery =
        aEnvelope.has_heartbeat() ? Delivery::kMayBeLost : Delivery::kQueued;
      mLink->Send(aAddress, EncodeEnvelope(aEnvelope), delivery);
    };
    hooks.mAppend = [this](const std::vector<std::string>& aRecords,
                           std::function<void(bool)> aDone) {
      auto posted = Posted<bool>(std::move(aDone));
      mPlatform.Append(
        mSettings.mPlatform.mStream, aRecords, [posted](const Result<std::uint64_t>& aOffset) {
          posted(aOffset.has_value());
        });
    };
    hooks.mRead = [this](const LogRead& aRead,
                         std::function<void(Result<proto::LogRecords>)> aDone) {
      mPlatform.Read(mSettings.mPlatform.mStream,
                     aRead,
                     mSettings.mPlatform.mReadWait,
                     Posted<Result<proto::LogRecords>>(std::move(aDone)));
    };
    hooks.mAppendClaims = [this](const std::string& aStream,
                                 const std::vector<std::string>& aRecords,
                                 std::function<void(Result<std::uint64_t>)> aDone) {
      mPlatform.Append(aStream, aRecords, Posted<Result<std::uint64_t>>(std::move(aDone)));
    };
    hooks.mReadClaims = [this](const std::string& aStream,
                               const LogRead& aRead,
                               std::function<void(Result<proto::LogRecords>)> aDone) {
      mPlatform.Read(
        aStream, aRead, Duration::zero(), Posted<Result<proto::LogRecords>>(std::move(aDone)));
    };
    hooks.mListHosts = [this](std::function<void(Result<std::vector<HostListing>>)> aDone) {
      mPlatform.ListHosts(mSettings.mPlace.mDataCentre,
                          Posted<Result<std::vector<HostListing>>>(std::move(aDone)));
    };
    hooks.mProbe = [this](const std::string& aAddress,
                          std::function<void(Result<proto::Evidence>)> aDone) {
      mPlatform.Probe(aAddress,
                      mSettings.mControl.mProbeTimeout,
                      Posted<Result<proto::Evidence>>(std::move(aDone)));
    };
    hooks.mOrder =
      [this](const HostOrder& aOrder, Duration aTimeout, std::function<void(Result<void>)> aDone) {
        mPlatform.Order(aOrder, aTimeout, Posted<Result<void>>(std::move(aDone)));
      };
    hooks.mPublishView = [this](std::shared_ptr<const TrafficView> aView) {
      mGateway->SetView(std::move(aView));
    };
    hooks.mTraffic = [this] { return mGateway->Report(); };
    return hooks;
  }

  // ---- The control thread ----

  void ControlLoop()
  {
    pthread_setname_np(pthread_self(), "control");
    LogEvent("node.started",
             { { "callers", mSettings.mPlace.mCallers }, { "admin", mSettings.mPlace.mAdmin } });
    TimePoint nextTick = BootClock::now();
    TimePoint stopAt = TimePoint::max();
    while (!Stopped(&stopAt)) {
      const TimePoint now = BootClock::now();
      if (now >= nextTick) {
        mController->Tick();
        nextTick = now + mSettings.mControl.mTick;
        AnswerDumpWaiters(now);
      }
      mLink->Poll(mWakeFd,
                  std::max(nextTick - BootClock::now(), Duration::zero()) +
                    std::chrono::milliseconds(1),
                  [this](std::string_view aBytes) { mController->OnMessage(aBytes); });
      RunTasks();
    }
    for (const auto& it : mDumpWaiters) {
      it.mResponder->Send({ kOk, {}, mController->Dump() });
    }
    mDumpWaiters.clear();
    LogEvent("node.stopped");
  }

  /// Readiness fails first and the balancer gets time; then accepted requests end.
  bool Stopped(TimePoint* aStopAt)
  {
    if (!mStopRequested) {
      return false;
    }
    const TimePoint now = BootClock::now();
    if (*aStopAt == TimePoint::max()) {
      mController->BeginStop();
      mCallers->BeginClosing();
      *aStopAt = now + mSettings.mControl.mDrainGrace;
      mStopLatest = now + mSettings.mControl.mDrainGrace + mSettings.mRequests.mLongestDeadline;
    }
    const bool settled = !mController->HasRecordsWaiting() || now > *aStopAt + kLastAppends;
    const bool left = HaveLeft(now, *aStopAt);
    return (now >= *aStopAt && left && settled) || now >= mStopLatest;
  }

  /// @return whether callers have left, so that nobody loses a request.
  bool HaveLeft(TimePoint aNow, TimePoint aStopAt)
  {
    const std::size_t working = mGateway->Counters().mOpen.load() + mCallers->Unsent();
    // A request that is still coming is none of the gateway's; its caller may never finish it.
    const bool comes = mCallers->Open() > 0 && aNow < aStopAt + kStillComing;
    if (working > 0 || comes) {
      mBusyAt = aNow;
    }
    // Whoever had an answer under way when the stop began was not told to close, and sends its next
    // request on the same connection.
    return mCallers->Connections() == 0 || aNow >= mBusyAt + kNextRequest;
  }

  void RunTasks()
  {
    std::uint64_t count = 0;
    (void)!::read(mWakeFd, &count, sizeof count);
    std::deque<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mTasksMutex);
      tasks.swap(mTasks);
    }
    for (const auto& it : tasks) {
      it();
    }
  }

  void AnswerDumpWaiters(TimePoint aNow)
  {
    for (auto it = mDumpWaiters.begin(); it != mDumpWaiters.end();) {
      if (mController->Revision() > it->mAfter || aNow >= it->mUntil) {
        it->mResponder->Send({ kOk, {}, mController->Dump() });
        it = mDumpWaiters.erase(it);
      } else {
        ++it;
      }
    }
  }

  // ---- Operators ----

  void OnAdmin(HttpRequest aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    if (aRequest.mPath == "/healthz") {
      aResponder->Send({ kOk, {}, R"({"alive":true})" });
      return;
    }
    auto request = std::make_shared<HttpRequest>(std::move(aRequest));
    Post([this, request, aResponder] { OnAdminControl(*request, aResponder); });
  }

  /// On the control thread, which owns what operators ask about.
  void OnAdminControl(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    if (aRequest.mPath == "/dump") {
      OnDump(aRequest, aResponder);
    } else if (aRequest.mPath == "/metrics") {
      HttpResponse response;
      response.mContentType = "text/plain; version=0.0.4";
      response.mBody = RenderMetrics(mController->Counters(),
                                     mLink->Counters(),
                                     mGateway->Counters(),
                                     mController->HoldsLease(),
                                     mController->Folded().Next(),
                                     mControlClient->Counters(),
                                     ThreadCpuSeconds());
      aResponder->Send(std::move(response));
    } else if (aRequest.mPath == "/publish" && aRequest.mMethod == "POST") {
      OnPublish(aRequest, aResponder);
    } else if (aRequest.mPath == "/stop-host" && aRequest.mMethod == "POST") {
      OnStopHost(aRequest, aResponder);
    } else {
      aResponder->Send({ kNotFound, {}, R"({"error":"no such page; see docs/OPERATING.md"})" });
    }
  }

  void OnDump(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    const auto after = FirstValue(aRequest.mQuery, "after");
    if (!after) {
      aResponder->Send({ kOk, {}, mController->Dump() });
      return;
    }
    DumpWaiter waiter;
    waiter.mAfter = std::strtoull(after->c_str(), nullptr, 10);
    const auto wait = FirstValue(aRequest.mQuery, "wait_ms").value_or("30000");
    const std::chrono::milliseconds most(std::strtoll(wait.c_str(), nullptr, 10));
    waiter.mUntil =
      BootClock::now() + std::clamp<Duration>(most, Duration::zero(), kLongestDumpWait);
    waiter.mResponder = aResponder;
    mDumpWaiters.push_back(std::move(waiter));
  }

  void OnPublish(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    PublishFile file = ParsePublishFile("request", aRequest.mBody);
    if (!file.mProblems.empty()) {
      Json json;
      for (const auto& it : file.mProblems) {
        json["problems"].push_back(ToString(it));
      }
      aResponder->Send({ kBadRequest, {}, ToText(json) });
      return;
    }
    mController->Publish(std::move(file.mItems),
                         [aResponder](const std::vector<PublishOutcome>& aOutcomes) {
                           Json json = Json::array();
                           for (const auto& it : aOutcomes) {
                             json.push_back({ { "key", it.mKey },
                                              { "outcome", it.mOutcome },
                                              { "version", it.mVersion },
                                              { "offset", it.mOffset },
                                              { "reason", it.mReason } });
                           }
                           aResponder->Send({ kOk, {}, ToText(json) });
                         });
  }

  void OnStopHost(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    const std::string host = FirstValue(aRequest.mQuery, "host").value_or("");
    mController->StopHost(host, [aResponder, host](const Result<void>& aDone) {
      if (aDone.has_value()) {
        aResponder->Send({ kOk, {}, ToText({ { "host", host }, { "announced", true } }) });
        return;
      }
      const int status = aDone.error().mCode == Errc::kNotFound ? kNotFound : kUnavailable;
      aResponder->Send({ status, {}, ToText({ { "error", ToString(aDone.error()) } }) });
    });
  }

  Settings mSettings;
  std::unique_ptr<HttpClient> mControlClient;
  Platform mPlatform;
  std::unique_ptr<Gateway> mGateway;
  int mWakeFd;
  std::unique_ptr<PeerLink> mLink;
  std::unique_ptr<Controller> mController;
  std::unique_ptr<HttpServer> mAdmin;
  std::unique_ptr<HttpServer> mCallers;
  std::thread mThread;
  std::atomic<bool> mStopRequested{ false };
  TimePoint mStopLatest = TimePoint::max();
  TimePoint mBusyAt{}; ///< a caller's request was last in progress, as a stop sees it
  std::mutex mTasksMutex;
  std::deque<std::function<void()>> mTasks;
  std::vector<DumpWaiter> mDumpWaiters;
};

} // namespace

Result<std::unique_ptr<Node>>
Node::Start(const Settings& aSettings)
{
  auto node = std::make_unique<NodeImpl>(aSettings);
  auto opened = node->Open();
  if (!opened.has_value()) {
    return opened.error();
  }
  return std::unique_ptr<Node>(std::move(node));
}

} // namespace pepperbay
