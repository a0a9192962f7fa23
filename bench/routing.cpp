/// @file
/// @brief Replays requests against the router, its admission and baselines, in virtual time.
///
/// The router, the admission and the retry budget are the product's own, one of each for every
/// node. Engines are a queueing model: a prefill that is shorter for cached prompts, then tokens,
/// in so many slots; their reports lag. Printed for each policy, load and fault: requests in time,
/// first tokens, prefix hits and refusals. With --decisions, the time of one routing decision by
/// fleet size.

#include "pepperbay/admission/admission.hpp"
#include "pepperbay/admission/retry_budget.hpp"
#include "pepperbay/routing/router.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <list>
#include <queue>
#include <random>
#include <unordered_map>

ABSL_FLAG(double, seconds, 60, "of requests for each line");
ABSL_FLAG(bool, decisions, false, "time one decision instead");
ABSL_FLAG(int, longest_wait_ms, 500, "AdmissionOptions::mLongestWait");
ABSL_FLAG(double, crowded, pepperbay::RouteOptions().mCrowded, "RouteOptions::mCrowded");
ABSL_FLAG(double, comfort, pepperbay::RouteOptions().mComfort, "RouteOptions::mComfort");
ABSL_FLAG(double, ease, pepperbay::RouteOptions().mPrefixEase, "RouteOptions::mPrefixEase");
ABSL_FLAG(double, failed_counts_s, 5, "a failed attempt as a time to first token; 0: not at all");
ABSL_FLAG(std::uint64_t, seed, 1, "of arrivals");

namespace {

using namespace pepperbay; // NOLINT: a small program
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 9;
constexpr int kReplicas = 16;
constexpr int kSlots = 8;
constexpr double kPrefill = 0.20;   ///< seconds, uncached
constexpr double kCachedPart = 0.2; ///< of the prefill that is left when cached
constexpr double kToken = 0.02;
constexpr int kTokens = 60;
constexpr int kCustomers = 10;
constexpr int kPrefixes = 400;
constexpr std::size_t kCachePerReplica = 40;
constexpr double kReportEvery = 0.5;
constexpr double kReportLag = 1.0;
constexpr double kUsageEvery = 0.5;
constexpr double kInTime = 0.49;
constexpr double kDeadline = 10.0;

enum class Policy
{
  kRandom,
  kRoundRobin,
  kLeastReported,
  kScoredNoRing,
  kScored,
  kNoRetryBudget, ///< scored, every failed attempt is tried again
  kFixedShares,   ///< scored, each customer has its share of each node and no more
};

enum class Fault
{
  kNone,
  kStraggler,
  kDarkDomain,
  kReturned,
  kUnnoticed, ///< a quarter of the replicas fails each attempt and still pass for whole
};

struct Event
{
  double mAt;
  std::uint64_t mOrder;
  std::function<void()> mWork;
  bool operator<(const Event& aOther) const
  {
    return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
  }
};

struct Request
{
  std::uint64_t mId = 0;
  int mNode = 0;
  int mCustomer = 0;
  std::uint64_t mPrefix = 0;
  double mArrived = 0;
  double mSent = 0;
  int mReplica = -1;
  int mAttempts = 0;
  std::shared_ptr<ReplicaLoad> mLoad;
  std::set<std::string> mAvoid;
};

struct Engine
{
  int mRunning = 0;
  std::deque<std::shared_ptr<Request>> mQueue;
  std::map<std::uint64_t, std::shared_ptr<Request>> mActive; ///< running and waiting in it
  int mEpoch = 0; ///< grows when it loses power; what was under way then never ends
  std::list<std::uint64_t> mCache;
  double mSlow = 1.0;
  bool mDark = false;
  std::deque<std::pair<double, int>> mHistory;
};

struct Node
{
  RoutingTable mTable;
  Admission mAdmission{ MakeOptions() };
  RetryBudget mBudget{ { 0.1, 20 } };
  std::map<std::uint64_t, std::shared_ptr<Request>> mWaiting;
  std::map<std::string, std::pair<double, double>> mFirstTokens; ///< mean, when
  std::size_t mNext = 0;
  std::vector<OthersEstimate> mOthers = std::vector<OthersEstimate>(kReplicas);
  std::vector<int> mReported = std::vector<int>(kReplicas, 0);

