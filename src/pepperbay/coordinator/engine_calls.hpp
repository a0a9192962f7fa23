/// @file
/// @brief Orders and questions to engines: how many are under way at once, and what silence means.
/// Pure but for its hooks.
///
/// A node that begins more calls than it can read the answers of finds each call's time over before
/// it has looked. Taken for silence of the engines that leads to more calls: to repeats, to
/// questions, to replicas that are formed anew. So the number of calls under way follows how
/// quickly answers are read, and an engine is silent only where this node was in time to hear it.
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
  /// Calls under way at once. Each answer that is read soon allows one more, and one that is read
  /// late half as many.
  int mMinWindow = 4;
  int mInitialWindow = 32;
  int mMaxWindow = 128;
  /// Share of them that orders leave free for questions, without which orders cannot go on.
  double mReservedForStatusRequests = 0.25;
  /// Engines answer within a few milliseconds; what is beyond is this node's own time.
  Duration mPromptReply = std::chrono::milliseconds(30);
  Duration mLateReply = std::chrono::milliseconds(60);
  /// The end of a call's time that is told later than this was told by a node that is late.
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

  /// Give an order. The answer is kUnread where this node was too late to hear one.
  void Order(const GroupOrder& aOrder,
             const EngineCallOptions& aOptions,
             std::function<void(OrderAnswer)> aDone);
  /// Ask an engine. The error is kCancelled where this node was too late to hear an answer.
  void Ask(const EngineRecord& aEngine,
           const EngineCallOptions& aOptions,
           std::function<void(Result<EngineReport>)> aDone);

  /// @return how many orders may be given now.
  int RoomForOrders() const;
  /// @return whether a question may be put now.
  bool RoomForStatusRequest() const { return mOpen < mWindow; }
  /// Calls that may be under way at once.
  int Window() const { return mWindow; }
  /// When engines last answered this node directly.
  const LastHeard& LastReplies() const { return mLastReplies; }
  /// Calls whose answer this node was too late to hear.
  std::uint64_t Unread() const { return mUnread; }

private:
  /// @return whether a call that ended without an answer tells nothing of the engine.
  bool OnEnd(TimePoint aBegun, Duration aTimeout, bool aAnswered);
  /// An engine has answered.
  void NoteReply(const std::string& aEngine, const EngineCallOptions& aOptions);
  void Shrink();

  EngineCallsOptions mOptions;
  EngineCallsHooks mHooks;
  int mOpen = 0;
  int mWindow;
  std::uint64_t mUnread = 0;
  LastHeard mLastReplies;
  TimePoint mLastShrunk{}; ///< calls that began before this say nothing of the window as it is now
};

} // namespace pepperbay
