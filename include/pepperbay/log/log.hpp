/// @file
/// @brief Structured log lines on standard output, bounded and never waited for.
///
/// Lines say what changes a decision or a belief; what is frequent is a counter. Each kind of line
/// has its own share of a second, and what goes beyond it is counted and told with the next line of
/// that kind. A reader that has stopped reading costs lines, never a request.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>

namespace pepperbay {

struct LogField
{
  const char* mName;
  std::string mValue;
};

/// Begin to write lines to standard output.
void
StartLogging(const std::string& aNode);

/// One line `time level node=... event=... field=value ...`; values are quoted when need be.
void
LogEvent(const char* aEvent, std::initializer_list<LogField> aFields = {});

/// The same, for fields that were collected.
void
LogEvent(const char* aEvent, const std::map<std::string, std::string>& aFields);

/// The same, for what an operator should look at.
void
LogWarning(const char* aEvent, std::initializer_list<LogField> aFields = {});

/// @return lines that were not written: beyond their kind's share, or nobody read them.
std::uint64_t
LinesLeftOut();

} // namespace pepperbay
