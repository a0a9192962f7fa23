#include "pepperbay/state/documents.hpp"

#include <algorithm>
#include <cctype>

namespace pepperbay {
namespace {

std::string
NameProblem(const std::string& aName)
{
  const bool good =
    !aName.empty() && aName.size() <= kMaxNameLength &&
    std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
      return std::islower(aChar) != 0 || std::isdigit(aChar) != 0 || aChar == '-' || aChar == '_';
    });
  return good ? "" : "name: '" + aName + "' is not 1 to 63 of a-z, 0-9, '-', '_'";
}

/// Records are read back as UTF-8; a text that is not would make its record unreadable.
bool
Printable(const std::string& aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](unsigned char aChar) { return aChar >= ' ' && aChar <= '~'; });
}

std::string
ProfileProblem(const proto::Profile& aProfile)
{
  if (aProfile.model().empty()) {
    return "model: is missing";
  }
  if (aProfile.model_version().empty()) {
    return "model_version: is missing";
  }
  if (!Printable(aProfile.model()) || !Printable(aProfile.model_version())) {
    return "model: and model_version must be printable ASCII";
  }
  if (aProfile.hosts_per_replica() < 1 || aProfile.hosts_per_replica() > kMaxHostsPerReplica) {
    return "hosts_per_replica: must be 1 to 64";
  }
  if (aProfile.priority() > kLowestPriority) {
    return "priority: must be 0 (most urgent) to 9";
  }
  if (aProfile.share_permille() > kWholePermille) {
    return "share: must be 0 to 1";
  }
  return "";
}

std::string
ServiceProblem(const proto::PlainService& aService)
{
  if (aService.endpoints().empty()) {
    return "endpoints: at least one address 'IP:port' is needed";
  }
  for (const auto& it : aService.endpoints()) {
    if (it.find(':') == std::string::npos || !Printable(it)) {
      return "endpoints: '" + it + "' is not 'IP:port'";
    }
  }
  return "";
}

} // namespace

std::string
KeyOf(const proto::Document& aDocument)
{
  switch (aDocument.kind_case()) {
    case proto::Document::kProfile:
      return "profiles/" + aDocument.profile().name();
    case proto::Document::kCustomer:
      return "customers/" + aDocument.customer().name();
    case proto::Document::kService:
      return "services/" + aDocument.service().name();
    case proto::Document::KIND_NOT_SET:
      break;
  }
  return "";
}

std::string
ProblemOf(const proto::Document& aDocument)
{
  std::string problem;
  switch (aDocument.kind_case()) {
    case proto::Document::kProfile:
      problem = NameProblem(aDocument.profile().name());
      return problem.empty() ? ProfileProblem(aDocument.profile()) : problem;
    case proto::Document::kCustomer:
      problem = NameProblem(aDocument.customer().name());
      if (problem.empty() && aDocument.customer().share_permille() > kWholePermille) {
        problem = "share: must be 0 to 1";
      }
      return problem;
    case proto::Document::kService:
      problem = NameProblem(aDocument.service().name());
      return problem.empty() ? ServiceProblem(aDocument.service()) : problem;
    case proto::Document::KIND_NOT_SET:
      break;
  }
  return "document: is none of profile, customer, service";
}

std::uint32_t
SharePermille(const proto::Document& aDocument)
{
  if (aDocument.has_profile()) {
    return aDocument.profile().share_permille();
  }
  if (aDocument.has_customer()) {
    return aDocument.customer().share_permille();
  }
  return 0;
}

} // namespace pepperbay
