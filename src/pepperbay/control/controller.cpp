#include "controller_impl.hpp"

#include "pepperbay/log/log.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr Duration kStopPatience = std::chrono::seconds(5);

AppenderOptions
MakeAppenderOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  AppenderOptions options;
  options.mAuthor = aSettings.mPlace.mName;
  options.mIncarnation = aIncarnation;
  return options;
}

RosterOptions
MakeRosterOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  RosterOptions options;
  options.mSelf = aSettings.mPlace.mName;
  options.mIncarnation = aIncarnation;
  options.mSuspectAfter = aSettings.mControl.mSuspectAfter;
  options.mLapseAfter = aSettings.mControl.mLapseAfter;
  return options;
}

ClaimDeskOptions
MakeClaimOptions(const Settings& aSettings)
{
  ClaimDeskOptions options;
  options.mSelf = aSettings.mPlace.mName;
  options.mStreamPrefix = aSettings.mPlatform.mClaimsStream;
  options.mPartitions = static_cast<std::uint32_t>(aSettings.mRequests.mClaimPartitions);
  return options;
}

} // namespace

Controller::Impl::Impl(const Settings& aSettings,
                       std::uint64_t aIncarnation,
                       ControllerHooks aHooks)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mHooks(std::move(aHooks))
  , mStarted(mHooks.mNow())
  , mRoster(MakeRosterOptions(aSettings, aIncarnation))
  , mWatch(aSettings.mControl, aSettings.mRequests.mSlotsPerReplica, aSettings.mPlace.mName)
  , mAppender(MakeAppenderOptions(aSettings, aIncarnation))
  , mFollower(FollowerOptions(),
              FollowerHooks{
                [this] { return mState.Next(); },
                [this](std::uint64_t aOffset, const std::string& aBytes) { Fold(aOffset, aBytes); },
                [this](const proto::Snapshot& aSnapshot) { Install(aSnapshot); } })
  , mHolder(aSettings,
            aIncarnation,
            HolderHooks{ [this](proto::Record aRecord, TimePoint aGiveUp, Appender::Done aDone) {
                          return Submit(std::move(aRecord), aGiveUp, std::move(aDone));
                        },
                         [this](const HostOrder& aOrder, Duration aTimeout) {
                           mHooks.mOrder(aOrder, aTimeout, [this](const Result<void>& aDone) {
                             mCounters.mOrdersRefused += aDone.has_value() ? 0 : 1;
                           });
                         } })
  , mClaims(MakeClaimOptions(aSettings), MakeClaimHooks())
{
}

ClaimDeskHooks
Controller::Impl::MakeClaimHooks()
{
  ClaimDeskHooks hooks;
  hooks.mNow = mHooks.mNow;
  hooks.mOwner = [this](std::uint32_t aPartition) {
    return OwnerOf("claims/" + std::to_string(aPartition));
  };
  hooks.mSend = [this](const std::string& aNode, const proto::Envelope& aEnvelope) {
    proto::Envelope envelope = MakeEnvelope();
    envelope.MergeFrom(aEnvelope);
    Send(aNode, std::move(envelope));
  };
  hooks.mAppend = mHooks.mAppendClaims;
  hooks.mRead = mHooks.mReadClaims;
  return hooks;
}

void
Controller::Impl::Fold(std::uint64_t aOffset, const std::string& aBytes)
{
  const FoldResult result = mState.Apply(aOffset, aBytes);
  ++mCounters.mFolded[pepperbay::ToString(result.mVerdict)];
  mViewDirty = true;
  mEffectiveStale = true;
  mTargetsStale = true;
  ++mRevision;
  DropFolded(mState, &mRepairs);
  AfterFold(result);
}

