/// @file
/// @brief Probing hosts: which ones this node asks, and what it and its peers have heard.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/membership/evidence.hpp"
#include "pepperbay/membership/shared_evidence.hpp"
#include "pepperbay/settings/settings.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct ProbeTarget
{
  std::string mHost;
  std::string mAddress;
};

/// Each host is probed by a few nodes of its data centre, chosen by rendezvous hash over those
/// alive; the results travel in heartbeats. So the work of a node does not grow with the fleet.
class HostWatch
{
public:
  HostWatch(const ControlSettings& aSettings, int aSlots, std::string aSelf);

  /// @return the hosts that this node has to probe now.
  std::vector<ProbeTarget> Due(const std::vector<ProbeTarget>& aHosts,
                               const std::vector<std::string>& aAliveNodes,
                               TimePoint aNow);

  /// A probe has ended. A refused connection is evidence; silence is none.
  /// @return whether the host says anything but its age anew
  bool OnProbe(const std::string& aHost, const Result<proto::Evidence>& aAnswer, TimePoint aSentAt);

  /// A peer's evidence, sent no earlier than `aSentNoEarlier` by this node's clock.
  /// @return whether all of it is known; when not, the peer should be asked for all.
  bool OnPeerEvidence(const std::string& aPeer,
                      const proto::Heartbeat& aHeartbeat,
                      TimePoint aSentNoEarlier);

  /// A peer has started anew; what it said is void.
  void OnPeerRestart(const std::string& aPeer) { mReceivers.erase(aPeer); }

  /// Add this node's own results to the heartbeat for all peers: the changes, and all of them every
  /// so often against faults of this code.
  void Share(proto::Heartbeat* aHeartbeat, TimePoint aNow);

  /// Add all of them, for one peer that has missed a change.
  void ShareAll(proto::Heartbeat* aHeartbeat, TimePoint aNow) const;

  const EvidenceTable& Table() const { return mTable; }
  void Forget(TimePoint aNow) { mTable.Forget(kForgetAfter, aNow); }

private:
  static constexpr Duration kForgetAfter = std::chrono::minutes(10);

  struct Own
  {
    proto::Evidence mEvidence;
    TimePoint mSentAt{};
    TimePoint mNext{};
    bool mInFlight = false;
    bool mMine = false;
    bool mAnswered = false; ///< the last probe brought a word
  };

  /// What this node stands by: the words of its own hosts that answered their last probe.
  std::vector<proto::Evidence> Current(TimePoint aNow, Duration* aOldest) const;

  static constexpr Duration kFullEvery = std::chrono::minutes(5);

  ControlSettings mSettings;
  std::uint32_t mSlots;
  std::string mSelf;
  EvidenceTable mTable;
  std::map<std::string, Own> mOwn;
  std::set<std::string> mOwnersFor;
  std::vector<std::string> mOwnersNodes;
  std::size_t mOwnersHosts = 0;
  EvidenceSender mSender;
  std::map<std::string, EvidenceReceiver> mReceivers;
  TimePoint mNextFull{};
};

} // namespace pepperbay
