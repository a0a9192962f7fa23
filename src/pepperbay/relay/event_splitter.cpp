#include "pepperbay/relay/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace pepperbay {
namespace {

constexpr std::size_t kCompactAt = 4096; // consumed bytes, after which the buffer is compacted

constexpr std::string_view kLfEnd = "\n\n";
constexpr std::string_view kCrlfEnd = "\r\n\r\n";

/// @return the offset after the empty line that ends the first event; npos if there is none yet.
std::size_t
EndOfEvent(std::string_view aBytes)
{
  const std::size_t shortEnd = aBytes.find(kLfEnd);
  const std::size_t longEnd = aBytes.find(kCrlfEnd);
  if (shortEnd == std::string_view::npos && longEnd == std::string_view::npos) {
    return std::string_view::npos;
  }
  return shortEnd < longEnd ? shortEnd + kLfEnd.size() : longEnd + kCrlfEnd.size();
}

std::optional<std::uint64_t>
IdOf(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  std::size_t begin = 0;
  while (begin < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', begin), aEvent.size());
    std::string_view line = aEvent.substr(begin, end - begin);
    begin = end + 1;
    if (line.substr(0, kField.size()) != kField) {
      continue;
    }
    line.remove_prefix(kField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc() && parsed.ptr != line.data()) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<StreamEvent>
EventSplitter::Next()
{
  // The empty line may begin in bytes that were searched before.
  const std::size_t from = std::max(mTaken, mSearched - std::min(mSearched, kCrlfEnd.size() - 1));
  const std::string_view bytes(mBytes);
  const std::size_t end = EndOfEvent(bytes.substr(from));
  if (end == std::string_view::npos) {
    mSearched = mBytes.size();
    if (mTaken > kCompactAt) {
      mBytes.erase(0, mTaken);
      mSearched -= mTaken;
      mTaken = 0;
    }
    return std::nullopt;
  }
  StreamEvent event;
  event.mBytes = std::string(bytes.substr(mTaken, from + end - mTaken));
  event.mId = IdOf(event.mBytes);
  mTaken = from + end;
  return event;
}

void
EventSplitter::Reset()
{
  mBytes.clear();
  mTaken = 0;
  mSearched = 0;
}

} // namespace pepperbay
