#include "fake_engines.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fakes {

using Json = nlohmann::json;
using pepperbay::FirstValue;
using pepperbay::HttpRequest;
using pepperbay::HttpResponse;
using pepperbay::HttpServer;
using pepperbay::Responder;

namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr int kDefaultTokens = 16;

std::uint32_t
HashOf(const std::string& aText)
{
  std::uint32_t hash = 2166136261U;
  for (const unsigned char c : aText) {
    hash = (hash ^ c) * 16777619U;
  }
  return hash;
}

std::string
PromptOf(const Json& aBody)
{
  std::string prompt;
  for (const auto& it : aBody["messages"]) {
    prompt += it.value("role", "") + ":" + it.value("content", "") + "\n";
  }
  return prompt;
}

HttpResponse
NotRun(int aStatus, const std::string& aWhy)
{
  return { aStatus, { { "X-Ran", "no" } }, Json{ { "error", aWhy } }.dump() };
}

} // namespace

/// One request in an engine.
struct FakeEngines::Stream
{
  Host* mHost = nullptr;
  std::uint64_t mHostIncarnation = 0;
  std::shared_ptr<Responder> mResponder;
  std::string mAttempt;
  std::uint32_t mHash = 0;
  std::string mPrompt;
  std::uint64_t mNext = 0;
  std::uint64_t mEnd = 0;
  int mSent = 0;
  bool mOver = false;
  bool mRunning = false;
};

struct FakeEngines::Host
{
  HostSpec mSpec;
  std::unique_ptr<HttpServer> mServer;
  std::uint64_t mIncarnation = 0;
  std::string mPhase = "idle";
  std::string mReplica;
  std::uint64_t mGeneration = 0;
  std::string mModel;
  std::string mVersion;
  std::string mLoadedVersion; ///< weights in memory
  std::uint64_t mFence = 0;
  std::vector<std::string> mMembers;
  std::vector<std::shared_ptr<Stream>> mStreams;
  std::deque<std::shared_ptr<Stream>> mQueued;
  int mRunning = 0;
  int mReportedRunning = 0;
  int mReportedQueued = 0;
  std::deque<std::uint32_t> mCache;
  bool mSilent = false; ///< dark or paused
  bool mDark = false;
  bool mKilled = false;
  bool mStopped = false; ///< every node has confirmed that it sends no new work
  bool mLeaving = false;
  Clock::time_point mLeavingSince;
  double mStraggle = 1.0;
  int mCutAfter = 0;
  bool mCutBefore = false;
  std::string mFailVersion;

  bool Answers() const { return !mSilent && !mKilled; }
};

FakeEngines::FakeEngines(Timers& aTimers, EngineOptions aOptions)
  : mTimers(aTimers)
  , mOptions(aOptions)
{
}

FakeEngines::~FakeEngines() = default;

bool
FakeEngines::Add(const HostSpec& aSpec)
{
  auto host = std::make_unique<Host>();
  host->mSpec = aSpec;
  host->mIncarnation = ++mLastIncarnation;
  Host& added = *host;
  mHosts[aSpec.mHost] = std::move(host);
  return Start(added);
}

bool
FakeEngines::Start(Host& aHost)
{
  pepperbay::HttpServerOptions options;
  options.mAddress = aHost.mSpec.mAddress;
  options.mPort = aHost.mSpec.mPort;
  auto server =
    HttpServer::Start(options, [this, &aHost](const HttpRequest& aRequest, const auto& aResponder) {
      Handle(aHost, aRequest, aResponder);
    });
  if (!server.has_value()) {
    return false;
  }
  aHost.mServer = std::move(server.value());
  return true;
}

std::string
FakeEngines::List(const std::string& aDataCentre) const
{
  const std::lock_guard lock(mMutex);
  Json json = Json::array();
  for (const auto& [name, host] : mHosts) {
    if (!aDataCentre.empty() && host->mSpec.mDataCentre != aDataCentre) {
      continue;
    }
    json.push_back({ { "host", name },
                     { "data_centre", host->mSpec.mDataCentre },
                     { "domain", host->mSpec.mDomain },
                     { "address", host->mSpec.mAddress + ":" + std::to_string(host->mSpec.mPort) },
                     { "checks_fence", host->mSpec.mChecksFence },
                     { "accelerators", host->mSpec.mAccelerators },
                     { "state", host->mLeaving ? "leaving" : "live" } });
  }
  return json.dump();
}

