// Guards against engines that are recorded as crashed because a connection to them was not made in time: only a
// refusal shows that the process has ended.
#include "core/test/ample_memory.h"
#include "node/test/tcp_handle.h"
#include "standins/test/recording_sink.h"

#include <gtest/gtest.h>

#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr auto Timeout = 100ms;
constexpr int Connects = 8; // more than the backlog of the listener holds

stream_break attachTo(const std::string& address)
{
    recording_sink sink;
    call_abort abort;
    http_engine_client(ampleMemory())
        .attach(address, testRequest("x").id, 0, 1, { Timeout, std::chrono::seconds(20) }, sink, abort);
    return sink.reason().value_or(stream_break::Aborted);
}

error_kind stateErrorOf(const std::string& address)
{
    const auto state = http_engine_client(ampleMemory()).readState(address, Timeout);
    return state ? error_kind::Internal : state.error().kind;
}

} // namespace

TEST(unanswered_connects, an_engine_that_takes_no_connections_for_a_moment_is_not_taken_for_ended)
{
    const auto listener = tcp_handle::listening(0);
    std::vector<tcp_handle> waiting;
    for (int index = 0; index < Connects; ++index)
        waiting.push_back(tcp_handle::connecting(listener.localPort()));
    const auto address = "127.0.0.1:" + std::to_string(listener.localPort());
    EXPECT_EQ(stateErrorOf(address), error_kind::TargetFailed);
    EXPECT_EQ(toString(attachTo(address)), toString(stream_break::NotSent));
}

TEST(unanswered_connects, an_engine_whose_port_is_closed_is_taken_for_ended)
{
    std::uint16_t port = 0;
    {
        const auto closed = tcp_handle::listening();
        port = closed.localPort();
    }
    const auto address = "127.0.0.1:" + std::to_string(port);
    EXPECT_EQ(stateErrorOf(address), error_kind::NoTarget);
    EXPECT_EQ(toString(attachTo(address)), toString(stream_break::ConnectRefused));
}
