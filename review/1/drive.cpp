/// @file
/// @brief Open connections to the store go silent; meanwhile an engine leaves without reporting
/// that it drains. When do the nodes stop sending to it?

#include "review/stand_ins/stand_ins.hpp"

namespace {

using namespace review; // NOLINT: a program of one file

constexpr double kStabilityMs = 3000;
constexpr double kDrainMs = 2000;

const char* const kConfiguration = R"({"version":3,"routes":[{"name":"stock","host":"k.example",
 "path_prefix":"/stock/","route_kind":"safe","timeout_ms":2500,"target_latency_ms":150,
 "max_attempts":2,"priority":0,"public":true,"service":"desk"}],
 "services":[{"name":"desk","health_path":"/health","max_connections":52}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
 "idle_timeout_ms":20000}})";

std::mutex gMutex;
std::map<std::string, Sent> gSent; ///< by request
std::atomic<bool> gStop{ false };
std::atomic<int> gServed{ 0 };

/// A client: one request after the other on a kept connection.
void
Call(const NodeAddresses& aNode, Record* aRecord)
{
  int socket = -1;
  std::unique_ptr<Reader> reader;
  for (int n = 0; !gStop; ++n) {
    if (socket < 0) {
      socket = Dial(aNode.mIp, aNode.mPort);
      reader = std::make_unique<Reader>(socket);
    }
    const std::string id = aNode.mName + "-" + std::to_string(n);
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      gSent[id] = { NowMs(), aNode.mName };
    }
    Message answer;
    const bool answered =
      socket >= 0 &&
      SendAll(socket,
              "GET /stock/a HTTP/1.1\r\nHost: k.example\r\nX-Pepperbay-Request-Id: " + id +
                "\r\nX-Pepperbay-Deadline-Ms: 2500\r\n\r\n") &&
      reader->Read(&answer, 2500) && answer.mComplete;
    aRecord->Line("client got " + std::to_string(answer.Status()) + " for " + id + " " +
                  answer.mBody);
    gServed += answer.Status() == 200 ? 1 : 0;
    if (!answered || answer.Header("connection") == "close") {
      ::close(socket);
      socket = -1;
    }
    SleepMs(15);
  }
}

} // namespace

/// @param aArguments the program, a folder for temporary files, the record's file
int
main(int /*aCount*/, char** aArguments)
{
  NowMs();
  const bool trouble = Trouble();
  const std::string folder = aArguments[2];
  Record record(aArguments[3]);
  const int base = BasePort();
  Store store("127.0.0.2", base);
  store.Put("op", "config", kConfiguration);
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= 3; ++i) {
    engines.push_back(
      std::make_unique<Engine>("i-" + std::to_string(i), "127.0.0.3", base + i, &record));
    store.Put("servers", engines.back()->Id(), engines.back()->Entry("desk", "ready", 1));
  }
  std::vector<NodeAddresses> addresses;
  std::vector<std::unique_ptr<Path>> paths;
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 1; i <= 3; ++i) {
    const std::string ip = "127.0.0." + std::to_string(10 + i);
    paths.push_back(std::make_unique<Path>(ip, base + 10, "127.0.0.2", base));
    addresses.push_back({ "front-" + std::to_string(i),
                          ip,
                          "z" + std::to_string(i),
                          base,
                          ip + ":" + std::to_string(base + 10) });
    nodes.push_back(StartNode(aArguments[1], folder, addresses.back()));
  }
  if (!AwaitReady(addresses)) {
    return 2;
  }
  std::vector<std::thread> clients;
  for (const auto& it : addresses) {
    clients.emplace_back([&record, it] { Call(it, &record); });
  }
  SleepMs(6000);
  const double at = NowMs();
  int silent = 0;
  if (trouble) {
    for (auto& it : paths) {
      silent += it->Silence();
    }
    record.Line(std::to_string(silent) + " connections to the store go silent");
  }
  SleepUntil(at + 300);
  const double acknowledged = store.Put("servers", "i-1", "");
  record.Line("the store has removed the entry of i-1, which serves on for some seconds");
  SleepUntil(at + 9000);
  gStop = true;
  for (auto& it : clients) {
    it.join();
  }
  int late = 0;
  int lateOutOfTouch = 0;
  double last = 0;
  for (const auto& it : engines.front()->Arrivals()) {
    const Sent& sent = gSent[it.mRequest];
    if (it.mAtMs <= acknowledged + kDrainMs) {
      continue;
    }
    last = it.mAtMs - acknowledged;
    if (!trouble || sent.mAtMs >= at + kStabilityMs) {
      ++late;
    } else {
      ++lateOutOfTouch;
    }
  }
  std::ostringstream text;
  text << "silent connections " << silent << ", served " << gServed
       << ", requests at i-1 later than " << kDrainMs << " ms after the acknowledgement: " << late
       << " sent by machines in touch, " << lateOutOfTouch << " by others; the last one " << last
       << " ms after it";
  record.Line(text.str());
  std::cout << text.str() << "\n";
  if (gServed < 100) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}
