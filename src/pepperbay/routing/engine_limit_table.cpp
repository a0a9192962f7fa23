#include "pepperbay/routing/engine_limit_table.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {
namespace {

/// Delay from an engine's answer until the node that counts its requests has been notified.
constexpr std::chrono::milliseconds kNotificationDelay{ 500 };

/// @return whether a statement allows fewer requests than the other.
bool
IsLower(const LimitStatement& aStatement, const LimitStatement& aThan)
{
  return aStatement.mPerSecond && (!aThan.mPerSecond || *aStatement.mPerSecond < *aThan.mPerSecond);
}

/// If the order of two statements is uncertain, the lower limit counts.
bool
IsNewer(const LimitStatement& aStatement, const LimitStatement& aThan)
{
  if (IsLower(aStatement, aThan)) {
    return aStatement.mLeft + EngineLimitTable::kOrderSlack > aThan.mLeft;
  }
  return aStatement.mLeft > aThan.mLeft + EngineLimitTable::kOrderSlack &&
         aStatement.mAnswered > aThan.mAnswered;
}

LimitChange
ChangeOf(const LimitStatement& aBefore, const LimitStatement& aNow)
{
  if (!aNow.mPerSecond) {
    return aBefore.mPerSecond ? LimitChange::kOver : LimitChange::kNone;
  }
  return aBefore.mPerSecond ? LimitChange::kChanged : LimitChange::kLearned;
}

} // namespace

const char*
ToString(LimitChange aChange)
{
  switch (aChange) {
    case LimitChange::kNone:
      return "none";
    case LimitChange::kLearned:
      return "learned";
    case LimitChange::kChanged:
      return "changed";
    case LimitChange::kOver:
      return "over";
  }
  return "unknown";
}

bool
IsLimit(double aPerSecond)
{
  return aPerSecond >= 0 && aPerSecond <= kMaxLimit; // NaN fails both comparisons
}

LimitChange
EngineLimitTable::OnStatement(std::uint32_t aEngine, const LimitStatement& aStatement)
{
  const auto it = mEntries.find(aEngine);
  if (it == mEntries.end()) {
    if (!aStatement.mPerSecond) {
      return LimitChange::kNone; // engines without a limit use no memory
    }
    mEntries[aEngine] = aStatement;
    return LimitChange::kLearned;
  }
  LimitStatement& known = it->second;
  const bool sameStart = aStatement.mBorn == known.mBorn;
  if (sameStart && aStatement.mPerSecond == known.mPerSecond) {
    known.mLeft = std::max(known.mLeft, aStatement.mLeft);
    known.mAnswered = std::max(known.mAnswered, aStatement.mAnswered);
    return LimitChange::kNone;
  }
  if (sameStart ? !IsNewer(aStatement, known) : aStatement.mBorn < known.mBorn) {
    return LimitChange::kNone;
  }
  const LimitStatement before = known;
  known = aStatement;
  return ChangeOf(before, known);
}

void
EngineLimitTable::SetReported(const std::string& aService,
                              std::vector<IncarnationLimit> aLimits,
                              TimePoint aNow)
{
  if (aLimits.empty()) {
    mReportedLimits.erase(aService);
  } else {
    mReportedLimits[aService] = { std::move(aLimits), aNow };
  }
}

void
EngineLimitTable::Retain(const std::set<std::uint32_t>& aEngines)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = aEngines.count(it->first) == 0 ? mEntries.erase(it) : std::next(it);
  }
}

const LimitStatement*
EngineLimitTable::Find(std::uint32_t aEngine, WallTime aBorn) const
{
  const auto it = mEntries.find(aEngine);
  return it != mEntries.end() && it->second.mBorn == aBorn ? &it->second : nullptr;
}

std::optional<double>
EngineLimitTable::LimitOf(std::uint32_t aEngine, WallTime aBorn) const
{
  const LimitStatement* known = Find(aEngine, aBorn);
  return known != nullptr ? known->mPerSecond : std::nullopt;
}

std::optional<double>
EngineLimitTable::AnyLimitOf(std::uint32_t aEngine, WallTime aBorn, TimePoint aNow) const
{
  const LimitStatement* known = Find(aEngine, aBorn);
  if (known != nullptr && known->mPerSecond) {
    return known->mPerSecond;
  }
  for (const auto& [service, reported] : mReportedLimits) {
    // The reporting node may not know yet what the engine has stated to this node since.
    const bool older = known != nullptr && reported.mAt < known->mAnswered + kNotificationDelay;
    if (older || aNow - reported.mAt >= kReportLifetime) {
      continue;
    }
    for (const auto& it : reported.mLimits) {
      if (it.mEngine == aEngine && it.mBorn == aBorn) {
        return it.mPerSecond;
      }
    }
  }
  return std::nullopt;
}

std::vector<IncarnationLimit>
EngineLimitTable::Limits() const
{
  std::vector<IncarnationLimit> limits;
  for (const auto& [engine, statement] : mEntries) {
    if (statement.mPerSecond) {
      limits.push_back({ engine, statement.mBorn, *statement.mPerSecond });
    }
  }
  return limits;
}

std::size_t
EngineLimitTable::Limited() const
{
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [](const auto& aEntry) {
      return aEntry.second.mPerSecond.has_value();
    }));
}

} // namespace pepperbay
