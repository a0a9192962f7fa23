/// @file
/// @brief Test harness: a planner and a fake pool, with orders and answers that can be lost or
/// late.
#pragma once

#include "fakes/fake_pool.hpp"
#include "pepperbay/placement/group_planner.hpp"

#include <algorithm>
#include <deque>

namespace pepperbay {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline EnginePool
TwoModels()
{
  EnginePool pool;
  pool.mSlots = 26;
  pool.mFormTime = milliseconds(300);
  pool.mLoadsPerSecond = 5.5;
  pool.mModels = { { "big", 6, 0.67, 1.0, seconds(16), milliseconds(1600) },
                   { "small", 3, 0.33, 0.6, seconds(12), milliseconds(1100) } };
  return pool;
}

/// What happens to one order in transit; chosen by the tests.
enum class OrderDelivery
{
  kArrives,
  kLost,       ///< before it took effect
  kAnswerLost, ///< after it took effect
  kUnread,     ///< as kAnswerLost, because the sending node read the answer too late
  kLate,       ///< not answered, and carried out seconds later
  kSlow,       ///< carried out and answered some rounds later
  kAnswerSlow, ///< carried out at once and answered some rounds later
};

/// A planner and a fake pool, with a clock that the test advances.
struct World
{
  explicit World(std::size_t aDomains,
                 std::size_t aPerDomain = 11,
                 const EnginePool& aPool = TwoModels())
    : mPool(aPool)
  {
    for (std::size_t d = 0; d < aDomains; ++d) {
      for (std::size_t i = 0; i < aPerDomain; ++i) {
        mPool.Add(Name(d, i), "d" + std::to_string(d));
      }
    }
  }

  static std::string Name(std::size_t aDomain, std::size_t aIndex)
  {
    return "e" + std::to_string(aDomain) + "-" + std::to_string(aIndex);
  }

  TimePoint Now() { return mClock.Now(); }

  void Round(GroupPlanner& aPlanner, std::uint64_t aFence)
  {
    if (mLag.empty() || mLag.back().first != Now()) {
      mLag.emplace_back(Now(), Listed());
    }
    while (mLag.size() > 1 && Now() - mLag[1].first >= mListLag) {
      mLag.pop_front();
    }
    if (mReports.empty() || mReports.back().first != Now()) {
      RecordReports();
    }
    const EngineMap& listed = mLag.front().second;
    GroupView view;
    view.mEngines = &listed;
    view.mService = "pool";
    view.mPool = &mPool.Pool();
    view.mNow = Now();
    view.mFence = aFence;
    view.mTraffic = mTraffic;
    view.mMaxOrders = mMaxOrders;
    view.mIsUnreachable = [this](const std::string& aEngine) {
      return mDetectedLost.count(aEngine) != 0 || mSilent.count(aEngine) != 0;
    };
    view.mHasExited = [this](const std::string& aEngine) {
      return mDetectedLost.count(aEngine) != 0;
    };
    view.mInFlight = [this, &aPlanner](const std::string& aHead) {
      if (mStreamsLast && DrainingFor(aPlanner, aHead) >= *mStreamsLast) {
        return 0;
      }
      const auto model = mInFlightOf.find(mPool.At(aHead).mModel);
      return model == mInFlightOf.end() ? mInFlight : model->second;
    };
    view.mLimitOf = [this](const std::string& aHead) {
      const auto limit = mLimits.find(aHead);
      return limit == mLimits.end() ? std::nullopt : std::optional<double>(limit->second);
    };
    view.mInFlightAtFormerHead = [this](const std::string&, std::uint64_t) { return mInFlight; };
    view.mIsStalled = [this](const std::string& aHead) { return IsStalled(aHead); };
    if (++mRounds % 35 == 0) { // about every 700 ms engines with unanswered orders are queried
      const auto unanswering = aPlanner.Unanswering();
      for (const auto& it : unanswering) {
        if (mPool.At(it).mAlive) {
          aPlanner.ReinstateEngine(it);
        }
      }
    }
    const auto orders = aPlanner.Plan(view);
    mMaxGiven = std::max(mMaxGiven, static_cast<int>(orders.size()));
    const auto wanted = aPlanner.EnginesToQuery();
    for (const auto& [it, engine] : wanted) {
      if (mPool.At(it).mAlive && mDetectedLost.count(it) == 0 && mSilent.count(it) == 0) {
        aPlanner.OnReport(it, DelayedReport(it), Now());
      }
    }
    for (const auto& order : orders) {
      ++mGiven[order.mKind];
      mJoins[order.mEngine] += order.mKind == GroupOrderKind::kJoin ? 1 : 0;
      switch (DeliveryOf(order)) {
        case OrderDelivery::kArrives:
          aPlanner.OnAnswer(order, Answer(order), Now());
          break;
        case OrderDelivery::kLost:
          aPlanner.OnAnswer(order, OrderAnswer::kNone, Now());
          break;
        case OrderDelivery::kAnswerLost:
          mPool.Order(order, Now());
          aPlanner.OnAnswer(order, OrderAnswer::kNone, Now());
          break;
        case OrderDelivery::kUnread:
          mPool.Order(order, Now());
          aPlanner.OnAnswer(order, OrderAnswer::kUnread, Now());
          break;
        case OrderDelivery::kLate:
          mLate.emplace_back(Now() + seconds(4), order);
          aPlanner.OnAnswer(order, OrderAnswer::kNone, Now());
          break;
        case OrderDelivery::kSlow:
          mSlow.push_back({ Now() + kSlowAnswer, &aPlanner, order, std::nullopt });
          break;
        case OrderDelivery::kAnswerSlow:
          mSlow.push_back({ Now() + kSlowAnswer, &aPlanner, order, mPool.Order(order, Now()) });
          break;
      }
    }
  }

