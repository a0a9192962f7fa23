#include "pepperbay/admission/fairness_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace pepperbay {
namespace {

/// Maximum number of customers tracked; a deployment has some tens.
constexpr std::size_t kMaxCustomers = 1024;
/// A decayed count below this is dropped.
constexpr double kMinCount = 0.01;

} // namespace

FairnessTracker::FairnessTracker(FairnessOptions aOptions)
  : mOptions(aOptions)
{
}

double
FairnessTracker::TakenBy(std::uint32_t aCustomer, TimePoint aNow) const
{
  const auto it = mTaken.find(aCustomer);
  if (it == mTaken.end()) {
    return 0;
  }
  const double passed = std::chrono::duration<double>(aNow - it->second.mAt).count();
  const double memory = std::chrono::duration<double>(mOptions.mMemory).count();
  return it->second.mCount * std::exp(-passed / memory);
}

void
FairnessTracker::DropOld(TimePoint aNow)
{
  for (auto it = mRefused.begin(); it != mRefused.end();) {
    it = aNow - it->second >= mOptions.mRefusalMemory ? mRefused.erase(it) : std::next(it);
  }
  for (auto it = mTaken.begin(); it != mTaken.end();) {
    it = TakenBy(it->first, aNow) < kMinCount ? mTaken.erase(it) : std::next(it);
  }
}

void
FairnessTracker::OnRefused(const Claimant& aClaimant, TimePoint aNow)
{
  DropOld(aNow);
  if (mRefused.size() < kMaxCustomers) {
    mRefused[{ aClaimant.mUrgency, aClaimant.mCustomer }] = aNow;
  }
}

void
FairnessTracker::OnTaken(const Claimant& aClaimant, TimePoint aNow)
{
  DropOld(aNow);
  const double before = TakenBy(aClaimant.mCustomer, aNow);
  if (mTaken.size() < kMaxCustomers) {
    mTaken[aClaimant.mCustomer] = { before + 1, aNow };
  }
}

bool
FairnessTracker::IsOutranked(const Claimant& aClaimant, TimePoint aNow) const
{
  const double own = TakenBy(aClaimant.mCustomer, aNow);
  return std::any_of(mRefused.begin(), mRefused.end(), [&](const auto& aRefused) {
    const auto& [urgency, customer] = aRefused.first;
    if (aNow - aRefused.second >= mOptions.mRefusalMemory || urgency > aClaimant.mUrgency) {
      return false;
    }
    // A difference below 1 is ignored; otherwise two customers would keep outranking each other.
    return urgency < aClaimant.mUrgency || TakenBy(customer, aNow) + 1 <= own;
  });
}

bool
FairnessTracker::IsEmpty(TimePoint aNow) const
{
  return std::all_of(
           mRefused.begin(),
           mRefused.end(),
           [&](const auto& aIt) { return aNow - aIt.second >= mOptions.mRefusalMemory; }) &&
         std::all_of(mTaken.begin(), mTaken.end(), [&](const auto& aIt) {
           return TakenBy(aIt.first, aNow) < kMinCount;
         });
}

} // namespace pepperbay
