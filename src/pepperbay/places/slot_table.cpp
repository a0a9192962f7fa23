#include "pepperbay/places/slot_table.hpp"

#include <utility>

namespace pepperbay {

SlotTable::SlotTable(std::function<void(const std::string& aHead)> aOnFree)
  : mOnFree(std::move(aOnFree))
{
}

void
SlotTable::Grant(const std::string& aNode,
                 std::uint64_t aIncarnation,
                 std::uint64_t aId,
                 const std::string& aHead,
                 TimePoint aNow)
{
  Node& node = mNodes[aNode];
  if (node.mIncarnation != aIncarnation) {
    FreeAll(node);
    node.mIncarnation = aIncarnation;
  }
  node.mLastReceived = aNow;
  node.mHeads[aId] = aHead;
}

const std::string*
SlotTable::Find(const std::string& aNode, std::uint64_t aIncarnation, std::uint64_t aId) const
{
  const auto node = mNodes.find(aNode);
  if (node == mNodes.end() || node->second.mIncarnation != aIncarnation) {
    return nullptr;
  }
  const auto head = node->second.mHeads.find(aId);
  return head == node->second.mHeads.end() ? nullptr : &head->second;
}

void
SlotTable::End(const std::string& aNode, std::uint64_t aIncarnation, std::uint64_t aId)
{
  const auto it = mNodes.find(aNode);
  if (it == mNodes.end() || it->second.mIncarnation != aIncarnation) {
    return;
  }
  const auto head = it->second.mHeads.find(aId);
  if (head != it->second.mHeads.end()) {
    mOnFree(head->second);
    it->second.mHeads.erase(head);
  }
}

void
SlotTable::KeepOnly(const std::string& aNode,
                    std::uint64_t aIncarnation,
                    std::uint64_t aUpTo,
                    const std::set<std::uint64_t>& aIds,
                    TimePoint aNow)
{
  const auto node = mNodes.find(aNode);
  if (node == mNodes.end() || node->second.mIncarnation != aIncarnation) {
    return;
  }
  node->second.mLastReceived = aNow;
  auto& heads = node->second.mHeads;
  for (auto it = heads.begin(); it != heads.end() && it->first <= aUpTo;) {
    if (aIds.count(it->first) != 0) {
      ++it;
      continue;
    }
    mOnFree(it->second);
    it = heads.erase(it);
  }
}

void
SlotTable::Tick(TimePoint aNow)
{
  for (auto it = mNodes.begin(); it != mNodes.end();) {
    if (aNow - it->second.mLastReceived < kNodeTimeout) {
      ++it;
      continue;
    }
    FreeAll(it->second);
    it = mNodes.erase(it);
  }
}

void
SlotTable::FreeAll(Node& aNode)
{
  for (const auto& [id, head] : aNode.mHeads) {
    mOnFree(head);
  }
  aNode.mHeads.clear();
}

} // namespace pepperbay
