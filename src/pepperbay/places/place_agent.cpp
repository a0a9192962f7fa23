#include "pepperbay/places/place_agent.hpp"

#include "pepperbay/base/hash.hpp"
#include "place_wire.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// A question goes to this many desks at most before a node chooses alone.
constexpr int kMostDesks = 2;

/// @return nothing where the answer decides nothing.
std::optional<PlaceOutcome>
OutcomeOf(proto::PlaceAnswer::Outcome aOutcome)
{
  switch (aOutcome) {
    case proto::PlaceAnswer::GRANTED:
      return PlaceOutcome::kGranted;
    case proto::PlaceAnswer::FULL:
      return PlaceOutcome::kFull;
    case proto::PlaceAnswer::NO_REPLICA:
      return PlaceOutcome::kNoReplica;
    case proto::PlaceAnswer::NO_BUDGET:
      return PlaceOutcome::kNoBudget;
    case proto::PlaceAnswer::LIMITED:
      return PlaceOutcome::kLimited;
    default:
      return std::nullopt;
  }
}

} // namespace

const char*
ToString(PlaceOutcome aOutcome)
{
  switch (aOutcome) {
    case PlaceOutcome::kGranted:
      return "granted";
    case PlaceOutcome::kFull:
      return "replicas_full";
    case PlaceOutcome::kNoReplica:
      return "no_replica";
    case PlaceOutcome::kNoBudget:
      return "no_retry_budget";
    case PlaceOutcome::kLimited:
      return "engines_limited";
  }
  return "unknown";
}

PlaceAgent::PlaceAgent(PlaceAgentOptions aOptions, PlaceAgentHooks aHooks, Balancer* aBalancer)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mBalancer(aBalancer)
  , mBook([this](const std::string& aHead) { mBalancer->OnEnd(aHead); })
  , mOwnPart({ mOptions.mNode })
{
}

void
PlaceAgent::SetPlan(std::shared_ptr<const TrafficPlan> aPlan)
{
  mPlan = std::move(aPlan);
  mLedger.SetLeases(mPlan->mRateLeases);
}

void
PlaceAgent::SetRetryShare(double aShare)
{
  mOptions.mRetryShare = aShare;
  for (auto& [service, earned] : mEarned) {
    earned.SetOptions(EarnedOptions());
  }
}

EarnedRetries::Options
PlaceAgent::EarnedOptions() const
{
  return { mOptions.mRetryShare * RetryParts().mEarned, RetryLimits().mWindow };
}

EarnedRetries&
PlaceAgent::EarnedOf(const std::string& aService)
{
  return mEarned.try_emplace(aService, EarnedOptions()).first->second;
}

PlaceAgent::Account
PlaceAgent::AccountOf(bool aAgain, bool aDrawn, bool aCounted, bool aFound)
{
  if (aAgain) {
    return aDrawn || !aFound ? Account::kNothing : Account::kRetry;
  }
  return aCounted ? Account::kNothing : Account::kRequest;
}

bool
PlaceAgent::Count(const std::string& aService, Account aAccount)
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
PlaceAgent::MayTryAgain(const std::string& aService)
{
  return UsableDesk() != nullptr || EarnedOf(aService).MayTake(Now());
}

proto::PlaceMessage
PlaceAgent::NewMessage() const
{
  proto::PlaceMessage message;
  message.set_node(mOptions.mNode);
  message.set_incarnation(mOptions.mIncarnation);
  return message;
}

const AllocatorAddress*
PlaceAgent::UsableDesk() const
{
  if (!mPlan || mPlan->mIsAllocator || !mHooks.mSend) {
    return nullptr;
  }
  for (const auto& it : mPlan->mAllocators) {
    const auto passOver = mPassOver.find(it.mNode);
    const bool passed = passOver != mPassOver.end() && Now() < passOver->second;
    if (!passed && !it.mAddress.empty()) {
      return &it;
    }
  }
  return nullptr;
}

void
PlaceAgent::Ask(const PlaceRequest& aRequest, Done aDone)
{
  Pending pending;
  pending.mRequest = aRequest;
  pending.mDone = std::move(aDone);
  AskDesk(++mLastId, std::move(pending));
}

