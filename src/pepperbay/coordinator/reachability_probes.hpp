/// @file
/// @brief Whether this node reaches engines at this moment. Pure but for its hooks.
#pragma once

#include "pepperbay/placement/group_order.hpp"

#include <functional>
#include <vector>

namespace pepperbay {

struct ReachabilityProbesHooks
{
  /// An engine to ask that is well as far as is known, and another than this one; null: none.
  std::function<const EngineRecord*(const EngineRecord& aNotThis)> mPick;
  /// Ask it over a new connection: old ones may live on in a cut.
  std::function<void(const EngineRecord&, std::function<void(bool aAnswered)>)> mAsk;
};

/// What a node has no answer of may be gone, or the node may be cut. An answer of another engine
/// tells, but only to a question that was put after the failure: an earlier one may have come from
/// before the cut. Failures that come while an engine is being asked share the next question.
///
/// @code
/// looks.Find(engine, [](bool aSees) { if (aSees) { /* the engine is gone, not this node */ } });
/// @endcode
class ReachabilityProbes
{
public:
  using Done = std::function<void(bool aReachesOthers)>;

  explicit ReachabilityProbes(ReachabilityProbesHooks aHooks);

  /// @param aNotThis has just not answered
  /// @param aDone called once, perhaps before this returns
  void Find(const EngineRecord& aNotThis, Done aDone);

private:
  struct Waiting
  {
    EngineRecord mNotThis;
    Done mDone;
  };

  void AskNext();

  ReachabilityProbesHooks mHooks;
  std::vector<Waiting> mWaiting; ///< for the next question
  bool mAsking = false;
};

} // namespace pepperbay
