#include "pepperbay/placement/engine_state.hpp"

#include <algorithm>

namespace pepperbay {

const char*
ToString(OrderProof aProof)
{
  switch (aProof) {
    case OrderProof::kDone:
      return "done";
    case OrderProof::kAccepted:
      return "accepted";
    case OrderProof::kAlreadySo:
      return "already_so";
    case OrderProof::kIgnored:
      return "ignored";
    case OrderProof::kRefused:
      return "refused";
    case OrderProof::kUnknown:
      return "unknown";
  }
  return "unknown";
}

EngineState
EngineState::JustStarted()
{
  EngineState state;
  state.mExact = true;
  return state;
}

bool
EngineState::IsIn(const std::string& aGroup, std::uint64_t aEpoch) const
{
  return mPosition.mName == aGroup && mPosition.mEpoch == aEpoch;
}

std::optional<std::uint64_t>
EngineState::Accepted() const
{
  return mExact ? std::optional(mAccepted) : std::nullopt;
}

bool
EngineState::ShouldQuery(TimePoint aNow) const
{
  return !mExact && aNow >= mQueryFrom;
}

OrderProof
EngineState::ProofOf(const GroupOrder& aOrder, OrderAnswer aAnswer) const
{
  if (aAnswer == OrderAnswer::kNone || aAnswer == OrderAnswer::kUnread) {
    return OrderProof::kUnknown;
  }
  if (aAnswer != OrderAnswer::kBegun && aAnswer != OrderAnswer::kHolds) {
    return OrderProof::kRefused;
  }
  switch (aOrder.mKind) {
    case GroupOrderKind::kJoin:
      return ProofOfJoin(aOrder, aAnswer);
    case GroupOrderKind::kLeave:
      return ProofOfLeave(aOrder);
    case GroupOrderKind::kOpen:
    case GroupOrderKind::kStage:
      break;
  }
  // An order that is still in progress is answered with kBegun again.
  return aAnswer == OrderAnswer::kBegun ? OrderProof::kAccepted : OrderProof::kAlreadySo;
}

OrderProof
EngineState::ProofOfJoin(const GroupOrder& aOrder, OrderAnswer aAnswer) const
{
  if (aOrder.mEpoch < mPosition.mEpoch || aOrder.mEpoch <= mLeft) {
    return OrderProof::kIgnored; // a late answer; the engine has moved since
  }
  // A join that carries a number is sent only if the engine is not in that membership at that
  // number.
  return aAnswer == OrderAnswer::kBegun && aOrder.mAccepted ? OrderProof::kDone
                                                            : OrderProof::kAlreadySo;
}

OrderProof
EngineState::ProofOfLeave(const GroupOrder& aOrder) const
{
  // An engine gives the same answer if it left by this order, had left before, or is in a newer
  // membership that the order does not concern. If the last case counted as having left, the engine
  // would be ordered into another replica while it serves.
  if (IsIn(aOrder.mGroup, aOrder.mEpoch)) {
    return aOrder.mAccepted ? OrderProof::kDone : OrderProof::kAlreadySo;
  }
  return mPosition.mName.empty() ? OrderProof::kAlreadySo : OrderProof::kIgnored;
}

OrderProof
EngineState::OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow)
{
  const OrderProof proof = ProofOf(aOrder, aAnswer);
  switch (proof) {
    case OrderProof::kDone:
      // The engine had accepted exactly the number of orders that the order carries, so it was at
      // the known position that belongs to that number and is now at the ordered one.
      Apply(aOrder);
      mAccepted = *aOrder.mAccepted + 1;
      mExact = true;
      break;
    case OrderProof::kAccepted:
      InvalidateAccepted(mAccepted + 1, aNow);
      mQueryFrom = mMinAcceptedUntil;
      break;
    case OrderProof::kAlreadySo:
      if (MovesEngine(aOrder)) {
        Apply(aOrder);
        InvalidateAccepted(mAccepted, aNow);
      }
      break;
    case OrderProof::kRefused:
      OnRefused(aOrder, aNow);
      break;
    case OrderProof::kUnknown:
      InvalidateAccepted(mAccepted, aNow);
      break;
    case OrderProof::kIgnored:
      break;
  }
  return proof;
}

bool
EngineState::MovesEngine(const GroupOrder& aOrder) const
{
  const bool in = IsIn(aOrder.mGroup, aOrder.mEpoch);
  return (aOrder.mKind == GroupOrderKind::kJoin && !in) ||
         (aOrder.mKind == GroupOrderKind::kLeave && in);
}

void
EngineState::Apply(const GroupOrder& aOrder)
{
  if (aOrder.mKind == GroupOrderKind::kLeave) {
    mLeft = std::max(mLeft, mPosition.mEpoch);
    mPosition = GroupPlace{};
    return;
  }
  const auto rank = std::find(aOrder.mMembers.begin(), aOrder.mMembers.end(), aOrder.mEngine);
  mPosition = { aOrder.mGroup,
                aOrder.mEpoch,
                static_cast<int>(rank - aOrder.mMembers.begin()),
                GroupPhase::kJoining };
}

void
EngineState::OnRefused(const GroupOrder& aOrder, TimePoint aNow)
{
  const bool moves =
    aOrder.mKind == GroupOrderKind::kJoin || aOrder.mKind == GroupOrderKind::kLeave;
  const bool outdated = mExact && aOrder.mAccepted && *aOrder.mAccepted < mAccepted;
  if (moves && !outdated) {
    InvalidateAccepted(aOrder.mAccepted ? *aOrder.mAccepted + 1 : mAccepted, aNow);
  }
}

void
EngineState::InvalidateAccepted(std::uint64_t aMinAccepted, TimePoint aNow)
{
  mExact = false;
  mMinAccepted = std::max(aNow < mMinAcceptedUntil ? mMinAccepted : 0, aMinAccepted);
  mMinAcceptedUntil = aNow + kMaxReportAge;
  mQueryFrom = aNow;
}

void
EngineState::OnReport(const GroupPlace& aPosition, std::uint64_t aAccepted, TimePoint aNow)
{
  const bool fewer =
    mExact ? aAccepted < mAccepted : aNow < mMinAcceptedUntil && aAccepted < mMinAccepted;
  const bool older = !aPosition.mName.empty() && aPosition.mEpoch < mPosition.mEpoch;
  if (fewer || older) {
    return; // older than the known state
  }
  mPosition = aPosition;
  mAccepted = aAccepted;
  mExact = true;
}

void
EngineState::OnRegistration(const GroupPlace& aPosition)
{
  if (aPosition.mName == mRegistered.mName && aPosition.mEpoch == mRegistered.mEpoch) {
    return; // unchanged, so possibly long out of date
  }
  mRegistered = aPosition;
  if (!aPosition.mName.empty() && aPosition.mEpoch > std::max(mLeft, mPosition.mEpoch)) {
    mPosition = aPosition;
    mExact = false;
  }
}

} // namespace pepperbay
