/// @file
/// @brief A stand-in for a network path that can be cut: a relay before a node's peer address.
#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace fakes {

/// Relays TCP connections and datagrams to one address. While a source is cut off, its bytes wait
/// here, as they would in the sender's kernel during a partition, and arrive late when the cut
/// heals; so do its last few datagrams, which is the worst that a network does to them.
class FakeWire
{
public:
  FakeWire() = default;
  ~FakeWire();
  FakeWire(const FakeWire&) = delete;
  FakeWire& operator=(const FakeWire&) = delete;

  bool Start(const std::string& aListenIp, const std::string& aToIp, int aPort, int aToPort);

  /// @param aSource IP number of the connecting side, or `*` for all
  void Cut(const std::string& aSource, bool aCut);

private:
  struct Pair
  {
    std::string mSource;
    int mFrom = -1;
    int mTo = -1;
  };

  void Run();
  bool IsCut(const std::string& aSource);
  void Accept();
  void TakeDatagrams();
  void DeliverDatagrams();
  static bool Pass(int aFrom, int aTo);

  int mListen = -1;
  int mDatagrams = -1;
  std::string mToIp;
  int mToPort = 0;
  std::thread mThread;
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::set<std::string> mCut;
  std::map<int, Pair> mPairs;
  std::map<std::string, std::deque<std::string>> mWaiting; ///< datagrams by source, while it is cut
};

} // namespace fakes
