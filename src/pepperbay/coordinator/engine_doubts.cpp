#include "engine_doubts.hpp"

#include <utility>

namespace pepperbay {

const char*
ToString(LostBy aBy)
{
  switch (aBy) {
    case LostBy::kTwoPlaces:
      return "two_places";
    case LostBy::kHereAlone:
      return "here_alone";
    case LostBy::kPeerAlone:
      return "peer_alone";
    case LostBy::kNoPeers:
      return "no_peers";
  }
  return "unknown";
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
  if (IsAsked(aEngine.mId)) {
    return;
  }
  const auto lost = mLost.find(aEngine.mId);
  if (lost != mLost.end()) {
    lost->second = mHooks.mNow();
  }
  Question& question = mQuestions[aEngine.mId];
  question.mEngine = aEngine;
  question.mBegun = mHooks.mNow();
  AskRound(aEngine.mId);
}

void
EngineDoubts::AskRound(const std::string& aEngine)
{
  Question& question = mQuestions.at(aEngine);
  ++question.mRounds;
  // Counted first: a hook may answer at once.
  ++question.mOpen;
  if (!HasPeers()) {
    AskDirectly(&question);
    AskDirectly(&question);
  } else if (!mHooks.mIsBlind() || !AskThroughPeer(&question) || !AskThroughPeer(&question)) {
    ++question.mOpen;
    question.mPeerDue = mHooks.mNow() + mOptions.mPeerAfter;
    AskDirectly(&question);
  }
  if (--question.mOpen == 0) {
    OnRoundOver(aEngine);
  }
}

void
EngineDoubts::AskReserved(Question* aQuestion)
{
  AskThroughPeer(aQuestion);
  aQuestion->mPeerDue.reset();
  --aQuestion->mOpen;
}

bool
EngineDoubts::AskThroughPeer(Question* aQuestion)
{
  const auto peer = mHooks.mPickPeer(aQuestion->mEngine, aQuestion->mPeers);
  if (!peer) {
    return false;
  }
  aQuestion->mPeers.insert(peer->mNode);
  ++aQuestion->mOpen;
  ++mAsked;
  // What was asked beside it directly has been under way for a while.
  const Duration since = aQuestion->mPeerDue ? mOptions.mPeerAfter : Duration::zero();
  mHooks.mAsk(aQuestion->mEngine,
              { mOptions.mAskTimeout - since, peer },
              [this, engine = aQuestion->mEngine, name = peer->mNode](
                const Result<EngineReport>& aReport) { OnAnswer(engine, name, aReport); });
  return true;
}

void
EngineDoubts::AskDirectly(Question* aQuestion)
{
  ++aQuestion->mOpen;
  ++mAsked;
  mHooks.mAsk(aQuestion->mEngine,
              { mOptions.mAskTimeout, std::nullopt },
              [this, engine = aQuestion->mEngine](const Result<EngineReport>& aReport) {
                OnAnswer(engine, "", aReport);
              });
}

void
EngineDoubts::OnAnswer(const EngineRecord& aEngine,
                       const std::string& aPeer,
                       const Result<EngineReport>& aReport)
{
  const auto it = mQuestions.find(aEngine.mId);
  if (it == mQuestions.end() || it->second.mEngine.mBorn != aEngine.mBorn) {
    return; // the question was put to a start that has been replaced
  }
  Question& question = it->second;
  const bool first = aReport.has_value() && !std::exchange(question.mAnswered, true);
  if (!aReport.has_value()) {
    OnNoAnswer(&question, aPeer, aReport.error());
  }
  if (question.mPeerDue && aReport.has_value()) {
    question.mPeerDue.reset();
    --question.mOpen;
  } else if (question.mPeerDue) {
    AskReserved(&question);
  }
  EndOne(aEngine.mId, &question);
  if (aReport.has_value() && mLost.erase(aEngine.mId) != 0) {
    mHooks.mOnChange(aEngine, {});
  }
  if (first) {
    mHooks.mOnAnswer(aEngine, aReport.value());
  }
}

void
EngineDoubts::OnNoAnswer(Question* aQuestion, const std::string& aPeer, const Error& aError)
{
  const bool unheard = aError.mCode == Errc::kCancelled;
  // A question that this process could not put says nothing of the engine.
  const bool word = !unheard && aError.mCode != Errc::kInternal;
  if (aPeer.empty()) {
    aQuestion->mUnheard = aQuestion->mUnheard || unheard;
    aQuestion->mUnansweredHere = aQuestion->mUnansweredHere || word;
    if (word && HasPeers() && !aQuestion->mSees) {
      FindSight(aQuestion);
    }
  } else if (word) {
    ++aQuestion->mUnansweredThere;
  }
  aQuestion->mError = ToString(aError);
}

void
EngineDoubts::FindSight(Question* aQuestion)
{
  ++aQuestion->mOpen;
  mHooks.mFindSight(aQuestion->mEngine,
                    [this, engine = aQuestion->mEngine](bool aSees) { OnSight(engine, aSees); });
}

void
EngineDoubts::OnSight(const EngineRecord& aEngine, bool aSees)
{
  const auto it = mQuestions.find(aEngine.mId);
  if (it != mQuestions.end() && it->second.mEngine.mBorn == aEngine.mBorn) {
    it->second.mSees = it->second.mSees || aSees;
    EndOne(aEngine.mId, &it->second);
  }
}

void
EngineDoubts::EndOne(const std::string& aEngine, Question* aQuestion)
{
  if (--aQuestion->mOpen == 0) {
    OnRoundOver(aEngine);
  }
}

void
EngineDoubts::OnRoundOver(const std::string& aEngine)
{
  const auto it = mQuestions.find(aEngine);
  const Question question = it->second;
  if (question.mAnswered) {
    if (question.mUnansweredHere && mHooks.mOnPathFault) {
      mHooks.mOnPathFault(question.mEngine, question.mBegun);
    }
    mQuestions.erase(it);
    return;
  }
  if (question.mUnheard) {
    mQuestions.erase(it);
    mWaiting[aEngine] = question.mEngine;
    return;
  }
  if (!HasPeers()) {
    mQuestions.erase(it);
    Decide(question,
           question.mUnansweredHere ? std::make_optional(LostBy::kNoPeers) : std::nullopt);
    return;
  }
  const bool here = question.mUnansweredHere && question.mSees;
  const int places = question.mUnansweredThere + (here ? 1 : 0);
  constexpr int kPlaces = 2;
  const bool last = question.mRounds >= mOptions.mMostRounds;
  if (places < kPlaces && !last) {
    AskRound(aEngine);
    return;
  }
  mQuestions.erase(it);
  // Where no second place has a word, one that reaches other engines is enough: a repair must not
  // wait for nodes that are gone.
  const LostBy alone = here ? LostBy::kHereAlone : LostBy::kPeerAlone;
  Decide(question,
         places == 0 ? std::nullopt
                     : std::make_optional(places < kPlaces ? alone : LostBy::kTwoPlaces));
}

void
EngineDoubts::Decide(const Question& aQuestion, std::optional<LostBy> aLostBy)
{
  if (!aLostBy) {
    ++mUndecided;
    return;
  }
  if (mLost.emplace(aQuestion.mEngine.mId, mHooks.mNow()).second) {
    mHooks.mOnChange(aQuestion.mEngine, { aLostBy, aQuestion.mError });
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
  EngineCallOptions options{ mOptions.mAskTimeout, std::nullopt };
  if (HasPeers() && mHooks.mIsBlind()) {
    options.mVia = mHooks.mPickPeer(aEngine, {});
  }
  mHooks.mAsk(aEngine, options, [this, aEngine](const Result<EngineReport>& aReport) {
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
EngineDoubts::Tick(const std::function<const EngineRecord*(const std::string&)>& aFind)
{
  for (auto& [id, question] : mQuestions) {
    if (question.mPeerDue && mHooks.mNow() >= *question.mPeerDue) {
      AskReserved(&question);
    }
  }
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
