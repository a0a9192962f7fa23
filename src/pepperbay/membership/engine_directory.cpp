#include "pepperbay/membership/engine_directory.hpp"

#include <algorithm>
#include <set>

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

void
EngineDirectory::Put(EngineRecord aEngine, TimePoint /*aNow*/)
{
  mMissing.erase(aEngine.mId);
  auto& engine = mEngines[aEngine.mId];
  const bool leaving = engine.mLeaving || aEngine.mLeaving;
  engine = std::move(aEngine);
  engine.mLeaving = leaving;
  ++mRevision;
}

void
EngineDirectory::Remove(const std::string& aId, TimePoint aNow)
{
  const auto it = mEngines.find(aId);
  if (it == mEngines.end()) {
    return;
  }
  // One that had announced its leaving is not coming back, outage or not.
  if (aNow < mDoubtUntil && !it->second.mLeaving) {
    mMissing.emplace(aId, mDoubtUntil);
    return;
  }
  mMissing.erase(aId);
  mEngines.erase(it);
  ++mRevision;
}

void
EngineDirectory::Replace(std::vector<EngineRecord> aEngines, TimePoint aNow)
{
  std::set<std::string> listed;
  for (auto& it : aEngines) {
    listed.insert(it.mId);
    Put(std::move(it), aNow);
  }
  std::vector<std::string> gone;
  for (const auto& [id, engine] : mEngines) {
    if (listed.count(id) == 0) {
      gone.push_back(id);
    }
  }
  for (const auto& it : gone) {
    Remove(it, aNow);
  }
}

void
EngineDirectory::OnStoreBack(TimePoint aNow)
{
  mDoubtUntil = aNow + mOptions.mReturnGrace;
}

bool
EngineDirectory::Tick(TimePoint aNow)
{
  bool dropped = false;
  for (auto it = mMissing.begin(); it != mMissing.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    mEngines.erase(it->first);
    it = mMissing.erase(it);
    ++mRevision;
    dropped = true;
  }
  return dropped;
}

const EngineRecord*
EngineDirectory::Find(const std::string& aId) const
{
  const auto it = mEngines.find(aId);
  return it == mEngines.end() ? nullptr : &it->second;
}

} // namespace pepperbay
