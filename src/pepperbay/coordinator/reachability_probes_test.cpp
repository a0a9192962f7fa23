#include "reachability_probes.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

EngineRecord
Engine(const std::string& aId)
{
  EngineRecord engine;
  engine.mId = aId;
  return engine;
}

class SightLooksTest : public testing::Test
{
protected:
  ReachabilityProbesHooks Hooks()
  {
    ReachabilityProbesHooks hooks;
    hooks.mPick = [this](const EngineRecord&) { return mOther ? &*mOther : nullptr; };
    hooks.mAsk = [this](const EngineRecord&, std::function<void(bool)> aDone) {
      mAsked.push_back(std::move(aDone));
    };
    return hooks;
  }

  void Find(const std::string& aEngine)
  {
    mProbes.Find(Engine(aEngine), [this, aEngine](bool aReachesOthers) {
      mFound += aEngine + (aReachesOthers ? "+" : "-");
    });
  }

  std::optional<EngineRecord> mOther = Engine("other");
  std::vector<std::function<void(bool)>> mAsked;
  std::string mFound;
  ReachabilityProbes mProbes{ Hooks() };
};

/// Guards against an engine that is called lost by an answer from before the cut.
TEST_F(SightLooksTest, AFailureIsNotVouchedForByAQuestionPutBefore)
{
  Find("a");
  Find("b");
  Find("c");
  ASSERT_EQ(mAsked.size(), 1U);
  mAsked[0](true);
  EXPECT_EQ(mFound, "a+");
  ASSERT_EQ(mAsked.size(), 2U) << "one question for all that came meanwhile";
  mAsked[1](false);
  EXPECT_EQ(mFound, "a+b-c-");
  Find("d");
  EXPECT_EQ(mAsked.size(), 3U);
}

TEST_F(SightLooksTest, WhereThereIsNoOtherEngineNothingIsSeen)
{
  mOther.reset();
  Find("a");
  EXPECT_EQ(mFound, "a-");
  EXPECT_TRUE(mAsked.empty());
}

} // namespace
} // namespace pepperbay
