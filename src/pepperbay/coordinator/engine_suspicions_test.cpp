#include "engine_suspicions.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Symptom: an engine that has just started is taken for lost, and its replica formed anew.
/// Sequence: an engine is asked and does not answer; it starts again under its id; then the
/// questions put to the former start time out, before or after the new one is asked.
/// Cause: a question was known by the engine's id alone.
TEST(EngineSuspicions, SilenceOfAFormerStartSaysNothingOfTheNewOne)
{
  ManualClock clock;
  std::vector<std::function<void(Result<EngineReport>)>> asked;
  int lost = 0;
  EngineSuspicions doubts(
    {},
    { clock.Hook(),
      [&](const EngineRecord&,
          const EngineCallOptions&,
          const std::function<void(Result<EngineReport>)>& aDone) { asked.push_back(aDone); },
      [](const EngineRecord&, const EngineReport&) {},
      [&](const EngineRecord&, const EngineVerdict& aVerdict) {
        lost += aVerdict.mLostBy ? 1 : 0;
      } });
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
TEST(EngineSuspicions, AQuestionWhoseAnswerCouldNotBeHeardIsPutAgain)
{
  ManualClock clock;
  std::vector<std::function<void(Result<EngineReport>)>> asked;
  int lost = 0;
  bool may = true;
  EngineSuspicions doubts(
    {},
    { clock.Hook(),
      [&](const EngineRecord&,
          const EngineCallOptions&,
          const std::function<void(Result<EngineReport>)>& aDone) { asked.push_back(aDone); },
      [](const EngineRecord&, const EngineReport&) {},
      [&](const EngineRecord&, const EngineVerdict& aVerdict) { lost += aVerdict.mLostBy ? 1 : 0; },
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

/// Questions from several places, which the test answers.
class EngineSuspicionsFromTwoPlaces : public testing::Test
{
protected:
  EngineSuspicionsFromTwoPlaces() { mEngine.mId = "a"; }

  struct Asked
  {
    std::string mPeer;
    std::function<void(Result<EngineReport>)> mDone;
  };

  EngineSuspicionsHooks Hooks()
  {
    EngineSuspicionsHooks hooks;
    hooks.mNow = mClock.Hook();
    hooks.mAsk = [this](const EngineRecord&,
                        const EngineCallOptions& aOptions,
                        const std::function<void(Result<EngineReport>)>& aDone) {
      mAsked.push_back({ aOptions.mVia ? aOptions.mVia->mNode : "", aDone });
      mLongest = std::max(mLongest, mClock.Now() - mBegun + aOptions.mTimeout);
    };
    hooks.mOnAnswer = [](const EngineRecord&, const EngineReport&) {};
    hooks.mOnChange = [this](const EngineRecord&, const EngineVerdict& aVerdict) {
      mLost = aVerdict.mLostBy.has_value();
      mLostBy = aVerdict.mLostBy;
      mVerdicts.push_back(aVerdict);
    };
    hooks.mPickPeer = [this](const EngineRecord&, const std::set<std::string>& aTried) {
      for (const auto& it : mPeers) {
        if (aTried.count(it) == 0) {
          return std::make_optional(ProxyPeer{ it, "", "", "" });
        }
      }
      return std::optional<ProxyPeer>();
    };
    hooks.mHasPeers = [this] { return mHasPeers; };
    hooks.mIsUnreached = [this] { return mBlind; };
    hooks.mCheckReachability = [this](const EngineRecord&, const std::function<void(bool)>& aDone) {
      ++mDirectReads;
      aDone(mReachesOthers);
    };
    hooks.mOnPathFault = [this](const EngineRecord&, TimePoint) { ++mPathFaults; };
    return hooks;
  }

  enum class Word
  {
    kAnswer,
    kNone,    ///< the engine does not answer
    kRefused, ///< its host refuses the connection
    kUnheard, ///< the place has no word on it
    kNotPut,  ///< the process had no descriptor for the question
  };

  static Errc CodeOf(Word aWord)
  {
    switch (aWord) {
      case Word::kNotPut:
        return Errc::kInternal;
      case Word::kRefused:
        return Errc::kRefused;
      case Word::kUnheard:
        return Errc::kCancelled;
      default:
        return Errc::kTimeout;
    }
  }

  /// The engine is silent from all places. @return how long it took from now until it has ended
  Duration UntilEnded(Word aHere = Word::kNone, Word aThere = Word::kNone)
  {
    const TimePoint begun = mClock.Now();
    while (!mEngineSuspicions.HasExited("a") && mClock.Now() - begun < seconds(10)) {
      Round(aHere, aThere);
    }
    return mClock.Now() - begun;
  }

  /// End the questions of one round. @return the places that were asked, in order
  std::string Round(Word aHere, Word aThere)
  {
    std::string places;
    mClock.Advance(milliseconds(40));
    mEngineSuspicions.Tick([&](const std::string&) { return &mEngine; });
    for (const auto& it : std::exchange(mAsked, {})) {
      places += (it.mPeer.empty() ? "here" : it.mPeer) + " ";
      const Word word = it.mPeer.empty() ? aHere : aThere;
      it.mDone(word == Word::kAnswer ? Result<EngineReport>(EngineReport{})
                                     : Error{ CodeOf(word), "engine.ask", "a", "" });
    }
    return places;
  }

  ManualClock mClock;
  const TimePoint mBegun = mClock.Now();
  Duration mLongest{ 0 }; ///< until the last question's time is over
  EngineRecord mEngine;
  std::vector<std::string> mPeers = { "p1", "p2", "p3" };
  std::vector<Asked> mAsked;
  bool mHasPeers = true;
  bool mBlind = false;
  bool mReachesOthers = true;
  bool mLost = false;
  std::optional<LostBy> mLostBy;
  std::vector<EngineVerdict> mVerdicts;
  int mDirectReads = 0;
  int mPathFaults = 0;
  EngineSuspicions mEngineSuspicions{ {}, Hooks() };
};

/// Guards against repairs that wait longer for a second place's word than they did for a second
/// question.
TEST_F(EngineSuspicionsFromTwoPlaces, AnEngineWithoutAnAnswerHereAndThereIsLostAfterOneRound)
{
  mEngineSuspicions.Ask(mEngine);
  EXPECT_EQ(Round(Word::kNone, Word::kNone), "here p1 ");
  EXPECT_EQ(mDirectReads, 1) << "whether this node sees others is found out after that";
  EXPECT_EQ(mLostBy, LostBy::kTwoVantagePoints);
  EXPECT_EQ(mLongest, EngineSuspicionsOptions().mAskTimeout) << "as long as the direct question";
}

/// Guards against a peer, and a new connection to the engine, for each question of a calm day.
TEST_F(EngineSuspicionsFromTwoPlaces, NoPeerIsAskedWhereTheEngineAnswersAtOnce)
{
  mEngineSuspicions.Ask(mEngine);
  ASSERT_EQ(mAsked.size(), 1U);
  std::exchange(mAsked, {}).front().mDone(EngineReport{});
  EXPECT_EQ(Round(Word::kNone, Word::kNone), "");
  EXPECT_FALSE(mEngineSuspicions.IsAsked("a"));
}

/// Guards against a holder without descriptors that takes all engines for lost.
TEST_F(EngineSuspicionsFromTwoPlaces, AQuestionThatCouldNotBePutIsNoWord)
{
  for (const bool peers : { true, false }) {
    mHasPeers = peers;
    mEngineSuspicions.Ask(mEngine);
    while (mEngineSuspicions.IsAsked("a")) {
      Round(Word::kNotPut, Word::kUnheard);
    }
    EXPECT_FALSE(mLost);
  }
  EXPECT_EQ(mEngineSuspicions.Undecided(), 2U);
}

/// Guards against a wait for an engine that has ended and refuses at once.
TEST_F(EngineSuspicionsFromTwoPlaces, APeerIsAskedAtOnceWhereTheDirectQuestionHasFailed)
{
  mEngineSuspicions.Ask(mEngine);
  ASSERT_EQ(mAsked.size(), 1U);
  std::exchange(mAsked, {}).front().mDone(Error{ Errc::kUnavailable, "engine.ask", "a", "" });
  ASSERT_EQ(mAsked.size(), 1U);
  EXPECT_EQ(mAsked.front().mPeer, "p1");
}

/// Guards against a node whose own path is cut and that takes the engine for lost.
TEST_F(EngineSuspicionsFromTwoPlaces, OneThatAnswersThroughAPeerIsWellAndThePathAtFault)
{
  mReachesOthers = false;
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kNone, Word::kAnswer);
  EXPECT_FALSE(mLost);
  EXPECT_EQ(mPathFaults, 1);
  EXPECT_TRUE(mAsked.empty());
}

TEST_F(EngineSuspicionsFromTwoPlaces, ABlindNodeNeedsTheWordOfTwoPeers)
{
  mReachesOthers = false;
  mEngineSuspicions.Ask(mEngine);
  EXPECT_EQ(Round(Word::kNone, Word::kNone), "here p1 ");
  EXPECT_FALSE(mLost);
  EXPECT_EQ(Round(Word::kNone, Word::kNone), "here p2 ");
  EXPECT_TRUE(mLost);
}

TEST_F(EngineSuspicionsFromTwoPlaces, ANodeThatKnowsThatItIsBlindAsksTwoPeersAtOnce)
{
  mReachesOthers = false;
  mBlind = true;
  mEngineSuspicions.Ask(mEngine);
  EXPECT_EQ(Round(Word::kNone, Word::kNone), "p1 p2 ");
  EXPECT_TRUE(mLost);
}

/// Guards against peers that are cut as well, frozen or slow, and whose silence counts as a word.
TEST_F(EngineSuspicionsFromTwoPlaces, APlaceThatWasNotHeardSaysNothing)
{
  mReachesOthers = false;
  mEngineSuspicions.Ask(mEngine);
  EXPECT_EQ(Round(Word::kNone, Word::kUnheard), "here p1 ");
  EXPECT_EQ(Round(Word::kNone, Word::kUnheard), "here p2 ");
  EXPECT_EQ(Round(Word::kNone, Word::kUnheard), "here p3 ");
  EXPECT_FALSE(mLost);
  EXPECT_TRUE(mAsked.empty()) << "it is asked again when somebody suspects it again";
  EXPECT_EQ(mEngineSuspicions.Undecided(), 1U);
}

/// Guards against a dead engine that is not repaired since all peers are gone.
TEST_F(EngineSuspicionsFromTwoPlaces, WhereNoPeerIsHeardANodeThatSeesOthersJudgesAlone)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kNone, Word::kUnheard);
  Round(Word::kNone, Word::kUnheard);
  EXPECT_FALSE(mLost);
  Round(Word::kNone, Word::kUnheard);
  EXPECT_TRUE(mLost);
  EXPECT_EQ(mLostBy, LostBy::kOwnProbeOnly);
}

TEST_F(EngineSuspicionsFromTwoPlaces, PeersOfAnOlderVersionAreNotAskedAndABlindNodeDecidesNothing)
{
  mPeers.clear();
  mReachesOthers = false;
  mEngineSuspicions.Ask(mEngine);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Round(Word::kNone, Word::kNone), "here ");
  }
  EXPECT_FALSE(mLost);
  mReachesOthers = true;
  mEngineSuspicions.Ask(mEngine);
  for (int i = 0; i < 3; ++i) {
    Round(Word::kNone, Word::kNone);
  }
  EXPECT_TRUE(mLost);
}

