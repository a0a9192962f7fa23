#include "session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <iomanip>
#include <sstream>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr std::chrono::seconds kLinger{ 1 };
/// Time-out for a request's body after its headers; no setting covers it.
constexpr std::chrono::seconds kBodyTimeout{ 10 };

CallerLimits
LimitsOf(const RelayCore& aCore)
{
  if (aCore.mPlan && aCore.mPlan->mRoutes) {
    return aCore.mPlan->mRoutes->Limits();
  }
  return {};
}

} // namespace

Session::Session(RelayCore* aCore, Socket aSocket)
  : mCore(aCore)
  , mSocket(std::move(aSocket))
{
}

void
Session::Start()
{
  Prepare(mSocket);
  ReadRequest();
}

void
Session::ReadRequest()
{
  mExchange.reset();
  mIdle = true;
  mCloseAt = mCore->Now() + LimitsOf(*mCore).mIdleTimeout;
  mParser.emplace();
  if (mBuffer.size() > 0) {
    OnFirstBytes({});
    return;
  }
  mSocket.async_wait(
    Socket::wait_read,
    [self = shared_from_this()](boost::system::error_code aError) { self->OnFirstBytes(aError); });
}

void
Session::OnFirstBytes(boost::system::error_code aError)
{
  if (!mOpen) {
    return;
  }
  if (aError) {
    Close(aError.message());
    return;
  }
  const CallerLimits limits = LimitsOf(*mCore);
  mIdle = false;
  mArrived = mCore->Now();
  mCloseAt = mArrived + limits.mHeaderTimeout;
  mParser->header_limit(static_cast<std::uint32_t>(limits.mHeaderBytes));
  mParser->body_limit(limits.mBodyBytes);
  ReadHead();
}

void
Session::ReadHead()
{
  http::async_read_header(
    mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (!self->mOpen) {
        return;
      }
      if (aError) {
        self->OnBadRequest(aError);
        return;
      }
      self->mCloseAt = self->mCore->Now() + kBodyTimeout;
      const auto expect = self->mParser->get()[http::field::expect];
      if (boost::beast::iequals(expect, "100-continue") && !self->mParser->is_done()) {
        self->SendContinue();
        return;
      }
      self->ReadBody();
    });
}

void
Session::SendContinue()
{
  Write("HTTP/1.1 100 Continue\r\n\r\n", [self = shared_from_this()] { self->ReadBody(); });
}

void
Session::ReadBody()
{
  if (mParser->is_done()) {
    OnRequest();
    return;
  }
  http::async_read(mSocket,
                   mBuffer,
                   *mParser,
                   [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                     if (!self->mOpen) {
                       return;
                     }
                     if (aError) {
                       self->OnBadRequest(aError);
                       return;
                     }
                     self->OnRequest();
                   });
}

void
Session::OnRequest()
{
  mKeep = mParser->keep_alive();
  mChunked = mParser->get().version() >= kHttp11;
  mIsHead = mParser->get().method() == http::verb::head;
  mExchange = std::make_shared<Exchange>(mCore, this, mParser->release(), mArrived);
  mCore->mExchanges.insert(mExchange);
  WatchForClose();
  mExchange->Start();
}

void
Session::OnBadRequest(boost::system::error_code aError)
{
  int status = 0;
  if (aError == http::error::header_limit) {
    status = kHeaderTooLarge;
  } else if (aError == http::error::body_limit) {
    status = kTooLarge;
  } else if (aError.category() == http::make_error_code(http::error::end_of_stream).category() &&
             aError != http::error::end_of_stream && aError != http::error::partial_message) {
    status = kBadRequest;
  }
  if (status == 0) {
    Close(aError.message()); // the caller has disconnected
    return;
  }
  ++mCore->mCounters.mInvalid;
  ++mCore->mCounters.mReasons["bad_http"];
  mCore->Log("bad_http", { { "detail", aError.message() } });
  mKeep = false;
  mIsHead = mParser->get().method() == http::verb::head;
  CallerAnswer answer;
  answer.result(static_cast<unsigned>(status));
  answer.set(http::field::content_type, "application/json");
  answer.body() = R"({"error":{"reason":"bad_http","ran":"no"}})";
  answer.prepare_payload();
  SendAnswer(std::move(answer));
}

void
Session::WatchForClose()
{
  if (mWatching) {
    return;
  }
  mWatching = true;
  mSocket.async_wait(Socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code aError) {
                       self->mWatching = false;
                       if (!self->mOpen || aError || !self->mExchange) {
                         return;
                       }
                       if (Peek(self->mSocket) == PeekResult::kClosed) {
                         self->Close("closed by the caller");
                       }
                       // Unread bytes belong to a pipelined request, which is read later.
                     });
}

bool
Session::KeepsAlive() const
{
  return mKeep && !mCore->mStopping;
}

