/// @file
/// @brief Stand-ins for backend server hosts, their engines, and the platform's list of them.
#pragma once

#include "timers.hpp"

#include "pepperbay/http/server.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fakes {

/// How engines behave; the same for all hosts.
struct EngineOptions
{
  int mSlots = 16;        ///< requests an engine runs at once; more wait in it
  int mLoadMs = 200;      ///< weight load
  int mFirstTokenMs = 20; ///< prefill of a prompt that is not cached
  int mTokenMs = 5;       ///< between tokens
  int mReportLagMs = 200; ///< reported load is so old
  int mCacheBlocks = 256; ///< prompt blocks an engine remembers
  bool mResumable = true;
};

struct HostSpec
{
  std::string mHost;
  std::string mDataCentre;
  std::string mDomain;
  std::string mAddress;
  int mPort = 0;
  bool mChecksFence = true;
  int mAccelerators = 4;
};

/// Counts that judge the invariants.
struct EngineCounts
{
  std::uint64_t mRequests = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mTokens = 0;
  std::uint64_t mPartial = 0;      ///< requests that reached a replica which was not whole
  std::uint64_t mStaleOrders = 0;  ///< orders with an old fencing number, refused
  std::uint64_t mCutByStop = 0;    ///< streams cut by an unload or load order
  std::uint64_t mAfterLeaving = 0; ///< requests that reached a host after its stop
  std::uint64_t mCachedBlocks = 0;
  std::uint64_t mPromptBlocks = 0;
};

class FakeEngines
{
public:
  FakeEngines(Timers& aTimers, EngineOptions aOptions);
  ~FakeEngines();

  bool Add(const HostSpec& aSpec);

  /// The platform's list, as JSON; it shows a change only after the lag.
  /// @param aDataCentre empty for all
  std::string List(const std::string& aDataCentre) const;

  /// Switch a fault of a host. Kinds: `kill` (connections refused, memory lost), `dark` (no answer,
  /// memory lost), `pause` (no answer, then goes on as if nothing happened), `heal`, `straggle`
  /// (slower by the value), `cut_after` (streams cut after so many tokens), `cut_before` (the
  /// connection closes after the effect and before the answer), `fail_version`
  /// (loads of the version fail), `leaving`.
  bool Fault(const std::string& aHost, const std::string& aKind, const std::string& aValue);

  std::vector<std::string> HostsOfDomain(const std::string& aDomain) const;
  EngineCounts Counts() const;
  std::string StateOf(const std::string& aHost) const;

private:
  struct Stream;
  struct Host;

  void Handle(Host& aHost,
              const pepperbay::HttpRequest& aRequest,
              const std::shared_ptr<pepperbay::Responder>& aResponder);
  void Order(Host& aHost,
             const std::string& aBody,
             const std::shared_ptr<pepperbay::Responder>& aResponder);
  void Complete(Host& aHost,
                const pepperbay::HttpRequest& aRequest,
                const std::shared_ptr<pepperbay::Responder>& aResponder);
  void StartQueued(Host& aHost);
  void NextToken(const std::shared_ptr<Stream>& aStream);
  void EndStream(const std::shared_ptr<Stream>& aStream);
  void CutStreams(Host& aHost);
  bool ReplicaWhole(const Host& aLeader) const;
  std::string StateJson(Host& aHost);
  bool Start(Host& aHost);
  double CachedPart(Host& aHost, const std::string& aPrompt);

  Timers& mTimers;
  EngineOptions mOptions;
  mutable std::mutex mMutex;
  std::map<std::string, std::unique_ptr<Host>> mHosts;
  std::uint64_t mLastIncarnation = 0;
  EngineCounts mCounts;
  std::vector<std::shared_ptr<pepperbay::Responder>> mHeld;
};

} // namespace fakes
