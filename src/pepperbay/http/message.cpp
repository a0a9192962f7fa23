#include "pepperbay/http/message.hpp"

#include <strings.h>

namespace pepperbay {

std::vector<std::string>
HeaderValues(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  std::vector<std::string> values;
  for (const auto& it : aHeaders) {
    const bool same = it.mName.size() == aName.size() &&
                      strncasecmp(it.mName.c_str(), aName.data(), aName.size()) == 0;
    if (same) {
      values.push_back(it.mValue);
    }
  }
  return values;
}

std::optional<std::string>
FirstValue(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  auto values = HeaderValues(aHeaders, aName);
  if (values.empty()) {
    return std::nullopt;
  }
  return std::move(values.front());
}

} // namespace pepperbay
