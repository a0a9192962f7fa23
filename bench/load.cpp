/// @file
/// @brief pepperbay_load: asks at nodes, or at an engine directly, and measures the answers.
///
/// Requests arrive in an open loop (they do not wait for each other), so that a slow system shows
/// as waiting and not as fewer requests. With --compare, requests alternate between the engine and
/// the nodes in one run, and the difference between the two is printed.

#include "pepperbay/http/client.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

ABSL_FLAG(std::string, nodes, "127.0.0.11:8080", "callers' addresses of nodes, by commas");
ABSL_FLAG(std::string, engine, "", "an engine, for --compare");
ABSL_FLAG(bool, compare, false, "alternate between engine and nodes");
ABSL_FLAG(std::string, profile, "checklist", "the profile asked for");
ABSL_FLAG(std::string, customers, "school", "customers, by commas; the first asks most");
ABSL_FLAG(double, first_customer, 0.0, "share of requests that the first customer makes");
ABSL_FLAG(double, rate, 50, "requests a second");
ABSL_FLAG(double, seconds, 5, "how long requests arrive");
ABSL_FLAG(int, tokens, 16, "tokens of an answer");
ABSL_FLAG(int, prefixes, 20, "different beginnings of prompts");
ABSL_FLAG(int, prefix_bytes, 512, "length of such a beginning");
ABSL_FLAG(int, deadline_ms, 10000, "deadline of each request");
ABSL_FLAG(int, in_time_ms, 490, "a first token later than this is not in time");
ABSL_FLAG(std::uint64_t, seed, 1, "of arrivals and prompts");
ABSL_FLAG(bool, json, false, "print JSON");

namespace {

using pepperbay::BootClock;
using pepperbay::HttpCall;
using pepperbay::HttpClient;
using pepperbay::HttpEvents;
using pepperbay::HttpHeader;
using pepperbay::HttpOutcome;
using pepperbay::TimePoint;
using Json = nlohmann::json;

double
Ms(pepperbay::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// One side of the measurement: all requests to the nodes, or all to the engine.
struct Series
{
  std::vector<double> mFirstToken;
  std::vector<double> mGaps;
  std::vector<double> mRefusalWait;
  std::map<std::string, int> mByCustomer; ///< whole answers
  int mSent = 0;
  int mWhole = 0;
  int mInTime = 0;
  int mRefused = 0;
  int mFailed = 0;
};

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto at =
    static_cast<std::size_t>(std::lround(aShare * static_cast<double>(aValues.size() - 1)));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(at), aValues.end());
  return aValues[at];
}

Json
Summary(const Series& aSeries)
{
  const auto three = [](const std::vector<double>& aValues) {
    return Json{ { "p50", Percentile(aValues, 0.5) },
                 { "p95", Percentile(aValues, 0.95) },
                 { "p99", Percentile(aValues, 0.99) } };
  };
  return { { "sent", aSeries.mSent },
           { "whole", aSeries.mWhole },
           { "in_time", aSeries.mInTime },
           { "refused", aSeries.mRefused },
           { "failed", aSeries.mFailed },
           { "first_token_ms", three(aSeries.mFirstToken) },
           { "token_gap_ms", three(aSeries.mGaps) },
           { "refusal_wait_ms", three(aSeries.mRefusalWait) },
           { "whole_by_customer", aSeries.mByCustomer } };
}

/// Sends requests and gathers what comes back.
class Load
{
public:
  Load()
  {
    constexpr int kClients = 2;
    for (int i = 0; i < kClients; ++i) {
      mClients.push_back(HttpClient::Create());
    }
  }

  void Send(const std::string& aAddress,
            const std::string& aCustomer,
            const std::string& aPrompt,
            Series* aSeries)
  {
    struct Progress
    {
      TimePoint mBegun = BootClock::now();
      TimePoint mLast{};
      int mTokens = 0;
      double mFirst = 0;
      int mStatus = 0;
      std::string mTail;
    };
    auto progress = std::make_shared<Progress>();
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = "http://" + aAddress + "/v1/chat/completions";
    const int deadline = absl::GetFlag(FLAGS_deadline_ms);
    call.mHeaders = { { "X-Customer", aCustomer }, { "X-Deadline-Ms", std::to_string(deadline) } };
    call.mBody = Json{
      { "model", absl::GetFlag(FLAGS_profile) },
      { "stream", true },
      { "max_tokens", absl::GetFlag(FLAGS_tokens) },
      { "messages", { { { "role", "user" }, { "content", aPrompt } } } }
    }.dump();
    call.mTimeout = std::chrono::milliseconds(deadline) + std::chrono::seconds(5);
    call.mOwnConnection = true;
    HttpEvents events;
    events.mOnHead = [progress](int aStatus, const std::vector<HttpHeader>&) {
      progress->mStatus = aStatus;
    };
    events.mOnBody = [this, progress, aSeries](std::string_view aBytes) {
      const TimePoint now = BootClock::now();
      if (progress->mStatus == 200) {
        const std::lock_guard lock(mMutex);
        if (progress->mTokens == 0) {
          progress->mFirst = Ms(now - progress->mBegun);
        } else {
          aSeries->mGaps.push_back(Ms(now - progress->mLast));
        }
        ++progress->mTokens;
      }
      progress->mLast = now;
      progress->mTail.append(aBytes);
      constexpr std::size_t kTail = 64;
      if (progress->mTail.size() > kTail) {
        progress->mTail.erase(0, progress->mTail.size() - kTail);
      }
      return true;
    };
    events.mOnDone = [this, progress, aSeries, aCustomer](const HttpOutcome& aOutcome) {
      const std::lock_guard lock(mMutex);
      const bool whole = aOutcome.mOk && progress->mStatus == 200 &&
                         progress->mTail.find("data: [DONE]") != std::string::npos;
      if (whole) {
        ++aSeries->mWhole;
        ++aSeries->mByCustomer[aCustomer];
        aSeries->mFirstToken.push_back(progress->mFirst);
        aSeries->mInTime += progress->mFirst <= absl::GetFlag(FLAGS_in_time_ms) ? 1 : 0;
      } else if (aOutcome.mOk && progress->mStatus == 503) {
        ++aSeries->mRefused;
        aSeries->mRefusalWait.push_back(Ms(BootClock::now() - progress->mBegun));
      } else {
        ++aSeries->mFailed;
      }
      --mOpen;
      mChanged.notify_all();
    };
    {
      const std::lock_guard lock(mMutex);
      ++mOpen;
      ++aSeries->mSent;
    }
    mClients[++mNext % mClients.size()]->Start(std::move(call), std::move(events));
  }

