#include "pepperbay/admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pepperbay {
namespace {

constexpr double kServiceSmoothing = 0.1;
constexpr double kMinShare = 0.001;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

} // namespace

bool
Admission::Rank::operator<(const Rank& aOther) const
{
  return std::tie(mOverShare, mLevel, mUse, mSince) <
         std::tie(aOther.mOverShare, aOther.mLevel, aOther.mUse, aOther.mSince);
}

Admission::Admission(AdmissionOptions aOptions)
  : mOptions(aOptions)
{
}

void
Admission::SetPool(PoolState aPool)
{
  const bool news = aPool.mUsageAt != mPool.mUsageAt || aPool.mSlots != mPool.mSlots ||
                    aPool.mNodes != mPool.mNodes || aPool.mSilentNodes != mPool.mSilentNodes;
  if (news) {
    mBase = mRunning.size();
  }
  mPool = std::move(aPool);
  mOthersRunning = 0;
  for (const auto& [customer, usage] : mPool.mOthers) {
    mOthersRunning += usage.mRunning;
  }
}

double
Admission::ShareOf(const std::string& aCustomer) const
{
  const auto it = mPool.mShares.find(aCustomer);
  const double share = it == mPool.mShares.end() ? mOptions.mDefaultShare : it->second;
  return std::max(share, kMinShare);
}

std::size_t
Admission::RunningOf(const std::string& aCustomer) const
{
  std::size_t n = 0;
  const auto own = mOwnRunning.find(aCustomer);
  if (own != mOwnRunning.end()) {
    n += own->second;
  }
  const auto others = mPool.mOthers.find(aCustomer);
  if (others != mPool.mOthers.end()) {
    n += others->second.mRunning;
  }
  return n;
}

double
Admission::Fullness() const
{
  if (mPool.mSlots == 0) {
    return 1.0;
  }
  const double used = static_cast<double>(mOthersRunning + mRunning.size());
  return std::min(1.0, used / static_cast<double>(mPool.mSlots));
}

/// Free slots are split evenly between the nodes until the next usage update; otherwise all nodes
/// would fill the same free slots at once. Free slots are counted as of the last update: recounted
/// after each own start, the allowance would creep up to the whole pool. A silent node may still be
/// serving, so it is counted with its even share; a node that is partitioned from its peers falls
/// back to its own even share, which is safe.
std::size_t
Admission::Allowance() const
{
  if (mPool.mSlots == 0) {
    return 0;
  }
  const std::size_t nodes = std::max<std::size_t>(1, mPool.mNodes);
  const std::size_t evenPart = mPool.mSlots / nodes;
  const std::size_t others = mPool.mSilentNodes * evenPart + mOthersRunning;
  const std::size_t used = others + mBase;
  const std::size_t free = mPool.mSlots > used ? mPool.mSlots - used : 0;
  const std::size_t minimum = std::max<std::size_t>(1, evenPart);
  if (free == 0) {
    return std::min(mBase, minimum);
  }
  const std::size_t lent = mBase + (free + nodes - 1) / nodes;
  return std::max(lent, std::min(minimum, mBase + free));
}

Duration
Admission::ServiceTime() const
{
  if (mServiceSeconds <= 0) {
    return mOptions.mFirstServiceGuess;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mServiceSeconds));
}

/// Expected wait behind `aAhead` requests, which leave at the rate of the slots in use here.
Duration
Admission::WaitBehind(std::size_t aAhead) const
{
  const std::size_t slots = std::max<std::size_t>(1, std::max(Allowance(), mRunning.size()));
  return ServiceTime() * static_cast<Duration::rep>(aAhead + 1) / static_cast<Duration::rep>(slots);
}

Admission::Rank
Admission::RankOf(const Arrival& aArrival, TimePoint aSince, TimePoint aNow) const
{
  const double share = ShareOf(aArrival.mCustomer) * static_cast<double>(mPool.mSlots);
  const double running = static_cast<double>(RunningOf(aArrival.mCustomer));
  const std::int64_t levels = (aNow - aSince) / mOptions.mAgeOneLevel;
  const std::int64_t level = static_cast<std::int64_t>(aArrival.mPriority) - levels;
  return { running >= std::max(1.0, share), level, running / std::max(share, kMinShare), aSince };
}

AdmissionDecision
Admission::Refusal(const std::string& aReason, Duration aRetryAfter) const
{
  return { AdmissionVerdict::kRefuse, aReason, std::max(aRetryAfter, kMinRetryAfter) };
}

void
Admission::Start(const Arrival& aArrival)
{
  mRunning[aArrival.mId] = aArrival.mCustomer;
  ++mOwnRunning[aArrival.mCustomer];
}