std::vector<std::string>
FakeEngines::HostsOfDomain(const std::string& aDomain) const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> hosts;
  for (const auto& [name, host] : mHosts) {
    if (host->mSpec.mDomain == aDomain) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

EngineCounts
FakeEngines::Counts() const
{
  const std::lock_guard lock(mMutex);
  return mCounts;
}

std::string
FakeEngines::StateOf(const std::string& aHost) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mHosts.find(aHost);
  if (it == mHosts.end()) {
    return "{}";
  }
  return Json{
    { "phase", it->second->mPhase },
    { "replica", it->second->mReplica },
    { "generation", it->second->mGeneration },
    { "running", it->second->mRunning }
  }.dump();
}

bool
FakeEngines::Fault(const std::string& aHost, const std::string& aKind, const std::string& aValue)
{
  std::unique_ptr<HttpServer> stopped;
  std::vector<std::shared_ptr<Responder>> aborted;
  std::vector<std::shared_ptr<Stream>> resumed;
  const std::unique_lock lock(mMutex);
  const auto it = mHosts.find(aHost);
  if (it == mHosts.end()) {
    return false;
  }
  Host& host = *it->second;
  const auto loseMemory = [&] {
    host.mIncarnation = ++mLastIncarnation;
    host.mPhase = "idle";
    host.mReplica.clear();
    host.mGeneration = 0;
    host.mVersion.clear();
    host.mLoadedVersion.clear();
    host.mFence = 0;
    host.mCache.clear();
    for (const auto& stream : host.mStreams) {
      stream->mOver = true;
      aborted.push_back(stream->mResponder);
    }
    host.mStreams.clear();
    host.mQueued.clear();
    host.mRunning = 0;
  };
  if (aKind == "kill") {
    host.mKilled = true;
    loseMemory();
    stopped = std::move(host.mServer);
  } else if (aKind == "dark") {
    host.mSilent = true;
    host.mDark = true;
    for (const auto& stream : host.mStreams) {
      stream->mOver = true; // the bytes never come; nobody closes the connection
      mHeld.push_back(stream->mResponder);
    }
    host.mStreams.clear();
    host.mQueued.clear();
    host.mRunning = 0;
  } else if (aKind == "pause") {
    host.mSilent = true;
  } else if (aKind == "heal") {
    const bool wasDark = host.mDark;
    const bool wasKilled = host.mKilled;
    host.mSilent = false;
    host.mDark = false;
    host.mKilled = false;
    if (wasDark) {
      loseMemory();
    }
    if (wasKilled) {
      Start(host);
    }
    for (const auto& stream : host.mStreams) {
      if (stream->mRunning) {
        resumed.push_back(stream);
      }
    }
  } else if (aKind == "straggle") {
    host.mStraggle = std::atof(aValue.c_str());
  } else if (aKind == "cut_after") {
    host.mCutAfter = std::atoi(aValue.c_str());
  } else if (aKind == "cut_before") {
    host.mCutBefore = aValue == "1";
  } else if (aKind == "fail_version") {
    host.mFailVersion = aValue;
  } else if (aKind == "stopped") {
    host.mStopped = aValue == "1";
  } else if (aKind == "leaving") {
    host.mLeaving = aValue == "1";
    host.mLeavingSince = Clock::now();
  } else {
    return false;
  }
  for (const auto& responder : aborted) {
    mTimers.After(std::chrono::nanoseconds(0), [responder] { responder->Abort(); });
  }
  for (const auto& stream : resumed) {
    mTimers.After(std::chrono::nanoseconds(0), [this, stream] { NextToken(stream); });
  }
  if (stopped) {
    // Stopping a server waits for its threads, which may wait for this lock.
    auto* raw = stopped.release();
    mTimers.After(std::chrono::nanoseconds(0), [raw] { delete raw; });
  }
  return true;
}

