#include "cluster.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <mutex>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace tests {

using pepperbay::FirstValue;
using pepperbay::HttpCall;
using pepperbay::HttpClient;
using pepperbay::HttpFetched;

namespace {

/// No test depends on this time; it only ends a test whose event never comes.
constexpr std::chrono::seconds kGuard{ 60 };
constexpr int kLogPort = 7000;
constexpr int kControlPort = 7001;
constexpr int kServicePort = 7002;
constexpr int kCallerPort = 8080;
constexpr int kAdminPort = 8081;
constexpr int kPeerPort = 8082;
constexpr int kPublicPeerPort = 9082;

std::uint32_t
HashOf(const std::string& aText)
{
  std::uint32_t hash = 2166136261U;
  for (const unsigned char c : aText) {
    hash = (hash ^ c) * 16777619U;
  }
  return hash;
}

const char* const kDefaultProfiles = R"(profiles:
  - { name: checklist, model: audit, model_version: "1", hosts_per_replica: 4, share: 1.0 }
customers:
  - { name: school, share: 0.5 }
services:
  - { name: lots, endpoints: ["PLATFORM:7002"] }
)";

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  for (auto at = aText.find(aFrom); at != std::string::npos; at = aText.find(aFrom, at)) {
    aText.replace(at, aFrom.size(), aTo);
  }
  return aText;
}

/// @return what each thread of a process does, which tells one that is stopped from one that waits.
std::string
ThreadsOf(pid_t aPid)
{
  std::string text;
  std::error_code ec; // a process that has ended has no threads
  const std::string folder = "/proc/" + std::to_string(aPid) + "/task";
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    for (const char* name : { "stat", "wchan", "syscall" }) {
      std::string line;
      std::getline(std::ifstream(it.path() / name), line);
      text += std::string(name) + ": " + line + "\n";
    }
  }
  return text.empty() ? "the process has ended\n" : text;
}

} // namespace

