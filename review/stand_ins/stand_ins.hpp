/// @file
/// @brief Stand-ins for the users' platform, engines and clients, as their pages describe them.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the driver.
inline double
NowMs()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

inline void
SleepMs(double aMs)
{
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
}

inline void
SleepUntil(double aAtMs)
{
  SleepMs(std::max(0.0, aAtMs - NowMs()));
}

/// What was sent, answered and run, in `record.txt`.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : mOut(aFile)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%10.1f ms  ", NowMs());
    mOut << at << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mOut;
};

inline sockaddr_in
ToAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  return address;
}

/// @return the socket; -1 where nothing answers within a second
inline int
Dial(const std::string& aIp, int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(aIp, aPort);
  const int yes = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  const timeval wait{ 1, 0 };
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

inline bool
SendAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t n = ::send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

struct Message
{
  std::string mStart;                          ///< request line or status line
  std::map<std::string, std::string> mHeaders; ///< names in lower case
  std::string mBody;
  bool mComplete = false;

  std::string Header(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? std::string() : it->second;
  }
  int Status() const { return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0; }
};

/// Reads messages of one connection.
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }

  /// @return false at the end of the connection before the first byte
  bool Read(Message* aMessage, int aWithinMs = 60000)
  {
    *aMessage = Message();
    const double until = NowMs() + aWithinMs;
    std::size_t head = std::string::npos;
    while ((head = mBytes.find("\r\n\r\n")) == std::string::npos) {
      if (!More(until)) {
        return false;
      }
    }
    std::istringstream lines(mBytes.substr(0, head));
    mBytes.erase(0, head + 4);
    std::string line;
    std::getline(lines, line);
    aMessage->mStart = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      line = line.substr(0, line.find('\r'));
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& it : name) {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
      }
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aMessage->mHeaders[name] = value == std::string::npos ? "" : line.substr(value);
    }
    if (aMessage->Header("transfer-encoding") == "chunked") {
      return ReadChunks(aMessage, until);
    }
    const auto size =
      static_cast<std::size_t>(std::atol(aMessage->Header("content-length").c_str()));
    while (mBytes.size() < size) {
      if (!More(until)) {
        return true; // not complete
      }
    }
    aMessage->mBody = mBytes.substr(0, size);
    mBytes.erase(0, size);
    aMessage->mComplete = true;
    return true;
  }

private:
  bool ReadChunks(Message* aMessage, double aUntil)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mBytes.find("\r\n")) == std::string::npos) {
        if (!More(aUntil)) {
          return true;
        }
      }
      const auto size = static_cast<std::size_t>(std::strtoul(mBytes.c_str(), nullptr, 16));
      while (mBytes.size() < end + 2 + size + 2) {
        if (!More(aUntil)) {
          return true;
        }
      }
      aMessage->mBody += mBytes.substr(end + 2, size);
      mBytes.erase(0, end + 2 + size + 2);
      if (size == 0) {
        aMessage->mComplete = true;
        return true;
      }
    }
  }

  bool More(double aUntil)
  {
    pollfd waiting{ mSocket, POLLIN, 0 };
    const int left = static_cast<int>(std::max(0.0, aUntil - NowMs()));
    if (::poll(&waiting, 1, left) <= 0) {
      return false;
    }
    char buf[16384];
    const ssize_t n = ::recv(mSocket, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    mBytes.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  int mSocket;
  std::string mBytes;
};

/// Listens and gives each connection a thread of its own, which ends with the process.
class Listener
{
public:
  Listener(const std::string& aIp, int aPort, std::function<void(int aSocket)> aServe)
    : mServe(std::move(aServe))
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = ToAddress(aIp, aPort);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener, 128) != 0) {
      std::cerr << "cannot listen at " << aIp << ":" << aPort << "\n";
      std::_Exit(2);
    }
    std::thread([this, listener] {
      for (;;) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
          continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, socket] { mServe(socket); }).detach();
      }
    }).detach();
  }

private:
  std::function<void(int)> mServe;
};

