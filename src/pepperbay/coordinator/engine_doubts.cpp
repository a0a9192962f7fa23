#include "engine_doubts.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// Places that must have no answer of an engine.
constexpr int kPlaces = 2;
}

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

const char*
ToString(LostEvidence aEvidence)
{
  switch (aEvidence) {
    case LostEvidence::kSilent:
      return "silent";
    case LostEvidence::kRefused:
      return "refused";
  }
  return "unknown";
}

EngineDoubts::EngineDoubts(EngineDoubtsOptions aOptions, EngineDoubtsHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
{
}

void
EngineDoubts::Ask(const EngineRecord& aEngine, std::optional<TimePoint> aSilentSince)
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
    lost->second.mAsked = mHooks.mNow();
  }
  Question& question = mQuestions[aEngine.mId];
  question.mEngine = aEngine;
  question.mBegun = mHooks.mNow();
  question.mSilentSince = SilentSince(aEngine.mId, aSilentSince);
  AskRound(aEngine.mId);
}

TimePoint
EngineDoubts::SilentSince(const std::string& aEngine, std::optional<TimePoint> aTold) const
{
  const TimePoint now = mHooks.mNow();
  const auto heard = mHeard.find(aEngine);
  const TimePoint told = std::min(aTold.value_or(now), now);
  // What was told is older than an answer: something else kept the streams, and the silence begins
  // with this question.
  return heard != mHeard.end() && heard->second > told ? now : told;
}

bool
EngineDoubts::HasEnded(const std::string& aEngine) const
{
  const auto it = mLost.find(aEngine);
  return it != mLost.end() && it->second.mEnded;
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
  if (aReport.has_value()) {
    OnHeard(aEngine);
  }
  if (first) {
    mHooks.mOnAnswer(aEngine, aReport.value());
  }
}

void
EngineDoubts::OnHeard(const EngineRecord& aEngine)
{
  const TimePoint now = mHooks.mNow();
  mHeard[aEngine.mId] = now;
  const auto it = mLost.find(aEngine.mId);
  if (it == mLost.end()) {
    return;
  }
  EngineVerdict verdict;
  verdict.mEnded = it->second.mEnded;
  verdict.mWasLost = true;
  verdict.mSilentFor = now - it->second.mSilentSince;
  verdict.mLostFor = now - it->second.mSince;
  mLost.erase(it);
  mHooks.mOnChange(aEngine, verdict);
}

void
EngineDoubts::OnNoAnswer(Question* aQuestion, const std::string& aPeer, const Error& aError)
{
  const bool unheard = aError.mCode == Errc::kCancelled;
  // A question that this process could not put says nothing of the engine.
  const bool word = !unheard && aError.mCode != Errc::kInternal;
  const bool refused = aError.mCode == Errc::kRefused;
  if (aPeer.empty()) {
    aQuestion->mUnheard = aQuestion->mUnheard || unheard;
    const bool silentBefore = aQuestion->mUnansweredHere && !aQuestion->mRefusedHere;
    aQuestion->mUnansweredHere = aQuestion->mUnansweredHere || word;
    aQuestion->mRefusedHere = refused && !silentBefore;
    if (word && HasPeers() && !aQuestion->mSees) {
      FindSight(aQuestion);
    }
  } else if (word) {
    ++aQuestion->mUnansweredThere;
    aQuestion->mRefusedThere += refused ? 1 : 0;
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
  const TimePoint now = mHooks.mNow();
  const auto [it, fresh] = mLost.try_emplace(aQuestion.mEngine.mId);
  LostEngine& lost = it->second;
  if (fresh) {
    lost = { now, aQuestion.mSilentSince, aQuestion.mBegun, false };
  }
  const bool refused = IsRefused(aQuestion);
  // An engine that has gone on is heard by the last question, which must not be from before.
  const bool outlasts = !fresh && aQuestion.mBegun - lost.mSilentSince >= mOptions.mPauseMost;
  const bool ends = !lost.mEnded && (refused || outlasts);
  lost.mEnded = lost.mEnded || ends;
  if (!fresh && !ends) {
    return;
  }
  EngineVerdict verdict;
  verdict.mLostBy = aLostBy;
  verdict.mError = aQuestion.mError;
  verdict.mEvidence = refused ? LostEvidence::kRefused : LostEvidence::kSilent;
  verdict.mEnded = lost.mEnded;
  verdict.mWasLost = !fresh;
  verdict.mSilentFor = now - lost.mSilentSince;
  verdict.mLostFor = now - lost.mSince;
  mHooks.mOnChange(aQuestion.mEngine, verdict);
}

bool
EngineDoubts::IsRefused(const Question& aQuestion) const
{
  // A path may refuse what the engine would take: each place that counts has to say it, up to two.
  const bool here = aQuestion.mUnansweredHere && (aQuestion.mSees || !HasPeers());
  const int places = aQuestion.mUnansweredThere + (here ? 1 : 0);
  const int refused = aQuestion.mRefusedThere + (here && aQuestion.mRefusedHere ? 1 : 0);
  return refused >= std::clamp(places, 1, kPlaces);
}

void
EngineDoubts::AskOnce(const EngineRecord& aEngine, IfSilent aIfSilent)
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
  mHooks.mAsk(aEngine, options, [this, aEngine, aIfSilent](const Result<EngineReport>& aReport) {
    if (aReport.has_value()) {
      mHeard[aEngine.mId] = mHooks.mNow();
      mHooks.mOnAnswer(aEngine, aReport.value());
    } else if (aIfSilent == IfSilent::kIsSuspect && !IsLost(aEngine.mId)) {
      Ask(aEngine);
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
  mHeard.erase(aEngine);
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
  for (auto it = mHeard.begin(); it != mHeard.end();) {
    const bool old = mHooks.mNow() - it->second >= mOptions.mPauseMost;
    it = old ? mHeard.erase(it) : std::next(it);
  }
  std::vector<const EngineRecord*> again;
  for (auto it = mLost.begin(); it != mLost.end();) {
    const EngineRecord* engine = aFind(it->first);
    if (engine == nullptr) {
      it = mLost.erase(it);
      continue;
    }
    const Duration pause = it->second.mEnded ? mOptions.mAskAgain : mOptions.mAskSilent;
    if (mHooks.mNow() - it->second.mAsked >= pause) {
      again.push_back(engine);
    }
    ++it;
  }
  for (const auto* it : again) {
    Ask(*it);
  }
}

} // namespace pepperbay
