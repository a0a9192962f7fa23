/// @file
/// @brief Slots that an allocator has granted, by node. Pure: no I/O and no clock of its own.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace pepperbay {

/// Slots by node, until they are returned. Messages about ended slots may be lost or duplicated,
/// and a node may exit without one; the periodic list of the slots that a node still holds corrects
/// the table.
///
/// @code
/// SlotTable table([&](const std::string& aHead) { balancer.OnEnd(aHead); });
/// table.Grant("n1", incarnation, 17, "engine-4", now);
/// table.End("n1", incarnation, 17);
/// @endcode
class SlotTable
{
public:
  /// A node without messages for this time is taken to have exited, and its connections with it.
  static constexpr std::chrono::seconds kNodeTimeout{ 3 };

  /// @param aOnFree called for each slot that becomes free
  explicit SlotTable(std::function<void(const std::string& aHead)> aOnFree);

  void Grant(const std::string& aNode,
             std::uint64_t aIncarnation,
             std::uint64_t aId,
             const std::string& aHead,
             TimePoint aNow);
  /// @return the head of the slot that this question has already; null for none.
  const std::string* Find(const std::string& aNode,
                          std::uint64_t aIncarnation,
                          std::uint64_t aId) const;
  void End(const std::string& aNode, std::uint64_t aIncarnation, std::uint64_t aId);
  /// Free all slots of a node with ids up to `aUpTo`, except `aIds`.
  void KeepOnly(const std::string& aNode,
                std::uint64_t aIncarnation,
                std::uint64_t aUpTo,
                const std::set<std::uint64_t>& aIds,
                TimePoint aNow);
  /// Free the slots of nodes that have timed out.
  void Tick(TimePoint aNow);

private:
  struct Node
  {
    std::uint64_t mIncarnation = 0;
    TimePoint mLastReceived{};
    std::map<std::uint64_t, std::string> mHeads; ///< by question
  };

  void FreeAll(Node& aNode);

  std::function<void(const std::string&)> mOnFree;
  std::map<std::string, Node> mNodes;
};

} // namespace pepperbay
