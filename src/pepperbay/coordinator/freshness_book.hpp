/// @file
/// @brief How fresh the configuration is by the word of other nodes. Pure.
///
/// A node that the store turns away cannot know whether a key has been taken away since its last
/// read, and has to refuse all requests with keys a few seconds later. Its peers often reach the
/// store: one would notice a node that refuses what its neighbours serve. A peer's word may have
/// been long on its way and clocks differ, so an answer names the question that it answers: the
/// peer's view is at least as new as the moment at which the question left, less the age that the
/// peer states.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

class FreshnessBook
{
public:
  FreshnessBook(std::string aSelf, std::uint64_t aIncarnation);

  /// A peer's heartbeat came; `aVersion` is the configuration in force here.
  void OnBeat(const proto::PeerMessage& aMessage, std::uint64_t aVersion, TimePoint aNow);

  /// Add to a heartbeat how old the configuration here is, and the question when this node asks.
  /// @param aAsOf when the configuration here was the newest for certain
  void Fill(proto::Beat* aBeat, bool aAsk, TimePoint aAsOf, TimePoint aNow);
  /// @return whether a node has asked lately
  bool HasAsked(const std::string& aNode) const { return mQuestions.count(aNode) != 0; }
  /// Add the answer to what a node has asked.
  void Answer(const std::string& aNode, proto::Beat* aBeat, TimePoint aNow) const;

  /// @return when the configuration here was the newest by the word of peers.
  TimePoint AsOf() const { return mAsOf; }

private:
  struct Question
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mAskedAtNs = 0;
    TimePoint mReceived{};
  };

  std::string mSelf;
  std::uint64_t mIncarnation;
  std::map<std::string, Question> mQuestions; ///< by node
  TimePoint mAsOf{};
};

} // namespace pepperbay
