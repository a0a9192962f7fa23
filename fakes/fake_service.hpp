/// @file
/// @brief A stand-in for a plain service: it counts how often each key ran.
#pragma once

#include "timers.hpp"

#include "pepperbay/http/server.hpp"

#include <map>
#include <string>

namespace fakes {

class FakeService
{
public:
  explicit FakeService(Timers& aTimers)
    : mTimers(aTimers)
  {
  }

  bool Listen(const std::string& aAddress, int aPort);

  /// Kinds: `cut_before` (the effect takes place, the connection closes without an answer),
  /// `half` (half of the answer, then the connection closes), `refuse` (503, did not run),
  /// `hang` (the effect takes place, no answer), `slow` (milliseconds), `none`.
  void Fault(const std::string& aKind, const std::string& aValue);

  /// Runs by key, as JSON.
  std::string Counts() const;

private:
  void Handle(const pepperbay::HttpRequest& aRequest,
              const std::shared_ptr<pepperbay::Responder>& aResponder);

  Timers& mTimers;
  mutable std::mutex mMutex;
  std::map<std::string, int> mRuns;
  std::string mFault;
  int mSlowMs = 0;
  std::vector<std::shared_ptr<pepperbay::Responder>> mHeld;
  std::unique_ptr<pepperbay::HttpServer> mServer;
};

} // namespace fakes
