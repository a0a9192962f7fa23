#include "freshness_tracker.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// A node that still asks does so in each heartbeat, every 200 ms; one that has not asked for this
/// long has reached the store again or is gone.
constexpr std::chrono::seconds kRequestLifetime{ 1 };
/// A log with a greater age counts as unknown.
constexpr std::chrono::milliseconds kMaxLogAge{ std::chrono::hours(1) };

std::uint64_t
ToNs(Duration aDuration)
{
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, aDuration.count()));
}

Duration
FromNs(std::uint64_t aNs)
{
  return Duration(static_cast<Duration::rep>(aNs));
}

} // namespace

FreshnessTracker::FreshnessTracker(std::string aSelf, std::uint64_t aIncarnation)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
{
}

void
FreshnessTracker::OnBeat(const proto::PeerMessage& aMessage,
                         std::uint64_t aVersion,
                         const LogOffsets& aOwn,
                         TimePoint aNow)
{
  const proto::Beat& beat = aMessage.beat();
  if (beat.asks_freshness_at_ns() != 0) {
    mRequests[aMessage.node()] = { aMessage.incarnation(), beat.asks_freshness_at_ns(), aNow };
  }
  for (const auto& it : beat.freshness()) {
    if (it.node() != mSelf || it.incarnation() != mIncarnation) {
      continue;
    }
    const TimePoint answered = TimePoint(FromNs(it.asked_at_ns())) + FromNs(it.held_ns());
    if (answered > aNow) {
      continue;
    }
    NoteLogs(beat, aOwn, answered);
    if (beat.config_version() <= aVersion) { // else the peer has a newer one
      mAsOf = std::max(mAsOf, answered - FromNs(beat.config_age_ns()));
    }
  }
}

void
FreshnessTracker::NoteLogs(const proto::Beat& aBeat, const LogOffsets& aOwn, TimePoint aAnswered)
{
  const bool reported = aBeat.log_age_ms_size() == static_cast<int>(kFollowedLogs) &&
                        aBeat.log_next_size() == static_cast<int>(kFollowedLogs);
  if (!reported) {
    return; // sent by an older software version
  }
  for (std::size_t i = 0; i < kFollowedLogs; ++i) {
    const int log = static_cast<int>(i);
    const std::uint64_t age = aBeat.log_age_ms(log);
    if (age >= static_cast<std::uint64_t>(kMaxLogAge.count())) {
      continue;
    }
    const TimePoint asOf = aAnswered - std::chrono::milliseconds(age);
    mLogAnsweredAt[i] = std::max(mLogAnsweredAt[i], asOf);
    if (aBeat.log_next(log) <= aOwn[i]) { // else the peer has records that are missing here
      mLogAsOf[i] = std::max(mLogAsOf[i], asOf);
    }
  }
}

void
FreshnessTracker::Fill(proto::Beat* aBeat, bool aAsk, TimePoint aAsOf, TimePoint aNow)
{
  if (aAsk) {
    aBeat->set_asks_freshness_at_ns(ToNs(aNow.time_since_epoch()));
  }
  aBeat->set_config_age_ns(ToNs(aNow - aAsOf));
  for (auto it = mRequests.begin(); it != mRequests.end();) {
    const bool old = aNow - it->second.mReceived >= kRequestLifetime;
    it = old ? mRequests.erase(it) : std::next(it);
  }
}

void
FreshnessTracker::Answer(const std::string& aNode, proto::Beat* aBeat, TimePoint aNow) const
{
  const auto it = mRequests.find(aNode);
  if (it == mRequests.end()) {
    return;
  }
  auto* answer = aBeat->add_freshness();
  answer->set_node(it->first);
  answer->set_incarnation(it->second.mIncarnation);
  answer->set_asked_at_ns(it->second.mAskedAtNs);
  answer->set_held_ns(ToNs(aNow - it->second.mReceived));
}

} // namespace pepperbay
