#include "connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace pepperbay {

std::size_t
MaxIdleConnections(int aMaxConnections, int aNodes)
{
  constexpr std::size_t kMaxIdle = 12;
  constexpr int kHalf = 2;
  if (aMaxConnections <= 0) {
    return kMaxIdle;
  }
  return std::min(kMaxIdle,
                  static_cast<std::size_t>(aMaxConnections / kHalf / std::max(1, aNodes)));
}

ConnectionPool::ConnectionPool(const ConnectionPoolOptions& aOptions, NowFn aNow)
  : mOptions(aOptions)
  , mNow(std::move(aNow))
{
}

std::optional<EngineSocket>
ConnectionPool::Take(const std::string& aEngine,
                     const std::function<bool(const std::string& aPeer)>& aMayUse)
{
  const auto idle = mIdle.find(aEngine);
  if (idle == mIdle.end()) {
    return std::nullopt;
  }
  std::optional<EngineSocket> found;
  auto& all = idle->second;
  // The most recently used connection is the least likely to be closed.
  for (std::size_t i = all.size(); i > 0 && !found; --i) {
    Idle& last = all[i - 1];
    if (!aMayUse(last.mSocket.mPeer)) {
      continue;
    }
    if (mNow() < last.mUntil && Peek(last.mSocket.mSocket) == PeekResult::kQuiet) {
      found = std::move(last.mSocket);
    }
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(i - 1));
  }
  if (idle->second.empty()) {
    mIdle.erase(idle);
  }
  return found;
}

void
ConnectionPool::Put(const std::string& aEngine,
                    EngineSocket aSocket,
                    std::optional<Duration> aKeepAlive,
                    std::size_t aMaxIdle)
{
  const Duration keep = aKeepAlive ? *aKeepAlive - mOptions.mMargin : mOptions.mIdle;
  if (keep <= Duration::zero()) {
    return;
  }
  auto& idle = mIdle[aEngine];
  if (idle.size() >= aMaxIdle) {
    return;
  }
  idle.push_back({ std::move(aSocket), mNow() + keep });
}

void
ConnectionPool::ForgetByPeer(const std::function<bool(const std::string& aPeer)>& aForgets)
{
  for (auto& [engine, idle] : mIdle) {
    idle.erase(std::remove_if(idle.begin(),
                              idle.end(),
                              [&](const Idle& aIdle) { return aForgets(aIdle.mSocket.mPeer); }),
               idle.end());
  }
}

void
ConnectionPool::Tick()
{
  const TimePoint now = mNow();
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    auto& idle = it->second;
    idle.erase(std::remove_if(idle.begin(),
                              idle.end(),
                              [now](const Idle& aIdle) { return now >= aIdle.mUntil; }),
               idle.end());
    it = idle.empty() ? mIdle.erase(it) : std::next(it);
  }
}

std::size_t
ConnectionPool::Size() const
{
  std::size_t n = 0;
  for (const auto& [engine, idle] : mIdle) {
    n += idle.size();
  }
  return n;
}

} // namespace pepperbay
