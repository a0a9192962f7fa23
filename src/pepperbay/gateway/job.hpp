/// @file
/// @brief One accepted request, from its arrival to its answer.
#pragma once

#include "request.hpp"

#include "pepperbay/control/traffic_view.hpp"
#include "pepperbay/http/server.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace pepperbay {

/// A request that was accepted, until its answer is out. Locked by its own mutex; the gateway's
/// mutex may be taken while it is held, never the other way round.
struct Job
{
  std::uint64_t mId = 0;
  CallerRequest mRequest;
  std::shared_ptr<Responder> mResponder;
  TimePoint mArrived{};
  TimePoint mDeadline{};

  std::mutex mMutex;
  std::optional<Delivery> mDelivery;
  std::set<std::string> mAvoid;
  bool mDone = false;
  bool mStreamStarted = false;
  std::string mClaimId; ///< of its idempotency key; empty when there is none
  bool mClaimWon = false;
  bool mCallerLost = false; ///< the caller hung up or reads too slowly
  TimePoint mStarted{};
  std::string mText; ///< the answer so far, when it is not streamed

  // The attempt in progress.
  int mAttempt = 0; ///< 0 when there is none
  std::string mAttemptId;
  std::uint64_t mCallId = 0;
  std::size_t mClient = 0;
  std::shared_ptr<ReplicaLoad> mLoad;
  ReplicaKey mReplica;
  EventLines mLines;
  TimePoint mAttemptStarted{};
  TimePoint mLastPart{};
  bool mFirstPartSeen = false;
  bool mFinishSeen = false;
  bool mResumable = false;
  int mStatus = 0;
  bool mBackEndSaysNotRun = false;
  std::string mEndDetail; ///< why this node ended the attempt, when it did
  HttpResponse mRelayed;
};

} // namespace pepperbay
