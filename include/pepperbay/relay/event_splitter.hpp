/// @file
/// @brief A stream of server-sent events, taken apart into whole events. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pepperbay {

/// One event, byte for byte with the empty line that ends it.
struct StreamEvent
{
  std::string mBytes;
  std::optional<std::uint64_t> mId;
};

/// Cuts bytes into events. An engine may fall silent or break off in the middle of an event; what
/// is left is then no event, and passing it on would join it to the beginning of the next run.
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
  /// @return whether the bytes so far end inside an event.
  bool HasPartial() const { return mBytes.size() > mTaken; }
  /// Bytes that wait for the end of their event.
  std::size_t PartialBytes() const { return mBytes.size() - mTaken; }
  /// Forget a partial event.
  void Reset();

private:
  std::string mBytes;
  std::size_t mTaken = 0;
  std::size_t mSearched = 0; ///< no event that is left ends before
};

} // namespace pepperbay
