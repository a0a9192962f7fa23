#include "carried_connection.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

/// The same time for every key, so that none can be found character by character.
bool
SameKey(const std::string& aLeft, const std::string& aRight)
{
  unsigned differs = aLeft.size() == aRight.size() ? 0 : 1;
  for (std::size_t i = 0; i < std::min(aLeft.size(), aRight.size()); ++i) {
    differs |= static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(aRight[i]);
  }
  return differs == 0;
}

} // namespace

CarriedConnection::CarriedConnection(asio::io_context& aContext,
                                     CarriedOwner* aOwner,
                                     Socket aAsker,
                                     std::string aAddress)
  : mOwner(aOwner)
  , mAsker(std::move(aAsker))
  , mEngine(aContext)
  , mAddress(std::move(aAddress))
{
  mUp.mFrom = &mAsker;
  mUp.mTo = &mEngine;
  mUp.mBytes = &mOwner->Count().mToEngines;
  mDown.mFrom = &mEngine;
  mDown.mTo = &mAsker;
  mDown.mBytes = &mOwner->Count().mFromEngines;
  mDown.mOfEngine = true;
}

void
CarriedConnection::Start()
{
  Prepare(mAsker);
  mBegun = Now();
  mUntil = mBegun + mOwner->Options().mHeadWithin;
  mParser.header_limit(kMostTunnelHeadBytes);
  http::async_read_header(
    mAsker,
    mBuffer,
    mParser,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (self->mPhase != Phase::kReading) {
        return;
      }
      if (aError) {
        self->Forbid();
        return;
      }
      self->OnRequest();
    });
}

void
CarriedConnection::Forbid()
{
  ++mOwner->Count().mForbidden;
  Close();
}

void
CarriedConnection::OnRequest()
{
  const auto& head = mParser.get();
  const auto request = ReadTunnelRequest([&head](const char* aName) {
    const auto value = head[aName];
    return std::string(value.data(), value.size());
  });
  const bool let = head.method() == http::verb::connect && request.has_value() &&
                   SameKey(request.value().mKey, mOwner->Options().mKey) && mBuffer.size() == 0;
  if (!let) {
    Forbid();
    return;
  }
  mRequest = request.value();
  mOwner->OnRequestRead(mAddress);
  mPhase = Phase::kConnecting;
  if (!mOwner->Hooks().mWhyNot().empty()) {
    Refuse(TunnelAnswer::kNotNow);
    return;
  }
  if (mOwner->Hooks().mAddressOf(mRequest.mEngine).empty()) {
    Refuse(TunnelAnswer::kUnknown);
    return;
  }
  mHasRoom = mOwner->TakeRoom(mRequest.mFrom);
  if (!mHasRoom) {
    Refuse(TunnelAnswer::kNotNow);
    return;
  }
  Connect();
}

void
CarriedConnection::Connect()
{
  const TunnelServerOptions& options = mOwner->Options();
  mBegun = Now();
  mUntil = mBegun + std::min(mRequest.mWithin, options.mMostWithin);
  Dial(mEngine,
       mOwner->Hooks().mAddressOf(mRequest.mEngine),
       [self = shared_from_this()](boost::system::error_code aError) {
         if (self->mPhase == Phase::kConnecting) {
           self->OnConnected(aError);
         }
       });
}

void
CarriedConnection::FindSight()
{
  if (std::exchange(mLooked, true)) {
    return;
  }
  mOwner->Hooks().mFindSight(mRequest.mEngine, mBegun, [self = shared_from_this()](bool aReaches) {
    self->mSight = aReaches;
    if (self->mPhase == Phase::kLooking) {
      self->Refuse(TunnelAnswer::kRefused);
    }
  });
}

void
CarriedConnection::OnConnected(boost::system::error_code aError)
{
  if (aError == asio::error::connection_refused) {
    mPhase = Phase::kLooking;
    FindSight();
    return;
  }
  if (aError) {
    Refuse(IsShortage(aError) ? TunnelAnswer::kNotNow : TunnelAnswer::kSilent);
    return;
  }
  mOwner->Hooks().mOnHeard(mRequest.mEngine);
  Prepare(mEngine);
  mPhase = Phase::kCarrying;
  mUntil = Now() + mOwner->Options().mIdle;
  SendHead(TunnelAnswer::kOpen, [this] {
    // An answer may end with its connection. Where this process is killed in the middle of it the
    // asker must not take the end for the engine's.
    ResetOnClose(mAsker);
    Read(&mUp);
    Read(&mDown);
  });
}

