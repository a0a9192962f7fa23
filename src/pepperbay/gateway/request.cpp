#include "request.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace pepperbay {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxEventLine = 1U << 20U;
constexpr std::size_t kMaxKey = 256;
constexpr int kForbiddenField = 400;
constexpr std::uint32_t kLowestCallerPriority = 9;

/// Headers that decide how a request is handled. One given twice is ambiguous: two proxies may each
/// have read another one, so it is refused.
constexpr std::array<const char*, 6> kOwnHeaders{ "X-Customer",      "X-Deadline-Ms",
                                                  "X-Priority",      "X-Unrepeatable",
                                                  "Idempotency-Key", "X-Pepperbay-Forwarded" };

BadField
Bad(const std::string& aField, const std::string& aMessage)
{
  return { kForbiddenField, aField, aMessage };
}

std::optional<std::int64_t>
WholeNumber(const std::string& aText)
{
  constexpr std::size_t kMostDigits = 15;
  if (aText.empty() || aText.size() > kMostDigits ||
      aText.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoll(aText);
}

std::optional<BadField>
ReadDeadline(const HttpRequest& aRequest, const RequestLimits& aLimits, CallerRequest* aOut)
{
  aOut->mTimeLeft = aLimits.mDefaultDeadline;
  const auto text = FirstValue(aRequest.mHeaders, "X-Deadline-Ms");
  if (!text) {
    return std::nullopt;
  }
  const auto ms = WholeNumber(*text);
  const auto most = ToMs(aLimits.mLongestDeadline).count();
  if (!ms || *ms < 1 || *ms > most) {
    return Bad("X-Deadline-Ms",
               "must be a whole number of milliseconds from now, 1 to " + std::to_string(most));
  }
  aOut->mTimeLeft = std::chrono::milliseconds(*ms);
  return std::nullopt;
}

std::optional<BadField>
ReadHeaders(const HttpRequest& aRequest, const RequestLimits& aLimits, CallerRequest* aOut)
{
  for (const char* name : kOwnHeaders) {
    if (HeaderValues(aRequest.mHeaders, name).size() > 1) {
      return Bad(name, "may be given once only");
    }
  }
  const auto customer = FirstValue(aRequest.mHeaders, "X-Customer");
  if (!customer || customer->empty()) {
    return Bad("X-Customer", "is missing; it names the customer that asks");
  }
  aOut->mCustomer = *customer;
  const auto priority = FirstValue(aRequest.mHeaders, "X-Priority");
  if (priority) {
    const auto number = WholeNumber(*priority);
    if (!number || *number > static_cast<std::int64_t>(kLowestCallerPriority)) {
      return Bad("X-Priority", "must be 0 (most urgent) to 9");
    }
    aOut->mPriority = static_cast<std::uint32_t>(*number);
  }
  const auto unrepeatable = FirstValue(aRequest.mHeaders, "X-Unrepeatable");
  if (unrepeatable && *unrepeatable != "true" && *unrepeatable != "false") {
    return Bad("X-Unrepeatable", "must be true or false");
  }
  aOut->mUnrepeatable = unrepeatable.value_or("false") == "true";
  aOut->mKey = FirstValue(aRequest.mHeaders, "Idempotency-Key").value_or("");
  const bool printable = std::all_of(aOut->mKey.begin(), aOut->mKey.end(), [](unsigned char aChar) {
    return aChar > ' ' && aChar <= '~';
  });
  if (aOut->mKey.size() > kMaxKey || !printable) {
    return Bad("Idempotency-Key", "must be at most 256 printable ASCII characters without spaces");
  }
  aOut->mForwarded = FirstValue(aRequest.mHeaders, "X-Pepperbay-Forwarded").has_value();
  aOut->mContentType = FirstValue(aRequest.mHeaders, "Content-Type").value_or("application/json");
  return ReadDeadline(aRequest, aLimits, aOut);
}

std::string
PromptOf(const Json& aMessages)
{
  std::string prompt;
  for (const auto& it : aMessages) {
    prompt += it.value("role", "") + ":";
    if (it.contains("content") && it["content"].is_string()) {
      prompt += it["content"].get<std::string>();
    }
    prompt += "\n";
  }
  return prompt;
}

} // namespace

ParsedRequest
ParseModelRequest(HttpRequest aRequest, const RequestLimits& aLimits)
{
  ParsedRequest parsed;
  CallerRequest& out = parsed.mRequest;
  if (aRequest.mMethod != "POST") {
    parsed.mBad = BadField{ 405, "method", "must be POST" };
    return parsed;
  }
  parsed.mBad = ReadHeaders(aRequest, aLimits, &out);
  if (parsed.mBad) {
    return parsed;
  }
  const Json json = Json::parse(aRequest.mBody, nullptr, false);
  if (!json.is_object()) {
    parsed.mBad = Bad("body", "is not a JSON object");
    return parsed;
  }
  if (!json.contains("model") || !json["model"].is_string()) {
    parsed.mBad = Bad("model", "must be the name of a profile");
    return parsed;
  }
  if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty()) {
    parsed.mBad = Bad("messages", "must be a list with at least one message");
    return parsed;
  }
  for (const auto& it : json["messages"]) {
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string()) {
      parsed.mBad = Bad("messages", "each must be an object with a role");
      return parsed;
    }
  }
  if (json.contains("stream") && !json["stream"].is_boolean()) {
    parsed.mBad = Bad("stream", "must be true or false");
    return parsed;
  }
  if (json.contains("max_tokens") &&
      (!json["max_tokens"].is_number_integer() || json["max_tokens"].get<std::int64_t>() < 1)) {
    parsed.mBad = Bad("max_tokens", "must be a whole number from 1");
    return parsed;
  }
  out.mTarget = json["model"].get<std::string>();
  out.mStream = json.value("stream", false);
  out.mPrompt = PromptOf(json["messages"]);
  out.mMethod = "POST";
  out.mBody = std::move(aRequest.mBody);
  return parsed;
}

