#include "pepperbay/tunnel/listener.hpp"

#include "fakes/no_descriptors.hpp"
#include "fakes/raw_engine.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// Guards against a node out of descriptors whose thread does nothing but fail to take connections
/// up, and answers nobody whom it has taken up before.
TEST(ListenerTest, WithoutDescriptorsItFailsOnceATick)
{
  boost::asio::io_context context{ 1 };
  const auto work = boost::asio::make_work_guard(context);
  int failures = 0;
  int connections = 0;
  Listener listener(context,
                    { [&](Socket) { ++connections; }, [&](const std::string&) { ++failures; } });
  const std::string address = FreeAddress();
  const auto listening = listener.Open("test.listen", address, 8);
  ASSERT_TRUE(listening.has_value()) << ToString(listening.error());
  listener.Start();
  context.poll();
  const int socket = ConnectTo(address);
  ASSERT_GE(socket, 0);
  constexpr int kTurns = 50;
  {
    const NoDescriptors none;
    for (int i = 0; i < kTurns; ++i) {
      context.poll_one();
    }
    EXPECT_EQ(failures, 1);
    listener.Tick();
    for (int i = 0; i < kTurns; ++i) {
      context.poll_one();
    }
    EXPECT_EQ(failures, 2);
  }
  listener.Tick();
  context.poll();
  EXPECT_EQ(connections, 1);
  ::close(socket);
}

TEST(ListenerTest, AnAddressThatIsTakenOrNoneIsNamed)
{
  boost::asio::io_context context{ 1 };
  const RawEngine taken([](RawConnection&) {});
  for (const std::string& it : { taken.Address(), std::string("127.0.0.1"), std::string("x:80") }) {
    Listener listener(context, { [](Socket) {}, [](const std::string&) {} });
    const auto listening = listener.Open("test.listen", it, 8);
    ASSERT_FALSE(listening.has_value()) << it;
    EXPECT_NE(ToString(listening.error()).find(it), std::string::npos)
      << ToString(listening.error());
  }
}

} // namespace
} // namespace pepperbay
