/// Engines that have ended for good, told from those that only pause.
#include "coordinator_pauses_world.hpp"

namespace pepperbay {
namespace {

/// What becomes of a replica of which an engine has ended for good.
class EndedEngine : public testing::TestWithParam<std::tuple<int, bool>>
{
protected:
  /// @return how long after the engine's last word its replica was being formed anew.
  milliseconds FormedAnewAfter(const std::function<void(const std::string&)>& aEnd)
  {
    const TimePoint begun = mWorld.mClock.Now();
    aEnd(std::get<1>(GetParam()) ? mWorld.Head(1) : mWorld.Member(1));
    mWorld.Go(seconds(6));
    EXPECT_EQ(mWorld.mPool.Serving("m"), 3U);
    EXPECT_TRUE(mWorld.AllUsable());
    EXPECT_TRUE(mWorld.mPool.Violations().empty());
    EXPECT_TRUE(mWorld.mFirstHarm) << "not formed anew";
    return ToMs(mWorld.mFirstHarm.value_or(mWorld.mClock.Now()) - begun);
  }

  PausingWorld mWorld{ std::get<0>(GetParam()) };
};

/// Guards against a replica that stays dark though its host says that the engine's process has
/// ended.
TEST_P(EndedEngine, WhoseHostRefusesIsReplacedAtOnce)
{
  const auto after = FormedAnewAfter([this](const std::string& aId) { mWorld.mPool.End(aId); });
  EXPECT_LE(after.count(), ToMs(kSuspectAfter + milliseconds(800)).count());
}

/// Guards against a replica that stays dark for good, since silence alone is no proof.
TEST_P(EndedEngine, ThatStaysSilentIsReplacedInTheEnd)
{
  const auto after =
    FormedAnewAfter([this](const std::string& aId) { mWorld.mPool.Pause(aId, TimePoint::max()); });
  EXPECT_LE(after.count(), kSilentForGood.count());
  EXPECT_GT(after.count(), ToMs(kLongestPause).count()) << "a sound engine may go on until then";
}

INSTANTIATE_TEST_SUITE_P(NodesAndRanks,
                         EndedEngine,
                         testing::Combine(testing::Values(1, 3, 9), testing::Bool()));

} // namespace
} // namespace pepperbay
