#include "registration_parts.hpp"

#include "pepperbay/base/hash.hpp"

namespace pepperbay {

std::uint64_t
HashOf(const RawRegistrations& aRegistrations)
{
  std::string all;
  for (const auto& [engine, value] : aRegistrations) {
    all += engine + "\n" + std::to_string(value.size()) + "\n" + value;
  }
  return Hash64(all) | 1U; // 0 says that there are none
}

std::vector<proto::StateReply>
CutIntoParts(const RawRegistrations& aRegistrations, std::size_t aMostBytes)
{
  std::vector<proto::StateReply> parts(1);
  std::size_t bytes = 0;
  for (const auto& [engine, value] : aRegistrations) {
    const std::size_t more = engine.size() + value.size();
    if (bytes > 0 && bytes + more > aMostBytes) {
      parts.emplace_back();
      bytes = 0;
    }
    auto* registration = parts.back().add_registrations();
    registration->set_engine(engine);
    registration->set_value(value);
    bytes += more;
  }
  const std::uint64_t hash = HashOf(aRegistrations);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].set_registrations_hash(hash);
    parts[i].set_part(static_cast<std::uint32_t>(i));
    parts[i].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
  return parts;
}

std::optional<RawRegistrations>
PartCollector::Add(const proto::StateReply& aReply)
{
  if (aReply.part() >= aReply.parts()) {
    return std::nullopt; // it has no registrations
  }
  if (aReply.registrations_hash() != mHash || aReply.parts() != mParts) {
    mHash = aReply.registrations_hash();
    mParts = aReply.parts();
    mGot.clear();
  }
  RawRegistrations& part = mGot[aReply.part()];
  for (const auto& it : aReply.registrations()) {
    part[it.engine()] = it.value();
  }
  if (mGot.size() < mParts) {
    return std::nullopt;
  }
  RawRegistrations all;
  for (const auto& [number, registrations] : mGot) {
    all.insert(registrations.begin(), registrations.end());
  }
  mGot.clear();
  return all;
}

} // namespace pepperbay
