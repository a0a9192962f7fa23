#include "pepperbay/http/client.hpp"

#include "pepperbay/base/system_error.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <curl/curl.h>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <system_error>
#include <thread>

namespace pepperbay {
namespace {

/// Answers larger than this are given up when taken whole; a peer gone mad must not fill memory.
constexpr std::size_t kMaxFetched = 64U << 20U;
constexpr int kPollMs = 1000;

struct CurlGlobal
{
  CurlGlobal() { curl_global_init(CURL_GLOBAL_ALL); }
};

/// One call in progress; owned and touched by the client's thread only.
struct Transfer
{
  std::uint64_t mId = 0;
  HttpCall mCall;
  HttpEvents mEvents;
  CURL* mEasy = nullptr;
  curl_slist* mHeaderList = nullptr;
  curl_slist* mProxyHeaderList = nullptr;
  std::vector<HttpHeader> mAnswerHeaders;
  TimePoint mGiveUpAt{};
  TimePoint mConnectBy{};
  bool mHeadReported = false;
  bool mHeadEnded = false; ///< of the latest answer, an interim one or a proxy's included
  bool mGivenUp = false;
  int mNoSocket = 0; ///< errno where none could be opened
};

curl_socket_t
OpenSocket(void* aSelf, curlsocktype /*aPurpose*/, curl_sockaddr* aAddress)
{
  const int socket =
    ::socket(aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
  if (socket < 0) {
    static_cast<Transfer*>(aSelf)->mNoSocket = errno;
    return CURL_SOCKET_BAD;
  }
  return socket;
}

/// @return errno of the last attempt to connect; 0 for none.
int
ConnectErrno(const Transfer& aTransfer)
{
  long connecting = 0;
  curl_easy_getinfo(aTransfer.mEasy, CURLINFO_OS_ERRNO, &connecting);
  return static_cast<int>(connecting);
}

/// @return errno where the call failed for want of something of this process; 0 for any other.
int
ShortageOf(const Transfer& aTransfer)
{
  const int error = aTransfer.mNoSocket != 0 ? aTransfer.mNoSocket : ConnectErrno(aTransfer);
  return IsShortage(error) ? error : 0;
}

bool
IsConnected(const Transfer& aTransfer)
{
  curl_off_t took = 0;
  curl_easy_getinfo(aTransfer.mEasy, CURLINFO_PRETRANSFER_TIME_T, &took);
  return took > 0;
}

/// @return when a call is given up, as it stands.
TimePoint
EndOf(const Transfer& aTransfer)
{
  return IsConnected(aTransfer) ? aTransfer.mGiveUpAt
                                : std::min(aTransfer.mGiveUpAt, aTransfer.mConnectBy);
}

std::string
Trimmed(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(" \t\r\n");
  return std::string(aText.substr(first, last - first + 1));
}

/// @return the `IP:port` of a URL.
std::string
AddressOf(const std::string& aUrl)
{
  constexpr std::string_view kScheme = "http://";
  return aUrl.substr(kScheme.size(), aUrl.find('/', kScheme.size()) - kScheme.size());
}

void
ReportHead(Transfer& aTransfer)
{
  if (aTransfer.mHeadReported) {
    return;
  }
  aTransfer.mHeadReported = true;
  long status = 0;
  curl_easy_getinfo(aTransfer.mEasy, CURLINFO_RESPONSE_CODE, &status);
  if (aTransfer.mEvents.mOnHead) {
    aTransfer.mEvents.mOnHead(static_cast<int>(status), aTransfer.mAnswerHeaders);
  }
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& transfer = *static_cast<Transfer*>(aSelf);
  const std::string_view line(aData, aSize * aCount);
  if (line.substr(0, 5) == "HTTP/") {
    transfer.mAnswerHeaders.clear();
    transfer.mHeadEnded = false;
    return line.size();
  }
  transfer.mHeadEnded = transfer.mHeadEnded || Trimmed(line).empty(); // trailers follow a head
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    transfer.mAnswerHeaders.push_back(
      { std::string(line.substr(0, colon)), Trimmed(line.substr(colon + 1)) });
  }
  return line.size();
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& transfer = *static_cast<Transfer*>(aSelf);
  const std::string_view bytes(aData, aSize * aCount);
  ReportHead(transfer);
  const bool wanted = !transfer.mEvents.mOnBody || transfer.mEvents.mOnBody(bytes);
  if (!wanted) {
    transfer.mGivenUp = true;
    return 0;
  }
  return bytes.size();
}

class ClientImpl : public HttpClient
{
public:
  explicit ClientImpl(const HttpClientOptions& aOptions)
    : mOptions(aOptions)
  {
    static const CurlGlobal global;
    mMulti = curl_multi_init();
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, aOptions.mMaxConnections);
    mThread = std::thread([this] { Run(); });
  }