void
Controller::Impl::AfterFold(const FoldResult& aResult)
{
  const TimePoint now = mHooks.mNow();
  const proto::Record& record = aResult.mRecord;
  if (aResult.mVerdict == FoldVerdict::kAccepted) {
    if (record.has_join()) {
      mRoster.OnJoin(record.join(), aResult.mOffset, now);
    } else if (record.has_leave()) {
      mRoster.OnLeave(record.leave().node());
    } else if (record.has_publish()) {
      LogEvent(
        "config.accepted",
        { { "key", record.publish().key() }, { "offset", std::to_string(aResult.mOffset) } });
    } else if (record.has_assign()) {
      LogEvent("replica.assigned",
               { { "replica", record.assign().replica() },
                 { "generation", std::to_string(record.assign().generation()) } });
    }
  }
  if (record.has_claim()) {
    mHolder.OnState(mState, now);
  }
  const bool own =
    record.id().author() == mSettings.mPlace.mName && record.id().incarnation() == mIncarnation;
  if (!own || aResult.mVerdict == FoldVerdict::kDuplicate) {
    return;
  }
  if (aResult.mVerdict == FoldVerdict::kAccepted) {
    mAppender.OnFolded(record.id().sequence(), aResult.mOffset);
    return;
  }
  const Errc code = aResult.mVerdict == FoldVerdict::kConflict ? Errc::kConflict : Errc::kInvalid;
  mAppender.OnFolded(record.id().sequence(), Error{ code, "fold", "", aResult.mReason });
}

void
Controller::Impl::Install(const proto::Snapshot& aSnapshot)
{
  const TimePoint now = mHooks.mNow();
  mState = State(aSnapshot);
  for (const auto& [name, node] : mState.Content().nodes()) {
    mRoster.OnJoin(node.join(), node.offset(), now);
  }
  mHolder.OnState(mState, now);
  mViewDirty = true;
  mEffectiveStale = true;
  mTargetsStale = true;
  DropFolded(mState, &mRepairs);
  ++mRevision;
  LogEvent("state.installed", { { "offset", std::to_string(mState.Next()) } });
}

Result<void>
Controller::Impl::Submit(proto::Record aRecord, TimePoint aGiveUp, Appender::Done aDone)
{
  return mAppender.Submit(std::move(aRecord), aGiveUp, std::move(aDone));
}

void
Controller::Impl::ReadLog()
{
  const TimePoint now = mHooks.mNow();
  LogRead read;
  if (now < mNextRead || !mFollower.NextRead(now, &read)) {
    return;
  }
  mNextRead = now + mSettings.mPlatform.mReadEvery;
  ++mCounters.mReads;
  mHooks.mRead(read, [this](Result<proto::LogRecords> aRecords) {
    const TimePoint then = mHooks.mNow();
    const bool reachable = mFollower.LogReachable();
    if (aRecords.has_value()) {
      mFollower.OnRead(aRecords.value(), then);
    } else {
      mFollower.OnReadFailed(then);
    }
    if (reachable != mFollower.LogReachable()) {
      ++mRevision;
      LogEvent(mFollower.LogReachable() ? "log.reachable" : "log.unreachable");
    }
  });
}

void
Controller::Impl::AppendDue()
{
  const TimePoint now = mHooks.mNow();
  mAppender.ExpireBefore(now);
  auto batch = mAppender.Next(now);
  if (batch.empty()) {
    return;
  }
  ++mCounters.mAppends;
  mHooks.mAppend(std::move(batch),
                 [this](bool aAppended) { mAppender.OnAnswer(aAppended, mHooks.mNow()); });
}

void
Controller::Impl::Tick()
{
  ReadLog();
  ListHosts();
  AskSeeds();
  JoinWhenDue();
  ProbeDue();
  ShareDrains();
  SettleStops();
  if (!mStopping && mFollower.CaughtUp()) {
    Lead();
  }
  RemoveLapsedNodes();
  mClaims.Tick();
  AppendDue();
  BuildView();
  Heartbeat();
}

Controller::Controller(const Settings& aSettings,
                       std::uint64_t aIncarnation,
                       ControllerHooks aHooks)
  : mImpl(std::make_unique<Impl>(aSettings, aIncarnation, std::move(aHooks)))
{
}

Controller::~Controller() = default;

void
Controller::Tick()
{
  mImpl->Tick();
}

void
Controller::OnMessage(std::string_view aBytes)
{
  mImpl->OnMessage(aBytes);
}

