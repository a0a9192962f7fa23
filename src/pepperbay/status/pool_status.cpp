#include "pepperbay/status/pool_status.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 10;
constexpr double kMsPerSecond = 1000;

ReplicaStatus
ReadReplica(const Json& aJson)
{
  ReplicaStatus replica;
  replica.mName = aJson.at("name").get<std::string>();
  replica.mService = aJson.at("service").get<std::string>();
  replica.mModel = aJson.at("model").get<std::string>();
  replica.mDomain = aJson.at("domain").get<std::string>();
  replica.mPhase = aJson.at("phase").get<std::string>();
  replica.mWhy = aJson.at("why").get<std::string>();
  replica.mEpoch = aJson.at("epoch").get<std::uint64_t>();
  replica.mMembers = aJson.at("members").get<std::vector<std::string>>();
  replica.mSince = std::chrono::milliseconds(aJson.at("since_ms").get<std::int64_t>());
  return replica;
}

NodeStatus
ReadNode(const Json& aJson)
{
  NodeStatus node;
  node.mNode = aJson.at("node").get<std::string>();
  node.mReady = aJson.at("ready").get<bool>();
  node.mHoldsLease = aJson.at("holds_lease").get<bool>();
  const Json& lease = aJson.at("lease");
  node.mLeaseHolder = lease.at("holder").get<std::string>();
  node.mFence = lease.at("fence").get<std::uint64_t>();
  node.mStoreReachable = !lease.at("log_lost").get<bool>();
  const Json& configuration = aJson.at("configuration");
  node.mConfiguration = configuration.at("version").get<std::uint64_t>();
  node.mConfigurationAge =
    std::chrono::milliseconds(configuration.at("age_ms").get<std::int64_t>());
  node.mEngines = aJson.at("engines").get<std::size_t>();
  node.mLostEngines = aJson.at("lost_engines").get<std::vector<std::string>>();
  for (const auto& it : aJson.at("replicas")) {
    node.mReplicas.push_back(ReadReplica(it));
  }
  for (const auto& it : aJson.at("held_requests")) {
    node.mHeld.push_back({ it.at("key").get<std::string>(),
                           it.at("engines").get<std::size_t>(),
                           std::chrono::milliseconds(it.at("for_ms").get<std::int64_t>()) });
  }
  // Nodes of earlier versions do not know these, nor the ways to engines below.
  for (const auto& it : aJson.value("limits", Json::array())) {
    node.mLimits.push_back({ it.at("engine").get<std::string>(),
                             it.at("data_centre").get<std::string>(),
                             it.at("per_second").get<double>() });
  }
  node.mCountsFor = aJson.value("counts_for", std::vector<std::string>());
  for (const auto& it : aJson.at("peers")) {
    ++node.mPeers;
    node.mPeersAlive += it.at("alive").get<bool>() ? 1 : 0;
  }
  const Json& delegates = aJson.at("delegates");
  node.mDelegate = delegates.at("followed").get<std::string>();
  node.mFollowers = delegates.at("followers").get<std::size_t>();
  node.mReader = aJson.at("store_read_by").at("node").get<std::string>();
  node.mEnginesAge =
    std::chrono::milliseconds(aJson.at("logs").at("engines").at("age_ms").get<std::int64_t>());
  if (const auto reach = aJson.find("engines_reached"); reach != aJson.end()) {
    node.mReachesEngines = reach->at("directly").get<bool>();
    node.mProxies = reach->at("through").get<std::vector<std::string>>();
  }
  node.mNewsAge = std::chrono::milliseconds(aJson.at("news").at("age_ms").get<std::int64_t>());
  return node;
}

std::string
Seconds(Duration aDuration)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << static_cast<double>(ToMs(aDuration).count()) / kMsPerSecond << " s";
  return text.str();
}

template<class Value>
void
Column(std::ostream& aOut, const Value& aValue, int aWidth)
{
  aOut << std::left << std::setw(aWidth) << aValue << " ";
}

