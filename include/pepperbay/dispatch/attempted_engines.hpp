/// @file
/// @brief The engines that a request was sent to, and those it may be sent to a second time. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace pepperbay {

/// The replica whose head (the member that receives its requests) the engine was when the request
/// was sent; empty: none.
struct AttemptedReplica
{
  std::string mGroup;
  std::uint64_t mEpoch = 0;
};

/// A route limits the number of engines that a request is sent to, not the number of attempts:
/// sending it to the same engine again does not count.
///
/// @code
/// engines.OnSent("e1", { "g1", 7 });
/// engines.OnNotTaken("e1");
/// engines.Retryable(isReFormed); // { "e1" }
/// @endcode
class AttemptedEngines
{
public:
  /// @return whether the engine is the head of the same replica, re-formed since (a higher epoch).
  using IsReFormedFn =
    std::function<bool(const std::string& aEngine, const AttemptedReplica& aAsked)>;

  void OnSent(const std::string& aEngine, AttemptedReplica aReplica);
  /// The connection was not established: the engine did not get the request.
  void OnUnreached(const std::string& aEngine);
  /// The engine refused the request, or closed the pooled connection it was sent on without an
  /// answer.
  void OnNotTaken(const std::string& aEngine);

  /// @return the number of engines that the request was sent to.
  int Count() const { return static_cast<int>(mEngines.size()); }
  /// @return engines that did not take the request, or whose replica was re-formed since; each is
  /// returned for one second attempt at most.
  std::set<std::string> Retryable(const IsReFormedFn& aIsReFormed) const;

private:
  struct Asked
  {
    int mTimes = 0;
    bool mNotTaken = false;
    bool mRefusedBefore = false; ///< mNotTaken, before the last attempt
    AttemptedReplica mReplica;
  };

  std::map<std::string, Asked> mEngines;
};

} // namespace pepperbay