TEST_F(EngineSuspicionsFromTwoPlaces, ALostEngineIsBackAsSoonAsOnePlaceHearsIt)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kNone, Word::kNone);
  ASSERT_TRUE(mLost);
  mClock.Advance(seconds(1));
  mEngineSuspicions.Tick([&](const std::string&) { return &mEngine; });
  Round(Word::kNone, Word::kAnswer);
  EXPECT_FALSE(mLost);
}

/// Guards against replicas that are formed anew, which ends their streams, for a pause.
TEST_F(EngineSuspicionsFromTwoPlaces, SilenceIsALossAtOnceAndAnEndOnlyAfterTheLongestPause)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kNone, Word::kNone);
  EXPECT_TRUE(mEngineSuspicions.IsLost("a")) << "it gets no new requests";
  EXPECT_FALSE(mEngineSuspicions.HasExited("a"));
  EXPECT_GE(UntilEnded(), EngineSuspicionsOptions().mMaxPause - milliseconds(40));
  ASSERT_EQ(mVerdicts.size(), 2U);
  EXPECT_FALSE(mVerdicts[0].mExited);
  EXPECT_TRUE(mVerdicts[1].mExited);
  EXPECT_EQ(mVerdicts[1].mEvidence, LostEvidence::kSilent);
  EXPECT_LE(mVerdicts[1].mSilentFor,
            EngineSuspicionsOptions().mMaxPause + 2 * EngineSuspicionsOptions().mAskSilent);
}

