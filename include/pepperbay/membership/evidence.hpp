/// @file
/// @brief What hosts said of themselves, and whether that makes a replica whole.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

/// The newest word of one host, by this process's clock.
struct HostWord
{
  proto::Evidence mEvidence;
  TimePoint mSaidNoEarlier{}; ///< the host said it no earlier than this
};

/// What one member must confirm for its replica to be whole.
struct Expected
{
  std::string mReplica;
  std::uint64_t mGeneration = 0;
  std::string mModelVersion;
  std::vector<std::string> mHosts;
};

/// Why a replica is not whole.
enum class Wholeness
{
  kWhole,
  kUnheard,   ///< a member has not been heard of
  kStale,     ///< a member's last word is too old
  kRefused,   ///< nothing listens at a member's address
  kElsewhere, ///< a member says that it is in another replica or generation
  kNotReady,  ///< a member is loading, has failed, or serves another version
};

const char*
ToString(Wholeness aWholeness);

struct WholenessReport
{
  Wholeness mWholeness = Wholeness::kUnheard;
  std::string mHost; ///< the member that breaks it
};

/// The newest evidence of each host, however it came. Pure.
class EvidenceTable
{
public:
  /// Take in a host's word unless a newer one is known.
  /// @param aSaidNoEarlier a bound by this process's clock; see Peer::mSentNoEarlier
  void Merge(const proto::Evidence& aEvidence, TimePoint aSaidNoEarlier);

  const HostWord* Find(const std::string& aHost) const;

  /// Every member must itself confirm replica, generation and version, within `aFreshness`.
  ///
  /// What goes wrong without it: a host that died or came back empty leaves its replica unable to
  /// answer while the assignment in the log still names it. This is judged on every node from the
  /// hosts' own words, with no round to the log.
  WholenessReport Judge(const Expected& aExpected, Duration aFreshness, TimePoint aNow) const;

  /// Drop hosts unheard for longer than `aAge`.
  void Forget(Duration aAge, TimePoint aNow);

  std::size_t Size() const { return mWords.size(); }
  const std::map<std::string, HostWord>& Words() const { return mWords; }

private:
  std::map<std::string, HostWord> mWords;
};

} // namespace pepperbay
