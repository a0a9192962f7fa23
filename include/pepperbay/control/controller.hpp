/// @file
/// @brief The control state of one node and all that changes it; one thread owns it.
///
/// The controller opens no socket: what it sends, appends, reads, probes and orders goes through
/// hooks, whose answers come back on the same thread. Tests drive it with fakes and a paused clock.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/control/traffic_view.hpp"
#include "pepperbay/dispatch/claims.hpp"
#include "pepperbay/journal/follower.hpp"
#include "pepperbay/membership/roster.hpp"
#include "pepperbay/placement/orders.hpp"
#include "pepperbay/settings/settings.hpp"
#include "pepperbay/state/fold.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pepperbay {

/// One host as the platform lists it, of any data centre.
struct HostListing
{
  HostView mView;
  std::string mDataCentre;
};

/// The outside world as the controller needs it. Answers come on the control thread.
struct ControllerHooks
{
  NowFn mNow;
  std::function<void(const std::string& aAddress, const proto::Envelope&)> mSend;
  std::function<void(std::vector<std::string>, std::function<void(bool aAppended)>)> mAppend;
  std::function<void(LogRead, std::function<void(Result<proto::LogRecords>)>)> mRead;
  std::function<void(std::function<void(Result<std::vector<HostListing>>)>)> mListHosts;
  std::function<void(const std::string& aAddress, std::function<void(Result<proto::Evidence>)>)>
    mProbe;
  std::function<void(const HostOrder&, Duration, std::function<void(Result<void>)>)> mOrder;
  /// The same for the claims streams.
  std::function<void(const std::string& aStream,
                     std::vector<std::string>,
                     std::function<void(Result<std::uint64_t> aFirstOffset)>)>
    mAppendClaims;
  std::function<
    void(const std::string& aStream, LogRead, std::function<void(Result<proto::LogRecords>)>)>
    mReadClaims;
  std::function<void(std::shared_ptr<const TrafficView>)> mPublishView;
  std::function<TrafficReport()> mTraffic;
};

/// How one document of a publish fared.
struct PublishOutcome
{
  std::string mKey;
  std::string mOutcome; ///< accepted, conflict, refused or unknown
  std::uint64_t mVersion = 0;
  std::uint64_t mOffset = 0;
  std::string mReason;
};

/// One document to publish and the version it was made from; none means the version now folded.
struct PublishItem
{
  std::string mKey;
  proto::Document mDocument;
  bool mRemove = false;
  bool mHasVersion = false;
  std::uint64_t mVersion = 0;
};

/// Counts of what was dropped, by reason; see docs/OPERATING.md.
struct ControllerCounters
{
  std::map<std::string, std::uint64_t> mDroppedMessages;
  std::map<std::string, std::uint64_t> mFolded; ///< records by verdict
  std::uint64_t mHeartbeats = 0;
  std::uint64_t mReplicasLost = 0; ///< times that a whole replica stopped being whole
  std::uint64_t mOrdersRefused = 0;
  std::uint64_t mAppends = 0;
  std::uint64_t mReads = 0;
};

class Controller
{
public:
  Controller(const Settings& aSettings, std::uint64_t aIncarnation, ControllerHooks aHooks);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Do all that is due; call every ControlSettings::mTick.
  void Tick();

  /// Bytes of one message from a peer.
  void OnMessage(std::string_view aBytes);

  /// Publish documents; `aDone` is called once all are folded, refused or given up.
  void Publish(std::vector<PublishItem> aItems,
               std::function<void(std::vector<PublishOutcome>)> aDone);

  /// Announce a planned stop of a host. Answers once enough nodes know that no node which still
  /// takes requests can have missed it.
  void StopHost(const std::string& aHost, std::function<void(Result<void>)> aDone);

  /// Claim an idempotency key before its request is dispatched; see ClaimDesk.
  void Claim(const KeyClaim& aClaim, std::function<void(const proto::ClaimAnswer&)> aDone);
  /// Keep the answer of a claim that won.
  void ReportAnswer(const std::string& aKey,
                    const std::string& aClaimId,
                    proto::KeptAnswer aAnswer);
  /// A claim that won was not carried out, with proof.
  void AbandonClaim(const std::string& aKey, const std::string& aClaimId);

  /// Fail readiness; give the lease back; tell the peers.
  void BeginStop();

  /// @return whether this node takes new requests, and if not why.
  std::string WhyNotReady() const;

  /// @return the whole control state as JSON, for people and tests.
  std::string Dump() const;

  /// Grows with each change of what `Dump()` shows, but for ages and counters.
  std::uint64_t Revision() const;

  const State& Folded() const;
  const ControllerCounters& Counters() const;
  bool HoldsLease() const;
  /// @return whether records of this node are still on their way into the log.
  bool HasRecordsWaiting() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace pepperbay