inline std::string
Response(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// The platform's store: logs with offsets, keyed topics, conditional appends, reads that wait.
class Store
{
public:
  Store(const std::string& aIp, int aPort)
    : mListener(aIp, aPort, [this](int aSocket) { Serve(aSocket); })
  {
  }

  /// A write of the operator or of an engine. @return when the store has accepted it
  double Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::string record(1, static_cast<char>(aKey.size()));
    Add("keyed." + aTopic, record + aKey + aValue);
    mChanged.notify_all();
    return NowMs();
  }

private:
  struct Topic
  {
    std::vector<std::string> mRecords;
    std::map<std::string, std::pair<std::string, std::size_t>> mNewest;
  };

  static std::string Number(std::uint64_t aValue, int aBytes)
  {
    std::string bytes;
    for (int i = aBytes - 1; i >= 0; --i) {
      bytes.push_back(static_cast<char>(aValue >> (8 * i)));
    }
    return bytes;
  }

  static std::string Base64(const std::string& aBytes)
  {
    static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < aBytes.size(); i += 3) {
      unsigned group = 0;
      for (std::size_t k = 0; k < 3; ++k) {
        group =
          group << 8U | (i + k < aBytes.size() ? static_cast<unsigned char>(aBytes[i + k]) : 0U);
      }
      for (std::size_t k = 0; k < 4; ++k) {
        text.push_back(i + k > aBytes.size() ? '=' : kDigits[(group >> (18U - 6U * k)) & 63U]);
      }
    }
    return text;
  }

  void Add(const std::string& aTopic, const std::string& aRecord)
  {
    Topic& topic = mTopics[aTopic];
    if (aTopic.rfind("keyed.", 0) == 0 && !aRecord.empty()) {
      const auto size = static_cast<unsigned char>(aRecord[0]);
      const std::string key = aRecord.substr(1, size);
      const std::string value = aRecord.substr(1U + size);
      if (value.empty()) {
        topic.mNewest.erase(key);
      } else {
        topic.mNewest[key] = { value, topic.mRecords.size() };
      }
    }
    topic.mRecords.push_back(aRecord);
  }

  void Serve(int aSocket)
  {
    Reader reader(aSocket);
    Message request;
    while (reader.Read(&request, 600000) && request.mComplete) {
      if (!SendAll(aSocket, Handle(request))) {
        break;
      }
    }
    ::close(aSocket);
  }

  std::string Handle(const Message& aRequest)
  {
    const std::size_t first = aRequest.mStart.find(' ') + 1;
    const std::string target =
      aRequest.mStart.substr(first, aRequest.mStart.find(' ', first) - first);
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    std::istringstream parts(target.substr(std::min(target.size(), target.find('?') + 1)));
    for (std::string part; std::getline(parts, part, '&');) {
      query[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
    }
    SleepMs(2); // an answer takes some milliseconds
    std::unique_lock<std::mutex> lock(mMutex);
    Topic& topic = mTopics[query["topic"]];
    if (path == "/pepperbay/log-append") {
      const std::size_t end = topic.mRecords.size();
      if (query.count("at") != 0 && std::stoul(query["at"]) != end) {
        return Response(412, "", "{\"end\":" + std::to_string(end) + "}");
      }
      for (std::size_t at = 0; at + 4 <= aRequest.mBody.size();) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8U | static_cast<unsigned char>(aRequest.mBody[at + i]);
        }
        Add(query["topic"], aRequest.mBody.substr(at + 4, size));
        at += 4 + size;
      }
      mChanged.notify_all();
      return Response(200,
                      "",
                      "{\"offset\":" + std::to_string(end) +
                        ",\"end\":" + std::to_string(topic.mRecords.size()) + "}");
    }
    if (path == "/pepperbay/log-read") {
      const std::size_t from = std::stoul(query["from"]);
      const int wait = query.count("wait_ms") == 0 ? 0 : std::stoi(query["wait_ms"]);
      if (from > topic.mRecords.size()) {
        return Response(410, "", "{\"first\":0}");
      }
      mChanged.wait_for(
        lock, std::chrono::milliseconds(wait), [&] { return topic.mRecords.size() > from; });
      std::string body = Number(topic.mRecords.size(), 8) + Number(0, 8);
      for (std::size_t i = from; i < topic.mRecords.size(); ++i) {
        body += Number(topic.mRecords[i].size(), 4) + topic.mRecords[i];
      }
      return Response(200, "", body);
    }
    if (path == "/pepperbay/log-newest") {
      std::string items;
      for (const auto& [key, it] : topic.mNewest) {
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" +
                 Base64(it.first) + "\",\"offset\":" + std::to_string(it.second) + "}";
      }
      return Response(200,
                      "",
                      "{\"items\":[" + items + "],\"has_more\":false,\"end\":" +
                        std::to_string(topic.mRecords.size()) + "}");
    }
    return Response(404, "", "{}");
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Topic> mTopics;
  Listener mListener;
};

