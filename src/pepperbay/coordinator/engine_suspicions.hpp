/// @file
/// @brief Detects lost engines by probes from two vantage points and schedules the probes. Pure but
/// for its hooks.
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

struct EngineSuspicionsOptions
{
  Duration mAskTimeout = std::chrono::milliseconds(110);
  /// A healthy engine answers within a few milliseconds; after this a peer is asked in parallel,
  /// and has the rest of mAskTimeout.
  Duration mPeerAfter = std::chrono::milliseconds(40);
  /// Interval of probes of engines that have exited.
  Duration mAskAgain = std::chrono::milliseconds(700);
  /// Interval of probes of engines that are only silent: they may resume at any moment.
  Duration mAskSilent = std::chrono::milliseconds(200);
  /// Longest silence of a healthy engine.
  Duration mMaxPause = GroupPlannerOptions().mMaxPause;
  /// An engine's status is some 200 ms old when it reports it, so more frequent requests add
  /// little.
  Duration mAskState = std::chrono::milliseconds(250);
  /// Rounds of probes in a row while too few vantage points have evidence on an engine.
  int mMaxRounds = 3;
};

/// The vantage points whose evidence made an engine count as lost.
enum class LostBy
{
  kTwoVantagePoints,
  kOwnProbeOnly,  ///< no other vantage point had evidence
  kPeerProbeOnly, ///< a peer's evidence; this node's own does not count, and no other peer had any
  kNoPeers,       ///< there are no other nodes
};

const char*
ToString(LostBy aBy);

/// The kind of evidence for an engine's loss.
enum class LostEvidence
{
  kSilent,  ///< only probes without an answer
  kRefused, ///< its host refused connections: no process listens there
};

const char*
ToString(LostEvidence aEvidence);

/// The result of the probes of an engine under suspicion.
struct EngineVerdict
{
  std::optional<LostBy> mLostBy; ///< none: it answers again
  std::string mError;            ///< error of the last probe, if the engine is lost
  LostEvidence mEvidence = LostEvidence::kSilent;
  bool mExited = false;  ///< it will not resume; if it answers again: it had been considered exited
  bool mWasLost = false; ///< known to be lost before this verdict
  Duration mSilentFor{ 0 }; ///< since its last reply, as far as known
  Duration mLostFor{ 0 };   ///< until it answers again
};

/// An engine that does not answer.
struct LostEngine
{
  TimePoint mSince{};       ///< when it became lost
  TimePoint mSilentSince{}; ///< its last reply, as far as known
  TimePoint mAsked{};       ///< time of the last probe
  bool mExited = false; ///< shown by more than silence, or by a longer one than a healthy engine's
};

struct EngineSuspicionsHooks
{
  NowFn mNow;
  std::function<
    void(const EngineRecord&, const EngineCallOptions&, std::function<void(Result<EngineReport>)>)>
    mAsk;
  std::function<void(const EngineRecord&, const EngineReport&)> mOnAnswer;
  /// Called when an engine becomes lost, when a lost one is found to have exited, and when a lost
  /// one answers.
  std::function<void(const EngineRecord&, const EngineVerdict&)> mOnChange;
  /// Whether another request may be sent now; null: always.
  std::function<bool()> mMayAsk = nullptr;

  // The other vantage points. Where these are null there are none, and this node decides alone.
  /// Picks a peer to probe through that is not in `aTried`; none: there is none left.
  std::function<std::optional<ProxyPeer>(const EngineRecord&, const std::set<std::string>& aTried)>
    mPickPeer = nullptr;
  /// Whether there are other nodes at all.
  std::function<bool()> mHasPeers = nullptr;
  /// Whether this node is known to reach no engine directly.
  std::function<bool()> mIsUnreached = nullptr;
  /// Checks whether this node reaches another engine now, see ReachabilityProbes. `aDone` may be
  /// called before this returns.
  std::function<void(const EngineRecord& aNotThis, std::function<void(bool aReachesOthers)> aDone)>
    mCheckReachability = nullptr;
  /// A peer has an answer of an engine that did not answer this node directly.
  std::function<void(const EngineRecord&, TimePoint aBegun)> mOnPathFault = nullptr;
};

/// Probes engines under suspicion.
///
/// A probe is sent directly, and one through a peer if the first is not answered soon. An engine is
/// lost when it does not answer in time from two vantage points that reach other engines
/// afterwards. Otherwise a node that is partitioned from the engines, or has a poor link, would
/// consider all of them lost and make every node refuse what it could serve; and one lost packet
/// must not take a replica out of service. A vantage point that got no reply through, or reaches no
/// engine itself, is no evidence, and another one is used. Where there are no other nodes, this
/// node sends two probes at once.
///
/// A lost engine gets no new requests, which can be undone. What cannot be undone waits until the
/// engine is known to have exited: refused connections show that at once, silence only once it has
/// exceeded the longest pause of a healthy engine.
class EngineSuspicions
{
public:
  EngineSuspicions(EngineSuspicionsOptions aOptions, EngineSuspicionsHooks aHooks);

