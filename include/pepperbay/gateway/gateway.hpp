/// @file
/// @brief Callers' requests: checked, admitted, sent to a replica or service, answered once.
///
/// Runs on traffic threads only. It learns of the control state through immutable views.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/control/traffic_view.hpp"
#include "pepperbay/dispatch/claims.hpp"
#include "pepperbay/http/client.hpp"
#include "pepperbay/http/server.hpp"
#include "pepperbay/settings/settings.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <pepperbay.pb.h>

namespace pepperbay {

/// Counts since the start; see docs/OPERATING.md for what each means and which to alarm on.
struct GatewayCounters
{
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mCompleted{ 0 };
  std::atomic<std::uint64_t> mInvalid{ 0 };  ///< answered 4xx for bad input
  std::atomic<std::uint64_t> mRefused{ 0 };  ///< answered "not run" with when to come back
  std::atomic<std::uint64_t> mFailed{ 0 };   ///< accepted and not answered whole
  std::atomic<std::uint64_t> mUnknown{ 0 };  ///< of the failed, those that may have run
  std::atomic<std::uint64_t> mReplayed{ 0 }; ///< answered from the claim of their key
  std::atomic<std::uint64_t> mCallerGone{ 0 };
  std::atomic<std::uint64_t> mAttempts{ 0 };
  std::atomic<std::uint64_t> mRetries{ 0 };
  std::atomic<std::uint64_t> mResumes{ 0 };
  std::atomic<std::uint64_t> mForeignParts{ 0 }; ///< of another attempt; dropped
  std::atomic<std::uint64_t> mDoubledParts{ 0 }; ///< already passed on; dropped
  std::atomic<std::uint64_t> mTokens{ 0 };
  std::atomic<std::uint64_t> mSpilled{ 0 }; ///< passed on to another data centre
  std::atomic<std::uint64_t> mOpen{ 0 };    ///< accepted and not yet answered
};

/// Claims of idempotency keys, carried to the control thread and back. The answer of a claim comes
/// on any thread, never within the call.
struct ClaimHooks
{
  std::function<void(const KeyClaim&, std::function<void(const proto::ClaimAnswer&)> aDone)> mClaim;
  std::function<
    void(const std::string& aKey, const std::string& aClaimId, const proto::KeptAnswer& aAnswer)>
    mReport;
  std::function<void(const std::string& aKey, const std::string& aClaimId)> mAbandon;
};

class Gateway
{
public:
  Gateway(const Settings& aSettings, NowFn aNow, ClaimHooks aClaims);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Take a request of a caller; any thread.
  void Handle(HttpRequest aRequest, std::shared_ptr<Responder> aResponder);

  /// A new view from the control thread.
  void SetView(std::shared_ptr<const TrafficView> aView);

  /// For the control thread's heartbeats.
  TrafficReport Report() const;

  const GatewayCounters& Counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace pepperbay
