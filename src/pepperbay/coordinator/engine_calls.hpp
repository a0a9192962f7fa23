/// @file
/// @brief Orders and status requests to engines: limits those in flight and interprets missing
/// answers. Pure but for its hooks.
///
/// A node that starts more calls than it can read answers for finds each call timed out before it
/// has read the answer. Taken for silence of the engines this leads to more calls: retries, status
/// requests, and replicas re-formed without need. So the number of calls in flight follows how
/// quickly answers are read, and an engine counts as silent only where this node was in time to
/// read its answer.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/coordinator/engine_call.hpp"
#include "pepperbay/placement/group_order.hpp"
#include "pepperbay/reach/way_book.hpp"

#include <cstdint>
#include <functional>

namespace pepperbay {

struct EngineCallsOptions
{
  /// Window of calls in flight. Each prompt answer increases it by one, and a late one halves it.
  int mMinWindow = 4;
  int mInitialWindow = 32;
  int mMaxWindow = 128;
  /// Share of the window that orders leave free for status requests, which orders depend on.
  double mReservedForStatusRequests = 0.25;
  /// Engines answer within a few milliseconds; any longer time is this node's own delay.
  Duration mPromptReply = std::chrono::milliseconds(30);
  Duration mLateReply = std::chrono::milliseconds(60);
  /// A time-out that is reported later than this after its due time shows that this node is late.
  Duration mLateTimeout = std::chrono::milliseconds(30);
};

struct EngineCallsHooks
{
  NowFn mNow;
  std::function<void(const GroupOrder&, const EngineCallOptions&, std::function<void(OrderAnswer)>)>
    mOrder;
  std::function<
    void(const EngineRecord&, const EngineCallOptions&, std::function<void(Result<EngineReport>)>)>
    mAsk;
};

class EngineCalls
{
public:
  EngineCalls(EngineCallsOptions aOptions, EngineCallsHooks aHooks);

  /// Sends an order. The answer is kUnread where this node was too late to read one.
  void Order(const GroupOrder& aOrder,
             const EngineCallOptions& aOptions,
             std::function<void(OrderAnswer)> aDone);
  /// Sends a status request. The error is kCancelled where this node was too late to read an
  /// answer.
  void Ask(const EngineRecord& aEngine,
           const EngineCallOptions& aOptions,
           std::function<void(Result<EngineReport>)> aDone);

  /// @return how many orders may be sent now.
  int RoomForOrders() const;
  /// @return whether a status request may be sent now.
  bool RoomForStatusRequest() const { return mOpen < mWindow; }
  /// Calls that may be in flight at once.
  int Window() const { return mWindow; }
  /// Times at which engines last answered this node directly.
  const LastHeard& LastReplies() const { return mLastReplies; }
  /// Calls that timed out while this node was too late to read an answer.
  std::uint64_t Unread() const { return mUnread; }

private:
  /// @return whether a call that ended without an answer is no evidence on the engine.
  bool OnEnd(TimePoint aBegun, Duration aTimeout, bool aAnswered);
  /// Records an engine's direct reply.
  void NoteReply(const std::string& aEngine, const EngineCallOptions& aOptions);
  void Shrink();

  EngineCallsOptions mOptions;
  EngineCallsHooks mHooks;
  int mOpen = 0;
  int mWindow;
  std::uint64_t mUnread = 0;
  LastHeard mLastReplies;
  TimePoint mLastShrunk{}; ///< calls started before this do not change the present window
};

} // namespace pepperbay
