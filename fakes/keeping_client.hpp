/// @file
/// @brief A caller that keeps its connection from one request to the next, and never sends a
/// request twice by itself.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperbay {

struct KeptAnswer
{
  int mStatus = 0;     ///< 0: none came
  bool mWhole = false; ///< to its end, by its length or by its chunks
  std::string mHead;
  std::string mBody; ///< with the chunks' own lines
};

/// @code
/// KeepingClient client("127.0.0.1", 8080);
/// const KeptAnswer answer = client.Ask("GET / HTTP/1.1\r\nHost: a\r\n\r\n", seconds(2));
/// @endcode
class KeepingClient
{
public:
  KeepingClient(std::string aIp, int aPort)
    : mIp(std::move(aIp))
    , mPort(aPort)
  {
  }
  ~KeepingClient() { Close(); }
  KeepingClient(const KeepingClient&) = delete;
  KeepingClient& operator=(const KeepingClient&) = delete;

  /// Where the next connection goes to; the one that stands is kept.
  void SetIp(std::string aIp) { mIp = std::move(aIp); }

  KeptAnswer Ask(const std::string& aRequest, Duration aWithin)
  {
    const TimePoint until = BootClock::now() + aWithin;
    KeptAnswer answer;
    mBytes.clear();
    if (!Connect() || !Send(aRequest) || !ReadUntil("\r\n\r\n", until)) {
      Close();
      return answer;
    }
    const std::size_t head = mBytes.find("\r\n\r\n") + 4;
    answer.mHead = mBytes.substr(0, head);
    answer.mStatus = std::atoi(mBytes.c_str() + std::string_view("HTTP/1.1 ").size());
    answer.mWhole = ReadBody(answer.mHead, head, until);
    answer.mBody = mBytes.substr(head);
    if (!answer.mWhole || Field(answer.mHead, "connection") == "close") {
      Close();
    }
    return answer;
  }

  /// @return a field of a head; empty for none.
  static std::string Field(const std::string& aHead, std::string_view aName)
  {
    for (std::size_t at = 0; (at = aHead.find("\r\n", at)) != std::string::npos;) {
      at += 2;
      const std::size_t colon = aHead.find(':', at);
      const std::size_t end = aHead.find("\r\n", at);
      if (colon == std::string::npos || end == std::string::npos || colon > end) {
        continue;
      }
      const std::string name = aHead.substr(at, colon - at);
      if (name.size() == aName.size() &&
          ::strncasecmp(name.data(), aName.data(), name.size()) == 0) {
        const std::size_t value = aHead.find_first_not_of(' ', colon + 1);
        return aHead.substr(value, end - value);
      }
    }
    return "";
  }

private:
  bool Connect()
  {
    if (mSocket >= 0) {
      return true;
    }
    mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const timeval patience{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(mPort));
    ::inet_pton(AF_INET, mIp.c_str(), &address.sin_addr);
    return ::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }

  bool Send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t n = ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  bool ReadBody(const std::string& aHead, std::size_t aFrom, TimePoint aUntil)
  {
    if (Field(aHead, "transfer-encoding") == "chunked") {
      return mBytes.compare(aFrom, std::string::npos, kLastChunk) == 0 ||
             ReadUntil(std::string("\r\n") + kLastChunk, aUntil);
    }
    const auto length = static_cast<std::size_t>(std::atol(Field(aHead, "content-length").c_str()));
    while (mBytes.size() < aFrom + length) {
      if (!ReadSome(aUntil)) {
        return false;
      }
    }
    return true;
  }

  bool ReadUntil(const std::string& aText, TimePoint aUntil)
  {
    while (mBytes.find(aText) == std::string::npos) {
      if (!ReadSome(aUntil)) {
        return false;
      }
    }
    return true;
  }

  bool ReadSome(TimePoint aUntil)
  {
    const auto left = ToMs(aUntil - BootClock::now()).count();
    pollfd waiting{ mSocket, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char buf[8192];
    const ssize_t n = ::recv(mSocket, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    mBytes.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  void Close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
    }
    mSocket = -1;
  }

  static constexpr const char* kLastChunk = "0\r\n\r\n";

  std::string mIp;
  int mPort;
  int mSocket = -1;
  std::string mBytes;
};

} // namespace pepperbay
