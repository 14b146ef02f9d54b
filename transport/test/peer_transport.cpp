// Guards the nodes' port: messages arrive, and garbage from a stranger is counted without ending reception.
#include "transport/zmq_peer_transport.h"
#include "wire/messages.pb.h"

#include <gtest/gtest.h>
#include <zmq.hpp>

#include <condition_variable>

using namespace oriolepick;

namespace {

/// Collects received announcements and waits for a count of them.
class announcement_log {
public:
    void add(const wire::envelope& message)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_numbers.push_back(message.ticket_announce().number());
        m_changed.notify_all();
    }
    std::vector<std::uint64_t> waitFor(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::seconds(30), [&] { return m_numbers.size() >= count; });
        return m_numbers;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::uint64_t> m_numbers;
};

} // namespace

TEST(peer_transport, messages_arrive_after_garbage)
{
    zmq_peer_transport receiver("127.0.0.1:0");
    zmq_peer_transport sender("127.0.0.1:0");
    const auto first = receiver.address();
    const auto second = sender.address();
    announcement_log log;
    receiver.start([&](const wire::envelope& message) { log.add(message); });

    zmq::context_t context;
    zmq::socket_t stranger(context, zmq::socket_type::push);
    stranger.connect("tcp://" + first);
    stranger.send(zmq::str_buffer("not an envelope \xff\xff"), zmq::send_flags::none);

    wire::envelope message;
    message.set_sender(second);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        message.mutable_ticket_announce()->set_number(number);
        sender.send(node_id(first), message);
    }
    EXPECT_EQ(log.waitFor(3), (std::vector<std::uint64_t> { 1, 2, 3 }));
    for (int tries = 0; tries < 300 && !receiver.counters().malformedMessages; ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(receiver.counters().malformedMessages, 1u);
    stranger.set(zmq::sockopt::linger, 0);
}
