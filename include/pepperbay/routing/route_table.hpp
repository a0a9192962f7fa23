/// @file
/// @brief The operator's configuration as typed values, and the lookup of a request's route. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pepperbay {

/// Whether a request may be repeated.
enum class RequestKind
{
  kSafe,         ///< may run more than once
  kUnrepeatable, ///< may run at most once
  kStream,       ///< answered by a stream of events; unrepeatable unless the route is resumable
};

/// A weighted share of a route's traffic.
struct WeightedService
{
  std::string mService;
  double mWeight = 1.0;
};

struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< begins and ends with a slash
  RequestKind mKind = RequestKind::kUnrepeatable;
  /// Streams only: another engine may resume after the last event passed on.
  bool mResumable = false;
  bool mPublic = false;                          ///< needs no key
  Duration mTimeout = std::chrono::seconds(30);  ///< maximum time to the answer
  Duration mObjective = std::chrono::seconds(1); ///< to the answer, or to a stream's first event
  Duration mLongestPause{ 0 };                   ///< between events that are on time; 0: not set
  int mPriority = 0;                             ///< 0 is the most urgent
  int mMaxAttempts = 1; ///< number of engines to which a request may be sent
  std::vector<WeightedService> mSplit;

  /// @return whether a request may be sent again after an engine may have started it.
  bool Repeatable() const
  {
    return mKind == RequestKind::kSafe || (mKind == RequestKind::kStream && mResumable);
  }
};

/// A model that a pool of engines serves in replicas of several engines.
struct ModelSpec
{
  std::string mName;
  std::size_t mSize = 1; ///< engines of one replica
  double mShare = 0;     ///< initial share of the pool's engines
  double mPace = 1.0;    ///< factor of all times of a replica
  Duration mLoadTime{ 0 };
  Duration mWarmupTime{ 0 }; ///< to join a replica with the weights already on the host
};

/// How the engines of a pool work; times are of one replica at pace 1.
struct EnginePool
{
  int mSlots = 1;
  std::vector<ModelSpec> mModels;
  Duration mStepTime{ 0 };
  Duration mStepTimePerRequest{ 0 };
  double mPromptTokensPerSecond = 1;
  int mStepsPerEvent = 1;
  Duration mFormTime{ 0 }; ///< from the order to open a replica until its head serves
  double mLoadsPerSecond = 1;
  int mLoadsAtOnce = 1;
  double mUsualPrompt = 0; ///< tokens
  double mUsualAnswer = 0; ///< tokens

  const ModelSpec* FindModel(const std::string& aName) const;
};

/// @return the duration of a usual answer at a replica of a model with all slots in use; zero if
/// the pool does not specify it.
Duration
UsualAnswerTime(const EnginePool& aPool, const ModelSpec& aModel);

struct ServiceSpec
{
  std::string mName;
  std::string mHealthPath;
  int mMaxConnections = 0;         ///< of all callers to one engine; 0: not set
  std::optional<EnginePool> mPool; ///< set for engines that serve models in replicas
};

/// Limits of size and time for a caller's request.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16384;
  std::size_t mBodyBytes = 4194304;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

struct CustomerSpec
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<int> mPriority; ///< overrides the route's
};

/// One complete version of the operator's configuration.
struct Configuration
{
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ServiceSpec> mServices;
  std::vector<CustomerSpec> mCustomers;
  CallerLimits mLimits;
};

/// Looks up routes, services and customers of one configuration. Immutable.
///
/// @code
/// RouteTable table(configuration);
/// if (const Route* route = table.Find("shop.example", "/lots/17")) { ... }
/// @endcode
class RouteTable
{
public:
  explicit RouteTable(Configuration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  std::uint64_t Version() const { return mConfiguration.mVersion; }
  const CallerLimits& Limits() const { return mConfiguration.mLimits; }
  const std::vector<ServiceSpec>& Services() const { return mConfiguration.mServices; }

  /// @return the route of the host with the longest prefix of the path; null when there is none.
  /// @param aHost as the caller sent it; a port and letter case are ignored
  /// @param aPath may include a query
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// @return whether requests must carry a customer's key.
  bool NeedsKeys() const { return !mConfiguration.mCustomers.empty(); }
  /// @return the customer that holds the key; null for an unknown key.
  const CustomerSpec* CustomerOf(const std::string& aKey) const;

  const ServiceSpec* FindService(const std::string& aName) const;

  /// @return the service of a route's split for a request; always the same for the same hash. Null
  /// if the split names no existing service.
  const ServiceSpec* PickService(const Route& aRoute, std::uint64_t aRequestHash) const;

private:
  Configuration mConfiguration;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> mByHost;
  std::unordered_map<std::string, const CustomerSpec*> mByKey;
  std::unordered_map<std::string, const ServiceSpec*> mByService;
};

} // namespace pepperbay
