/// @file
/// @brief Engines that do not answer, found by asking from two places; and when to ask again. Pure
/// but for its hooks.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/coordinator/engine_call.hpp"
#include "pepperbay/placement/group_order.hpp"
#include "pepperbay/placement/group_planner.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct EngineDoubtsOptions
{
  Duration mAskTimeout = std::chrono::milliseconds(110);
  /// An engine that is well answers within a few milliseconds; a peer is asked beside after this,
  /// and has the rest of mAskTimeout.
  Duration mPeerAfter = std::chrono::milliseconds(40);
  /// Engines that have ended are asked again after this.
  Duration mAskAgain = std::chrono::milliseconds(700);
  /// The same for those that are only silent: they may go on at any moment.
  Duration mAskSilent = std::chrono::milliseconds(200);
  /// An engine that is well may be silent for so long.
  Duration mPauseMost = GroupPlannerOptions().mMaxPause;
  /// What an engine says of itself is some 200 ms old; asking more often tells little more.
  Duration mAskState = std::chrono::milliseconds(250);
  /// An engine on which too few places have a word is asked so many times in a row.
  int mMostRounds = 3;
};

/// Whose words have made an engine count as lost.
enum class LostBy
{
  kTwoPlaces,
  kHereAlone, ///< no second place had a word
  kPeerAlone, ///< a peer's; this node's own does not count, and no other peer had one
  kNoPeers,   ///< there are no other nodes
};

const char*
ToString(LostBy aBy);

/// What an engine's loss rests on.
enum class LostEvidence
{
  kSilent,  ///< nothing but questions without an answer
  kRefused, ///< its host has refused connections: no process listens there
};

const char*
ToString(LostEvidence aEvidence);

/// What has become known of an engine under suspicion.
struct EngineVerdict
{
  std::optional<LostBy> mLostBy; ///< none: it answers again
  std::string mError;            ///< how the last question ended, where it is lost
  LostEvidence mEvidence = LostEvidence::kSilent;
  bool mEnded = false;      ///< it will not go on; once it answers: it had been taken for that
  bool mWasLost = false;    ///< known to be lost before this verdict
  Duration mSilentFor{ 0 }; ///< since its last word, as far as known
  Duration mLostFor{ 0 };   ///< until it answers again
};

/// An engine that does not answer.
struct LostEngine
{
  TimePoint mSince{};       ///< it counts as lost
  TimePoint mSilentSince{}; ///< its last word, as far as known
  TimePoint mAsked{};       ///< last
  bool mEnded = false;      ///< by more than silence, or by a longer one than a sound engine's
};

struct EngineDoubtsHooks
{
  NowFn mNow;
  std::function<
    void(const EngineRecord&, const EngineCallOptions&, std::function<void(Result<EngineReport>)>)>
    mAsk;
  std::function<void(const EngineRecord&, const EngineReport&)> mOnAnswer;
  /// An engine has become lost, a lost one has ended, or one of them answers.
  std::function<void(const EngineRecord&, const EngineVerdict&)> mOnChange;
  /// Whether a question may be put now; null: any number.
  std::function<bool()> mMayAsk = nullptr;

  // The other places. Where these are null there is none, and this node judges alone.
  /// A peer to ask through that is not among those tried; none: there is none left.
  std::function<std::optional<ProxyPeer>(const EngineRecord&, const std::set<std::string>& aTried)>
    mPickPeer = nullptr;
  /// Whether other nodes are there at all.
  std::function<bool()> mHasPeers = nullptr;
  /// Whether this node is known to reach no engine by itself.
  std::function<bool()> mIsBlind = nullptr;
  /// Find out whether this node reaches another engine now, see SightLooks. `aDone` may be called
  /// before this returns.
  std::function<void(const EngineRecord& aNotThis, std::function<void(bool aSees)> aDone)>
    mFindSight = nullptr;
  /// A peer has an answer of an engine that this node's own question has none of.
  std::function<void(const EngineRecord&, TimePoint aBegun)> mOnPathFault = nullptr;
};

/// Asks engines under suspicion.
///
/// A question goes out directly, and one through a peer where that has no answer soon; an engine is
/// lost when two places have no answer in time that reach other engines after that. A node that
/// is partitioned from the engines, or has a poor link, would otherwise take all of them for lost
/// and have every node refuse what it could serve; and one lost packet must not darken a replica. A
/// place that was not heard, or reaches nothing itself, says nothing, and another is asked. Where
/// there are no other nodes two questions go out at once, both this node's own.
///
/// A lost engine is to get no new requests, which can be undone. What cannot be undone waits until
/// the engine has ended: refused connections show that at once, silence once it has outlasted the
/// pause of a sound engine.
class EngineDoubts
{
public:
  EngineDoubts(EngineDoubtsOptions aOptions, EngineDoubtsHooks aHooks);