Process::Process(const std::vector<std::string>& aArguments, const std::string& aErrorFile)
{
  std::vector<char*> arguments;
  for (const auto& it : aArguments) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  mPid = ::fork();
  if (mPid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(aErrorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, STDERR_FILENO);
    ::dup2(fd, STDOUT_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
}

Process::~Process()
{
  if (mPid > 0) {
    ::kill(mPid, SIGKILL);
    Wait();
  }
}

Process::Process(Process&& aOther) noexcept
  : mPid(std::exchange(aOther.mPid, -1))
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  std::swap(mPid, aOther.mPid);
  return *this;
}

void
Process::Signal(int aSignal) const
{
  ::kill(mPid, aSignal);
}

int
Process::Wait()
{
  int status = 0;
  ::waitpid(mPid, &status, 0);
  mPid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mClient(HttpClient::Create())
{
  std::string folder = "/tmp/pepperbay-test-XXXXXX";
  mFolder = ::mkdtemp(folder.data());
  std::string centres;
  for (const auto& it : mOptions.mCentres) {
    centres += (centres.empty() ? "" : ",") + it;
  }
  const auto flag = [](const char* aName, int aValue) {
    return "--" + std::string(aName) + "=" + std::to_string(aValue);
  };
  const std::string ip = PlatformIp();
  mFakes = Process({ PEPPERBAY_FAKES,
                     "--log=" + ip + ":" + std::to_string(kLogPort),
                     "--control=" + ip + ":" + std::to_string(kControlPort),
                     "--service=" + ip + ":" + std::to_string(kServicePort),
                     "--centres=" + centres,
                     flag("domains", mOptions.mDomains),
                     flag("hosts", mOptions.mHostsPerDomain),
                     flag("unchecked", mOptions.mUnchecked),
                     flag("net", mOptions.mNet + 1),
                     flag("token_ms", mOptions.mTokenMs),
                     flag("load_ms", mOptions.mLoadMs),
                     flag("slots", mOptions.mSlots),
                     "--report_lag_ms=50" },
                   FilePath("fakes.log"));
  const int nodes = static_cast<int>(mOptions.mCentres.size()) * mOptions.mNodesPerCentre;
  mNodes.resize(static_cast<std::size_t>(nodes));
  for (int i = 0; i < nodes; ++i) {
    mWires.push_back(std::make_unique<fakes::FakeWire>());
    EXPECT_TRUE(mWires.back()->Start(NodeIp(i), NodeIp(i), kPublicPeerPort, kPeerPort));
  }
  const auto until = std::chrono::steady_clock::now() + kGuard;
  while (
    !Call("GET", "http://" + ip + ":" + std::to_string(kControlPort) + "/hosts").mOutcome.mOk) {
    if (std::chrono::steady_clock::now() > until) {
      ADD_FAILURE() << "the stand-ins do not listen";
      return;
    }
    std::this_thread::yield();
  }
}

Cluster::~Cluster()
{
  for (auto& it : mNodes) {
    if (it.Running()) {
      it.Signal(SIGCONT);
    }
  }
  mNodes.clear();
  mFakes = Process();
  mWires.clear();
  const std::string command = "rm -rf " + mFolder;
  if (!::testing::Test::HasFailure() && std::system(command.c_str()) != 0) { // NOLINT
    ADD_FAILURE() << "cannot remove " << mFolder;
  }
}

std::string
Cluster::PlatformIp() const
{
  return "127." + std::to_string(mOptions.mNet) + ".0.2";
}

std::string
Cluster::NodeIp(int aNode) const
{
  return "127." + std::to_string(mOptions.mNet) + ".1." + std::to_string(aNode + 1);
}

std::string
Cluster::NodeName(int aNode) const
{
  return "n" + std::to_string(aNode);
}

std::string
Cluster::WriteSettings(int aNode) const
{
  std::string file = FilePath(NodeName(aNode) + ".yaml");
  const auto centre = static_cast<std::size_t>(aNode / mOptions.mNodesPerCentre);
  std::ofstream out(file);
  out << "node:\n  name: " << NodeName(aNode) << "\n  data_centre: " << mOptions.mCentres[centre]
      << "\n  callers: " << NodeIp(aNode) << ":" << kCallerPort << "\n  admin: " << NodeIp(aNode)
      << ":" << kAdminPort << "\n  peers: " << NodeIp(aNode) << ":" << kPeerPort
      << "\n  peers_public: " << NodeIp(aNode) << ":" << kPublicPeerPort
      << "\n  source: " << NodeIp(aNode) << "\n  seeds: [";
  for (int i = 0; i < Nodes(); ++i) {
    out << NodeIp(i) << ":" << kPublicPeerPort << ", ";
  }
  out << "]\nplatform:\n  log: " << PlatformIp() << ":" << kLogPort << "\n  hosts: " << PlatformIp()
      << ":" << kControlPort
      << "\n  timeout: 300ms\n  read_wait: 200ms\n  read_every: 5ms\n  hosts_every: 100ms\n  "
         "snapshot_every: 40\n"
      << "control:\n  tick: 10ms\n  heartbeat: 50ms\n  suspect_after: 400ms\n  lapse_after: 1s\n"
      << "  lease: 1200ms\n  probe: 50ms\n  probe_timeout: 100ms\n  freshness: 500ms\n"
      << "  order_timeout: 200ms\n  drain_grace: 100ms\n"
      << "placement:\n  blip: 500ms\n  load_time: 200ms\n"
      << "requests:\n  longest_deadline: 10s\n  default_deadline: 8s\n"
      << "  first_token_timeout: 1s\n"
      << mOptions.mMoreSettings;
  return file;
}

void
Cluster::StartNode(int aNode)
{
  Node(aNode) = Process({ PEPPERBAY, "serve", "--config", WriteSettings(aNode) },
                        FilePath(NodeName(aNode) + ".log"));
}

void
Cluster::StartAndPublish()
{
  for (int i = 0; i < Nodes(); ++i) {
    StartNode(i);
  }
  WaitForAll("ready", [](const Json& aDump) { return aDump["ready"].get<bool>(); });
  const std::string yaml = mOptions.mProfiles.empty() ? kDefaultProfiles : mOptions.mProfiles;
  const auto published = PublishYaml(0, yaml);
  ASSERT_EQ(published.mResponse.mBody.find("refused"), std::string::npos)
    << published.mResponse.mBody;
  ASSERT_NE(published.mResponse.mBody.find("accepted"), std::string::npos)
    << published.mResponse.mBody;
  WaitForAll("a whole replica", [](const Json& aDump) { return HasWhole(aDump); });
}

HttpFetched
Cluster::Call(const std::string& aMethod,
              const std::string& aUrl,
              const std::string& aBody,
              std::vector<pepperbay::HttpHeader> aHeaders)
{
  HttpCall call;
  call.mMethod = aMethod;
  call.mUrl = aUrl;
  call.mBody = aBody;
  call.mHeaders = std::move(aHeaders);
  call.mTimeout = kGuard;
  call.mOwnConnection = true;
  return mClient->FetchAndWait(std::move(call));
}

HttpFetched
Cluster::PublishYaml(int aNode, const std::string& aYaml)
{
  return Call("POST",
              "http://" + NodeIp(aNode) + ":" + std::to_string(kAdminPort) + "/publish",
              Replaced(aYaml, "PLATFORM", PlatformIp()));
}

Json
Cluster::Dump(int aNode)
{
  const auto fetched =
    Call("GET", "http://" + NodeIp(aNode) + ":" + std::to_string(kAdminPort) + "/dump");
  const Json json = Json::parse(fetched.mResponse.mBody, nullptr, false);
  return json.is_object() ? json : Json::object();
}

Json
Cluster::WaitFor(int aNode, const std::string& aWhat, const std::function<bool(const Json&)>& aIs)
{
  // After a first failure the rest of a test has nothing to wait for.
  const auto guard = ::testing::Test::HasFailure() ? std::chrono::seconds(1) : kGuard;
  const auto until = std::chrono::steady_clock::now() + guard;
  const std::string url = "http://" + NodeIp(aNode) + ":" + std::to_string(kAdminPort) + "/dump";
  Json last;
  std::string after;
  while (std::chrono::steady_clock::now() < until) {
    const auto fetched = Call("GET", url + after);
    last = Json::parse(fetched.mResponse.mBody, nullptr, false);
    if (!last.is_object() || !last.contains("revision")) {
      std::this_thread::yield(); // not listening yet
      continue;
    }
    if (aIs(last)) {
      return last;
    }
    after = "?wait_ms=100&after=" + std::to_string(last["revision"].get<std::uint64_t>());
  }
  ADD_FAILURE() << NodeName(aNode) << " never came to: " << aWhat << "\n"
                << last.dump(2) << "\n"
                << ThreadsOf(Node(aNode).Pid()) << ErrorsOf(aNode);
  return last;
}

void
Cluster::WaitForAll(const std::string& aWhat, const std::function<bool(const Json&)>& aIs)
{
  for (int i = 0; i < Nodes(); ++i) {
    if (Node(i).Running()) {
      WaitFor(i, aWhat, aIs);
    }
  }
}

int
Cluster::Holder()
{
  const auto until = std::chrono::steady_clock::now() + kGuard;
  while (std::chrono::steady_clock::now() < until) {
    for (int i = 0; i < Nodes(); ++i) {
      if (Node(i).Running() && Dump(i).value("/holder/held"_json_pointer, false)) {
        return i;
      }
    }
  }
  ADD_FAILURE() << "no node holds the lease";
  return 0;
}

void
Cluster::Fault(const std::string& aTarget, const std::string& aKind, const std::string& aValue)
{
  const std::string url = "http://" + PlatformIp() + ":" + std::to_string(kControlPort) +
                          "/fault?target=" + aTarget + "&kind=" + aKind + "&value=" + aValue;
  EXPECT_EQ(Call("POST", url, "x").mResponse.mStatus, 200) << aTarget << " " << aKind;
}

Json
Cluster::Stats()
{
  return Json::parse(
    Call("GET", "http://" + PlatformIp() + ":" + std::to_string(kControlPort) + "/stats")
      .mResponse.mBody);
}

Json
Cluster::Runs()
{
  return Json::parse(
    Call("GET", "http://" + PlatformIp() + ":" + std::to_string(kControlPort) + "/runs")
      .mResponse.mBody);
}

void
Cluster::CutPeer(int aFrom, int aTo, bool aCut)
{
  mWires.at(static_cast<std::size_t>(aTo))->Cut(NodeIp(aFrom), aCut);
}

void
Cluster::CutLog(int aNode, bool aCut)
{
  Fault("log", aCut ? "cut" : "uncut", NodeIp(aNode));
}

std::string
Cluster::ErrorsOf(int aNode) const
{
  std::ostringstream text;
  text << std::ifstream(FilePath(NodeName(aNode) + ".log")).rdbuf();
  return text.str();
}

int
Cluster::Connect(int aNode) const
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int window = 4096;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kCallerPort);
  inet_pton(AF_INET, NodeIp(aNode).c_str(), &address.sin_addr);
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return fd;
}

