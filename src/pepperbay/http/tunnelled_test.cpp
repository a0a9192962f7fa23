#include "pepperbay/http/tunnelled.hpp"

#include "pepperbay/reach/tunnel_wire.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

struct Failure
{
  TunnelAnswer mAnswer;
  bool mSight;
  Errc mCode; ///< how the call itself ended
  Errc mSays;
};

class TunnelledFailure : public testing::TestWithParam<Failure>
{};

/// Guards against engines that are called lost by the word of a peer that loses packets itself, or
/// is cut: what it has begun proves that the engine's host answers, and nothing more.
TEST_P(TunnelledFailure, OnlyAPeerWithSightThatFindsNobodyHasAWord)
{
  HttpOutcome outcome;
  outcome.mProxyStatus = StatusOf(GetParam().mAnswer);
  if (GetParam().mSight) {
    outcome.mProxyHeaders.push_back({ kTunnelSight, "yes" });
  }
  outcome.mError.mCode = GetParam().mCode;
  EXPECT_EQ(ErrorOfTunnelled(outcome).mCode, GetParam().mSays);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  TunnelledFailure,
  testing::Values(Failure{ TunnelAnswer::kRefused, true, Errc::kUnavailable, Errc::kRefused },
                  Failure{ TunnelAnswer::kRefused, false, Errc::kUnavailable, Errc::kCancelled },
                  Failure{ TunnelAnswer::kSilent, true, Errc::kCancelled, Errc::kTimeout },
                  Failure{ TunnelAnswer::kSilent, false, Errc::kTimeout, Errc::kCancelled },
                  Failure{ TunnelAnswer::kOpen, false, Errc::kTimeout, Errc::kCancelled },
                  Failure{ TunnelAnswer::kNotNow, true, Errc::kUnavailable, Errc::kCancelled },
                  Failure{ TunnelAnswer::kUnknown, true, Errc::kUnavailable, Errc::kCancelled },
                  Failure{ TunnelAnswer::kNone, false, Errc::kTimeout, Errc::kCancelled }));

} // namespace
} // namespace pepperbay
