#include "pepperbay/placement/reserves.hpp"

#include <algorithm>
#include <set>

namespace pepperbay {
namespace {

const proto::ReplicaState*
LiveReplica(const State& aState, const std::string& aName)
{
  const auto it = aState.Content().replicas().find(aName);
  return it == aState.Content().replicas().end() ? nullptr : &it->second;
}

/// @return the only member of the repair that the folded replica does not have, or null.
const proto::Member*
OnlyNewMember(const proto::Assign& aFolded, const proto::Assign& aRepair)
{
  std::set<std::string> old;
  for (const auto& it : aFolded.members()) {
    old.insert(it.host());
  }
  const proto::Member* added = nullptr;
  for (const auto& it : aRepair.members()) {
    if (old.count(it.host()) > 0) {
      continue;
    }
    if (added != nullptr) {
      return nullptr;
    }
    added = &it;
  }
  return aFolded.members_size() == aRepair.members_size() ? added : nullptr;
}

} // namespace

bool
CarriesOutReservation(const State& aState, const proto::Assign& aRepair)
{
  const proto::ReplicaState* replica = LiveReplica(aState, aRepair.replica());
  const auto lease = aState.Content().leases().find(aRepair.scope());
  if (replica == nullptr || replica->closing() || lease == aState.Content().leases().end()) {
    return false;
  }
  const proto::Assign& folded = replica->assign();
  const bool next = aRepair.generation() == folded.generation() + 1 &&
                    aRepair.fence() == lease->second.fence() && aRepair.scope() == folded.scope() &&
                    aRepair.profile() == folded.profile() &&
                    aRepair.model_version() == folded.model_version();
  const proto::Member* spare = OnlyNewMember(folded, aRepair);
  if (!next || spare == nullptr) {
    return false;
  }
  const auto reserve = aState.Content().reserves().find(spare->host());
  if (reserve == aState.Content().reserves().end()) {
    return false;
  }
  const auto& replicas = reserve->second.replicas();
  const bool reserved =
    std::find(replicas.begin(), replicas.end(), aRepair.replica()) != replicas.end();
  const bool fenced =
    std::all_of(aRepair.members().begin(), aRepair.members().end(), [&](const auto& aMember) {
      return aMember.checks_fence() && aMember.domain() == spare->domain();
    });
  return reserved && fenced;
}

State
WithRepairs(const State& aState, const OutageRepairs& aRepairs)
{
  proto::Snapshot content = aState.Content();
  for (const auto& [name, repair] : aRepairs) {
    const auto it = content.mutable_replicas()->find(name);
    if (it == content.replicas().end() || it->second.assign().generation() >= repair.generation()) {
      continue;
    }
    *it->second.mutable_assign() = repair;
    (*content.mutable_generations())[name] = repair.generation();
  }
  return State(std::move(content));
}

bool
DropFolded(const State& aState, OutageRepairs* aRepairs)
{
  const std::size_t before = aRepairs->size();
  for (auto it = aRepairs->begin(); it != aRepairs->end();) {
    const proto::ReplicaState* replica = LiveReplica(aState, it->first);
    const bool over = replica == nullptr || replica->closing() ||
                      replica->assign().generation() >= it->second.generation();
    it = over ? aRepairs->erase(it) : std::next(it);
  }
  return aRepairs->size() != before;
}

} // namespace pepperbay