/// Guards against a repair of an engine that has ended waiting as long as for one that may go on.
TEST_F(EngineSuspicionsFromTwoPlaces, RefusedConnectionsFromTwoPlacesAreAnEndAtOnce)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kRefused, Word::kRefused);
  EXPECT_TRUE(mEngineSuspicions.HasExited("a"));
  ASSERT_EQ(mVerdicts.size(), 1U);
  EXPECT_EQ(mVerdicts[0].mEvidence, LostEvidence::kRefused);
}

/// Guards against one path that refuses making an end of a pause.
TEST_F(EngineSuspicionsFromTwoPlaces, ARefusalFromOnePlaceIsNoEnd)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kRefused, Word::kNone);
  EXPECT_TRUE(mEngineSuspicions.IsLost("a"));
  EXPECT_FALSE(mEngineSuspicions.HasExited("a"));
  mEngineSuspicions.Forget("a");
  mReachesOthers = false;
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kRefused, Word::kNone);
  Round(Word::kRefused, Word::kNone);
  EXPECT_TRUE(mEngineSuspicions.IsLost("a"));
  EXPECT_FALSE(mEngineSuspicions.HasExited("a"));
}

/// Guards against a repair that waits for a pause of an engine that ends within its silence.
TEST_F(EngineSuspicionsFromTwoPlaces, ASilentEngineWhoseHostRefusesLaterHasEnded)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kNone, Word::kNone);
  EXPECT_LE(UntilEnded(Word::kRefused, Word::kRefused), milliseconds(280));
}

