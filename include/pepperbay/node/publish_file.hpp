/// @file
/// @brief What operators publish, from YAML.
#pragma once

#include "pepperbay/control/controller.hpp"
#include "pepperbay/settings/yaml_reader.hpp"

#include <string>
#include <vector>

namespace pepperbay {

struct PublishFile
{
  std::vector<PublishItem> mItems;
  std::vector<YamlProblem> mProblems;
};

/// Read a file of profiles, customers and services.
///
/// @code{.yaml}
/// profiles:
///   - { name: checklist, model: audit-70b, model_version: "1", hosts_per_replica: 4, share: 0.9 }
/// customers:
///   - { name: school, share: 0.2 }
/// services:
///   - { name: lots, endpoints: ["127.0.0.1:9000"] }
/// remove: [customers/old]
/// @endcode
///
/// `if_version` beside a name publishes only if that is the version now in force.
PublishFile
ParsePublishFile(const std::string& aName, const std::string& aText);

} // namespace pepperbay
