/// @file
/// @brief The rules for what operators publish, checked by the command line and again by the fold.
#pragma once

#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

constexpr std::uint32_t kWholePermille = 1000;
constexpr std::uint32_t kMaxHostsPerReplica = 64;
constexpr std::uint32_t kLowestPriority = 9;
constexpr std::size_t kMaxNameLength = 63;

/// @return the key under which a document is published, such as `profiles/checklist`.
std::string
KeyOf(const proto::Document& aDocument);

/// @return what is wrong with a document, with field and allowed range; empty when nothing is.
std::string
ProblemOf(const proto::Document& aDocument);

/// @return the share a document takes of the pool, in thousandths; 0 for kinds without one.
std::uint32_t
SharePermille(const proto::Document& aDocument);

} // namespace pepperbay
