/// @file
/// @brief One node's part in the budget of second attempts that all nodes share. Pure.
///
/// Divided by the number of nodes, the budget is less than one second attempt a node in a large
/// fleet, which is none. So a node spends what its own requests have earned, and asks for the rest
/// when it needs it: one node, the keeper, gives out the slack for all. Where no keeper answers,
/// nodes have small parts of their own.
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
  std::string mAddress; ///< where this node hears the keeper; `IP:port`, UDP
  RetryLimits mLimits;
  RetryParts mParts;
  /// A question without an answer is sent again after this.
  Duration mResendAfter = std::chrono::milliseconds(20);
  /// And given up after this: a round trip between regions and the resend.
  Duration mGiveUpAfter = std::chrono::milliseconds(120);
  /// A keeper that has given nothing, or has not answered, is asked again after this, and after
  /// mAskApart for each node more: in a large fleet all may be refused at once.
  Duration mBackoff = std::chrono::milliseconds(100);
  Duration mBackoffPerNode = std::chrono::microseconds(500);
};

struct RetryAgentHooks
{
  NowFn mNow;
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSend;
};

/// What an agent knows of the others.
struct RetryFleet
{
  std::string mBudgetOwner; ///< address; empty: none is known, or this node itself
  RetryBudgetLease mLease = RetryBudgetLease::Always();
  int mNodes = 1; ///< that may be at work, this one included
};

struct RetryCounters
{
  std::uint64_t mEarned = 0;        ///< granted as earned by this node's own requests
  std::uint64_t mByBudgetOwner = 0; ///< granted by the keeper, this node or another
  std::uint64_t mLocalShare = 0;    ///< granted without the keeper
  std::uint64_t mRefused = 0;
  std::uint64_t mAsked = 0;           ///< questions to the keeper
  std::uint64_t mTimedOut = 0;        ///< of these, without an answer
  std::uint64_t mGrantedToOthers = 0; ///< to other nodes
};

/// Used by one thread.
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

  /// A request of a caller has come; not for its second attempts.
  void OnRequest(const std::string& aService);
  /// @return whether it is worth asking for a second attempt now.
  bool MayTry(const std::string& aService);
  /// @param aDone called exactly once, perhaps before this returns
  void Ask(const std::string& aService, Done aDone);

  /// A question to the keeper, or its answer.
  void OnMessage(const proto::PlaceMessage& aMessage);
  /// Do what is due; call every few tens of milliseconds.
  void Tick();

  const RetryCounters& Counters() const { return mCounters; }

private:
  struct Pending
  {
    std::string mService;
    std::string mBudgetOwner; ///< address of the one that was asked
    Done mDone;
    TimePoint mSent{};
    bool mResent = false;
  };

  /// Tells a question from all others.
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
  /// The keeper has given nothing: this node's own part is left.
  void UseLocalShare(const std::string& aService, const Done& aDone);
  /// Decide for another node, once for each question.
  bool DecideOnce(const QuestionId& aQuestion, const std::string& aService);
  void OnQuestion(const proto::PlaceMessage& aMessage);
  void OnAnswer(const proto::RetryAnswer& aAnswer);

  RetryAgentOptions mOptions;
  RetryAgentHooks mHooks;
  RetryFleet mFleet;
  RetryBudgetOwner mBudgetOwner;
  LocalRetries mLocal;
  std::map<std::string, EarnedRetries> mEarned;   ///< by service
  std::map<std::string, TimePoint> mAskNotBefore; ///< the keeper, by service
  std::map<std::uint64_t, Pending> mPending;      ///< by question
  std::map<QuestionId, Decision> mDecisions;      ///< as the keeper, lately
  std::uint64_t mLastId = 0;
  RetryCounters mCounters;
};

} // namespace pepperbay
