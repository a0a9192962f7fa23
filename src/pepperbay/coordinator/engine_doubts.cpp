#include "engine_doubts.hpp"

#include <utility>

namespace pepperbay {
namespace {
constexpr int kQuestions = 2;
}

EngineDoubts::EngineDoubts(EngineDoubtsOptions aOptions, EngineDoubtsHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
{
}

void
EngineDoubts::Ask(const EngineRecord& aEngine)
{
  if (!MayAsk()) {
    mWaiting[aEngine.mId] = aEngine;
    return;
  }
  mWaiting.erase(aEngine.mId);
  Question& question = mQuestions[aEngine.mId];
  if (question.mOpen > 0) {
    return;
  }
  question = { kQuestions, false, false, aEngine.mBorn };
  const auto lost = mLost.find(aEngine.mId);
  if (lost != mLost.end()) {
    lost->second = mHooks.mNow();
  }
  for (int i = 0; i < kQuestions; ++i) {
    ++mAsked;
    mHooks.mAsk(
      aEngine, mOptions.mAskTimeout, [this, aEngine](const Result<EngineReport>& aReport) {
        OnAnswer(aEngine, aReport);
      });
  }
}

void
EngineDoubts::AskOnce(const EngineRecord& aEngine)
{
  const TimePoint now = mHooks.mNow();
  const auto last = mAskedOnce.find(aEngine.mId);
  const bool asked = last != mAskedOnce.end() && now - last->second < mOptions.mAskState;
  if (asked || !MayAsk()) {
    return;
  }
  mAskedOnce[aEngine.mId] = now;
  ++mAsked;
  mHooks.mAsk(aEngine, mOptions.mAskTimeout, [this, aEngine](const Result<EngineReport>& aReport) {
    if (aReport.has_value()) {
      mHooks.mOnAnswer(aEngine, aReport.value());
    }
  });
}

void
EngineDoubts::Forget(const std::string& aEngine)
{
  mQuestions.erase(aEngine);
  mWaiting.erase(aEngine);
  mLost.erase(aEngine);
  mAskedOnce.erase(aEngine);
}

void
EngineDoubts::OnAnswer(const EngineRecord& aEngine, const Result<EngineReport>& aReport)
{
  const auto it = mQuestions.find(aEngine.mId);
  if (it == mQuestions.end() || it->second.mBorn != aEngine.mBorn) {
    return; // the question was put to a start that has been replaced
  }
  Question& question = it->second;
  --question.mOpen;
  question.mUnheard =
    question.mUnheard || (!aReport.has_value() && aReport.error().mCode == Errc::kCancelled);
  if (aReport.has_value()) {
    const bool first = !question.mAnswered;
    question.mAnswered = true;
    if (mLost.erase(aEngine.mId) != 0) {
      mHooks.mOnChange(aEngine, false, "");
    }
    if (first) {
      mHooks.mOnAnswer(aEngine, aReport.value());
    }
  }
  if (question.mOpen > 0) {
    return;
  }
  const bool answered = question.mAnswered;
  const bool unheard = question.mUnheard;
  mQuestions.erase(it);
  if (!answered && unheard) {
    mWaiting[aEngine.mId] = aEngine;
    return;
  }
  if (!answered && mLost.emplace(aEngine.mId, mHooks.mNow()).second) {
    mHooks.mOnChange(aEngine, true, ToString(aReport.error()));
  }
}

void
EngineDoubts::Tick(const std::function<const EngineRecord*(const std::string&)>& aFind)
{
  for (const auto& [id, engine] : std::exchange(mWaiting, {})) {
    if (aFind(id) != nullptr) {
      Ask(engine);
    }
  }
  for (auto it = mAskedOnce.begin(); it != mAskedOnce.end();) {
    const bool old = mHooks.mNow() - it->second >= mOptions.mAskState;
    it = old ? mAskedOnce.erase(it) : std::next(it);
  }
  std::vector<const EngineRecord*> again;
  for (auto it = mLost.begin(); it != mLost.end();) {
    const EngineRecord* engine = aFind(it->first);
    if (engine == nullptr) {
      it = mLost.erase(it);
      continue;
    }
    if (mHooks.mNow() - it->second >= mOptions.mAskAgain) {
      again.push_back(engine);
    }
    ++it;
  }
  for (const auto* it : again) {
    Ask(*it);
  }
}

} // namespace pepperbay
