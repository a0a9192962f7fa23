/// @file
/// @brief Handling of rate limits by a slot agent.
///
/// One node counts requests for the engines of a data centre: the allocator that holds the rate
/// lease, see coordinator/rate_leases.hpp. A node that knows a limit from the engine itself sends
/// only requests that this allocator has counted, or requests from its local share.

#include "pepperbay/base/hash.hpp"
#include "pepperbay/places/slot_agent.hpp"
#include "pepperbay/routing/find_engine.hpp"
#include "slot_wire.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// After this time, a statement that an engine made to an allocator of another data centre is
/// replaced by the limit from the allocator that counts for the engine, since that one receives all
/// statements.
constexpr std::chrono::seconds kOwnStatementLifetime{ 2 };
/// Maximum number of limits in one answer; each takes some 20 bytes.
constexpr std::size_t kMaxLimited = 32;
constexpr std::chrono::seconds kRetainEvery{ 5 };

LimitedEngine
Limited(const EngineTarget& aEngine, double aPerSecond)
{
  return { ShortId(aEngine.mId), aEngine.mDataCentre, aPerSecond };
}

} // namespace

bool
SlotAgent::KnowsLimits() const
{
  return mPlan && (!mBalancer->Limits().IsEmpty() || !mPlan->mOthersLimits.empty());
}

std::optional<double>
SlotAgent::LimitOf(const EngineTarget& aEngine) const
{
  const std::uint32_t id = ShortId(aEngine.mId);
  if (const auto limit = mBalancer->Limits().AnyLimitOf(id, aEngine.mBorn, Now())) {
    return limit;
  }
  const auto reported = mPlan ? mPlan->mOthersLimits.find(id) : EngineLimits::const_iterator();
  return mPlan && reported != mPlan->mOthersLimits.end() ? std::optional<double>(reported->second)
                                                         : std::nullopt;
}

std::optional<double>
SlotAgent::LimitElsewhere(const EngineTarget& aEngine) const
{
  const std::uint32_t id = ShortId(aEngine.mId);
  const auto reported = mPlan->mOthersLimits.find(id);
  if (reported != mPlan->mOthersLimits.end()) {
    return reported->second;
  }
  const LimitStatement* own = mBalancer->Limits().Find(id, aEngine.mBorn);
  return own != nullptr && Now() - own->mAnswered < kOwnStatementLifetime ? own->mPerSecond
                                                                          : std::nullopt;
}

bool
SlotAgent::HasLimits(const std::string& aService) const
{
  if (!KnowsLimits()) {
    return false;
  }
  const auto engines = mPlan->mEngines.find(aService);
  return engines != mPlan->mEngines.end() &&
         std::any_of(engines->second.begin(),
                     engines->second.end(),
                     [this](const EngineTarget& aIt) { return LimitOf(aIt).has_value(); });
}

RateStandingFn
SlotAgent::StandingFor(Chooser aChooser, const std::string& aWork, const Claimant& aClaimant)
{
  if (!KnowsLimits()) {
    return nullptr; // no added cost where no engine has a limit
  }
  return [this, aChooser, aWork, aClaimant](const EngineTarget& aEngine) {
    return StandingOf(aEngine, aChooser, aWork, aClaimant);
  };
}

RateStanding
SlotAgent::StandingOf(const EngineTarget& aEngine,
                      Chooser aChooser,
                      const std::string& aWork,
                      const Claimant& aClaimant)
{
  const bool counts = mLedger.Counts(aEngine.mDataCentre, Now());
  if (aChooser == Chooser::kAllocator && !counts && AllocatorOf(aEngine.mDataCentre) != nullptr) {
    return LimitElsewhere(aEngine) ? RateStanding::kElsewhere : RateStanding::kFree;
  }
  const auto limit = LimitOf(aEngine);
  if (!limit) {
    return aChooser == Chooser::kLocalShare ? RateStanding::kExhausted : RateStanding::kFree;
  }
  bool may = false;
  if (counts) {
    may = aChooser != Chooser::kLocalShare &&
          mLedger.MayTake(Limited(aEngine, *limit), aWork, aClaimant, Now());
  } else if (aChooser == Chooser::kLocal || aChooser == Chooser::kLocalShare) {
    may = mLocalShare.MayUse(ShortId(aEngine.mId), *limit, mPlan->mListedNodes, Now());
  }
  return may ? RateStanding::kMayTake : RateStanding::kExhausted;
}

std::optional<double>
SlotAgent::CountRequest(const EngineTarget& aEngine,
                        Chooser aChooser,
                        const std::string& aWork,
                        const Claimant& aClaimant)
{
  const auto limit = KnowsLimits() ? LimitOf(aEngine) : std::nullopt;
  if (!limit) {
    return std::nullopt;
  }
  if (mLedger.Take(Limited(aEngine, *limit), aWork, aClaimant, Now())) {
    ++mCounters.mCounted;
    return limit;
  }
  if (aChooser == Chooser::kLocal || aChooser == Chooser::kLocalShare) {
    mLocalShare.Use(ShortId(aEngine.mId), Now());
    ++mCounters.mLocalShare;
    return limit;
  }
  return std::nullopt;
}

