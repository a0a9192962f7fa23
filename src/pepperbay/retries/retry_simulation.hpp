/// @file
/// @brief Simulates the retry agents of many nodes, their messages and the lease of the budget
/// owner, in steps of virtual time; for tests and benchmarks.
#pragma once

#include "pepperbay/admission/retry_account.hpp"
#include "pepperbay/retries/retry_agent.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pepperbay {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RetrySimulationOptions
{
  int mNodes = 8;
  RetryLimits mLimits{ 0.2, 134, seconds(10) };
  double mLossRate = 0;         ///< fraction of messages that are lost
  Duration mMaxDelay{ 0 };      ///< maximum delivery delay
  Duration mAnnounceDelay{ 0 }; ///< time until the nodes learn of a new budget owner
  double mUncounted = 0;        ///< fraction of the nodes that each node fails to count
  std::uint32_t mSeed = 1;
};

class RetrySimulation
{
public:
  static constexpr milliseconds kStep{ 20 };
  /// Length of a lease that is not renewed, and the pause after it that allows for clock
  /// differences.
  static constexpr milliseconds kLeaseTime{ 1000 };
  static constexpr milliseconds kGuard{ 20 };

  explicit RetrySimulation(RetrySimulationOptions aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mNodes(static_cast<std::size_t>(aOptions.mNodes))
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      Restart(i);
    }
  }

  std::size_t Size() const { return mNodes.size(); }
  TimePoint Now() const { return mClock.Now(); }
  RetryAgent& Agent(std::size_t aNode) { return *mNodes[aNode].mAgent; }
  std::mt19937& Random() { return mRandom; }
  std::uint64_t Sent() const { return mSent; }
  std::size_t BudgetOwner() const { return mBudgetOwner; }

  /// Restart the process of a node; it loses its state. A lease that it had stays unusable until it
  /// expires.
  void Restart(std::size_t aNode)
  {
    Node& node = mNodes[aNode];
    RetryAgentOptions options;
    options.mNode = "n" + std::to_string(aNode);
    options.mIncarnation = ++mIncarnations;
    options.mAddress = std::to_string(aNode);
    options.mLimits = mOptions.mLimits;
    RetryAgentHooks hooks;
    hooks.mNow = mClock.Hook();
    hooks.mSend = [this](const std::string& aAddress, const std::string& aBytes) {
      Send(aAddress, aBytes);
    };
    node.mAgent = std::make_unique<RetryAgent>(options, hooks);
    node.mLease = {};
    node.mFrozen = false;
    mLeaseGranted = mLeaseGranted && mBudgetOwner != aNode;
    UpdateFleet(aNode);
  }

  /// Freeze or resume a node; it resumes with the state that it had.
  void Freeze(std::size_t aNode, bool aStands) { mNodes[aNode].mFrozen = aStands; }

  /// Give the lease to another node, once the current lease has expired.
  void ChangeBudgetOwner(std::size_t aNode)
  {
    mLeaseGranted = false;
    mNext = aNode;
  }

  /// @param aDone receives whether the request may be sent again
  void Ask(std::size_t aNode, RetryAgent::Done aDone)
  {
    if (!mNodes[aNode].mFrozen) {
      Agent(aNode).Ask("plain", std::move(aDone));
    }
  }

  void Step()
  {
    mClock.Advance(kStep);
    GrantLease();
    Deliver();
    for (auto& it : mNodes) {
      if (!it.mFrozen) {
        it.mAgent->Tick();
      }
    }
  }

  void Run(Duration aFor)
  {
    for (const TimePoint end = Now() + aFor; Now() < end;) {
      Step();
    }
  }

private:
  struct Node
  {
    std::unique_ptr<RetryAgent> mAgent;
    RetryBudgetLease mLease;
    bool mFrozen = false;
  };
  struct Message
  {
    TimePoint mAt{};
    std::size_t mTo = 0;
    std::string mBytes;
  };

  void GrantLease()
  {
    const TimePoint now = Now();
    if (!mLeaseGranted && now >= mLeaseUntil + kGuard) {
      mBudgetOwner = mNext;
      mLeaseGranted = true;
      mNodes[mBudgetOwner].mLease = { now, now + kLeaseTime };
      mAnnounceAt = now + mOptions.mAnnounceDelay;
      mAnnounced = false;
    }
    if (mLeaseGranted && !mNodes[mBudgetOwner].mFrozen) {
      Node& owner = mNodes[mBudgetOwner];
      if (now >= owner.mLease.mUntil) {
        owner.mLease.mSince = now;
      }
      owner.mLease.mUntil = now + kLeaseTime;
      mLeaseUntil = owner.mLease.mUntil;
      UpdateFleet(mBudgetOwner);
    }
    if (mLeaseGranted && !mAnnounced && now >= mAnnounceAt) {
      mAnnounced = true;
      mAnnouncedOwner = mBudgetOwner;
      mAnyAnnounced = true;
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        UpdateFleet(i);
      }
    }
  }

  void UpdateFleet(std::size_t aNode)
  {
    RetryFleet fleet;
    fleet.mBudgetOwner =
      mAnyAnnounced && mAnnouncedOwner != aNode ? std::to_string(mAnnouncedOwner) : "";
    fleet.mLease = mNodes[aNode].mLease;
    const double counted = static_cast<double>(mNodes.size()) * (1 - mOptions.mUncounted);
    fleet.mNodes = std::max(1, static_cast<int>(counted));
    mNodes[aNode].mAgent->SetFleet(fleet);
  }

  void Send(const std::string& aAddress, const std::string& aBytes)
  {
    ++mSent;
    if (std::bernoulli_distribution(mOptions.mLossRate)(mRandom)) {
      return;
    }
    std::uniform_int_distribution<Duration::rep> late(0, mOptions.mMaxDelay.count());
    mMessages.push_back({ Now() + Duration(late(mRandom)), std::stoul(aAddress), aBytes });
  }

  void Deliver()
  {
    for (std::size_t n = mMessages.size(); n > 0; --n) {
      Message message = std::move(mMessages.front());
      mMessages.pop_front();
      if (Now() < message.mAt || mNodes[message.mTo].mFrozen) {
        mMessages.push_back(std::move(message));
        continue;
      }
      proto::PlaceMessage parsed;
      if (parsed.ParseFromString(message.mBytes)) {
        Agent(message.mTo).OnMessage(parsed);
      }
    }
  }

  RetrySimulationOptions mOptions;
  std::mt19937 mRandom;
  ManualClock mClock;
  std::vector<Node> mNodes;
  std::deque<Message> mMessages;
  std::uint64_t mIncarnations = 0;
  std::uint64_t mSent = 0;
  std::size_t mBudgetOwner = 0;
  std::size_t mNext = 0;
  std::size_t mAnnouncedOwner = 0;
  bool mLeaseGranted = false;
  bool mAnnounced = false;
  bool mAnyAnnounced = false;
  TimePoint mAnnounceAt{};
  TimePoint mLeaseUntil{};
};

} // namespace pepperbay
