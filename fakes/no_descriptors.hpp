/// @file
/// @brief A process that has run out of descriptors.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace pepperbay {

/// As long as it is there this process can open nothing.
class NoDescriptors
{
public:
  NoDescriptors()
  {
    ::getrlimit(RLIMIT_NOFILE, &mBefore);
    const int lowest = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    ::close(lowest);
    const rlimit none{ static_cast<rlim_t>(lowest), mBefore.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &mBefore); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
  rlimit mBefore{};
};

} // namespace pepperbay