Duration
SlotAgent::RefuseLimited(const std::string& aService,
                         const std::string& aModel,
                         const Claimant& aClaimant)
{
  double perSecond = 0;
  bool counts = false;
  const auto add = [&](const EngineTarget& aEngine) {
    const auto limit = LimitOf(aEngine);
    if (limit && mLedger.Counts(aEngine.mDataCentre, Now())) {
      counts = true;
      perSecond += *limit;
    }
  };
  if (const auto it = mPlan->mReplicas.find(aService); it != mPlan->mReplicas.end()) {
    for (const auto& replica : it->second) {
      if (replica.mModel == aModel && !replica.mSuspended && !replica.mLost) {
        add(replica.mHead);
      }
    }
  }
  if (const auto it = mPlan->mEngines.find(aService); it != mPlan->mEngines.end()) {
    std::for_each(it->second.begin(), it->second.end(), add);
  }
  return counts ? mLedger.Refuse(WorkOf(aService, aModel), perSecond, aClaimant, Now())
                : Duration::zero();
}

LimitChange
SlotAgent::OnStatement(const EngineTarget& aEngine,
                       const RateGrant& aGrant,
                       const LimitStatement& aStatement)
{
  const std::uint32_t id = ShortId(aEngine.mId);
  const LimitChange change = mBalancer->Limits().OnStatement(id, aStatement);
  NoteChange(id, change, aStatement, "");
  if (!aGrant.mAllocatorAddress.empty()) {
    if (aGrant.mPerSecond != aStatement.mPerSecond) {
      SendLimit(aGrant.mAllocatorAddress, aEngine, aGrant, aStatement);
    }
    return change;
  }
  if (change == LimitChange::kNone || !mPlan) {
    return change;
  }
  const AllocatorAddress* allocator =
    mPlan->mIsAllocator ? AllocatorOf(aEngine.mDataCentre) : UsableAllocator();
  if (allocator != nullptr) {
    SendLimit(allocator->mAddress, aEngine, aGrant, aStatement);
  }
  return change;
}

void
SlotAgent::SendLimit(const std::string& aAddress,
                     const EngineTarget& aEngine,
                     const RateGrant& aGrant,
                     const LimitStatement& aStatement)
{
  proto::PlaceMessage message = NewMessage();
  proto::LimitNote& note = *message.mutable_limit();
  *note.mutable_limit() = WireOf(ShortId(aEngine.mId), aStatement, Now());
  note.set_data_centre(aEngine.mDataCentre);
  if (aGrant.mStampNs != 0) {
    note.set_stamp_ns(aGrant.mStampNs);
    note.set_took_ns(ToNs(aStatement.mAnswered - aGrant.mAt));
  }
  mHooks.mSend(aAddress, message.SerializeAsString());
}

void
SlotAgent::OnLimitNote(const proto::PlaceMessage& aMessage)
{
  const proto::LimitNote& note = aMessage.limit();
  if (!IsUsable(note.limit())) {
    ++mCounters.mBadMessages;
    return;
  }
  LimitStatement statement = StatementOf(note.limit(), Now());
  if (note.stamp_ns() != 0) {
    // Converted to the clock of this node, so that answers to requests of several nodes can be
    // ordered.
    statement.mLeft = std::min(TimePoint(std::chrono::nanoseconds(note.stamp_ns())), Now());
    statement.mAnswered = std::min(statement.mLeft + DurationOf(note.took_ns()), Now());
  }
  const LimitChange change = mBalancer->Limits().OnStatement(note.limit().engine(), statement);
  NoteChange(note.limit().engine(), change, statement, aMessage.node());
  const AllocatorAddress* allocator =
    note.passed_on() || !mPlan || mLedger.Counts(note.data_centre(), Now())
      ? nullptr
      : AllocatorOf(note.data_centre());
  if (allocator == nullptr) {
    return;
  }
  proto::PlaceMessage message = NewMessage();
  *message.mutable_limit() = note;
  *message.mutable_limit()->mutable_limit() = WireOf(note.limit().engine(), statement, Now());
  message.mutable_limit()->clear_stamp_ns();
  message.mutable_limit()->set_passed_on(true);
  mHooks.mSend(allocator->mAddress, message.SerializeAsString());
}