void
Session::SendAnswer(CallerAnswer aAnswer)
{
  if (!mOpen) {
    return;
  }
  mAnswering = true;
  mAnswer = std::move(aAnswer);
  mAnswer->version(kHttp11);
  const bool keep = KeepsAlive();
  mAnswer->set(http::field::connection, keep ? "keep-alive" : "close");
  if (mIsHead) {
    mAnswer->body().clear(); // the header stays that of an answer to GET
  }
  http::async_write(
    mSocket,
    *mAnswer,
    [self = shared_from_this(), keep](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Close("write: " + aError.message());
        return;
      }
      self->AfterAnswer(keep);
    });
}

void
Session::StartStream(int aStatus, const HeaderFields& aFields)
{
  if (!mOpen) {
    return;
  }
  http::response<http::empty_body> head;
  static_cast<HeaderFields&>(head.base()) = aFields;
  head.result(static_cast<unsigned>(aStatus));
  head.version(kHttp11);
  if (mChunked) {
    head.chunked(true);
  }
  mKeep = KeepsAlive() && mChunked;
  head.set(http::field::connection, mKeep ? "keep-alive" : "close");
  std::ostringstream text;
  text << head.base();
  mOut = text.str(); // written with the first event
}

void
Session::Push(const std::string& aBytes, std::function<void()> aDone)
{
  std::string out = std::exchange(mOut, {});
  if (mIsHead) {
    Write(std::move(out), std::move(aDone));
    return;
  }
  if (mChunked) {
    std::ostringstream size;
    size << std::hex << aBytes.size() << "\r\n";
    out += size.str() + aBytes + "\r\n";
  } else {
    out += aBytes;
  }
  Write(std::move(out), std::move(aDone));
}

void
Session::EndStream()
{
  std::string out = std::exchange(mOut, {});
  if (mChunked && !mIsHead) {
    out += "0\r\n\r\n";
  }
  mAnswering = true;
  Write(std::move(out), [self = shared_from_this(), keep = mKeep] { self->AfterAnswer(keep); });
}

void
Session::AbortStream()
{
  if (!mChunked) {
    ResetOnClose(mSocket); // without chunks, an orderly close would mark the answer as complete
  }
  Close("this node: the answer cannot be completed");
}

void
Session::Write(std::string aBytes, std::function<void()> aDone)
{
  if (!mOpen) {
    return;
  }
  auto bytes = std::make_shared<std::string>(std::move(aBytes));
  asio::async_write(mSocket,
                    asio::buffer(*bytes),
                    [self = shared_from_this(), bytes, done = std::move(aDone)](
                      boost::system::error_code aError, std::size_t) {
                      if (!self->mOpen) {
                        return;
                      }
                      if (aError) {
                        self->Close("write: " + aError.message());
                        return;
                      }
                      done();
                    });
}

void
Session::AfterAnswer(bool aKeep)
{
  if (!mOpen) {
    return;
  }
  mAnswering = false;
  mAnswer.reset();
  if (aKeep) {
    ReadRequest();
    return;
  }
  LingerAndClose();
}

void
Session::LingerAndClose()
{
  mExchange.reset();
  boost::system::error_code ec;
  mSocket.shutdown(Socket::shutdown_send, ec);
  mIdle = false;
  mLingers = true;
  mCloseAt = mCore->Now() + kLinger;
  DrainThenClose();
}

void
Session::DrainThenClose()
{
  mSocket.async_read_some(
    asio::buffer(mDrain),
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (!self->mOpen) {
        return;
      }
      if (aError) {
        self->Close(aError.message());
        return;
      }
      self->DrainThenClose();
    });
}

void
Session::Tick()
{
  if (mOpen && !mExchange && mCore->Now() >= mCloseAt) {
    Close("this node: no complete request in time");
  }
}

void
Session::CloseWhenIdle()
{
  if (mOpen && mIdle && !mExchange && Peek(mSocket) == PeekResult::kQuiet) {
    Close("this node: stopping");
  }
}

void
Session::LogClose(const std::string& aWhy) const
{
  const bool reading = !mIdle && !mExchange && !mLingers;
  if (!reading && !mAnswering) {
    return; // nothing was in progress, or the request is logged separately
  }
  mCore->Log("connection_closed",
             { { "phase", reading ? "reading" : "answering" },
               { "reason", aWhy },
               { "request", mExchange ? mExchange->RequestId() : "" },
               { "bytes", std::to_string(mBuffer.size()) },
               { "after_ms", std::to_string(ToMs(mCore->Now() - mArrived).count()) } });
}

void
Session::Close(const std::string& aWhy)
{
  if (!mOpen) {
    return;
  }
  const auto self = shared_from_this();
  mOpen = false;
  LogClose(aWhy);
  if (mExchange) {
    const auto exchange = std::exchange(mExchange, nullptr);
    exchange->OnCallerGone(aWhy);
  }
  CloseNow(mSocket);
  mCore->mSessions.erase(self);
}

} // namespace pepperbay
