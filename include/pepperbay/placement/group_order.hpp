/// @file
/// @brief Orders that form, open and dissolve replicas of engines, and the answers of engines.
/// Pure.
#pragma once

#include "pepperbay/membership/engine_directory.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

enum class GroupOrderKind
{
  kJoin,  ///< to each member: join this replica
  kOpen,  ///< to the head: start to serve requests
  kLeave, ///< to a member: leave its replica
  kStage, ///< copy a model's weights to the host in the background
};

const char*
ToString(GroupOrderKind aKind);

/// One order to one engine. Orders are idempotent.
struct GroupOrder
{
  GroupOrderKind mKind = GroupOrderKind::kJoin;
  std::string mEngine;
  std::string mAddress;
  std::uint64_t mFence = 0;
  std::string mGroup;
  std::uint64_t mEpoch = 0;
  std::string mModel;
  std::vector<std::string> mMembers; ///< engine ids; the first is the head
  WallTime mBorn{}; ///< start time of the engine incarnation that the order is meant for
  /// The engine refuses the order unless it has accepted exactly this many orders since it started.
  std::optional<std::uint64_t> mAccepted;
};

enum class OrderAnswer
{
  kBegun,       ///< accepted and in progress
  kHolds,       ///< the requested state is already in place
  kNotNow,      ///< not possible in the engine's current state
  kStale,       ///< the engine has seen a newer order or a higher fencing number
  kOtherEngine, ///< another engine now uses the address
  kInvalid,     ///< the engine does not support the order
  kNone,        ///< no answer: the order may be carried out now or later
  kUnread,      ///< as kNone, but because this node read too late; says nothing about the engine
};

const char*
ToString(OrderAnswer aAnswer);

/// An engine's report of its own state; a few hundred milliseconds old when it arrives.
struct EngineReport
{
  WallTime mBorn{}; ///< start time of the reporting incarnation
  GroupPlace mGroup;
  std::vector<std::string> mLoadedModels;
  std::vector<std::string> mStagedModels;
  std::uint64_t mAccepted = 0; ///< number of orders accepted since it started
  double mPace = 1.0;          ///< above 1: slower than expected
  int mQueued = 0;
  int mActive = 0;
};

} // namespace pepperbay