void
PlaceAgent::AskDesk(std::uint64_t aId, Pending aPending)
{
  const AllocatorAddress* desk = aPending.mDesksAsked < kMostDesks ? UsableDesk() : nullptr;
  if (desk == nullptr) {
    aPending.mDone(ChooseAlone(aPending.mRequest, Chooser::kAlone, aPending.mDesksAsked > 0));
    return;
  }
  const PlaceRequest& request = aPending.mRequest;
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
  ask->set_again(request.mAgain);
  ask->set_drawn(request.mDrawn);
  ask->set_counted(aPending.mDesksAsked > 0);
  ask->set_once(request.mOnce);
  ask->set_urgency(static_cast<std::uint32_t>(std::max(0, request.mClaimant.mUrgency)));
  ask->set_customer(request.mClaimant.mCustomer);
  ask->set_data_centre(mOptions.mDataCentre);
  ask->set_reply_address(mOptions.mAddress);
  aPending.mDesk = *desk;
  aPending.mBytes = message.SerializeAsString();
  aPending.mSent = Now();
  aPending.mResent = false;
  ++aPending.mDesksAsked;
  ++mCounters.mAsked;
  const std::string address = desk->mAddress;
  const std::string bytes = aPending.mBytes;
  mPending[aId] = std::move(aPending); // before the answer, which may come within the call
  mHooks.mSend(address, bytes);
}

PlaceAgent::Choice
PlaceAgent::Choose(const Query& aQuery) const
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
    const auto picked =
      mBalancer->PickEngine(*mPlan,
                            aQuery.mService,
                            { aQuery.mReplica.mTried, aQuery.mOnce, aQuery.mReplica.mStanding },
                            Now());
    choice.mHead = picked.mEngine;
    limited = picked.mLimited;
  }
  choice.mOutcome = choice.mHead != nullptr ? PlaceOutcome::kGranted
                    : full                  ? PlaceOutcome::kFull
                    : limited               ? PlaceOutcome::kLimited
                                            : PlaceOutcome::kNoReplica;
  return choice;
}

Place
PlaceAgent::ChooseAlone(const PlaceRequest& aRequest, Chooser aChooser, bool aCounted)
{
  mCounters.mAlone += mPlan && !mPlan->mIsAllocator && aChooser == Chooser::kAlone ? 1 : 0;
  const std::string work = WorkOf(aRequest.mService, aRequest.mModel);
  Query query;
  query.mService = aRequest.mService;
  query.mOnce = aRequest.mOnce;
  query.mReplica.mModel = aRequest.mModel;
  query.mReplica.mDataCentre = mOptions.mDataCentre;
  query.mReplica.mObjective = aRequest.mObjective;
  query.mReplica.mTried = ShortIds(aRequest.mTried);
  query.mReplica.mStanding = StandingFor(aChooser, work, aRequest.mClaimant);
  Place place;
  const Choice choice = Choose(query);
  place.mOutcome = choice.mOutcome;
  if (place.mOutcome == PlaceOutcome::kLimited && aChooser == Chooser::kAlone) {
    ++mCounters.mLimited;
    place.mRetryAfter = RefuseLimited(aRequest.mService, aRequest.mModel, aRequest.mClaimant);
  }
  if (!Count(aRequest.mService,
             AccountOf(aRequest.mAgain, aRequest.mDrawn, aCounted, choice.mHead != nullptr))) {
    place.mOutcome = PlaceOutcome::kNoBudget;
  }
  if (place.mOutcome == PlaceOutcome::kGranted) {
    place.mGroup = choice.mReplica != nullptr ? choice.mReplica->mGroup : "";
    place.mEpoch = choice.mReplica != nullptr ? choice.mReplica->mEpoch : 0;
    place.mHead = *choice.mHead;
    place.mRate.mPerSecond = CountRequest(place.mHead, aChooser, work, aRequest.mClaimant);
    place.mRate.mAt = Now();
    mBalancer->OnPrompt(place.mHead.mId, aRequest.mWork, Now());
  }
  return place;
}

void
PlaceAgent::End(const PlaceTicket& aTicket)
{
  const auto held = mHeld.find(aTicket.mDesk);
  if (held != mHeld.end() && held->second.mIds.erase(aTicket.mId) != 0) {
    held->second.mEnded.push_back(aTicket.mId);
  }
}

void
PlaceAgent::OnMessage(const std::string& aBytes)
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
      ++mCounters.mBadMessages; // of a newer version
      return;
  }
}

