/// @file
/// @brief Messages of peers: decoded, checked, handed on; heartbeats and questions for records.

#include "controller_impl.hpp"

#include "pepperbay/log/log.hpp"
#include "pepperbay/wire/codec.hpp"

#include <algorithm>

namespace pepperbay {

void
Controller::Impl::OnMessage(std::string_view aBytes)
{
  auto decoded = DecodeEnvelope(aBytes);
  if (!decoded.has_value()) {
    ++mCounters.mDroppedMessages[decoded.error().mDetail];
    return;
  }
  if (!mRoster.Resolve(&decoded.value())) {
    ++mCounters.mDroppedMessages["unknown_sender"];
    return;
  }
  const proto::Envelope& envelope = decoded.value();
  const Peer* known = mRoster.Find(envelope.from());
  const bool restarted = known != nullptr && known->mIncarnation < envelope.incarnation();
  const Hearing hearing = mRoster.Hear(envelope, mHooks.mNow());
  if (hearing != Hearing::kAccepted) {
    ++mCounters.mDroppedMessages[ToString(hearing)];
    return;
  }
  if (restarted) {
    mLedger.OnRestart(envelope.from());
    mWatch.OnPeerRestart(envelope.from());
    mWords.erase(envelope.from());
  }
  switch (envelope.body_case()) {
    case proto::Envelope::kHeartbeat:
      OnHeartbeat(envelope.from(), envelope.heartbeat());
      break;
    case proto::Envelope::kFetchRecords:
      OnFetch(envelope.from(), envelope.fetch_records());
      break;
    case proto::Envelope::kRecords:
      mFollower.OnPeerRecords(envelope.records());
      mPeerState = mPeerState || mState.Next() > 0;
      break;
    case proto::Envelope::kSnapshot:
      mPeerState = true;
      mFollower.OnPeerSnapshot(envelope.snapshot());
      break;
    case proto::Envelope::kClaimAsk:
      mClaims.OnAsk(envelope.from(), envelope.claim_ask());
      break;
    case proto::Envelope::kClaimAnswer:
      mClaims.OnAnswer(envelope.claim_answer());
      break;
    case proto::Envelope::kFetchEvidence: {
      proto::Envelope reply = MakeHeartbeat();
      mWatch.ShareAll(reply.mutable_heartbeat(), mHooks.mNow());
      Send(envelope.from(), std::move(reply));
      break;
    }
    case proto::Envelope::BODY_NOT_SET:
      break;
  }
}

void
Controller::Impl::OnHeartbeat(const std::string& aFrom, const proto::Heartbeat& aHeartbeat)
{
  const TimePoint now = mHooks.mNow();
  Peer& peer = *mRoster.Find(aFrom);
  if (!peer.mInLog && !aHeartbeat.peer_address().empty()) {
    peer.mAddress = aHeartbeat.peer_address();
  }
  peer.mApplied = aHeartbeat.applied();
  peer.mStopping = aHeartbeat.stopping();
  if (mFollower.OnPeerApplied(aHeartbeat.applied(), now)) {
    proto::Envelope fetch = MakeEnvelope();
    fetch.mutable_fetch_records()->set_from(mState.Next());
    Send(aFrom, std::move(fetch));
  }
  for (const auto& it : aHeartbeat.summaries()) {
    const TimePoint said = peer.mSentNoEarlier - std::chrono::milliseconds(it.age_ms());
    const auto known = mRemotes.find(it.data_centre());
    const bool newer = known == mRemotes.end() || said > known->second.mSaid;
    // Before the first echo nothing bounds a message's age, and so nothing in it counts.
    const bool dated = said > TimePoint{};
    const bool other =
      !it.data_centre().empty() && it.data_centre() != mSettings.mPlace.mDataCentre;
    if (newer && dated && other) {
      mRemotes[it.data_centre()] = { it, said };
    }
  }
  if (peer.mDataCentre != mSettings.mPlace.mDataCentre) {
    return;
  }
  if (!mWatch.OnPeerEvidence(aFrom, aHeartbeat, peer.mSentNoEarlier)) {
    proto::Envelope ask = MakeEnvelope();
    ask.mutable_fetch_evidence();
    Send(aFrom, std::move(ask));
  }
  mLedger.OnReports(aFrom, aHeartbeat);
  OnUsage(aFrom, aHeartbeat);
  for (const auto& it : aHeartbeat.outage_repairs()) {
    TakeRepair(it);
  }
  PeerWord& word = mWords[aFrom];
  word.mDrains.clear();
  for (const auto& it : aHeartbeat.drains()) {
    word.mDrains.insert(it.host());
    std::uint64_t& incarnation = mLocalDrains[it.host()];
    if (incarnation < it.host_incarnation()) {
      incarnation = it.host_incarnation();
      mViewDirty = true;
    }
  }
}

void
Controller::Impl::OnFetch(const std::string& aFrom, const proto::FetchRecords& aFetch)
{
  proto::Envelope reply = MakeEnvelope();
  if (aFetch.from() < mState.Next()) {
    proto::Records records = mFollower.Serve(aFetch.from());
    if (records.records_size() > 0) {
      *reply.mutable_records() = std::move(records);
    } else {
      *reply.mutable_snapshot() = mState.Content();
    }
  } else {
    return;
  }
  if (!aFetch.reply_address().empty()) {
    Peer& peer = *mRoster.Find(aFrom);
    if (!peer.mInLog) {
      peer.mAddress = aFetch.reply_address();
    }
    mRoster.Stamp(aFrom, &reply, mHooks.mNow());
    mHooks.mSend(aFetch.reply_address(), reply);
    return;
  }
  Send(aFrom, std::move(reply));
}

} // namespace pepperbay
