#include "attempt.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
// An engine's answer that exceeds one of these limits is invalid.
constexpr std::uint32_t kMaxHeaderBytes = 65536;
constexpr int kMaxInterimAnswers = 16; // interim (1xx) answers to one request
}

Attempt::Attempt(EngineConnector* aConnector, ConnectionPool* aPool, AttemptTarget aTarget)
  : mConnector(aConnector)
  , mPool(aPool)
  , mTarget(std::move(aTarget))
{
}

void
Attempt::Start(UpstreamRequest aRequest, bool aFresh, AttemptEvents aEvents)
{
  mRequest = std::move(aRequest);
  mEvents = std::move(aEvents);
  if (!aFresh) {
    mSocket = mPool->Take(mTarget.mEngine, [this](const std::string& aPeer) {
      return mConnector->MayUse(mTarget.mEngine, aPeer);
    });
  }
  if (mSocket) {
    mPooled = true;
    mPeer = mSocket->mPeer;
    Send();
    return;
  }
  Connect();
}

void
Attempt::Connect()
{
  mConnectId =
    mConnector->Connect(mTarget, [self = shared_from_this()](EngineConnection aConnection) {
      self->mConnectId = 0;
      if (!aConnection.mSocket) {
        self->mNotListening = aConnection.mNotListening;
        self->Finish(false, aConnection.mReason);
        return;
      }
      self->mSocket = std::move(aConnection.mSocket);
      self->mPeer = self->mSocket->mPeer;
      self->Send();
    });
}

void
Attempt::Send()
{
  mSent = true;
  mSerializer.emplace(mRequest);
  http::async_write(mSocket->mSocket,
                    *mSerializer,
                    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                      // A failed write is reported by the read, which may still find an early
                      // answer.
                      self->mAllWritten = !aError;
                    });
  ReadHead();
}

void
Attempt::ReadHead()
{
  mParser.emplace();
  mParser->header_limit(kMaxHeaderBytes);
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max()); // limited by the receiver
  if (mRequest.method() == http::verb::head) {
    mParser->skip(true);
  }
  http::async_read_header(
    mSocket->mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (self->mEnded) {
        return;
      }
      if (aError) {
        self->mStale = self->mPooled && self->mBuffer.size() == 0 && !self->mParser->got_some();
        self->Fail("head: ", aError);
        return;
      }
      self->OnHead();
    });
}

void
Attempt::OnHead()
{
  constexpr int kFirstFinal = 200;
  if (mParser->get().result_int() < kFirstFinal) {
    if (++mInterim > kMaxInterimAnswers) {
      mBadBytes = true;
      Finish(false, "head: too many interim answers");
      return;
    }
    ReadHead(); // the final answer follows
    return;
  }
  mEvents.mOnHead(static_cast<int>(mParser->get().result_int()), mParser->get().base());
}

void
Attempt::ReadMore()
{
  if (mEnded) {
    return;
  }
  if (mParser->is_done()) {
    Finish(true, "");
    return;
  }
  mParser->get().body().data = mPiece.data();
  mParser->get().body().size = mPiece.size();
  http::async_read_some(mSocket->mSocket,
                        mBuffer,
                        *mParser,
                        [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                          if (!self->mEnded) {
                            self->OnPiece(aError);
                          }
                        });
}

void
Attempt::OnPiece(boost::system::error_code aError)
{
  if (aError == http::error::need_buffer) {
    aError = {};
  }
  const std::size_t n = mPiece.size() - mParser->get().body().size;
  if (aError) {
    Fail("body: ", aError);
    return;
  }
  if (n == 0) {
    ReadMore();
    return;
  }
  mEvents.mOnBody({ mPiece.data(), n });
}

void
Attempt::Cancel()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  mEvents = {};
  if (mSocket) {
    // Bytes that the engine has not been sent yet are dropped, and an engine that has not read the
    // request can tell that nobody waits for it any more. After an orderly end it would run it.
    ResetOnClose(mSocket->mSocket);
  }
  CloseConnection();
}

void
Attempt::CloseConnection()
{
  if (mConnectId != 0) {
    mConnector->Cancel(std::exchange(mConnectId, 0));
  }
  if (mSocket) {
    CloseNow(mSocket->mSocket);
    mSocket->mTunnelCount.reset();
  }
}

void
Attempt::Fail(const char* aStep, const boost::system::error_code& aError)
{
  mClosed = aError == http::error::end_of_stream || aError == http::error::partial_message ||
            aError == asio::error::eof || aError == asio::error::connection_reset ||
            aError == asio::error::broken_pipe;
  mBadBytes =
    !mClosed && aError.category() == http::make_error_code(http::error::bad_method).category();
  Finish(false, aStep + aError.message());
}

void
Attempt::Finish(bool aComplete, const std::string& aWhy)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  AttemptEnd end;
  end.mComplete = aComplete;
  end.mByClose = aComplete && mParser->need_eof();
  end.mMayHaveRun = mSent;
  end.mClosed = mClosed;
  end.mBadBytes = mBadBytes;
  end.mStale = mStale && mClosed;
  end.mNotListening = mNotListening;
  end.mReason = aWhy;
  if (aComplete) {
    ReturnToPool();
  } else {
    CloseConnection();
  }
  const AttemptEvents events = std::exchange(mEvents, {});
  events.mOnEnd(end);
}

void
Attempt::ReturnToPool()
{
  // Unexpected bytes after the answer, or an unsent rest of this request, would corrupt the next
  // exchange on the connection.
  if (mParser->keep_alive() && mBuffer.size() == 0 && mAllWritten) {
    mPool->Put(mTarget.mEngine, std::move(*mSocket), mKeepAlive, mMaxIdle);
    return;
  }
  CloseConnection();
}

} // namespace pepperbay