  ~ClientImpl() override
  {
    mStop = true;
    curl_multi_wakeup(mMulti);
    mThread.join();
    curl_multi_cleanup(mMulti);
  }
  ClientImpl(const ClientImpl&) = delete;
  ClientImpl& operator=(const ClientImpl&) = delete;

  std::uint64_t Start(HttpCall aCall, HttpEvents aEvents) override
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->mCall = std::move(aCall);
    transfer->mEvents = std::move(aEvents);
    std::uint64_t id = 0;
    {
      const std::lock_guard lock(mMutex);
      id = ++mLastId;
      transfer->mId = id;
      mNew.push_back(std::move(transfer));
    }
    curl_multi_wakeup(mMulti);
    return id;
  }

  void Cancel(std::uint64_t aId) override
  {
    {
      const std::lock_guard lock(mMutex);
      mCancelled.insert(aId);
    }
    curl_multi_wakeup(mMulti);
  }

  void RetireConnections(const std::string& aAddress) override
  {
    const std::lock_guard lock(mMutex);
    mRetired[aAddress] = mOptions.mNow();
  }

  HttpClientCounters Counters() const override
  {
    return { mCalls.load(), mSentBytes.load(), mReceivedBytes.load() };
  }

private:
  void Run()
  {
    pthread_setname_np(pthread_self(), "http-client");
    while (!mStop) {
      TakeCommands();
      const TimePoint looked = mOptions.mNow();
      int running = 0;
      curl_multi_perform(mMulti, &running);
      ReapFinished();
      GiveUp(looked);
      curl_multi_poll(mMulti, nullptr, 0, PollMs(), nullptr);
    }
    TakeCommands();
    while (!mActive.empty()) {
      Finish(mActive.begin()->first, CURLE_ABORTED_BY_CALLBACK, true);
    }
  }

  /// Give up the calls whose time was over before their connections were looked at. One whose time
  /// has run out since, while this thread was busy or did not run, may have an answer to be read.
  void GiveUp(TimePoint aLooked)
  {
    std::vector<CURL*> over;
    for (const auto& [easy, transfer] : mActive) {
      if (EndOf(*transfer) <= aLooked) {
        over.push_back(easy);
      }
    }
    for (auto* it : over) {
      Finish(it, CURLE_OPERATION_TIMEDOUT, false);
    }
  }

  int PollMs() const
  {
    const TimePoint now = mOptions.mNow();
    auto wait = std::chrono::milliseconds(kPollMs);
    for (const auto& [easy, transfer] : mActive) {
      wait = std::min(wait, std::chrono::ceil<std::chrono::milliseconds>(EndOf(*transfer) - now));
    }
    return static_cast<int>(std::max<std::int64_t>(0, wait.count()));
  }

  void TakeCommands()
  {
    std::vector<std::unique_ptr<Transfer>> fresh;
    std::set<std::uint64_t> cancelled;
    {
      const std::lock_guard lock(mMutex);
      fresh.swap(mNew);
      cancelled.swap(mCancelled);
    }
    for (auto& it : fresh) {
      Begin(std::move(it));
    }
    for (const auto id : cancelled) {
      for (const auto& [easy, transfer] : mActive) {
        if (transfer->mId == id) {
          Finish(easy, CURLE_ABORTED_BY_CALLBACK, true);
          break;
        }
      }
    }
  }

  void Begin(std::unique_ptr<Transfer> aTransfer)
  {
    CURL* easy = curl_easy_init();
    aTransfer->mEasy = easy;
    const TimePoint now = mOptions.mNow();
    aTransfer->mGiveUpAt = now + aTransfer->mCall.mTimeout;
    aTransfer->mConnectBy = now + aTransfer->mCall.mConnectTimeout;
    Configure(*aTransfer);
    curl_multi_add_handle(mMulti, easy);
    mActive.emplace(easy, std::move(aTransfer));
  }

