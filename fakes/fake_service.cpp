#include "fake_service.hpp"

#include <nlohmann/json.hpp>

namespace fakes {

using pepperbay::FirstValue;
using pepperbay::HttpRequest;
using pepperbay::Responder;

bool
FakeService::Listen(const std::string& aAddress, int aPort)
{
  pepperbay::HttpServerOptions options;
  options.mAddress = aAddress;
  options.mPort = aPort;
  auto server = pepperbay::HttpServer::Start(
    options,
    [this](const HttpRequest& aRequest, const auto& aResponder) { Handle(aRequest, aResponder); });
  if (!server.has_value()) {
    return false;
  }
  mServer = std::move(server.value());
  return true;
}

void
FakeService::Fault(const std::string& aKind, const std::string& aValue)
{
  std::vector<std::shared_ptr<Responder>> release;
  {
    const std::lock_guard lock(mMutex);
    mFault = aKind == "none" || aKind == "slow" ? "" : aKind;
    mSlowMs = aKind == "slow" ? std::atoi(aValue.c_str()) : 0;
    release.swap(mHeld);
  }
  for (const auto& it : release) {
    it->Abort();
  }
}

std::string
FakeService::Counts() const
{
  const std::lock_guard lock(mMutex);
  return nlohmann::json(mRuns).dump();
}

void
FakeService::Handle(const HttpRequest& aRequest, const std::shared_ptr<Responder>& aResponder)
{
  const std::string key =
    FirstValue(aRequest.mHeaders, "Idempotency-Key").value_or("body:" + aRequest.mBody);
  std::string fault;
  int runs = 0;
  int slow = 0;
  {
    const std::lock_guard lock(mMutex);
    fault = mFault;
    slow = mSlowMs;
    if (fault == "refuse") {
      aResponder->Send({ 503, { { "X-Ran", "no" } }, R"({"error":"busy"})" });
      return;
    }
    runs = ++mRuns[key];
    if (fault == "hang") {
      mHeld.push_back(aResponder);
      return;
    }
  }
  const std::string body =
    R"({"ran":"yes","key":")" + key + R"(","runs":)" + std::to_string(runs) + "}";
  if (fault == "cut_before") {
    aResponder->Abort();
  } else if (fault == "half") {
    aResponder->StartStream({ 200, {}, "" });
    aResponder->Write(body.substr(0, body.size() / 2));
    aResponder->Abort();
  } else if (slow > 0) {
    mTimers.After(std::chrono::milliseconds(slow), [aResponder, body] {
      aResponder->Send({ 200, {}, body });
    });
  } else {
    aResponder->Send({ 200, {}, body });
  }
}

} // namespace fakes
