#include "coordinator_impl.hpp"

#include <algorithm>

namespace pepperbay {
namespace {
/// Records are forwarded in datagrams up to this size; a longer record is left out, and other nodes
/// read it themselves.
constexpr std::size_t kMaxFeedBytes = 60000;
constexpr std::size_t kMaxDatagramBytes = 65000;
/// Overhead of a record in a message besides its key and value.
constexpr std::size_t kFedRecordOverhead = 16;
/// The store counts as lost once calls have failed for this long. A lost answer is compensated by
/// the next call, and a reader that gives up because of one would make all nodes that rely on it
/// choose another.
constexpr std::chrono::milliseconds kStoreLostAfter{ 300 };
/// A greater age stands for what was never known.
constexpr std::chrono::hours kMaxAge{ 1 };

std::string
AgeText(Duration aAge)
{
  return aAge >= kMaxAge ? "never" : std::to_string(ToMs(aAge).count());
}

} // namespace

KeyedFollower&
Coordinator::Impl::FollowerOf(FollowedLog aLog)
{
  switch (aLog) {
    case FollowedLog::kConfiguration:
      return mConfigFollower;
    case FollowedLog::kEngines:
      return mEngineFollower;
    case FollowedLog::kNodes:
      break;
  }
  return mNodeFollower;
}

TimePoint
Coordinator::Impl::LogAsOf(FollowedLog aLog)
{
  return std::max(FollowerOf(aLog).AsOf(), mFreshness.LogAsOf(aLog));
}

TimePoint
Coordinator::Impl::EnginesAnsweredAt()
{
  return std::max(LogAsOf(FollowedLog::kEngines), mFreshness.LogAnsweredAt(FollowedLog::kEngines));
}

LogOffsets
Coordinator::Impl::OwnOffsets() const
{
  return { mConfigFollower.Next(), mEngineFollower.Next(), mNodeFollower.Next() };
}

bool
Coordinator::Impl::StoreLost() const
{
  return mStoreLostSince && Now() - *mStoreLostSince >= kStoreLostAfter;
}

bool
Coordinator::Impl::ReadsForItself() const
{
  return mTree.Reader().empty() || mTree.Reader() == mOptions.mNode;
}

void
Coordinator::Impl::NoteStore()
{
  // An overdue call counts as a failed one: a connection that is cut gives no answer for as long as
  // a call may last, and until then no other node would read.
  const bool late = mConfigFollower.Overdue() || mEngineFollower.Overdue();
  const bool lost = late || mConfigFollower.Lost() || mEngineFollower.Lost();
  if (!lost) {
    mStoreLostSince.reset();
  } else if (!mStoreLostSince) {
    mStoreLostSince = Now();
  }
  if (StoreLost() != mReportedStoreLost) {
    mReportedStoreLost = StoreLost();
    mHeartbeatDue = Now(); // the others then choose another reader
  }
}

bool
Coordinator::Impl::ReadsConfigurationDirectly()
{
  const TimePoint now = Now();
  const Duration age = now - ConfigurationAsOf();
  const bool old = age >= mOptions.mBounds.mDirectReadAfter;
  // A node that the store has not answered makes no other call that could show that it is back.
  if (!old && !StoreLost()) {
    mConfigurationBackoff.Reset();
    return false;
  }
  const Duration bound = old ? mOptions.mBounds.mMaxDirectReadPause : mOptions.mMaxOutageProbePause;
  const bool readsDirectly = !mReads.Reads(FollowedLog::kConfiguration) && mConfigFollower.MayAsk();
  if (!readsDirectly || !mConfigurationBackoff.IsDue(now, bound)) {
    return false;
  }
  mConfigurationBackoff.Begin(now);
  if (old) {
    LogDirectRead(FollowedLog::kConfiguration, age);
  }
  return true;
}

bool
Coordinator::Impl::ReadsEnginesDirectly()
{
  const TimePoint now = Now();
  const Duration age = now - LogAsOf(FollowedLog::kEngines);
  const bool old = age >= mOptions.mBounds.mEnginesDirectReadAfter;
  const bool lost = mEngineFollower.Lost() || mEngineFollower.Overdue();
  if (!old && !lost) {
    mEnginesBackoff.Reset();
    return false;
  }
  // In an outage of the store one probe call shows as well as two that it is back.
  const bool storeLost = mConfigFollower.Lost() || mConfigFollower.Overdue();
  const bool reads = mLease.LastIsMine() || mReads.Reads(FollowedLog::kEngines);
  const Duration bound = old ? mOptions.mBounds.mMaxDirectReadPause : mOptions.mMaxOutageProbePause;
  const bool readsDirectly = !storeLost && !reads && mEngineFollower.MayAsk();
  if (!readsDirectly || !mEnginesBackoff.IsDue(now, bound)) {
    return false;
  }
  mEnginesBackoff.Begin(now);
  if (old) {
    LogDirectRead(FollowedLog::kEngines, age);
  }
  return true;
}

void
Coordinator::Impl::LogDirectRead(FollowedLog aLog, Duration aAge)
{
  ++mCounters.mDirectReads;
  mHooks.mLog("store_looked_at",
              { { "log", NameOf(aLog) },
                { "age_ms", AgeText(aAge) },
                { "version", std::to_string(ConfigurationVersion()) },
                { "reader", mTree.Reader() } });
}

void
Coordinator::Impl::LogReader()
{
  const std::string& reader = ReadsForItself() ? mOptions.mNode : mTree.Reader();
  if (mTree.AwaitsReader() || reader == mLoggedReader) {
    return;
  }
  mLoggedReader = reader;
  mHooks.mLog("store_reader",
              { { "reader", reader }, { "age_ms", AgeText(Now() - ConfigurationAsOf()) } });
}

void
Coordinator::Impl::FollowLogs()
{
  const TimePoint now = Now();
  NoteStore();
  LogReader();
  const KnownPeer* reader = mPeers.Find(mTree.Reader());
  if (mTree.AwaitsReader()) {
    mReads.ReadNothing();
  } else if (ReadsForItself() || reader == nullptr) {
    mReads.ReadAll();
  } else {
    const auto& next = reader->mBeat.log_next();
    mReads.RelyOn({ next.begin(), next.end() }, OwnOffsets(), now);
  }
  // The reader may be cut off from the store without knowing it yet, and so may the next ones.
  // Nodes that waited for each in turn would use an outdated configuration, or send to engines that
  // have left, for seconds.
  if (ReadsConfigurationDirectly()) {
    Ask(FollowedLog::kConfiguration, StoreCallReason::kStale);
  } else if (mReads.Reads(FollowedLog::kConfiguration)) {
    Ask(FollowedLog::kConfiguration, ReasonToRead());
  }
  if (mReads.Reads(FollowedLog::kNodes)) {
    Ask(FollowedLog::kNodes, ReasonToRead());
  }
  const bool holder = mLease.LastIsMine();
  const bool reads = mReads.Reads(FollowedLog::kEngines);
  const bool readsDirectly = ReadsEnginesDirectly();
  if (readsDirectly || ((reads || holder) && now >= mEngineReadDue)) {
    const bool alone = ReadsForItself() && Dependants().empty();
    const Duration pause = alone ? mOptions.mOtherPause : mOptions.mReaderPause;
    mEngineReadDue = now + (holder ? mOptions.mHolderPause : pause);
    const StoreCallReason reason = readsDirectly ? StoreCallReason::kStale
                                   : holder      ? StoreCallReason::kHolder
                                                 : ReasonToRead();
    Ask(FollowedLog::kEngines, reason);
  }
  for (const auto log :
       { FollowedLog::kConfiguration, FollowedLog::kEngines, FollowedLog::kNodes }) {
    if (FollowerOf(log).IsLate()) {
      Ask(log, StoreCallReason::kLate);
    } else if (FollowerOf(log).NeedsList()) {
      Ask(log, StoreCallReason::kList);
    }
  }
}

StoreCallReason
Coordinator::Impl::ReasonToRead() const
{
  return ReadsForItself() ? StoreCallReason::kReader : StoreCallReason::kMissed;
}

void
Coordinator::Impl::Ask(FollowedLog aLog, StoreCallReason aReason)
{
  KeyedFollower& follower = FollowerOf(aLog);
  if (!follower.MayAsk() && !follower.IsLate()) {
    return;
  }
  // A list is read first, whatever the call was meant for.
  const StoreCallReason reason = follower.IsLate()      ? StoreCallReason::kLate
                                 : follower.NeedsList() ? StoreCallReason::kList
                                                        : aReason;
  ++mCounters.mStoreCalls[std::string(NameOf(aLog)) + "_" + NameOf(reason)];
  follower.Tick();
  if (reason == StoreCallReason::kLate && !follower.IsSuspected()) {
    mRepeats.Spend(Now());
  }
}

void
Coordinator::Impl::OnEnginesAnswer()
{
  mOutages.OnAnswered(EnginesAnsweredAt());
  if (mOutages.OnOwnAnswer(Now())) {
    OnOutageEnded("");
  }
}

void
Coordinator::Impl::OnOutageReported(const proto::PeerMessage& aMessage)
{
  mOutages.OnAnswered(EnginesAnsweredAt());
  const std::chrono::milliseconds ago(aMessage.outage_ended_ms_ago());
  if (ago < mDirectory.ReturnGrace() && mOutages.OnReported(Now() - ago)) {
    OnOutageEnded(aMessage.node());
  }
}

void
Coordinator::Impl::OnOutageEnded(const std::string& aReporter)
{
  ++mCounters.mOutages;
  mDirectory.OnStoreBack(*mOutages.Ended());
  mHooks.mLog("store_outage_ended",
              { { "reporter", aReporter.empty() ? mOptions.mNode : aReporter },
                { "ago_ms", std::to_string(ToMs(Now() - *mOutages.Ended()).count()) } });
}

void
Coordinator::Impl::OnConnectionsReplaced(FollowedLog aLog, TimePoint aOpened, Duration aLate)
{
  ++mCounters.mReplacedConnections;
  mRepeats.Fill(Now());
  mHooks.mLog("store_connection_replaced",
              { { "log", NameOf(aLog) }, { "late_ms", std::to_string(ToMs(aLate).count()) } });
  for (const auto log :
       { FollowedLog::kConfiguration, FollowedLog::kEngines, FollowedLog::kNodes }) {
    FollowerOf(log).SuspectConnection(aOpened);
  }
}

std::vector<std::string>
Coordinator::Impl::Dependants() const
{
  std::vector<std::string> names;
  for (auto& it : mPeers.Correspondents(Now())) {
    if (mTree.InScope(mPeers.Find(it)->mDataCentre)) {
      names.push_back(std::move(it));
    }
  }
  return names;
}

void
Coordinator::Impl::ForwardRecords(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail)
{
  if (!ReadsForItself()) {
    return;
  }
  // Offsets of single records are known only if the read left none out.
  const bool splits = aTail.mNext - aFrom == aTail.mRecords.size();
  proto::PeerMessage message = NewMessage();
  auto* feed = message.mutable_feed();
  feed->set_log(static_cast<std::uint32_t>(aLog));
  feed->set_from(aFrom);
  feed->set_next(aFrom);
  std::size_t bytes = 0;
  for (const auto& it : aTail.mRecords) {
    const std::size_t size = it.mKey.size() + it.mValue.value_or("").size() + kFedRecordOverhead;
    if (splits && bytes > 0 && bytes + size > kMaxFeedBytes) {
      SendFeed(message);
      feed->clear_records();
      feed->set_from(feed->next());
      bytes = 0;
    }
    auto* record = feed->add_records();
    record->set_key(it.mKey);
    record->set_gone(!it.mValue.has_value());
    record->set_value(it.mValue.value_or(""));
    feed->set_next(feed->next() + 1);
    bytes += size;
  }
  feed->set_next(aTail.mNext);
  SendFeed(message);
}

void
Coordinator::Impl::SendFeed(const proto::PeerMessage& aMessage)
{
  const std::string bytes = aMessage.SerializeAsString();
  if (bytes.size() > kMaxDatagramBytes) {
    return;
  }
  for (const auto& it : Dependants()) {
    SendTo(it, bytes);
  }
}

void
Coordinator::Impl::ApplyFeed(const std::string& aFrom, const proto::LogFeed& aFeed)
{
  if (aFeed.log() >= kFollowedLogs) {
    ++mCounters.mBadMessages;
    return;
  }
  KeyedTail tail;
  tail.mNext = aFeed.next();
  tail.mEnd = aFeed.next();
  for (const auto& it : aFeed.records()) {
    KeyedRecord record{ it.key(), std::nullopt };
    if (!it.gone()) {
      record.mValue = it.value();
    }
    tail.mRecords.push_back(std::move(record));
  }
  ++mCounters.mFeeds;
  mFeeder = aFrom;
  FollowerOf(static_cast<FollowedLog>(aFeed.log())).Feed(aFeed.from(), tail);
  mFeeder.clear();
}

} // namespace pepperbay
