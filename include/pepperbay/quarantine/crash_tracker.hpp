/// @file
/// @brief Requests under which engines end, and which of them are held back. Pure.
///
/// A request may end each engine that runs it. Its caller repeats it, at any node, and each repeat
/// takes a replica and all its streams along. No single end tells which of the requests in progress
/// there was the cause; a request that was there each time is. So ends are counted by request, each
/// engine once, over all nodes: the book is a set that only grows, and books that exchange what
/// they have come to the same, in whatever order and however often it arrives.
///
/// What is counted is a request in all its repeats, and each part of its prompt that it may share
/// with others: requests that are never alike may have the cause in common. An end charges all that
/// was there, so bystanders are charged with the cause. What has ended enough engines to be held
/// back for long is a cause; causes are found greedily, the one that accounts for most ends first,
/// and an end that a cause accounts for is not charged to anything else.
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

/// How much an engine's end says against one request that it had. The values are added up.
enum class Suspicion : std::uint8_t
{
  kPresent = 1, ///< it waited there, or had been answered for a while: others are as likely
  kBegun = 2,   ///< the engine had just begun to run it
};

/// An engine that ended while it had a request.
struct EngineEnd
{
  std::uint64_t mEngine = 0; ///< one start of one engine, see EngineStartHash()
  Suspicion mSuspicion = Suspicion::kPresent;
  TimePoint mAt{};
};

/// @return a number for one start of an engine, the same on every node.
std::uint64_t
EngineIncarnationHash(std::string_view aEngine, WallTime aBorn);

struct CrashTrackerOptions
{
  /// Suspicion from which a request is held back for a moment: two engines ended as they began it.
  /// The pause lets every node hear of it and ends the overlap of repeats, so that the next run,
  /// if it ends an engine as well, ends one and not several.
  int mShortQuarantineScore = 4;
  Duration mShortQuarantine = std::chrono::seconds(2);
  /// Added to mHold by this node. Nodes that differ let the next repeat through one after another.
  Duration mSpread{ 0 };
  /// Suspicion from which it is held back for long: three engines ended as they began it.
  int mLongQuarantineScore = 6;
  /// For the third engine; each further one doubles it.
  Duration mLongQuarantine = std::chrono::minutes(10);
  Duration mMaxQuarantine = std::chrono::hours(8);
  /// Kept for so long after a request may run again, so that one more end counts with the former.
  Duration mKeepFor = std::chrono::hours(1);
  /// Requests kept at most; the least suspected, and of these the oldest, go first.
  std::size_t mMaxRequests = 4096;
};

/// @code
/// CrashBook book(options);
/// book.Add(key, { EngineStartHash("engine-4", born), Suspicion::kBegun, now }, now);
/// if (book.HeldUntil(key) > now) { ... }
/// @endcode
class CrashTracker
{
public:
  /// Engines kept for one request; it is held back for the longest time well before.
  static constexpr std::size_t kMaxEnds = 16;

  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @return whether this says more than was known: a new engine, or a stronger suspicion.
  bool Add(const RequestKey& aKey, const EngineEnd& aEnd, TimePoint aNow);
  /// An engine ran the request to its end, or an operator says so: nothing speaks against it.
  /// @return whether anything was known
  bool Clear(const RequestKey& aKey);
  /// Forget what is old. @return the requests forgotten
  std::vector<RequestKey> Expire(TimePoint aNow);

  /// @return the sum of the suspicions; 0 for a request that is not in the book.
  int Score(const RequestKey& aKey) const;
  /// @return the sum without the ends that another cause accounts for; it decides.
  int Charge(const RequestKey& aKey) const;
  /// @return until when it is held back; the zero time when it is not.
  TimePoint QuarantinedUntil(const RequestKey& aKey) const;
  /// @return the engines that ended, in order of their hashes; empty for an unknown request.
  std::vector<EngineEnd> Ends(const RequestKey& aKey) const;
  /// What traffic needs to know of all requests in the book.
  SuspectRequests Suspects() const;
  std::vector<RequestKey> Keys() const;
  std::size_t Size() const { return mRequests.size(); }
  /// Grows with each change.
  std::uint64_t Revision() const { return mRevision; }

private:
  struct Request
  {
    std::vector<EngineEnd> mEnds; ///< in order of their hashes
    int mScore = 0;
    TimePoint mLastEnd{};
    int mCause = 0; ///< number of the causes that it is one of; 0: of none
  };

  /// One that may be a cause, while causes are found.
  struct Candidate;

  int Charge(const Request& aRequest) const;
  TimePoint QuarantinedUntil(const Request& aRequest) const;
  void MakeRoom();
  /// Find anew which ends the causes account for.
  void AccountForEnds();
  std::vector<Candidate> Candidates();

  CrashTrackerOptions mOptions;
  std::unordered_map<RequestKey, Request, RequestKeyHash> mRequests;
  /// Engines whose ends are accounted for, and the number of the cause, from 1. Causes that have
  /// the same ends cannot be told apart and have one number.
  std::unordered_map<std::uint64_t, int> mAccounted;
  std::uint64_t mRevision = 0;
};

} // namespace pepperbay
