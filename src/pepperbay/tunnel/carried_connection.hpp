/// @file
/// @brief One connection that is carried for another node: asked for, connected, passed on.
#pragma once

#include "pepperbay/tunnel/sockets.hpp"
#include "pepperbay/tunnel/tunnel_server.hpp"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pepperbay {

class CarriedConnection;

/// What connections need of the server that has taken them up.
class CarriedOwner
{
public:
  virtual ~CarriedOwner() = default;
  virtual const TunnelServerOptions& Options() const = 0;
  virtual const TunnelServerHooks& Hooks() const = 0;
  virtual TunnelCounters& Count() = 0;
  /// A request has come whole, or never will.
  /// @param aAddress IP number that it came from
  virtual void OnRequestRead(const std::string& aAddress) = 0;
  /// @return whether there is room for one more connection of a node; it is then taken.
  virtual bool TakeRoom(const std::string& aNode) = 0;
  virtual void GiveRoom(const std::string& aNode) = 0;
  virtual void OnOver(const std::shared_ptr<CarriedConnection>& aConnection) = 0;
};

class CarriedConnection : public std::enable_shared_from_this<CarriedConnection>
{
public:
  /// @param aAddress IP number of the asker
  CarriedConnection(boost::asio::io_context& aContext,
                    CarriedOwner* aOwner,
                    Socket aAsker,
                    std::string aAddress);

  void Start();
  void Tick();
  void Close();

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::empty_body>;
  using Answer = boost::beast::http::response<boost::beast::http::empty_body>;

  enum class Phase
  {
    kReading,    ///< the request comes
    kConnecting, ///< to the engine
    kLooking,    ///< the engine refuses, and it is found out whether others do as well
    kCarrying,
    kEnding, ///< the engine has ended its side, or the asker has been refused
    kOver,
  };

  /// One direction.
  struct Pipe
  {
    Socket* mFrom = nullptr;
    Socket* mTo = nullptr;
    std::uint64_t* mBytes = nullptr; ///< counts them
    bool mOfEngine = false;
    std::array<char, 8192> mBuffer{};
  };

  void OnRequest();
  void Forbid();
  void Connect();
  void OnConnected(boost::system::error_code aError);
  /// Find out once whether this node reaches other engines; without that its word on this one would
  /// say nothing.
  void FindSight();
  void Refuse(TunnelAnswer aAnswer);
  void SendHead(TunnelAnswer aAnswer, std::function<void()> aDone);
  void Read(Pipe* aPipe);
  void Write(Pipe* aPipe, std::size_t aSize);
  void OnReadError(const Pipe& aPipe, boost::system::error_code aError);
  /// Wait for the asker to close, so that what was sent to it is not lost.
  void AwaitClose();
  TimePoint Now() const { return mOwner->Options().mNow(); }

  CarriedOwner* mOwner;
  Socket mAsker;
  Socket mEngine;
  std::string mAddress;
  boost::beast::flat_buffer mBuffer;
  Parser mParser;
  TunnelRequest mRequest;
  Answer mAnswer;
  Phase mPhase = Phase::kReading;
  bool mHasRoom = false;
  bool mLooked = false;
  bool mSight = false;
  TimePoint mBegun{};
  TimePoint mUntil{}; ///< of the present phase; while it carries, if nothing passes
  Pipe mUp;           ///< to the engine
  Pipe mDown;
};

} // namespace pepperbay
