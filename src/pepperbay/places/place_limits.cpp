/// @file
/// @brief What a place agent does about limits that engines name.
///
/// One node counts for the engines of a data centre: the desk that holds the right to, see
/// coordinator/rate_leases.hpp. Whoever has a limit from the engine itself sends there only what
/// that desk has counted, or its own part.

#include "pepperbay/base/hash.hpp"
#include "pepperbay/places/place_agent.hpp"
#include "pepperbay/routing/find_engine.hpp"
#include "place_wire.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// What an engine has said to a desk of another data centre is taken from the desk that counts for
/// it after this, which hears all of its answers.
constexpr std::chrono::seconds kOwnWordFor{ 2 };
/// Limits of a service that are told with one answer; each is some 20 bytes.
constexpr std::size_t kMostTold = 32;
constexpr std::chrono::seconds kRetainEvery{ 5 };

LimitedEngine
Limited(const EngineTarget& aEngine, double aPerSecond)
{
  return { ShortId(aEngine.mId), aEngine.mDataCentre, aPerSecond };
}

} // namespace

bool
PlaceAgent::KnowsLimits() const
{
  return mPlan && (!mBalancer->Limits().IsEmpty() || !mPlan->mOthersLimits.empty());
}

std::optional<double>
PlaceAgent::LimitOf(const EngineTarget& aEngine) const
{
  const std::uint32_t id = ShortId(aEngine.mId);
  if (const auto limit = mBalancer->Limits().AnyLimitOf(id, aEngine.mBorn, Now())) {
    return limit;
  }
  const auto told = mPlan ? mPlan->mOthersLimits.find(id) : EngineLimits::const_iterator();
  return mPlan && told != mPlan->mOthersLimits.end() ? std::optional<double>(told->second)
                                                     : std::nullopt;
}

std::optional<double>
PlaceAgent::LimitElsewhere(const EngineTarget& aEngine) const
{
  const std::uint32_t id = ShortId(aEngine.mId);
  const auto told = mPlan->mOthersLimits.find(id);
  if (told != mPlan->mOthersLimits.end()) {
    return told->second;
  }
  const LimitStatement* own = mBalancer->Limits().Find(id, aEngine.mBorn);
  return own != nullptr && Now() - own->mAnswered < kOwnWordFor ? own->mPerSecond : std::nullopt;
}

bool
PlaceAgent::HasLimits(const std::string& aService) const
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
PlaceAgent::StandingFor(Chooser aChooser, const std::string& aWork, const Claimant& aClaimant)
{
  if (!KnowsLimits()) {
    return nullptr; // choices cost nothing more where no engine has a limit
  }
  return [this, aChooser, aWork, aClaimant](const EngineTarget& aEngine) {
    return StandingOf(aEngine, aChooser, aWork, aClaimant);
  };
}

RateStanding
PlaceAgent::StandingOf(const EngineTarget& aEngine,
                       Chooser aChooser,
                       const std::string& aWork,
                       const Claimant& aClaimant)
{
  const bool counts = mLedger.Counts(aEngine.mDataCentre, Now());
  if (aChooser == Chooser::kDesk && !counts && DeskOf(aEngine.mDataCentre) != nullptr) {
    return LimitElsewhere(aEngine) ? RateStanding::kElsewhere : RateStanding::kFree;
  }
  const auto limit = LimitOf(aEngine);
  if (!limit) {
    return aChooser == Chooser::kOwnPart ? RateStanding::kExhausted : RateStanding::kFree;
  }
  bool may = false;
  if (counts) {
    may = aChooser != Chooser::kOwnPart &&
          mLedger.MayTake(Limited(aEngine, *limit), aWork, aClaimant, Now());
  } else if (aChooser == Chooser::kAlone || aChooser == Chooser::kOwnPart) {
    may = mOwnPart.MayUse(ShortId(aEngine.mId), *limit, mPlan->mListedNodes, Now());
  }
  return may ? RateStanding::kMayTake : RateStanding::kExhausted;
}

std::optional<double>
PlaceAgent::CountRequest(const EngineTarget& aEngine,
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
  if (aChooser == Chooser::kAlone || aChooser == Chooser::kOwnPart) {
    mOwnPart.Use(ShortId(aEngine.mId), Now());
    ++mCounters.mOwnPart;
    return limit;
  }
  return std::nullopt;
}

