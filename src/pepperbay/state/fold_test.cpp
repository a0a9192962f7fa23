#include "pepperbay/state/fold.hpp"

#include "pepperbay/state/documents.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace pepperbay {
namespace {

constexpr int kNodes = 3;
constexpr int kHosts = 8;

std::string
NodeName(int aNode)
{
  return "n" + std::to_string(aNode);
}

/// Writes records as nodes would, each with its own sequence.
class Writer
{
public:
  proto::Record New(int aNode) { return MakeRecord(NodeName(aNode), 1, ++mSequences[aNode]); }

  proto::Record Publish(int aNode, const std::string& aName, std::uint64_t aVersion, int aHosts)
  {
    proto::Record record = New(aNode);
    proto::Publish& publish = *record.mutable_publish();
    publish.set_key("profiles/" + aName);
    publish.set_expected_version(aVersion);
    proto::Profile& profile = *publish.mutable_document()->mutable_profile();
    profile.set_name(aName);
    profile.set_model("m");
    profile.set_model_version("1");
    profile.set_hosts_per_replica(static_cast<std::uint32_t>(aHosts));
    profile.set_share_permille(400);
    return record;
  }

  proto::Record Claim(int aNode, std::uint64_t aPrevious)
  {
    proto::Record record = New(aNode);
    record.mutable_claim()->set_scope("dc");
    record.mutable_claim()->set_holder(NodeName(aNode));
    record.mutable_claim()->set_incarnation(1);
    record.mutable_claim()->set_previous(aPrevious);
    return record;
  }

  proto::Record Assign(int aNode,
                       std::uint64_t aFence,
                       const std::string& aReplica,
                       std::uint64_t aGeneration,
                       const std::vector<int>& aHosts)
  {
    proto::Record record = New(aNode);
    proto::Assign& assign = *record.mutable_assign();
    assign.set_scope("dc");
    assign.set_fence(aFence);
    assign.set_replica(aReplica);
    assign.set_generation(aGeneration);
    assign.set_profile("p");
    assign.set_model_version("1");
    for (const int it : aHosts) {
      proto::Member& member = *assign.add_members();
      member.set_host("h" + std::to_string(it));
      member.set_domain(it < kHosts / 2 ? "d1" : "d2");
    }
    return record;
  }

