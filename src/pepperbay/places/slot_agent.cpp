#include "pepperbay/places/slot_agent.hpp"

#include "pepperbay/base/hash.hpp"
#include "pepperbay/routing/find_engine.hpp"
#include "slot_wire.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// Number of allocators that are asked before a node chooses locally.
constexpr int kMaxAllocators = 2;

/// @return nothing for an answer without a decision.
std::optional<SlotOutcome>
OutcomeOf(proto::PlaceAnswer::Outcome aOutcome)
{
  switch (aOutcome) {
    case proto::PlaceAnswer::GRANTED:
      return SlotOutcome::kGranted;
    case proto::PlaceAnswer::FULL:
      return SlotOutcome::kFull;
    case proto::PlaceAnswer::NO_REPLICA:
      return SlotOutcome::kNoReplica;
    case proto::PlaceAnswer::NO_BUDGET:
      return SlotOutcome::kNoBudget;
    case proto::PlaceAnswer::LIMITED:
      return SlotOutcome::kLimited;
    default:
      return std::nullopt;
  }
}

} // namespace

const char*
ToString(SlotOutcome aOutcome)
{
  switch (aOutcome) {
    case SlotOutcome::kGranted:
      return "granted";
    case SlotOutcome::kFull:
      return "replicas_full";
    case SlotOutcome::kNoReplica:
      return "no_replica";
    case SlotOutcome::kNoBudget:
      return "no_retry_budget";
    case SlotOutcome::kLimited:
      return "engines_limited";
  }
  return "unknown";
}

SlotAgent::SlotAgent(SlotAgentOptions aOptions, SlotAgentHooks aHooks, Balancer* aBalancer)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mBalancer(aBalancer)
  , mTable([this](const std::string& aHead) { mBalancer->OnEnd(aHead); })
  , mLocalShare({ mOptions.mNode })
{
}

void
SlotAgent::SetPlan(std::shared_ptr<const TrafficPlan> aPlan)
{
  mPlan = std::move(aPlan);
  mLedger.SetLeases(mPlan->mRateLeases);
}

void
SlotAgent::SetRetryShare(double aShare)
{
  mOptions.mRetryShare = aShare;
  for (auto& [service, earned] : mEarned) {
    earned.SetOptions(EarnedOptions());
  }
}

EarnedRetries::Options
SlotAgent::EarnedOptions() const
{
  return { mOptions.mRetryShare * RetryParts().mEarned, RetryLimits().mWindow };
}

EarnedRetries&
SlotAgent::EarnedOf(const std::string& aService)
{
  return mEarned.try_emplace(aService, EarnedOptions()).first->second;
}

SlotAgent::Account
SlotAgent::AccountOf(bool aAgain, bool aDrawn, bool aCounted, bool aFound)
{
  if (aAgain) {
    return aDrawn || !aFound ? Account::kNothing : Account::kRetry;
  }
  return aCounted ? Account::kNothing : Account::kRequest;
}

bool
SlotAgent::Count(const std::string& aService, Account aAccount)
{
  switch (aAccount) {
    case Account::kRequest:
      EarnedOf(aService).OnRequest(Now());
      return true;
    case Account::kRetry:
      return EarnedOf(aService).Take(Now());
    case Account::kNothing:
      return true;
  }
  return true;
}

bool
SlotAgent::MayTryAgain(const std::string& aService)
{
  return UsableAllocator() != nullptr || EarnedOf(aService).MayTake(Now());
}

proto::PlaceMessage
SlotAgent::NewMessage() const
{
  proto::PlaceMessage message;
  message.set_node(mOptions.mNode);
  message.set_incarnation(mOptions.mIncarnation);
  return message;
}

const AllocatorAddress*
SlotAgent::UsableAllocator() const
{
  if (!mPlan || mPlan->mIsAllocator || !mHooks.mSend) {
    return nullptr;
  }
  for (const auto& it : mPlan->mAllocators) {
    const auto skippedUntil = mSkippedUntil.find(it.mNode);
    const bool skipped = skippedUntil != mSkippedUntil.end() && Now() < skippedUntil->second;
    if (!skipped && !it.mAddress.empty()) {
      return &it;
    }
  }
  return nullptr;
}

void
SlotAgent::Ask(const SlotRequest& aRequest, Done aDone)
{
  Pending pending;
  pending.mRequest = aRequest;
  pending.mDone = std::move(aDone);
  AskAllocator(++mLastId, std::move(pending));
}

