/// @file
/// @brief Engines that do not answer, found by asking from two places; and when to ask again. Pure
/// but for its hooks.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/coordinator/engine_call.hpp"
#include "pepperbay/placement/group_order.hpp"

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
  Duration mAskAgain = std::chrono::milliseconds(700);
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

/// What has become known of an engine under suspicion.
struct EngineVerdict
{
  std::optional<LostBy> mLostBy; ///< none: it answers again
  std::string mError;            ///< how the last question ended, where it is lost
};

struct EngineDoubtsHooks
{
  NowFn mNow;
  std::function<
    void(const EngineRecord&, const EngineCallOptions&, std::function<void(Result<EngineReport>)>)>
    mAsk;
  std::function<void(const EngineRecord&, const EngineReport&)> mOnAnswer;
  /// An engine has become lost, or a lost one answers.
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
  bool IsAsked(const std::string& aEngine) const { return mQuestions.count(aEngine) != 0; }
  /// Ask lost engines again; forget those that nobody needs any more.
  /// @param aFind an engine that is still registered or a member of a replica, or none
  void Tick(const std::function<const EngineRecord*(const std::string&)>& aFind);
  std::uint64_t Asked() const { return mAsked; }
  /// Engines that did not answer, on which too few places had a word.
  std::uint64_t Undecided() const { return mUndecided; }
  const std::map<std::string, TimePoint>& Lost() const { return mLost; }

private:
  /// Of one start of one engine.
  struct Question
  {
    EngineRecord mEngine;
    TimePoint mBegun{};
    int mRounds = 0;
    int mOpen = 0;
    std::optional<TimePoint> mPeerDue; ///< counts as open until the peer is asked, or need not be
    bool mAnswered = false;
    bool mUnheard = false;        ///< this node was too late to hear an answer
    bool mUnansweredHere = false; ///< a question of this node's own had none
    bool mSees = false;           ///< another engine has answered this node after that
    int mUnansweredThere = 0;     ///< peers that see other engines and had none
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

  EngineDoubtsOptions mOptions;
  EngineDoubtsHooks mHooks;
  std::map<std::string, Question> mQuestions;
  std::map<std::string, EngineRecord> mWaiting; ///< to be asked as soon as questions may be put
  std::map<std::string, TimePoint> mLost;       ///< when last asked
  std::map<std::string, TimePoint> mAskedOnce;  ///< when
  std::uint64_t mAsked = 0;
  std::uint64_t mUndecided = 0;
};

} // namespace pepperbay
