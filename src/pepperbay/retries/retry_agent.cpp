#include "pepperbay/retries/retry_agent.hpp"

#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

namespace pepperbay {
namespace {

/// Upper bound of the delay of a resent question. Decisions are remembered for this time.
constexpr std::chrono::seconds kMaxResendDelay{ 1 };

} // namespace

RetryAgent::RetryAgent(RetryAgentOptions aOptions, RetryAgentHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mBudgetOwner(mOptions.mLimits, mOptions.mParts)
  , mLocal(mOptions.mNode, mOptions.mLimits, mOptions.mParts)
{
  SetFleet({});
}

void
RetryAgent::SetFleet(RetryFleet aFleet)
{
  mFleet = std::move(aFleet);
  mBudgetOwner.SetLease(mFleet.mLease);
}

void
RetryAgent::SetLimits(const RetryLimits& aLimits)
{
  mOptions.mLimits = aLimits;
  mBudgetOwner.SetLimits(aLimits);
  mLocal.SetLimits(aLimits);
  for (auto& [service, earned] : mEarned) {
    earned.SetOptions(EarnedOptions());
  }
}

EarnedRetries::Options
RetryAgent::EarnedOptions() const
{
  return { mOptions.mLimits.mShare * mOptions.mParts.mEarned, mOptions.mLimits.mWindow };
}

EarnedRetries&
RetryAgent::EarnedOf(const std::string& aService)
{
  const auto it = mEarned.find(aService);
  return it != mEarned.end()
           ? it->second
           : mEarned.emplace(aService, EarnedRetries(EarnedOptions())).first->second;
}

void
RetryAgent::OnRequest(const std::string& aService)
{
  EarnedOf(aService).OnRequest(Now());
}

bool
RetryAgent::MayAskBudgetOwner(const std::string& aService) const
{
  const auto it = mAskNotBefore.find(aService);
  return !mFleet.mBudgetOwner.empty() && mHooks.mSend &&
         (it == mAskNotBefore.end() || Now() >= it->second);
}

bool
RetryAgent::MayTry(const std::string& aService)
{
  const TimePoint now = Now();
  return EarnedOf(aService).MayTake(now) || mBudgetOwner.MayTake(aService, now) ||
         MayAskBudgetOwner(aService) || mLocal.MayTake(aService, mFleet.mNodes, now);
}

void
RetryAgent::Ask(const std::string& aService, Done aDone)
{
  const TimePoint now = Now();
  if (EarnedOf(aService).Take(now)) {
    ++mCounters.mEarned;
    aDone(true);
    return;
  }
  if (mBudgetOwner.Take(aService, now)) {
    ++mCounters.mByBudgetOwner;
    aDone(true);
    return;
  }
  if (mBudgetOwner.OwnsBudget(now) || !MayAskBudgetOwner(aService)) {
    UseLocalShare(aService, aDone);
    return;
  }
  const std::uint64_t id = ++mLastId;
  mPending[id] = { aService, mFleet.mBudgetOwner, std::move(aDone), now, false };
  ++mCounters.mAsked;
  SendQuestion(id);
}

void
RetryAgent::SendQuestion(std::uint64_t aId)
{
  // A copy, since the answer may arrive within the call and erase the pending question.
  const std::string owner = mPending.at(aId).mBudgetOwner;
  proto::PlaceMessage message;
  message.set_node(mOptions.mNode);
  message.set_incarnation(mOptions.mIncarnation);
  auto* ask = message.mutable_retry_ask();
  ask->set_id(aId);
  ask->set_service(mPending.at(aId).mService);
  ask->set_reply_address(mOptions.mAddress);
  mHooks.mSend(owner, message.SerializeAsString());
}

void
RetryAgent::UseLocalShare(const std::string& aService, const Done& aDone)
{
  const bool granted = mLocal.Take(aService, mFleet.mNodes, Now());
  ++(granted ? mCounters.mLocalShare : mCounters.mRefused);
  aDone(granted);
}

void
RetryAgent::OnMessage(const proto::PlaceMessage& aMessage)
{
  if (aMessage.has_retry_ask()) {
    OnQuestion(aMessage);
  } else if (aMessage.has_retry_answer()) {
    OnAnswer(aMessage.retry_answer());
  }
}

void
RetryAgent::OnQuestion(const proto::PlaceMessage& aMessage)
{
  const auto& ask = aMessage.retry_ask();
  proto::PlaceMessage message;
  message.set_node(mOptions.mNode);
  message.set_incarnation(mOptions.mIncarnation);
  auto* answer = message.mutable_retry_answer();
  answer->set_id(ask.id());
  answer->set_incarnation(aMessage.incarnation());
  answer->set_granted(
    DecideOnce({ aMessage.node(), aMessage.incarnation(), ask.id() }, ask.service()));
  if (mHooks.mSend) {
    mHooks.mSend(ask.reply_address(), message.SerializeAsString());
  }
}

bool
RetryAgent::DecideOnce(const QuestionId& aQuestion, const std::string& aService)
{
  const auto before = mDecisions.find(aQuestion);
  if (before != mDecisions.end()) {
    return before->second.mGranted; // resent question
  }
  const bool granted = mBudgetOwner.Take(aService, Now());
  mCounters.mGrantedToOthers += granted ? 1 : 0;
  mDecisions[aQuestion] = { granted, Now() };
  return granted;
}

void
RetryAgent::OnAnswer(const proto::RetryAnswer& aAnswer)
{
  const auto it = mPending.find(aAnswer.id());
  if (it == mPending.end() || aAnswer.incarnation() != mOptions.mIncarnation) {
    return; // duplicate, late, or for a previous incarnation; the grant in it is lost
  }
  const Pending pending = std::move(it->second);
  mPending.erase(it);
  if (aAnswer.granted()) {
    ++mCounters.mByBudgetOwner;
    pending.mDone(true);
    return;
  }
  mAskNotBefore[pending.mService] =
    Now() + mOptions.mBackoff + mOptions.mBackoffPerNode * mFleet.mNodes;
  UseLocalShare(pending.mService, pending.mDone);
}

void
RetryAgent::Tick()
{
  const TimePoint now = Now();
  mLocal.Tick(now);
  for (auto it = mDecisions.begin(); it != mDecisions.end();) {
    it = now - it->second.mAt > kMaxResendDelay ? mDecisions.erase(it) : std::next(it);
  }
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> again;
  for (auto& [id, pending] : mPending) {
    if (now - pending.mSent >= mOptions.mGiveUpAfter) {
      late.push_back(id);
    } else if (!pending.mResent && now - pending.mSent >= mOptions.mResendAfter) {
      pending.mResent = true;
      again.push_back(id);
    }
  }
  for (const auto id : again) {
    SendQuestion(id);
  }
  for (const auto id : late) {
    const auto it = mPending.find(id);
    if (it == mPending.end()) {
      continue;
    }
    const Pending pending = std::move(it->second);
    mPending.erase(it);
    ++mCounters.mTimedOut;
    mAskNotBefore[pending.mService] =
      now + mOptions.mBackoff + mOptions.mBackoffPerNode * mFleet.mNodes;
    UseLocalShare(pending.mService, pending.mDone);
  }
}

} // namespace pepperbay