  OrderDelivery DeliveryOf(const GroupOrder& aOrder) const
  {
    if (mSilent.count(aOrder.mEngine) != 0) {
      return OrderDelivery::kLost;
    }
    return mDeliveryOf ? mDeliveryOf(aOrder) : OrderDelivery::kArrives;
  }

  OrderAnswer Answer(const GroupOrder& aOrder)
  {
    const OrderAnswer answer = mPool.Order(aOrder, Now());
    mRefusedJoins += answer == OrderAnswer::kNotNow && aOrder.mKind == GroupOrderKind::kJoin;
    return answer;
  }

  /// Cuts the engine off from the platform's list, which keeps the engine's last registration.
  void CutOff(const std::string& aEngine) { mCutOff[aEngine] = mPool.At(aEngine).mRecord; }

  /// The platform's list, including the outdated registrations of engines that are cut off.
  EngineMap Listed() const
  {
    EngineMap listed = mPool.Listed();
    for (const auto& [id, engine] : mCutOff) {
      const auto it = listed.find(id);
      if (it != listed.end()) {
        it->second = engine;
      }
    }
    return listed;
  }

  /// Returns an engine's report as of mReportLag ago.
  EngineReport DelayedReport(const std::string& aEngine)
  {
    const auto& reports = mReports.front().second;
    const auto it = reports.find(aEngine);
    return it == reports.end() ? EngineReport{} : it->second;
  }

  void RecordReports()
  {
    std::map<std::string, EngineReport> reports;
    for (const auto& [id, engine] : mPool.Engines()) {
      reports[id] = mPool.Report(id);
    }
    mReports.emplace_back(Now(), std::move(reports));
    while (mReports.size() > 1 && Now() - mReports[1].first >= mReportLag) {
      mReports.pop_front();
    }
  }

  void Step(Duration aBy = milliseconds(20))
  {
    mClock.Advance(aBy);
    for (auto it = mLate.begin(); it != mLate.end();) {
      if (Now() < it->first) {
        ++it;
        continue;
      }
      mPool.Order(it->second, Now());
      it = mLate.erase(it);
    }
    DeliverDueAnswers();
    mPool.Advance(Now());
  }

  void DeliverDueAnswers()
  {
    while (!mSlow.empty() && Now() >= mSlow.front().mDue) {
      const SlowOrder it = mSlow.front();
      mSlow.pop_front();
      const OrderAnswer answer = it.mAnswer ? *it.mAnswer : mPool.Order(it.mOrder, Now());
      it.mPlanner->OnAnswer(it.mOrder, answer, Now());
    }
  }

  void Run(GroupPlanner& aPlanner,
           Duration aFor,
           std::uint64_t aFence = 1,
           Duration aStep = milliseconds(20))
  {
    for (const TimePoint end = Now() + aFor; Now() < end;) {
      Round(aPlanner, aFence);
      Step(aStep);
    }
  }

  /// @return whether nodes would report that a head makes no progress, because a member of its
  /// group has died or is silent.
  bool IsStalled(const std::string& aHead)
  {
    const auto& members = mPool.At(aHead).mMembers;
    return std::any_of(members.begin(), members.end(), [this](const std::string& aMember) {
      return !mPool.At(aMember).mAlive || mSilent.count(aMember) != 0;
    });
  }

