// Two nodes see engines end under one request; each hears of the other's.
#include "pepperbay/quarantine/crash_tracker.hpp"

#include <iostream>

using namespace pepperbay; // NOLINT: an example

int
main()
{
  const TimePoint now = TimePoint(std::chrono::hours(1));
  const RequestKey key = KeyOfRequest("school", "kitchen.example", "/chat/1", "a fatal prompt");
  const auto end = [&](const char* aEngine) {
    return EngineEnd{ EngineIncarnationHash(aEngine, {}), Suspicion::kBegun, now };
  };

  CrashTracker levis;
  CrashTracker vanier;
  levis.Add(key, end("engine-1"), now);
  levis.Add(key, end("engine-2"), now);
  vanier.Add(key, end("engine-2"), now); // both had requests there
  vanier.Add(key, end("engine-3"), now);
  for (const auto& it : vanier.Ends(key)) {
    levis.Add(key, it, now);
  }

  std::cout << ToString(key) << ": " << levis.Ends(key).size() << " engines, score "
            << levis.Score(key) << ", held back for "
            << ToMs(levis.QuarantinedUntil(key) - now).count() << " ms\n";
  levis.Clear(key); // an engine ran it to its end after all
  std::cout << "cleared: score " << levis.Score(key) << "\n";
  return 0;
}
