#include "pepperbay/placement/group_order.hpp"

namespace pepperbay {

const char*
ToString(GroupOrderKind aKind)
{
  switch (aKind) {
    case GroupOrderKind::kJoin:
      return "join";
    case GroupOrderKind::kOpen:
      return "open";
    case GroupOrderKind::kLeave:
      return "leave";
    case GroupOrderKind::kStage:
      return "stage";
  }
  return "unknown";
}

const char*
ToString(OrderAnswer aAnswer)
{
  switch (aAnswer) {
    case OrderAnswer::kBegun:
      return "begun";
    case OrderAnswer::kHolds:
      return "holds";
    case OrderAnswer::kNotNow:
      return "not_now";
    case OrderAnswer::kStale:
      return "stale";
    case OrderAnswer::kOtherEngine:
      return "other_engine";
    case OrderAnswer::kInvalid:
      return "invalid";
    case OrderAnswer::kNone:
      return "none";
    case OrderAnswer::kUnread:
      return "unread";
  }
  return "unknown";
}

} // namespace pepperbay
