/// @file
/// @brief A TCP proxy on loopback whose path to the server a test cuts and mends.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace pepperbay {

/// What happens on the path between a node and an engine.
enum class PathState
{
  kOpen,
  kSilent,  ///< nothing arrives: connections hang, new ones get no answer
  kReset,   ///< connections are reset, new ones are refused
  kRefuses, ///< connections live on, new ones are refused
};

/// Stands for the network path of one node to one engine. Its listener's queue is kept full while
/// the path is silent, so that the kernel drops the opening packets of new connections as a
/// partition does.
///
/// @code
/// CutProxy path(engine.Address());
/// plan.mAddress = path.Address();
/// path.Set(PathState::kSilent);
/// @endcode
class CutProxy
{
public:
  explicit CutProxy(const std::string& aServer)
    : mServer(ToAddress(aServer))
  {
    Listen();
    mThread = std::thread([this] { Run(); });
  }

  ~CutProxy()
  {
    mStop = true;
    mThread.join();
    for (auto& it : mPairs) {
      CloseBoth(it);
    }
    CloseFillers();
    if (mListener >= 0) {
      ::close(mListener);
    }
  }
  CutProxy(const CutProxy&) = delete;
  CutProxy& operator=(const CutProxy&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

  /// Change the path, and wait until that is so.
  void Set(PathState aState)
  {
    mWanted = aState;
    while (mState != aState) {
      std::this_thread::yield();
    }
  }

private:
  struct Pair
  {
    int mCaller = -1;
    int mServer = -1;
  };

  static constexpr std::size_t kPiece = 65536;
  static constexpr int kPollMs = 1;
  static constexpr int kBacklog = 8; // kept full while the path is silent
  static constexpr int kMostFillers = 4 * kBacklog;
  /// A connection on loopback stands within microseconds, or its packet was dropped.
  static constexpr int kFillerMs = 50;

  static sockaddr_in ToAddress(const std::string& aText)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (::inet_pton(AF_INET, aText.substr(0, aText.find(':')).c_str(), &address.sin_addr) != 1) {
      std::abort(); // a test without its path would prove nothing
    }
    address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(aText.substr(aText.find(':') + 1))));
    return address;
  }

  void Listen()
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int yes = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(mPort);
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(mListener, kBacklog) != 0) {
      std::abort(); // a test without its path would prove nothing
    }
    socklen_t size = sizeof(address);
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
  }

  void Run()
  {
    while (!mStop) {
      if (mWanted != mState) {
        Enter(mWanted);
        mState = mWanted.load();
      }
      if (mState == PathState::kOpen) {
        Accept();
      }
      if (mState == PathState::kOpen || mState == PathState::kRefuses) {
        Pump();
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      }
    }
  }

  void Enter(PathState aState)
  {
    const bool refuses = aState == PathState::kReset || aState == PathState::kRefuses;
    CloseFillers();
    if (refuses && mListener >= 0) {
      ::close(mListener);
      mListener = -1;
    } else if (!refuses && mListener < 0) {
      Listen();
    }
    if (aState == PathState::kReset) {
      for (auto& it : mPairs) {
        Reset(it);
      }
      mPairs.clear();
    }
    if (aState == PathState::kSilent) {
      Fill();
    }
  }

  /// Fill the listener's queue until a connection does not stand any more.
  void Fill()
  {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    own.sin_port = htons(mPort);
    for (int i = 0; i < kMostFillers; ++i) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      // It is on its way, or its packet is dropped; what came of it is looked at below.
      static_cast<void>(::connect(socket, reinterpret_cast<sockaddr*>(&own), sizeof(own)));
      mFillers.push_back(socket);
      pollfd waiting{ socket, POLLOUT, 0 };
      if (::poll(&waiting, 1, kFillerMs) == 0) {
        return;
      }
    }
  }

  void CloseFillers()
  {
    for (const int it : std::exchange(mFillers, {})) {
      ::close(it);
    }
  }

  void Accept()
  {
    for (;;) {
      const int caller = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (caller < 0) {
        return;
      }
      const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (::connect(server, reinterpret_cast<sockaddr*>(&mServer), sizeof(mServer)) != 0) {
        ::close(server);
        ::close(caller);
        continue;
      }
      const int yes = 1;
      ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      mPairs.push_back({ caller, server });
    }
  }

  void Pump()
  {
    std::vector<pollfd> waiting;
    for (const auto& it : mPairs) {
      waiting.push_back({ it.mCaller, POLLIN, 0 });
      waiting.push_back({ it.mServer, POLLIN, 0 });
    }
    ::poll(waiting.data(), waiting.size(), kPollMs);
    std::vector<Pair> kept;
    for (std::size_t i = 0; i < mPairs.size(); ++i) {
      Pair& pair = mPairs[i];
      const bool stands = (waiting[2 * i].revents == 0 || Copy(pair.mCaller, pair.mServer)) &&
                          (waiting[2 * i + 1].revents == 0 || Copy(pair.mServer, pair.mCaller));
      if (stands) {
        kept.push_back(pair);
      } else if (((waiting[2 * i].revents | waiting[2 * i + 1].revents) & POLLERR) != 0) {
        Reset(pair); // one side was reset, and the other has to see that
      } else {
        CloseBoth(pair);
      }
    }
    mPairs.swap(kept);
  }

  /// @return whether the connection goes on.
  static bool Copy(int aFrom, int aTo)
  {
    char buf[kPiece];
    const ssize_t n = ::recv(aFrom, buf, sizeof(buf), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      return true;
    }
    for (ssize_t at = 0; at < n;) {
      const ssize_t sent = ::send(aTo, buf + at, static_cast<std::size_t>(n - at), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN) {
        return false;
      }
      at += sent > 0 ? sent : 0;
    }
    return n > 0;
  }

  static void Reset(Pair& aPair)
  {
    const linger now{ 1, 0 };
    ::setsockopt(aPair.mCaller, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::setsockopt(aPair.mServer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    CloseBoth(aPair);
  }

  static void CloseBoth(Pair& aPair)
  {
    ::close(aPair.mCaller);
    ::close(aPair.mServer);
  }

  sockaddr_in mServer;
  std::uint16_t mPort = 0;
  int mListener = -1;
  std::vector<Pair> mPairs;  ///< touched by the proxy's thread until it has ended
  std::vector<int> mFillers; ///< the same
  std::atomic<PathState> mWanted{ PathState::kOpen };
  std::atomic<PathState> mState{ PathState::kOpen };
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace pepperbay
