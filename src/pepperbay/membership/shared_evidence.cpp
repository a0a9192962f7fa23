#include "pepperbay/membership/shared_evidence.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <set>

namespace pepperbay {
namespace {

constexpr std::uint32_t kQuarters = 4;

std::uint64_t
EntryHash(const std::string& aHost, std::uint64_t aSignature)
{
  return Hash64(aHost, aSignature);
}

} // namespace

std::uint64_t
EvidenceSignature(const proto::Evidence& aEvidence, std::uint32_t aSlots)
{
  const std::uint32_t load = aEvidence.running() + aEvidence.queued();
  const std::uint32_t level = load * kQuarters / std::max(1U, aSlots);
  std::uint64_t hash = Hash64(aEvidence.replica(), aEvidence.generation());
  hash = Hash64(aEvidence.model_version(), hash);
  const std::uint64_t numbers[] = { aEvidence.host_incarnation(),
                                    static_cast<std::uint64_t>(aEvidence.phase()),
                                    aEvidence.fence(),
                                    aEvidence.refused() ? 1U : 0U,
                                    level };
  return Hash64({ reinterpret_cast<const char*>(numbers), sizeof numbers }, hash);
}

void
EvidenceSender::Fill(const std::vector<proto::Evidence>& aCurrent,
                     Duration aOldestAge,
                     std::uint32_t aSlots,
                     bool aFull,
                     proto::Heartbeat* aHeartbeat)
{
  std::uint64_t digest = 0;
  std::map<std::string, std::uint64_t> now;
  for (const auto& it : aCurrent) {
    const std::uint64_t signature = EvidenceSignature(it, aSlots);
    now[it.host()] = signature;
    digest ^= EntryHash(it.host(), signature);
    const auto told = mTold.find(it.host());
    if (aFull || told == mTold.end() || told->second != signature) {
      *aHeartbeat->add_evidence() = it;
    }
  }
  if (!aFull) {
    for (const auto& [host, signature] : mTold) {
      if (now.count(host) == 0) {
        proto::Evidence& gone = *aHeartbeat->add_evidence();
        gone.set_host(host);
        gone.set_withdrawn(true);
      }
    }
  }
  aHeartbeat->set_evidence_full(aFull);
  aHeartbeat->set_evidence_digest(digest);
  // Rounded up: evidence may look older than it is, never newer.
  aHeartbeat->set_evidence_age_ms(static_cast<std::uint32_t>(ToMs(aOldestAge).count() + 1));
  mTold.swap(now);
}

bool
EvidenceReceiver::Take(const proto::Heartbeat& aHeartbeat, std::uint32_t aSlots)
{
  if (aHeartbeat.evidence_full()) {
    mWords.clear();
  }
  for (const auto& it : aHeartbeat.evidence()) {
    if (it.withdrawn()) {
      mWords.erase(it.host());
    } else {
      mWords[it.host()] = it;
    }
  }
  std::uint64_t digest = 0;
  for (const auto& [host, word] : mWords) {
    digest ^= EntryHash(host, EvidenceSignature(word, aSlots));
  }
  return digest == aHeartbeat.evidence_digest();
}

} // namespace pepperbay