  proto::Record Release(int aNode,
                        std::uint64_t aFence,
                        const std::string& aReplica,
                        std::uint64_t aGeneration,
                        bool aClosing)
  {
    proto::Record record = New(aNode);
    proto::Release& release = *record.mutable_release();
    release.set_scope("dc");
    release.set_fence(aFence);
    release.set_replica(aReplica);
    release.set_generation(aGeneration);
    release.set_closing(aClosing);
    return record;
  }

private:
  std::map<int, std::uint64_t> mSequences;
};

FoldVerdict
Apply(State& aState, const proto::Record& aRecord)
{
  return aState.Apply(aState.Next(), aRecord.SerializeAsString()).mVerdict;
}

std::uint64_t
FenceOf(const State& aState)
{
  const auto it = aState.Content().leases().find("dc");
  return it == aState.Content().leases().end() ? 0 : it->second.fence();
}

std::uint64_t
LastOf(const State& aState)
{
  const auto it = aState.Content().leases().find("dc");
  return it == aState.Content().leases().end() ? 0 : it->second.last();
}

/// Symptom: one operator's change vanishes though both were told "accepted".
/// Sequence: two operators read version 1 and both publish from it.
/// Cause without the version check: the later record overwrites the earlier unseen.
TEST(Fold, RacingPublishesHaveOneWinner)
{
  State state;
  Writer writer;
  EXPECT_EQ(Apply(state, writer.Publish(0, "p", 0, 2)), FoldVerdict::kAccepted);
  EXPECT_EQ(Apply(state, writer.Publish(1, "p", 1, 3)), FoldVerdict::kAccepted);
  const proto::Record late = writer.Publish(2, "p", 1, 4);
  const FoldResult result = state.Apply(state.Next(), late.SerializeAsString());
  EXPECT_EQ(result.mVerdict, FoldVerdict::kConflict);
  EXPECT_NE(result.mReason.find("version 2"), std::string::npos) << result.mReason;
  EXPECT_EQ(state.FindProfile("p")->hosts_per_replica(), 3U);
}

TEST(Fold, SharesTogetherNeverPassTheWhole)
{
  State state;
  Writer writer;
  EXPECT_EQ(Apply(state, writer.Publish(0, "a", 0, 1)), FoldVerdict::kAccepted);
  EXPECT_EQ(Apply(state, writer.Publish(1, "b", 0, 1)), FoldVerdict::kAccepted);
  EXPECT_EQ(Apply(state, writer.Publish(2, "c", 0, 1)), FoldVerdict::kRefused);
}

struct RefusedAssign
{
  const char* mWhy;
  std::vector<int> mHosts;
  std::uint64_t mGeneration;
  bool mOldFence;
};

TEST(Fold, RefusesAssignmentsThatBreakARule)
{
  const std::vector<RefusedAssign> cases = {
    { "a host twice", { 2, 2 }, 1, false },
    { "a host of another replica", { 1, 2 }, 1, false },
    { "two fabric domains", { 3, 4 }, 1, false },
    { "too few hosts", { 2 }, 1, false },
    { "a generation that is not the next", { 2, 3 }, 2, false },
    { "a superseded holder", { 2, 3 }, 1, true },
  };
  for (const auto& it : cases) {
    State state;
    Writer writer;
    Apply(state, writer.Publish(0, "p", 0, 2));
    Apply(state, writer.Claim(1, 0));
    const std::uint64_t old = FenceOf(state);
    Apply(state, writer.Claim(0, LastOf(state)));
    ASSERT_EQ(Apply(state, writer.Assign(0, FenceOf(state), "r1", 1, { 0, 1 })),
              FoldVerdict::kAccepted);
    const std::string before = state.Content().replicas().at("r1").SerializeAsString();
    const auto record = it.mOldFence
                          ? writer.Assign(1, old, "r2", 1, it.mHosts)
                          : writer.Assign(0, FenceOf(state), "r2", it.mGeneration, it.mHosts);
    EXPECT_NE(Apply(state, record), FoldVerdict::kAccepted) << it.mWhy;
    EXPECT_EQ(state.Content().replicas_size(), 1) << it.mWhy;
    EXPECT_EQ(state.Content().replicas().at("r1").SerializeAsString(), before) << it.mWhy;
  }
}

/// Symptom: a publish is never accepted and never refused. Cause: a text that is no UTF-8 makes a
/// record that no node can read back, so the check must come before the record is written.
TEST(Fold, TextsThatCouldNotBeReadBackAreRefused)
{
  Writer writer;
  proto::Record record = writer.Publish(0, "p", 0, 2);
  proto::Document& document = *record.mutable_publish()->mutable_document();
  EXPECT_EQ(ProblemOf(document), "");
  document.mutable_profile()->set_model("\xff\xfe");
  EXPECT_NE(ProblemOf(document), "");
}

TEST(Fold, HostsAreFreeOnlyAfterClosing)
{
  State state;
  Writer writer;
  Apply(state, writer.Publish(0, "p", 0, 2));
  Apply(state, writer.Claim(0, 0));
  Apply(state, writer.Assign(0, FenceOf(state), "r1", 1, { 0, 1 }));
  EXPECT_EQ(Apply(state, writer.Release(0, FenceOf(state), "r1", 1, false)), FoldVerdict::kRefused);
  EXPECT_EQ(Apply(state, writer.Release(0, FenceOf(state), "r1", 1, true)), FoldVerdict::kAccepted);
  EXPECT_NE(state.ReplicaOfHost("h0"), nullptr);
  EXPECT_EQ(Apply(state, writer.Release(0, FenceOf(state), "r1", 1, false)),
            FoldVerdict::kAccepted);
  EXPECT_EQ(state.ReplicaOfHost("h0"), nullptr);
}

/// Symptom: a version that once failed to load can never be published again, though its files were
/// mended. Publishing another version in between lifts the mark.
TEST(Fold, AFailedVersionMayBeTriedAgainAfterAnother)
{
  State state;
  Writer writer;
  Apply(state, writer.Publish(0, "p", 0, 2));
  Apply(state, writer.Claim(0, 0));
  proto::Record failed = writer.New(0);
  failed.mutable_version_failed()->set_scope("dc");
  failed.mutable_version_failed()->set_fence(FenceOf(state));
  failed.mutable_version_failed()->set_profile("p");
  failed.mutable_version_failed()->set_model_version("1");
  ASSERT_EQ(Apply(state, failed), FoldVerdict::kAccepted);
  Apply(state, writer.Publish(0, "p", 1, 3));
  EXPECT_EQ(state.Content().failed_versions().count("p"), 1U) << "the same version still fails";
  proto::Record other = writer.Publish(0, "p", 2, 2);
  other.mutable_publish()->mutable_document()->mutable_profile()->set_model_version("2");
  Apply(state, other);
  EXPECT_EQ(state.Content().failed_versions().count("p"), 0U);
}

TEST(Fold, DropsOversizedRecordsAndNewerFormats)
{
  State state;
  Writer writer;
  proto::Record big = writer.Publish(0, "p", 0, 2);
  big.mutable_publish()->mutable_document()->mutable_profile()->set_model(
    std::string(kMaxRecordBytes, 'x'));
  EXPECT_EQ(Apply(state, big), FoldVerdict::kMalformed);
  proto::Record newer = writer.Publish(0, "p", 0, 2);
  newer.set_format(kFormat + 1);
  EXPECT_EQ(Apply(state, newer), FoldVerdict::kMalformed);
  EXPECT_EQ(state.Content().documents_size(), 0);
  EXPECT_EQ(state.Next(), 2U) << "the offset moves on, or the node would stand still";
}

RC_GTEST_PROP(Fold, AnyBytesChangeNothingButTheOffset, (const std::string& aBytes))
{
  State state;
  Writer writer;
  Apply(state, writer.Publish(0, "p", 0, 2));
  proto::Snapshot before = state.Content();
  const FoldResult result = state.Apply(state.Next(), aBytes);
  RC_PRE(result.mVerdict != FoldVerdict::kAccepted);
  before.set_next_offset(before.next_offset() + 1);
  before.mutable_authors()->clear();
  proto::Snapshot after = state.Content();
  after.mutable_authors()->clear();
  RC_ASSERT(before.SerializeAsString() == after.SerializeAsString());
}

/// One step of an arbitrary history: who writes what, from how stale a view, and how often.
struct Step
{
  int mNode;
  int mKind;
  int mStale; ///< how many accepted versions behind the writer's view is
  int mHost;
  bool mTwice;
};

} // namespace
} // namespace pepperbay

