/// @file
/// @brief Replica heads that recently refused requests, with a back-off before they are chosen
/// again. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct RefusalOptions
{
  /// After a refusal a head is not chosen for this long; the time doubles with each further
  /// refusal, up to the maximum. A check of its members takes some ten milliseconds.
  Duration mFirstPause = std::chrono::milliseconds(100);
  Duration mMaxPause = std::chrono::milliseconds(800);
  /// A head that another node reports as refusing is not chosen for this long; the report is
  /// repeated with each slot request.
  Duration mReportedPause = std::chrono::milliseconds(100);
  /// A head's entry is dropped this long after its last pause.
  Duration mForgetAfter = std::chrono::seconds(5);
};

/// When a member of a replica stops responding, the head (the member that receives the replica's
/// requests) refuses new requests and continues those it has. It soon has the fewest requests in
/// progress and would be the first choice of all nodes until the holder of the lease detects the
/// fault. So a refusal takes effect at once.
///
/// @code
/// if (tracker.OnRefused(head, sentAt, now)) { ... request a check of its members }
/// if (tracker.Refuses(ShortId(head), now)) { ... choose another }
/// @endcode
class RefusalTracker
{
public:
  RefusalTracker() = default;
  explicit RefusalTracker(RefusalOptions aOptions);

  /// A head refused a request that was sent at `aSentAt`.
  /// @return whether this is new: refusals of requests sent before the current pause ended are
  /// ignored
  bool OnRefused(const std::string& aHead, TimePoint aSentAt, TimePoint aNow);
  /// A head accepted a request that was sent at `aSentAt`.
  void OnTaken(const std::string& aHead, TimePoint aSentAt);
  /// Another node reports that a head refuses.
  void OnPeerReport(std::uint32_t aHead, TimePoint aNow);
  /// The head has restarted.
  void Forget(const std::string& aHead);

  /// @param aHead by ShortId()
  bool Refuses(std::uint32_t aHead, TimePoint aNow) const;
  /// @return the heads that refused requests of this node and are paused, by ShortId().
  std::vector<std::uint32_t> Refusing(TimePoint aNow) const;

private:
  /// Drops old entries, since heads exit and old refusals lose their meaning.
  void DropOld(TimePoint aNow);

  struct Refusal
  {
    Duration mPause{ 0 }; ///< zero: only reported by other nodes
    TimePoint mUntil{};   ///< pause after refusals of own requests
    TimePoint mReportedUntil{};
  };

  RefusalOptions mOptions;
  std::unordered_map<std::uint32_t, Refusal> mRefusals; ///< by ShortId()
};

} // namespace pepperbay