  static AdmissionOptions MakeOptions()
  {
    AdmissionOptions options;
    options.mFirstServiceGuess = milliseconds(1300);
    options.mLongestWait = milliseconds(absl::GetFlag(FLAGS_longest_wait_ms));
    return options;
  }
};

struct Result
{
  int mSent = 0;
  int mWhole = 0;
  int mInTime = 0;
  int mRefused = 0;
  int mFailed = 0;
  int mAttempts = 0;
  int mHits = 0;
  int mPrefills = 0;
  std::vector<double> mFirst;
  std::vector<double> mRefusalWait;
  std::vector<int> mByCustomer = std::vector<int>(kCustomers, 0);
};

class Replay
{
public:
  Replay(Policy aPolicy, Fault aFault, double aLoad)
    : mPolicy(aPolicy)
    , mFault(aFault)
    , mEngines(kReplicas)
    , mNodes(kNodes)
    , mRandom(absl::GetFlag(FLAGS_seed))
  {
    const double service = kPrefill * 0.6 + kToken * kTokens;
    mRate = aLoad * kReplicas * kSlots / service;
    for (int n = 0; n < kNodes; ++n) {
      Pool& pool = mNodes[static_cast<std::size_t>(n)].mTable.mPools["p"];
      for (int r = 0; r < kReplicas; ++r) {
        ReplicaTarget target;
        target.mReplica = "r" + std::to_string(r);
        target.mGeneration = static_cast<std::uint64_t>(r);
        target.mSlots = kSlots;
        target.mLoad = std::make_shared<ReplicaLoad>();
        target.mWholeSince = At(-100);
        pool.mTargets.push_back(std::move(target));
      }
      pool.mSubset = pool.mTargets.size();
      if (aPolicy >= Policy::kScored) {
        BuildRing(&pool);
      }
    }
  }

