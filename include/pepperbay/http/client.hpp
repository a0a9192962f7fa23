/// @file
/// @brief An HTTP client: one thread drives any number of calls.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/http/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace pepperbay {

/// A proxy that a call's connection goes through, by `CONNECT`.
struct HttpProxy
{
  std::string mAddress; ///< `IP:port`
  std::vector<HttpHeader> mHeaders;
};

struct HttpCall
{
  std::string mMethod = "GET";
  std::string mUrl;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  /// A call is given up after this, once what had come of its answer by then has been read.
  Duration mTimeout = std::chrono::seconds(5);
  Duration mConnectTimeout = std::chrono::seconds(1);
  /// Use a connection of its own. The library resends a request by itself, POST included, when a
  /// reused connection closes before the first byte of the answer; what must not run twice may not
  /// travel on one.
  bool mOwnConnection = false;
  std::optional<HttpProxy> mProxy;
};

/// How a call ended.
struct HttpOutcome
{
  bool mOk = false; ///< a complete answer came, whatever its status
  int mStatus = 0;  ///< 0 when no answer began
  /// False only with proof: no byte of the request left this process.
  bool mMayHaveRun = true;
  /// No process listens at the address: the host has refused the connection. A connection that is
  /// reset later says less, as engines reset those beyond their limit.
  bool mRefused = false;
  Error mError; ///< set when not mOk
  /// What a proxy answered to `CONNECT`; status 0: nothing, or a connection through it was used
  /// again.
  int mProxyStatus = 0;
  std::vector<HttpHeader> mProxyHeaders;
};

/// What a call reports; all on the client's thread, so none may block.
struct HttpEvents
{
  /// The status and headers of the answer are in.
  std::function<void(int aStatus, const std::vector<HttpHeader>& aHeaders)> mOnHead;
  /// A piece of the body. Return false to give the call up.
  std::function<bool(std::string_view aBytes)> mOnBody;
  /// Exactly once, last.
  std::function<void(const HttpOutcome& aOutcome)> mOnDone;
};

/// An answer taken whole.
struct HttpFetched
{
  HttpOutcome mOutcome;
  HttpResponse mResponse;
};

struct HttpClientOptions
{
  long mMaxConnections = 64; ///< idle connections kept for reuse
  std::string mSource;       ///< IP number to connect from; empty lets the system choose
  NowFn mNow = &BootClock::now;
};

/// Bytes of requests and answers, headers included, of all calls that have ended.
struct HttpClientCounters
{
  std::uint64_t mCalls = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedBytes = 0;
};

class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(const HttpClientOptions& aOptions = {});
  virtual ~HttpClient() = default;

  /// Begin a call. @return its id, for `Cancel()`.
  virtual std::uint64_t Start(HttpCall aCall, HttpEvents aEvents) = 0;

  /// Give a call up; mOnDone still comes, with kCancelled, unless it came before.
  virtual void Cancel(std::uint64_t aId) = 0;

  /// Calls that begin from now on use no connection to the address that is open now. Calls under
  /// way go on. @param aAddress `IP:port`
  virtual void RetireConnections(const std::string& aAddress) = 0;

  virtual HttpClientCounters Counters() const = 0;

  /// Begin a call and have its whole answer delivered to `aDone`, on the client's thread.
  void Fetch(HttpCall aCall, std::function<void(HttpFetched)> aDone);

  /// Make a call and wait for it. Not for the client's own thread.
  HttpFetched FetchAndWait(HttpCall aCall);
};

} // namespace pepperbay