  /// Ask an engine that may be lost, unless it is being asked; at a later Tick() where no question
  /// may be put now.
  /// @param aSilentSince since when nothing has come of it, where that is known
  void Ask(const EngineRecord& aEngine, std::optional<TimePoint> aSilentSince = std::nullopt);
  enum class IfSilent
  {
    kSaysNothing,
    kIsSuspect, ///< it is asked as by Ask()
  };
  /// Ask an engine for its state, at most once in mAskState.
  void AskOnce(const EngineRecord& aEngine, IfSilent aIfSilent = IfSilent::kSaysNothing);
  /// An engine has started again: what was asked of the former start says nothing of this one.
  void Forget(const std::string& aEngine);
  bool IsLost(const std::string& aEngine) const { return mLost.count(aEngine) != 0; }
  /// @return whether an engine is lost by more than a silence that may be a pause.
  bool HasEnded(const std::string& aEngine) const;
  bool IsAsked(const std::string& aEngine) const { return mQuestions.count(aEngine) != 0; }
  /// Ask lost engines again; forget those that nobody needs any more.
  /// @param aFind an engine that is still registered or a member of a replica, or none
  void Tick(const std::function<const EngineRecord*(const std::string&)>& aFind);
  std::uint64_t Asked() const { return mAsked; }
  /// Engines that did not answer, on which too few places had a word.
  std::uint64_t Undecided() const { return mUndecided; }
  const std::map<std::string, LostEngine>& Lost() const { return mLost; }

private:
  /// Of one start of one engine.
  struct Question
  {
    EngineRecord mEngine;
    TimePoint mBegun{};
    TimePoint mSilentSince{}; ///< before it was asked
    int mRounds = 0;
    int mOpen = 0;
    std::optional<TimePoint> mPeerDue; ///< counts as open until the peer is asked, or need not be
    bool mAnswered = false;
    bool mUnheard = false;        ///< this node was too late to hear an answer
    bool mUnansweredHere = false; ///< a question of this node's own had none
    bool mSees = false;           ///< another engine has answered this node after that
    int mUnansweredThere = 0;     ///< peers that see other engines and had none
    bool mRefusedHere = false;    ///< all that this node heard of it was a refused connection
    int mRefusedThere = 0;        ///< peers that heard the same
    std::set<std::string> mPeers; ///< asked
    std::string mError;           ///< how the last one ended
  };

  bool MayAsk() const { return !mHooks.mMayAsk || mHooks.mMayAsk(); }
  bool HasPeers() const { return mHooks.mHasPeers && mHooks.mHasPeers(); }
  /// Put the questions of one round.
  void AskRound(const std::string& aEngine);
  /// @return whether there was a peer left to ask
  bool AskThroughPeer(Question* aQuestion);
  /// Ask the peer that a round has in reserve.
  void AskReserved(Question* aQuestion);
  void AskDirectly(Question* aQuestion);
  void OnAnswer(const EngineRecord& aEngine,
                const std::string& aPeer,
                const Result<EngineReport>& aReport);
  void OnNoAnswer(Question* aQuestion, const std::string& aPeer, const Error& aError);
  /// Find out whether this node's own failure says anything of the engine.
  void FindSight(Question* aQuestion);
  void OnSight(const EngineRecord& aEngine, bool aSees);
  void EndOne(const std::string& aEngine, Question* aQuestion);
  void OnRoundOver(const std::string& aEngine);
  /// No place has an answer.
  /// @param aLostBy whose words count; none: too few have a word on the engine
  void Decide(const Question& aQuestion, std::optional<LostBy> aLostBy);
  /// @return since when an engine that is asked now has been silent.
  TimePoint SilentSince(const std::string& aEngine, std::optional<TimePoint> aTold) const;
  void OnHeard(const EngineRecord& aEngine);
  /// @return whether the places that have no answer have heard refused connections.
  bool IsRefused(const Question& aQuestion) const;

  EngineDoubtsOptions mOptions;
  EngineDoubtsHooks mHooks;
  std::map<std::string, Question> mQuestions;
  std::map<std::string, EngineRecord> mWaiting; ///< to be asked as soon as questions may be put
  std::map<std::string, LostEngine> mLost;
  std::map<std::string, TimePoint> mHeard;     ///< last answers, of the longest pause of an engine
  std::map<std::string, TimePoint> mAskedOnce; ///< when
  std::uint64_t mAsked = 0;
  std::uint64_t mUndecided = 0;
};

} // namespace pepperbay
