/// @file
/// @brief An engine that answers with whatever bytes a test wants, on a loopback port.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace pepperbay {

/// @return a socket that is connected to `127.0.0.1:port`; -1 if nobody listens there.
inline int
ConnectTo(const std::string& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(aAddress.find(':') + 1))));
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

/// One connection of a caller, as a script sees it.
class RawConnection
{
public:
  /// @param aRequests counts the requests that were read whole; may be null
  explicit RawConnection(int aSocket, std::atomic<int>* aRequests = nullptr)
    : mSocket(aSocket)
    , mRequests(aRequests)
  {
  }

  /// @return an answer with its body, for the side of a caller.
  std::string ReadAnswer() { return ReadRequest(); }

  /// @return a request with its body; empty when the caller has closed.
  std::string ReadRequest()
  {
    for (;;) {
      const std::size_t head = mBytes.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t end = head + 4 + BodyLength(mBytes.substr(0, head));
        if (mBytes.size() >= end) {
          std::string request = mBytes.substr(0, end);
          mBytes.erase(0, end);
          if (mRequests != nullptr) {
            ++*mRequests;
          }
          return request;
        }
      }
      if (!ReadSome()) {
        return "";
      }
    }
  }

  /// @return false when the other side has closed
  bool Write(std::string_view aBytes)
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

  /// Close with a reset in place of an orderly end.
  void Reset()
  {
    const linger now{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

  /// Read past a piece of text. @return false when the connection ends first
  bool ReadUntil(std::string_view aText)
  {
    for (;;) {
      const std::size_t at = mBytes.find(aText);
      if (at != std::string::npos) {
        mBytes.erase(0, at + aText.size());
        return true;
      }
      if (!ReadSome()) {
        return false;
      }
    }
  }

  /// Wait until the caller closes, without reading what it has sent.
  /// @return whether it closed with a reset
  bool AwaitReset() const
  {
    pollfd waiting{ mSocket, POLLRDHUP, 0 };
    ::poll(&waiting, 1, -1);
    return (waiting.revents & POLLERR) != 0;
  }

  /// Wait until the caller closes. @return the bytes that came before
  std::string ReadToEnd()
  {
    while (ReadSome()) {
    }
    return mBytes;
  }

private:
  static std::size_t BodyLength(const std::string& aHead)
  {
    constexpr std::string_view kName = "content-length:";
    std::string lower = aHead;
    for (auto& it : lower) {
      it = static_cast<char>(std::tolower(it));
    }
    const std::size_t at = lower.find(kName);
    return at == std::string::npos ? 0 : std::stoul(lower.substr(at + kName.size()));
  }

  bool ReadSome()
  {
    char buf[4096];
    const ssize_t n = ::recv(mSocket, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    mBytes.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  int mSocket;
  std::atomic<int>* mRequests;
  std::string mBytes;
};

/// Serves each connection on a thread of its own by a script, and counts the requests.
class RawEngine
{
public:
  using Script = std::function<void(RawConnection&)>;
  static constexpr int kBacklog = 16;

  explicit RawEngine(Script aScript)
    : mScript(std::move(aScript))
    , mListener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(mListener, kBacklog) != 0) {
      std::abort(); // a test without its engine would prove nothing
    }
    socklen_t size = sizeof(address);
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    mThread = std::thread([this] { Accept(); });
  }

  ~RawEngine()
  {
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const int it : mSockets) {
        ::shutdown(it, SHUT_RDWR);
      }
    }
    for (auto& it : mThreads) {
      it.join();
    }
    ::close(mListener);
  }
  RawEngine(const RawEngine&) = delete;
  RawEngine& operator=(const RawEngine&) = delete;

  const std::string& Address() const { return mAddress; }
  int Connections() const { return mConnections; }
  /// Requests that its script has read. An engine may be connected to without one, to see whether
  /// it lives.
  int Requests() const { return mRequests; }

private:
  void Accept()
  {
    for (;;) {
      const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      ++mConnections;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSockets.push_back(socket);
      }
      mThreads.emplace_back([this, socket] {
        RawConnection connection(socket, &mRequests);
        mScript(connection);
        const std::lock_guard<std::mutex> lock(mMutex);
        mSockets.erase(std::find(mSockets.begin(), mSockets.end(), socket));
        ::close(socket);
      });
    }
  }

  Script mScript;
  int mListener;
  std::string mAddress;
  std::atomic<int> mConnections{ 0 };
  std::atomic<int> mRequests{ 0 };
  std::mutex mMutex;
  std::vector<int> mSockets;
  std::vector<std::thread> mThreads; ///< touched by the accepting thread until it has ended
  std::thread mThread;
};

/// @return an `IP:port` of loopback at which nobody listens.
inline std::string
FreeAddress()
{
  const RawEngine engine([](RawConnection&) {});
  return engine.Address();
}

} // namespace pepperbay
