/// @file
/// @brief Splits a stream of server-sent events into complete events. Pure: no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pepperbay {

/// One event, as received, including the empty line that ends it.
struct StreamEvent
{
  std::string mBytes;
  std::optional<std::uint64_t> mId;
};

/// Splits bytes into events. An engine may stall or close its connection in the middle of an event.
/// The incomplete event must not be forwarded: the caller would read it as joined to the first
/// event of the engine that resumes the stream.
///
/// @code
/// splitter.Feed(bytes);
/// while (auto event = splitter.Next()) { ... }
/// @endcode
class EventSplitter
{
public:
  void Feed(std::string_view aBytes) { mBytes.append(aBytes); }
  std::optional<StreamEvent> Next();
  /// @return whether the bytes received so far end inside an event.
  bool HasPartial() const { return mBytes.size() > mTaken; }
  /// @return bytes of the incomplete event at the end.
  std::size_t PartialBytes() const { return mBytes.size() - mTaken; }
  /// Discards all buffered bytes, an incomplete event included.
  void Reset();

private:
  std::string mBytes;
  std::size_t mTaken = 0;
  std::size_t mSearched = 0; ///< no remaining event ends before this offset
};

} // namespace pepperbay