void
SlotAgent::AskAllocator(std::uint64_t aId, Pending aPending)
{
  const AllocatorAddress* allocator =
    aPending.mAllocatorsAsked < kMaxAllocators ? UsableAllocator() : nullptr;
  if (allocator == nullptr) {
    aPending.mDone(
      ChooseLocally(aPending.mRequest, Chooser::kLocal, aPending.mAllocatorsAsked > 0));
    return;
  }
  const SlotRequest& request = aPending.mRequest;
  proto::PlaceMessage message = NewMessage();
  auto* ask = message.mutable_ask();
  ask->set_id(aId);
  ask->set_service(request.mService);
  ask->set_model(request.mModel);
  ask->set_work_us(ToUs(request.mWork));
  ask->set_objective_us(ToUs(request.mObjective));
  for (const auto& it : request.mTried) {
    ask->add_tried(ShortId(it));
  }
  for (const auto& it : mBalancer->Faulty(Now())) {
    ask->add_faulty(ShortId(it));
  }
  for (const auto it : mBalancer->Refusals().Refusing(Now())) {
    ask->add_refusing(it);
  }
  for (const auto it : mBalancer->Failures().Own(Now())) {
    ask->add_failing(it);
  }
  ask->set_again(request.mSecondAttempt);
  ask->set_drawn(request.mBudgetDrawn);
  ask->set_counted(aPending.mAllocatorsAsked > 0);
  ask->set_once(request.mOnce);
  ask->set_urgency(static_cast<std::uint32_t>(std::max(0, request.mClaimant.mUrgency)));
  ask->set_customer(request.mClaimant.mCustomer);
  ask->set_data_centre(mOptions.mDataCentre);
  ask->set_reply_address(mOptions.mAddress);
  aPending.mAllocator = *allocator;
  aPending.mBytes = message.SerializeAsString();
  aPending.mSent = Now();
  aPending.mResent = false;
  ++aPending.mAllocatorsAsked;
  ++mCounters.mAsked;
  const std::string address = allocator->mAddress;
  const std::string bytes = aPending.mBytes;
  mPending[aId] =
    std::move(aPending); // stored before sending, since the answer may arrive within the call
  mHooks.mSend(address, bytes);
}

SlotAgent::Choice
SlotAgent::Choose(const Query& aQuery) const
{
  Choice choice;
  const ServiceSpec* service =
    mPlan && mPlan->mRoutes ? mPlan->mRoutes->FindService(aQuery.mService) : nullptr;
  if (service == nullptr) {
    return choice;
  }
  bool full = false;
  bool limited = false;
  if (service->mPool) {
    const auto picked = mBalancer->PickReplica(*mPlan, *service, aQuery.mReplica, Now());
    choice.mReplica = picked.mReplica;
    choice.mHead = picked.mReplica != nullptr ? &picked.mReplica->mHead : nullptr;
    full = picked.mFull;
    limited = picked.mLimited;
  } else {
    const auto picked = mBalancer->PickEngine(
      *mPlan,
      aQuery.mService,
      { aQuery.mReplica.mTried, aQuery.mOnce, aQuery.mReplica.mStanding, false },
      Now());
    choice.mHead = picked.mEngine;
    limited = picked.mLimited;
  }
  choice.mOutcome = choice.mHead != nullptr ? SlotOutcome::kGranted
                    : full                  ? SlotOutcome::kFull
                    : limited               ? SlotOutcome::kLimited
                                            : SlotOutcome::kNoReplica;
  return choice;
}

SlotResult
SlotAgent::ChooseLocally(const SlotRequest& aRequest, Chooser aChooser, bool aCounted)
{
  mCounters.mWithoutAllocator +=
    mPlan && !mPlan->mIsAllocator && aChooser == Chooser::kLocal ? 1 : 0;
  const std::string work = WorkOf(aRequest.mService, aRequest.mModel);
  Query query;
  query.mService = aRequest.mService;
  query.mOnce = aRequest.mOnce;
  query.mReplica.mModel = aRequest.mModel;
  query.mReplica.mDataCentre = mOptions.mDataCentre;
  query.mReplica.mObjective = aRequest.mObjective;
  query.mReplica.mTried = ShortIds(aRequest.mTried);
  query.mReplica.mStanding = StandingFor(aChooser, work, aRequest.mClaimant);
  SlotResult result;
  const Choice choice = Choose(query);
  result.mOutcome = choice.mOutcome;
  if (result.mOutcome == SlotOutcome::kLimited && aChooser == Chooser::kLocal) {
    ++mCounters.mLimited;
    result.mRetryAfter = RefuseLimited(aRequest.mService, aRequest.mModel, aRequest.mClaimant);
  }
  if (!Count(
        aRequest.mService,
        AccountOf(
          aRequest.mSecondAttempt, aRequest.mBudgetDrawn, aCounted, choice.mHead != nullptr))) {
    result.mOutcome = SlotOutcome::kNoBudget;
  }
  if (result.mOutcome == SlotOutcome::kGranted) {
    result.mGroup = choice.mReplica != nullptr ? choice.mReplica->mGroup : "";
    result.mEpoch = choice.mReplica != nullptr ? choice.mReplica->mEpoch : 0;
    result.mHead = *choice.mHead;
    result.mViewAge = EnginesAge(*mPlan, Now());
    result.mRate.mPerSecond = CountRequest(result.mHead, aChooser, work, aRequest.mClaimant);
    result.mRate.mAt = Now();
    mBalancer->OnPrompt(result.mHead.mId, aRequest.mWork, Now());
  }
  return result;
}