  void Wait()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mOpen == 0; });
  }

private:
  std::vector<std::unique_ptr<HttpClient>> mClients;
  std::size_t mNext = 0;
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mOpen = 0;
};

void
Print(const char* aName, const Json& aSummary)
{
  const auto& first = aSummary["first_token_ms"];
  const auto& gap = aSummary["token_gap_ms"];
  const int sent = aSummary["sent"].get<int>();
  const auto percent = [&](const char* aKey) {
    return 100.0 * aSummary[aKey].get<int>() / std::max(1, sent);
  };
  std::printf("%-6s sent %5d in time %5.1f%% whole %5.1f%% refused %5.1f%% failed %d | first token "
              "ms p50 %.2f p95 %.2f p99 %.2f | gap ms p50 %.2f p95 %.2f p99 %.2f | refusal ms p95 "
              "%.0f\n",
              aName,
              sent,
              percent("in_time"),
              percent("whole"),
              percent("refused"),
              aSummary["failed"].get<int>(),
              first["p50"].get<double>(),
              first["p95"].get<double>(),
              first["p99"].get<double>(),
              gap["p50"].get<double>(),
              gap["p95"].get<double>(),
              gap["p99"].get<double>(),
              aSummary["refusal_wait_ms"]["p95"].get<double>());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  const std::string nodeList = absl::GetFlag(FLAGS_nodes);
  const std::string customerList = absl::GetFlag(FLAGS_customers);
  const std::vector<std::string> nodes = absl::StrSplit(nodeList, ',');
  const std::vector<std::string> customers = absl::StrSplit(customerList, ',');
  const bool compare = absl::GetFlag(FLAGS_compare);
  std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
  std::exponential_distribution<double> pause(absl::GetFlag(FLAGS_rate));
  std::uniform_real_distribution<double> even(0, 1);
  Series throughNodes;
  Series direct;
  Load load;
  const TimePoint begun = BootClock::now();
  double at = 0;
  for (std::size_t n = 0; at < absl::GetFlag(FLAGS_seconds); ++n) {
    const TimePoint due =
      begun + std::chrono::duration_cast<pepperbay::Duration>(std::chrono::duration<double>(at));
    std::this_thread::sleep_for(due - BootClock::now());
    at += pause(random);
    const auto prefix = random() % static_cast<std::uint64_t>(absl::GetFlag(FLAGS_prefixes));
    std::string prompt = "prefix " + std::to_string(prefix) + " ";
    prompt.resize(static_cast<std::size_t>(absl::GetFlag(FLAGS_prefix_bytes)),
                  static_cast<char>('a' + prefix % 26));
    prompt += " question " + std::to_string(n);
    const bool first = customers.size() == 1 || even(random) < absl::GetFlag(FLAGS_first_customer);
    const std::string& customer =
      first ? customers[0] : customers[1 + random() % (customers.size() - 1)];
    if (compare && n % 2 == 0) {
      load.Send(absl::GetFlag(FLAGS_engine), customer, prompt, &direct);
    } else {
      load.Send(nodes[(n / (compare ? 2 : 1)) % nodes.size()], customer, prompt, &throughNodes);
    }
  }
  load.Wait();
  Json result{ { "nodes", Summary(throughNodes) } };
  if (compare) {
    result["engine"] = Summary(direct);
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << result.dump() << "\n";
    return 0;
  }
  Print("nodes", result["nodes"]);
  if (compare) {
    Print("engine", result["engine"]);
    const double node = result["nodes"]["first_token_ms"]["p50"].get<double>();
    const double engine = result["engine"]["first_token_ms"]["p50"].get<double>();
    std::printf("first token through a node: %+.2f ms, ratio %.3f (medians of one run)\n",
                node - engine,
                node / engine);
  }
  return 0;
}
