#include "pepperbay/http/server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <microhttpd.h>
#include <mutex>
#include <set>
#include <unistd.h>

namespace pepperbay {
namespace {

constexpr std::size_t kConnectionMemory = std::size_t{ 32 } * 1024;
constexpr unsigned kListenBacklog = 1024;

/// One request and its answer. Locked by its own mutex: the server's threads and the threads that
/// answer meet here.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(MHD_Connection* aConnection, std::size_t aMaxBuffered)
    : mConnection(aConnection)
    , mMaxBuffered(aMaxBuffered)
  {
  }

  void Send(HttpResponse aResponse)
  {
    const std::lock_guard lock(mMutex);
    if (mHasAnswer || mClosed) {
      return;
    }
    mHasAnswer = true;
    mResponse = std::move(aResponse);
    Wake();
  }

  void StartStream(HttpResponse aHead)
  {
    const std::lock_guard lock(mMutex);
    if (mHasAnswer || mClosed) {
      return;
    }
    mHasAnswer = true;
    mStreamed = true;
    mResponse = std::move(aHead);
    Wake();
  }

  bool Write(std::string_view aBytes)
  {
    const std::lock_guard lock(mMutex);
    if (mClosed || mAborted || mEnded) {
      return false;
    }
    // A reader that stops reading would make this process hold its whole answer; cut it instead.
    if (mBuffer.size() - mRead + aBytes.size() > mMaxBuffered) {
      mBuffer.clear();
      mRead = 0;
      mAborted = true;
      Wake();
      return false;
    }
    mBuffer.append(aBytes);
    Wake();
    return true;
  }

  void End()
  {
    const std::lock_guard lock(mMutex);
    mEnded = true;
    Wake();
  }

  void Abort()
  {
    const std::lock_guard lock(mMutex);
    mAborted = true;
    mHasAnswer = true;
    Wake();
  }

  /// Nobody will answer any more.
  void Dropped()
  {
    const std::lock_guard lock(mMutex);
    if (!mHasAnswer) {
      mHasAnswer = true;
      mResponse = { 500, {}, R"({"error":{"message":"no answer was given"},"ran":"unknown"})" };
      Wake();
    } else if (mStreamed && !mEnded) {
      mAborted = true;
      Wake();
    }
  }

  void OnClosed(std::function<void(bool)> aHook)
  {
    bool complete = false;
    {
      const std::lock_guard lock(mMutex);
      if (!mClosed) {
        mOnClosed = std::move(aHook);
        return;
      }
      complete = mComplete;
    }
    aHook(complete);
  }

  /// @return whether the answer is complete, but not out.
  bool IsUnsent() const
  {
    const std::lock_guard lock(mMutex);
    return mHasAnswer && !mClosed && (!mStreamed || mEnded || mAborted);
  }

  /// The server is done with the connection.
  void Close(bool aComplete)
  {
    std::function<void(bool)> hook;
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
      mComplete = aComplete;
      mSuspended = false;
      hook = std::move(mOnClosed);
      mOnClosed = nullptr;
    }
    if (hook) {
      hook(aComplete);
    }
  }

  /// On the server's thread, with the request complete: queue the answer or sleep until there is
  /// one.
  /// @param aClosing the connection ends with the answer
  MHD_Result Answer(bool aClosing);

  /// Content reader of a streamed answer.
  ssize_t Read(char* aTo, std::size_t aMax)
  {
    const std::lock_guard lock(mMutex);
    const std::size_t waiting = mBuffer.size() - mRead;
    if (waiting > 0) {
      const std::size_t n = std::min(aMax, waiting);
      std::memcpy(aTo, mBuffer.data() + mRead, n);
      mRead += n;
      if (mRead == mBuffer.size()) {
        mBuffer.clear();
        mRead = 0;
      }
      return static_cast<ssize_t>(n);
    }
    if (mAborted) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (mEnded) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    Suspend();
    return 0;
  }

  HttpRequest mRequest;
  bool mIsHead = false;
  bool mTooLarge = false;
  bool mDispatched = false;

private:
  void Suspend()
  {
    mSuspended = true;
    MHD_suspend_connection(mConnection);
  }

  void Wake()
  {
    if (mSuspended) {
      mSuspended = false;
      MHD_resume_connection(mConnection);
    }
  }

  MHD_Connection* mConnection;
  std::size_t mMaxBuffered;
  mutable std::mutex mMutex;
  HttpResponse mResponse;
  std::string mBuffer;
  std::size_t mRead = 0;
  bool mHasAnswer = false;
  bool mStreamed = false;
  bool mEnded = false;
  bool mAborted = false;
  bool mSuspended = false;
  bool mClosed = false;
  bool mComplete = false;
  std::function<void(bool)> mOnClosed;
};

/// What a handler holds. Dropping it unanswered answers 500, so that no caller waits for nothing.
class ResponderImpl : public Responder
{
public:
  explicit ResponderImpl(std::shared_ptr<Exchange> aExchange)
    : mExchange(std::move(aExchange))
  {
  }
  ~ResponderImpl() override { mExchange->Dropped(); }
  ResponderImpl(const ResponderImpl&) = delete;
  ResponderImpl& operator=(const ResponderImpl&) = delete;

