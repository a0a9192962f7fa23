/// @file
/// @brief How many files and connections this process may have open.
#pragma once

#include "pepperbay/base/error.hpp"

#include <cstddef>

namespace pepperbay {

/// What many systems begin with.
inline constexpr std::size_t kUsualDescriptors = 1024;

/// Have this process open as many as its machine allows it.
/// @return how many it may have open now; where that cannot be raised, as many as before
Result<std::size_t>
RaiseDescriptorLimit();

} // namespace pepperbay
