/// @file
/// @brief Real processes on loopback addresses for the tests of failures.
///
/// Tests wait on events: a node's dump is asked for "once it changes", never after a time.
#pragma once

#include "fakes/fake_wire.hpp"

#include "pepperbay/http/client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tests {

using Json = nlohmann::json;

/// A child process; killed when it goes out of scope.
class Process
{
public:
  Process() = default;
  explicit Process(const std::vector<std::string>& aArguments, const std::string& aErrorFile);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  /// @return the exit code, or minus the signal that ended it.
  int Wait();
  bool Running() const { return mPid > 0; }
  pid_t Pid() const { return mPid; }

private:
  pid_t mPid = -1;
};

struct ClusterOptions
{
  int mNet = 40; ///< second part of all addresses; one for each test program
  std::vector<std::string> mCentres{ "levis" };
  int mNodesPerCentre = 3;
  int mDomains = 1;
  int mHostsPerDomain = 5;
  int mUnchecked = 0; ///< hosts of a domain that ignore fencing numbers
  int mTokenMs = 2;
  int mLoadMs = 50;
  int mSlots = 16;
  std::string mMoreSettings; ///< YAML under `requests:`, indented by two
  std::string mProfiles;     ///< what to publish; a default when empty
};

/// One answer to a caller.
struct Answer
{
  pepperbay::HttpFetched mFetched;
  std::string mRan;    ///< of an answer that is no success
  bool mWhole = false; ///< complete, in order, and to this request's own prompt
};

class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Start all nodes, publish, and wait until every node routes to whole replicas.
  void StartAndPublish();
  void StartNode(int aNode);
  int Nodes() const { return static_cast<int>(mNodes.size()); }
  Process& Node(int aNode) { return mNodes.at(static_cast<std::size_t>(aNode)); }

  Json Dump(int aNode);
  /// Wait until a node's dump fulfils a condition; fails the test, with the dump, after a minute.
  Json WaitFor(int aNode, const std::string& aWhat, const std::function<bool(const Json&)>& aIs);
  /// The same for every node that runs.
  void WaitForAll(const std::string& aWhat, const std::function<bool(const Json&)>& aIs);

  /// @return the node that holds the control lease, after waiting for one.
  int Holder();

  void Fault(const std::string& aTarget, const std::string& aKind, const std::string& aValue = "1");
  Json Stats();
  Json Runs();

  /// Cut the path from one node to another, or to the log.
  void CutPeer(int aFrom, int aTo, bool aCut);
  void CutLog(int aNode, bool aCut);

  /// A model request, answered whole or not.
  Answer Ask(int aNode, int aTokens = 8, bool aStream = true, const std::string& aPrompt = "");
  pepperbay::HttpFetched Call(const std::string& aMethod,
                              const std::string& aUrl,
                              const std::string& aBody = "",
                              std::vector<pepperbay::HttpHeader> aHeaders = {});
  /// A bare connection to a node's callers' address with a small window, for callers that
  /// misbehave.
  /// @return its descriptor, which the test closes
  int Connect(int aNode) const;
  pepperbay::HttpFetched PublishYaml(int aNode, const std::string& aYaml);

  std::string NodeIp(int aNode) const;
  std::string NodeName(int aNode) const;
  std::string PlatformIp() const;
  std::string ErrorsOf(int aNode) const;
  std::string FilePath(const std::string& aName) const { return mFolder + "/" + aName; }

private:
  std::string WriteSettings(int aNode) const;

  ClusterOptions mOptions;
  std::string mFolder;
  std::unique_ptr<pepperbay::HttpClient> mClient;
  Process mFakes;
  std::vector<Process> mNodes;
  std::vector<std::unique_ptr<fakes::FakeWire>> mWires;
  int mPrompts = 0;
};

/// Asks without pause at all nodes from a thread of its own and judges every answer.
class Asker
{
public:
  Asker(Cluster& aCluster, int aTokens);
  ~Asker();
  Asker(const Asker&) = delete;
  Asker& operator=(const Asker&) = delete;

  /// Wait until so many more requests were answered whole.
  void WaitWhole(int aMore);
  /// Stop and report what was ever wrong; empty when nothing was.
  std::string Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// @return a part of a dump by its JSON pointer, or null where there is none.
Json
At(const Json& aDump, const std::string& aPointer);

/// @return whether a replica is whole in a dump.
bool
HasWhole(const Json& aDump, int aCount = 1);

} // namespace tests
