/// @file
/// @brief HTTP hop-by-hop headers: they apply to one connection and are not forwarded.
#pragma once

#include "pepperbay/relay/dialect.hpp"

namespace pepperbay {

/// Removes the hop-by-hop headers, including those that the Connection header lists.
void
DropHopByHop(HeaderFields* aFields);

} // namespace pepperbay