void
Controller::Publish(std::vector<PublishItem> aItems,
                    std::function<void(std::vector<PublishOutcome>)> aDone)
{
  struct Batch
  {
    std::vector<PublishOutcome> mOutcomes;
    std::size_t mLeft = 0;
    std::function<void(std::vector<PublishOutcome>)> mDone;
  };
  auto batch = std::make_shared<Batch>();
  batch->mLeft = aItems.size();
  batch->mOutcomes.resize(aItems.size());
  batch->mDone = std::move(aDone);
  if (aItems.empty()) {
    batch->mDone({});
    return;
  }
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const PublishItem& item = aItems[i];
    const auto& documents = mImpl->mState.Content().documents();
    const auto known = documents.find(item.mKey);
    proto::Record record;
    proto::Publish& publish = *record.mutable_publish();
    publish.set_key(item.mKey);
    const std::uint64_t current = known == documents.end() ? 0 : known->second.version();
    publish.set_expected_version(item.mHasVersion ? item.mVersion : current);
    if (!item.mRemove) {
      *publish.mutable_document() = item.mDocument;
    }
    PublishOutcome& outcome = batch->mOutcomes[i];
    outcome.mKey = item.mKey;
    const std::uint64_t next = publish.expected_version() + 1;
    const auto settle = [batch, i, next](const Result<std::uint64_t>& aResult) {
      PublishOutcome& out = batch->mOutcomes[i];
      if (aResult.has_value()) {
        out.mOutcome = "accepted";
        out.mOffset = aResult.value();
        out.mVersion = next;
      } else {
        const Errc code = aResult.error().mCode;
        out.mOutcome = code == Errc::kConflict  ? "conflict"
                       : code == Errc::kInvalid ? "refused"
                                                : "unknown";
        out.mReason = aResult.error().mDetail;
      }
      if (--batch->mLeft == 0) {
        batch->mDone(std::move(batch->mOutcomes));
      }
    };
    const auto queued =
      mImpl->Submit(std::move(record), mImpl->mHooks.mNow() + kRecordPatience, settle);
    if (!queued.has_value()) {
      settle(queued.error());
    }
  }
}

void
Controller::StopHost(const std::string& aHost, std::function<void(Result<void>)> aDone)
{
  const HostWord* word = mImpl->mWatch.Table().Find(aHost);
  if (word == nullptr || word->mEvidence.host_incarnation() == 0) {
    aDone(
      Error{ Errc::kNotFound,
             "stop-host",
             aHost,
             "not a host of this data centre that has answered a probe; ask a node of its own" });
    return;
  }
  PendingStop stop;
  stop.mDrain.set_host(aHost);
  stop.mDrain.set_host_incarnation(word->mEvidence.host_incarnation());
  stop.mGiveUp = mImpl->mHooks.mNow() + kStopPatience;
  stop.mDone = std::move(aDone);
  std::uint64_t& incarnation = mImpl->mLocalDrains[aHost];
  incarnation = std::max(incarnation, stop.mDrain.host_incarnation());
  mImpl->mStops.push_back(std::move(stop));
  mImpl->mViewDirty = true;
  ++mImpl->mRevision;
  mImpl->mNextHeartbeat = TimePoint{}; // tell the peers at once
  LogEvent("host.stop_announced", { { "host", aHost } });
}

void
Controller::Claim(const KeyClaim& aClaim, std::function<void(const proto::ClaimAnswer&)> aDone)
{
  mImpl->mClaims.Claim(aClaim, std::move(aDone));
  mImpl->mClaims.Tick(); // do not wait for the next tick to ask the log
}

void
Controller::ReportAnswer(const std::string& aKey,
                         const std::string& aClaimId,
                         proto::KeptAnswer aAnswer)
{
  mImpl->mClaims.Report(aKey, aClaimId, std::move(aAnswer));
}

void
Controller::AbandonClaim(const std::string& aKey, const std::string& aClaimId)
{
  mImpl->mClaims.Abandon(aKey, aClaimId);
}

void
Controller::BeginStop()
{
  if (mImpl->mStopping) {
    return;
  }
  mImpl->mStopping = true;
  mImpl->mViewDirty = true;
  ++mImpl->mRevision;
  mImpl->mHolder.GiveUp(mImpl->mHooks.mNow());
  mImpl->mNextHeartbeat = TimePoint{};
  LogEvent("node.stopping");
}

std::string
Controller::WhyNotReady() const
{
  return mImpl->WhyNotReady();
}

std::string
Controller::Dump() const
{
  return mImpl->Dump();
}

std::uint64_t
Controller::Revision() const
{
  return mImpl->mRevision;
}

const State&
Controller::Folded() const
{
  return mImpl->mState;
}

const ControllerCounters&
Controller::Counters() const
{
  return mImpl->mCounters;
}

bool
Controller::HoldsLease() const
{
  return mImpl->mHolder.Lease().Held(mImpl->mHooks.mNow());
}

bool
Controller::HasRecordsWaiting() const
{
  return mImpl->mAppender.Waiting() > 0;
}

} // namespace pepperbay
