#include "pepperbay/membership/evidence.hpp"
#include "pepperbay/membership/roster.hpp"
#include "pepperbay/membership/shared_evidence.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

proto::Envelope
From(const std::string& aNode, std::uint64_t aIncarnation, std::uint64_t aStamp)
{
  proto::Envelope envelope;
  envelope.set_from(aNode);
  envelope.set_incarnation(aIncarnation);
  envelope.set_data_centre("dc");
  envelope.set_stamp_ns(aStamp);
  envelope.mutable_heartbeat();
  return envelope;
}

TEST(Roster, SilenceMakesSuspectThenLapsed)
{
  ManualClock clock;
  Roster roster({ "n0", 1 });
  EXPECT_EQ(roster.Hear(From("n1", 1, 1), clock.Now()), Hearing::kAccepted);
  EXPECT_EQ(roster.StatusOf("n1", clock.Now()), PeerStatus::kAlive);
  clock.Advance(seconds(3));
  EXPECT_EQ(roster.StatusOf("n1", clock.Now()), PeerStatus::kSuspect);
  EXPECT_TRUE(roster.MayBeWorking("n1", seconds(60), clock.Now()));
  clock.Advance(seconds(4));
  EXPECT_EQ(roster.StatusOf("n1", clock.Now()), PeerStatus::kLapsed);
  EXPECT_TRUE(roster.MayBeWorking("n1", seconds(60), clock.Now()));
  clock.Advance(seconds(60));
  EXPECT_FALSE(roster.MayBeWorking("n1", seconds(60), clock.Now()));
}

/// Symptom: a process that was replaced wakes and is taken for its successor.
TEST(Roster, DropsMessagesOfOlderIncarnationsAndOtherPlaces)
{
  ManualClock clock;
  Roster roster({ "n0", 1 });
  proto::Join join;
  join.set_node("n1");
  join.set_incarnation(5);
  join.set_data_centre("dc");
  roster.OnJoin(join, 0, clock.Now());
  EXPECT_EQ(roster.Hear(From("n1", 4, 1), clock.Now()), Hearing::kOldIncarnation);
  EXPECT_EQ(roster.Hear(From("n0", 1, 1), clock.Now()), Hearing::kSelf);
  EXPECT_EQ(roster.Hear(From("n1", 5, 9), clock.Now()), Hearing::kAccepted);
  EXPECT_EQ(roster.Hear(From("n1", 5, 8), clock.Now()), Hearing::kReordered);
  proto::Envelope elsewhere = From("n1", 5, 10);
  elsewhere.set_data_centre("other");
  EXPECT_EQ(roster.Hear(elsewhere, clock.Now()), Hearing::kWrongPlace);
}

proto::Join
JoinOf(const std::string& aNode, std::uint64_t aIncarnation)
{
  proto::Join join;
  join.set_node(aNode);
  join.set_incarnation(aIncarnation);
  join.set_data_centre("dc");
  join.set_wire(kWireSenderByJoin);
  return join;
}

/// Symptom: a node is not heard, or is taken for another, after the names were left out of
/// messages. They are left out only towards a peer that has folded the sender's Join, and a Join
/// names one start of one node for ever.
TEST(Roster, ASenderIsShortenedOnlyForThoseWhoCanTell)
{
  ManualClock clock;
  Roster sender({ "n0", 7 });
  Roster receiver({ "n1", 1 });
  const auto send = [&] {
    proto::Envelope envelope = From("n0", 7, 1);
    sender.Stamp("n1", &envelope, clock.Now());
    return envelope;
  };
  sender.OnJoin(JoinOf("n0", 7), 40, clock.Now());
  sender.OnJoin(JoinOf("n1", 1), 41, clock.Now());
  EXPECT_EQ(send().from(), "n0") << "n1 has not said what it has folded";
  sender.Find("n1")->mApplied = 40;
  EXPECT_EQ(send().from(), "n0") << "n1 has folded what lies before the Join";
  sender.Find("n1")->mApplied = 41;
  proto::Envelope brief = send();
  EXPECT_TRUE(brief.from().empty());
  EXPECT_FALSE(receiver.Resolve(&brief)) << "unknown there, so dropped";
  receiver.OnJoin(JoinOf("n0", 7), 40, clock.Now());
  ASSERT_TRUE(receiver.Resolve(&brief));
  EXPECT_EQ(brief.from(), "n0");
  EXPECT_EQ(brief.incarnation(), 7U);
  EXPECT_EQ(receiver.Hear(brief, clock.Now()), Hearing::kAccepted);
  // n0 starts again: what its former start still says is nobody's word.
  EXPECT_EQ(receiver.Hear(From("n0", 8, 1), clock.Now()), Hearing::kAccepted);
  proto::Envelope late = send();
  EXPECT_FALSE(receiver.Resolve(&late));
  // n1 starts again and has folded nothing yet: it gets the long form.
  EXPECT_EQ(sender.Hear(From("n1", 2, 1), clock.Now()), Hearing::kAccepted);
  EXPECT_EQ(send().from(), "n0");
}