  /// Probes an engine that may be lost, unless it is being probed; if no request may be sent now,
  /// at a later Tick().
  /// @param aSilentSince time of the last sign of life, where known
  void Ask(const EngineRecord& aEngine, std::optional<TimePoint> aSilentSince = std::nullopt);
  enum class IfSilent
  {
    kIgnore,
    kSuspect, ///< it is probed as by Ask()
  };
  /// Requests an engine's status, at most once in mAskState.
  void AskOnce(const EngineRecord& aEngine, IfSilent aIfSilent = IfSilent::kIgnore);
  /// Drops everything on an engine that has restarted: results for the old incarnation are no
  /// evidence on the new one.
  void Forget(const std::string& aEngine);
  bool IsLost(const std::string& aEngine) const { return mLost.count(aEngine) != 0; }
  /// @return whether an engine has exited: it is lost by more than a silence that may be a pause.
  bool HasExited(const std::string& aEngine) const;
  bool IsAsked(const std::string& aEngine) const { return mInvestigations.count(aEngine) != 0; }
  /// Probes lost engines again; forgets those that are neither registered nor members of a replica.
  /// @param aFind returns an engine that is still registered or a member of a replica, or null
  void Tick(const std::function<const EngineRecord*(const std::string&)>& aFind);
  std::uint64_t Asked() const { return mAsked; }
  /// Engines that did not answer, on which too few vantage points had evidence.
  std::uint64_t Undecided() const { return mUndecided; }
  const std::map<std::string, LostEngine>& Lost() const { return mLost; }

private:
  /// The probes of one incarnation of one engine.
  struct Investigation
  {
    EngineRecord mEngine;
    TimePoint mBegun{};
    TimePoint mSilentSince{}; ///< as known when the probes began
    int mRounds = 0;
    int mOpen = 0;
    std::optional<TimePoint> mPeerDue; ///< counts as open until the peer is probed, or need not be
    bool mAnswered = false;
    bool mReplyMissed = false;     ///< this node was too late to read a reply
    bool mOwnProbeFailed = false;  ///< a direct probe failed
    bool mReachesOthers = false;   ///< another engine has answered this node after that
    int mFailedPeerProbes = 0;     ///< peers that reach other engines and got no answer
    bool mOwnProbeRefused = false; ///< the only result of direct probes was a refused connection
    int mRefusedPeerProbes = 0;    ///< peers with the same result
    std::set<std::string> mPeers;  ///< already used for a probe
    std::string mError;            ///< error of the last probe
  };

  bool MayAsk() const { return !mHooks.mMayAsk || mHooks.mMayAsk(); }
  bool HasPeers() const { return mHooks.mHasPeers && mHooks.mHasPeers(); }
  /// Sends the probes of one round.
  void AskRound(const std::string& aEngine);
  /// @return whether a peer was left to probe through
  bool AskThroughPeer(Investigation* aInvestigation);
  /// Probes through the peer that a round has in reserve.
  void AskReservedPeer(Investigation* aInvestigation);
  void AskDirectly(Investigation* aInvestigation);
  void OnAnswer(const EngineRecord& aEngine,
                const std::string& aPeer,
                const Result<EngineReport>& aReport);
  void OnNoAnswer(Investigation* aInvestigation, const std::string& aPeer, const Error& aError);
  /// Checks whether this node's own failed probe is evidence on the engine.
  void CheckReachability(Investigation* aInvestigation);
  void OnReachability(const EngineRecord& aEngine, bool aReachesOthers);
  void FinishProbe(const std::string& aEngine, Investigation* aInvestigation);
  void OnRoundOver(const std::string& aEngine);
  /// Concludes probes that got no answer.
  /// @param aLostBy vantage points with evidence; none: too few
  void Decide(const Investigation& aInvestigation, std::optional<LostBy> aLostBy);
  /// @return since when an engine that is about to be probed has been silent.
  TimePoint SilentSince(const std::string& aEngine, std::optional<TimePoint> aReported) const;
  void OnEngineReply(const EngineRecord& aEngine);
  /// @return whether all vantage points that count, up to two, got refused connections.
  bool IsRefused(const Investigation& aInvestigation) const;

  EngineSuspicionsOptions mOptions;
  EngineSuspicionsHooks mHooks;
  std::map<std::string, Investigation> mInvestigations;
  std::map<std::string, EngineRecord> mWaiting; ///< to be probed as soon as requests may be sent
  std::map<std::string, LostEngine> mLost;
  std::map<std::string, TimePoint> mLastReplies; ///< kept for the longest pause of a healthy engine
  std::map<std::string, TimePoint> mAskedOnce;   ///< time of the last status request
  std::uint64_t mAsked = 0;
  std::uint64_t mUndecided = 0;
};

} // namespace pepperbay
