/// @file
/// @brief Structured log lines for changes of state; everything frequent is a counter instead.
#pragma once

#include <initializer_list>
#include <string>

namespace pepperbay {

struct LogField
{
  const char* mName;
  std::string mValue;
};

/// Send lines to standard error.
void
StartLogging(const std::string& aNode);

/// One line `time level node=... event=... field=value ...`; values are quoted when need be.
void
LogEvent(const char* aEvent, std::initializer_list<LogField> aFields = {});

/// The same, for what an operator should look at.
void
LogWarning(const char* aEvent, std::initializer_list<LogField> aFields = {});

} // namespace pepperbay
