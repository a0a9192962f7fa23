/// @file
/// @brief Orders that form, open and end replicas of engines, and what engines answer. Pure.
#pragma once

#include "pepperbay/membership/engine_directory.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

enum class GroupOrderKind
{
  kJoin,  ///< to each member: be part of this replica
  kOpen,  ///< to the head: begin to serve
  kLeave, ///< to a member: be part of no replica
  kStage, ///< bring a model's weights onto the host, beside all else
};

const char*
ToString(GroupOrderKind aKind);

/// One order to one engine. Giving the same one twice changes nothing.
struct GroupOrder
{
  GroupOrderKind mKind = GroupOrderKind::kJoin;
  std::string mEngine;
  std::string mAddress;
  std::uint64_t mFence = 0;
  std::string mGroup;
  std::uint64_t mEpoch = 0;
  std::string mModel;
  std::vector<std::string> mMembers; ///< ids; the first is the head
  WallTime mBorn{};                  ///< the start of the engine that the order is meant for
  /// The engine refuses the order unless it has accepted exactly so many orders in its life.
  std::optional<std::uint64_t> mAccepted;
};

enum class OrderAnswer
{
  kBegun,       ///< accepted and in progress
  kHolds,       ///< the state that it asks for is there
  kNotNow,      ///< does not fit the engine's state
  kStale,       ///< a newer order or a higher fencing number was seen
  kOtherEngine, ///< the address belongs to another engine now
  kInvalid,     ///< the engine knows no such order
  kNone,        ///< no answer: it may be carried out, now or later
  kUnread,      ///< the same, as this node was late; tells nothing of the engine
};

const char*
ToString(OrderAnswer aAnswer);

/// What an engine says of itself when asked; some hundred milliseconds old.
struct EngineReport
{
  WallTime mBorn{}; ///< the start that speaks
  GroupPlace mGroup;
  std::vector<std::string> mLoadedModels;
  std::vector<std::string> mStagedModels;
  std::uint64_t mAccepted = 0; ///< orders in its life
  double mPace = 1.0;          ///< above 1: slower than it should be
  int mQueued = 0;
  int mActive = 0;
};

} // namespace pepperbay
