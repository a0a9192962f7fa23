/// @file
/// @brief Engines that fail requests which may run only once, as several nodes see them. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct FailureOptions
{
  /// A failure counts for so long, here and at nodes that are told of it.
  Duration mMemory = std::chrono::seconds(2);
  /// An engine fails by the word of so many nodes: any engine fails a request now and then.
  std::size_t mLeastReporters = 2;
};

/// Each of many nodes sends an engine few requests that may run only once, and would learn that it
/// fails them from failures of its own callers. So nodes tell their desk, and the desk tells all of
/// them. Requests that may run again still go there, and find out when it has recovered.
///
/// @code
/// book.OnFailed(engine, now);              // here
/// book.OnReport(node, ShortId(engine), now); // at a desk, by a node's word
/// if (book.Fails(ShortId(engine), now)) { ... choose another if there is one }
/// @endcode
class FailureBook
{
public:
  FailureBook() = default;
  explicit FailureBook(FailureOptions aOptions);

  /// An engine failed a request of this node that may not run again.
  void OnFailed(const std::string& aEngine, TimePoint aNow);
  /// A node says that an engine failed one of its own.
  void OnReport(const std::string& aNode, std::uint32_t aEngine, TimePoint aNow);
  /// A desk says that an engine fails by the word of several nodes.
  void OnTold(std::uint32_t aEngine, TimePoint aNow);

  /// @return by ShortId(), the engines that have failed requests of this node lately.
  std::vector<std::uint32_t> Own(TimePoint aNow) const;
  /// @return by ShortId(), the engines that fail by the word of several nodes, this one included.
  std::vector<std::uint32_t> Agreed(TimePoint aNow) const;
  /// @param aEngine by ShortId()
  /// @return whether it fails, as this node has seen or been told.
  bool Fails(std::uint32_t aEngine, TimePoint aNow) const;

private:
  struct Engine
  {
    TimePoint mOwnUntil{};
    TimePoint mToldUntil{};
    std::map<std::string, TimePoint> mReports; ///< by node, until when
  };

  bool IsAgreed(const Engine& aEngine, TimePoint aNow) const;
  /// @return the engine's entry, without reports that are over.
  Engine& Entry(std::uint32_t aEngine, TimePoint aNow);

  FailureOptions mOptions;
  std::unordered_map<std::uint32_t, Engine> mEngines; ///< by ShortId()
};

} // namespace pepperbay
