#include "pepperbay/edge/edge_node.hpp"

#include "datagram_socket.hpp"
#include "edge_metrics.hpp"
#include "pepperbay/base/descriptors.hpp"
#include "pepperbay/base/ids.hpp"
#include "pepperbay/http/server.hpp"
#include "pepperbay/log/log.hpp"
#include "pepperbay/relay/relay.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;

namespace {

constexpr int kPermille = 1000;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kUnavailable = 503;
/// The control thread looks at its work this often. A join of a replica takes 200 ms; a tenth of
/// that is lost to looking at most.
constexpr std::chrono::milliseconds kControlTick{ 20 };
/// A round of the control thread that begins later by more than this is logged: peers count on a
/// heartbeat every 200 ms.
constexpr std::chrono::milliseconds kLongControlLag{ 300 };
/// How often the traffic thread tells the control thread what is in progress.
constexpr std::chrono::milliseconds kTellTraffic{ 100 };
constexpr std::chrono::milliseconds kStopMargin{ 800 }; // before the platform would kill
/// Share of the second attempts that nodes spend; the rest covers nodes that miscount each other.
constexpr double kRetryCaution = 0.8;

using Timer = asio::steady_timer;

class EdgeNodeImpl : public EdgeNode
{
public:
  explicit EdgeNodeImpl(EdgeSettings aSettings)
    : mSettings(std::move(aSettings))
    , mControlTimer(mControl)
    , mTrafficTimer(mTraffic)
    , mPeers(mControl)
    , mDesks(mTraffic)
    , mWake(::eventfd(0, EFD_CLOEXEC))
  {
  }

  ~EdgeNodeImpl() override
  {
    mAdmin.reset();
    mMetricsServer.reset();
    mControl.stop();
    mTraffic.stop();
    for (auto* it : { &mControlThread, &mTrafficThread }) {
      if (it->joinable()) {
        it->join();
      }
    }
    mClient.reset();
    ::close(mWake);
  }
  EdgeNodeImpl(const EdgeNodeImpl&) = delete;
  EdgeNodeImpl& operator=(const EdgeNodeImpl&) = delete;

