/// @file
/// @brief Heads of replicas that have lately refused requests, and when to ask them again. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct RefusalOptions
{
  /// A head that has refused is not chosen for so long; twice as long each time that it refuses
  /// again, up to the most. Its members answer questions in some ten milliseconds.
  Duration mFirstPause = std::chrono::milliseconds(100);
  Duration mMostPause = std::chrono::milliseconds(800);
  /// A head that another node says refuses is not chosen for so long; it says so with each question
  /// for a place.
  Duration mToldPause = std::chrono::milliseconds(100);
  /// Nothing is known of a head any more so long after its last pause.
  Duration mForgetAfter = std::chrono::seconds(5);
};

/// When a member of a replica stops listening, its head takes nothing new and works on for what it
/// has. It then has the least in progress of all and would be the best choice for everybody, until
/// the holder of the lease finds out what is wrong. So a refusal counts at once.
///
/// @code
/// if (book.OnRefused(head, sentAt, now)) { ... have its members asked }
/// if (book.Refuses(ShortId(head), now)) { ... choose another }
/// @endcode
class RefusalBook
{
public:
  RefusalBook() = default;
  explicit RefusalBook(RefusalOptions aOptions);

  /// A head refused a request that was sent at a time.
  /// @return whether that is news: requests sent before the head was known to refuse say nothing
  bool OnRefused(const std::string& aHead, TimePoint aSentAt, TimePoint aNow);
  /// A head took a request that was sent at a time.
  void OnTaken(const std::string& aHead, TimePoint aSentAt);
  /// Another node says that a head refuses.
  void OnTold(std::uint32_t aHead, TimePoint aNow);
  /// The head has started again.
  void Forget(const std::string& aHead);

  /// @param aHead by ShortId()
  bool Refuses(std::uint32_t aHead, TimePoint aNow) const;
  /// @return by ShortId(), the heads that refuse by this node's own requests.
  std::vector<std::uint32_t> Refusing(TimePoint aNow) const;

private:
  /// Forget what is long past: heads end, and what they refused once says nothing for ever.
  void DropOld(TimePoint aNow);

  struct Refusal
  {
    Duration mPause{ 0 }; ///< zero: only told
    TimePoint mUntil{};   ///< by own requests
    TimePoint mToldUntil{};
  };

  RefusalOptions mOptions;
  std::unordered_map<std::uint32_t, Refusal> mRefusals; ///< by ShortId()
};

} // namespace pepperbay
