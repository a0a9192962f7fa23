/// @file
/// @brief One node's use of the retry budget that all nodes share. Pure: no I/O and no clock of its
/// own.
///
/// In a large fleet, the budget divided by the number of nodes is less than one second attempt per
/// node, which is none. So a node spends what its own requests have earned, and asks for more when
/// it needs it: one node, the budget owner, grants second attempts from the slack to all nodes.
/// Where no budget owner answers, nodes have small local shares.
#pragma once

#include "pepperbay/admission/earned_retries.hpp"
#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/retries/local_retries.hpp"
#include "pepperbay/retries/retry_budget_owner.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <pepperbay.pb.h>
#include <string>
#include <tuple>

namespace pepperbay {

struct RetryAgentOptions
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mAddress; ///< for answers of the budget owner; `IP:port`, UDP
  RetryLimits mLimits;
  RetryParts mParts;
  /// A question is sent again once if it is not answered within this time.
  Duration mResendAfter = std::chrono::milliseconds(20);
  /// A question is abandoned after this time: a round trip between regions and the resend.
  Duration mGiveUpAfter = std::chrono::milliseconds(120);
  /// After a refusal or an unanswered question, the budget owner is not asked for this time plus
  /// mBackoffPerNode for each node, since in a large fleet all nodes may be refused at once.
  Duration mBackoff = std::chrono::milliseconds(100);
  Duration mBackoffPerNode = std::chrono::microseconds(500);
};

struct RetryAgentHooks
{
  NowFn mNow;
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSend;
};

/// What an agent knows of the other nodes.
struct RetryFleet
{
  std::string mBudgetOwner; ///< address; empty: none is known, or it is this node
  RetryBudgetLease mLease = RetryBudgetLease::Always();
  int mNodes = 1; ///< nodes that may be running, this one included
};

struct RetryCounters
{
  std::uint64_t mEarned = 0;        ///< granted as earned by this node's own requests
  std::uint64_t mByBudgetOwner = 0; ///< granted by the budget owner, this node or another
  std::uint64_t mLocalShare = 0;    ///< granted from the local share
  std::uint64_t mRefused = 0;
  std::uint64_t mAsked = 0;           ///< questions sent to the budget owner
  std::uint64_t mTimedOut = 0;        ///< questions that were not answered in time
  std::uint64_t mGrantedToOthers = 0; ///< granted to other nodes, as the budget owner
};

/// Not thread-safe: used by one thread.
///
/// @code
/// agent.OnRequest("search");
/// if (agent.MayTry("search")) {
///   agent.Ask("search", [&](bool aGranted) { if (aGranted) { sendAgain(); } });
/// }
/// @endcode
class RetryAgent
{
public:
  using Done = std::function<void(bool aGranted)>;

  RetryAgent(RetryAgentOptions aOptions, RetryAgentHooks aHooks);

  void SetFleet(RetryFleet aFleet);
  void SetLimits(const RetryLimits& aLimits);

  /// A request of a caller has arrived; not called for its second attempts.
  void OnRequest(const std::string& aService);
  /// @return whether a second attempt may be granted now.
  bool MayTry(const std::string& aService);
  /// @param aDone called exactly once, perhaps before this returns
  void Ask(const std::string& aService, Done aDone);

  /// Handle a question to the budget owner, or its answer.
  void OnMessage(const proto::PlaceMessage& aMessage);
  /// Handle resends and time-outs; call every few tens of milliseconds.
  void Tick();

  const RetryCounters& Counters() const { return mCounters; }

private:
  struct Pending
  {
    std::string mService;
    std::string mBudgetOwner; ///< address of the node that was asked
    Done mDone;
    TimePoint mSent{};
    bool mResent = false;
  };

  /// Identifies a question among those of all nodes.
  struct QuestionId
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mId = 0;

    friend bool operator<(const QuestionId& aLeft, const QuestionId& aRight)
    {
      return std::tie(aLeft.mNode, aLeft.mIncarnation, aLeft.mId) <
             std::tie(aRight.mNode, aRight.mIncarnation, aRight.mId);
    }
  };
  struct Decision
  {
    bool mGranted = false;
    TimePoint mAt{};
  };

  TimePoint Now() const { return mHooks.mNow(); }
  EarnedRetries& EarnedOf(const std::string& aService);
  EarnedRetries::Options EarnedOptions() const;
  bool MayAskBudgetOwner(const std::string& aService) const;
  void SendQuestion(std::uint64_t aId);
  /// The budget owner has granted nothing: use the local share.
  void UseLocalShare(const std::string& aService, const Done& aDone);
  /// Decide on a question of another node; a resent question gets the first decision.
  bool DecideOnce(const QuestionId& aQuestion, const std::string& aService);
  void OnQuestion(const proto::PlaceMessage& aMessage);
  void OnAnswer(const proto::RetryAnswer& aAnswer);

  RetryAgentOptions mOptions;
  RetryAgentHooks mHooks;
  RetryFleet mFleet;
  RetryBudgetOwner mBudgetOwner;
  LocalRetries mLocal;
  std::map<std::string, EarnedRetries> mEarned;   ///< by service
  std::map<std::string, TimePoint> mAskNotBefore; ///< of the budget owner, by service
  std::map<std::uint64_t, Pending> mPending;      ///< by question
  std::map<QuestionId, Decision> mDecisions;      ///< recent decisions as the budget owner
  std::uint64_t mLastId = 0;
  RetryCounters mCounters;
};

} // namespace pepperbay