  Result Run()
  {
    const double horizon = absl::GetFlag(FLAGS_seconds);
    if (mFault == Fault::kStraggler) {
      mEngines[3].mSlow = 6.0;
    }
    if (mFault != Fault::kNone && mFault != Fault::kStraggler) {
      Later(horizon * 0.3, [this] { Dark(true); });
    }
    if (mFault == Fault::kReturned) {
      Later(horizon * 0.5, [this] { Dark(false); });
    }
    Later(0, [this] { Report(); });
    Later(0, [this] { ShareUsage(); });
    std::exponential_distribution<double> gap(mRate);
    for (double at = gap(mRandom); at < horizon; at += gap(mRandom)) {
      Later(at, [this] { Arrive(); });
    }
    while (!mEvents.empty() && mNow < horizon + kDeadline + 5) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mWork();
    }
    return mResult;
  }

private:
  static TimePoint At(double aSeconds)
  {
    constexpr double kOffset = 1000;
    return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds + kOffset)));
  }

  void Later(double aAt, std::function<void()> aWork)
  {
    mEvents.push({ aAt, ++mOrder, std::move(aWork) });
  }

  void Arrive()
  {
    auto request = std::make_shared<Request>();
    request->mId = ++mLastId;
    request->mNode = static_cast<int>(mRandom() % kNodes);
    // Two large customers make most of the requests.
    request->mCustomer = mRandom() % 10 < 7 ? static_cast<int>(mRandom() % 2)
                                            : 2 + static_cast<int>(mRandom() % (kCustomers - 2));
    request->mPrefix = (1 + mRandom() % kPrefixes) * 0x9e3779b97f4a7c15U;
    request->mArrived = mNow;
    ++mResult.mSent;
    Node& node = mNodes[static_cast<std::size_t>(request->mNode)];
    node.mBudget.OnRequest();
    if (mPolicy == Policy::kFixedShares && !WithinFixedShare(node, request->mCustomer)) {
      ++mResult.mRefused;
      mResult.mRefusalWait.push_back(0);
      return;
    }
    std::vector<GivenUp> givenUp;
    const auto decision = node.mAdmission.Arrive(
      { request->mId, "c" + std::to_string(request->mCustomer), 5, At(mNow + kDeadline) },
      At(mNow),
      &givenUp);
    for (const auto& it : givenUp) {
      RefuseWaiting(node, it.mId);
    }
    if (decision.mVerdict == AdmissionVerdict::kRun) {
      Send(request);
    } else if (decision.mVerdict == AdmissionVerdict::kWait) {
      node.mWaiting[request->mId] = request;
    } else {
      ++mResult.mRefused;
      mResult.mRefusalWait.push_back(0);
    }
  }

  static double ShareOf(int aCustomer) { return aCustomer < 2 ? 0.3 : 0.05; }

  bool WithinFixedShare(const Node& aNode, int aCustomer) const
  {
    const auto usage = aNode.mAdmission.Usage();
    const auto it = usage.find("c" + std::to_string(aCustomer));
    const double own = it == usage.end() ? 0.0 : static_cast<double>(it->second.mRunning);
    return own < std::max(1.0, ShareOf(aCustomer) * mWhole * kSlots / kNodes);
  }

  bool Scores() const { return mPolicy >= Policy::kScoredNoRing; }

  void RefuseWaiting(Node& aNode, std::uint64_t aId)
  {
    const auto it = aNode.mWaiting.find(aId);
    if (it != aNode.mWaiting.end()) {
      ++mResult.mRefused;
      mResult.mRefusalWait.push_back(mNow - it->second->mArrived);
      aNode.mWaiting.erase(it);
    }
  }

  void Pump(Node& aNode)
  {
    for (const auto& it : aNode.mAdmission.Hopeless(At(mNow))) {
      RefuseWaiting(aNode, it.mId);
    }
    for (const auto id : aNode.mAdmission.Next(At(mNow))) {
      const auto it = aNode.mWaiting.find(id);
      if (it != aNode.mWaiting.end()) {
        const auto request = it->second;
        aNode.mWaiting.erase(it);
        Send(request);
      }
    }
  }

  const ReplicaTarget* Choose(Node& aNode, const Request& aRequest)
  {
    Pool& pool = aNode.mTable.mPools["p"];
    std::vector<const ReplicaTarget*> open;
    if (Scores()) {
      RouteQuery query;
      query.mProfile = "p";
      query.mPrefix = aRequest.mPrefix;
      query.mAvoid = aRequest.mAvoid;
      RouteOptions options;
      options.mNodes = kNodes;
      options.mFullness = aNode.mAdmission.Fullness();
      options.mPrefixEase = absl::GetFlag(FLAGS_ease);
      options.mComfort = absl::GetFlag(FLAGS_comfort);
      options.mCrowded = absl::GetFlag(FLAGS_crowded);
      return ChooseReplica(aNode.mTable, query, options, At(mNow), [this] { return mRandom(); });
    }
    for (const auto& it : pool.mTargets) {
      if (!it.mLoad->Closed() && aRequest.mAvoid.count(it.mReplica) == 0) {
        open.push_back(&it);
      }
    }
    if (open.empty()) {
      return nullptr;
    }
    const ReplicaTarget* best = open[mRandom() % open.size()];
    if (mPolicy == Policy::kRoundRobin) {
      best = open[aNode.mNext++ % open.size()];
    } else if (mPolicy == Policy::kLeastReported) {
      for (const auto* it : open) {
        best = aNode.mReported[it->mGeneration] < aNode.mReported[best->mGeneration] ? it : best;
      }
    }
    best->mLoad->Enter();
    return best;
  }

  void Send(const std::shared_ptr<Request>& aRequest)
  {
    Node& node = mNodes[static_cast<std::size_t>(aRequest->mNode)];
    const ReplicaTarget* target = Choose(node, *aRequest);
    if (target == nullptr) {
      Fail(aRequest);
      return;
    }
    ++mResult.mAttempts;
    ++aRequest->mAttempts;
    aRequest->mSent = mNow;
    aRequest->mReplica = static_cast<int>(target->mGeneration);
    aRequest->mLoad = target->mLoad;
    Engine& engine = mEngines[static_cast<std::size_t>(aRequest->mReplica)];
    if (engine.mDark) {
      const int replica = aRequest->mReplica;
      Later(mNow + 1.0, [this, aRequest, replica] { AttemptFailed(aRequest, replica); });
      return;
    }
    engine.mQueue.push_back(aRequest);
    engine.mActive[aRequest->mId] = aRequest;
    StartQueued(aRequest->mReplica);
  }

  void AttemptFailed(const std::shared_ptr<Request>& aRequest, int aReplica)
  {
    if (aRequest->mReplica != aReplica) {
      return;
    }
    aRequest->mLoad->Leave();
    aRequest->mAvoid.insert("r" + std::to_string(aReplica));
    Node& node = mNodes[static_cast<std::size_t>(aRequest->mNode)];
    NoteFirstToken(node, aReplica, absl::GetFlag(FLAGS_failed_counts_s));
    constexpr int kMostAttempts = 4;
    const bool granted = node.mBudget.TakeRetry() || mPolicy == Policy::kNoRetryBudget;
    if (aRequest->mAttempts >= kMostAttempts || !granted) {
      Fail(aRequest);
      return;
    }
    Send(aRequest);
  }

  void Fail(const std::shared_ptr<Request>& aRequest)
  {
    ++mResult.mFailed;
    aRequest->mReplica = -1;
    Node& node = mNodes[static_cast<std::size_t>(aRequest->mNode)];
    node.mAdmission.OnDone(aRequest->mId, Duration::zero());
    Pump(node);
  }

  void StartQueued(int aReplica)
  {
    Engine& engine = mEngines[static_cast<std::size_t>(aReplica)];
    while (!engine.mQueue.empty() && engine.mRunning < kSlots) {
      const auto request = engine.mQueue.front();
      engine.mQueue.pop_front();
      ++engine.mRunning;
      const auto cached = std::find(engine.mCache.begin(), engine.mCache.end(), request->mPrefix);
      const bool hit = cached != engine.mCache.end();
      if (hit) {
        engine.mCache.erase(cached);
      }
      engine.mCache.push_front(request->mPrefix);
      if (engine.mCache.size() > kCachePerReplica) {
        engine.mCache.pop_back();
      }
      ++mResult.mPrefills;
      mResult.mHits += hit ? 1 : 0;
      const double first = kPrefill * (hit ? kCachedPart : 1.0) * engine.mSlow;
      const int epoch = engine.mEpoch;
      Later(mNow + first, [this, request, aReplica, epoch] {
        if (mEngines[static_cast<std::size_t>(aReplica)].mEpoch == epoch) {
          FirstToken(request, aReplica);
        }
      });
      Later(mNow + first + kToken * kTokens * engine.mSlow, [this, request, aReplica, epoch] {
        if (mEngines[static_cast<std::size_t>(aReplica)].mEpoch == epoch) {
          Done(request, aReplica);
        }
      });
    }
  }

  void FirstToken(const std::shared_ptr<Request>& aRequest, int aReplica)
  {
    if (aRequest->mReplica != aReplica) {
      return;
    }
    const double first = mNow - aRequest->mArrived;
    mResult.mFirst.push_back(first);
    mResult.mInTime += first <= kInTime ? 1 : 0;
    Node& node = mNodes[static_cast<std::size_t>(aRequest->mNode)];
    NoteFirstToken(node, aReplica, mNow - aRequest->mSent);
  }

  void NoteFirstToken(Node& aNode, int aReplica, double aSample)
  {
    if (aSample <= 0) {
      return;
    }
    auto& mean = aNode.mFirstTokens["r" + std::to_string(aReplica)];
    mean.first = mNow - mean.second < 10 ? mean.first + 0.2 * (aSample - mean.first) : aSample;
    mean.second = mNow;
  }

  void Done(const std::shared_ptr<Request>& aRequest, int aReplica)
  {
    Engine& engine = mEngines[static_cast<std::size_t>(aReplica)];
    if (aRequest->mReplica != aReplica) {
      return;
    }
    engine.mActive.erase(aRequest->mId);
    --engine.mRunning;
    aRequest->mLoad->Leave();
    aRequest->mReplica = -1;
    ++mResult.mWhole;
    ++mResult.mByCustomer[static_cast<std::size_t>(aRequest->mCustomer)];
    Node& node = mNodes[static_cast<std::size_t>(aRequest->mNode)];
    node.mAdmission.OnDone(
      aRequest->mId,
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mNow - aRequest->mSent)));
    StartQueued(aReplica);
    Pump(node);
  }

  /// A quarter of the replicas loses power; nodes notice after the freshness of two seconds.
  void Dark(bool aDark)
  {
    const int struck = kReplicas / 4;
    for (int r = 0; r < struck; ++r) {
      Engine& engine = mEngines[static_cast<std::size_t>(r)];
      engine.mDark = aDark;
      if (aDark) {
        engine.mRunning = 0;
        engine.mQueue.clear();
        engine.mCache.clear();
        ++engine.mEpoch;
        for (const auto& [id, request] : engine.mActive) {
          Later(mNow + 2.0, [this, lost = request, r] { AttemptFailed(lost, r); });
        }
        engine.mActive.clear();
      }
    }
    if (mFault == Fault::kUnnoticed) {
      return;
    }
    Later(mNow + 2.0, [this, aDark] {
      for (auto& node : mNodes) {
        Pool& pool = node.mTable.mPools["p"];
        for (auto& it : pool.mTargets) {
          if (it.mGeneration < kReplicas / 4) {
            aDark ? it.mLoad->Close() : it.mLoad->Open();
            it.mWholeSince = At(mNow);
          }
        }
      }
      mWhole = aDark ? kReplicas * 3 / 4 : kReplicas;
    });
  }

  void Report()
  {
    for (int r = 0; r < kReplicas; ++r) {
      Engine& engine = mEngines[static_cast<std::size_t>(r)];
      engine.mHistory.emplace_back(mNow, engine.mRunning + static_cast<int>(engine.mQueue.size()));
      while (engine.mHistory.size() > 1 && engine.mHistory[1].first <= mNow - kReportLag) {
        engine.mHistory.pop_front();
      }
      for (auto& node : mNodes) {
        ReplicaTarget& target = node.mTable.mPools["p"].mTargets[static_cast<std::size_t>(r)];
        node.mReported[static_cast<std::size_t>(r)] = engine.mHistory.front().second;
        OthersEstimate& others = node.mOthers[static_cast<std::size_t>(r)];
        others.OnReport(engine.mHistory.front().second, target.mLoad->InFlight());
        target.mOthers = others.Value();
        target.mEjected = false;
        target.mSlowness = 1.0;
      }
    }
    for (auto& node : mNodes) {
      FirstTokenTimes times;
      for (const auto& [replica, mean] : node.mFirstTokens) {
        if (mNow - mean.second < 10) {
          times[replica] =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean.first));
        }
      }
      if (Scores()) {
        EjectStragglers(&node.mTable.mPools["p"], times, 3.0, 0.2);
      }
    }
    if (mNow < absl::GetFlag(FLAGS_seconds) + kDeadline) {
      Later(mNow + kReportEvery, [this] { Report(); });
    }
  }

  void ShareUsage()
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      PoolState pool;
      pool.mSlots = static_cast<std::size_t>(mWhole) * kSlots;
      pool.mNodes = kNodes;
      pool.mUsageAt = At(mNow);
      for (int c = 0; c < kCustomers; ++c) {
        pool.mShares["c" + std::to_string(c)] = ShareOf(c);
      }
      for (std::size_t j = 0; j < mNodes.size(); ++j) {
        for (const auto& [customer, usage] : mNodes[j].mAdmission.Usage()) {
          if (i != j) {
            pool.mOthers[customer].mRunning += usage.mRunning;
          }
        }
      }
      mNodes[i].mAdmission.SetPool(std::move(pool));
      Pump(mNodes[i]);
    }
    if (mNow < absl::GetFlag(FLAGS_seconds) + kDeadline) {
      Later(mNow + kUsageEvery, [this] { ShareUsage(); });
    }
  }

  Policy mPolicy;
  Fault mFault;
  double mRate = 0;
  double mNow = 0;
  std::uint64_t mOrder = 0;
  std::uint64_t mLastId = 0;
  int mWhole = kReplicas;
  std::priority_queue<Event> mEvents;
  std::vector<Engine> mEngines;
  std::vector<Node> mNodes;
  std::mt19937_64 mRandom;
  Result mResult;
};

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1))];
}

