/// @file
/// @brief Tracks requests that were running on engines that exited, and quarantines likely causes.
/// Pure: no I/O and no clock of its own.
///
/// A faulty request may make every engine that runs it exit. Its caller repeats it, at any node,
/// and each repeat costs a replica and all streams of that replica. A single exit does not tell
/// which of the requests in progress caused it; a request that was present at several exits is the
/// likely cause. So exits are counted per request, each engine once, over all nodes: the tracker is
/// a grow-only set, and trackers that exchange their entries converge to the same state, whatever
/// the order and number of deliveries.
///
/// Entries are kept for a request with all its repeats, and for each part of its prompt that it may
/// share with others, since requests that are never alike may have the cause in common. An exit
/// charges every request that was present, bystanders included. An entry charged with enough exits
/// for a long quarantine is a cause. Causes are found greedily, the one that explains most exits
/// first, and an exit that a cause explains is charged to no other entry.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/quarantine/request_key.hpp"
#include "pepperbay/quarantine/suspects.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pepperbay {

/// Weight of one engine exit as evidence against one request that the engine had. Weights are added
/// up.
enum class Suspicion : std::uint8_t
{
  kPresent = 1, ///< the request was queued, or had been producing output for a while: other
                ///< requests are as likely
  kBegun = 2,   ///< the engine had just begun to run the request
};

/// An engine that exited while it had a request.
struct EngineEnd
{
  std::uint64_t mEngine = 0; ///< one incarnation of one engine, see EngineIncarnationHash()
  Suspicion mSuspicion = Suspicion::kPresent;
  TimePoint mAt{};
};

/// @return a hash of one incarnation of an engine (its id and start time), the same on every node.
std::uint64_t
EngineIncarnationHash(std::string_view aEngine, WallTime aBorn);

struct CrashTrackerOptions
{
  /// Score from which a request is quarantined briefly: two engines exited as they began it. The
  /// pause lets every node learn of the exits and separates overlapping repeats, so that the next
  /// run makes at most one engine exit and not several.
  int mShortQuarantineScore = 4;
  Duration mShortQuarantine = std::chrono::seconds(2);
  /// Delay that this node adds to each quarantine. Different values per node let the next repeat
  /// through at one node after another.
  Duration mSpread{ 0 };
  /// Score from which a request is quarantined for long: three engines exited as they began it.
  int mLongQuarantineScore = 6;
  /// Length at the third engine; each further engine doubles it.
  Duration mLongQuarantine = std::chrono::minutes(10);
  Duration mMaxQuarantine = std::chrono::hours(8);
  /// An entry is kept for this long after its quarantine is over, so that one more exit adds to the
  /// earlier ones.
  Duration mKeepFor = std::chrono::hours(1);
  /// Maximum number of entries; the entries with the lowest score, and of these the oldest, are
  /// evicted first.
  std::size_t mMaxRequests = 4096;
};

/// @code
/// CrashTracker tracker(options);
/// tracker.Add(key, { EngineIncarnationHash("engine-4", born), Suspicion::kBegun, now }, now);
/// if (tracker.QuarantinedUntil(key) > now) { ... }
/// @endcode
class CrashTracker
{
public:
  /// Engines stored for one request; the longest quarantine is reached well before.
  static constexpr std::size_t kMaxEnds = 16;

  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @return whether this adds evidence: a new engine, or a stronger suspicion of a known one.
  bool Add(const RequestKey& aKey, const EngineEnd& aEnd, TimePoint aNow);
  /// An engine completed the request, or an operator released it: drop all evidence against it.
  /// @return whether there was an entry.
  bool Clear(const RequestKey& aKey);
  /// Drop expired entries. @return their keys.
  std::vector<RequestKey> Expire(TimePoint aNow);

  /// @return the sum of all weights; 0 for a request without an entry.
  int Score(const RequestKey& aKey) const;
  /// @return the sum without the exits that another cause explains; quarantine goes by this value.
  int Charge(const RequestKey& aKey) const;
  /// @return when the quarantine ends; the zero time when there is none.
  TimePoint QuarantinedUntil(const RequestKey& aKey) const;
  /// @return the engines that exited, ordered by hash; empty for an unknown request.
  std::vector<EngineEnd> Ends(const RequestKey& aKey) const;
  /// @return all entries with a charge, for the traffic threads.
  SuspectRequests Suspects() const;
  std::vector<RequestKey> Keys() const;
  std::size_t Size() const { return mRequests.size(); }
  /// Increases with each change.
  std::uint64_t Revision() const { return mRevision; }

private:
  struct Request
  {
    std::vector<EngineEnd> mEnds; ///< ordered by hash
    int mScore = 0;
    TimePoint mLastEnd{};
    int mCause = 0; ///< number of the cause, shared by causes with the same exits; 0: not a cause
  };

  /// A possible cause, during the search for causes.
  struct Candidate;

  int Charge(const Request& aRequest) const;
  TimePoint QuarantinedUntil(const Request& aRequest) const;
  void MakeRoom();
  /// Recompute the causes and the exits that they explain.
  void AccountForEnds();
  std::vector<Candidate> Candidates();

  CrashTrackerOptions mOptions;
  std::unordered_map<RequestKey, Request, RequestKeyHash> mRequests;
  /// Engines whose exits are explained, with the number of the cause, from 1. Causes with the same
  /// exits cannot be distinguished and share one number.
  std::unordered_map<std::uint64_t, int> mAccounted;
  std::uint64_t mRevision = 0;
};

} // namespace pepperbay