bool
PlaceAgent::KnowsBetter(const proto::PlaceAnswer& aAnswer, const std::string& aService) const
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
PlaceAgent::OnAnswer(const proto::PlaceMessage& aMessage)
{
  const proto::PlaceAnswer& answer = aMessage.answer();
  if (!IsUsable(answer.limit())) {
    ++mCounters.mBadMessages;
    return; // the question is asked again
  }
  const auto outcome = OutcomeOf(answer.outcome());
  for (const auto it : answer.failing()) {
    mBalancer->Failures().OnAllocatorReport(it, Now());
  }
  PlaceTicket ticket;
  if (outcome == PlaceOutcome::kGranted) {
    ticket = { aMessage.node(), answer.id() };
    Held& held = mHeld[ticket.mDesk];
    held.mAddress = answer.desk_address();
    if (!held.mIds.insert(ticket.mId).second) {
      return; // the answer came twice, and the place is in use
    }
  }
  const auto it = mPending.find(answer.id());
  if (it == mPending.end()) {
    End(ticket); // it came too late
    return;
  }
  Pending pending = std::move(it->second);
  mPending.erase(it);
  TakeLimited(pending.mRequest.mService, answer);
  const bool useless = !outcome || (*outcome == PlaceOutcome::kGranted &&
                                    KnowsBetter(answer, pending.mRequest.mService));
  if (useless) {
    End(ticket);
    pending.mDone(ChooseAlone(pending.mRequest, Chooser::kAlone, true));
    return;
  }
  if (*outcome == PlaceOutcome::kGranted) {
    OnGranted(aMessage, ticket, std::move(pending));
    return;
  }
  Place place;
  // A desk that counts names a time; where none does, nodes have their own parts.
  if (*outcome == PlaceOutcome::kLimited && answer.retry_after_us() == 0) {
    place = ChooseAlone(pending.mRequest, Chooser::kOwnPart, true);
  }
  if (place.mOutcome != PlaceOutcome::kGranted) {
    place.mOutcome = *outcome;
    place.mRetryAfter = std::chrono::microseconds(answer.retry_after_us());
    mCounters.mLimited += *outcome == PlaceOutcome::kLimited ? 1 : 0;
  }
  pending.mDone(place);
}

void
PlaceAgent::OnGranted(const proto::PlaceMessage& aMessage,
                      const PlaceTicket& aTicket,
                      Pending aPending)
{
  const proto::PlaceAnswer& answer = aMessage.answer();
  Place place;
  place.mOutcome = PlaceOutcome::kGranted;
  place.mGroup = answer.group();
  place.mEpoch = answer.epoch();
  place.mHead = {
    answer.head(), answer.address(), answer.head_data_centre(), BornOf(answer.head_born_ms())
  };
  if (!TakeGrantedLimit(aMessage, place.mHead)) {
    End(aTicket);
    aPending.mRequest.mTried.insert(place.mHead.mId);
    AskDesk(++mLastId, std::move(aPending));
    return;
  }
  place.mTicket = aTicket;
  if (answer.limit().has_per_second()) {
    place.mRate.mPerSecond = answer.limit().per_second();
  }
  place.mRate.mDeskAddress = answer.desk_address();
  place.mRate.mStampNs = answer.stamp_ns();
  place.mRate.mAt = Now();
  mBalancer->OnPrompt(place.mHead.mId, aPending.mRequest.mWork, Now());
  aPending.mDone(place);
}

void
PlaceAgent::TellEnds()
{
  const TimePoint now = Now();
  const std::uint64_t upTo = mPending.empty() ? mLastId : mPending.begin()->first - 1;
  for (auto& [desk, held] : mHeld) {
    if (!held.mEnded.empty()) {
      proto::PlaceMessage message = NewMessage();
      for (const auto id : std::exchange(held.mEnded, {})) {
        message.mutable_ends()->add_ids(id);
      }
      mHooks.mSend(held.mAddress, message.SerializeAsString());
      held.mToldEmpty = false;
    }
    const bool quiet = held.mIds.empty() && held.mToldEmpty;
    if (quiet || now - held.mToldAt < mOptions.mTellHeldEvery) {
      continue;
    }
    proto::PlaceMessage message = NewMessage();
    message.mutable_held()->set_up_to(upTo);
    for (const auto id : held.mIds) {
      message.mutable_held()->add_ids(id);
    }
    mHooks.mSend(held.mAddress, message.SerializeAsString());
    held.mToldAt = now;
    held.mToldEmpty = held.mIds.empty();
  }
}

void
PlaceAgent::Resend(const Pending& aPending)
{
  proto::PlaceMessage message;
  message.ParseFromString(aPending.mBytes);
  message.mutable_ask()->set_counted(true); // by the first one, if it has arrived
  mHooks.mSend(aPending.mDesk.mAddress, message.SerializeAsString());
}

void
PlaceAgent::Tick()
{
  const TimePoint now = Now();
  TellEnds();
  mBook.Tick(now);
  mLedger.Tick(now);
  mOwnPart.Tick(now);
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
    ++mCounters.mGivenUp;
    mPassOver[pending.mDesk.mNode] = now + mOptions.mPassOver;
    // Its answer may have been lost, and the place be kept for nobody.
    Held& held = mHeld[pending.mDesk.mNode];
    held.mAddress = pending.mDesk.mAddress;
    held.mToldEmpty = false;
    // Under a new number, or a late answer of this desk would be taken for the next one's.
    AskDesk(++mLastId, std::move(pending));
  }
}

} // namespace pepperbay
