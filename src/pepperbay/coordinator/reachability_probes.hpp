/// @file
/// @brief Checks whether this node currently reaches engines. Pure but for its hooks.
#pragma once

#include "pepperbay/placement/group_order.hpp"

#include <functional>
#include <vector>

namespace pepperbay {

struct ReachabilityProbesHooks
{
  /// Picks a healthy engine, as far as known, other than this one; null: none.
  std::function<const EngineRecord*(const EngineRecord& aNotThis)> mPick;
  /// Sends a status request over a new connection: pooled ones may survive in a partition.
  std::function<void(const EngineRecord&, std::function<void(bool aAnswered)>)> mAsk;
};

/// When an engine does not answer, either the engine or this node's network may have failed. An
/// answer of another engine decides, but only to a probe that was sent after the failure: an
/// earlier one may have been answered before the partition. Failures that arrive while a probe is
/// in flight share the next one.
///
/// @code
/// probes.Find(engine, [](bool aReaches) { if (aReaches) { /* the engine itself failed */ } });
/// @endcode
class ReachabilityProbes
{
public:
  using Done = std::function<void(bool aReachesOthers)>;

  explicit ReachabilityProbes(ReachabilityProbesHooks aHooks);

  /// @param aNotThis the engine that has just not answered
  /// @param aDone called exactly once, possibly before this returns
  void Find(const EngineRecord& aNotThis, Done aDone);

private:
  struct Waiting
  {
    EngineRecord mNotThis;
    Done mDone;
  };

  void AskNext();

  ReachabilityProbesHooks mHooks;
  std::vector<Waiting> mWaiting; ///< for the next probe
  bool mAsking = false;
};

} // namespace pepperbay
