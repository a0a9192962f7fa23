/// @file
/// @brief One caller's connection, whose requests are handled one after the other.
#pragma once

#include "exchange.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

namespace pepperbay {

class Session
  : public AnswerWriter
  , public std::enable_shared_from_this<Session>
{
public:
  Session(RelayCore* aCore, Socket aSocket);

  void Start();
  /// Closes the connection if a time-out has passed.
  void Tick();
  /// Closes the connection if it is idle. Called repeatedly while the node stops.
  void CloseWhenIdle();
  /// @param aWhy for the log: which side closes, or the error
  void Close(const std::string& aWhy);

  void SendAnswer(CallerAnswer aAnswer) override;
  void StartStream(int aStatus, const HeaderFields& aFields) override;
  void Push(const std::string& aBytes, std::function<void()> aDone) override;
  void EndStream() override;
  void AbortStream() override;

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
  /// Closes the sending side and waits until the caller has closed its side. Closing a socket that
  /// has unread bytes would reset the connection, and the caller could lose the answer.
  void LingerAndClose();
  void DrainThenClose();
  bool KeepsAlive() const;
  /// Logs a connection that is closed while a request is partly read or an answer partly written.
  void LogClose(const std::string& aWhy) const;

  RelayCore* mCore;
  Socket mSocket;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::shared_ptr<Exchange> mExchange;
  std::optional<CallerAnswer> mAnswer;
  std::string mOut;
  std::array<char, 4096> mDrain{};
  TimePoint mArrived{}; ///< when the first bytes of the request arrived
  TimePoint mCloseAt{}; ///< time-out of an idle connection or an incomplete request
  bool mIdle = true;    ///< no byte of a request has arrived
  bool mWatching = false;
  bool mAnswering = false; ///< the last bytes of an answer are being written
  bool mLingers = false;   ///< the last answer is written; waits for the caller to close
  bool mChunked = true;
  bool mIsHead = false; ///< the request's method is HEAD; no answer to it has a body
  bool mKeep = true;    ///< the connection may be used for another request
  bool mOpen = true;
};

} // namespace pepperbay
