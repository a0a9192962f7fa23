/// @file
/// @brief Requests a second that engines take from all nodes together, as their answers name them.
/// Pure.
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

/// Requests a second; what is above says nothing that could be kept.
constexpr double kMostLimit = 1e6;

/// What one answer of an engine says of its limit.
struct LimitStatement
{
  WallTime mBorn{};                 ///< of the engine's start
  std::optional<double> mPerSecond; ///< none: the engine names no limit
  TimePoint mLeft{};                ///< when the request left for the engine
  TimePoint mAnswered{};            ///< when the head of its answer came
};

/// @return whether a number can be a limit: not negative, and less than any pool takes.
bool
IsLimit(double aPerSecond);

/// A limit without the answer that named it.
struct ToldLimit
{
  std::uint32_t mEngine = 0;
  WallTime mBorn{}; ///< of the engine's start
  double mPerSecond = 0;
};

/// What a statement changed.
enum class LimitChange
{
  kNone,
  kLearned, ///< the engine has a limit from here on
  kChanged, ///< it has another one
  kOver,    ///< it names none any more
};

const char*
ToString(LimitChange aChange);

/// Limits by engine. An engine names its limit in each answer for as long as it has one; answers
/// overtake each other, so a statement counts by when its request left.
///
/// @code
/// if (book.OnStatement(ShortId(engine), statement) == LimitChange::kLearned) { ... }
/// if (const auto limit = book.LimitOf(ShortId(engine), born, now)) { ... at most *limit a second }
/// @endcode
class LimitBook
{
public:
  /// Requests of several nodes are ordered by when their places were granted; they leave at most so
  /// much later.
  static constexpr std::chrono::milliseconds kOrderSlack{ 30 };
  /// What another node told is forgotten after this; it tells again with each of its answers.
  static constexpr std::chrono::seconds kToldFor{ 10 };

  /// An answer of an engine, to this node or to one that says so.
  LimitChange OnStatement(std::uint32_t aEngine, const LimitStatement& aStatement);
  /// All limits of a service's engines that another node knows, in place of what it knew before.
  void SetTold(const std::string& aService, std::vector<ToldLimit> aLimits, TimePoint aNow);
  /// The engine has started again.
  void Forget(std::uint32_t aEngine) { mEntries.erase(aEngine); }
  /// Forget engines that are not listed any more.
  void Retain(const std::set<std::uint32_t>& aEngines);

  /// @param aBorn of the start that is meant; another one's limit says nothing of it
  /// @return requests a second by the engine's own answers; none where they name no limit.
  std::optional<double> LimitOf(std::uint32_t aEngine, WallTime aBorn) const;
  /// @return the same, or by what another node has told.
  std::optional<double> AnyLimitOf(std::uint32_t aEngine, WallTime aBorn, TimePoint aNow) const;
  /// @return what the engine said last; null where it never named a limit.
  const LimitStatement* Find(std::uint32_t aEngine, WallTime aBorn) const;
  /// @return whether a limit has been named or told of any engine.
  bool IsEmpty() const { return mEntries.empty() && mTold.empty(); }
  /// @return how many engines have a limit by their own answers.
  std::size_t Limited() const;
  /// @return the limits that engines' own answers name.
  std::vector<ToldLimit> Limits() const;

private:
  struct Told
  {
    std::vector<ToldLimit> mLimits;
    TimePoint mAt{};
  };

  std::unordered_map<std::uint32_t, LimitStatement> mEntries; ///< the newest of each engine
  std::map<std::string, Told> mTold;                          ///< by service
};

} // namespace pepperbay
