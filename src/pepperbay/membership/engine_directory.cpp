#include "pepperbay/membership/engine_directory.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

const char*
ToString(GroupPhase aPhase)
{
  switch (aPhase) {
    case GroupPhase::kNone:
      return "none";
    case GroupPhase::kJoining:
      return "joining";
    case GroupPhase::kReady:
      return "ready";
    case GroupPhase::kOpen:
      return "open";
    case GroupPhase::kClosing:
      return "closing";
    case GroupPhase::kBroken:
      return "broken";
  }
  return "unknown";
}

bool
EngineRecord::HasStaged(const std::string& aModel) const
{
  return std::find(mStagedModels.begin(), mStagedModels.end(), aModel) != mStagedModels.end();
}

EngineDirectory::EngineDirectory(Options aOptions)
  : mOptions(aOptions)
{
}

EngineNews
EngineDirectory::Put(EngineRecord aEngine, TimePoint aNow)
{
  const WallTime newest = NewestStart(aEngine.mId);
  if (aEngine.mBorn < newest) {
    return EngineNews::kFormerStart;
  }
  const bool again = newest != WallTime{} && aEngine.mBorn > newest;
  if (aNow < mRestoredUntil && !again && mDropped.count(aEngine.mId) != 0) {
    mReturning[aEngine.mId] = std::move(aEngine);
    return EngineNews::kInDoubt;
  }
  mDropped.erase(aEngine.mId);
  if (aEngine.mBorn != WallTime{}) {
    mStarts[aEngine.mId] = { aEngine.mBorn, aNow };
  }
  mMissing.erase(aEngine.mId);
  auto& engine = mEngines[aEngine.mId];
  const bool leaving = aEngine.mLeaving || (engine.mLeaving && !again);
  engine = std::move(aEngine);
  engine.mLeaving = leaving;
  if (leaving) {
    NoteDeparture(engine, aNow);
  } else {
    mDepartures.erase(engine.mId);
  }
  ++mRevision;
  return again ? EngineNews::kNewStart : EngineNews::kSameStart;
}

void
EngineDirectory::NoteDeparture(const EngineRecord& aEngine, TimePoint aNow)
{
  EngineDeparture& departure =
    mDepartures.try_emplace(aEngine.mId, EngineDeparture{ aNow, aEngine.mBorn }).first->second;
  if (departure.mBorn < aEngine.mBorn) {
    departure = { aNow, aEngine.mBorn };
  }
}

WallTime
EngineDirectory::NewestStart(const std::string& aId) const
{
  const auto it = mStarts.find(aId);
  return it == mStarts.end() ? WallTime{} : it->second.mBorn;
}

void
EngineDirectory::Remove(const std::string& aId, TimePoint aNow)
{
  mReturning.erase(aId);
  const auto it = mEngines.find(aId);
  if (it == mEngines.end()) {
    return;
  }
  // One that had announced its leaving is not coming back, outage or not.
  if (aNow < mDoubtUntil && !it->second.mLeaving) {
    mMissing.emplace(aId, mDoubtUntil);
    return;
  }
  Drop(aId, aNow);
}

void
EngineDirectory::Withdraw(const std::string& aId, TimePoint aNow)
{
  if (mEngines.count(aId) != 0) {
    Drop(aId, aNow);
  }
}

void
EngineDirectory::Drop(const std::string& aId, TimePoint aNow)
{
  const auto start = mStarts.find(aId);
  if (start != mStarts.end()) {
    start->second.mLastListed = aNow;
  }
  NoteDeparture(mEngines.at(aId), aNow);
  mMissing.erase(aId);
  mEngines.erase(aId);
  mDropped[aId] = aNow;
  ++mRevision;
}

std::vector<std::string>
EngineDirectory::KeepOnly(const std::set<std::string>& aIds, TimePoint aNow)
{
  std::vector<std::string> gone;
  for (const auto& [id, engine] : mEngines) {
    if (aIds.count(id) == 0) {
      gone.push_back(id);
    }
  }
  for (const auto& it : gone) {
    Remove(it, aNow);
  }
  for (auto it = mReturning.begin(); it != mReturning.end();) {
    it = aIds.count(it->first) == 0 ? mReturning.erase(it) : std::next(it);
  }
  return gone;
}

void
EngineDirectory::OnStoreBack(TimePoint aReturned)
{
  mDoubtUntil = std::max(mDoubtUntil, aReturned + mOptions.mReturnGrace);
}

void
EngineDirectory::OnStoreRestored(TimePoint aNow)
{
  OnStoreBack(aNow);
  mRestoredUntil = aNow + mOptions.mReturnGrace;
}

bool
EngineDirectory::Tick(TimePoint aNow)
{
  std::vector<std::string> due;
  for (const auto& [id, until] : mMissing) {
    if (aNow >= until) {
      due.push_back(id);
    }
  }
  for (const auto& it : due) {
    Drop(it, aNow);
  }
  bool changed = !due.empty();
  if (aNow >= mRestoredUntil && !mReturning.empty()) {
    for (auto& [id, engine] : std::exchange(mReturning, {})) {
      Put(engine, aNow);
    }
    changed = true;
  }
  for (auto it = mDropped.begin(); it != mDropped.end();) {
    if (aNow - it->second < mOptions.mRememberDropped) {
      ++it;
      continue;
    }
    mDepartures.erase(it->first);
    it = mDropped.erase(it);
  }
  for (auto it = mStarts.begin(); it != mStarts.end();) {
    const bool old =
      mEngines.count(it->first) == 0 && aNow - it->second.mLastListed >= mOptions.mRememberStarts;
    it = old ? mStarts.erase(it) : std::next(it);
  }
  return changed;
}

const EngineRecord*
EngineDirectory::Find(const std::string& aId) const
{
  const auto it = mEngines.find(aId);
  return it == mEngines.end() ? nullptr : &it->second;
}

} // namespace pepperbay
