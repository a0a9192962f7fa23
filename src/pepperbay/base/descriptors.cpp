#include "pepperbay/base/descriptors.hpp"

#include <cerrno>
#include <sys/resource.h>
#include <system_error>

namespace pepperbay {

Result<std::size_t>
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return Error{ Errc::kInternal, "process.limit", "", std::generic_category().message(errno) };
  }
  const rlimit most{ limit.rlim_max, limit.rlim_max };
  const bool raised = ::setrlimit(RLIMIT_NOFILE, &most) == 0;
  return static_cast<std::size_t>(raised ? most.rlim_cur : limit.rlim_cur);
}

} // namespace pepperbay
