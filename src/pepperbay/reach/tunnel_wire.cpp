#include "pepperbay/reach/tunnel_wire.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace pepperbay {
namespace {

constexpr std::string_view kScheme = "Pepperbay ";
constexpr std::size_t kLongestName = 256;
constexpr std::chrono::seconds kLongestWithin{ 10 };

struct Status
{
  TunnelAnswer mAnswer;
  int mStatus;
};

constexpr std::array<Status, 5> kStatuses{ { { TunnelAnswer::kOpen, 200 },
                                             { TunnelAnswer::kUnknown, 404 },
                                             { TunnelAnswer::kRefused, 502 },
                                             { TunnelAnswer::kNotNow, 503 },
                                             { TunnelAnswer::kSilent, 504 } } };

Error
Bad(const char* aName, const std::string& aDetail)
{
  return { Errc::kInvalid, "tunnel.decode", aName, aDetail };
}

} // namespace

std::vector<TunnelHeader>
HeadersOf(const TunnelRequest& aRequest)
{
  return { { kTunnelKey, std::string(kScheme) + aRequest.mKey },
           { kTunnelEngine, aRequest.mEngine },
           { kTunnelFrom, aRequest.mFrom },
           { kTunnelWithin, std::to_string(ToMs(aRequest.mWithin).count()) } };
}

Result<TunnelRequest>
ReadTunnelRequest(const std::function<std::string(const char* aName)>& aFind)
{
  TunnelRequest request;
  const std::string key = aFind(kTunnelKey);
  if (key.compare(0, kScheme.size(), kScheme) != 0) {
    return Bad(kTunnelKey, "must begin with 'Pepperbay '");
  }
  request.mKey = key.substr(kScheme.size());
  request.mEngine = aFind(kTunnelEngine);
  request.mFrom = aFind(kTunnelFrom);
  for (const auto* it : { &request.mKey, &request.mEngine, &request.mFrom }) {
    if (it->empty() || it->size() > kLongestName) {
      return Bad("headers", "key, engine and node must have 1 to 256 characters");
    }
  }
  const std::string within = aFind(kTunnelWithin);
  std::int64_t ms = 0;
  const auto read = std::from_chars(within.data(), within.data() + within.size(), ms);
  const bool whole = read.ec == std::errc() && read.ptr == within.data() + within.size();
  if (!whole || ms <= 0 || std::chrono::milliseconds(ms) > kLongestWithin) {
    return Bad(kTunnelWithin, "must be 1 to 10000");
  }
  request.mWithin = std::chrono::milliseconds(ms);
  return request;
}

const char*
ToString(TunnelAnswer aAnswer)
{
  switch (aAnswer) {
    case TunnelAnswer::kOpen:
      return "open";
    case TunnelAnswer::kRefused:
      return "refused";
    case TunnelAnswer::kSilent:
      return "silent";
    case TunnelAnswer::kNotNow:
      return "not now";
    case TunnelAnswer::kUnknown:
      return "unknown engine";
    case TunnelAnswer::kNone:
      return "no answer";
  }
  return "unknown";
}

int
StatusOf(TunnelAnswer aAnswer)
{
  const auto* const it =
    std::find_if(kStatuses.begin(), kStatuses.end(), [aAnswer](const Status& aIt) {
      return aIt.mAnswer == aAnswer;
    });
  return it == kStatuses.end() ? 0 : it->mStatus;
}

TunnelAnswer
TunnelAnswerOf(int aStatus)
{
  const auto* const it =
    std::find_if(kStatuses.begin(), kStatuses.end(), [aStatus](const Status& aIt) {
      return aIt.mStatus == aStatus;
    });
  return it == kStatuses.end() ? TunnelAnswer::kNone : it->mAnswer;
}

bool
SaysEngineIsAway(TunnelAnswer aAnswer, bool aSight)
{
  return aSight && (aAnswer == TunnelAnswer::kRefused || aAnswer == TunnelAnswer::kSilent);
}

} // namespace pepperbay
