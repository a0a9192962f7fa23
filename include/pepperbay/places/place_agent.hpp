/// @file
/// @brief One node's part in sharing out the places at replicas. Pure.
///
/// Hundreds of nodes that each choose by what they last heard of the others all choose the replica
/// that seems emptiest, and engines reject one request in five (65 nodes, measured). So a node asks
/// the desk of its data centre, which has granted all places there and knows what is in progress to
/// the request. A desk is a node like any other; which one is in the plan. Where no desk answers, a
/// node chooses by what it knows itself.
#pragma once

#include "pepperbay/admission/retry_budget.hpp"
#include "pepperbay/places/place_book.hpp"
#include "pepperbay/routing/balancer.hpp"
#include "pepperbay/routing/traffic_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <pepperbay.pb.h>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct PlaceAgentOptions
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mAddress; ///< where this node hears desks and other nodes; `IP:port`, UDP
  /// A question without an answer is sent again after this: several round trips between data
  /// centres, and a loss costs less than a tenth of the time to a first event.
  Duration mResendAfter = std::chrono::milliseconds(10);
  /// And given up after this; the next desk is asked, or none.
  Duration mGiveUpAfter = std::chrono::milliseconds(30);
  /// A desk that did not answer is passed over for this long. Its silence shows in heartbeats at
  /// some 650 ms; until then each question to it would cost mGiveUpAfter.
  Duration mPassOver = std::chrono::milliseconds(300);
  /// What is held of a desk's places is told to it this often; a lost word of an end keeps a place
  /// from others for so long.
  Duration mTellHeldEvery = std::chrono::milliseconds(500);
  /// Second attempts of all nodes together in a window: a share of requests, and so many beyond.
  double mRetryShare = 0.2;
  double mRetrySlack = 100;
};

struct PlaceRequest
{
  std::string mService;
  std::string mModel;
  Duration mWork{ 0 }; ///< time that a replica takes to read the prompt
  /// To the first event; zero: it is late in any case, or goes on after its first event.
  Duration mObjective{ 0 };
  std::set<std::string> mTried; ///< heads that the request has been sent to
  bool mAgain = false;          ///< draws on the shared budget of second attempts
};

enum class PlaceOutcome
{
  kGranted,
  kFull,      ///< each replica has all that it should hold
  kNoReplica, ///< none takes requests
  kNoBudget,  ///< second attempts are used up
};

const char*
ToString(PlaceOutcome aOutcome);

/// A place that was granted; give it back with `End()`.
struct PlaceTicket
{
  std::string mDesk; ///< that counts it; empty: none does
  std::uint64_t mId = 0;
};

struct Place
{
  PlaceOutcome mOutcome = PlaceOutcome::kNoReplica;
  std::string mGroup;
  std::uint64_t mEpoch = 0;
  EngineTarget mHead;
  PlaceTicket mTicket;
};

struct PlaceAgentHooks
{
  NowFn mNow;
  std::function<void(const std::string& aAddress, const std::string& aBytes)> mSend;
};

struct PlaceCounters
{
  std::uint64_t mAsked = 0;    ///< questions to other nodes' desks
  std::uint64_t mResent = 0;   ///< of these, sent again
  std::uint64_t mGivenUp = 0;  ///< desks that did not answer in time
  std::uint64_t mAlone = 0;    ///< choices without a desk though the plan names one
  std::uint64_t mGranted = 0;  ///< places granted to other nodes
  std::uint64_t mPassedOn = 0; ///< questions passed on to the desk of another data centre
  std::uint64_t mBadMessages = 0;
};

/// Asks, answers, and keeps the accounts of both sides. Used by one thread.
///
/// @code
/// agent.Ask(request, [&](const Place& aPlace) {
///   if (aPlace.mOutcome == PlaceOutcome::kGranted) { send(aPlace.mHead); ...
///   agent.End(aPlace.mTicket); }
/// });
/// @endcode
class PlaceAgent
{
public:
  using Done = std::function<void(const Place&)>;

