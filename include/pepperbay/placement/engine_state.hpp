/// @file
/// @brief Tracks the known state of one engine incarnation and what each of its answers proves.
/// Pure.
#pragma once

#include "pepperbay/placement/group_order.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pepperbay {

/// What an engine's answer to an order proves about the engine's state.
enum class OrderProof
{
  kDone,      ///< carried out by this transmission, and counted by the engine
  kAccepted,  ///< carried out by this transmission or an earlier one; counted once by the engine
  kAlreadySo, ///< the requested state was already in place; nothing changed
  kIgnored,   ///< the order concerned an older membership than the engine has; nothing changed
  kRefused,   ///< the engine's state differs from the one that the order expects
  kUnknown,   ///< the order may have been carried out, may be carried out later, or is lost
};

const char*
ToString(OrderProof aProof);

/// The newest known group position of an engine, and the number of orders that the engine had
/// accepted at that time.
///
/// The two are stored as a pair: join and leave orders carry the number, and an engine refuses them
/// if it has accepted any other order since. An outdated pair is therefore harmless, but an old
/// position paired with a newer number is not. Within one incarnation of an engine the epochs of
/// its positions only grow. Of two statements by the engine, the one with the higher epoch or
/// number is the newer, in whatever order they arrive.
class EngineState
{
public:
  /// Maximum age of the state in an engine's report.
  static constexpr std::chrono::milliseconds kMaxReportAge{ 500 };

  /// @return the state of an engine that has just started: in no group, no orders accepted.
  static EngineState JustStarted();

  /// Updates the state from an answer.
  /// @return what the answer proves. Only this result shows that an engine has left its position.
  OrderProof OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow);
  void OnReport(const GroupPlace& aPosition, std::uint64_t aAccepted, TimePoint aNow);
  /// A registration may be long out of date; it is used only when it changes to a newer position.
  void OnRegistration(const GroupPlace& aPosition);

  const GroupPlace& Position() const { return mPosition; }
  bool IsIn(const std::string& aGroup, std::uint64_t aEpoch) const;
  /// @return the number of accepted orders that belongs to the position; nullopt if the engine has
  /// to be queried for it.
  std::optional<std::uint64_t> Accepted() const;
  /// @return whether the number is unknown and a report requested now would be recent enough to
  /// give it.
  bool ShouldQuery(TimePoint aNow) const;

private:
  OrderProof ProofOf(const GroupOrder& aOrder, OrderAnswer aAnswer) const;
  OrderProof ProofOfJoin(const GroupOrder& aOrder, OrderAnswer aAnswer) const;
  OrderProof ProofOfLeave(const GroupOrder& aOrder) const;
  /// @return whether an engine that has carried out this join or leave is at another position than
  /// the known one.
  bool MovesEngine(const GroupOrder& aOrder) const;
  void Apply(const GroupOrder& aOrder);
  void OnRefused(const GroupOrder& aOrder, TimePoint aNow);
  /// Marks the number as unknown until a report states at least aMinAccepted accepted orders.
  void InvalidateAccepted(std::uint64_t aMinAccepted, TimePoint aNow);

  GroupPlace mPosition;
  GroupPlace mRegistered;
  std::uint64_t mLeft = 0; ///< memberships of this epoch and older ones have ended
  std::uint64_t mAccepted = 0;
  bool mExact = false; ///< mAccepted belongs to mPosition
  /// Until mMinAcceptedUntil, a report that states fewer accepted orders than this is outdated.
  std::uint64_t mMinAccepted = 0;
  TimePoint mMinAcceptedUntil{};
  TimePoint mQueryFrom{};
};

} // namespace pepperbay
