#include "pepperbay/routing/route_table.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// Host names are compared without port and letter case.
std::string
NormalHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

bool
BeginsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

Duration
UsualAnswerTime(const EnginePool& aPool, const ModelSpec& aModel)
{
  const Duration step = aPool.mStepTime + aPool.mStepTimePerRequest * aPool.mSlots;
  const auto writing = std::chrono::duration<double>(step) * aPool.mUsualAnswer;
  const std::chrono::duration<double> reading(aPool.mUsualPrompt /
                                              std::max(1.0, aPool.mPromptTokensPerSecond));
  return std::chrono::duration_cast<Duration>((writing + reading) * aModel.mPace);
}

const ModelSpec*
EnginePool::FindModel(const std::string& aName) const
{
  const auto it = std::find_if(
    mModels.begin(), mModels.end(), [&](const ModelSpec& aModel) { return aModel.mName == aName; });
  return it == mModels.end() ? nullptr : &*it;
}

RouteTable::RouteTable(Configuration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const auto& it : mConfiguration.mRoutes) {
    mByHost[NormalHost(it.mHost)].push_back(&it);
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
    });
  }
  for (const auto& it : mConfiguration.mCustomers) {
    for (const auto& key : it.mKeys) {
      mByKey[key] = &it;
    }
  }
  for (const auto& it : mConfiguration.mServices) {
    mByService[it.mName] = &it;
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto routes = mByHost.find(NormalHost(aHost));
  if (routes == mByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const Route* it : routes->second) {
    if (BeginsWith(path, it->mPathPrefix)) {
      return it;
    }
  }
  return nullptr;
}

const CustomerSpec*
RouteTable::CustomerOf(const std::string& aKey) const
{
  const auto it = mByKey.find(aKey);
  return it == mByKey.end() ? nullptr : it->second;
}

const ServiceSpec*
RouteTable::FindService(const std::string& aName) const
{
  const auto it = mByService.find(aName);
  return it == mByService.end() ? nullptr : it->second;
}

const ServiceSpec*
RouteTable::PickService(const Route& aRoute, std::uint64_t aRequestHash) const
{
  double total = 0;
  for (const auto& it : aRoute.mSplit) {
    total += it.mWeight;
  }
  constexpr std::uint64_t kSteps = 1U << 20U; // resolves weights in percent
  double left = total * static_cast<double>(aRequestHash % kSteps) / static_cast<double>(kSteps);
  for (const auto& it : aRoute.mSplit) {
    left -= it.mWeight;
    if (left < 0) {
      return FindService(it.mService);
    }
  }
  return aRoute.mSplit.empty() ? nullptr : FindService(aRoute.mSplit.back().mService);
}

} // namespace pepperbay
