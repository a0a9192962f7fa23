#include "coordinator_impl.hpp"

#include <algorithm>

namespace pepperbay {
namespace {
/// Shortest time between two requests for missed records of a log: an answer takes as long to
/// arrive where links are full.
constexpr std::chrono::milliseconds kRecordsRequestInterval{ 400 };
/// A node that needs a list waits so long for the changes that peers have.
constexpr std::chrono::milliseconds kAwaitPeersRecords{ 500 };
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
    } else if (FollowerOf(log).HasList() && FollowerOf(log).Lost()) {
      RequestRecords(log);
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
  if ((!follower.MayAsk() && !follower.IsLate()) || AwaitsPeersRecords(aLog)) {
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
  // What a list shows that was read anew is read nowhere else, so it is forwarded by any node.
  const bool forwards = ReadsForItself() || aTail.mOfList;
  for (auto& it : BatchesOf(aLog, aFrom, aTail)) {
    if (forwards) {
      ForwardBatch(it);
    }
    RecentOf(aLog).Add(std::move(it));
  }
}

void
Coordinator::Impl::ForwardBatch(const RecordBatch& aBatch)
{
  SendBatch(Dependants(), aBatch);
}

void
Coordinator::Impl::SendBatch(const std::vector<std::string>& aNodes, const RecordBatch& aBatch)
{
  for (const auto& part : aBatch.mParts) {
    proto::PeerMessage message = NewMessage();
    *(part.parts() > 1 ? message.mutable_feed_part() : message.mutable_feed()) = part;
    const std::string bytes = message.SerializeAsString();
    for (const auto& it : aNodes) {
      SendTo(it, bytes);
    }
  }
}

void
Coordinator::Impl::ApplyFeed(const std::string& aFrom, const proto::LogFeed& aFeed)
{
  if (aFeed.log() >= kFollowedLogs) {
    ++mCounters.mBadMessages;
    return;
  }
  const auto log = static_cast<FollowedLog>(aFeed.log());
  if (aFeed.from() == aFeed.next()) {
    mAwaitsRecordsSince[aFeed.log()] = TimePoint{}; // the peer does not have them
    return;
  }
  ++mCounters.mFeeds;
  auto batch = mAssemblers[aFeed.log()].Take(aFeed);
  if (!batch) {
    return;
  }
  mFeeder = aFrom;
  const bool taken = FollowerOf(log).Feed(batch->mFrom, TailOf(*batch));
  mFeeder.clear();
  if (!taken) {
    return;
  }
  if (ReadsForItself() && FollowerOf(log).Lost()) {
    ForwardBatch(*batch); // the nodes that rely on this one hear of it from nobody else
  }
  RecentOf(log).Add(std::move(*batch));
}

bool
Coordinator::Impl::AwaitsPeersRecords(FollowedLog aLog)
{
  const KeyedFollower& follower = FollowerOf(aLog);
  const TimePoint now = Now();
  auto& since = mAwaitsRecordsSince[static_cast<std::size_t>(aLog)];
  if (!follower.NeedsList() || !follower.HasList()) {
    since.reset();
    return false;
  }
  since = since.value_or(now);
  if (follower.IsReadingList() || now - *since >= kAwaitPeersRecords || PeerAhead(aLog).empty()) {
    return false;
  }
  RequestRecords(aLog);
  return true;
}

std::string
Coordinator::Impl::PeerAhead(FollowedLog aLog)
{
  std::vector<std::string> peers = { mTree.Reader(), mTree.Followed() };
  peers.insert(peers.end(), mTree.Delegates().begin(), mTree.Delegates().end());
  for (const auto& [scope, delegates] : mTree.OtherDelegates()) {
    peers.insert(peers.end(), delegates.begin(), delegates.end());
  }
  const std::uint64_t own = FollowerOf(aLog).Next();
  const auto ahead = std::find_if(peers.begin(), peers.end(), [&](const std::string& aName) {
    const KnownPeer* peer = mPeers.Find(aName);
    return peer != nullptr && mPeers.Alive(*peer, Now()) &&
           peer->mBeat.log_next_size() == static_cast<int>(kFollowedLogs) &&
           peer->mBeat.log_next(static_cast<int>(aLog)) > own;
  });
  return ahead == peers.end() ? std::string() : *ahead;
}

void
Coordinator::Impl::RequestRecords(FollowedLog aLog)
{
  const TimePoint now = Now();
  TimePoint& due = mRecordsRequestDue[static_cast<std::size_t>(aLog)];
  const std::string peer = PeerAhead(aLog);
  if (now < due || peer.empty()) {
    return;
  }
  due = now + kRecordsRequestInterval;
  ++mCounters.mRecordRequests;
  proto::PeerMessage message = NewMessage();
  message.mutable_feed_request()->set_log(static_cast<std::uint32_t>(aLog));
  message.mutable_feed_request()->set_from(FollowerOf(aLog).Next());
  SendTo(peer, message.SerializeAsString());
}

void
Coordinator::Impl::AnswerRecordsRequest(const std::string& aNode,
                                        const proto::FeedRequest& aRequest)
{
  if (aRequest.log() >= kFollowedLogs) {
    ++mCounters.mBadMessages;
    return;
  }
  const auto batches = mRecent[aRequest.log()].Since(aRequest.from());
  const std::size_t messages = MessagesIn(batches);
  if (messages > 0 && mRecordsSent.Level(Now()) >= static_cast<double>(messages)) {
    for (const auto* it : batches) {
      SendBatch({ aNode }, *it);
    }
    for (std::size_t i = 0; i < messages; ++i) {
      mRecordsSent.Spend(Now());
    }
  } else {
    proto::PeerMessage message = NewMessage();
    message.mutable_feed()->set_log(aRequest.log());
    message.mutable_feed()->set_from(aRequest.from());
    message.mutable_feed()->set_next(aRequest.from());
    SendTo(aNode, message.SerializeAsString());
  }
}

} // namespace pepperbay
