/// @file
/// @brief What is known of one start of an engine, and what each of its words proves. Pure.
#pragma once

#include "pepperbay/placement/group_order.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pepperbay {

/// What an engine's answer to an order proves about the engine.
enum class OrderProof
{
  kDone,      ///< carried out by this sending, and counted by the engine
  kAccepted,  ///< carried out by this sending or an earlier one; the engine counts it once
  kAlreadySo, ///< what the order asks for was there; nothing changed
  kIgnored,   ///< it concerned an older membership than the engine has; nothing changed
  kRefused,   ///< the engine's state is another than the order supposes
  kUnknown,   ///< carried out, or still to come, or lost
};

const char*
ToString(OrderProof aProof);

/// The newest place that is known of an engine and the number of orders that it had accepted there.
///
/// The two belong together: orders to join and to leave name the number, and an engine that has
/// accepted any other order since refuses them. So an old pair does no harm; a place with the
/// number of a later one would. Within a start the epochs of an engine's places only grow, so of
/// two words the one with the higher epoch or number is the newer, however late it comes.
class EngineState
{
public:
  /// What an engine says when asked may be so old.
  static constexpr std::chrono::milliseconds kReportAge{ 500 };

  /// @return the state of an engine that has just started.
  static EngineState JustStarted();

  /// @return what the answer proves; a place is free only by what follows from it here.
  OrderProof OnAnswer(const GroupOrder& aOrder, OrderAnswer aAnswer, TimePoint aNow);
  void OnReport(const GroupPlace& aPlace, std::uint64_t aAccepted, TimePoint aNow);
  /// A registration may have stood still for long; it counts only when it changes to a newer place.
  void OnRegistration(const GroupPlace& aPlace);

  const GroupPlace& Place() const { return mPlace; }
  bool IsIn(const std::string& aGroup, std::uint64_t aEpoch) const;
  /// @return the number of orders accepted that belongs to the place; none: the engine has to say.
  std::optional<std::uint64_t> Accepted() const;
  /// @return whether the number is missing and an answer would be new enough to give it.
  bool ShouldAsk(TimePoint aNow) const;

private:
  OrderProof ProofOf(const GroupOrder& aOrder, OrderAnswer aAnswer) const;
  OrderProof ProofOfJoin(const GroupOrder& aOrder, OrderAnswer aAnswer) const;
  OrderProof ProofOfLeave(const GroupOrder& aOrder) const;
  /// @return whether an engine that has carried a join or leave out is elsewhere than it is known.
  bool MovesEngine(const GroupOrder& aOrder) const;
  void Apply(const GroupOrder& aOrder);
  void OnRefused(const GroupOrder& aOrder, TimePoint aNow);
  /// The number is not known until the engine states at least so many.
  void Doubt(std::uint64_t aLeast, TimePoint aNow);

  GroupPlace mPlace;
  GroupPlace mRegistered;
  std::uint64_t mLeft = 0; ///< no membership of this epoch or an older one stands any more
  std::uint64_t mAccepted = 0;
  bool mExact = false; ///< mAccepted belongs to mPlace
  /// Until then a report that states fewer is of before what is known.
  std::uint64_t mLeast = 0;
  TimePoint mLeastUntil{};
  TimePoint mAskFrom{};
};

} // namespace pepperbay