AdmissionDecision
Admission::Arrive(const Arrival& aArrival, TimePoint aNow, std::vector<GivenUp>* aGivenUp)
{
  if (mPool.mSlots == 0) {
    return Refusal("no replica is whole", kMinRetryAfter);
  }
  if (aArrival.mDeadline <= aNow) {
    return Refusal("its deadline has passed", kMinRetryAfter);
  }
  if (mWaiting.empty() && mRunning.size() < Allowance()) {
    Start(aArrival);
    return { AdmissionVerdict::kRun, "", Duration::zero() };
  }
  const Rank rank = RankOf(aArrival, aNow, aNow);
  std::size_t ahead = 0;
  auto worst = mWaiting.end();
  Rank worstRank{};
  for (auto it = mWaiting.begin(); it != mWaiting.end(); ++it) {
    const Rank other = RankOf(it->mArrival, it->mSince, aNow);
    ahead += rank < other ? 0 : 1;
    if (worst == mWaiting.end() || worstRank < other) {
      worst = it;
      worstRank = other;
    }
  }
  const Duration wait = WaitBehind(ahead);
  if (aNow + wait + ServiceTime() > aArrival.mDeadline) {
    return Refusal("it would wait past its deadline", WaitBehind(mWaiting.size()));
  }
  if (ahead > 0 && wait > mOptions.mLongestWait) {
    return Refusal("it would wait too long", WaitBehind(mWaiting.size()));
  }
  if (mWaiting.size() >= mOptions.mQueue) {
    const bool outranks = worst != mWaiting.end() && rank < worstRank;
    if (!outranks) {
      return Refusal("the queue is full", WaitBehind(mWaiting.size()));
    }
    aGivenUp->push_back(
      { worst->mArrival.mId,
        Refusal("the queue is full of more urgent requests", WaitBehind(mWaiting.size())) });
    mWaiting.erase(worst);
  }
  mWaiting.push_back({ aArrival, aNow });
  return { AdmissionVerdict::kWait, "", Duration::zero() };
}

void
Admission::OnDone(std::uint64_t aId, Duration aService)
{
  const auto it = mRunning.find(aId);
  if (it == mRunning.end()) {
    return;
  }
  const auto own = mOwnRunning.find(it->second);
  if (--own->second == 0) {
    mOwnRunning.erase(own);
  }
  mRunning.erase(it);
  if (aService > Duration::zero()) {
    const double seconds = std::chrono::duration<double>(aService).count();
    mServiceSeconds = mServiceSeconds <= 0
                        ? seconds
                        : mServiceSeconds + kServiceSmoothing * (seconds - mServiceSeconds);
  }
}

void
Admission::OnGone(std::uint64_t aId)
{
  const auto it = std::find_if(mWaiting.begin(), mWaiting.end(), [aId](const Waiter& aWaiter) {
    return aWaiter.mArrival.mId == aId;
  });
  if (it != mWaiting.end()) {
    mWaiting.erase(it);
  }
}

std::vector<std::uint64_t>
Admission::Next(TimePoint aNow)
{
  std::vector<std::uint64_t> started;
  while (!mWaiting.empty() && mRunning.size() < Allowance()) {
    auto best = mWaiting.begin();
    Rank bestRank = RankOf(best->mArrival, best->mSince, aNow);
    for (auto it = std::next(best); it != mWaiting.end(); ++it) {
      const Rank rank = RankOf(it->mArrival, it->mSince, aNow);
      if (rank < bestRank) {
        best = it;
        bestRank = rank;
      }
    }
    Start(best->mArrival);
    started.push_back(best->mArrival.mId);
    mWaiting.erase(best);
  }
  return started;
}

std::vector<GivenUp>
Admission::Hopeless(TimePoint aNow)
{
  std::vector<GivenUp> givenUp;
  const Duration retry = WaitBehind(mWaiting.size());
  if (mPool.mSlots == 0) {
    for (const auto& it : mWaiting) {
      givenUp.push_back({ it.mArrival.mId, Refusal("no replica is whole", retry) });
    }
    mWaiting.clear();
    return givenUp;
  }
  struct Ranked
  {
    Rank mRank;
    Waiter mWaiter;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(mWaiting.size());
  for (auto& it : mWaiting) {
    const Rank rank = RankOf(it.mArrival, it.mSince, aNow);
    ranked.push_back({ rank, std::move(it) });
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.mRank < aRight.mRank;
  });
  // A request is refused as soon as its expected start is too late, not when its deadline is near:
  // its caller can try elsewhere, and the requests behind it move up.
  mWaiting.clear();
  for (auto& it : ranked) {
    const TimePoint turn = aNow + WaitBehind(mWaiting.size());
    const bool tooLong = !mWaiting.empty() && turn > it.mWaiter.mSince + mOptions.mLongestWait;
    const bool late = tooLong || turn + ServiceTime() > it.mWaiter.mArrival.mDeadline;
    if (late) {
      givenUp.push_back(
        { it.mWaiter.mArrival.mId, Refusal("its turn would come too late", retry) });
    } else {
      mWaiting.push_back(std::move(it.mWaiter));
    }
  }
  return givenUp;
}

std::map<std::string, CustomerUsage>
Admission::Usage() const
{
  std::map<std::string, CustomerUsage> usage;
  for (const auto& [customer, n] : mOwnRunning) {
    usage[customer].mRunning = n;
  }
  for (const auto& it : mWaiting) {
    ++usage[it.mArrival.mCustomer].mWaiting;
  }
  return usage;
}

} // namespace pepperbay