  void Configure(Transfer& aTransfer)
  {
    CURL* easy = aTransfer.mEasy;
    const HttpCall& call = aTransfer.mCall;
    curl_easy_setopt(easy, CURLOPT_URL, call.mUrl.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    ConfigureProxy(aTransfer);
    ConfigureReuse(aTransfer);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &aTransfer);
    if (!mOptions.mSource.empty()) {
      curl_easy_setopt(easy, CURLOPT_INTERFACE, mOptions.mSource.c_str());
    }
    for (const auto& it : call.mHeaders) {
      const std::string line = it.mName + ": " + it.mValue;
      aTransfer.mHeaderList = curl_slist_append(aTransfer.mHeaderList, line.c_str());
    }
    if (call.mMethod == "POST") {
      // Without this the library waits up to a second for leave to send a larger body.
      aTransfer.mHeaderList = curl_slist_append(aTransfer.mHeaderList, "Expect:");
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(
        easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.mBody.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.mBody.data());
    } else if (call.mMethod != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.mMethod.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aTransfer.mHeaderList);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  }

  void ConfigureReuse(Transfer& aTransfer)
  {
    CURL* easy = aTransfer.mEasy;
    if (aTransfer.mCall.mOwnConnection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
      return;
    }
    const auto since = SinceRetired(AddressOf(aTransfer.mCall.mUrl));
    if (!since) {
      return;
    }
    // The library compares whole seconds of a connection's age, rounded down, and takes a limit of
    // zero for none.
    const long limit =
      static_cast<long>(std::chrono::floor<std::chrono::seconds>(*since).count()) - 1;
    if (limit > 0) {
      curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, limit);
    } else {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
  }