void
TimeDecisions()
{
  std::printf("%-10s %14s\n", "replicas", "decision us");
  for (const int size : { 10, 100, 1000, 7300 }) {
    RoutingTable table;
    Pool& pool = table.mPools["p"];
    for (int i = 0; i < size; ++i) {
      ReplicaTarget target;
      target.mReplica = "dc/profile-" + std::to_string(i);
      target.mSlots = kSlots;
      target.mLoad = std::make_shared<ReplicaLoad>();
      pool.mTargets.push_back(std::move(target));
    }
    pool.mSubset = static_cast<std::size_t>(std::min(size, 48));
    BuildRing(&pool);
    std::mt19937_64 random(1);
    constexpr int kRounds = 200000;
    const TimePoint begun = BootClock::now();
    for (int i = 0; i < kRounds; ++i) {
      RouteQuery query;
      query.mProfile = "p";
      query.mPrefix = random();
      const auto* target = ChooseReplica(table, query, {}, begun, [&random] { return random(); });
      target->mLoad->Leave();
    }
    const double us =
      std::chrono::duration<double, std::micro>(BootClock::now() - begun).count() / kRounds;
    std::printf("%-10d %14.3f\n", size, us);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  if (absl::GetFlag(FLAGS_decisions)) {
    TimeDecisions();
    return 0;
  }
  const std::pair<Policy, const char*> policies[] = { { Policy::kRandom, "random" },
                                                      { Policy::kRoundRobin, "round robin" },
                                                      { Policy::kLeastReported, "least reported" },
                                                      { Policy::kScoredNoRing, "scored, no ring" },
                                                      { Policy::kScored, "scored" },
                                                      { Policy::kNoRetryBudget, "no retry budget" },
                                                      { Policy::kFixedShares, "fixed shares" } };
  const std::pair<Fault, const char*> faults[] = { { Fault::kNone, "none" },
                                                   { Fault::kStraggler, "straggler" },
                                                   { Fault::kDarkDomain, "dark domain" },
                                                   { Fault::kReturned, "dark, returned" },
                                                   { Fault::kUnnoticed, "unnoticed" } };
  std::printf("%-15s %-5s %-16s %6s %8s %8s %8s %7s %7s %7s %6s %8s %9s\n",
              "fault",
              "load",
              "policy",
              "sent",
              "in time",
              "whole",
              "refused",
              "failed",
              "p50 ms",
              "p95 ms",
              "hits%",
              "attempts",
              "wait p95");
  for (const auto& [fault, faultName] : faults) {
    for (const double load : { 0.5, 0.9, 1.2, 2.0 }) {
      if (fault != Fault::kNone && load != 0.9) {
        continue;
      }
      for (const auto& [policy, name] : policies) {
        const Result it = Replay(policy, fault, load).Run();
        std::printf(
          "%-15s %-5.1f %-16s %6d %7.1f%% %7.1f%% %7.1f%% %7d %7.0f %7.0f %6.1f %8.3f %9.0f\n",
          faultName,
          load,
          name,
          it.mSent,
          100.0 * it.mInTime / it.mSent,
          100.0 * it.mWhole / it.mSent,
          100.0 * it.mRefused / it.mSent,
          it.mFailed,
          Percentile(it.mFirst, 0.5) * 1000,
          Percentile(it.mFirst, 0.95) * 1000,
          100.0 * it.mHits / std::max(1, it.mPrefills),
          static_cast<double>(it.mAttempts) / it.mSent,
          Percentile(it.mRefusalWait, 0.95) * 1000);
      }
    }
  }
  return 0;
}