  void Send(HttpResponse aResponse) override { mExchange->Send(std::move(aResponse)); }
  void StartStream(HttpResponse aHead) override { mExchange->StartStream(std::move(aHead)); }
  bool Write(std::string_view aBytes) override { return mExchange->Write(aBytes); }
  void End() override { mExchange->End(); }
  void Abort() override { mExchange->Abort(); }
  void OnClosed(std::function<void(bool)> aHook) override { mExchange->OnClosed(std::move(aHook)); }

private:
  std::shared_ptr<Exchange> mExchange;
};

ssize_t
ReadStream(void* aClosure, std::uint64_t /*aPos*/, char* aBuf, std::size_t aMax)
{
  return (*static_cast<std::shared_ptr<Exchange>*>(aClosure))->Read(aBuf, aMax);
}

void
FreeStream(void* aClosure)
{
  delete static_cast<std::shared_ptr<Exchange>*>(aClosure);
}

MHD_Result
CollectHeader(void* aClosure, MHD_ValueKind /*aKind*/, const char* aKey, const char* aValue)
{
  auto* headers = static_cast<std::vector<HttpHeader>*>(aClosure);
  headers->push_back({ aKey, aValue != nullptr ? aValue : "" });
  return MHD_YES;
}

std::string
CallerIp(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == nullptr || info->client_addr == nullptr || info->client_addr->sa_family != AF_INET) {
    return "";
  }
  std::array<char, INET_ADDRSTRLEN> buf{};
  const auto* addr = reinterpret_cast<const sockaddr_in*>(info->client_addr);
  inet_ntop(AF_INET, &addr->sin_addr, buf.data(), buf.size());
  return buf.data();
}

class ServerImpl : public HttpServer
{
public:
  ServerImpl(const HttpServerOptions& aOptions, HttpHandler aHandler)
    : mOptions(aOptions)
    , mHandler(std::move(aHandler))
  {
  }

