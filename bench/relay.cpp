/// @file
/// @brief What passing a streamed answer on costs: time to the first event and processor time.
///
/// The same callers ask the same stand-in engine on loopback in three ways: directly, through the
/// product's relay (Boost.Asio and Beast), and through the server and client that the control plane
/// uses (libmicrohttpd and libcurl). The engine answers at once, so that what is added shows.

#include "pepperbay/relay/relay.hpp"
#include "fakes/raw_engine.hpp"
#include "pepperbay/http/client.hpp"
#include "pepperbay/http/server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <cstdio>
#include <ctime>
#include <future>

ABSL_FLAG(int, requests, 4000, "of each way and number of callers");
ABSL_FLAG(int, rounds, 3, "the ways take turns, so that other load on the machine meets all");

namespace {

using namespace pepperbay; // NOLINT: a small program

constexpr const char* kAnswer =
  "HTTP/1.1 200 OK\r\nReq: q1\r\nSeal: s\r\nKeep-Alive: timeout=60\r\n"
  "Content-Type: text/event-stream\r\n"
  "Transfer-Encoding: chunked\r\n\r\n"
  "15\r\nid: 1\ndata: a token\n\n\r\n"
  "15\r\nid: 2\ndata: a token\n\n\r\n"
  "0\r\n\r\n";
constexpr const char* kBody = "a prompt of some kilobytes";
constexpr int kRelayPort = 18431;
constexpr int kHousePort = 18432;

struct Sample
{
  std::vector<double> mFirstEventMs;
  double mProcessorUs = 0; ///< of the whole process, callers and engine included, a request
};

double
ProcessorSeconds()
{
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Ask `aCount` times over one kept connection. @return milliseconds to each first event
std::vector<double>
Ask(const std::string& aAddress, int aCount)
{
  const std::size_t colon = aAddress.find(':');
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    std::perror("connect");
    std::exit(1);
  }
  RawConnection connection(socket);
  std::string body;
  while (body.size() < 4096) {
    body += kBody;
  }
  const std::string request = "POST /stream/ HTTP/1.1\r\nHost: h\r\nReq: q1\r\nModel: m\r\n"
                              "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  std::vector<double> times;
  for (int i = 0; i < aCount; ++i) {
    const TimePoint sent = BootClock::now();
    connection.Write(request);
    if (!connection.ReadUntil("data: a token\n\n")) {
      std::fprintf(stderr, "%s: the connection ended\n", aAddress.c_str());
      std::exit(1);
    }
    times.push_back(std::chrono::duration<double, std::milli>(BootClock::now() - sent).count());
    connection.ReadUntil("0\r\n\r\n");
  }
  ::close(socket);
  return times;
}

Sample
Measure(const std::string& aAddress, int aCallers)
{
  const int each = absl::GetFlag(FLAGS_requests) / aCallers;
  Ask(aAddress, each / 10); // warm
  const double before = ProcessorSeconds();
  std::vector<std::future<std::vector<double>>> callers;
  for (int i = 0; i < aCallers; ++i) {
    callers.push_back(std::async(std::launch::async, [&] { return Ask(aAddress, each); }));
  }
  Sample sample;
  for (auto& it : callers) {
    const auto times = it.get();
    sample.mFirstEventMs.insert(sample.mFirstEventMs.end(), times.begin(), times.end());
  }
  sample.mProcessorUs = (ProcessorSeconds() - before) * 1e6 / (each * aCallers);
  std::sort(sample.mFirstEventMs.begin(), sample.mFirstEventMs.end());
  return sample;
}

double
Quantile(const Sample& aSample, double aShare)
{
  const auto last = static_cast<double>(aSample.mFirstEventMs.size() - 1);
  return aSample.mFirstEventMs[static_cast<std::size_t>(aShare * last)];
}

Dialect
PlainDialect()
{
  Dialect dialect;
  dialect.mReadRequest = [](const HeaderFields& aFields) -> Result<RequestMetadata> {
    RequestMetadata metadata;
    metadata.mId = std::string(aFields["Req"].data(), aFields["Req"].size());
    metadata.mModel = "m";
    return metadata;
  };
  dialect.mStampRequest = [](const RequestStamp& aStamp, HeaderFields* aFields) {
    aFields->set("Engine", aStamp.mEngine);
  };
  dialect.mReadAnswer = [](int, const HeaderFields&) {
    AnswerMetadata metadata;
    metadata.mSealed = true;
    metadata.mKeepAlive = std::chrono::seconds(60);
    return metadata;
  };
  return dialect;
}

std::shared_ptr<const TrafficPlan>
PlanFor(const std::string& aEngine)
{
  Route route;
  route.mName = "stream";
  route.mHost = "h";
  route.mPathPrefix = "/stream/";
  route.mKind = RequestKind::kStream;
  route.mResumable = true;
  route.mPublic = true;
  route.mTimeout = std::chrono::seconds(20);
  route.mObjective = std::chrono::seconds(20);
  route.mSplit = { { "pool", 1.0 } };
  ServiceSpec pool;
  pool.mName = "pool";
  pool.mPool.emplace();
  pool.mPool->mSlots = 1000;
  Configuration configuration;
  configuration.mVersion = 1;
  configuration.mRoutes = { route };
  configuration.mServices = { pool };
  auto plan = std::make_shared<TrafficPlan>();
  plan->mComplete = true;
  plan->mRoutes = std::make_shared<RouteTable>(std::move(configuration));
  PoolReplica replica;
  replica.mGroup = "r";
  replica.mModel = "m";
  replica.mHead = { "e0", aEngine, "" };
  plan->mReplicas["pool"] = { replica };
  return plan;
}

/// The relay on a thread of its own.
class RelayWay
{
public:
  explicit RelayWay(const std::string& aEngine)
  {
    RelayOptions options;
    options.mCallers = Address();
    options.mMaxSilence = std::chrono::seconds(20);
    RelayHooks hooks;
    hooks.mOnSuspect = [](const std::string&, Duration) {};
    auto relay = Relay::Open(mContext, options, PlainDialect(), std::move(hooks));
    if (!relay.has_value()) {
      std::fprintf(stderr, "%s\n", ToString(relay.error()).c_str());
      std::exit(1);
    }
    mRelay = std::move(relay.value());
    mRelay->SetPlan(PlanFor(aEngine));
    mThread = std::thread([this] { mContext.run(); });
  }
  ~RelayWay()
  {
    mContext.stop();
    mThread.join();
  }
  static std::string Address() { return "127.0.0.1:" + std::to_string(kRelayPort); }

private:
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork{
    mContext.get_executor()
  };
  std::unique_ptr<Relay> mRelay;
  std::thread mThread;
};

/// The least that a proxy of libmicrohttpd and libcurl does: no route, no check of the answer.
class HouseWay
{
public:
  explicit HouseWay(std::string aEngine)
    : mEngine(std::move(aEngine))
    , mClient(HttpClient::Create())
  {
    HttpServerOptions options;
    options.mPort = kHousePort;
    auto server = HttpServer::Start(
      options, [this](const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder) {
        Pass(aRequest, aResponder);
      });
    if (!server.has_value()) {
      std::fprintf(stderr, "%s\n", ToString(server.error()).c_str());
      std::exit(1);
    }
    mServer = std::move(server.value());
  }
  static std::string Address() { return "127.0.0.1:" + std::to_string(kHousePort); }

private:
  void Pass(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
  {
    HttpCall call;
    call.mMethod = aRequest.mMethod;
    call.mUrl = "http://" + mEngine + aRequest.mPath;
    call.mBody = aRequest.mBody;
    HttpEvents events;
    events.mOnHead = [aResponder](int aStatus, const std::vector<HttpHeader>&) {
      aResponder->StartStream({ aStatus, {}, "", "text/event-stream" });
    };
    events.mOnBody = [aResponder](std::string_view aBytes) { return aResponder->Write(aBytes); };
    events.mOnDone = [aResponder](const HttpOutcome&) { aResponder->End(); };
    mClient->Start(std::move(call), std::move(events));
  }

  std::string mEngine;
  std::unique_ptr<HttpClient> mClient;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace

int
main(int aCount, char** aWords)
{
  absl::ParseCommandLine(aCount, aWords);
  RawEngine engine([](RawConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(kAnswer);
    }
  });
  const RelayWay relay(engine.Address());
  const HouseWay house(engine.Address());
  std::printf(
    "%-24s %7s %8s %8s %8s %10s\n", "way", "callers", "p50 ms", "p99 ms", "added", "cpu us");
  for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
    for (const int callers : { 1, 16 }) {
      double direct = 0;
      for (const auto& [name, address] : std::vector<std::pair<const char*, std::string>>{
             { "direct", engine.Address() },
             { "relay", RelayWay::Address() },
             { "microhttpd and curl", HouseWay::Address() } }) {
        const Sample sample = Measure(address, callers);
        const double median = Quantile(sample, 0.5);
        direct = direct == 0 ? median : direct;
        std::printf("%-24s %7d %8.3f %8.3f %8.3f %10.1f\n",
                    name,
                    callers,
                    median,
                    Quantile(sample, 0.99),
                    median - direct,
                    sample.mProcessorUs);
      }
    }
  }
}