void
CarriedConnection::Refuse(TunnelAnswer aAnswer)
{
  CloseNow(mEngine);
  mPhase = Phase::kEnding;
  mUntil = Now() + mOwner->Options().mLinger;
  SendHead(aAnswer, [this] { AwaitClose(); });
}

void
CarriedConnection::SendHead(TunnelAnswer aAnswer, std::function<void()> aDone)
{
  ++mOwner->Count().mAnswers[ToString(aAnswer)];
  mAnswer.result(static_cast<unsigned>(StatusOf(aAnswer)));
  mAnswer.version(kHttp11);
  if (aAnswer != TunnelAnswer::kOpen) {
    mAnswer.set(http::field::content_length, "0");
    mAnswer.set(http::field::connection, "close");
  }
  if (mSight) {
    mAnswer.set(kTunnelSight, "yes");
  }
  http::async_write(mAsker,
                    mAnswer,
                    [self = shared_from_this(),
                     done = std::move(aDone)](boost::system::error_code aError, std::size_t) {
                      if (self->mPhase == Phase::kOver) {
                        return;
                      }
                      if (aError) {
                        self->Close();
                        return;
                      }
                      done();
                    });
}

void
CarriedConnection::Read(Pipe* aPipe)
{
  aPipe->mFrom->async_read_some(
    asio::buffer(aPipe->mBuffer),
    [self = shared_from_this(), aPipe](boost::system::error_code aError, std::size_t aSize) {
      if (self->mPhase == Phase::kOver) {
        return;
      }
      if (aError) {
        self->OnReadError(*aPipe, aError);
        return;
      }
      *aPipe->mBytes += aSize;
      if (self->mPhase == Phase::kCarrying) {
        self->mUntil = self->Now() + self->mOwner->Options().mIdle;
      }
      if (aPipe->mOfEngine) {
        self->mOwner->Hooks().mOnHeard(self->mRequest.mEngine);
      }
      self->Write(aPipe, aSize);
    });
}

void
CarriedConnection::Write(Pipe* aPipe, std::size_t aSize)
{
  asio::async_write(
    *aPipe->mTo,
    asio::buffer(aPipe->mBuffer.data(), aSize),
    [self = shared_from_this(), aPipe](boost::system::error_code aError, std::size_t) {
      if (self->mPhase == Phase::kOver) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->Read(aPipe);
    });
}

void
CarriedConnection::OnReadError(const Pipe& aPipe, boost::system::error_code aError)
{
  if (!aPipe.mOfEngine || aError != asio::error::eof) {
    if (!aPipe.mOfEngine && aError != asio::error::eof) {
      ResetOnClose(mEngine); // the asker has withdrawn its request, and so does this node
    }
    Close(); // the asker wants no more of it, or the engine was reset and the asker has to see that
    return;
  }
  boost::system::error_code ec; // a connection that has ended is read to its end all the same
  mAsker.shutdown(Socket::shutdown_send, ec);
  mPhase = Phase::kEnding;
  mUntil = Now() + mOwner->Options().mLinger;
}

void
CarriedConnection::AwaitClose()
{
  boost::system::error_code ec; // the same
  mAsker.shutdown(Socket::shutdown_send, ec);
  mAsker.async_read_some(
    asio::buffer(mUp.mBuffer),
    [self = shared_from_this()](boost::system::error_code, std::size_t) { self->Close(); });
}

void
CarriedConnection::Tick()
{
  if (mPhase == Phase::kConnecting) {
    FindSight(); // one that is well has answered by now
  }
  if (mPhase == Phase::kOver || Now() < mUntil) {
    return;
  }
  if (mPhase == Phase::kConnecting || mPhase == Phase::kLooking) {
    Refuse(mPhase == Phase::kLooking ? TunnelAnswer::kRefused : TunnelAnswer::kSilent);
    return;
  }
  if (mPhase == Phase::kReading) {
    Forbid();
    return;
  }
  Close();
}

void
CarriedConnection::Close()
{
  if (mPhase == Phase::kOver) {
    return;
  }
  const auto self = shared_from_this();
  if (mPhase == Phase::kReading) {
    mOwner->OnRequestRead(mAddress);
  }
  mPhase = Phase::kOver;
  if (std::exchange(mHasRoom, false)) {
    mOwner->GiveRoom(mRequest.mFrom);
  }
  CloseNow(mAsker);
  CloseNow(mEngine);
  mOwner->OnOver(self);
}

} // namespace pepperbay