void
FakeEngines::Handle(Host& aHost,
                    const HttpRequest& aRequest,
                    const std::shared_ptr<Responder>& aResponder)
{
  const std::lock_guard lock(mMutex);
  if (aHost.mSilent) {
    mHeld.push_back(aResponder);
    return;
  }
  if (aRequest.mPath == "/state") {
    aResponder->Send({ 200, {}, StateJson(aHost) });
  } else if (aRequest.mPath == "/orders") {
    Order(aHost, aRequest.mBody, aResponder);
  } else if (aRequest.mPath == "/v1/chat/completions") {
    Complete(aHost, aRequest, aResponder);
  } else {
    aResponder->Send(NotRun(404, "no such page"));
  }
}

std::string
FakeEngines::StateJson(Host& aHost)
{
  const int running = aHost.mRunning;
  const auto queued = static_cast<int>(aHost.mQueued.size());
  mTimers.After(std::chrono::milliseconds(mOptions.mReportLagMs), [this, &aHost, running, queued] {
    const std::lock_guard lock(mMutex);
    aHost.mReportedRunning = running;
    aHost.mReportedQueued = queued;
  });
  return Json{
    { "host", aHost.mSpec.mHost },       { "incarnation", aHost.mIncarnation },
    { "phase", aHost.mPhase },           { "replica", aHost.mReplica },
    { "generation", aHost.mGeneration }, { "model_version", aHost.mVersion },
    { "fence", aHost.mFence },           { "running", aHost.mReportedRunning },
    { "queued", aHost.mReportedQueued }
  }.dump();
}

void
FakeEngines::Order(Host& aHost,
                   const std::string& aBody,
                   const std::shared_ptr<Responder>& aResponder)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    aResponder->Send({ 400, {}, "not JSON" });
    return;
  }
  const auto fence = json.value("fence", std::uint64_t{ 0 });
  if (aHost.mSpec.mChecksFence && fence < aHost.mFence) {
    ++mCounts.mStaleOrders;
    aResponder->Send({ 409, {}, R"({"error":"stale fence"})" });
    return;
  }
  aHost.mFence = std::max(aHost.mFence, fence);
  const std::string replica = json.value("replica", "");
  const auto generation = json.value("generation", std::uint64_t{ 0 });
  if (json.value("order", "") == "unload") {
    CutStreams(aHost);
    aHost.mPhase = "idle";
    aHost.mReplica.clear();
    aHost.mGeneration = 0;
    aHost.mVersion.clear();
    aResponder->Send({ 200, {}, "{}" });
    return;
  }
  const bool same = aHost.mReplica == replica && aHost.mGeneration == generation;
  aResponder->Send({ 200, {}, "{}" });
  if (same && aHost.mPhase != "failed") {
    return;
  }
  CutStreams(aHost);
  aHost.mReplica = replica;
  aHost.mGeneration = generation;
  aHost.mModel = json.value("model", "");
  aHost.mVersion = json.value("model_version", "");
  aHost.mMembers.clear();
  for (const auto& it : json["members"]) {
    aHost.mMembers.push_back(it.value("host", ""));
  }
  aHost.mPhase = "loading";
  const bool inMemory = aHost.mLoadedVersion == aHost.mModel + "@" + aHost.mVersion;
  const auto delay = std::chrono::milliseconds(inMemory ? 1 : mOptions.mLoadMs);
  const std::uint64_t incarnation = aHost.mIncarnation;
  mTimers.After(delay, [this, &aHost, incarnation, generation, replica] {
    const std::lock_guard lock(mMutex);
    const bool still = aHost.mIncarnation == incarnation && aHost.mReplica == replica &&
                       aHost.mGeneration == generation && aHost.mPhase == "loading";
    if (!still) {
      return;
    }
    const bool fails = aHost.mFailVersion == aHost.mVersion;
    aHost.mPhase = fails ? "failed" : "ready";
    if (!fails) {
      aHost.mLoadedVersion = aHost.mModel + "@" + aHost.mVersion;
    }
  });
}