ParsedRequest
ParseServiceRequest(HttpRequest aRequest, const RequestLimits& aLimits)
{
  ParsedRequest parsed;
  CallerRequest& out = parsed.mRequest;
  parsed.mBad = ReadHeaders(aRequest, aLimits, &out);
  if (parsed.mBad) {
    return parsed;
  }
  const std::string rest = aRequest.mPath.substr(std::string("/services/").size());
  const auto slash = rest.find('/');
  out.mTarget = rest.substr(0, slash);
  out.mService = true;
  out.mServicePath = slash == std::string::npos ? "/" : rest.substr(slash);
  out.mMethod = aRequest.mMethod;
  out.mBody = std::move(aRequest.mBody);
  if (out.mMethod != "POST" && out.mMethod != "GET") {
    parsed.mBad = BadField{ 405, "method", "must be POST or GET" };
  }
  return parsed;
}

HttpResponse
ErrorResponse(int aStatus, const std::string& aMessage, Ran aRan, Duration aRetryAfter)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = Json{ { "error", { { "message", aMessage } } }, { "ran", ToString(aRan) } }.dump(
    -1, ' ', false, Json::error_handler_t::replace);
  response.mHeaders.push_back({ "X-Ran", ToString(aRan) });
  if (aRetryAfter > Duration::zero()) {
    const double seconds = std::chrono::duration<double>(aRetryAfter).count();
    response.mHeaders.push_back(
      { "Retry-After", std::to_string(static_cast<std::int64_t>(std::ceil(seconds))) });
  }
  return response;
}

HttpResponse
BadFieldResponse(const BadField& aBad)
{
  HttpResponse response;
  response.mStatus = aBad.mStatus;
  response.mBody = Json{
    { "error", { { "field", aBad.mField }, { "message", aBad.mMessage } } }, { "ran", "no" }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
  response.mHeaders.push_back({ "X-Ran", "no" });
  return response;
}

std::string
ChunkEvent(const std::string& aId, const std::string& aText)
{
  static const std::string kAfterText = R"(},"finish_reason":null}]})";
  return R"(data: {"id":")" + aId +
         R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":)" +
         Json(aText).dump(-1, ' ', false, Json::error_handler_t::replace) + kAfterText + "\n\n";
}

std::string
LastEvents(const std::string& aId)
{
  return R"(data: {"id":")" + aId +
         R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{},)"
         R"("finish_reason":"stop"}]})"
         "\n\ndata: [DONE]\n\n";
}

std::string
ErrorEvent(const std::string& aMessage, Ran aRan)
{
  const Json json = { { "error", { { "message", aMessage } } }, { "ran", ToString(aRan) } };
  return "event: error\ndata: " + json.dump(-1, ' ', false, Json::error_handler_t::replace) +
         "\n\n";
}

EnginePart
ParseEnginePart(const std::string& aData, const std::string& aAttemptId)
{
  EnginePart part;
  const Json json = Json::parse(aData, nullptr, false);
  if (!json.is_object()) {
    return part;
  }
  const auto id = json.find("id");
  if (id == json.end() || !id->is_string() || id->get_ref<const std::string&>() != aAttemptId) {
    return part;
  }
  if (json.contains("error")) {
    part.mKind = EnginePart::Kind::kError;
    part.mText = json["error"].dump();
    return part;
  }
  const auto index = json.find("token_index");
  const auto count = json.find("token_count");
  if (count != json.end() && count->is_number_unsigned()) {
    part.mKind = EnginePart::Kind::kFinish;
    part.mIndex = count->get<std::uint64_t>();
    return part;
  }
  const auto token = json.find("token");
  const bool good =
    index != json.end() && index->is_number_unsigned() && token != json.end() && token->is_string();
  if (good) {
    part.mKind = EnginePart::Kind::kToken;
    part.mIndex = index->get<std::uint64_t>();
    part.mText = token->get<std::string>();
  }
  return part;
}

bool
EventLines::Feed(std::string_view aBytes,
                 const std::function<void(const std::string& aData)>& aOnData)
{
  mPartial.append(aBytes);
  std::size_t from = 0;
  for (;;) {
    const std::size_t end = mPartial.find('\n', from);
    if (end == std::string::npos) {
      break;
    }
    constexpr std::string_view kPrefix = "data: ";
    const std::string_view line(mPartial.data() + from, end - from);
    if (line.substr(0, kPrefix.size()) == kPrefix) {
      aOnData(std::string(line.substr(kPrefix.size())));
    }
    from = end + 1;
  }
  mPartial.erase(0, from);
  return mPartial.size() <= kMaxEventLine;
}

} // namespace pepperbay