void
WriteNodes(std::ostream& aOut, const std::vector<AskedNode>& aNodes)
{
  Column(aOut, "NODE", kNameWidth);
  for (const char* it :
       { "READY", "CONFIG", "AGE", "ENG. AGE", "STORE", "PEERS", "NEWS AGE", "FOLLOWERS" }) {
    Column(aOut, it, kNumberWidth);
  }
  Column(aOut, "READER", kNameWidth);
  Column(aOut, "DELEGATE", kNameWidth);
  aOut << "LEASE\n";
  for (const auto& asked : aNodes) {
    if (!asked.mStatus.has_value()) {
      Column(aOut, asked.mAddress, kNameWidth);
      aOut << "no answer: " << ToString(asked.mStatus.error()) << "\n";
      continue;
    }
    const NodeStatus& it = asked.mStatus.value();
    Column(aOut, it.mNode, kNameWidth);
    Column(aOut, it.mReady ? "yes" : "no", kNumberWidth);
    Column(aOut, it.mConfiguration, kNumberWidth);
    Column(aOut, Seconds(it.mConfigurationAge), kNumberWidth);
    Column(aOut, Seconds(it.mEnginesAge), kNumberWidth);
    Column(aOut, it.mStoreReachable ? "reached" : "lost", kNumberWidth);
    Column(aOut, std::to_string(it.mPeersAlive) + " of " + std::to_string(it.mPeers), kNumberWidth);
    Column(aOut, Seconds(it.mNewsAge), kNumberWidth);
    Column(aOut, it.mFollowers, kNumberWidth);
    Column(aOut, it.mReader == it.mNode ? "itself" : it.mReader, kNameWidth);
    Column(aOut, it.mDelegate == it.mNode ? "itself" : it.mDelegate, kNameWidth);
    aOut << (it.mHoldsLease ? "holds it" : "of " + it.mLeaseHolder) << ", fence " << it.mFence
         << "\n";
  }
}

void
WriteReplicas(std::ostream& aOut, const NodeStatus& aHolder)
{
  aOut << "\nreplicas, as " << aHolder.mNode << " plans them; " << aHolder.mEngines << " engines, "
       << aHolder.mLostEngines.size() << " lost\n";
  for (const auto& it : aHolder.mReplicas) {
    aOut << "  ";
    Column(aOut, it.mName, kNameWidth);
    Column(aOut, it.mModel, kNumberWidth);
    Column(aOut, it.mDomain, kNumberWidth);
    Column(aOut, it.mPhase, kNumberWidth);
    aOut << "for " << Seconds(it.mSince) << ", epoch " << it.mEpoch;
    if (it.mPhase != "open") {
      aOut << ": " << (it.mWhy.empty() ? "on its way" : it.mWhy);
    }
    aOut << "\n    members";
    for (const auto& member : it.mMembers) {
      aOut << " " << member;
    }
    aOut << "\n";
  }
  for (const auto& it : aHolder.mLostEngines) {
    aOut << "  lost: " << it << "\n";
  }
}

/// Every node should hold back the same; one that does not has not heard.
void
WriteHeld(std::ostream& aOut, const std::vector<AskedNode>& aNodes)
{
  struct Held
  {
    HeldRequestStatus mLongest;
    std::size_t mNodes = 0;
  };
  std::map<std::string, Held> held;
  std::size_t answered = 0;
  for (const auto& asked : aNodes) {
    if (!asked.mStatus.has_value()) {
      continue;
    }
    ++answered;
    for (const auto& it : asked.mStatus.value().mHeld) {
      Held& entry = held[it.mKey];
      ++entry.mNodes;
      if (it.mLeft >= entry.mLongest.mLeft) {
        entry.mLongest = it;
      }
    }
  }
  for (const auto& [key, it] : held) {
    aOut << "\nheld back: request " << key << ", " << it.mLongest.mEngines
         << " engines ended under it, for " << Seconds(it.mLongest.mLeft) << " more, by "
         << it.mNodes << " of " << answered << " nodes\n";
  }
}

