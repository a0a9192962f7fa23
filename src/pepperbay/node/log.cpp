#include "pepperbay/node/log.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace pepperbay {
namespace {

std::string gNode; // NOLINT: set once before the threads start

log4cplus::Logger
TheLogger()
{
  static const log4cplus::Logger logger = log4cplus::Logger::getInstance("pepperbay");
  return logger;
}

std::string
Quoted(const std::string& aValue)
{
  if (!aValue.empty() && aValue.find_first_of(" \"=\n\t") == std::string::npos) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

std::string
Line(const char* aEvent, std::initializer_list<LogField> aFields)
{
  std::string line = "node=" + Quoted(gNode) + " event=" + aEvent;
  for (const auto& it : aFields) {
    line += " ";
    line += it.mName;
    line += "=" + Quoted(it.mValue);
  }
  return line;
}

} // namespace

void
StartLogging(const std::string& aNode)
{
  gNode = aNode;
  log4cplus::initialize();
  constexpr bool kToStandardError = true;
  constexpr bool kFlush = true;
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(kToStandardError, kFlush));
  appender->setLayout(
    std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void
LogEvent(const char* aEvent, std::initializer_list<LogField> aFields)
{
  LOG4CPLUS_INFO(TheLogger(), Line(aEvent, aFields));
}

void
LogWarning(const char* aEvent, std::initializer_list<LogField> aFields)
{
  LOG4CPLUS_WARN(TheLogger(), Line(aEvent, aFields));
}

} // namespace pepperbay
