#include "fake_wire.hpp"

#include <arpa/inet.h>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace fakes {
namespace {

constexpr int kPollMs = 20;
constexpr std::size_t kMostWaiting = 8; ///< datagrams kept of a source that is cut off

sockaddr_in
AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &addr.sin_addr);
  return addr;
}

} // namespace

FakeWire::~FakeWire()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
FakeWire::Start(const std::string& aListenIp, const std::string& aToIp, int aPort, int aToPort)
{
  mToIp = aToIp;
  mToPort = aToPort;
  mListen = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(mListen, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in addr = AddressOf(aListenIp, aPort);
  const bool bound = ::bind(mListen, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) == 0;
  if (!bound || ::listen(mListen, 64) != 0) {
    return false;
  }
  mDatagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (::bind(mDatagrams, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0) {
    return false;
  }
  mThread = std::thread([this] { Run(); });
  return true;
}

void
FakeWire::Cut(const std::string& aSource, bool aCut)
{
  const std::lock_guard lock(mMutex);
  if (aCut) {
    mCut.insert(aSource);
  } else {
    mCut.erase(aSource);
  }
}

bool
FakeWire::IsCut(const std::string& aSource)
{
  const std::lock_guard lock(mMutex);
  return mCut.count(aSource) > 0 || mCut.count("*") > 0;
}

void
FakeWire::Accept()
{
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  const int from = ::accept4(mListen, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
  if (from < 0) {
    return;
  }
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &peer.sin_addr, buf.data(), buf.size());
  const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in addr = AddressOf(mToIp, mToPort);
  if (::connect(to, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0) {
    ::close(from);
    ::close(to);
    return;
  }
  mPairs[from] = { buf.data(), from, to };
}

void
FakeWire::TakeDatagrams()
{
  std::array<char, 65536> buf{};
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  for (;;) {
    const ssize_t n =
      ::recvfrom(mDatagrams, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&peer), &size);
    if (n < 0) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &peer.sin_addr, ip.data(), ip.size());
    auto& waiting = mWaiting[ip.data()];
    waiting.emplace_back(buf.data(), static_cast<std::size_t>(n));
    if (waiting.size() > kMostWaiting) {
      waiting.pop_front();
    }
    if (!IsCut(ip.data())) {
      DeliverDatagrams();
    }
  }
}

void
FakeWire::DeliverDatagrams()
{
  const sockaddr_in to = AddressOf(mToIp, mToPort);
  for (auto& [source, waiting] : mWaiting) {
    for (; !IsCut(source) && !waiting.empty(); waiting.pop_front()) {
      ::sendto(mDatagrams,
               waiting.front().data(),
               waiting.front().size(),
               0,
               reinterpret_cast<const sockaddr*>(&to),
               sizeof to);
    }
  }
}

bool
FakeWire::Pass(int aFrom, int aTo)
{
  std::array<char, 65536> buf{};
  const ssize_t n = ::recv(aFrom, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  ssize_t sent = 0;
  while (sent < n) {
    const ssize_t once =
      ::send(aTo, buf.data() + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
    if (once <= 0) {
      return false;
    }
    sent += once;
  }
  return true;
}

void
FakeWire::Run()
{
  while (!mStop) {
    DeliverDatagrams();
    std::vector<pollfd> fds{ { mListen, POLLIN, 0 }, { mDatagrams, POLLIN, 0 } };
    std::vector<int> keys;
    for (const auto& [key, pair] : mPairs) {
      if (!IsCut(pair.mSource)) {
        fds.push_back({ pair.mFrom, POLLIN, 0 });
        fds.push_back({ pair.mTo, POLLIN, 0 });
        keys.push_back(key);
      }
    }
    if (::poll(fds.data(), fds.size(), kPollMs) <= 0) {
      continue;
    }
    if ((fds[0].revents & POLLIN) != 0) {
      Accept();
    }
    if (fds[1].revents != 0) {
      TakeDatagrams();
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
      const Pair pair = mPairs[keys[i]];
      const bool fromReady = fds[2 + 2 * i].revents != 0;
      const bool toReady = fds[3 + 2 * i].revents != 0;
      const bool over =
        (fromReady && !Pass(pair.mFrom, pair.mTo)) || (toReady && !Pass(pair.mTo, pair.mFrom));
      if (over) {
        ::close(pair.mFrom);
        ::close(pair.mTo);
        mPairs.erase(keys[i]);
      }
    }
  }
  for (const auto& [key, pair] : mPairs) {
    ::close(pair.mFrom);
    ::close(pair.mTo);
  }
  ::close(mListen);
  ::close(mDatagrams);
}

} // namespace fakes