void
FakeEngines::CutStreams(Host& aHost)
{
  for (const auto& it : aHost.mStreams) {
    ++mCounts.mCutByStop;
    it->mOver = true;
    const auto responder = it->mResponder;
    mTimers.After(std::chrono::nanoseconds(0), [responder] { responder->Abort(); });
  }
  aHost.mStreams.clear();
  aHost.mQueued.clear();
  aHost.mRunning = 0;
}

/// Every member holds the same replica and generation, ready and alive.
bool
FakeEngines::ReplicaWhole(const Host& aLeader) const
{
  return std::all_of(aLeader.mMembers.begin(), aLeader.mMembers.end(), [&](const auto& aName) {
    const auto it = mHosts.find(aName);
    return it != mHosts.end() && it->second->Answers() && it->second->mPhase == "ready" &&
           it->second->mReplica == aLeader.mReplica &&
           it->second->mGeneration == aLeader.mGeneration;
  });
}

double
FakeEngines::CachedPart(Host& aHost, const std::string& aPrompt)
{
  std::size_t blocks = 0;
  std::size_t cached = 0;
  bool unbroken = true;
  for (std::size_t end = kBlockBytes; end <= aPrompt.size(); end += kBlockBytes) {
    const std::uint32_t hash = HashOf(aPrompt.substr(0, end));
    ++blocks;
    const auto it = std::find(aHost.mCache.begin(), aHost.mCache.end(), hash);
    unbroken = unbroken && it != aHost.mCache.end();
    cached += unbroken ? 1 : 0;
    if (it != aHost.mCache.end()) {
      aHost.mCache.erase(it);
    }
    aHost.mCache.push_back(hash);
  }
  while (aHost.mCache.size() > static_cast<std::size_t>(mOptions.mCacheBlocks)) {
    aHost.mCache.pop_front();
  }
  mCounts.mPromptBlocks += blocks;
  mCounts.mCachedBlocks += cached;
  return blocks == 0 ? 0.0 : static_cast<double>(cached) / static_cast<double>(blocks);
}

void
FakeEngines::Complete(Host& aHost,
                      const HttpRequest& aRequest,
                      const std::shared_ptr<Responder>& aResponder)
{
  ++mCounts.mRequests;
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  const std::string replica = FirstValue(aRequest.mHeaders, "X-Replica").value_or("");
  const std::string generation = FirstValue(aRequest.mHeaders, "X-Generation").value_or("0");
  if (!body.is_object() || !body.contains("messages")) {
    aResponder->Send(NotRun(400, "not a request"));
    return;
  }
  const bool direct = replica.empty(); // asked without a node, by the load tool
  const bool mine =
    direct || (aHost.mReplica == replica && std::to_string(aHost.mGeneration) == generation);
  if (!mine || (aHost.mPhase != "ready" && !direct)) {
    aResponder->Send(NotRun(409, "another replica, generation or phase"));
    return;
  }
  if (!direct && !ReplicaWhole(aHost)) {
    ++mCounts.mPartial;
    aResponder->Send(NotRun(503, "the replica is not whole"));
    return;
  }
  constexpr auto kSomeSeconds = std::chrono::seconds(5);
  if (aHost.mStopped || (aHost.mLeaving && Clock::now() - aHost.mLeavingSince > kSomeSeconds)) {
    ++mCounts.mAfterLeaving;
  }
  auto stream = std::make_shared<Stream>();
  stream->mHost = &aHost;
  stream->mHostIncarnation = aHost.mIncarnation;
  stream->mResponder = aResponder;
  stream->mAttempt = FirstValue(aRequest.mHeaders, "X-Attempt-Id").value_or("");
  stream->mPrompt = PromptOf(body);
  stream->mHash = HashOf(stream->mPrompt);
  stream->mNext = std::strtoull(
    FirstValue(aRequest.mHeaders, "X-Resume-From").value_or("0").c_str(), nullptr, 10);
  stream->mEnd = body.value("max_tokens", std::uint64_t{ kDefaultTokens });
  if (aHost.mCutBefore) {
    mTimers.After(std::chrono::milliseconds(1), [aResponder] { aResponder->Abort(); });
    return;
  }
  const std::weak_ptr<Stream> weak = stream;
  aResponder->OnClosed([this, weak](bool aComplete) {
    const auto closed = weak.lock();
    if (!closed || aComplete) {
      return;
    }
    // On another thread: this hook may run inside a call that holds the lock.
    mTimers.After(std::chrono::nanoseconds(0), [this, closed] {
      const std::lock_guard lock(mMutex);
      if (!closed->mOver) {
        ++mCounts.mCancelled;
        EndStream(closed);
      }
    });
  });
  aHost.mStreams.push_back(stream);
  aHost.mQueued.push_back(stream);
  StartQueued(aHost);
}