  /// @return how long the planner has kept new requests away from the replica of a head.
  Duration DrainingFor(const GroupPlanner& aPlanner, const std::string& aHead)
  {
    for (const auto& [name, replica] : aPlanner.Replicas()) {
      if (replica.mMembers.front() == aHead && replica.mLeavingSince) {
        return Now() - *replica.mLeavingSince;
      }
    }
    return Duration::zero();
  }

  /// The engine stops listening and answers no queries, but keeps working for its group.
  void StopListening(const std::string& aEngine) { mDetectedLost.insert(aEngine); }

  /// The engine exits. The platform still lists it, and it is detected at once as not answering.
  void Kill(const std::string& aEngine)
  {
    mPool.At(aEngine).mAlive = false;
    mDetectedLost.insert(aEngine);
  }

  /// All engines exit. After aAfter the same number of empty engines appears in each domain under
  /// new ids.
  /// @return when they appeared
  TimePoint RestartEmpty(GroupPlanner& aPlanner, std::size_t aDomains, Duration aAfter)
  {
    for (auto& [id, engine] : mPool.Engines()) {
      engine.mListed = false;
      Kill(id);
    }
    Run(aPlanner, aAfter);
    constexpr std::size_t kPerDomain = 11;
    for (std::size_t d = 0; d < aDomains; ++d) {
      for (std::size_t i = 0; i < kPerDomain; ++i) {
        mPool.Add("n" + std::to_string(d) + "-" + std::to_string(i), "d" + std::to_string(d));
      }
    }
    return Now();
  }

  std::string MemberOf(const GroupPlanner& aPlanner, const std::string& aModel, std::size_t aRank)
  {
    for (const auto& [name, replica] : aPlanner.Replicas()) {
      if (replica.mModel == aModel && replica.mPhase == ReplicaPhase::kOpen) {
        return replica.mMembers[aRank];
      }
    }
    return "";
  }

  ManualClock mClock;
  /// Delay until registrations reach the holder.
  Duration mListLag = milliseconds(40);
  std::deque<std::pair<TimePoint, EngineMap>> mLag;
  FakePool mPool;
  Duration mReportLag = milliseconds(200);
  std::deque<std::pair<TimePoint, std::map<std::string, EngineReport>>> mReports;
  std::set<std::string> mDetectedLost; ///< detected as not answering and exited
  std::set<std::string> mSilent;       ///< do not answer, and may continue
  std::function<OrderDelivery(const GroupOrder&)> mDeliveryOf;
  std::vector<std::pair<TimePoint, GroupOrder>> mLate;
  /// An order whose answer is pending.
  struct SlowOrder
  {
    TimePoint mDue{};
    GroupPlanner* mPlanner = nullptr;
    GroupOrder mOrder;
    std::optional<OrderAnswer> mAnswer; ///< nullopt: not carried out yet
  };
  static constexpr milliseconds kSlowAnswer{ 120 };
  std::deque<SlowOrder> mSlow;
  std::map<std::string, EngineRecord> mCutOff; ///< last registration, by engine
  std::map<GroupOrderKind, int> mGiven;
  int mMaxOrders = std::numeric_limits<int>::max(); ///< per round
  int mMaxGiven = 0;                                ///< most orders in one round
  std::map<std::string, int> mJoins;                ///< join orders, by engine
  int mRefusedJoins = 0;
  int mInFlight = 0; ///< requests in progress at each head
  /// Requests at a head that takes no new ones complete after this; nullopt: never.
  std::optional<Duration> mStreamsLast;
  std::map<std::string, int> mInFlightOf; ///< as mInFlight, by model; overrides it
  std::map<std::string, double> mLimits;  ///< rate limits by head, in requests per second
  int mRounds = 0;
  bool mTraffic = false;
};

/// Time after which every host of two domains has staged all its weights, one load at a time.
inline constexpr seconds kAllStaged{ 500 };

/// The engines that are in no replica.
inline std::vector<std::string>
SparesOf(World& aWorld)
{
  std::vector<std::string> spares;
  for (const auto& [id, engine] : aWorld.mPool.Engines()) {
    if (engine.mRecord.mGroup.mName.rfind("spare-", 0) == 0) {
      spares.push_back(id);
    }
  }
  return spares;
}

} // namespace pepperbay
