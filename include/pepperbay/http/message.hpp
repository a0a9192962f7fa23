/// @file
/// @brief Requests and responses as values, shared by the server and the client.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pepperbay {

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::vector<HttpHeader> mHeaders;
  std::vector<HttpHeader> mQuery;
  std::string mBody;
  std::string mCallerIp; ///< where the connection came from
};

struct HttpResponse
{
  int mStatus = 200;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  std::string mContentType = "application/json";
};

/// @return the values of a header, in order; names compare without case.
std::vector<std::string>
HeaderValues(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// @return the first value of a header or query key, if there is one.
std::optional<std::string>
FirstValue(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

} // namespace pepperbay
