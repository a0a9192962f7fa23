/// @file
/// @brief Decides how many replicas of each model a pool should have, from the request slots in
/// use. Pure: no I/O and no clock of its own.
///
/// Operators configure shares from the workload of a whole day, but the mix of models changes
/// within seconds. A pool that always keeps its shares has idle replicas of one model while
/// requests for another wait.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

/// Decides when a replica of one model is given up for replicas of another.
enum class CompositionPolicy
{
  kShares,   ///< never: the configured shares apply
  kPressure, ///< when a model has hardly any free slots left
  kEven,     ///< as kPressure, and earlier if another model's slots are used far less
};

struct CompositionOptions
{
  CompositionPolicy mPolicy = CompositionPolicy::kPressure;
  /// Time constant of the average of slots in use. Shorter than a burst, longer than random
  /// variation of arrivals over a fraction of a second.
  Duration mAveragingTime = std::chrono::milliseconds(300);
  /// A model is short of slots if at least this fraction of them is in use.
  double mShortageUtilisation = 0.8;
  /// A model with a smaller fraction of its slots in use gains nothing from more slots.
  double mSufficientUtilisation = 0.5;
  /// Maximum fraction of the donor's remaining slots in use after it has given replicas up.
  /// Replicas with long prompts are busy with little more than half of their slots in use.
  double mMaxDonorUtilisation = 0.55;
  /// Minimum difference between the utilisation of the receiving model and that of the donor after
  /// it has given replicas up. With a smaller difference the next wave of requests would move the
  /// same engines back.
  double mMinGain = 0.15;
  /// Minimum number of replicas of each model, so that the loss of one replica does not leave the
  /// model without any.
  std::size_t mMinReplicas = 2;
  /// Maximum fraction of the pool's engines that may be moving between models at once.
  double mMaxMovingShare = 0.25;
};

/// One model's replicas and the use of their slots.
struct ModelUse
{
  std::string mModel;
  std::size_t mSize = 1;     ///< engines in one replica
  std::size_t mReplicas = 0; ///< serving or forming
  double mInUse = 0;         ///< requests in progress or waiting, averaged over time
};

/// @return the fraction of a model's slots that would be in use with aFewer replicas fewer; above 1
/// while requests wait, infinite if no replica would be left.
double
SlotUtilisation(const ModelUse& aUse, int aSlots, std::size_t aFewer = 0);

/// The average number of slots in use, by model.
class SlotUsage
{
public:
  explicit SlotUsage(Duration aMemory);
  void Observe(const std::string& aModel, int aInUse, TimePoint aNow);
  double InUse(const std::string& aModel) const;

private:
  struct Average
  {
    double mValue = 0;
    TimePoint mAt{};
  };
  Duration mAveragingTime;
  std::map<std::string, Average> mAverages;
};

/// Replicas of mFrom should be given up for replicas of mTo.
struct CompositionNeed
{
  std::string mFrom;
  std::string mTo;
};

/// @param aUses use of all models of a pool; replicas that are still forming are counted
/// @return the two models between which moving a replica helps most; nullopt if no move helps
///
/// @code
/// if (const auto need = NextRebalance(uses, pool.mSlots, options)) {
///   // give up a replica of need->mFrom for replicas of need->mTo
/// }
/// @endcode
std::optional<CompositionNeed>
NextRebalance(const std::vector<ModelUse>& aUses, int aSlots, const CompositionOptions& aOptions);

} // namespace pepperbay
