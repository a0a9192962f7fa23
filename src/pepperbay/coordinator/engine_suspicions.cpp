#include "engine_suspicions.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {
/// Vantage points without an answer that make an engine lost.
constexpr int kRequiredVantagePoints = 2;
}

const char*
ToString(LostBy aBy)
{
  switch (aBy) {
    case LostBy::kTwoVantagePoints:
      return "two_places";
    case LostBy::kOwnProbeOnly:
      return "here_alone";
    case LostBy::kPeerProbeOnly:
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

EngineSuspicions::EngineSuspicions(EngineSuspicionsOptions aOptions, EngineSuspicionsHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
{
}

void
EngineSuspicions::Ask(const EngineRecord& aEngine, std::optional<TimePoint> aSilentSince)
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
  Investigation& investigation = mInvestigations[aEngine.mId];
  investigation.mEngine = aEngine;
  investigation.mBegun = mHooks.mNow();
  investigation.mSilentSince = SilentSince(aEngine.mId, aSilentSince);
  AskRound(aEngine.mId);
}

TimePoint
EngineSuspicions::SilentSince(const std::string& aEngine, std::optional<TimePoint> aReported) const
{
  const TimePoint now = mHooks.mNow();
  const auto lastReply = mLastReplies.find(aEngine);
  const TimePoint reported = std::min(aReported.value_or(now), now);
  // The reported time is before the last reply: something else stalled the streams, and the silence
  // begins with this probe.
  return lastReply != mLastReplies.end() && lastReply->second > reported ? now : reported;
}

bool
EngineSuspicions::HasExited(const std::string& aEngine) const
{
  const auto it = mLost.find(aEngine);
  return it != mLost.end() && it->second.mExited;
}

void
EngineSuspicions::AskRound(const std::string& aEngine)
{
  Investigation& investigation = mInvestigations.at(aEngine);
  ++investigation.mRounds;
  // Incremented first: a hook may answer synchronously.
  ++investigation.mOpen;
  if (!HasPeers()) {
    AskDirectly(&investigation);
    AskDirectly(&investigation);
  } else if (!mHooks.mIsUnreached() || !AskThroughPeer(&investigation) ||
             !AskThroughPeer(&investigation)) {
    ++investigation.mOpen;
    investigation.mPeerDue = mHooks.mNow() + mOptions.mPeerAfter;
    AskDirectly(&investigation);
  }
  if (--investigation.mOpen == 0) {
    OnRoundOver(aEngine);
  }
}

void
EngineSuspicions::AskReservedPeer(Investigation* aInvestigation)
{
  AskThroughPeer(aInvestigation);
  aInvestigation->mPeerDue.reset();
  --aInvestigation->mOpen;
}

bool
EngineSuspicions::AskThroughPeer(Investigation* aInvestigation)
{
  const auto peer = mHooks.mPickPeer(aInvestigation->mEngine, aInvestigation->mPeers);
  if (!peer) {
    return false;
  }
  aInvestigation->mPeers.insert(peer->mNode);
  ++aInvestigation->mOpen;
  ++mAsked;
  // The direct probe has been in flight for mPeerAfter; both time out together.
  const Duration since = aInvestigation->mPeerDue ? mOptions.mPeerAfter : Duration::zero();
  mHooks.mAsk(aInvestigation->mEngine,
              { mOptions.mAskTimeout - since, peer },
              [this, engine = aInvestigation->mEngine, name = peer->mNode](
                const Result<EngineReport>& aReport) { OnAnswer(engine, name, aReport); });
  return true;
}

void
EngineSuspicions::AskDirectly(Investigation* aInvestigation)
{
  ++aInvestigation->mOpen;
  ++mAsked;
  mHooks.mAsk(aInvestigation->mEngine,
              { mOptions.mAskTimeout, std::nullopt },
              [this, engine = aInvestigation->mEngine](const Result<EngineReport>& aReport) {
                OnAnswer(engine, "", aReport);
              });
}

void
EngineSuspicions::OnAnswer(const EngineRecord& aEngine,
                           const std::string& aPeer,
                           const Result<EngineReport>& aReport)
{
  const auto it = mInvestigations.find(aEngine.mId);
  if (it == mInvestigations.end() || it->second.mEngine.mBorn != aEngine.mBorn) {
    return; // the probe was sent to a stale incarnation
  }
  Investigation& investigation = it->second;
  const bool first = aReport.has_value() && !std::exchange(investigation.mAnswered, true);
  if (!aReport.has_value()) {
    OnNoAnswer(&investigation, aPeer, aReport.error());
  }
  if (investigation.mPeerDue && aReport.has_value()) {
    investigation.mPeerDue.reset();
    --investigation.mOpen;
  } else if (investigation.mPeerDue) {
    AskReservedPeer(&investigation);
  }
  FinishProbe(aEngine.mId, &investigation);
  if (aReport.has_value()) {
    OnEngineReply(aEngine);
  }
  if (first) {
    mHooks.mOnAnswer(aEngine, aReport.value());
  }
}

void
EngineSuspicions::OnEngineReply(const EngineRecord& aEngine)
{
  const TimePoint now = mHooks.mNow();
  mLastReplies[aEngine.mId] = now;
  const auto it = mLost.find(aEngine.mId);
  if (it == mLost.end()) {
    return;
  }
  EngineVerdict verdict;
  verdict.mExited = it->second.mExited;
  verdict.mWasLost = true;
  verdict.mSilentFor = now - it->second.mSilentSince;
  verdict.mLostFor = now - it->second.mSince;
  mLost.erase(it);
  mHooks.mOnChange(aEngine, verdict);
}

void
EngineSuspicions::OnNoAnswer(Investigation* aInvestigation,
                             const std::string& aPeer,
                             const Error& aError)
{
  const bool missed = aError.mCode == Errc::kCancelled;
  // A probe that this process could not send is no evidence on the engine.
  const bool conclusive = !missed && aError.mCode != Errc::kInternal;
  const bool refused = aError.mCode == Errc::kRefused;
  if (aPeer.empty()) {
    aInvestigation->mReplyMissed = aInvestigation->mReplyMissed || missed;
    const bool silentBefore = aInvestigation->mOwnProbeFailed && !aInvestigation->mOwnProbeRefused;
    aInvestigation->mOwnProbeFailed = aInvestigation->mOwnProbeFailed || conclusive;
    aInvestigation->mOwnProbeRefused = refused && !silentBefore;
    if (conclusive && HasPeers() && !aInvestigation->mReachesOthers) {
      CheckReachability(aInvestigation);
    }
  } else if (conclusive) {
    ++aInvestigation->mFailedPeerProbes;
    aInvestigation->mRefusedPeerProbes += refused ? 1 : 0;
  }
  aInvestigation->mError = ToString(aError);
}

void
EngineSuspicions::CheckReachability(Investigation* aInvestigation)
{
  ++aInvestigation->mOpen;
  mHooks.mCheckReachability(aInvestigation->mEngine,
                            [this, engine = aInvestigation->mEngine](bool aReachesOthers) {
                              OnReachability(engine, aReachesOthers);
                            });
}

void
EngineSuspicions::OnReachability(const EngineRecord& aEngine, bool aReachesOthers)
{
  const auto it = mInvestigations.find(aEngine.mId);
  if (it != mInvestigations.end() && it->second.mEngine.mBorn == aEngine.mBorn) {
    it->second.mReachesOthers = it->second.mReachesOthers || aReachesOthers;
    FinishProbe(aEngine.mId, &it->second);
  }
}

void
EngineSuspicions::FinishProbe(const std::string& aEngine, Investigation* aInvestigation)
{
  if (--aInvestigation->mOpen == 0) {
    OnRoundOver(aEngine);
  }
}

void
EngineSuspicions::OnRoundOver(const std::string& aEngine)
{
  const auto it = mInvestigations.find(aEngine);
  const Investigation investigation = it->second;
  if (investigation.mAnswered) {
    if (investigation.mOwnProbeFailed && mHooks.mOnPathFault) {
      mHooks.mOnPathFault(investigation.mEngine, investigation.mBegun);
    }
    mInvestigations.erase(it);
    return;
  }
  if (investigation.mReplyMissed) {
    mInvestigations.erase(it);
    mWaiting[aEngine] = investigation.mEngine;
    return;
  }
  if (!HasPeers()) {
    mInvestigations.erase(it);
    Decide(investigation,
           investigation.mOwnProbeFailed ? std::make_optional(LostBy::kNoPeers) : std::nullopt);
    return;
  }
  const bool here = investigation.mOwnProbeFailed && investigation.mReachesOthers;
  const int vantagePoints = investigation.mFailedPeerProbes + (here ? 1 : 0);
  const bool last = investigation.mRounds >= mOptions.mMaxRounds;
  if (vantagePoints < kRequiredVantagePoints && !last) {
    AskRound(aEngine);
    return;
  }
  mInvestigations.erase(it);
  // Without evidence from a second vantage point, one that reaches other engines is enough: a
  // repair must not wait for nodes that are gone.
  const LostBy alone = here ? LostBy::kOwnProbeOnly : LostBy::kPeerProbeOnly;
  Decide(investigation,
         vantagePoints == 0
           ? std::nullopt
           : std::make_optional(
               vantagePoints < kRequiredVantagePoints ? alone : LostBy::kTwoVantagePoints));
}

void
EngineSuspicions::Decide(const Investigation& aInvestigation, std::optional<LostBy> aLostBy)
{
  if (!aLostBy) {
    ++mUndecided;
    return;
  }
  const TimePoint now = mHooks.mNow();
  const auto [it, fresh] = mLost.try_emplace(aInvestigation.mEngine.mId);
  LostEngine& lost = it->second;
  if (fresh) {
    lost = { now, aInvestigation.mSilentSince, aInvestigation.mBegun, false };
  }
  const bool refused = IsRefused(aInvestigation);
  // An engine that has resumed answers the last probe, which must have been sent after the longest
  // pause.
  const bool outlasts = !fresh && aInvestigation.mBegun - lost.mSilentSince >= mOptions.mMaxPause;
  const bool ends = !lost.mExited && (refused || outlasts);
  lost.mExited = lost.mExited || ends;
  if (!fresh && !ends) {
    return;
  }
  EngineVerdict verdict;
  verdict.mLostBy = aLostBy;
  verdict.mError = aInvestigation.mError;
  verdict.mEvidence = refused ? LostEvidence::kRefused : LostEvidence::kSilent;
  verdict.mExited = lost.mExited;
  verdict.mWasLost = !fresh;
  verdict.mSilentFor = now - lost.mSilentSince;
  verdict.mLostFor = now - lost.mSince;
  mHooks.mOnChange(aInvestigation.mEngine, verdict);
}

bool
EngineSuspicions::IsRefused(const Investigation& aInvestigation) const
{
  // A device on one path may refuse connections that the engine would accept, so each vantage point
  // that counts must report a refusal, up to two.
  const bool here =
    aInvestigation.mOwnProbeFailed && (aInvestigation.mReachesOthers || !HasPeers());
  const int vantagePoints = aInvestigation.mFailedPeerProbes + (here ? 1 : 0);
  const int refused =
    aInvestigation.mRefusedPeerProbes + (here && aInvestigation.mOwnProbeRefused ? 1 : 0);
  return refused >= std::clamp(vantagePoints, 1, kRequiredVantagePoints);
}

void
EngineSuspicions::AskOnce(const EngineRecord& aEngine, IfSilent aIfSilent)
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
  if (HasPeers() && mHooks.mIsUnreached()) {
    options.mVia = mHooks.mPickPeer(aEngine, {});
  }
  mHooks.mAsk(aEngine, options, [this, aEngine, aIfSilent](const Result<EngineReport>& aReport) {
    if (aReport.has_value()) {
      mLastReplies[aEngine.mId] = mHooks.mNow();
      mHooks.mOnAnswer(aEngine, aReport.value());
    } else if (aIfSilent == IfSilent::kSuspect && !IsLost(aEngine.mId)) {
      Ask(aEngine);
    }
  });
}

void
EngineSuspicions::Forget(const std::string& aEngine)
{
  mInvestigations.erase(aEngine);
  mWaiting.erase(aEngine);
  mLost.erase(aEngine);
  mAskedOnce.erase(aEngine);
  mLastReplies.erase(aEngine);
}

void
EngineSuspicions::Tick(const std::function<const EngineRecord*(const std::string&)>& aFind)
{
  for (auto& [id, investigation] : mInvestigations) {
    if (investigation.mPeerDue && mHooks.mNow() >= *investigation.mPeerDue) {
      AskReservedPeer(&investigation);
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
  for (auto it = mLastReplies.begin(); it != mLastReplies.end();) {
    const bool old = mHooks.mNow() - it->second >= mOptions.mMaxPause;
    it = old ? mLastReplies.erase(it) : std::next(it);
  }
  std::vector<const EngineRecord*> again;
  for (auto it = mLost.begin(); it != mLost.end();) {
    const EngineRecord* engine = aFind(it->first);
    if (engine == nullptr) {
      it = mLost.erase(it);
      continue;
    }
    const Duration pause = it->second.mExited ? mOptions.mAskAgain : mOptions.mAskSilent;
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