Answer
Cluster::Ask(int aNode, int aTokens, bool aStream, const std::string& aPrompt)
{
  const std::string prompt =
    aPrompt.empty() ? "question " + std::to_string(++mPrompts) + " at " + NodeName(aNode) : aPrompt;
  const Json body = { { "model", "checklist" },
                      { "stream", aStream },
                      { "max_tokens", aTokens },
                      { "messages", { { { "role", "user" }, { "content", prompt } } } } };
  Answer answer;
  answer.mFetched =
    Call("POST",
         "http://" + NodeIp(aNode) + ":" + std::to_string(kCallerPort) + "/v1/chat/completions",
         body.dump(),
         { { "X-Customer", "school" } });
  answer.mRan = FirstValue(answer.mFetched.mResponse.mHeaders, "X-Ran").value_or("");
  // The stand-in's tokens are their number and a hash of the prompt: order and owner show.
  std::string expected;
  const std::string hash = std::to_string(HashOf("user:" + prompt + "\n"));
  for (int i = 0; i < aTokens; ++i) {
    expected += " " + std::to_string(i) + ":" + hash;
  }
  std::string text;
  bool ended = !aStream;
  std::istringstream lines(answer.mFetched.mResponse.mBody);
  for (std::string line; aStream && std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      ended = true;
    } else if (line.rfind("data: ", 0) == 0) {
      const Json json = Json::parse(line.substr(6), nullptr, false);
      if (json.is_object() && json.contains("choices")) {
        text += json["choices"][0]["delta"].value("content", "");
      } else if (json.is_object()) {
        answer.mRan = json.value("ran", "");
      }
    }
  }
  if (!aStream && answer.mFetched.mResponse.mStatus == 200) {
    const Json json = Json::parse(answer.mFetched.mResponse.mBody, nullptr, false);
    text = json.is_object() ? json["choices"][0]["message"]["content"].get<std::string>() : "";
  }
  answer.mWhole = answer.mFetched.mOutcome.mOk && ended && text == expected;
  return answer;
}