/// Guards against an engine that goes on, and counts as ended by a question of before that.
TEST_F(EngineSuspicionsFromTwoPlaces, AnEngineIsAskedOnceMoreBeforeItsSilenceIsAnEnd)
{
  mEngineSuspicions.Ask(mEngine);
  Round(Word::kNone, Word::kNone);
  mClock.Advance(EngineSuspicionsOptions().mAskSilent);
  mEngineSuspicions.Tick([&](const std::string&) { return &mEngine; });
  ASSERT_FALSE(mAsked.empty());
  mClock.Advance(EngineSuspicionsOptions().mMaxPause);
  Round(Word::kNone, Word::kNone);
  EXPECT_FALSE(mEngineSuspicions.HasExited("a"));
  mClock.Advance(EngineSuspicionsOptions().mAskSilent);
  Round(Word::kAnswer, Word::kAnswer);
  EXPECT_FALSE(mEngineSuspicions.IsLost("a"));
  ASSERT_EQ(mVerdicts.size(), 2U);
  EXPECT_FALSE(mVerdicts[1].mLostBy);
  EXPECT_FALSE(mVerdicts[1].mExited);
}

/// Guards against a repair that begins its wait with the first question, though streams have told
/// of the silence before; and against a wait that counts the silence of others.
TEST_F(EngineSuspicionsFromTwoPlaces, SilenceCountsFromTheLastWord)
{
  constexpr milliseconds kTold{ 400 };
  mClock.Advance(seconds(5));
  mEngineSuspicions.Ask(mEngine, mClock.Now() - kTold);
  EXPECT_LE(UntilEnded(), EngineSuspicionsOptions().mMaxPause - kTold + milliseconds(280));
  Round(Word::kAnswer, Word::kAnswer);
  mClock.Advance(seconds(1));
  Round(Word::kAnswer, Word::kAnswer);
  ASSERT_FALSE(mEngineSuspicions.IsLost("a"));
  mEngineSuspicions.Ask(mEngine, mClock.Now() - seconds(1));
  EXPECT_GE(UntilEnded(), EngineSuspicionsOptions().mMaxPause - milliseconds(40));
}

/// Guards against an engine that takes connections, answers nothing and is never replaced.
TEST_F(EngineSuspicionsFromTwoPlaces, AnEngineThatHangsHasEndedSomeRoundsAfterTheLongestPause)
{
  mEngineSuspicions.Ask(mEngine);
  const Duration took = UntilEnded(Word::kNone, Word::kUnheard);
  EXPECT_GE(took, EngineSuspicionsOptions().mMaxPause);
  EXPECT_LE(took, EngineSuspicionsOptions().mMaxPause + milliseconds(600));
}

/// Guards against a pause that counts from a word of well before it. A member's pause makes the
/// head's streams stand still; the head answers, and pauses itself just before it is asked again.
TEST_F(EngineSuspicionsFromTwoPlaces, APauseCountsFromTheFirstQuestionItLeavesUnanswered)
{
  mClock.Advance(seconds(5));
  const TimePoint still = mClock.Now();
  mClock.Advance(milliseconds(180));
  mEngineSuspicions.Ask(mEngine, still);
  Round(Word::kAnswer, Word::kAnswer);
  ASSERT_FALSE(mEngineSuspicions.IsLost("a"));
  mClock.Advance(milliseconds(1000)); // nobody has asked it
  const TimePoint paused = mClock.Now();
  mEngineSuspicions.Ask(mEngine, still);
  UntilEnded();
  EXPECT_GE(mClock.Now() - paused, EngineSuspicionsOptions().mMaxPause - milliseconds(40));
}

/// The same with streams that are watched, whose silence is told again every 200 ms.
TEST_F(EngineSuspicionsFromTwoPlaces, APauseCountsFromTheFirstQuestionItLeavesUnansweredOften)
{
  mClock.Advance(seconds(5));
  const TimePoint still = mClock.Now();
  for (int i = 0; i < 3; ++i) {
    mClock.Advance(milliseconds(200));
    mEngineSuspicions.Ask(mEngine, still);
    Round(Word::kAnswer, Word::kAnswer);
  }
  mClock.Advance(milliseconds(190));
  const TimePoint paused = mClock.Now();
  mClock.Advance(milliseconds(10));
  mEngineSuspicions.Ask(mEngine, still);
  UntilEnded();
  EXPECT_GE(mClock.Now() - paused, EngineSuspicionsOptions().mMaxPause);
}

} // namespace
} // namespace pepperbay