TEST(Roster, AnOlderVersionGetsTheLongForm)
{
  ManualClock clock;
  Roster sender({ "n0", 7 });
  proto::Join older = JoinOf("n1", 1);
  older.clear_wire();
  sender.OnJoin(JoinOf("n0", 7), 40, clock.Now());
  sender.OnJoin(older, 41, clock.Now());
  sender.Find("n1")->mApplied = 50;
  proto::Envelope envelope = From("n0", 7, 1);
  sender.Stamp("n1", &envelope, clock.Now());
  EXPECT_EQ(envelope.from(), "n0");
}

/// Symptom: records that a node asked for are dropped, again and again. Sequence: they travel over
/// a connection that is being opened, a heartbeat sent after them overtakes them. Cause: taking
/// what is late for what is stale. It is taken, but says nothing of whether its sender is alive
/// now.
TEST(Roster, AnAnswerOvertakenByAHeartbeatIsTakenAndRefreshesNothing)
{
  ManualClock clock;
  Roster roster({ "n0", 1 });
  EXPECT_EQ(roster.Hear(From("n1", 1, 9), clock.Now()), Hearing::kAccepted);
  clock.Advance(seconds(3));
  proto::Envelope records = From("n1", 1, 8);
  records.mutable_records();
  EXPECT_EQ(roster.Hear(records, clock.Now()), Hearing::kAccepted);
  EXPECT_EQ(roster.StatusOf("n1", clock.Now()), PeerStatus::kSuspect);
  EXPECT_EQ(roster.Find("n1")->mLastStampNs, 9U);
}

/// Symptom: after a partition heals, evidence that lay in a socket buffer for minutes counts as
/// fresh and a replica that died meanwhile is routed to.
/// Cause: taking the time of receipt for the time of sending.
/// Two nodes whose clocks differ by anything exchange messages that are delayed by anything, in
/// order: the bound is never later than the true time of sending, by the receiver's clock.
RC_GTEST_PROP(Roster, AMessageIsNeverTakenForYoungerThanItIs, ())
{
  const auto script = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 5000)));
  const Duration offset = seconds(*rc::gen::inRange(0, 100000));
  Duration real = seconds(10);
  const auto clockOf = [&](int aNode) {
    return TimePoint(real + (aNode == 1 ? offset : Duration(0)));
  };
  std::vector<Roster> rosters;
  rosters.emplace_back(RosterOptions{ "n0", 1 });
  rosters.emplace_back(RosterOptions{ "n1", 1 });
  struct Flying
  {
    proto::Envelope mEnvelope;
    Duration mSentAt;
  };
  std::array<std::deque<Flying>, 2> towards;
  for (const auto& [kind, delay] : script) {
    real += milliseconds(delay);
    const int node = kind % 2;
    const std::string other = node == 0 ? "n1" : "n0";
    if (kind < 2) {
      proto::Envelope envelope = From("n" + std::to_string(node), 1, 0);
      rosters[static_cast<std::size_t>(node)].Stamp(other, &envelope, clockOf(node));
      towards[static_cast<std::size_t>(1 - node)].push_back({ envelope, real });
      continue;
    }
    auto& queue = towards[static_cast<std::size_t>(node)];
    if (queue.empty()) {
      continue;
    }
    const Flying flying = queue.front();
    queue.pop_front();
    Roster& roster = rosters[static_cast<std::size_t>(node)];
    RC_ASSERT(roster.Hear(flying.mEnvelope, clockOf(node)) == Hearing::kAccepted);
    const TimePoint sent = clockOf(node) - (real - flying.mSentAt);
    RC_ASSERT(roster.Find(other)->mSentNoEarlier <= sent);
  }
}

struct EvidenceCase
{
  const char* mWhat;
  std::function<void(proto::Evidence&)> mChange;
  Wholeness mExpected;
};

proto::Evidence
Ready(const std::string& aHost)
{
  proto::Evidence evidence;
  evidence.set_host(aHost);
  evidence.set_host_incarnation(3);
  evidence.set_replica("r");
  evidence.set_generation(2);
  evidence.set_model_version("1");
  evidence.set_phase(proto::PHASE_READY);
  return evidence;
}

