/// @file
/// @brief How many replicas of each model a pool should have, from the places that requests use.
/// Pure.
///
/// Shares that operators set describe the work of one day. The mix turns within seconds, and a pool
/// that keeps its shares has idle replicas of one model beside callers who wait for the other.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

/// What decides when a replica of one model is given up for replicas of another.
enum class CompositionPolicy
{
  kShares,   ///< never: the shares of the configuration stand
  kPressure, ///< when a model has hardly any place left
  kEven,     ///< and before that, when another model's places are used far less
};

struct CompositionOptions
{
  CompositionPolicy mPolicy = CompositionPolicy::kPressure;
  /// Use of places is averaged over about this long. Shorter than a burst, longer than the chance
  /// arrivals of a fraction of a second.
  Duration mMemory = std::chrono::milliseconds(300);
  /// A model with more than this part of its places in use is short of them.
  double mShort = 0.8;
  /// With less than this in use a model gains nothing by more places.
  double mEnough = 0.5;
  /// At most this part of the places that are left to the giver is in use. Replicas of long prompts
  /// are busy with little more than half of their places in use.
  double mMostAfterGiving = 0.55;
  /// The part in use of the model that gains exceeds that of the giver, after it has given, by this
  /// at least. Less, and the next wave of requests would turn the same engines back.
  double mLeastGain = 0.15;
  /// Replicas that each model keeps: the loss of one must not leave its callers without any.
  std::size_t mLeastReplicas = 2;
  /// Engines that may be between two models at once, as a share of the pool's.
  double mMostMoving = 0.25;
};

/// One model's replicas and the use of their places.
struct ModelUse
{
  std::string mModel;
  std::size_t mSize = 1;     ///< engines of one replica
  std::size_t mReplicas = 0; ///< that serve, or are forming for it
  double mInUse = 0;         ///< requests in progress or waiting, averaged
};

/// @return the part of a model's places in use if it had some replicas fewer; beyond 1 while
/// requests wait, and infinite where none would be left.
double
PartInUse(const ModelUse& aUse, int aSlots, std::size_t aFewer = 0);

/// The average use of places by model.
class PlaceUse
{
public:
  explicit PlaceUse(Duration aMemory);
  void Observe(const std::string& aModel, int aInUse, TimePoint aNow);
  double InUse(const std::string& aModel) const;

private:
  struct Average
  {
    double mValue = 0;
    TimePoint mAt{};
  };
  Duration mMemory;
  std::map<std::string, Average> mAverages;
};

/// Which model should have replicas of which other.
struct CompositionNeed
{
  std::string mFrom;
  std::string mTo;
};

/// @param aUses of all models of a pool, with replicas that are on their way counted
/// @return the two models between which a replica moved helps most; nothing where none does
///
/// @code
/// if (const auto need = NextTrade(uses, pool.mSlots, options)) { give a replica of need->mFrom up
/// }
/// @endcode
std::optional<CompositionNeed>
NextTrade(const std::vector<ModelUse>& aUses, int aSlots, const CompositionOptions& aOptions);

} // namespace pepperbay
