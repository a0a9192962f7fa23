#include "pepperbay/placement/reserves.hpp"

#include <functional>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

proto::Member
Member(const std::string& aHost)
{
  proto::Member member;
  member.set_host(aHost);
  member.set_domain("d");
  member.set_checks_fence(true);
  return member;
}

/// A folded state: replica r with members a and b, spare s reserved for it, holder n with fencing
/// number 2.
State
Folded()
{
  proto::Snapshot content;
  content.set_next_offset(10);
  proto::LeaseState& lease = (*content.mutable_leases())["dc"];
  lease.set_holder("n");
  lease.set_fence(2);
  proto::Assign& assign = *(*content.mutable_replicas())["r"].mutable_assign();
  assign.set_scope("dc");
  assign.set_fence(2);
  assign.set_replica("r");
  assign.set_generation(4);
  assign.set_profile("p");
  assign.set_model_version("1");
  *assign.add_members() = Member("a");
  *assign.add_members() = Member("b");
  proto::Reserve& reserve = (*content.mutable_reserves())["s"];
  *reserve.mutable_spare() = Member("s");
  reserve.add_replicas("r");
  return State(content);
}

proto::Assign
Repair()
{
  proto::Assign repair = Folded().Content().replicas().at("r").assign();
  repair.set_generation(5);
  *repair.mutable_members(1) = Member("s");
  return repair;
}

struct BadRepair
{
  const char* mWhat;
  std::function<void(proto::Assign&)> mChange;
};

/// Without the log, only reservations from the log may be carried out. Nodes reject any other
/// repair, since two nodes could otherwise create a replica each.
TEST(Reserves, OnlyReservationsAreCarriedOut)
{
  EXPECT_TRUE(CarriesOutReservation(Folded(), Repair()));
  const std::vector<BadRepair> cases = {
    { "another generation", [](auto& aIt) { aIt.set_generation(6); } },
    { "an old fencing number", [](auto& aIt) { aIt.set_fence(1); } },
    { "another version", [](auto& aIt) { aIt.set_model_version("2"); } },
    { "an unknown replica", [](auto& aIt) { aIt.set_replica("q"); } },
    { "a host that is not reserved", [](auto& aIt) { aIt.mutable_members(1)->set_host("t"); } },
    { "two new hosts", [](auto& aIt) { aIt.mutable_members(0)->set_host("t"); } },
    { "nothing new", [](auto& aIt) { *aIt.mutable_members(1) = Member("b"); } },
    { "a host that ignores fencing numbers",
      [](auto& aIt) { aIt.mutable_members(0)->set_checks_fence(false); } },
    { "another domain", [](auto& aIt) { aIt.mutable_members(1)->set_domain("e"); } },
  };
  for (const auto& it : cases) {
    proto::Assign repair = Repair();
    it.mChange(repair);
    EXPECT_FALSE(CarriesOutReservation(Folded(), repair)) << it.mWhat;
  }
}

TEST(Reserves, TheFoldSupersedesRepairs)
{
  OutageRepairs repairs{ { "r", Repair() } };
  const State over = WithRepairs(Folded(), repairs);
  EXPECT_EQ(over.ReplicaOfHost("s")->assign().generation(), 5U);
  EXPECT_EQ(over.ReplicaOfHost("b"), nullptr);
  proto::Snapshot later = Folded().Content();
  (*later.mutable_replicas())["r"].mutable_assign()->set_generation(5);
  EXPECT_EQ(WithRepairs(State(later), repairs).ReplicaOfHost("s"), nullptr);
  EXPECT_TRUE(DropFolded(State(later), &repairs));
  EXPECT_TRUE(repairs.empty());
}

} // namespace
} // namespace pepperbay
