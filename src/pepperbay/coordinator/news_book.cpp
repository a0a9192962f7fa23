#include "news_book.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pepperbay {
namespace {

/// Removals kept for those who missed them; a node that is further behind is told everything.
constexpr std::size_t kMostGone = 256;
/// Changes in one message: at some 80 bytes each well within one datagram.
constexpr std::size_t kMaxInMessage = 400;

Duration
FromNs(std::uint64_t aNs)
{
  return Duration(static_cast<Duration::rep>(aNs));
}

} // namespace

bool
SaysSame(const proto::ReplicaNews& aLeft, const proto::ReplicaNews& aRight)
{
  return aLeft.epoch() == aRight.epoch() && aLeft.open() == aRight.open() &&
         aLeft.lost() == aRight.lost();
}

void
NewsBook::Begin(std::uint64_t aFence, TimePoint aNow)
{
  *this = NewsBook{};
  mFence = aFence;
  mAsOf = aNow;
}

bool
NewsBook::Put(proto::ReplicaNews aNews)
{
  const auto known = mReplicas.find(aNews.group());
  if (known != mReplicas.end() && SaysSame(known->second, aNews)) {
    return false;
  }
  aNews.set_change(++mChange);
  mReplicas[aNews.group()] = std::move(aNews);
  return true;
}

void
NewsBook::KeepOnly(const std::function<bool(const std::string& aGroup)>& aKeeps)
{
  std::vector<std::string> gone;
  for (const auto& [group, news] : mReplicas) {
    if (!aKeeps(group)) {
      gone.push_back(group);
    }
  }
  for (const auto& it : gone) {
    proto::ReplicaNews news;
    news.set_group(it);
    news.set_gone(true);
    news.set_change(++mChange);
    Apply(news);
  }
}

void
NewsBook::Apply(const proto::ReplicaNews& aNews)
{
  if (!aNews.gone()) {
    mReplicas[aNews.group()] = aNews;
    return;
  }
  mReplicas.erase(aNews.group());
  mGone.push_back(aNews);
  if (mGone.size() > kMostGone) {
    mGoneBefore = mGone.front().change();
    mGone.pop_front();
  }
}

NewsBook::Taken
NewsBook::Take(const proto::NewsChanges& aChanges, TimePoint aNow)
{
  if (aChanges.fence() < mFence || (aChanges.fence() == mFence && aChanges.to() <= mChange)) {
    return Taken::kNothing;
  }
  const bool whole = aChanges.from() == 0;
  if (!whole && (aChanges.fence() != mFence || aChanges.from() > mChange)) {
    return Taken::kMissing;
  }
  if (whole) {
    Begin(aChanges.fence(), aNow);
  }
  for (const auto& it : aChanges.replicas()) {
    if (whole || it.change() > mChange) {
      Apply(it);
    }
  }
  mChange = aChanges.to();
  mAsOf = std::max(whole ? TimePoint{} : mAsOf, aNow - FromNs(aChanges.age_ns()));
  return Taken::kChanged;
}

bool
NewsBook::OnNewest(const proto::Beat& aBeat, TimePoint aNow)
{
  if (aBeat.news_fence() == mFence && aBeat.news_change() == mChange) {
    // Who has the same knows how long ago the holder stood by it.
    mAsOf = std::max(mAsOf, aNow - FromNs(aBeat.news_age_ns()));
  }
  return aBeat.news_fence() > mFence ||
         (aBeat.news_fence() == mFence && aBeat.news_change() > mChange);
}

proto::NewsChanges
NewsBook::Since(std::uint64_t aFence, std::uint64_t aChange, TimePoint aNow) const
{
  const bool whole = aFence != mFence || aChange < mGoneBefore;
  const std::uint64_t from = whole ? 0 : aChange;
  std::vector<const proto::ReplicaNews*> changed;
  for (const auto& [group, news] : mReplicas) {
    if (news.change() > from) {
      changed.push_back(&news);
    }
  }
  if (!whole) {
    for (const auto& it : mGone) {
      if (it.change() > from) {
        changed.push_back(&it);
      }
    }
  }
  std::sort(changed.begin(), changed.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->change() < aRight->change();
  });
  proto::NewsChanges changes;
  changes.set_fence(mFence);
  changes.set_from(from);
  changes.set_to(mChange);
  if (changed.size() > kMaxInMessage) {
    changed.resize(kMaxInMessage);
    changes.set_to(changed.back()->change());
  }
  for (const auto* it : changed) {
    *changes.add_replicas() = *it;
  }
  changes.set_age_ns(
    static_cast<std::uint64_t>(std::max<Duration::rep>(0, (aNow - mAsOf).count())));
  return changes;
}

} // namespace pepperbay
