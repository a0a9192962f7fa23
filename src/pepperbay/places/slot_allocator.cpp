/// @file
/// @brief The allocator side of a slot agent: grants slots to other nodes.

#include "pepperbay/base/hash.hpp"
#include "pepperbay/places/slot_agent.hpp"
#include "pepperbay/routing/find_engine.hpp"
#include "slot_wire.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

proto::PlaceAnswer::Outcome
WireOf(SlotOutcome aOutcome)
{
  switch (aOutcome) {
    case SlotOutcome::kGranted:
      return proto::PlaceAnswer::GRANTED;
    case SlotOutcome::kFull:
      return proto::PlaceAnswer::FULL;
    case SlotOutcome::kNoReplica:
      return proto::PlaceAnswer::NO_REPLICA;
    case SlotOutcome::kNoBudget:
      return proto::PlaceAnswer::NO_BUDGET;
    case SlotOutcome::kLimited:
      return proto::PlaceAnswer::LIMITED;
  }
  return proto::PlaceAnswer::UNKNOWN;
}

} // namespace

SlotAgent::Choice
SlotAgent::FindByHead(const std::string& aService, const std::string& aHead) const
{
  if (const auto replicas = mPlan->mReplicas.find(aService); replicas != mPlan->mReplicas.end()) {
    for (const auto& it : replicas->second) {
      if (it.mHead.mId == aHead) {
        return { SlotOutcome::kGranted, &it.mHead, &it };
      }
    }
  }
  if (const auto engines = mPlan->mEngines.find(aService); engines != mPlan->mEngines.end()) {
    for (const auto& it : engines->second) {
      if (it.mId == aHead) {
        return { SlotOutcome::kGranted, &it, nullptr };
      }
    }
  }
  return {};
}

void
SlotAgent::OnAsk(const proto::PlaceMessage& aMessage)
{
  const proto::PlaceAsk& ask = aMessage.ask();
  const bool passedOn = !ask.asker().empty();
  const Asker asker = passedOn
                        ? Asker{ ask.asker(), ask.asker_incarnation(), ask.reply_address() }
                        : Asker{ aMessage.node(), aMessage.incarnation(), ask.reply_address() };
  proto::PlaceMessage message = NewMessage();
  proto::PlaceAnswer* answer = message.mutable_answer();
  answer->set_id(ask.id());
  answer->set_desk_address(mOptions.mAddress);
  answer->set_stamp_ns(ToNs(Now().time_since_epoch()));
  const std::string* before = mTable.Find(asker.mNode, asker.mIncarnation, ask.id());
  const Choice granted = before != nullptr && mPlan ? FindByHead(ask.service(), *before) : Choice();
  if (granted.mHead != nullptr) {
    Grant(granted, asker, ask, answer); // resent question: the answer was lost or is late
    mHooks.mSend(asker.mAddress, message.SerializeAsString());
    return;
  }
  if (!mPlan || !mPlan->mRoutes) {
    answer->set_outcome(proto::PlaceAnswer::NOT_READY);
    mHooks.mSend(asker.mAddress, message.SerializeAsString());
    return;
  }
  ApplyReports(asker, ask, answer);
  const Chooser chooser = passedOn ? Chooser::kForwarded : Chooser::kAllocator;
  const Claimant claimant{ static_cast<int>(ask.urgency()), ask.customer() };
  const std::string work = WorkOf(ask.service(), ask.model());
  Query query;
  query.mService = ask.service();
  query.mOnce = ask.once();
  query.mReplica = { ask.model(),
                     passedOn ? mOptions.mDataCentre : ask.data_centre(),
                     std::chrono::microseconds(ask.objective_us()),
                     { ask.tried().begin(), ask.tried().end() },
                     { ask.faulty().begin(), ask.faulty().end() },
                     StandingFor(chooser, work, claimant) };
  Choice choice = Choose(query);
  const Account account =
    AccountOf(ask.again(), ask.drawn(), ask.counted(), choice.mHead != nullptr);
  if (!passedOn && !Count(ask.service(), account)) {
    choice = { SlotOutcome::kNoBudget, nullptr, nullptr };
  }
  const bool here =
    passedOn || choice.mHead == nullptr || mLedger.Counts(choice.mHead->mDataCentre, Now());
  const AllocatorAddress* allocator = here ? nullptr : AllocatorOf(choice.mHead->mDataCentre);
  if (allocator != nullptr) {
    Forward(ask, asker, *allocator);
    return;
  }
  answer->set_outcome(WireOf(choice.mOutcome));
  if (choice.mHead != nullptr) {
    CountRequest(*choice.mHead, chooser, work, claimant);
    Grant(choice, asker, ask, answer);
  } else if (choice.mOutcome == SlotOutcome::kLimited) {
    answer->set_retry_after_us(ToUs(RefuseLimited(ask.service(), ask.model(), claimant)));
  }
  mHooks.mSend(asker.mAddress, message.SerializeAsString());
}

