/// @file
/// @brief Engines that do not answer, found by asking; and when to ask again. Pure but for its
/// hook.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/placement/group_order.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct EngineDoubtsOptions
{
  Duration mAskTimeout = std::chrono::milliseconds(110);
  Duration mAskAgain = std::chrono::milliseconds(700);
  /// What an engine says of itself is some 200 ms old; asking more often tells little more.
  Duration mAskState = std::chrono::milliseconds(250);
};

struct EngineDoubtsHooks
{
  NowFn mNow;
  std::function<
    void(const EngineRecord&, Duration aTimeout, std::function<void(Result<EngineReport>)>)>
    mAsk;
  std::function<void(const EngineRecord&, const EngineReport&)> mOnAnswer;
  /// An engine has become lost, or a lost one answers.
  /// @param aError how the last question ended, where it is lost
  std::function<void(const EngineRecord&, bool aLost, const std::string& aError)> mOnChange;
  /// Whether a question may be put now; null: any number.
  std::function<bool()> mMayAsk = nullptr;
};

/// Asks engines under suspicion.
///
/// Two questions go out at once, on connections of their own if need be, and an engine is lost when
/// neither is answered in time: one lost packet must not darken a replica. A question that ends
/// with kCancelled was not heard by this node and says nothing; it is put again.
class EngineDoubts
{
public:
  EngineDoubts(EngineDoubtsOptions aOptions, EngineDoubtsHooks aHooks);

  /// Ask an engine that may be lost, unless it is being asked; at a later Tick() where no question
  /// may be put now.
  void Ask(const EngineRecord& aEngine);
  /// Ask an engine for its state, at most once in mAskState. No answer says nothing.
  void AskOnce(const EngineRecord& aEngine);
  /// An engine has started again: what was asked of the former start says nothing of this one.
  void Forget(const std::string& aEngine);
  bool IsLost(const std::string& aEngine) const { return mLost.count(aEngine) != 0; }
  /// Ask lost engines again; forget those that nobody needs any more.
  /// @param aFind an engine that is still registered or a member of a replica, or none
  void Tick(const std::function<const EngineRecord*(const std::string&)>& aFind);
  std::uint64_t Asked() const { return mAsked; }
  const std::map<std::string, TimePoint>& Lost() const { return mLost; }

private:
  struct Question
  {
    int mOpen = 0;
    bool mAnswered = false;
    bool mUnheard = false; ///< one of them ended without a chance to hear the answer
    WallTime mBorn{};      ///< of the start that is asked
  };

  bool MayAsk() const { return !mHooks.mMayAsk || mHooks.mMayAsk(); }
  void OnAnswer(const EngineRecord& aEngine, const Result<EngineReport>& aReport);

  EngineDoubtsOptions mOptions;
  EngineDoubtsHooks mHooks;
  std::map<std::string, Question> mQuestions;
  std::map<std::string, EngineRecord> mWaiting; ///< to be asked as soon as questions may be put
  std::map<std::string, TimePoint> mLost;       ///< when last asked
  std::map<std::string, TimePoint> mAskedOnce;  ///< when
  std::uint64_t mAsked = 0;
};

} // namespace pepperbay