namespace rc {
template<>
struct Arbitrary<pepperbay::Step>
{
  static Gen<pepperbay::Step> arbitrary() // NOLINT(readability-identifier-naming)
  {
    using pepperbay::Step;
    return gen::build<Step>(
      gen::set(&Step::mNode, gen::inRange(0, pepperbay::kNodes)),
      gen::set(&Step::mKind, gen::inRange(0, 8)),
      gen::set(&Step::mStale, gen::weightedElement<int>({ { 6, 0 }, { 1, 1 } })),
      gen::set(&Step::mHost, gen::inRange(0, pepperbay::kHosts)),
      gen::set(&Step::mTwice));
  }
};
} // namespace rc

namespace pepperbay {
namespace {

/// Writes the record of a step, from the writer's possibly stale view.
proto::Record
RecordOf(const Step& aStep, const State& aState, Writer& aWriter)
{
  const auto stale = static_cast<std::uint64_t>(aStep.mStale);
  const std::string replica = "r" + std::to_string(aStep.mHost % 3);
  const auto generations = aState.Content().generations().find(replica);
  const std::uint64_t generation =
    generations == aState.Content().generations().end() ? 0 : generations->second;
  const std::uint64_t fence = FenceOf(aState) - std::min(FenceOf(aState), stale);
  switch (aStep.mKind) {
    case 0: {
      const auto it = aState.Content().documents().find("profiles/p");
      const std::uint64_t version =
        it == aState.Content().documents().end() ? 0 : it->second.version();
      return aWriter.Publish(aStep.mNode, "p", version - std::min(version, stale), 2);
    }
    case 1:
    case 2:
      return aWriter.Claim(aStep.mNode, LastOf(aState) - std::min(LastOf(aState), stale));
    case 3:
    case 4:
      return aWriter.Assign(aStep.mNode,
                            fence,
                            replica,
                            generation + 1 - std::min<std::uint64_t>(1, stale),
                            { aStep.mHost, (aStep.mHost + 1) % kHosts });
    case 5:
      return aWriter.Release(aStep.mNode, fence, replica, generation, true);
    case 6:
      return aWriter.Release(aStep.mNode, fence, replica, generation, false);
    default: {
      proto::Record record = aWriter.New(aStep.mNode);
      record.mutable_drain()->set_host("h" + std::to_string(aStep.mHost));
      record.mutable_drain()->set_host_incarnation(1 + stale);
      return record;
    }
  }
}

void
CheckInvariants(const State& aBefore, const State& aAfter, const FoldResult& aResult)
{
  // No host in two live replicas, none across domains.
  std::set<std::string> hosts;
  for (const auto& [name, replica] : aAfter.Content().replicas()) {
    for (const auto& it : replica.assign().members()) {
      RC_ASSERT(hosts.insert(it.host()).second);
      RC_ASSERT(it.domain() == replica.assign().members(0).domain());
    }
  }
  // Versions, fencing numbers, generations and drains only grow; documents are never lost.
  for (const auto& [key, versioned] : aBefore.Content().documents()) {
    RC_ASSERT(aAfter.Content().documents().at(key).version() >= versioned.version());
  }
  for (const auto& [replica, generation] : aBefore.Content().generations()) {
    RC_ASSERT(aAfter.Content().generations().at(replica) >= generation);
  }
  for (const auto& [host, incarnation] : aBefore.Content().drains()) {
    RC_ASSERT(aAfter.Content().drains().at(host) >= incarnation);
  }
  RC_ASSERT(FenceOf(aAfter) >= FenceOf(aBefore));
  // Only the holder of the moment changes a replica.
  const bool changes = aResult.mRecord.has_assign() || aResult.mRecord.has_release();
  if (changes && aResult.mVerdict == FoldVerdict::kAccepted) {
    RC_ASSERT(aBefore.Content().leases().at("dc").holder() == aResult.mRecord.id().author());
  }
}

/// Any interleaving of publishes, claims, assignments, releases and drains of several nodes, from
/// stale views, with duplicates: the invariants hold after each record; a second node that folds
/// the same bytes has the same state; a snapshot taken anywhere and the tail after it equal the
/// full replay.
RC_GTEST_PROP(Fold, HoldsItsInvariantsInAnyHistory, (const std::vector<Step>& aSteps))
{
  Writer writer;
  State state;
  std::vector<std::string> log;
  const auto add = [&](const proto::Record& aRecord) {
    log.push_back(aRecord.SerializeAsString());
    const State before = state;
    FoldResult result = state.Apply(state.Next(), log.back());
    CheckInvariants(before, state, result);
    return result;
  };
  add(writer.Publish(0, "p", 0, 2));
  add(writer.Claim(0, 0));
  for (const auto& it : aSteps) {
    const proto::Record record = RecordOf(it, state, writer);
    add(record);
    if (it.mTwice) {
      RC_ASSERT(add(record).mVerdict == FoldVerdict::kDuplicate);
    }
  }
  const std::size_t cut = log.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, log.size());
  State other;
  State resumed;
  for (std::size_t i = 0; i < log.size(); ++i) {
    if (i == cut) {
      proto::Snapshot snapshot;
      RC_ASSERT(snapshot.ParseFromString(other.Serialise()));
      resumed = State(snapshot);
    }
    other.Apply(i, log[i]);
    if (i >= cut) {
      resumed.Apply(i, log[i]);
    }
  }
  RC_ASSERT(other.Serialise() == state.Serialise());
  RC_ASSERT(resumed.Serialise() == state.Serialise());
}

} // namespace
} // namespace pepperbay
