#include "coordinator_impl.hpp"

namespace pepperbay {
namespace {
/// Feeds travel in one datagram each; what is longer, the others read themselves.
constexpr std::size_t kMostFedBytes = 60000;
/// The store counts as lost once calls have failed for so long. One lost answer is made good by the
/// next call, and a reader that gives up for it would move all that rely on it.
constexpr std::chrono::milliseconds kLostAfter{ 300 };
}

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

bool
Coordinator::Impl::StoreLost() const
{
  return mStoreLostSince && Now() - *mStoreLostSince >= kLostAfter;
}

bool
Coordinator::Impl::ReadsForItself() const
{
  return mTree.Reader().empty() || mTree.Reader() == mOptions.mNode;
}

void
Coordinator::Impl::NoteStore()
{
  const bool lost = mConfigFollower.Lost() || mEngineFollower.Lost();
  if (!lost) {
    mStoreLostSince.reset();
  } else if (!mStoreLostSince) {
    mStoreLostSince = Now();
  }
}

void
Coordinator::Impl::FollowLogs()
{
  const TimePoint now = Now();
  NoteStore();
  const KnownPeer* reader = mPeers.Find(mTree.Reader());
  if (mTree.AwaitsReader()) {
    mReads.ReadNothing();
  } else if (ReadsForItself() || reader == nullptr) {
    mReads.ReadAll();
  } else {
    const auto& next = reader->mBeat.log_next();
    mReads.RelyOn({ next.begin(), next.end() },
                  { mConfigFollower.Next(), mEngineFollower.Next(), mNodeFollower.Next() },
                  now);
  }
  for (const auto log : { FollowedLog::kConfiguration, FollowedLog::kNodes }) {
    KeyedFollower& follower = FollowerOf(log);
    if (!follower.HasList() || mReads.Reads(log)) {
      follower.Tick();
    }
  }
  const bool holder = mLease.LastIsMine();
  const bool reads = holder || mReads.Reads(FollowedLog::kEngines);
  if (!mEngineFollower.HasList() || (reads && now >= mEngineReadDue)) {
    const bool alone = ReadsForItself() && Dependants().empty();
    const Duration pause = alone ? mOptions.mOtherPause : mOptions.mReaderPause;
    mEngineReadDue = now + (holder ? mOptions.mHolderPause : pause);
    mEngineFollower.Tick();
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
Coordinator::Impl::PassOn(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail)
{
  if (!ReadsForItself()) {
    return;
  }
  proto::PeerMessage message = NewMessage();
  auto* feed = message.mutable_feed();
  feed->set_log(static_cast<std::uint32_t>(aLog));
  feed->set_from(aFrom);
  feed->set_next(aTail.mNext);
  for (const auto& it : aTail.mRecords) {
    auto* record = feed->add_records();
    record->set_key(it.mKey);
    record->set_gone(!it.mValue.has_value());
    record->set_value(it.mValue.value_or(""));
  }
  const std::string bytes = message.SerializeAsString();
  if (bytes.size() > kMostFedBytes) {
    return;
  }
  for (const auto& it : Dependants()) {
    SendTo(it, bytes);
  }
}

void
Coordinator::Impl::TakeFeed(const proto::LogFeed& aFeed)
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
  FollowerOf(static_cast<FollowedLog>(aFeed.log())).Feed(aFeed.from(), tail);
}

} // namespace pepperbay
