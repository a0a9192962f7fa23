/// Requests at an engine that does not read, which another engine answers or whose caller leaves.
#include "relay_moves_fixture.hpp"

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

class RelayWithdrawnRequests : public RelayMoves
{
protected:
  /// Safe requests without an answer are sent to a second engine after 100 ms.
  void Serve(const std::vector<RawEngine*>& aEngines)
  {
    RelayOptions options;
    options.mNow = mClock.Hook();
    options.mTick = milliseconds(1);
    options.mHedgeAfter = 0.005; // of 20 s
    RelayTest::Serve(aEngines, options);
  }

  static void Serves(RawConnection& aConnection)
  {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Write(std::string(kHead) + "Content-Length: 2\r\n\r\nok");
    }
  }

  void AwaitAttempts(std::uint64_t aCount)
  {
    while (Counters().mAttempts < aCount) {
      std::this_thread::yield();
    }
  }
};

/// Guards against an engine that runs a request long after another has answered it: an orderly end
/// of the connection lets it.
TEST_F(RelayWithdrawnRequests, ARequestThatAnotherEngineHasAnsweredIsReset)
{
  std::atomic<int> connections{ 0 };
  std::promise<bool> reset;
  const auto script = [&](RawConnection& aConnection) {
    if (connections++ == 0) {
      reset.set_value(aConnection.AwaitReset());
    } else {
      Serves(aConnection);
    }
  };
  RawEngine one(script);
  RawEngine two(script);
  Serve({ &one, &two });
  auto answer = std::async(std::launch::async, [this] { return Ask(Get("/safe/")); });
  AwaitAttempts(1);
  AdvanceInSteps(milliseconds(200));
  EXPECT_EQ(StatusOf(TextOf(std::move(answer))), 200);
  EXPECT_TRUE(reset.get_future().get());
  EXPECT_EQ(Counters().mOvertaken, 1U);
}

/// Guards against an engine that runs a request whose caller has left.
TEST_F(RelayWithdrawnRequests, ARequestWhoseCallerHasLeftIsReset)
{
  std::promise<bool> reset;
  RawEngine engine([&](RawConnection& aConnection) { reset.set_value(aConnection.AwaitReset()); });
  Serve({ &engine });
  const int caller = Connect();
  RawConnection(caller).Write(Get("/once/", "Key: k1\r\n"));
  while (engine.Connections() == 0) {
    std::this_thread::yield();
  }
  AwaitAttempts(1);
  ::close(caller);
  EXPECT_TRUE(reset.get_future().get());
}

/// Guards against second sendings that pile up at an engine that does not read either, and against
/// requests that are not sent there once it does.
TEST_F(RelayWithdrawnRequests, SecondSendingsWaitForASignOfLifeOfTheSecondEngine)
{
  constexpr int kRequests = 8;
  std::promise<void> continues;
  const std::shared_future<void> continued = continues.get_future().share();
  RawEngine paused([](RawConnection& aConnection) { aConnection.AwaitReset(); });
  RawEngine second([&](RawConnection& aConnection) {
    continued.wait();
    Serves(aConnection);
  });
  Serve({ &paused, &second });
  std::vector<std::future<std::string>> answers;
  for (int i = 0; i < kRequests; ++i) {
    answers.push_back(std::async(std::launch::async, [this] { return Ask(Get("/safe/")); }));
  }
  AwaitAttempts(kRequests);
  AdvanceInSteps(milliseconds(1000));
  const int perEngine = UnansweredOptions().mMaxRepeats;
  EXPECT_LE(Counters().mSecondAttempts, static_cast<std::uint64_t>(2 * perEngine));
  EXPECT_EQ(Counters().mSilentEngines, 2U);
  continues.set_value();
  while (Counters().mOpen > 0) {
    mClock.Advance(milliseconds(1));
  }
  for (auto& it : answers) {
    EXPECT_EQ(StatusOf(it.get()), 200);
  }
}

} // namespace
} // namespace pepperbay
