#include "pepperbay/membership/evidence.hpp"

namespace pepperbay {

const char*
ToString(Wholeness aWholeness)
{
  switch (aWholeness) {
    case Wholeness::kWhole:
      return "whole";
    case Wholeness::kUnheard:
      return "unheard";
    case Wholeness::kStale:
      return "stale";
    case Wholeness::kRefused:
      return "refused";
    case Wholeness::kElsewhere:
      return "elsewhere";
    case Wholeness::kNotReady:
      return "not ready";
  }
  return "unheard";
}

void
EvidenceTable::Merge(const proto::Evidence& aEvidence, TimePoint aSaidNoEarlier)
{
  const auto it = mWords.find(aEvidence.host());
  if (it == mWords.end()) {
    mWords[aEvidence.host()] = { aEvidence, aSaidNoEarlier };
    return;
  }
  HostWord& word = it->second;
  // The word of an earlier start of the host says nothing of the one that runs now.
  const bool older = aEvidence.host_incarnation() != 0 &&
                     aEvidence.host_incarnation() < word.mEvidence.host_incarnation();
  if (older || aSaidNoEarlier < word.mSaidNoEarlier) {
    return;
  }
  const std::uint64_t incarnation = word.mEvidence.host_incarnation();
  word = { aEvidence, aSaidNoEarlier };
  if (aEvidence.refused()) {
    word.mEvidence.set_host_incarnation(incarnation);
  }
}

const HostWord*
EvidenceTable::Find(const std::string& aHost) const
{
  const auto it = mWords.find(aHost);
  return it == mWords.end() ? nullptr : &it->second;
}

WholenessReport
EvidenceTable::Judge(const Expected& aExpected, Duration aFreshness, TimePoint aNow) const
{
  for (const auto& host : aExpected.mHosts) {
    const HostWord* word = Find(host);
    if (word == nullptr) {
      return { Wholeness::kUnheard, host };
    }
    const proto::Evidence& said = word->mEvidence;
    if (said.refused()) {
      return { Wholeness::kRefused, host };
    }
    if (aNow - word->mSaidNoEarlier > aFreshness) {
      return { Wholeness::kStale, host };
    }
    if (said.replica() != aExpected.mReplica || said.generation() != aExpected.mGeneration) {
      return { Wholeness::kElsewhere, host };
    }
    if (said.phase() != proto::PHASE_READY || said.model_version() != aExpected.mModelVersion) {
      return { Wholeness::kNotReady, host };
    }
  }
  return { Wholeness::kWhole, "" };
}

void
EvidenceTable::Forget(Duration aAge, TimePoint aNow)
{
  for (auto it = mWords.begin(); it != mWords.end();) {
    const bool old = aNow - it->second.mSaidNoEarlier > aAge;
    it = old ? mWords.erase(it) : std::next(it);
  }
}

} // namespace pepperbay