void
SlotAgent::OnCall(const std::string& aEngine)
{
  const EngineTarget* engine = KnowsLimits() ? FindEngine(*mPlan, ShortId(aEngine)) : nullptr;
  const auto limit = engine != nullptr ? LimitOf(*engine) : std::nullopt;
  if (!limit) {
    return;
  }
  if (mLedger.Counts(engine->mDataCentre, Now())) {
    mLedger.Spend(Limited(*engine, *limit), Now());
    return;
  }
  const AllocatorAddress* allocator =
    mPlan->mIsAllocator ? AllocatorOf(engine->mDataCentre) : UsableAllocator();
  if (allocator != nullptr) {
    proto::PlaceMessage message = NewMessage();
    message.mutable_calls()->add_engines(ShortId(aEngine));
    mHooks.mSend(allocator->mAddress, message.SerializeAsString());
  }
}

void
SlotAgent::OnCallsMade(const proto::PlaceMessage& aMessage)
{
  for (const auto it : aMessage.calls().engines()) {
    const EngineTarget* engine = mPlan ? FindEngine(*mPlan, it) : nullptr;
    const auto limit = engine != nullptr ? LimitOf(*engine) : std::nullopt;
    if (limit) {
      mLedger.Spend(Limited(*engine, *limit), Now());
    }
  }
}

bool
SlotAgent::ApplyGrantedLimit(const proto::PlaceMessage& aMessage, const EngineTarget& aHead)
{
  const proto::PlaceAnswer& answer = aMessage.answer();
  const std::uint32_t id = ShortId(aHead.mId);
  EngineLimitTable& limits = mBalancer->Limits();
  if (answer.has_limit() && !answer.limit().has_per_second()) {
    const LimitStatement over = StatementOf(answer.limit(), Now());
    NoteChange(id, limits.OnStatement(id, over), over, aMessage.node());
  }
  const LimitStatement* own = limits.Find(id, aHead.mBorn);
  if (answer.limit().has_per_second() || own == nullptr || !own->mPerSecond) {
    return true;
  }
  // The allocator has not counted the request, since it does not know the limit yet.
  SendLimit(answer.desk_address(), aHead, {}, *own);
  return false;
}

void
SlotAgent::FillLimit(const EngineTarget& aHead, proto::PlaceAnswer* aAnswer) const
{
  const std::uint32_t id = ShortId(aHead.mId);
  if (const LimitStatement* known = mBalancer->Limits().Find(id, aHead.mBorn)) {
    *aAnswer->mutable_limit() = WireOf(id, *known, Now());
  }
}

void
SlotAgent::FillLimited(const std::string& aService, proto::PlaceAnswer* aAnswer) const
{
  const auto add = [&](const EngineTarget& aEngine) {
    const auto limit = LimitOf(aEngine);
    if (limit && static_cast<std::size_t>(aAnswer->limited_size()) < kMaxLimited) {
      proto::EngineLimit& reported = *aAnswer->add_limited();
      reported.set_engine(ShortId(aEngine.mId));
      reported.set_born_ms(BornMs(aEngine.mBorn));
      reported.set_per_second(*limit);
    }
  };
  if (!KnowsLimits()) {
    return;
  }
  // All plain services, since nodes choose engines of these services by themselves.
  for (const auto& [name, engines] : mPlan->mEngines) {
    std::for_each(engines.begin(), engines.end(), add);
  }
  if (const auto it = mPlan->mReplicas.find(aService); it != mPlan->mReplicas.end()) {
    for (const auto& replica : it->second) {
      add(replica.mHead);
    }
  }
}

void
SlotAgent::ApplyLimited(const std::string& aService, const proto::PlaceAnswer& aAnswer)
{
  std::vector<IncarnationLimit> reported;
  for (const auto& it : aAnswer.limited()) {
    if (IsUsable(it)) {
      reported.push_back({ it.engine(), BornOf(it.born_ms()), it.per_second() });
    }
  }
  mBalancer->Limits().SetReported(aService, std::move(reported), Now());
}

void
SlotAgent::NoteChange(std::uint32_t aEngine,
                      LimitChange aChange,
                      const LimitStatement& aStatement,
                      const std::string& aFrom) const
{
  if (aChange != LimitChange::kNone && mHooks.mOnLimit) {
    mHooks.mOnLimit({ aEngine, aChange, aStatement.mPerSecond, Now() - aStatement.mLeft, aFrom });
  }
}

void
SlotAgent::RetainLimits()
{
  if (Now() < mRetainDue || !mPlan || !mPlan->mComplete || mBalancer->Limits().IsEmpty()) {
    return;
  }
  mRetainDue = Now() + kRetainEvery;
  std::set<std::uint32_t> listed;
  for (const auto& [id, born] : mPlan->mIncarnations) {
    listed.insert(ShortId(id));
  }
  for (const auto& [service, engines] : mPlan->mEngines) {
    for (const auto& it : engines) {
      listed.insert(ShortId(it.mId));
    }
  }
  for (const auto& [service, replicas] : mPlan->mReplicas) {
    for (const auto& it : replicas) {
      listed.insert(ShortId(it.mHead.mId));
    }
  }
  mBalancer->Limits().Retain(listed);
}

} // namespace pepperbay
