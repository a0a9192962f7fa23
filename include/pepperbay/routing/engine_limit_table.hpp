/// @file
/// @brief Rate limits (requests per second from all nodes together) that engines state in their
/// answers. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

/// Requests per second; a larger stated limit is invalid.
constexpr double kMaxLimit = 1e6;

/// The rate limit stated in one answer of an engine.
struct LimitStatement
{
  WallTime mBorn{};                 ///< start time of the engine's incarnation
  std::optional<double> mPerSecond; ///< none: the engine states no limit
  TimePoint mLeft{};                ///< when the request was sent
  TimePoint mAnswered{};            ///< when the answer's header was received
};

/// @return whether a number is a valid limit: not negative, and not above the maximum.
bool
IsLimit(double aPerSecond);

/// The limit of one incarnation of an engine, without the answer that stated it.
struct IncarnationLimit
{
  std::uint32_t mEngine = 0;
  WallTime mBorn{}; ///< start time of the engine's incarnation
  double mPerSecond = 0;
};

/// The effect of a statement.
enum class LimitChange
{
  kNone,
  kLearned, ///< the engine now has a limit
  kChanged, ///< its limit has changed
  kOver,    ///< it no longer states a limit
};

const char*
ToString(LimitChange aChange);

/// Rate limits by engine. An engine states its limit in each answer while it has one. Answers may
/// arrive out of order, so statements are ordered by when their requests were sent.
///
/// @code
/// if (table.OnStatement(ShortId(engine), statement) == LimitChange::kLearned) { ... }
/// if (const auto limit = table.AnyLimitOf(ShortId(engine), born, now)) {
///   ... at most *limit requests per second
/// }
/// @endcode
class EngineLimitTable
{
public:
  /// Requests of several nodes are ordered by when their slots were granted; they are sent at most
  /// this much later.
  static constexpr std::chrono::milliseconds kOrderSlack{ 30 };
  /// A limit reported by another node expires after this; each of its answers repeats it.
  static constexpr std::chrono::seconds kReportLifetime{ 10 };

  /// An engine answered this node, or another node that reports the answer.
  LimitChange OnStatement(std::uint32_t aEngine, const LimitStatement& aStatement);
  /// Replaces the limits of a service's engines that another node has reported.
  void SetReported(const std::string& aService,
                   std::vector<IncarnationLimit> aLimits,
                   TimePoint aNow);
  /// The engine has restarted.
  void Forget(std::uint32_t aEngine) { mEntries.erase(aEngine); }
  /// Drops engines that are no longer listed.
  void Retain(const std::set<std::uint32_t>& aEngines);

  /// @param aBorn start time of the engine's incarnation; limits of others are ignored
  /// @return requests per second according to the engine's answers; none if they state no limit.
  std::optional<double> LimitOf(std::uint32_t aEngine, WallTime aBorn) const;
  /// @return the same; failing that, the limit that another node has reported.
  std::optional<double> AnyLimitOf(std::uint32_t aEngine, WallTime aBorn, TimePoint aNow) const;
  /// @return the engine's latest statement; null if it never stated a limit.
  const LimitStatement* Find(std::uint32_t aEngine, WallTime aBorn) const;
  /// @return whether neither a statement nor a report of a limit is stored.
  bool IsEmpty() const { return mEntries.empty() && mReportedLimits.empty(); }
  /// @return the number of engines whose answers state a limit.
  std::size_t Limited() const;
  /// @return the limits stated in engines' answers.
  std::vector<IncarnationLimit> Limits() const;

private:
  struct ReportedLimits
  {
    std::vector<IncarnationLimit> mLimits;
    TimePoint mAt{};
  };

  std::unordered_map<std::uint32_t, LimitStatement> mEntries; ///< the newest statement by engine
  std::map<std::string, ReportedLimits> mReportedLimits;      ///< by service
};

} // namespace pepperbay
