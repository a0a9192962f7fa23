#include "pepperbay/node/publish_file.hpp"

#include "pepperbay/state/documents.hpp"

#include <cmath>
#include <limits>

namespace pepperbay {
namespace {

std::uint32_t
ReadShare(YamlReader& aReader)
{
  double share = 0;
  aReader.Read("share", &share, 0.0, 1.0);
  return static_cast<std::uint32_t>(std::lround(share * kWholePermille));
}

/// Common to all documents: check it, and the version it is made from.
void
Finish(YamlReader& aReader, proto::Document aDocument, std::vector<PublishItem>* aItems)
{
  PublishItem item;
  item.mHasVersion = aReader.Has("if_version");
  int version = 0;
  aReader.Read("if_version", &version, 0, std::numeric_limits<int>::max());
  item.mVersion = static_cast<std::uint64_t>(version);
  const std::string problem = ProblemOf(aDocument);
  if (!problem.empty()) {
    const auto colon = problem.find(':');
    aReader.Problem(problem.substr(0, colon), problem.substr(colon + 2));
  }
  item.mKey = KeyOf(aDocument);
  item.mDocument = std::move(aDocument);
  aItems->push_back(std::move(item));
}

void
ReadProfile(YamlReader& aReader, std::vector<PublishItem>* aItems)
{
  constexpr int kDefaultPriority = 5;
  proto::Document document;
  proto::Profile& profile = *document.mutable_profile();
  aReader.Read("name", profile.mutable_name());
  aReader.Read("model", profile.mutable_model());
  aReader.Read("model_version", profile.mutable_model_version());
  int hosts = 1;
  int priority = kDefaultPriority;
  aReader.Read("hosts_per_replica", &hosts, 1, static_cast<int>(kMaxHostsPerReplica));
  aReader.Read("priority", &priority, 0, static_cast<int>(kLowestPriority));
  profile.set_hosts_per_replica(static_cast<std::uint32_t>(hosts));
  profile.set_priority(static_cast<std::uint32_t>(priority));
  profile.set_share_permille(ReadShare(aReader));
  Finish(aReader, std::move(document), aItems);
}

void
ReadCustomer(YamlReader& aReader, std::vector<PublishItem>* aItems)
{
  proto::Document document;
  aReader.Read("name", document.mutable_customer()->mutable_name());
  document.mutable_customer()->set_share_permille(ReadShare(aReader));
  Finish(aReader, std::move(document), aItems);
}

void
ReadService(YamlReader& aReader, std::vector<PublishItem>* aItems)
{
  proto::Document document;
  aReader.Read("name", document.mutable_service()->mutable_name());
  std::vector<std::string> endpoints;
  aReader.Read("endpoints", &endpoints);
  for (const auto& it : endpoints) {
    if (!ParseEndpoint(it).has_value()) {
      aReader.Problem("endpoints", "'" + it + "' is not 'IP:port'");
    }
    document.mutable_service()->add_endpoints(it);
  }
  Finish(aReader, std::move(document), aItems);
}

} // namespace

PublishFile
ParsePublishFile(const std::string& aName, const std::string& aText)
{
  PublishFile file;
  std::vector<std::string> removed;
  ReadYaml(aName, aText, &file.mProblems, [&](YamlReader& aReader) {
    aReader.Each("profiles", [&](YamlReader& aIn) { ReadProfile(aIn, &file.mItems); });
    aReader.Each("customers", [&](YamlReader& aIn) { ReadCustomer(aIn, &file.mItems); });
    aReader.Each("services", [&](YamlReader& aIn) { ReadService(aIn, &file.mItems); });
    aReader.Read("remove", &removed);
  });
  for (auto& it : removed) {
    PublishItem item;
    item.mKey = std::move(it);
    item.mRemove = true;
    file.mItems.push_back(std::move(item));
  }
  if (file.mItems.empty() && file.mProblems.empty()) {
    file.mProblems.push_back({ aName, 0, "", "names no profile, customer or service" });
  }
  return file;
}

} // namespace pepperbay
