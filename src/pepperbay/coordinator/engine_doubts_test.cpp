#include "engine_doubts.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Symptom: an engine that has just started is taken for lost, and its replica formed anew.
/// Sequence: an engine is asked and does not answer; it starts again under its id; then the
/// questions put to the former start time out, before or after the new one is asked.
/// Cause: a question was known by the engine's id alone.
TEST(EngineDoubts, SilenceOfAFormerStartSaysNothingOfTheNewOne)
{
  ManualClock clock;
  std::vector<std::function<void(Result<EngineReport>)>> asked;
  int lost = 0;
  EngineDoubts doubts(
    {},
    { clock.Hook(),
      [&](const EngineRecord&,
          const EngineCallOptions&,
          const std::function<void(Result<EngineReport>)>& aDone) { asked.push_back(aDone); },
      [](const EngineRecord&, const EngineReport&) {},
      [&](const EngineRecord&, bool aLost, const std::string&) { lost += aLost ? 1 : 0; } });
  EngineRecord engine;
  engine.mId = "a";
  engine.mBorn = WallTime(milliseconds(1000));
  doubts.Ask(engine);
  doubts.Forget("a");
  engine.mBorn = WallTime(milliseconds(2000));
  doubts.Ask(engine);
  ASSERT_EQ(asked.size(), 4U);
  const Error timeout{ Errc::kTimeout, "engine.ask", "a", "" };
  asked[0](timeout);
  asked[1](timeout);
  EXPECT_EQ(lost, 0);
  asked[2](timeout);
  asked[3](timeout);
  EXPECT_EQ(lost, 1) << "the new start is judged by its own silence";
  EXPECT_TRUE(doubts.IsLost("a"));
}

/// Guards against engines that count as lost because the node that asked them was late.
TEST(EngineDoubts, AQuestionWhoseAnswerCouldNotBeHeardIsPutAgain)
{
  ManualClock clock;
  std::vector<std::function<void(Result<EngineReport>)>> asked;
  int lost = 0;
  bool may = true;
  EngineDoubts doubts(
    {},
    { clock.Hook(),
      [&](const EngineRecord&,
          const EngineCallOptions&,
          const std::function<void(Result<EngineReport>)>& aDone) { asked.push_back(aDone); },
      [](const EngineRecord&, const EngineReport&) {},
      [&](const EngineRecord&, bool aLost, const std::string&) { lost += aLost ? 1 : 0; },
      [&] { return may; } });
  EngineRecord engine;
  engine.mId = "a";
  const auto find = [&](const std::string&) { return &engine; };
  doubts.Ask(engine);
  asked[0](Error{ Errc::kCancelled, "engine.ask", "a", "" });
  asked[1](Error{ Errc::kTimeout, "engine.ask", "a", "" });
  EXPECT_EQ(lost, 0);
  may = false;
  doubts.Tick(find);
  EXPECT_EQ(asked.size(), 2U);
  may = true;
  doubts.Tick(find);
  ASSERT_EQ(asked.size(), 4U);
  asked[2](Error{ Errc::kTimeout, "engine.ask", "a", "" });
  asked[3](Error{ Errc::kTimeout, "engine.ask", "a", "" });
  EXPECT_EQ(lost, 1);
}

} // namespace
} // namespace pepperbay
