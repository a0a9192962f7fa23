#include "pepperbay/log/log.hpp"

#include "line_budget.hpp"

#include <algorithm>
#include <atomic>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace pepperbay {
namespace {

std::string gNode;                       // NOLINT: set once before the threads start
std::atomic<std::uint64_t> gUnread{ 0 }; // NOLINT: lines that standard output did not take

LineBudget&
Budget()
{
  static LineBudget budget;
  return budget;
}

/// Writes a line only when standard output takes it at once.
///
/// A pipe whose reader has stopped fills up; a plain write would then hold the thread that logs,
/// and with it every request, for as long as the reader pauses.
class StdoutAppender : public log4cplus::Appender
{
public:
  ~StdoutAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    std::ostringstream text;
    layout->formatAndAppend(text, aEvent);
    const std::string line = text.str();
    pollfd writable{ STDOUT_FILENO, POLLOUT, 0 };
    const bool takes = ::poll(&writable, 1, 0) == 1 && (writable.revents & POLLOUT) != 0;
    if (!takes || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++gUnread;
    }
  }
};

log4cplus::Logger
TheLogger()
{
  static const log4cplus::Logger logger = log4cplus::Logger::getInstance("pepperbay");
  return logger;
}

/// Bytes of a value that are written: other programs' text may be of any length.
constexpr std::size_t kMaxValue = 2000;

std::string
Quoted(const std::string& aValue)
{
  const auto isPlain = [](char aIt) {
    return static_cast<unsigned char>(aIt) > ' ' && aIt != '"' && aIt != '=' && aIt != '\x7f';
  };
  if (!aValue.empty() && aValue.size() <= kMaxValue &&
      std::all_of(aValue.begin(), aValue.end(), isPlain)) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char it : aValue.substr(0, kMaxValue)) {
    if (it == '"' || it == '\\') {
      quoted += '\\';
    }
    const bool control = static_cast<unsigned char>(it) < ' ' || it == '\x7f';
    quoted += control ? ' ' : it;
  }
  return quoted + (aValue.size() > kMaxValue ? "...\"" : "\"");
}

/// @return whether the line may be written; the number of those left out before it is added.
bool
BeginLine(const char* aEvent, std::string* aLine)
{
  std::uint64_t leftOut = 0;
  if (!Budget().Take(aEvent, LineBudget::Clock::now(), &leftOut)) {
    return false;
  }
  *aLine = "node=" + Quoted(gNode) + " event=" + aEvent;
  if (leftOut > 0) {
    *aLine += " left_out=" + std::to_string(leftOut);
  }
  return true;
}

void
AddField(std::string& aLine, const std::string& aName, const std::string& aValue)
{
  aLine += " " + aName + "=" + Quoted(aValue);
}

bool
Line(const char* aEvent, std::initializer_list<LogField> aFields, std::string* aLine)
{
  if (!BeginLine(aEvent, aLine)) {
    return false;
  }
  for (const auto& it : aFields) {
    AddField(*aLine, it.mName, it.mValue);
  }
  return true;
}

} // namespace

void
StartLogging(const std::string& aNode)
{
  gNode = aNode;
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new StdoutAppender);
  appender->setLayout(
    std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void
LogEvent(const char* aEvent, std::initializer_list<LogField> aFields)
{
  std::string line;
  if (Line(aEvent, aFields, &line)) {
    LOG4CPLUS_INFO(TheLogger(), line);
  }
}

void
LogEvent(const char* aEvent, const std::map<std::string, std::string>& aFields)
{
  std::string line;
  if (!BeginLine(aEvent, &line)) {
    return;
  }
  for (const auto& [name, value] : aFields) {
    AddField(line, name, value);
  }
  LOG4CPLUS_INFO(TheLogger(), line);
}

void
LogWarning(const char* aEvent, std::initializer_list<LogField> aFields)
{
  std::string line;
  if (Line(aEvent, aFields, &line)) {
    LOG4CPLUS_WARN(TheLogger(), line);
  }
}

std::uint64_t
LinesLeftOut()
{
  return Budget().LeftOut() + gUnread;
}

} // namespace pepperbay
