#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pepperbay {

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::uint32_t
ShortId(std::string_view aId)
{
  return static_cast<std::uint32_t>(Hash64(aId));
}

std::vector<std::string>
RendezvousTop(std::string_view aKey, const std::vector<std::string>& aMembers, std::size_t aCount)
{
  struct Scored
  {
    std::uint64_t mScore;
    const std::string* mMember;
  };
  const std::uint64_t seed = Hash64(aKey);
  std::vector<Scored> scored;
  scored.reserve(aMembers.size());
  for (const auto& it : aMembers) {
    scored.push_back({ Hash64(it, seed), &it });
  }
  const std::size_t n = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(n),
                    scored.end(),
                    [](const Scored& aLeft, const Scored& aRight) {
                      if (aLeft.mScore != aRight.mScore) {
                        return aLeft.mScore > aRight.mScore;
                      }
                      return *aLeft.mMember < *aRight.mMember;
                    });
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < n; ++i) {
    owners.push_back(*scored[i].mMember);
  }
  return owners;
}

std::set<std::uint32_t>
ShortIds(const std::set<std::string>& aIds)
{
  std::set<std::uint32_t> ids;
  for (const auto& it : aIds) {
    ids.insert(ShortId(it));
  }
  return ids;
}

} // namespace pepperbay
