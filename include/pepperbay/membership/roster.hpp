/// @file
/// @brief Which nodes are there: heartbeats, incarnations, suspicion, and how old a message is.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

/// Join.wire of nodes that understand Envelope.sender_join.
constexpr std::uint32_t kWireSenderByJoin = 1;

struct RosterOptions
{
  std::string mSelf;
  std::uint64_t mIncarnation = 0;
  Duration mSuspectAfter = std::chrono::seconds(2); ///< silence until a peer is not counted on
  Duration mLapseAfter = std::chrono::seconds(6);   ///< silence until its membership lapses
};

enum class PeerStatus
{
  kUnheard, ///< known from the log, not heard since this process started
  kAlive,
  kSuspect,
  kLapsed,
};

const char*
ToString(PeerStatus aStatus);

/// What is known of one other node.
struct Peer
{
  std::uint64_t mIncarnation = 0;
  std::string mAddress;       ///< where it hears other nodes
  std::string mCallerAddress; ///< where it serves callers
  std::string mDataCentre;
  bool mInLog = false;
  bool mHeard = false;
  bool mStopping = false;
  TimePoint mSince{};     ///< when this process learnt of it
  TimePoint mLastHeard{}; ///< receipt of its last message
  std::uint64_t mLastStampNs = 0;
  /// By this process's clock: its last message was sent no earlier. From the echo of this process's
  /// own stamps, so it needs no agreement of clocks and a message that lay in a queue shows its
  /// age.
  TimePoint mSentNoEarlier{};
  std::uint64_t mApplied = 0;
  std::uint32_t mWire = 0; ///< forms of messages that it understands
};

/// How an incoming message was judged.
enum class Hearing
{
  kAccepted,
  kSelf,           ///< this node's own
  kOldIncarnation, ///< of a start of the sender that is over
  kReordered,      ///< a heartbeat older than a message already heard
  kWrongPlace,     ///< claims another data centre than the log says
};

/// @return the name under which it is counted, such as `old_incarnation`.
const char*
ToString(Hearing aHearing);

/// The other nodes, as heard by this one. Pure.
///
/// @code
/// if (roster.Hear(envelope, now) == Hearing::kAccepted) { ... }
/// for (const auto& it : roster.Alive(now)) { ... }
/// @endcode
class Roster
{
public:
  explicit Roster(RosterOptions aOptions);

  /// The log says, at an offset, that a node joined; also of this node.
  void OnJoin(const proto::Join& aJoin, std::uint64_t aOffset, TimePoint aNow);
  /// The log says that a node left. A node that is still heard stays until it falls silent.
  void OnLeave(const std::string& aNode);

  /// Put the sender's name, incarnation and data centre into a message that gives its Join instead.
  /// @return false when no such Join is known, or a later start of that node is: drop the message
  bool Resolve(proto::Envelope* aEnvelope) const;

  /// A message came in. Updates the sender when accepted.
  Hearing Hear(const proto::Envelope& aEnvelope, TimePoint aNow);

  /// Fill in the stamp and echo of a message to a peer, and shorten its sender where the peer is
  /// known to understand that.
  void Stamp(const std::string& aTo, proto::Envelope* aEnvelope, TimePoint aNow) const;

  PeerStatus StatusOf(const std::string& aNode, TimePoint aNow) const;

  /// @return names of peers that are alive, sorted; this node is not among them.
  std::vector<std::string> Alive(TimePoint aNow) const;

  /// @return whether a node may still have work in progress: it is heard, or has been silent for
  /// less than the lapse plus `aLongestWork`.
  bool MayBeWorking(const std::string& aNode, Duration aLongestWork, TimePoint aNow) const;

  /// Forget nodes that are not in the log and have been silent for longer than the lapse.
  void Forget(TimePoint aNow);

  const std::map<std::string, Peer>& Peers() const { return mPeers; }
  Peer* Find(const std::string& aNode);

private:
  struct Joined
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
  };

  RosterOptions mOptions;
  std::map<std::string, Peer> mPeers;
  std::map<std::uint64_t, Joined> mByJoin; ///< offset of the record plus one
  std::uint64_t mOwnJoin = 0; ///< the same, of this node's start; 0 before it is folded
};

} // namespace pepperbay
