#include "pepperbay/placement/composition.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pepperbay {
namespace {

/// Numbers of replicas when replicas of one model become replicas of another.
struct Conversion
{
  std::size_t mGives = 1;
  std::size_t mGained = 1;
};

Conversion
ConversionOf(std::size_t aFromSize, std::size_t aToSize)
{
  if (aFromSize >= aToSize) {
    return { 1, aFromSize / aToSize };
  }
  return { (aToSize + aFromSize - 1) / aFromSize, 1 };
}

bool
IsWorthIt(const ModelUse& aFrom,
          const ModelUse& aTo,
          int aSlots,
          const CompositionOptions& aOptions)
{
  const Conversion conversion = ConversionOf(aFrom.mSize, aTo.mSize);
  if (aFrom.mReplicas < aOptions.mMinReplicas + conversion.mGives) {
    return false;
  }
  const double before = SlotUtilisation(aTo, aSlots);
  const bool wants =
    before >= aOptions.mShortageUtilisation ||
    (aOptions.mPolicy == CompositionPolicy::kEven && before >= aOptions.mSufficientUtilisation);
  const double after = SlotUtilisation(aFrom, aSlots, conversion.mGives);
  // Another replica may be lost at any moment; the remaining ones must have slots for its requests.
  const double afterLoss = SlotUtilisation(aFrom, aSlots, conversion.mGives + 1);
  return wants && after <= aOptions.mMaxDonorUtilisation && afterLoss <= 1.0 &&
         before - after >= aOptions.mMinGain;
}

} // namespace

double
SlotUtilisation(const ModelUse& aUse, int aSlots, std::size_t aFewer)
{
  if (aUse.mReplicas <= aFewer) {
    return std::numeric_limits<double>::infinity();
  }
  return aUse.mInUse / (static_cast<double>(aUse.mReplicas - aFewer) * std::max(1, aSlots));
}

SlotUsage::SlotUsage(Duration aMemory)
  : mAveragingTime(aMemory)
{
}

void
SlotUsage::Observe(const std::string& aModel, int aInUse, TimePoint aNow)
{
  const auto [it, isNew] = mAverages.try_emplace(aModel);
  Average& average = it->second;
  const double passed = std::chrono::duration<double>(aNow - average.mAt).count();
  const double memory = std::chrono::duration<double>(mAveragingTime).count();
  const double old = isNew ? 0.0 : std::exp(-passed / std::max(memory, 1e-9));
  average.mValue = old * average.mValue + (1.0 - old) * aInUse;
  average.mAt = aNow;
}

double
SlotUsage::InUse(const std::string& aModel) const
{
  const auto it = mAverages.find(aModel);
  return it == mAverages.end() ? 0.0 : it->second.mValue;
}

std::optional<CompositionNeed>
NextRebalance(const std::vector<ModelUse>& aUses, int aSlots, const CompositionOptions& aOptions)
{
  if (aOptions.mPolicy == CompositionPolicy::kShares) {
    return std::nullopt;
  }
  const ModelUse* to = nullptr;
  for (const auto& it : aUses) {
    const bool fuller = to == nullptr || SlotUtilisation(it, aSlots) > SlotUtilisation(*to, aSlots);
    if (it.mReplicas > 0 && fuller) {
      to = &it;
    }
  }
  const ModelUse* from = nullptr;
  for (const auto& it : aUses) {
    const bool emptier =
      from == nullptr || SlotUtilisation(it, aSlots) < SlotUtilisation(*from, aSlots);
    if (to != nullptr && &it != to && emptier && IsWorthIt(it, *to, aSlots, aOptions)) {
      from = &it;
    }
  }
  if (from == nullptr) {
    return std::nullopt;
  }
  return CompositionNeed{ from->mModel, to->mModel };
}

} // namespace pepperbay
