/// @file
/// @brief Many nodes whose store drops its history and sends to all readers no faster than its
/// bandwidth.

#include "coordinator_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// An engine receives no request later than this after it has said that it leaves.
constexpr seconds kLeave{ 4 };
/// From a plan until the request has reached the engine.
constexpr milliseconds kOnTheWay{ 400 };
/// For so long held reads hear nothing before the history is dropped.
constexpr milliseconds kUnheard{ 1200 };
/// Longest that the store holds a read; what happens may fall anywhere into one.
constexpr milliseconds kLongestHold{ 1000 };

/// Sixty nodes in five data centres. The store needs as long to send all of them the list of
/// engines as it does for 295 nodes before 875 engines.
class ListStormWorld : public CoordinatorWorld
{
public:
  ListStormWorld()
  {
    AddPool();
    for (int i = 0; i < kOtherEngines; ++i) {
      mPool.Add("x" + std::to_string(i), "another domain");
    }
    mEngineLog.mPage = kPage;
    mHoldsReads = true;
    for (const char* centre : { "a", "b", "c", "d", "e" }) {
      for (int i = 0; i < kNodesOfCentre; ++i) {
        AddNode(centre + std::to_string(i), i < 3 ? kStrong : kWeak, centre)
          .mCoordinator->SetBounds(BoundsOf({ kLeave, seconds(5), kLeave }));
      }
    }
    Run(seconds(12));
    const double list = kRecordBytes * static_cast<double>(mEngineLog.mNewest.size());
    LimitBandwidth(
      { list * static_cast<double>(mNodes.size()) / kSecondsForAllLists, kRecordBytes });
  }

  /// Held reads hear nothing for a while; an engine says meanwhile that it leaves, and the history
  /// is dropped at the end. @return how long after its word the last node knows
  milliseconds LeaveDelayWhileTheHistoryIsDropped()
  {
    for (auto& it : mNodes) {
      it.mLine->SetSilent(true);
    }
    Run(kUnheard / 2);
    const TimePoint left = mClock.Now();
    mPool.At(kLeaver).mRecord.mLeaving = true;
    Run(kUnheard / 2);
    mEngineLog.Compact();
    for (auto& it : mNodes) {
      it.mLine->SetSilent(false);
    }
    mPages.clear();
    const auto knows = [](const TestNode& aNode) {
      return aNode.mLines.count("engine_leaves") != 0;
    };
    while (!std::all_of(mNodes.begin(), mNodes.end(), knows) && mClock.Now() - left < 4 * kLeave) {
      Run(kRound);
    }
    return ToMs(mClock.Now() - left);
  }

  static constexpr int kNodesOfCentre = 12;
  static constexpr int kOtherEngines = 40;
  static constexpr std::size_t kPage = 500;
  static constexpr int kStrong = 500;
  static constexpr int kWeak = 120;
  static constexpr double kRecordBytes = 540;
  static constexpr double kSecondsForAllLists = 1.7;
  static constexpr const char* kLeaver = "x0";
};

/// Guards against requests to an engine that leaves while the store drops its history: nodes that
/// had missed the changes each read the whole list, and the store became too slow for any of them.
TEST(ListStorm, ALeavingEngineIsKnownInTimeWhileTheHistoryIsDropped)
{
  for (milliseconds phase{ 0 }; phase < kLongestHold; phase += milliseconds(60)) {
    SCOPED_TRACE("phase " + std::to_string(phase.count()));
    ListStormWorld world;
    world.Run(phase);
    const milliseconds delay = world.LeaveDelayWhileTheHistoryIsDropped();
    EXPECT_LE(delay.count(), ToMs(kLeave - kOnTheWay).count());
  }
}

} // namespace
} // namespace pepperbay
