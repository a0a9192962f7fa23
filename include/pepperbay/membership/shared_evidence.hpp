/// @file
/// @brief Evidence between nodes as changes and a digest.
///
/// Hosts rarely change and nodes are many, so a heartbeat that repeats every host to every node
/// would cost the product of the two. What is said instead: the changes, a digest over everything
/// the sender stands by, and the age of the oldest word. (Deltas with a full state now and then are
/// how the stream servers of Vortex report to their control plane, section 5.4.3 of that paper; the
/// digest on top tells at once when a change was lost.)
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

/// @return a hash over all that matters of a host's word; load counts in quarters of `aSlots` so
/// that each request does not make a change.
std::uint64_t
EvidenceSignature(const proto::Evidence& aEvidence, std::uint32_t aSlots);

/// The sender's side: what the peers have been told.
class EvidenceSender
{
public:
  /// Fill in a heartbeat's evidence: the changes since the last call, or all when `aFull`.
  /// @param aCurrent all that this node stands by now
  /// @param aOldestAge of the words in `aCurrent`
  void Fill(const std::vector<proto::Evidence>& aCurrent,
            Duration aOldestAge,
            std::uint32_t aSlots,
            bool aFull,
            proto::Heartbeat* aHeartbeat);

private:
  std::map<std::string, std::uint64_t> mTold; ///< host to signature
};

/// The receiver's side, for one peer.
class EvidenceReceiver
{
public:
  /// Take in a heartbeat.
  /// @return whether what is known now is all that the sender stands by; when not, ask for all.
  bool Take(const proto::Heartbeat& aHeartbeat, std::uint32_t aSlots);

  /// All that the peer stands by, valid after `Take()` returned true.
  const std::map<std::string, proto::Evidence>& Words() const { return mWords; }

private:
  std::map<std::string, proto::Evidence> mWords;
};

} // namespace pepperbay