  /// @param aBalancer counts the places granted here; the owner counts the requests that it sends
  PlaceAgent(PlaceAgentOptions aOptions, PlaceAgentHooks aHooks, Balancer* aBalancer);

  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan);
  void SetBudget(double aShare, double aSlack);

  /// @param aDone called exactly once, perhaps before this returns
  void Ask(const PlaceRequest& aRequest, Done aDone);
  void End(const PlaceTicket& aTicket);
  /// @return whether a second attempt may be granted; a desk elsewhere decides when it is asked.
  bool MayTryAgain(const std::string& aService);

  /// Bytes from another node's agent.
  void OnMessage(const std::string& aBytes);
  /// Do what is due; call every few tens of milliseconds.
  void Tick();

  const PlaceCounters& Counters() const { return mCounters; }

private:
  struct Pending
  {
    PlaceRequest mRequest;
    Done mDone;
    DeskAddress mDesk;
    std::string mBytes;
    TimePoint mSent{};
    bool mResent = false;
    int mDesksAsked = 0;
  };
  /// What this node holds of another's places.
  struct Held
  {
    std::string mAddress;
    std::set<std::uint64_t> mIds;
    std::vector<std::uint64_t> mEnded; ///< to be told
    TimePoint mToldAt{};
    bool mToldEmpty = true;
  };
  /// Who asks a desk.
  struct Asker
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
    std::string mAddress;
  };

  TimePoint Now() const { return mHooks.mNow(); }
  /// @return the best desk that has not failed to answer lately; null for none.
  const DeskAddress* UsableDesk() const;
  /// Ask the best desk, or choose alone where there is none.
  void AskDesk(std::uint64_t aId, Pending aPending);
  Place ChooseAlone(const PlaceRequest& aRequest);
  struct Choice
  {
    PlaceOutcome mOutcome = PlaceOutcome::kNoReplica;
    const PoolReplica* mReplica = nullptr;
  };
  Choice Choose(const std::string& aService, const Balancer::ReplicaQuery& aQuery) const;
  /// Count a request, or draw its second attempt. @return false where there is none left
  bool Draw(const std::string& aService, bool aAgain);
  RetryBudget& BudgetOf(const std::string& aService);
  RetryBudget::Options BudgetOptions() const;
  void OnAsk(const proto::PlaceMessage& aMessage);
  /// @return where to pass a question on to, because its replica is another desk's; null: nowhere.
  const DeskAddress* DeskOf(const PoolReplica& aReplica) const;
  void PassOn(const proto::PlaceAsk& aAsk, const Asker& aAsker, const DeskAddress& aDesk);
  void Grant(const PoolReplica& aReplica,
             const Asker& aAsker,
             const proto::PlaceAsk& aAsk,
             proto::PlaceAnswer* aAnswer);
  const PoolReplica* FindByHead(const std::string& aService, const std::string& aHead) const;
  void OnAnswer(const proto::PlaceMessage& aMessage);
  void OnEnds(const proto::PlaceMessage& aMessage);
  void OnHeld(const proto::PlaceMessage& aMessage);
  void TellEnds();
  /// @return whether this node's own plan speaks against a replica that a desk has named.
  bool KnowsBetter(const proto::PlaceAnswer& aAnswer, const std::string& aService) const;
  proto::PlaceMessage NewMessage() const;

  PlaceAgentOptions mOptions;
  PlaceAgentHooks mHooks;
  Balancer* mBalancer;
  PlaceBook mBook;
  PlaceCounters mCounters;
  std::shared_ptr<const TrafficPlan> mPlan;
  std::map<std::string, RetryBudget> mBudgets; ///< by service
  std::map<std::uint64_t, Pending> mPending;   ///< by question
  std::map<std::string, Held> mHeld;           ///< by desk
  std::map<std::string, TimePoint> mPassOver;  ///< desks that did not answer, until when
  std::uint64_t mLastId = 0;
};

} // namespace pepperbay