/// Whoever counts knows best; nodes that have sent an engine nothing for long may know an old
/// limit.
void
WriteLimits(std::ostream& aOut, const std::vector<AskedNode>& aNodes)
{
  struct Limit
  {
    LimitStatus mStatus;
    std::string mCountedBy;
  };
  std::map<std::string, Limit> limits;
  for (const auto& asked : aNodes) {
    if (!asked.mStatus.has_value()) {
      continue;
    }
    const NodeStatus& node = asked.mStatus.value();
    for (const auto& it : node.mLimits) {
      const bool counts =
        std::find(node.mCountsFor.begin(), node.mCountsFor.end(), it.mDataCentre) !=
        node.mCountsFor.end();
      Limit& limit = limits.try_emplace(it.mEngine, Limit{ it, "" }).first->second;
      if (counts) {
        limit = { it, node.mNode };
      }
    }
  }
  for (const auto& [engine, it] : limits) {
    aOut << "\nlimited: engine " << engine << " takes " << it.mStatus.mPerSecond
         << " requests a second, "
         << (it.mCountedBy.empty() ? "counted by none of these nodes"
                                   : "counted by " + it.mCountedBy)
         << "\n";
  }
}

void
WriteUnreached(std::ostream& aOut, const std::vector<AskedNode>& aNodes)
{
  for (const auto& asked : aNodes) {
    if (!asked.mStatus.has_value() || asked.mStatus.value().mReachesEngines) {
      continue;
    }
    const NodeStatus& node = asked.mStatus.value();
    aOut << "\n" << node.mNode << " reaches no engine by its own connections; ";
    if (node.mProxies.empty()) {
      aOut << "no peer that reaches any is known to it\n";
      continue;
    }
    aOut << "it goes through";
    for (const auto& it : node.mProxies) {
      aOut << " " << it;
    }
    aOut << "\n";
  }
}

void
WriteDoubts(std::ostream& aOut, const std::vector<AskedNode>& aNodes)
{
  std::size_t holders = 0;
  std::uint64_t newest = 0;
  for (const auto& it : aNodes) {
    if (it.mStatus.has_value()) {
      holders += it.mStatus.value().mHoldsLease ? 1 : 0;
      newest = std::max(newest, it.mStatus.value().mConfiguration);
    }
  }
  if (holders == 0) {
    aOut << "\nnone of these nodes holds the lease: no replica is repaired by them\n";
  } else if (holders > 1) {
    aOut << "\n"
         << holders << " nodes hold the lease by their own account; they were not asked at "
         << "the same moment, and engines refuse the orders of the lower fence\n";
  }
  for (const auto& it : aNodes) {
    if (it.mStatus.has_value() && it.mStatus.value().mConfiguration < newest) {
      aOut << it.mStatus.value().mNode << " is behind: configuration "
           << it.mStatus.value().mConfiguration << " of " << newest << "\n";
    }
  }
}

} // namespace

Result<NodeStatus>
ParseNodeStatus(const std::string& aAddress, const std::string& aDump)
{
  try {
    return ReadNode(Json::parse(aDump));
  } catch (const Json::exception& error) {
    return Error{ Errc::kInvalid, "status.read", aAddress, error.what() };
  }
}

std::string
PoolReport(const std::vector<AskedNode>& aNodes)
{
  std::ostringstream out;
  WriteNodes(out, aNodes);
  for (const auto& it : aNodes) {
    if (it.mStatus.has_value() && it.mStatus.value().mHoldsLease) {
      WriteReplicas(out, it.mStatus.value());
    }
  }
  WriteHeld(out, aNodes);
  WriteLimits(out, aNodes);
  WriteUnreached(out, aNodes);
  WriteDoubts(out, aNodes);
  return out.str();
}

} // namespace pepperbay