  Result<void> Open(const PlatformLinkFactory& aFactory)
  {
    const auto peers = mPeers.Open("peers.listen", mSettings.mPeers);
    if (!peers.has_value()) {
      return peers.error();
    }
    if (!mSettings.mDesk.empty()) {
      const auto desks = mDesks.Open("desk.listen", mSettings.mDesk);
      if (!desks.has_value()) {
        return desks.error();
      }
    }
    const auto descriptors = RaiseDescriptorLimit();
    if (descriptors.has_value()) {
      mMostCarried = MostCarried(descriptors.value());
      mMostCallers = MaxCallers(descriptors.value());
    } else {
      LogWarning("descriptor_limit_unknown", { { "detail", ToString(descriptors.error()) } });
    }
    mClient = HttpClient::Create();
    mLink = aFactory(mSettings, mClient.get(), [this](std::function<void()> aWork) {
      asio::post(mControl, std::move(aWork));
    });
    auto relay = Relay::Open(mTraffic, MakeRelayOptions(), mLink->CallerDialect(), RelayHooksOf());
    if (!relay.has_value()) {
      return relay.error();
    }
    mRelay = std::move(relay.value());
    mCoordinator = std::make_unique<Coordinator>(MakeCoordinatorOptions(), HooksOf());
    const auto admin = OpenAdmin();
    if (!admin.has_value()) {
      return admin.error();
    }
    mPeers.Receive([this](const std::string& aBytes) { mCoordinator->OnMessage(aBytes); });
    if (!mSettings.mDesk.empty()) {
      mDesks.Receive([this](const std::string& aBytes) { mRelay->OnAllocatorMessage(aBytes); });
    }
    TickControl();
    TellTraffic();
    mControlThread = std::thread([this] { mControl.run(); });
    mTrafficThread = std::thread([this] { mTraffic.run(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void RequestStop() override
  {
    mStopAsked = true;
    Wake();
  }

  void RequestReload() override
  {
    mReloadAsked = true;
    Wake();
  }

  void Apply(const EdgeSettings& aSettings) override
  {
    asio::post(mControl,
               [this, bounds = BoundsOf(WithinOf(aSettings))] { mCoordinator->SetBounds(bounds); });
    asio::post(mTraffic, [this, tuning = TuningOf(aSettings)] { mRelay->Tune(tuning); });
  }

  void Wait(const std::function<void()>& aReload) override
  {
    bool stopping = false;
    for (;;) {
      std::uint64_t count = 0;
      if (::read(mWake, &count, sizeof(count)) < 0) {
        continue; // interrupted by a signal
      }
      if (mReloadAsked.exchange(false)) {
        aReload();
      }
      if (mStopped) {
        return;
      }
      if (mStopAsked && !stopping) {
        stopping = true;
        LogEvent("stopping");
        asio::post(mControl, [this] { mCoordinator->BeginStop(); });
        asio::post(mTraffic, [this] {
          mRelay->BeginStop([this] {
            mStopped = true;
            Wake();
          });
        });
      }
    }
  }

private:
  void Wake()
  {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = ::write(mWake, &one, sizeof(one));
  }

  Result<void> OpenAdmin()
  {
    auto admin = ServeAdmin(mSettings.mAdmin, &mAdmin);
    if (!admin.has_value() || mSettings.mMetrics.empty()) {
      return admin;
    }
    return ServeAdmin(mSettings.mMetrics, &mMetricsServer);
  }

  Result<void> ServeAdmin(const std::string& aAddress, std::unique_ptr<HttpServer>* aServer)
  {
    const auto endpoint = ParseEndpoint(aAddress);
    HttpServerOptions options;
    options.mAddress = endpoint.value().mHost;
    options.mPort = endpoint.value().mPort;
    auto server = HttpServer::Start(
      options, [this](const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder) {
        OnAdmin(aRequest, aResponder);
      });
    if (!server.has_value()) {
      return server.error();
    }
    *aServer = std::move(server.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void OnAdmin(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    if (aRequest.mPath == mSettings.mReadyPath) {
      const bool ready = mReady && !mStopAsked;
      aResponder->Send({ ready ? kOk : kUnavailable, {}, ready ? "{}" : R"({"ready":false})" });
      return;
    }
    if (aRequest.mPath == "/metrics") {
      HttpResponse page;
      page.mContentType = "text/plain";
      {
        const std::lock_guard<std::mutex> lock(mFiguresMutex);
        page.mBody = RenderEdgeMetrics(mFigures);
      }
      aResponder->Send(std::move(page));
      return;
    }
    if (aRequest.mPath == "/state") {
      asio::post(mControl, [this, aResponder] {
        aResponder->Send({ kOk, {}, mCoordinator->Dump() });
      });
      return;
    }
    if (aRequest.mPath == "/release-request") {
      OnReleaseRequest(aRequest, aResponder);
      return;
    }
    aResponder->Send(
      { kNotFound, {}, R"({"error":"allowed: /metrics, /state, POST /release-request?key="})" });
  }

  /// An operator lets a request run again that is held back.
  void OnReleaseRequest(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    if (aRequest.mMethod != "POST") {
      aResponder->Send({ kNotAllowed, { { "Allow", "POST" } }, R"({"error":"allowed: POST"})" });
      return;
    }
    const auto key = ParseRequestKey(FirstValue(aRequest.mQuery, "key").value_or(""));
    if (!key.has_value()) {
      const std::string error = ToString(key.error());
      aResponder->Send({ kBadRequest, {}, error, "text/plain" });
      return;
    }
    asio::post(mControl, [this, aResponder, key = key.value()] {
      const bool known = mCoordinator->Lift(key);
      aResponder->Send({ known ? kOk : kNotFound,
                         {},
                         known ? R"({"released":true})" : R"({"error":"no such request"})" });
    });
  }

  RelayOptions MakeRelayOptions() const
  {
    RelayOptions options;
    options.mCallers = mSettings.mCallers;
    options.mDataCentre = mSettings.mDataCentre;
    options.mNode = mSettings.mName;
    options.mIncarnation = mIncarnation;
    options.mAllocatorAddress = mSettings.mDesk;
    options.mTunnel = mSettings.mTunnel;
    options.mTunnelKey = mTunnelKey;
    options.mMaxTunnelled = mMostCarried;
    options.mGate.mMaxOpen = mMostCallers;
    options.mTuning = TuningOf(mSettings);
    return options;
  }

  static RelayTuning TuningOf(const EdgeSettings& aSettings)
  {
    return { aSettings.mRetryShare * kRetryCaution,
             aSettings.mRetrySlack * kRetryCaution,
             aSettings.mStopWithin - kStopMargin };
  }

  static InForceWithin WithinOf(const EdgeSettings& aSettings)
  {
    return { aSettings.mConfigureWithin, aSettings.mRevokeWithin, aSettings.mLeaveWithin };
  }

  CoordinatorOptions MakeCoordinatorOptions() const
  {
    CoordinatorOptions options;
    options.mNode = mSettings.mName;
    options.mIncarnation = mIncarnation;
    options.mDataCentre = mSettings.mDataCentre;
    options.mAddress = mSettings.mPeers;
    options.mAllocatorAddress = mSettings.mDesk;
    options.mTunnelAddress = mSettings.mTunnel;
    options.mTunnelKey = mTunnelKey;
    options.mCpuPermille = static_cast<int>(mSettings.mCpuCores * kPermille);
    options.mBounds = BoundsOf(WithinOf(mSettings));
    return options;
  }

  RelayHooks RelayHooksOf()
  {
    RelayHooks hooks;
    hooks.mOnSuspect = [this](const std::string& aHead, Duration aSilence) {
      asio::post(mControl, [this, aHead, aSilence] { mCoordinator->OnSuspect(aHead, aSilence); });
    };
    hooks.mOnReachability = [this](bool aReaches) {
      asio::post(mControl, [this, aReaches] { mCoordinator->SetReach(aReaches); });
    };
    hooks.mOnRefused = [this](const std::string& aHead) {
      asio::post(mControl, [this, aHead] { mCoordinator->OnRefused(aHead); });
    };
    hooks.mOnEngineExited = [this](const RequestKey& aRequest, const EngineEnd& aEnd) {
      asio::post(mControl, [this, aRequest, aEnd] { mCoordinator->OnEngineEnded(aRequest, aEnd); });
    };
    hooks.mOnSuspectCompleted = [this](const RequestKey& aRequest) {
      asio::post(mControl, [this, aRequest] { mCoordinator->OnRanToCompletion(aRequest); });
    };
    if (!mSettings.mDesk.empty()) {
      hooks.mSendToAllocator = [this](const std::string& aAddress, const std::string& aBytes) {
        mDesks.Send(aAddress, aBytes);
      };
    }
    hooks.mLog = [](const char* aEvent, const std::map<std::string, std::string>& aFields) {
      LogEvent(aEvent, aFields);
    };
    return hooks;
  }

  CoordinatorHooks HooksOf()
  {
    CoordinatorHooks hooks;
    hooks.mNow = &BootClock::now;
    hooks.mSend = [this](const std::string& aAddress, const std::string& aBytes) {
      mPeers.Send(aAddress, aBytes);
    };
    hooks.mPublish = [this](std::shared_ptr<const TrafficPlan> aPlan) {
      mReady = mCoordinator && mCoordinator->IsReady();
      asio::post(mTraffic,
                 [this, plan = std::move(aPlan)]() mutable { mRelay->SetPlan(std::move(plan)); });
    };
    hooks.mLog = [](const char* aEvent, const std::map<std::string, std::string>& aFields) {
      LogEvent(aEvent, aFields);
    };
    mLink->Connect(&hooks);
    CountCalls(&hooks);
    return hooks;
  }

  /// Questions and orders count against engines' limits like callers' requests.
  void CountCalls(CoordinatorHooks* aHooks)
  {
    const auto count = [this](const std::string& aEngine) {
      if (mHasLimits) {
        asio::post(mTraffic, [this, aEngine] { mRelay->OnCall(aEngine); });
      }
    };
    aHooks->mOrder = [count,
                      order = std::move(aHooks->mOrder)](const GroupOrder& aOrder,
                                                         const EngineCallOptions& aOptions,
                                                         std::function<void(OrderAnswer)> aDone) {
      count(aOrder.mEngine);
      order(aOrder, aOptions, std::move(aDone));
    };
    aHooks->mAsk =
      [count, ask = std::move(aHooks->mAsk)](const EngineRecord& aEngine,
                                             const EngineCallOptions& aOptions,
                                             std::function<void(Result<EngineReport>)> aDone) {
        count(aEngine.mId);
        ask(aEngine, aOptions, std::move(aDone));
      };
  }

  void TickControl()
  {
    mControlTimer.expires_after(kControlTick);
    mControlDue = BootClock::now() + kControlTick;
    mControlTimer.async_wait([this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      NoteControlLag();
      mCoordinator->Tick();
      TickControl();
    });
  }

  void NoteControlLag()
  {
    const Duration lag = BootClock::now() - mControlDue;
    mControlLag.Observe(lag);
    if (lag > kLongControlLag) {
      LogEvent("control_late", { { "late_ms", std::to_string(ToMs(lag).count()) } });
    }
  }

  void TellTraffic()
  {
    mTrafficTimer.expires_after(kTellTraffic);
    mTrafficTimer.async_wait([this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      const bool traffic = mRelay->Counters().mRequests > 0;
      EngineLimits limits = mRelay->Limits();
      mHasLimits = !limits.empty();
      asio::post(
        mControl,
        [this, inFlight = mRelay->InFlight(), limits = std::move(limits), traffic]() mutable {
          mCoordinator->SetInFlight(std::move(inFlight), traffic);
          mCoordinator->SetLimits(std::move(limits));
          const std::lock_guard<std::mutex> lock(mFiguresMutex);
          mFigures.mCoordinator = mCoordinator->Counters();
          mFigures.mControlLag = mControlLag;
          mFigures.mHoldsLease = mCoordinator->HoldsLease();
        });
      {
        const std::lock_guard<std::mutex> lock(mFiguresMutex);
        mFigures.mRelay = mRelay->Counters();
        mFigures.mConfigurationAge = BootClock::now() - mFigures.mRelay.mConfigurationAsOf;
        mFigures.mEngineHeardAge = BootClock::now() - mFigures.mRelay.mEngineHeardAt;
        mFigures.mPlaces = mRelay->Places();
        mFigures.mRetries = mRelay->Retries();
        mFigures.mLinesLeftOut = LinesLeftOut();
      }
      TellTraffic();
    });
  }

  EdgeSettings mSettings;
  asio::io_context mControl{ 1 };
  asio::io_context mTraffic{ 1 };
  Timer mControlTimer;
  TimePoint mControlDue{};      ///< of the next round of the control thread
  LatencyHistogram mControlLag; ///< owned by the control thread
  Timer mTrafficTimer;
  DatagramSocket mPeers;
  DatagramSocket mDesks;
  const std::uint64_t mIncarnation = NewIncarnation(); ///< of this start, for all its messages
  const std::string mTunnelKey = NewAttemptId(); ///< of this start; others read it in the store
  std::size_t mMostCarried = MostCarried(kUsualDescriptors);
  std::size_t mMostCallers = MaxCallers(kUsualDescriptors);
  std::unique_ptr<HttpClient> mClient;
  std::unique_ptr<PlatformLink> mLink;
  std::unique_ptr<Relay> mRelay;
  std::unique_ptr<Coordinator> mCoordinator;
  std::unique_ptr<HttpServer> mAdmin;
  std::unique_ptr<HttpServer> mMetricsServer;
  std::thread mControlThread;
  std::thread mTrafficThread;
  std::mutex mFiguresMutex;
  EdgeFigures mFigures;
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mHasLimits{ false }; ///< of engines, known to the traffic thread
  std::atomic<bool> mStopAsked{ false };
  std::atomic<bool> mReloadAsked{ false };
  std::atomic<bool> mStopped{ false };
  int mWake;
};

} // namespace

Result<std::unique_ptr<EdgeNode>>
EdgeNode::Start(const EdgeSettings& aSettings, const PlatformLinkFactory& aFactory)
{
  auto node = std::make_unique<EdgeNodeImpl>(aSettings);
  const auto opened = node->Open(aFactory);
  if (!opened.has_value()) {
    return opened.error();
  }
  return std::unique_ptr<EdgeNode>(std::move(node));
}

} // namespace pepperbay
