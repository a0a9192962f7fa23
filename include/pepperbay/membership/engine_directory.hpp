/// @file
/// @brief The engines that the platform lists, and what each says of itself. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/membership/engine_departure.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

/// Where an engine is on its way into serving with others.
enum class GroupPhase
{
  kNone,
  kJoining,
  kReady, ///< the head may be told to open
  kOpen,  ///< the head serves
  kClosing,
  kBroken, ///< a member was lost and the head has noticed
};

const char*
ToString(GroupPhase aPhase);

/// An engine's place in a replica.
struct GroupPlace
{
  std::string mName; ///< empty: in no group
  std::uint64_t mEpoch = 0;
  int mRank = 0; ///< 0 is the head
  GroupPhase mPhase = GroupPhase::kNone;
};

/// One start of an engine, as it registered itself.
struct EngineRecord
{
  std::string mId; ///< an engine may start again under the id that it had
  /// Of this start. Two starts under one id share nothing but the weights on their host.
  WallTime mBorn{};
  std::string mService;
  std::string mAddress; ///< IP:port
  std::string mDataCentre;
  std::string mDomain; ///< of the fabric; empty for engines that serve alone
  int mSlots = 1;
  bool mLeaving = false; ///< takes no new work
  std::vector<std::string> mLoadedModels;
  std::vector<std::string> mStagedModels; ///< weights on its host
  GroupPlace mGroup;

  bool HasStaged(const std::string& aModel) const;
};

/// The engines now registered, by id.
using EngineMap = std::map<std::string, EngineRecord>;

/// What a registration says against what was known of the engine.
enum class EngineNews
{
  kSameStart,   ///< first heard of, or the start that was known
  kNewStart,    ///< the engine has started again; nothing known of it holds any more
  kFormerStart, ///< written by a start that has been replaced, and not taken
  kInDoubt,     ///< it had left before the store came back from an older copy; taken if it stays
};

/// Keeps the list through gaps of the store.
///
/// Registrations of engines that live may lapse while the store is away, and are back shortly after
/// its return. An engine that vanishes from the list around an outage is therefore kept for
/// `mReturnGrace`; without that, the whole pool would be dropped with the first answer of the store
/// and every request refused until the engines have registered again. An engine that said that it
/// leaves stays leaving for the rest of that start.
class EngineDirectory
{
public:
  struct Options
  {
    /// Registrations are back within about two seconds of the store's return.
    Duration mReturnGrace = std::chrono::milliseconds(2200);
    /// A write of a former start may be carried out some ten seconds late; until then the start of
    /// an engine that is no longer listed is remembered, so that it does not count as new.
    Duration mRememberStarts = std::chrono::seconds(60);
    /// Engines that have left are remembered for so long; copies of the store are seconds old.
    Duration mRememberDropped = std::chrono::seconds(60);
  };

  EngineDirectory() = default;
  explicit EngineDirectory(Options aOptions);

  /// A registration came or changed.
  EngineNews Put(EngineRecord aEngine, TimePoint aNow);
  /// A registration was removed.
  void Remove(const std::string& aId, TimePoint aNow);
  /// A registration was overwritten by what names no engine: drop it, outage or not.
  void Withdraw(const std::string& aId, TimePoint aNow);
  /// The whole list was read again: drop whatever is not in it. @return the engines it lacks
  std::vector<std::string> KeepOnly(const std::set<std::string>& aIds, TimePoint aNow);
  /// The store answers again since `aReturned`, after an outage in which registrations may have
  /// lapsed.
  void OnStoreBack(TimePoint aReturned);
  /// @return for how long after the store's return registrations that are missing are kept.
  Duration ReturnGrace() const { return mOptions.mReturnGrace; }
  /// The store has come back from an older copy; the list that follows is as old as that. Engines
  /// that it lacks are kept for a while, and engines that have left since are not taken for listed
  /// until what they and the platform wrote has been written again.
  void OnStoreRestored(TimePoint aNow);
  /// Drop what was kept through an outage and has not come back, and take what was held back after
  /// the store's return. @return whether anything changed
  bool Tick(TimePoint aNow);

  const EngineMap& Engines() const { return mEngines; }
  const EngineRecord* Find(const std::string& aId) const;
  /// @return whether an engine is kept for now although its registration was removed.
  bool IsKept(const std::string& aId) const { return mMissing.count(aId) != 0; }
  /// @return the newest start known of an engine, listed or not; default when none was stated.
  WallTime NewestStart(const std::string& aId) const;
  /// Engines that leave, and those that have left and are remembered.
  const EngineDepartures& Departures() const { return mDepartures; }
  /// Grows with each change.
  std::uint64_t Revision() const { return mRevision; }

private:
  struct Start
  {
    WallTime mBorn{};
    TimePoint mLastListed{};
  };

  void Drop(const std::string& aId, TimePoint aNow);
  void NoteDeparture(const EngineRecord& aEngine, TimePoint aNow);

  Options mOptions;
  EngineMap mEngines;
  std::map<std::string, Start> mStarts;      ///< of engines that state one
  std::map<std::string, TimePoint> mMissing; ///< kept until then
  std::map<std::string, TimePoint> mDropped; ///< engines that have left, and when
  EngineDepartures mDepartures;
  EngineMap mReturning;       ///< listed again by an older copy of the store
  TimePoint mDoubtUntil{};    ///< removals before this are held back
  TimePoint mRestoredUntil{}; ///< returns before this are held back
  std::uint64_t mRevision = 0;
};

} // namespace pepperbay