Duration
PlaceAgent::RefuseLimited(const std::string& aService,
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
PlaceAgent::OnStatement(const EngineTarget& aEngine,
                        const RateGrant& aGrant,
                        const LimitStatement& aStatement)
{
  const std::uint32_t id = ShortId(aEngine.mId);
  const LimitChange change = mBalancer->Limits().OnStatement(id, aStatement);
  NoteChange(id, change, aStatement, "");
  if (!aGrant.mDeskAddress.empty()) {
    if (aGrant.mPerSecond != aStatement.mPerSecond) {
      TellLimit(aGrant.mDeskAddress, aEngine, aGrant, aStatement);
    }
    return change;
  }
  if (change == LimitChange::kNone || !mPlan) {
    return change;
  }
  const AllocatorAddress* desk = mPlan->mIsAllocator ? DeskOf(aEngine.mDataCentre) : UsableDesk();
  if (desk != nullptr) {
    TellLimit(desk->mAddress, aEngine, aGrant, aStatement);
  }
  return change;
}

void
PlaceAgent::TellLimit(const std::string& aAddress,
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
PlaceAgent::OnLimitNote(const proto::PlaceMessage& aMessage)
{
  const proto::LimitNote& note = aMessage.limit();
  if (!IsUsable(note.limit())) {
    ++mCounters.mBadMessages;
    return;
  }
  LimitStatement statement = StatementOf(note.limit(), Now());
  if (note.stamp_ns() != 0) {
    // By this node's own clock, so that answers to requests of several nodes can be ordered.
    statement.mLeft = std::min(TimePoint(std::chrono::nanoseconds(note.stamp_ns())), Now());
    statement.mAnswered = std::min(statement.mLeft + DurationOf(note.took_ns()), Now());
  }
  const LimitChange change = mBalancer->Limits().OnStatement(note.limit().engine(), statement);
  NoteChange(note.limit().engine(), change, statement, aMessage.node());
  const AllocatorAddress* desk =
    note.passed_on() || !mPlan || mLedger.Counts(note.data_centre(), Now())
      ? nullptr
      : DeskOf(note.data_centre());
  if (desk == nullptr) {
    return;
  }
  proto::PlaceMessage message = NewMessage();
  *message.mutable_limit() = note;
  *message.mutable_limit()->mutable_limit() = WireOf(note.limit().engine(), statement, Now());
  message.mutable_limit()->clear_stamp_ns();
  message.mutable_limit()->set_passed_on(true);
  mHooks.mSend(desk->mAddress, message.SerializeAsString());
}

void
PlaceAgent::OnCall(const std::string& aEngine)
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
  const AllocatorAddress* desk = mPlan->mIsAllocator ? DeskOf(engine->mDataCentre) : UsableDesk();
  if (desk != nullptr) {
    proto::PlaceMessage message = NewMessage();
    message.mutable_calls()->add_engines(ShortId(aEngine));
    mHooks.mSend(desk->mAddress, message.SerializeAsString());
  }
}

void
PlaceAgent::OnCallsMade(const proto::PlaceMessage& aMessage)
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
PlaceAgent::TakeGrantedLimit(const proto::PlaceMessage& aMessage, const EngineTarget& aHead)
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
  // The desk has counted nothing, as it does not know yet.
  TellLimit(answer.desk_address(), aHead, {}, *own);
  return false;
}

void
PlaceAgent::FillLimit(const EngineTarget& aHead, proto::PlaceAnswer* aAnswer) const
{
  const std::uint32_t id = ShortId(aHead.mId);
  if (const LimitStatement* known = mBalancer->Limits().Find(id, aHead.mBorn)) {
    *aAnswer->mutable_limit() = WireOf(id, *known, Now());
  }
}

void
PlaceAgent::FillLimited(const std::string& aService, proto::PlaceAnswer* aAnswer) const
{
  const auto add = [&](const EngineTarget& aEngine) {
    const auto limit = LimitOf(aEngine);
    if (limit && static_cast<std::size_t>(aAnswer->limited_size()) < kMostTold) {
      proto::EngineLimit& told = *aAnswer->add_limited();
      told.set_engine(ShortId(aEngine.mId));
      told.set_born_ms(BornMs(aEngine.mBorn));
      told.set_per_second(*limit);
    }
  };
  if (!KnowsLimits()) {
    return;
  }
  // Of plain services all, since nodes choose their engines by themselves.
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
PlaceAgent::TakeLimited(const std::string& aService, const proto::PlaceAnswer& aAnswer)
{
  std::vector<IncarnationLimit> told;
  for (const auto& it : aAnswer.limited()) {
    if (IsUsable(it)) {
      told.push_back({ it.engine(), BornOf(it.born_ms()), it.per_second() });
    }
  }
  mBalancer->Limits().SetReported(aService, std::move(told), Now());
}

void
PlaceAgent::NoteChange(std::uint32_t aEngine,
                       LimitChange aChange,
                       const LimitStatement& aStatement,
                       const std::string& aFrom) const
{
  if (aChange != LimitChange::kNone && mHooks.mOnLimit) {
    mHooks.mOnLimit({ aEngine, aChange, aStatement.mPerSecond, Now() - aStatement.mLeft, aFrom });
  }
}

void
PlaceAgent::RetainLimits()
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
