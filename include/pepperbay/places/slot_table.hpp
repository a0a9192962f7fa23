/// @file
/// @brief Which places at replicas a desk has granted to which node. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace pepperbay {

/// Grants by node, until they are given back. Words of their end may be lost or come twice, and a
/// node may end without one; what a node says that it still holds puts all of that right.
///
/// @code
/// PlaceBook book([&](const std::string& aHead) { balancer.OnEnd(aHead); });
/// book.Grant("n1", incarnation, 17, "engine-4", now);
/// book.End("n1", incarnation, 17);
/// @endcode
class SlotTable
{
public:
  /// A node that has not been heard for so long has ended, and its connections with it.
  static constexpr std::chrono::seconds kNodeTimeout{ 3 };

  /// @param aOnFree called for each place that is free again
  explicit SlotTable(std::function<void(const std::string& aHead)> aOnFree);

  void Grant(const std::string& aNode,
             std::uint64_t aIncarnation,
             std::uint64_t aId,
             const std::string& aHead,
             TimePoint aNow);
  /// @return the head where this question has a place already; null for none.
  const std::string* Find(const std::string& aNode,
                          std::uint64_t aIncarnation,
                          std::uint64_t aId) const;
  void End(const std::string& aNode, std::uint64_t aIncarnation, std::uint64_t aId);
  /// Of all questions up to one, a node still holds only these places.
  void KeepOnly(const std::string& aNode,
                std::uint64_t aIncarnation,
                std::uint64_t aUpTo,
                const std::set<std::uint64_t>& aIds,
                TimePoint aNow);
  /// Free the places of nodes that are gone.
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
