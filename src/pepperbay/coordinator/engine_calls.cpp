#include "engine_calls.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

Error
Late(const std::string& aEngine,
     const EngineCallOptions& aOptions,
     Duration aTook,
     const Error& aError)
{
  const auto ms = [](Duration aDuration) { return std::to_string(ToMs(aDuration).count()); };
  return { Errc::kCancelled,
           aOptions.mVia ? "engine.ask_through_peer" : "engine.ask",
           aOptions.mVia ? aEngine + " by " + aOptions.mVia->mNode : aEngine,
           "this node was late: ended after " + ms(aTook) + " of " + ms(aOptions.mTimeout) +
             " ms; " + aError.mDetail };
}

} // namespace

EngineCalls::EngineCalls(EngineCallsOptions aOptions, EngineCallsHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mWindow(aOptions.mInitialWindow)
{
}

void
EngineCalls::Order(const GroupOrder& aOrder,
                   const EngineCallOptions& aOptions,
                   std::function<void(OrderAnswer)> aDone)
{
  ++mOpen;
  const TimePoint begun = mHooks.mNow();
  mHooks.mOrder(
    aOrder,
    aOptions,
    [this, begun, aOptions, engine = aOrder.mEngine, done = std::move(aDone)](OrderAnswer aAnswer) {
      const bool answered = aAnswer != OrderAnswer::kNone;
      if (answered) {
        NoteReply(engine, aOptions);
      }
      const bool unread = OnEnd(begun, aOptions.mTimeout, answered);
      done(unread ? OrderAnswer::kUnread : aAnswer);
    });
}

void
EngineCalls::Ask(const EngineRecord& aEngine,
                 const EngineCallOptions& aOptions,
                 std::function<void(Result<EngineReport>)> aDone)
{
  ++mOpen;
  const TimePoint begun = mHooks.mNow();
  mHooks.mAsk(aEngine,
              aOptions,
              [this, begun, aOptions, id = aEngine.mId, done = std::move(aDone)](
                const Result<EngineReport>& aReport) {
                if (aReport.has_value()) {
                  NoteReply(id, aOptions);
                }
                const Duration took = mHooks.mNow() - begun;
                if (OnEnd(begun, aOptions.mTimeout, aReport.has_value())) {
                  done(Late(id, aOptions, took, aReport.error()));
                } else {
                  done(aReport);
                }
              });
}

void
EngineCalls::NoteReply(const std::string& aEngine, const EngineCallOptions& aOptions)
{
  if (!aOptions.mVia) {
    mLastReplies.Note(aEngine, mHooks.mNow());
  }
}

int
EngineCalls::RoomForOrders() const
{
  const int max = mWindow - static_cast<int>(mWindow * mOptions.mReservedForStatusRequests);
  return std::max(0, max - mOpen);
}

bool
EngineCalls::OnEnd(TimePoint aBegun, Duration aTimeout, bool aAnswered)
{
  --mOpen;
  const Duration took = mHooks.mNow() - aBegun;
  const bool unread = !aAnswered && took > aTimeout + mOptions.mLateTimeout;
  if (unread || (aAnswered && took > mOptions.mLateReply)) {
    mUnread += unread ? 1 : 0;
    if (aBegun >= mLastShrunk) {
      Shrink();
    }
  } else if (aAnswered && took <= mOptions.mPromptReply) {
    mWindow = std::min(mWindow + 1, mOptions.mMaxWindow);
  }
  return unread;
}

void
EngineCalls::Shrink()
{
  mWindow = std::max(mWindow / 2, mOptions.mMinWindow);
  mLastShrunk = mHooks.mNow();
}

} // namespace pepperbay