/// A network path. `Silence()` makes the connections that are open go silent for good, without a
/// reset; new ones work.
class Path
{
public:
  Path(const std::string& aIp, int aPort, std::string aToIp, int aToPort)
    : mToIp(std::move(aToIp))
    , mToPort(aToPort)
    , mListener(aIp, aPort, [this](int aSocket) { Carry(aSocket); })
  {
  }

  /// @return connections that have gone silent
  int Silence()
  {
    ++mAge;
    return mOpen.exchange(0);
  }
  int Opened() const { return mOpened; }

private:
  void Carry(int aCaller)
  {
    const int server = Dial(mToIp, mToPort);
    if (server < 0) {
      ::close(aCaller);
      return;
    }
    const int age = mAge;
    ++mOpen;
    ++mOpened;
    std::thread([this, aCaller, server, age] { Pump(server, aCaller, age); }).detach();
    Pump(aCaller, server, age);
  }

  void Pump(int aFrom, int aTo, int aAge)
  {
    char buf[16384];
    for (;;) {
      const ssize_t n = ::recv(aFrom, buf, sizeof(buf), 0);
      if (aAge != mAge) {
        return; // silent: nothing is passed on any more, and nothing is closed
      }
      if (n <= 0 || !SendAll(aTo, { buf, static_cast<std::size_t>(n) })) {
        ::shutdown(aTo, SHUT_RDWR);
        ::shutdown(aFrom, SHUT_RDWR);
        return;
      }
    }
  }

  std::string mToIp;
  int mToPort;
  std::atomic<int> mAge{ 0 };
  std::atomic<int> mOpen{ 0 };
  std::atomic<int> mOpened{ 0 };
  Listener mListener;
};

struct Arrival
{
  double mAtMs = 0;
  std::string mRequest;
};

/// An engine of a plain service. Runs each request that names it and answers at once.
class Engine
{
public:
  Engine(std::string aId, std::string aIp, int aPort, Record* aRecord)
    : mId(std::move(aId))
    , mIp(std::move(aIp))
    , mPort(aPort)
    , mRecord(aRecord)
    , mListener(mIp, mPort, [this](int aSocket) { Serve(aSocket); })
  {
  }

  /// @return its entry in the store
  std::string Entry(const std::string& aService, const std::string& aState, int aSequence) const
  {
    return R"({"service":")" + aService + R"(","address":")" + mIp + ":" + std::to_string(mPort) +
           R"(","zone":"z1","version":"1","slots":6,"state":")" + aState +
           R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(aSequence) + "}";
  }
  const std::string& Id() const { return mId; }
  std::vector<Arrival> Arrivals() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mArrivals;
  }

private:
  void Serve(int aSocket)
  {
    Reader reader(aSocket);
    Message request;
    while (reader.Read(&request, 600000) && request.mComplete) {
      const std::string id = request.Header("x-pepperbay-request-id");
      const bool mine = request.Header("x-pepperbay-expect-instance") == mId;
      if (!id.empty() && mine) {
        {
          const std::lock_guard<std::mutex> lock(mMutex);
          mArrivals.push_back({ NowMs(), id });
        }
        mRecord->Line("engine " + mId + " runs " + id);
      }
      const std::string echo = "X-Pepperbay-Request-Id: " + id + "\r\n";
      const std::string answer =
        mine
          ? Response(200, echo + "X-Pepperbay-Response-Seal: s." + mId + "\r\n", "done by " + mId)
          : Response(421, echo + "X-Pepperbay-Not-Executed: 1\r\n", "");
      if (!SendAll(aSocket, answer)) {
        break;
      }
    }
    ::close(aSocket);
  }

  std::string mId;
  std::string mIp;
  int mPort;
  Record* mRecord;
  mutable std::mutex mMutex;
  std::vector<Arrival> mArrivals;
  Listener mListener;
};

