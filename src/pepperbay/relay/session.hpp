/// @file
/// @brief One connection of a caller: its requests, one after the other.
#pragma once

#include "exchange.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

namespace pepperbay {

class Session
  : public CallerSide
  , public std::enable_shared_from_this<Session>
{
public:
  Session(RelayCore* aCore, Socket aSocket);

  void Start();
  /// Do what is due by time.
  void Tick();
  /// The node stops: close as soon as no request is in the way.
  void CloseWhenIdle();
  /// @param aWhy for people: who closes, or how the connection ended
  void Close(const std::string& aWhy);

  void SendWhole(CallerAnswer aAnswer) override;
  void StartStream(int aStatus, const HeaderFields& aFields) override;
  void Push(const std::string& aBytes, std::function<void()> aDone) override;
  void EndStream() override;
  void Break() override;

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadRequest();
  void OnFirstBytes(boost::system::error_code aError);
  void ReadHead();
  void ReadBody();
  void OnRequest();
  void OnBadRequest(boost::system::error_code aError);
  void SendContinue();
  void WatchForClose();
  void Write(std::string aBytes, std::function<void()> aDone);
  void AfterAnswer(bool aKeep);
  /// Let the caller read the answer before the connection goes: closing with unread bytes would
  /// reset it and the answer be lost.
  void LingerAndClose();
  void DrainThenClose();
  bool KeepsAlive() const;
  /// A line for a connection that ends under a request that is half read, or an answer half
  /// written.
  void LogClose(const std::string& aWhy) const;

  RelayCore* mCore;
  Socket mSocket;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::shared_ptr<Exchange> mExchange;
  std::optional<CallerAnswer> mAnswer;
  std::string mOut;
  std::array<char, 4096> mDrain{};
  TimePoint mArrived{}; ///< the first bytes of the request
  TimePoint mCloseAt{}; ///< idle or half-read for too long by then
  bool mIdle = true;    ///< no byte of a request has come
  bool mWatching = false;
  bool mAnswering = false; ///< the last bytes of an answer are being written
  bool mLingers = false;   ///< the last answer is out; only the caller's end is awaited
  bool mChunked = true;
  bool mKeep = true; ///< the caller takes another answer on this connection
  bool mOpen = true;
};

} // namespace pepperbay
