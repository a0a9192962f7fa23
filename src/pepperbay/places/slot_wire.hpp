/// @file
/// @brief Conversion between fields of slot messages and typed values.
#pragma once

#include "pepperbay/routing/engine_limit_table.hpp"

#include <algorithm>
#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

inline std::uint64_t
BornMs(WallTime aBorn)
{
  return static_cast<std::uint64_t>(aBorn.time_since_epoch().count());
}

inline WallTime
BornOf(std::uint64_t aMs)
{
  return WallTime(std::chrono::milliseconds(aMs));
}

inline std::uint64_t
ToNs(Duration aDuration)
{
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, aDuration.count()));
}

inline std::uint32_t
ToUs(Duration aWork)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aWork).count());
}

/// @return a duration field of a message, limited to one hour.
inline Duration
DurationOf(std::uint64_t aNs)
{
  constexpr Duration kMax = std::chrono::hours(1);
  return Duration(std::min<std::uint64_t>(aNs, static_cast<std::uint64_t>(kMax.count())));
}

/// @return a key for requests that the same engines can serve.
inline std::string
WorkOf(const std::string& aService, const std::string& aModel)
{
  return aService + "/" + aModel;
}

inline proto::EngineLimit
WireOf(std::uint32_t aEngine, const LimitStatement& aStatement, TimePoint aNow)
{
  proto::EngineLimit limit;
  limit.set_engine(aEngine);
  limit.set_born_ms(BornMs(aStatement.mBorn));
  if (aStatement.mPerSecond) {
    limit.set_per_second(*aStatement.mPerSecond);
  }
  limit.set_left_ago_ns(ToNs(aNow - aStatement.mLeft));
  limit.set_answered_ago_ns(ToNs(aNow - aStatement.mAnswered));
  return limit;
}

/// @return whether the limit in a message is valid.
inline bool
IsUsable(const proto::EngineLimit& aLimit)
{
  return !aLimit.has_per_second() || IsLimit(aLimit.per_second());
}

/// @param aLimit valid by IsUsable()
inline LimitStatement
StatementOf(const proto::EngineLimit& aLimit, TimePoint aNow)
{
  LimitStatement statement;
  statement.mBorn = BornOf(aLimit.born_ms());
  if (aLimit.has_per_second()) {
    statement.mPerSecond = aLimit.per_second();
  }
  statement.mLeft = aNow - DurationOf(aLimit.left_ago_ns());
  statement.mAnswered = aNow - DurationOf(aLimit.answered_ago_ns());
  return statement;
}

} // namespace pepperbay
