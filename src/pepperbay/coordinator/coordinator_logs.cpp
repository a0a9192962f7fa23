#include "coordinator_impl.hpp"

namespace pepperbay {
namespace {
/// Feeds travel in one datagram each; what is longer, the others read themselves.
constexpr std::size_t kMostFedBytes = 60000;
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
  return mConfigFollower.Lost() || mEngineFollower.Lost();
}

void
Coordinator::Impl::FollowLogs()
{
  const TimePoint now = Now();
  mDelegate.Tick(mPeers,
                 StoreLost(),
                 { mConfigFollower.Next(), mEngineFollower.Next(), mNodeFollower.Next() },
                 now);
  for (const auto log : { FollowedLog::kConfiguration, FollowedLog::kNodes }) {
    KeyedFollower& follower = FollowerOf(log);
    if (!follower.HasList() || mDelegate.Reads(log)) {
      follower.Tick();
    }
  }
  const bool holder = mLease.LastIsMine();
  const bool reads = holder || mDelegate.Reads(FollowedLog::kEngines);
  if (!mEngineFollower.HasList() || (reads && now >= mEngineReadDue)) {
    const bool alone = !mDelegate.HasDependants() && !mDelegate.IsHeard();
    const Duration pause = alone ? mOptions.mOtherPause : mOptions.mDelegatePause;
    mEngineReadDue = now + (holder ? mOptions.mHolderPause : pause);
    mEngineFollower.Tick();
  }
}

void
Coordinator::Impl::PassOn(FollowedLog aLog, std::uint64_t aFrom, const KeyedTail& aTail)
{
  if (!mDelegate.IsDelegate()) {
    return;
  }
  proto::NodeBeat beat;
  beat.set_node(mOptions.mNode);
  beat.set_incarnation(mOptions.mIncarnation);
  auto* feed = beat.add_feeds();
  feed->set_log(static_cast<std::uint32_t>(aLog));
  feed->set_from(aFrom);
  feed->set_next(aTail.mNext);
  for (const auto& it : aTail.mRecords) {
    auto* record = feed->add_records();
    record->set_key(it.mKey);
    record->set_gone(!it.mValue.has_value());
    record->set_value(it.mValue.value_or(""));
  }
  const std::string bytes = beat.SerializeAsString();
  if (bytes.size() > kMostFedBytes) {
    return;
  }
  for (const auto& it : mDelegate.Dependants()) {
    mHooks.mSend(it, bytes);
  }
}

void
Coordinator::Impl::TakeFeeds(const proto::NodeBeat& aBeat)
{
  for (const auto& feed : aBeat.feeds()) {
    if (feed.log() >= kFollowedLogs) {
      ++mCounters.mBadMessages;
      continue;
    }
    KeyedTail tail;
    tail.mNext = feed.next();
    tail.mEnd = feed.next();
    for (const auto& it : feed.records()) {
      KeyedRecord record{ it.key(), std::nullopt };
      if (!it.gone()) {
        record.mValue = it.value();
      }
      tail.mRecords.push_back(std::move(record));
    }
    ++mCounters.mFeeds;
    FollowerOf(static_cast<FollowedLog>(feed.log())).Feed(feed.from(), tail);
  }
}

} // namespace pepperbay
