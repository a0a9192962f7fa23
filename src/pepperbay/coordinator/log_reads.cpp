#include "log_reads.hpp"

namespace pepperbay {

void
LogReads::RelyOn(const std::vector<std::uint64_t>& aTheirs, const LogOffsets& aOwn, TimePoint aNow)
{
  const bool told = aTheirs.size() == kFollowedLogs;
  for (std::size_t i = 0; i < kFollowedLogs; ++i) {
    const bool behind = told && aTheirs[i] > aOwn[i];
    if (!behind) {
      mBehindSince[i].reset();
    } else if (!mBehindSince[i]) {
      mBehindSince[i] = aNow;
    }
    const bool missed = behind && aNow - *mBehindSince[i] >= kFeedLate;
    mReads[i] = !told || missed;
  }
}

} // namespace pepperbay
