/// @file
/// @brief Engines that fail requests which may run only once, by the reports of several nodes.
/// Pure.
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
  /// How long a failure counts, here and at nodes that receive a report of it.
  Duration mMemory = std::chrono::seconds(2);
  /// Number of reporting nodes for an engine to count as failing: any engine occasionally fails a
  /// request.
  std::size_t mMinReporters = 2;
};

/// Each of many nodes sends an engine only a few requests that may run only once, and would detect
/// a faulty engine only by failures of its own callers. So nodes report failures to their slot
/// allocator, which notifies all of them. Repeatable requests are still sent to the engine and show
/// when it has recovered.
///
/// @code
/// tracker.OnFailed(engine, now);              // here
/// tracker.OnReport(node, ShortId(engine), now); // at a slot allocator, reported by a node
/// if (tracker.Fails(ShortId(engine), now)) { ... choose another if there is one }
/// @endcode
class FailureTracker
{
public:
  FailureTracker() = default;
  explicit FailureTracker(FailureOptions aOptions);

  /// An engine failed a request of this node that may run only once.
  void OnFailed(const std::string& aEngine, TimePoint aNow);
  /// A node reports that an engine failed one of its requests.
  void OnReport(const std::string& aNode, std::uint32_t aEngine, TimePoint aNow);
  /// A slot allocator reports that an engine fails according to several nodes.
  void OnAllocatorReport(std::uint32_t aEngine, TimePoint aNow);

  /// @return the engines that recently failed requests of this node, by ShortId().
  std::vector<std::uint32_t> Own(TimePoint aNow) const;
  /// @return the engines that enough nodes, this one included, report as failing, by ShortId().
  std::vector<std::uint32_t> Agreed(TimePoint aNow) const;
  /// @param aEngine by ShortId()
  /// @return whether it fails, as observed by this node or reported to it.
  bool Fails(std::uint32_t aEngine, TimePoint aNow) const;

private:
  struct Engine
  {
    TimePoint mOwnUntil{};
    TimePoint mReportedUntil{};
    std::map<std::string, TimePoint> mReports; ///< node to the report's expiry
  };

  bool IsAgreed(const Engine& aEngine, TimePoint aNow) const;
  /// Drops expired reports. @return the engine's entry.
  Engine& Entry(std::uint32_t aEngine, TimePoint aNow);

  FailureOptions mOptions;
  std::unordered_map<std::uint32_t, Engine> mEngines; ///< by ShortId()
};

} // namespace pepperbay
