/// A record whose append lost its answer is sent again under the same id.
#include "pepperbay/journal/appender.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  ManualClock clock;
  AppenderOptions options;
  options.mAuthor = "n1";
  options.mIncarnation = 1;
  Appender appender(options);
  proto::Record record;
  record.mutable_drain()->set_host("h1");
  const auto giveUp = clock.Now() + std::chrono::seconds(30);
  const auto queued = appender.Submit(record, giveUp, [](const Result<std::uint64_t>& aOffset) {
    std::cout << "folded at offset " << aOffset.value() << "\n";
  });
  const auto first = appender.Next(clock.Now());
  appender.OnAnswer(false, clock.Now()); // no answer: it may have taken effect
  clock.Advance(std::chrono::seconds(1));
  const auto second = appender.Next(clock.Now());
  std::cout << "the same bytes again: " << (first == second) << "\n";
  appender.OnFolded(1, std::uint64_t{ 7 });
  return queued.has_value() && first == second ? 0 : 1;
}