/// One process of the system, started with the deploy file's command.
class Node
{
public:
  /// @param aSettings the settings file
  Node(const std::string& aProgram, const std::string& aSettings, const std::string& aLog)
  {
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the driver
      const int log = ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("PEPPERBAY_SETTINGS", aSettings.c_str(), 1);
      ::execl(aProgram.c_str(), aProgram.c_str(), "edge", static_cast<char*>(nullptr));
      std::_Exit(127);
    }
  }
  ~Node()
  {
    Signal(SIGKILL);
    Wait();
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }
  void Wait()
  {
    if (mPid > 0) {
      ::waitpid(mPid, nullptr, 0);
    }
    mPid = -1;
  }

private:
  pid_t mPid = -1;
};

struct NodeAddresses
{
  std::string mName;
  std::string mIp;
  std::string mZone;
  int mPort = 0; ///< callers; the others follow
  std::string mStore;
};

/// The deploy file's template, filled in with the bounds of the site that the claim names.
inline std::string
SettingsOf(const NodeAddresses& aNode)
{
  const auto at = [&](int aOffset) {
    return "\"" + aNode.mIp + ":" + std::to_string(aNode.mPort + aOffset) + "\"\n";
  };
  return "name: \"" + aNode.mName + "\"\ndata_centre: \"" + aNode.mZone + "\"\ncallers: " + at(0) +
         "admin: " + at(1) + "ready_path: /pepperbay/ready\nmetrics: " + at(2) + "peers: " + at(3) +
         "desk: " + at(4) + "tunnel: " + at(3) + "store: \"" + aNode.mStore +
         "\"\nmemory_mb: 260\ncpu_cores: 0.25\nconfigure_within: 2000ms\nleave_within: 2000ms\n"
         "revoke_within: 5000ms\nstop_within: 8s\nretry_share: 0.2\nretry_slack: 136\n";
}

/// Asks once, on a connection of its own. @return the status; 0 for no answer
inline Message
AskOnce(const std::string& aIp, int aPort, const std::string& aRequest, int aWithinMs)
{
  Message answer;
  const int socket = Dial(aIp, aPort);
  if (socket < 0) {
    return answer;
  }
  if (SendAll(socket, aRequest)) {
    Reader(socket).Read(&answer, aWithinMs);
  }
  ::close(socket);
  return answer;
}

inline bool
IsReady(const NodeAddresses& aNode)
{
  return AskOnce(aNode.mIp,
                 aNode.mPort + 1,
                 "GET /pepperbay/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                 500)
           .Status() == 200;
}

/// @return whether the disruption is to take place
inline bool
Trouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// The first of twenty ports that this process uses.
inline int
BasePort()
{
  return 10000 + static_cast<int>(::getpid() % 1000) * 20;
}

inline std::unique_ptr<Node>
StartNode(const std::string& aProgram, const std::string& aFolder, const NodeAddresses& aNode)
{
  const std::string file = aFolder + "/" + aNode.mName + ".yaml";
  std::ofstream(file) << SettingsOf(aNode);
  return std::make_unique<Node>(aProgram, file, aFolder + "/" + aNode.mName + ".log");
}

/// @return whether all nodes are ready within 20 seconds
inline bool
AwaitReady(const std::vector<NodeAddresses>& aNodes)
{
  const double until = NowMs() + 20000;
  for (const auto& it : aNodes) {
    while (!IsReady(it)) {
      if (NowMs() > until) {
        std::cerr << it.mName << " is not ready\n";
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

struct Sent
{
  double mAtMs = 0;
  std::string mNode;
};

} // namespace review
