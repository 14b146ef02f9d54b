// Guards against nodes that count as silent while their datagrams wait in the socket.
#include "gateway/datagram_socket.h"

#include "core/test/loopback_ports.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

TEST(DatagramSocket, ADatagramThatIsNotHandledYetIsPending)
{
    boost::asio::io_context loop;
    const auto address = freeLoopbackAddress();
    int received = 0;
    datagram_socket receiver(loop, address, [&received](std::string_view) { ++received; });
    datagram_socket sender(loop, freeLoopbackAddress(), [](std::string_view) {});
    EXPECT_FALSE(receiver.hasPendingInput());
    ASSERT_TRUE(sender.send(address, "message"));
    EXPECT_TRUE(receiver.hasPendingInput());
    while (!received)
        loop.run_one();
    EXPECT_FALSE(receiver.hasPendingInput());
}

} // namespace