  ~ServerImpl() override
  {
    if (mDaemon == nullptr) {
      return;
    }
    StopAccepting();
    // The library waits for ever on a suspended connection when it stops; end each one first.
    std::set<std::shared_ptr<Exchange>> open;
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
      open = mOpen;
    }
    for (const auto& it : open) {
      it->Abort();
    }
    open.clear();
    MHD_stop_daemon(mDaemon);
    if (mListenSocket != MHD_INVALID_SOCKET) {
      ::shutdown(mListenSocket, SHUT_RDWR);
      ::close(mListenSocket);
    }
  }
  ServerImpl(const ServerImpl&) = delete;
  ServerImpl& operator=(const ServerImpl&) = delete;

  void StopAccepting() override
  {
    if (mListenSocket == MHD_INVALID_SOCKET) {
      mListenSocket = MHD_quiesce_daemon(mDaemon);
    }
  }

  void BeginClosing() override { mClosing = true; }

  std::size_t Open() const override
  {
    const std::lock_guard lock(mMutex);
    return mOpen.size();
  }

  std::size_t Connections() const override
  {
    const MHD_DaemonInfo* info = MHD_get_daemon_info(mDaemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
  }

  std::size_t Unsent() const override
  {
    const std::lock_guard lock(mMutex);
    return static_cast<std::size_t>(std::count_if(
      mOpen.begin(), mOpen.end(), [](const auto& aExchange) { return aExchange->IsUnsent(); }));
  }

  Result<void> Listen()
  {
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(static_cast<std::uint16_t>(mOptions.mPort));
    const std::string where = mOptions.mAddress + ":" + std::to_string(mOptions.mPort);
    if (inet_pton(AF_INET, mOptions.mAddress.c_str(), &addr.sin_addr) != 1) {
      return Error{ Errc::kInvalid, "http.listen", where, "not an IP number" };
    }
    mDaemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                               0,
                               nullptr,
                               nullptr,
                               &ServerImpl::OnAccess,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               reinterpret_cast<sockaddr*>(&addr),
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &ServerImpl::OnCompleted,
                               this,
                               MHD_OPTION_THREAD_POOL_SIZE,
                               static_cast<unsigned>(mOptions.mThreads > 1 ? mOptions.mThreads : 0),
                               MHD_OPTION_CONNECTION_LIMIT,
                               mOptions.mMaxConnections,
                               MHD_OPTION_CONNECTION_TIMEOUT,
                               static_cast<unsigned>(mOptions.mIdleTimeout.count()),
                               MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                               kConnectionMemory,
                               MHD_OPTION_LISTEN_BACKLOG_SIZE,
                               kListenBacklog,
                               MHD_OPTION_LISTENING_ADDRESS_REUSE,
                               1U,
                               MHD_OPTION_END);
    if (mDaemon == nullptr) {
      return Error{ Errc::kUnavailable, "http.listen", where, std::strerror(errno) };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

private:
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* /*aVersion*/,
                             const char* aData,
                             std::size_t* aDataSize,
                             void** aContext)
  {
    auto* self = static_cast<ServerImpl*>(aSelf);
    if (*aContext == nullptr) {
      return self->Begin(aConnection, aUrl, aMethod, aContext);
    }
    auto& exchange = *static_cast<std::shared_ptr<Exchange>*>(*aContext);
    if (*aDataSize > 0) {
      self->Collect(*exchange, aData, *aDataSize);
      *aDataSize = 0;
      return MHD_YES;
    }
    if (!exchange->mDispatched) {
      exchange->mDispatched = true;
      self->Dispatch(exchange);
    }
    return exchange->Answer(self->mClosing);
  }

  MHD_Result Begin(MHD_Connection* aConnection,
                   const char* aUrl,
                   const char* aMethod,
                   void** aContext)
  {
    auto exchange = std::make_shared<Exchange>(aConnection, mOptions.mMaxBuffered);
    exchange->mRequest.mMethod = aMethod;
    exchange->mIsHead = exchange->mRequest.mMethod == MHD_HTTP_METHOD_HEAD;
    exchange->mRequest.mPath = aUrl;
    exchange->mRequest.mCallerIp = CallerIp(aConnection);
    MHD_get_connection_values(
      aConnection, MHD_HEADER_KIND, &CollectHeader, &exchange->mRequest.mHeaders);
    MHD_get_connection_values(
      aConnection, MHD_GET_ARGUMENT_KIND, &CollectHeader, &exchange->mRequest.mQuery);
    {
      const std::lock_guard lock(mMutex);
      mOpen.insert(exchange);
      if (mStopping) {
        exchange->Abort();
      }
    }
    *aContext = new std::shared_ptr<Exchange>(std::move(exchange));
    return MHD_YES;
  }

  void Collect(Exchange& aExchange, const char* aData, std::size_t aSize) const
  {
    if (aExchange.mRequest.mBody.size() + aSize > mOptions.mMaxBody) {
      aExchange.mTooLarge = true;
      aExchange.mRequest.mBody.clear();
    }
    if (!aExchange.mTooLarge) {
      aExchange.mRequest.mBody.append(aData, aSize);
    }
  }

  void Dispatch(const std::shared_ptr<Exchange>& aExchange) const
  {
    if (aExchange->mTooLarge) {
      aExchange->Send({ 413,
                        {},
                        R"({"error":{"field":"body","message":"larger than )" +
                          std::to_string(mOptions.mMaxBody) + R"( bytes"},"ran":"no"})" });
      return;
    }
    mHandler(std::move(aExchange->mRequest), std::make_shared<ResponderImpl>(aExchange));
  }

  static void OnCompleted(void* aSelf,
                          MHD_Connection* /*aConnection*/,
                          void** aContext,
                          MHD_RequestTerminationCode aCode)
  {
    auto* self = static_cast<ServerImpl*>(aSelf);
    auto* held = static_cast<std::shared_ptr<Exchange>*>(*aContext);
    if (held == nullptr) {
      return;
    }
    {
      const std::lock_guard lock(self->mMutex);
      self->mOpen.erase(*held);
    }
    (*held)->Close(aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    delete held;
    *aContext = nullptr;
  }

  HttpServerOptions mOptions;
  HttpHandler mHandler;
  MHD_Daemon* mDaemon = nullptr;
  MHD_socket mListenSocket = MHD_INVALID_SOCKET;
  mutable std::mutex mMutex;
  std::set<std::shared_ptr<Exchange>> mOpen;
  bool mStopping = false;
  std::atomic<bool> mClosing{ false };
};

MHD_Result
Exchange::Answer(bool aClosing)
{
  const std::lock_guard lock(mMutex);
  if (!mHasAnswer) {
    Suspend();
    return MHD_YES;
  }
  if (mAborted && mBuffer.empty()) {
    return MHD_NO;
  }
  MHD_Response* response = nullptr;
  if (mStreamed && !mIsHead) { // the library ends a chunked body for HEAD as well
    constexpr std::size_t kBlock = 4096;
    response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
                                                 kBlock,
                                                 &ReadStream,
                                                 new std::shared_ptr<Exchange>(shared_from_this()),
                                                 &FreeStream);
  } else {
    response = MHD_create_response_from_buffer(
      mResponse.mBody.size(), mResponse.mBody.data(), MHD_RESPMEM_MUST_COPY);
  }
  MHD_add_response_header(response, "Content-Type", mResponse.mContentType.c_str());
  for (const auto& it : mResponse.mHeaders) {
    MHD_add_response_header(response, it.mName.c_str(), it.mValue.c_str());
  }
  if (aClosing) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const auto status = static_cast<unsigned>(mResponse.mStatus);
  const MHD_Result queued = MHD_queue_response(mConnection, status, response);
  MHD_destroy_response(response);
  return queued;
}

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(const HttpServerOptions& aOptions, HttpHandler aHandler)
{
  auto server = std::make_unique<ServerImpl>(aOptions, std::move(aHandler));
  auto listening = server->Listen();
  if (!listening.has_value()) {
    return listening.error();
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

} // namespace pepperbay