void
SlotAgent::End(const SlotTicket& aTicket)
{
  const auto held = mHeld.find(aTicket.mAllocator);
  if (held != mHeld.end() && held->second.mIds.erase(aTicket.mId) != 0) {
    held->second.mEnded.push_back(aTicket.mId);
  }
}

void
SlotAgent::OnMessage(const std::string& aBytes)
{
  proto::PlaceMessage message;
  if (!message.ParseFromString(aBytes)) {
    ++mCounters.mBadMessages;
    return;
  }
  switch (message.body_case()) {
    case proto::PlaceMessage::kAsk:
      OnAsk(message);
      return;
    case proto::PlaceMessage::kAnswer:
      OnAnswer(message);
      return;
    case proto::PlaceMessage::kEnds:
      OnEnds(message);
      return;
    case proto::PlaceMessage::kHeld:
      OnHeld(message);
      return;
    case proto::PlaceMessage::kLimit:
      OnLimitNote(message);
      return;
    case proto::PlaceMessage::kCalls:
      OnCallsMade(message);
      return;
    case proto::PlaceMessage::kRetryAsk:
    case proto::PlaceMessage::kRetryAnswer:
      if (mHooks.mOnRetry) {
        mHooks.mOnRetry(message);
      }
      return;
    case proto::PlaceMessage::BODY_NOT_SET:
      ++mCounters.mBadMessages; // message type of a newer version
      return;
  }
}

bool
SlotAgent::IsOutdated(const proto::PlaceAnswer& aAnswer, const std::string& aService) const
{
  const auto replicas = mPlan->mReplicas.find(aService);
  if (replicas == mPlan->mReplicas.end()) {
    return false;
  }
  return std::any_of(
    replicas->second.begin(), replicas->second.end(), [&](const PoolReplica& aReplica) {
      return aReplica.mGroup == aAnswer.group() &&
             (aReplica.mEpoch > aAnswer.epoch() ||
              (aReplica.mEpoch == aAnswer.epoch() && aReplica.mLost));
    });
}

void
SlotAgent::OnAnswer(const proto::PlaceMessage& aMessage)
{
  const proto::PlaceAnswer& answer = aMessage.answer();
  if (!IsUsable(answer.limit())) {
    ++mCounters.mBadMessages;
    return; // the question times out and is sent again
  }
  const auto outcome = OutcomeOf(answer.outcome());
  for (const auto it : answer.failing()) {
    mBalancer->Failures().OnAllocatorReport(it, Now());
  }
  SlotTicket ticket;
  if (outcome == SlotOutcome::kGranted) {
    ticket = { aMessage.node(), answer.id() };
    Held& held = mHeld[ticket.mAllocator];
    held.mAddress = answer.desk_address();
    if (!held.mIds.insert(ticket.mId).second) {
      return; // duplicate answer; the slot is in use
    }
  }
  const auto it = mPending.find(answer.id());
  if (it == mPending.end()) {
    End(ticket); // late answer
    return;
  }
  Pending pending = std::move(it->second);
  mPending.erase(it);
  ApplyLimited(pending.mRequest.mService, answer);
  const bool useless = !outcome || (*outcome == SlotOutcome::kGranted &&
                                    IsOutdated(answer, pending.mRequest.mService));
  if (useless) {
    End(ticket);
    pending.mDone(ChooseLocally(pending.mRequest, Chooser::kLocal, true));
    return;
  }
  if (*outcome == SlotOutcome::kGranted) {
    OnGranted(aMessage, ticket, std::move(pending));
    return;
  }
  SlotResult result;
  // An allocator with the rate lease sends a retry time; without one, the local share applies.
  if (*outcome == SlotOutcome::kLimited && answer.retry_after_us() == 0) {
    result = ChooseLocally(pending.mRequest, Chooser::kLocalShare, true);
  }
  if (result.mOutcome != SlotOutcome::kGranted) {
    result.mOutcome = *outcome;
    result.mRetryAfter = std::chrono::microseconds(answer.retry_after_us());
    mCounters.mLimited += *outcome == SlotOutcome::kLimited ? 1 : 0;
  }
  pending.mDone(result);
}