void
FakeEngines::StartQueued(Host& aHost)
{
  while (!aHost.mQueued.empty() && aHost.mRunning < mOptions.mSlots) {
    const auto stream = aHost.mQueued.front();
    aHost.mQueued.pop_front();
    if (stream->mOver) {
      continue;
    }
    stream->mRunning = true;
    ++aHost.mRunning;
    const double cached = CachedPart(aHost, stream->mPrompt);
    constexpr double kCachedSaves = 0.8;
    const double ms = mOptions.mFirstTokenMs * (1.0 - kCachedSaves * cached) * aHost.mStraggle;
    HttpResponse head;
    head.mContentType = "text/event-stream";
    if (mOptions.mResumable) {
      head.mHeaders.push_back({ "X-Resumable", "true" });
    }
    stream->mResponder->StartStream(head);
    mTimers.After(std::chrono::microseconds(static_cast<int>(ms * 1000)),
                  [this, stream] { NextToken(stream); });
  }
}

void
FakeEngines::NextToken(const std::shared_ptr<Stream>& aStream)
{
  const std::lock_guard lock(mMutex);
  Host& host = *aStream->mHost;
  if (aStream->mOver || host.mSilent) {
    return; // a paused host goes on from here when it is healed
  }
  if (!host.mReplica.empty() && !ReplicaWhole(host)) {
    // The group stalls as soon as one of its hosts is lost, and its streams end.
    aStream->mOver = true;
    const auto responder = aStream->mResponder;
    EndStream(aStream);
    mTimers.After(std::chrono::nanoseconds(0), [responder] { responder->Abort(); });
    return;
  }
  if (host.mCutAfter > 0 && aStream->mSent >= host.mCutAfter) {
    const auto responder = aStream->mResponder;
    EndStream(aStream);
    mTimers.After(std::chrono::nanoseconds(0), [responder] { responder->Abort(); });
    return;
  }
  if (aStream->mNext >= aStream->mEnd) {
    const std::string last = R"(data: {"id":")" + aStream->mAttempt + R"(","token_count":)" +
                             std::to_string(aStream->mEnd) + "}\n\ndata: [DONE]\n\n";
    aStream->mResponder->Write(last);
    aStream->mResponder->End();
    ++mCounts.mCompleted;
    EndStream(aStream);
    return;
  }
  const std::string text =
    " " + std::to_string(aStream->mNext) + ":" + std::to_string(aStream->mHash);
  aStream->mResponder->Write(R"(data: {"id":")" + aStream->mAttempt + R"(","token_index":)" +
                             std::to_string(aStream->mNext) + R"(,"token":")" + text + "\"}\n\n");
  ++aStream->mNext;
  ++aStream->mSent;
  ++mCounts.mTokens;
  const double ms = mOptions.mTokenMs * host.mStraggle;
  mTimers.After(std::chrono::microseconds(static_cast<int>(ms * 1000)),
                [this, aStream] { NextToken(aStream); });
}

void
FakeEngines::EndStream(const std::shared_ptr<Stream>& aStream)
{
  Host& host = *aStream->mHost;
  aStream->mOver = true;
  const auto it = std::find(host.mStreams.begin(), host.mStreams.end(), aStream);
  if (it == host.mStreams.end()) {
    return;
  }
  host.mStreams.erase(it);
  host.mRunning -= aStream->mRunning ? 1 : 0;
  StartQueued(host);
}

} // namespace fakes
