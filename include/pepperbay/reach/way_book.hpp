/// @file
/// @brief Whether a node goes to engines by itself or through a peer. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace pepperbay {

enum class Way
{
  kDirect, ///< a connection of this node's own; a peer is asked beside it if that takes long
  kPeer,   ///< through a peer that reaches the engine
};

struct WayBookOptions
{
  /// Faults and connections of this long are weighed against each other.
  Duration mWindow = std::chrono::seconds(1);
  /// Engines whose path must be at fault before this node's own connections are avoided at all,
  /// unless it has heard nothing at all meanwhile.
  std::size_t mFaultyEngines = 2;
  /// An engine whose path is at fault is reached through a peer for so long; twice as long each
  /// time that it is found so again.
  Duration mEngineFirst = std::chrono::seconds(1);
  Duration mEngineMost = std::chrono::seconds(4);
  /// While own connections are avoided, one is tried this often; at once after one that stood.
  Duration mProbeEvery = std::chrono::milliseconds(150);
  /// Own connections that must stand one after the other before they are used again; one to each of
  /// the engines that peers have lately reached, if those are more. After a relapse twice as many,
  /// up to the most.
  int mGoodProbes = 2;
  int mMostGoodProbes = 8;
  /// Engines that peers have reached and that are tried.
  std::size_t mMostTried = 8;
  Duration mRelapse = std::chrono::seconds(5);
};

/// A connection that does not stand says little: the engine may have ended, or the path may be cut.
/// What tells them apart is a peer that reaches the same engine at that moment: then it is the
/// path. Faults of the path at several engines, with hardly a connection that stood between them,
/// mean that this node is partitioned; it then goes through peers, and tries a connection now and
/// then.
///
/// @code
/// if (book.WayTo(engine, now) == Way::kPeer) { ... }
/// book.OnConnected(engine, now);           // an own connection stood
/// book.OnPathFault(engine, begun, now);    // a peer reached it, this node has not since `begun`
/// @endcode
class WayBook
{
public:
  WayBook() = default;
  explicit WayBook(WayBookOptions aOptions);

  /// A byte of an engine came over a connection of this node's own.
  void OnHeard(TimePoint aNow) { mHeardAt = aNow; }
  /// An own connection to an engine stands.
  void OnConnected(const std::string& aEngine, TimePoint aNow);
  /// A peer has reached an engine that has not answered this node's own connection.
  /// @param aBegun when the own connection was begun
  void OnPathFault(const std::string& aEngine, TimePoint aBegun, TimePoint aNow);
  /// A peer has reached an engine.
  void OnReachedByPeer(const std::string& aEngine);
  /// A connection that was only tried to see whether the path works did not stand.
  void OnBadProbe(TimePoint aNow);

  Way WayTo(const std::string& aEngine, TimePoint aNow) const;
  /// @return whether own connections are avoided, to all engines.
  bool Avoids() const { return mAvoids; }
  /// Since when they are avoided, or were last.
  TimePoint AvoidsSince() const { return mAvoidsSince; }
  /// @return whether an own connection is to be tried now
  bool TakeProbe(TimePoint aNow);
  /// The engine that it is to be tried to: one that is well for certain, as a peer has reached it;
  /// empty: any.
  std::string EngineToTry();

private:
  struct Event
  {
    std::string mEngine;
    TimePoint mAt{};
  };
  struct Fault
  {
    TimePoint mUntil{};
    Duration mPause{ 0 };
  };

  void DropOld(TimePoint aNow);
  void Avoid(TimePoint aNow);
  static std::set<std::string> Engines(const std::deque<Event>& aEvents);
  /// Engines to which connections stood and none failed, in the window.
  std::size_t GoodEngines() const;

  WayBookOptions mOptions;
  std::deque<Event> mFaults;    ///< of the window
  std::deque<Event> mConnected; ///< of the window
  std::map<std::string, Fault> mEngines;
  TimePoint mHeardAt{};
  bool mAvoids = false;
  TimePoint mAvoidsSince{};
  TimePoint mAvoidedUntil{}; ///< the end of the last time
  TimePoint mProbeDue{};
  std::deque<std::string> mByPeer; ///< engines that peers have reached; the next to try first
  int mGood = 0;                   ///< probes that stood one after the other
  int mNeeded = 0;
};

/// When engines were last heard: the two that were heard last, so that one of them is another than
/// any given one.
class LastHeard
{
public:
  void Note(const std::string& aEngine, TimePoint aNow);
  /// @return when an engine other than this one was last heard; the zero time for never.
  TimePoint OtherThan(const std::string& aEngine) const;

private:
  struct Heard
  {
    std::string mEngine;
    TimePoint mAt{};
  };
  Heard mLast;
  Heard mOther;
};

} // namespace pepperbay