TEST(Evidence, OneMemberThatDoesNotConfirmTakesTheReplicaOut)
{
  const std::vector<EvidenceCase> cases = {
    { "whole", [](auto&) {}, Wholeness::kWhole },
    { "older generation", [](auto& aIt) { aIt.set_generation(1); }, Wholeness::kElsewhere },
    { "another replica", [](auto& aIt) { aIt.set_replica("q"); }, Wholeness::kElsewhere },
    { "loading", [](auto& aIt) { aIt.set_phase(proto::PHASE_LOADING); }, Wholeness::kNotReady },
    { "another version", [](auto& aIt) { aIt.set_model_version("2"); }, Wholeness::kNotReady },
    { "nothing listens", [](auto& aIt) { aIt.set_refused(true); }, Wholeness::kRefused },
    { "came back empty",
      [](auto& aIt) {
        aIt.set_host_incarnation(4);
        aIt.clear_replica();
        aIt.set_phase(proto::PHASE_IDLE);
      },
      Wholeness::kElsewhere },
  };
  for (const auto& it : cases) {
    ManualClock clock;
    EvidenceTable table;
    table.Merge(Ready("a"), clock.Now());
    proto::Evidence changed = Ready("b");
    it.mChange(changed);
    table.Merge(changed, clock.Now());
    const auto report = table.Judge({ "r", 2, "1", { "a", "b" } }, seconds(2), clock.Now());
    EXPECT_EQ(report.mWholeness, it.mExpected) << it.mWhat;
    EXPECT_EQ(report.mHost, it.mExpected == Wholeness::kWhole ? "" : "b") << it.mWhat;
  }
}

TEST(Evidence, OldWordsAndAbsentMembersDoNotCount)
{
  ManualClock clock;
  EvidenceTable table;
  table.Merge(Ready("a"), clock.Now());
  const Expected expected{ "r", 2, "1", { "a" } };
  EXPECT_EQ(table.Judge({ "r", 2, "1", { "a", "b" } }, seconds(2), clock.Now()).mWholeness,
            Wholeness::kUnheard);
  clock.Advance(seconds(3));
  EXPECT_EQ(table.Judge(expected, seconds(2), clock.Now()).mWholeness, Wholeness::kStale);
}

/// Symptom: a host that restarted is counted as a member on a word from before its restart, which
/// reached this node late through a peer.
TEST(Evidence, AnEarlierIncarnationNeverReplacesALaterOne)
{
  ManualClock clock;
  EvidenceTable table;
  proto::Evidence restarted = Ready("a");
  restarted.set_host_incarnation(4);
  restarted.clear_replica();
  table.Merge(restarted, clock.Now());
  table.Merge(Ready("a"), clock.Now() + seconds(1));
  EXPECT_EQ(table.Find("a")->mEvidence.host_incarnation(), 4U);
}

/// Symptom: a host that has left its replica is still counted in it at one node.
/// Sequence: the heartbeat that said so was dropped; later ones carry changes only.
/// Any changes, any losses: whenever the receiver holds the evidence for complete, it is what the
/// sender stands by; and after a full heartbeat it always is.
RC_GTEST_PROP(SharedEvidence, IsCompleteOnlyWhenItIsTheSendersOwn, ())
{
  const auto script = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 15)));
  std::map<std::string, proto::Evidence> hosts;
  EvidenceSender sender;
  EvidenceReceiver receiver;
  constexpr std::uint32_t kSlots = 16;
  for (const auto& [kind, index] : script) {
    const std::string host = "h" + std::to_string(index % 5);
    const bool lost = index >= 10; // whatever it says
    if (kind == 0) {
      hosts[host] = Ready(host);
    } else if (kind == 1) {
      hosts.erase(host);
    } else if (kind == 2 && hosts.count(host) > 0) {
      hosts[host].set_generation(hosts[host].generation() + 1);
    } else if (kind == 3 && hosts.count(host) > 0) {
      hosts[host].set_running(hosts[host].running() + 9);
    }
    std::vector<proto::Evidence> current;
    for (const auto& [name, word] : hosts) {
      current.push_back(word);
    }
    proto::Heartbeat heartbeat;
    const bool full = kind == 4;
    sender.Fill(current, milliseconds(1), kSlots, full, &heartbeat);
    if (lost) {
      continue;
    }
    const bool complete = receiver.Take(heartbeat, kSlots);
    RC_ASSERT(complete || !full);
    if (complete) {
      RC_ASSERT(receiver.Words().size() == hosts.size());
      for (const auto& [name, word] : hosts) {
        RC_ASSERT(receiver.Words().at(name).generation() == word.generation());
      }
    }
  }
}

} // namespace
} // namespace pepperbay
