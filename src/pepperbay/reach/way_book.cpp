#include "pepperbay/reach/way_book.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

WayBook::WayBook(WayBookOptions aOptions)
  : mOptions(aOptions)
{
}

std::set<std::string>
WayBook::Engines(const std::deque<Event>& aEvents)
{
  std::set<std::string> engines;
  for (const auto& it : aEvents) {
    engines.insert(it.mEngine);
  }
  return engines;
}

std::size_t
WayBook::GoodEngines() const
{
  const std::set<std::string> faulty = Engines(mFaults);
  std::set<std::string> good = Engines(mConnected);
  for (const auto& it : faulty) {
    good.erase(it);
  }
  return good.size();
}

void
WayBook::DropOld(TimePoint aNow)
{
  for (auto* events : { &mFaults, &mConnected }) {
    while (!events->empty() && aNow - events->front().mAt > mOptions.mWindow) {
      events->pop_front();
    }
  }
  for (auto it = mEngines.begin(); it != mEngines.end();) {
    const bool old = aNow - it->second.mUntil > mOptions.mEngineMost;
    it = old ? mEngines.erase(it) : std::next(it);
  }
}

void
WayBook::OnConnected(const std::string& aEngine, TimePoint aNow)
{
  mHeardAt = aNow;
  mConnected.push_back({ aEngine, aNow });
  DropOld(aNow);
  mEngines.erase(aEngine);
  if (!mAvoids) {
    return;
  }
  mProbeDue = aNow;
  if (++mGood >= std::max(mNeeded, static_cast<int>(mByPeer.size()))) {
    mAvoids = false;
    mAvoidedUntil = aNow;
    mFaults.clear();
  }
}

void
WayBook::OnPathFault(const std::string& aEngine, TimePoint aBegun, TimePoint aNow)
{
  mFaults.push_back({ aEngine, aNow });
  DropOld(aNow);
  Fault& fault = mEngines[aEngine];
  fault.mPause = fault.mPause == Duration::zero()
                   ? mOptions.mEngineFirst
                   : std::min(fault.mPause * 2, mOptions.mEngineMost);
  fault.mUntil = aNow + fault.mPause;
  mGood = 0;
  const std::size_t faulty = Engines(mFaults).size();
  const bool hearsNothing = mHeardAt < aBegun;
  const std::size_t good = GoodEngines();
  const bool mostly = (faulty >= mOptions.mFaultyEngines && good < faulty) ||
                      (faulty > mOptions.mFaultyEngines && good == faulty);
  if (!mAvoids && (hearsNothing || mostly)) {
    Avoid(aNow);
  }
  OnReachedByPeer(aEngine);
}

void
WayBook::Avoid(TimePoint aNow)
{
  const bool relapse = mNeeded > 0 && aNow - mAvoidedUntil < mOptions.mRelapse;
  mNeeded = relapse ? std::min(mNeeded * 2, mOptions.mMostGoodProbes) : mOptions.mGoodProbes;
  mByPeer.clear();
  mAvoids = true;
  mAvoidsSince = aNow;
  mProbeDue = aNow + mOptions.mProbeEvery;
}

void
WayBook::OnReachedByPeer(const std::string& aEngine)
{
  if (std::find(mByPeer.begin(), mByPeer.end(), aEngine) == mByPeer.end()) {
    mByPeer.push_back(aEngine);
  }
  if (mByPeer.size() > mOptions.mMostTried) {
    mByPeer.pop_front();
  }
}

void
WayBook::OnBadProbe(TimePoint aNow)
{
  mGood = 0;
  mProbeDue = aNow + mOptions.mProbeEvery;
}

std::string
WayBook::EngineToTry()
{
  if (mByPeer.empty()) {
    return "";
  }
  mByPeer.push_back(mByPeer.front());
  mByPeer.pop_front();
  return mByPeer.back();
}

Way
WayBook::WayTo(const std::string& aEngine, TimePoint aNow) const
{
  const auto it = mEngines.find(aEngine);
  const bool faulty = it != mEngines.end() && aNow < it->second.mUntil;
  return mAvoids || faulty ? Way::kPeer : Way::kDirect;
}

bool
WayBook::TakeProbe(TimePoint aNow)
{
  if (!mAvoids || aNow < mProbeDue) {
    return false;
  }
  mProbeDue = aNow + mOptions.mProbeEvery;
  return true;
}

void
LastHeard::Note(const std::string& aEngine, TimePoint aNow)
{
  if (mLast.mEngine != aEngine) {
    mOther = std::exchange(mLast, { aEngine, aNow });
  }
  mLast.mAt = aNow;
}

TimePoint
LastHeard::OtherThan(const std::string& aEngine) const
{
  return mLast.mEngine == aEngine ? mOther.mAt : mLast.mAt;
}

} // namespace pepperbay
