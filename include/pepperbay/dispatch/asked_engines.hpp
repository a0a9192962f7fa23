/// @file
/// @brief The engines that one request was sent to, and those that may have it once more. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace pepperbay {

/// The replica of which an engine was the head when a request went there; empty for none.
struct AskedReplica
{
  std::string mGroup;
  std::uint64_t mEpoch = 0;
};

/// A route bounds the engines that a request is sent to, not the times that it is sent: the same
/// engine once more is no further one.
///
/// @code
/// asked.OnSent("e1", { "g1", 7 });
/// asked.OnNotTaken("e1");
/// asked.OnceMore(formedAnew); // { "e1" }
/// @endcode
class AskedEngines
{
public:
  /// @return whether an engine heads a later formation of the replica that was asked.
  using FormedAnew = std::function<bool(const std::string& aEngine, const AskedReplica& aAsked)>;

  void OnSent(const std::string& aEngine, AskedReplica aReplica);
  /// The connection did not stand: the engine was not asked.
  void OnUnreached(const std::string& aEngine);
  /// The engine has refused the request, or closed a kept connection under it without an answer.
  void OnNotTaken(const std::string& aEngine);

  /// @return how many engines were asked.
  int Count() const { return static_cast<int>(mEngines.size()); }
  /// @return engines that did not take it, or have formed anew since; each at most once.
  std::set<std::string> OnceMore(const FormedAnew& aFormedAnew) const;

private:
  struct Asked
  {
    int mTimes = 0;
    bool mNotTaken = false;
    bool mRefusedBefore = false; ///< mNotTaken, before the last sending
    AskedReplica mReplica;
  };

  std::map<std::string, Asked> mEngines;
};

} // namespace pepperbay