void
SlotAgent::OnGranted(const proto::PlaceMessage& aMessage,
                     const SlotTicket& aTicket,
                     Pending aPending)
{
  const proto::PlaceAnswer& answer = aMessage.answer();
  SlotResult result;
  result.mOutcome = SlotOutcome::kGranted;
  result.mGroup = answer.group();
  result.mEpoch = answer.epoch();
  result.mHead = {
    answer.head(), answer.address(), answer.head_data_centre(), BornOf(answer.head_born_ms())
  };
  // An allocator that is cut off from the store knows less of the engines than this node.
  const bool leaves = FindDeparture(*mPlan, result.mHead.mId, result.mHead.mBorn) != nullptr;
  mCounters.mGrantsOfLeaving += leaves ? 1 : 0;
  if (leaves || !ApplyGrantedLimit(aMessage, result.mHead)) {
    End(aTicket);
    aPending.mRequest.mTried.insert(result.mHead.mId);
    AskAllocator(++mLastId, std::move(aPending));
    return;
  }
  result.mTicket = aTicket;
  if (answer.has_engines_age_ms()) {
    result.mViewAge = std::chrono::milliseconds(answer.engines_age_ms());
  }
  if (answer.limit().has_per_second()) {
    result.mRate.mPerSecond = answer.limit().per_second();
  }
  result.mRate.mAllocatorAddress = answer.desk_address();
  result.mRate.mStampNs = answer.stamp_ns();
  result.mRate.mAt = Now();
  mBalancer->OnPrompt(result.mHead.mId, aPending.mRequest.mWork, Now());
  aPending.mDone(result);
}

void
SlotAgent::SendEnded()
{
  const TimePoint now = Now();
  const std::uint64_t upTo = mPending.empty() ? mLastId : mPending.begin()->first - 1;
  for (auto& [allocator, held] : mHeld) {
    if (!held.mEnded.empty()) {
      proto::PlaceMessage message = NewMessage();
      for (const auto id : std::exchange(held.mEnded, {})) {
        message.mutable_ends()->add_ids(id);
      }
      mHooks.mSend(held.mAddress, message.SerializeAsString());
      held.mReportedEmpty = false;
    }
    const bool quiet = held.mIds.empty() && held.mReportedEmpty;
    if (quiet || now - held.mReportedAt < mOptions.mReportHeldEvery) {
      continue;
    }
    proto::PlaceMessage message = NewMessage();
    message.mutable_held()->set_up_to(upTo);
    for (const auto id : held.mIds) {
      message.mutable_held()->add_ids(id);
    }
    mHooks.mSend(held.mAddress, message.SerializeAsString());
    held.mReportedAt = now;
    held.mReportedEmpty = held.mIds.empty();
  }
}

void
SlotAgent::Resend(const Pending& aPending)
{
  proto::PlaceMessage message;
  message.ParseFromString(aPending.mBytes);
  message.mutable_ask()->set_counted(true); // counted with the first question, if that arrived
  mHooks.mSend(aPending.mAllocator.mAddress, message.SerializeAsString());
}

void
SlotAgent::Tick()
{
  const TimePoint now = Now();
  SendEnded();
  mTable.Tick(now);
  mLedger.Tick(now);
  mLocalShare.Tick(now);
  RetainLimits();
  std::vector<std::uint64_t> late;
  for (auto& [id, pending] : mPending) {
    if (now - pending.mSent >= mOptions.mGiveUpAfter) {
      late.push_back(id);
    } else if (!pending.mResent && now - pending.mSent >= mOptions.mResendAfter) {
      pending.mResent = true;
      ++mCounters.mResent;
      Resend(pending);
    }
  }
  for (const auto id : late) {
    Pending pending = std::move(mPending.at(id));
    mPending.erase(id);
    ++mCounters.mTimedOut;
    mSkippedUntil[pending.mAllocator.mNode] = now + mOptions.mSkipFor;
    // The answer may have been lost, with a slot granted: report the held slots to this allocator.
    Held& held = mHeld[pending.mAllocator.mNode];
    held.mAddress = pending.mAllocator.mAddress;
    held.mReportedEmpty = false;
    // A new id, so that a late answer of this allocator is not taken for an answer of the next.
    AskAllocator(++mLastId, std::move(pending));
  }
}

} // namespace pepperbay