struct Asker::Impl
{
  Cluster& mCluster;
  int mTokens;
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mWhole = 0;
  std::string mWrong;
  std::thread mThread;

  void Run()
  {
    for (int n = 0; !mStop; ++n) {
      const int node = n % mCluster.Nodes();
      const Answer answer = mCluster.Ask(node, mTokens, n % 3 != 0, "asker " + std::to_string(n));
      const std::lock_guard lock(mMutex);
      if (answer.mWhole) {
        ++mWhole;
        mChanged.notify_all();
        continue;
      }
      const bool cleanEnd =
        answer.mFetched.mOutcome.mOk && answer.mFetched.mResponse.mStatus == 200;
      const bool connected = answer.mFetched.mResponse.mStatus != 0;
      // A node that died gives no answer; an answer that is given is whole or says what it is.
      if (cleanEnd || (connected && answer.mFetched.mOutcome.mOk && answer.mRan.empty())) {
        mWrong += "\n" + answer.mFetched.mResponse.mBody;
      }
    }
  }
};

Asker::Asker(Cluster& aCluster, int aTokens)
  : mImpl(new Impl{ aCluster, aTokens })
{
  mImpl->mThread = std::thread([this] { mImpl->Run(); });
}

Asker::~Asker()
{
  Stop();
}

void
Asker::WaitWhole(int aMore)
{
  std::unique_lock lock(mImpl->mMutex);
  const int target = mImpl->mWhole + aMore;
  if (!mImpl->mChanged.wait_for(lock, kGuard, [&] { return mImpl->mWhole >= target; })) {
    ADD_FAILURE() << "callers get no whole answers any more";
  }
}

std::string
Asker::Stop()
{
  mImpl->mStop = true;
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
  return mImpl->mWrong;
}

Json
At(const Json& aDump, const std::string& aPointer)
{
  const Json::json_pointer pointer(aPointer);
  return aDump.contains(pointer) ? aDump.at(pointer) : Json();
}

bool
HasWhole(const Json& aDump, int aCount)
{
  int whole = 0;
  for (const auto& [name, replica] : aDump["replicas"].items()) {
    const bool open = !replica.value("closing", false) && !replica.value("closed_here", false);
    whole += open && replica.value("wholeness", "") == "whole" ? 1 : 0;
  }
  return whole >= aCount;
}

} // namespace tests