  /// @return the time since the connections to an address were retired; none: they never were.
  std::optional<Duration> SinceRetired(const std::string& aAddress)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRetired.find(aAddress);
    return it == mRetired.end() ? std::nullopt : std::make_optional(mOptions.mNow() - it->second);
  }

  static void ConfigureProxy(Transfer& aTransfer)
  {
    CURL* easy = aTransfer.mEasy;
    const auto& proxy = aTransfer.mCall.mProxy;
    // Without a proxy the library must not take one from the environment.
    curl_easy_setopt(easy, CURLOPT_PROXY, proxy ? ("http://" + proxy->mAddress).c_str() : "");
    if (!proxy) {
      return;
    }
    curl_easy_setopt(easy, CURLOPT_HTTPPROXYTUNNEL, 1L);
    curl_easy_setopt(easy, CURLOPT_HEADEROPT, static_cast<long>(CURLHEADER_SEPARATE));
    for (const auto& it : proxy->mHeaders) {
      const std::string line = it.mName + ": " + it.mValue;
      aTransfer.mProxyHeaderList = curl_slist_append(aTransfer.mProxyHeaderList, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_PROXYHEADER, aTransfer.mProxyHeaderList);
  }

  void ReapFinished()
  {
    int left = 0;
    while (CURLMsg* msg = curl_multi_info_read(mMulti, &left)) {
      if (msg->msg == CURLMSG_DONE) {
        Finish(msg->easy_handle, msg->data.result, false);
      }
    }
  }

  void Finish(CURL* aEasy, CURLcode aCode, bool aCancelled)
  {
    auto it = mActive.find(aEasy);
    if (it == mActive.end()) {
      return;
    }
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    mActive.erase(it);
    const HttpOutcome outcome = Judge(*transfer, aCode, aCancelled);
    CountBytes(*transfer);
    if (outcome.mOk) {
      ReportHead(*transfer);
    }
    curl_multi_remove_handle(mMulti, aEasy);
    curl_easy_cleanup(aEasy);
    curl_slist_free_all(transfer->mHeaderList);
    curl_slist_free_all(transfer->mProxyHeaderList);
    if (transfer->mEvents.mOnDone) {
      transfer->mEvents.mOnDone(outcome);
    }
  }

  void CountBytes(const Transfer& aTransfer)
  {
    long head = 0;
    long answerHead = 0;
    curl_off_t answer = 0;
    curl_easy_getinfo(aTransfer.mEasy, CURLINFO_REQUEST_SIZE, &head);
    curl_easy_getinfo(aTransfer.mEasy, CURLINFO_HEADER_SIZE, &answerHead);
    curl_easy_getinfo(aTransfer.mEasy, CURLINFO_SIZE_DOWNLOAD_T, &answer);
    ++mCalls;
    mSentBytes += static_cast<std::uint64_t>(head) + aTransfer.mCall.mBody.size();
    mReceivedBytes += static_cast<std::uint64_t>(answerHead) + static_cast<std::uint64_t>(answer);
  }

  static HttpOutcome Judge(const Transfer& aTransfer, CURLcode aCode, bool aCancelled)
  {
    HttpOutcome outcome;
    long status = 0;
    long sent = 0;
    curl_easy_getinfo(aTransfer.mEasy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(aTransfer.mEasy, CURLINFO_REQUEST_SIZE, &sent);
    outcome.mStatus = static_cast<int>(status);
    if (aTransfer.mCall.mProxy) {
      long connect = 0;
      curl_easy_getinfo(aTransfer.mEasy, CURLINFO_HTTP_CONNECTCODE, &connect);
      outcome.mProxyStatus = static_cast<int>(connect);
      constexpr int kOk = 200;
      if (connect != 0 && connect != kOk) {
        outcome.mProxyHeaders = aTransfer.mAnswerHeaders;
      }
    }
    // The library takes a head that the other side breaks off for the whole answer.
    const bool brokenOff = aCode == CURLE_OK && !aTransfer.mHeadEnded;
    outcome.mOk = aCode == CURLE_OK && !brokenOff && !aCancelled;
    // No byte of the request was written and none of an answer was read: it cannot have run.
    outcome.mMayHaveRun = sent != 0 || status != 0;
    if (outcome.mOk) {
      return outcome;
    }
    outcome.mError.mStep = "http." + aTransfer.mCall.mMethod;
    outcome.mError.mPeer = aTransfer.mCall.mUrl;
    outcome.mError.mDetail =
      brokenOff ? "the answer ended within its head" : curl_easy_strerror(aCode);
    outcome.mRefused = aCode == CURLE_COULDNT_CONNECT && ConnectErrno(aTransfer) == ECONNREFUSED &&
                       !aTransfer.mCall.mProxy;
    const int shortage = ShortageOf(aTransfer);
    if (shortage != 0) {
      outcome.mError.mCode = Errc::kInternal;
      outcome.mError.mDetail += ": " + std::generic_category().message(shortage);
    } else if (aCancelled || aTransfer.mGivenUp) {
      outcome.mError.mCode = Errc::kCancelled;
    } else if (aCode == CURLE_OPERATION_TIMEDOUT) {
      outcome.mError.mCode = Errc::kTimeout;
    } else {
      outcome.mError.mCode = Errc::kUnavailable;
    }
    return outcome;
  }

  HttpClientOptions mOptions;
  CURLM* mMulti = nullptr;
  std::thread mThread;
  std::atomic<bool> mStop{ false };
  std::atomic<std::uint64_t> mCalls{ 0 };
  std::atomic<std::uint64_t> mSentBytes{ 0 };
  std::atomic<std::uint64_t> mReceivedBytes{ 0 };
  std::mutex mMutex;
  std::uint64_t mLastId = 0;
  std::vector<std::unique_ptr<Transfer>> mNew;
  std::set<std::uint64_t> mCancelled;
  std::map<std::string, TimePoint> mRetired; ///< by address
  std::map<CURL*, std::unique_ptr<Transfer>> mActive;
};

} // namespace

std::unique_ptr<HttpClient>
HttpClient::Create(const HttpClientOptions& aOptions)
{
  return std::make_unique<ClientImpl>(aOptions);
}

void
HttpClient::Fetch(HttpCall aCall, std::function<void(HttpFetched)> aDone)
{
  auto fetched = std::make_shared<HttpFetched>();
  HttpEvents events;
  events.mOnHead = [fetched](int aStatus, const std::vector<HttpHeader>& aHeaders) {
    fetched->mResponse.mStatus = aStatus;
    fetched->mResponse.mHeaders = aHeaders;
  };
  events.mOnBody = [fetched](std::string_view aBytes) {
    fetched->mResponse.mBody.append(aBytes);
    return fetched->mResponse.mBody.size() <= kMaxFetched;
  };
  events.mOnDone = [fetched, done = std::move(aDone)](const HttpOutcome& aOutcome) {
    fetched->mOutcome = aOutcome;
    done(std::move(*fetched));
  };
  Start(std::move(aCall), std::move(events));
}

HttpFetched
HttpClient::FetchAndWait(HttpCall aCall)
{
  auto promise = std::make_shared<std::promise<HttpFetched>>();
  auto answer = promise->get_future();
  Fetch(std::move(aCall),
        [promise](HttpFetched aFetched) { promise->set_value(std::move(aFetched)); });
  return answer.get();
}

} // namespace pepperbay
