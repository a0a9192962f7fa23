#include "pepperbay/membership/roster.hpp"

namespace pepperbay {
namespace {

std::uint64_t
ToStamp(TimePoint aTime)
{
  return static_cast<std::uint64_t>(aTime.time_since_epoch().count());
}

TimePoint
FromStamp(std::uint64_t aStamp)
{
  return TimePoint(Duration(static_cast<Duration::rep>(aStamp)));
}

} // namespace

const char*
ToString(PeerStatus aStatus)
{
  switch (aStatus) {
    case PeerStatus::kUnheard:
      return "unheard";
    case PeerStatus::kAlive:
      return "alive";
    case PeerStatus::kSuspect:
      return "suspect";
    case PeerStatus::kLapsed:
      return "lapsed";
  }
  return "lapsed";
}

const char*
ToString(Hearing aHearing)
{
  switch (aHearing) {
    case Hearing::kAccepted:
      return "accepted";
    case Hearing::kSelf:
      return "own";
    case Hearing::kOldIncarnation:
      return "old_incarnation";
    case Hearing::kReordered:
      return "reordered";
    case Hearing::kWrongPlace:
      return "wrong_data_centre";
  }
  return "accepted";
}

Roster::Roster(RosterOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
Roster::OnJoin(const proto::Join& aJoin, std::uint64_t aOffset, TimePoint aNow)
{
  if (aJoin.node() == mOptions.mSelf) {
    mOwnJoin = aJoin.incarnation() == mOptions.mIncarnation ? aOffset + 1 : mOwnJoin;
    return;
  }
  Peer& peer = mPeers[aJoin.node()];
  if (peer.mIncarnation > aJoin.incarnation()) {
    return;
  }
  if (peer.mIncarnation < aJoin.incarnation()) {
    peer = Peer();
    peer.mIncarnation = aJoin.incarnation();
    peer.mSince = aNow;
  }
  peer.mInLog = true;
  peer.mAddress = aJoin.peer_address();
  peer.mCallerAddress = aJoin.caller_address();
  peer.mDataCentre = aJoin.data_centre();
  peer.mWire = aJoin.wire();
  mByJoin[aOffset + 1] = { aJoin.node(), aJoin.incarnation() };
}

bool
Roster::Resolve(proto::Envelope* aEnvelope) const
{
  if (aEnvelope->sender_join() == 0) {
    return true;
  }
  const auto joined = mByJoin.find(aEnvelope->sender_join());
  if (joined == mByJoin.end()) {
    return false;
  }
  const auto peer = mPeers.find(joined->second.mNode);
  if (peer == mPeers.end() || peer->second.mIncarnation != joined->second.mIncarnation) {
    return false;
  }
  aEnvelope->set_from(peer->first);
  aEnvelope->set_incarnation(peer->second.mIncarnation);
  aEnvelope->set_data_centre(peer->second.mDataCentre);
  return true;
}

void
Roster::OnLeave(const std::string& aNode)
{
  const auto it = mPeers.find(aNode);
  if (it == mPeers.end()) {
    return;
  }
  it->second.mInLog = false;
  if (!it->second.mHeard) {
    mPeers.erase(it);
  }
}

Hearing
Roster::Hear(const proto::Envelope& aEnvelope, TimePoint aNow)
{
  if (aEnvelope.from() == mOptions.mSelf) {
    return Hearing::kSelf;
  }
  const auto known = mPeers.find(aEnvelope.from());
  if (known != mPeers.end()) {
    const Peer& peer = known->second;
    // A process that was replaced may wake and speak on; it must not pass for its successor.
    if (aEnvelope.incarnation() < peer.mIncarnation) {
      return Hearing::kOldIncarnation;
    }
    const bool same = aEnvelope.incarnation() == peer.mIncarnation;
    if (same && peer.mInLog && aEnvelope.data_centre() != peer.mDataCentre) {
      return Hearing::kWrongPlace;
    }
    // Heartbeats replace one another; other messages travel apart from them and may come later.
    if (same && aEnvelope.has_heartbeat() && aEnvelope.stamp_ns() < peer.mLastStampNs) {
      return Hearing::kReordered;
    }
  }
  Peer& peer = mPeers[aEnvelope.from()];
  if (aEnvelope.incarnation() > peer.mIncarnation) {
    const std::string address = peer.mAddress;
    const std::string callers = peer.mCallerAddress;
    const bool inLog = peer.mInLog;
    peer = Peer();
    peer.mIncarnation = aEnvelope.incarnation();
    peer.mAddress = address;
    peer.mCallerAddress = callers;
    peer.mInLog = inLog;
    peer.mSince = aNow;
  }
  peer.mDataCentre = aEnvelope.data_centre();
  if (peer.mHeard && aEnvelope.stamp_ns() < peer.mLastStampNs) {
    return Hearing::kAccepted; // an old message tells nothing new of its sender
  }
  peer.mHeard = true;
  peer.mLastHeard = aNow;
  peer.mLastStampNs = aEnvelope.stamp_ns();
  if (aEnvelope.echo_stamp_ns() != 0) {
    const TimePoint bound =
      FromStamp(aEnvelope.echo_stamp_ns()) + Duration(aEnvelope.echo_held_ns());
    // An echo from the future is of an earlier start of this process; it proves nothing.
    if (bound <= aNow) {
      peer.mSentNoEarlier = bound;
    }
  }
  return Hearing::kAccepted;
}

void
Roster::Stamp(const std::string& aTo, proto::Envelope* aEnvelope, TimePoint aNow) const
{
  aEnvelope->set_stamp_ns(ToStamp(aNow));
  const auto it = mPeers.find(aTo);
  if (it != mPeers.end() && it->second.mHeard) {
    aEnvelope->set_echo_stamp_ns(it->second.mLastStampNs);
    aEnvelope->set_echo_held_ns(static_cast<std::uint64_t>((aNow - it->second.mLastHeard).count()));
  }
  // A peer that has started again has not said what it has folded, and gets the long form.
  const bool understood = it != mPeers.end() && it->second.mWire >= kWireSenderByJoin &&
                          mOwnJoin != 0 && it->second.mApplied >= mOwnJoin;
  if (understood) {
    aEnvelope->clear_from();
    aEnvelope->clear_incarnation();
    aEnvelope->clear_data_centre();
    aEnvelope->set_sender_join(mOwnJoin);
  }
}

PeerStatus
Roster::StatusOf(const std::string& aNode, TimePoint aNow) const
{
  const auto it = mPeers.find(aNode);
  if (it == mPeers.end()) {
    return PeerStatus::kLapsed;
  }
  if (!it->second.mHeard) {
    return aNow - it->second.mSince < mOptions.mLapseAfter ? PeerStatus::kUnheard
                                                           : PeerStatus::kLapsed;
  }
  const Duration silent = aNow - it->second.mLastHeard;
  if (silent < mOptions.mSuspectAfter) {
    return PeerStatus::kAlive;
  }
  return silent < mOptions.mLapseAfter ? PeerStatus::kSuspect : PeerStatus::kLapsed;
}

std::vector<std::string>
Roster::Alive(TimePoint aNow) const
{
  std::vector<std::string> alive;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mHeard && StatusOf(name, aNow) == PeerStatus::kAlive) {
      alive.push_back(name);
    }
  }
  return alive;
}

bool
Roster::MayBeWorking(const std::string& aNode, Duration aLongestWork, TimePoint aNow) const
{
  const auto it = mPeers.find(aNode);
  if (it == mPeers.end()) {
    return false;
  }
  const TimePoint last = it->second.mHeard ? it->second.mLastHeard : it->second.mSince;
  return aNow - last < mOptions.mLapseAfter + aLongestWork;
}

void
Roster::Forget(TimePoint aNow)
{
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    const bool gone = !it->second.mInLog && StatusOf(it->first, aNow) == PeerStatus::kLapsed;
    it = gone ? mPeers.erase(it) : std::next(it);
  }
  for (auto it = mByJoin.begin(); it != mByJoin.end();) {
    const auto peer = mPeers.find(it->second.mNode);
    const bool over = peer == mPeers.end() || peer->second.mIncarnation != it->second.mIncarnation;
    it = over ? mByJoin.erase(it) : std::next(it);
  }
}

Peer*
Roster::Find(const std::string& aNode)
{
  const auto it = mPeers.find(aNode);
  return it == mPeers.end() ? nullptr : &it->second;
}

} // namespace pepperbay