void
SlotAgent::ApplyReports(const Asker& aAsker,
                        const proto::PlaceAsk& aAsk,
                        proto::PlaceAnswer* aAnswer)
{
  for (const auto it : aAsk.refusing()) {
    mBalancer->Refusals().OnPeerReport(it, Now());
  }
  for (const auto it : aAsk.failing()) {
    mBalancer->Failures().OnReport(aAsker.mNode, it, Now());
  }
  for (const auto it : mBalancer->Failures().Agreed(Now())) {
    aAnswer->add_failing(it);
  }
  FillLimited(aAsk.service(), aAnswer);
}

void
SlotAgent::Grant(const Choice& aChoice,
                 const Asker& aAsker,
                 const proto::PlaceAsk& aAsk,
                 proto::PlaceAnswer* aAnswer)
{
  const EngineTarget& head = *aChoice.mHead;
  if (mTable.Find(aAsker.mNode, aAsker.mIncarnation, aAsk.id()) == nullptr) {
    ++mCounters.mGranted;
    mTable.Grant(aAsker.mNode, aAsker.mIncarnation, aAsk.id(), head.mId, Now());
    mBalancer->OnStart(head.mId);
    mBalancer->OnPrompt(head.mId, std::chrono::microseconds(aAsk.work_us()), Now());
  }
  aAnswer->set_outcome(proto::PlaceAnswer::GRANTED);
  if (aChoice.mReplica != nullptr) {
    aAnswer->set_group(aChoice.mReplica->mGroup);
    aAnswer->set_epoch(aChoice.mReplica->mEpoch);
  }
  aAnswer->set_head(head.mId);
  aAnswer->set_address(head.mAddress);
  aAnswer->set_head_born_ms(BornMs(head.mBorn));
  aAnswer->set_head_data_centre(head.mDataCentre);
  if (const auto age = EnginesAge(*mPlan, Now())) {
    aAnswer->set_engines_age_ms(static_cast<std::uint32_t>(ToMs(*age).count()));
  }
  FillLimit(head, aAnswer);
}

const AllocatorAddress*
SlotAgent::AllocatorOf(const std::string& aDataCentre) const
{
  const auto it = mPlan->mAllocatorsOf.find(aDataCentre);
  const bool reachable =
    mHooks.mSend && it != mPlan->mAllocatorsOf.end() && !it->second.mAddress.empty();
  return reachable ? &it->second : nullptr;
}

void
SlotAgent::Forward(const proto::PlaceAsk& aAsk,
                   const Asker& aAsker,
                   const AllocatorAddress& aAllocator)
{
  proto::PlaceMessage message = NewMessage();
  *message.mutable_ask() = aAsk;
  message.mutable_ask()->set_asker(aAsker.mNode);
  message.mutable_ask()->set_asker_incarnation(aAsker.mIncarnation);
  ++mCounters.mForwarded;
  mHooks.mSend(aAllocator.mAddress, message.SerializeAsString());
}

void
SlotAgent::OnEnds(const proto::PlaceMessage& aMessage)
{
  for (const auto id : aMessage.ends().ids()) {
    mTable.End(aMessage.node(), aMessage.incarnation(), id);
  }
}

void
SlotAgent::OnHeld(const proto::PlaceMessage& aMessage)
{
  const auto& held = aMessage.held();
  mTable.KeepOnly(aMessage.node(),
                  aMessage.incarnation(),
                  held.up_to(),
                  { held.ids().begin(), held.ids().end() },
                  Now());
}

} // namespace pepperbay
