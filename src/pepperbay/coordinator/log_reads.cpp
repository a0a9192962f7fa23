#include "log_reads.hpp"

namespace pepperbay {

void
LogReads::RelyOn(const std::vector<std::uint64_t>& aReaderNext,
                 const LogOffsets& aOwn,
                 TimePoint aNow)
{
  const bool reported = aReaderNext.size() == kFollowedLogs;
  for (std::size_t i = 0; i < kFollowedLogs; ++i) {
    const bool behind = reported && aReaderNext[i] > aOwn[i];
    if (!behind) {
      mBehindSince[i].reset();
    } else if (!mBehindSince[i]) {
      mBehindSince[i] = aNow;
    }
    const bool missed = behind && aNow - *mBehindSince[i] >= kFeedTimeout;
    mReads[i] = !reported || missed;
  }
}

} // namespace pepperbay
