#include "transport/zmq_peer_transport.h"

#include "wire/messages.pb.h"

#include <zmq.hpp>

#include <array>

namespace oriolepick {

namespace {

    constexpr std::int64_t MaximumMessageBytes = 16 << 20; // a ticket snapshot is the largest message
    constexpr int QueuedMessagesPerPeer = 256;
    constexpr std::size_t MaximumPeers = 2048;
    constexpr std::chrono::milliseconds ReceivePeriod { 100 };

} // namespace

zmq_peer_transport::zmq_peer_transport(const std::string& listen)
    : m_context(std::make_unique<zmq::context_t>(1))
    , m_receiver(std::make_unique<zmq::socket_t>(*m_context, zmq::socket_type::pull))
{
    m_context->set(zmq::ctxopt::max_sockets, static_cast<int>(MaximumPeers) + 16);
    m_receiver->set(zmq::sockopt::linger, 0);
    m_receiver->set(zmq::sockopt::maxmsgsize, MaximumMessageBytes);
    m_receiver->bind("tcp://" + listen);
    m_address = m_receiver->get(zmq::sockopt::last_endpoint).substr(std::string_view("tcp://").size());
}

zmq_peer_transport::~zmq_peer_transport()
{
    stop();
}

void zmq_peer_transport::start(handler onMessage)
{
    m_thread = std::thread([this, onMessage = std::move(onMessage)] { receiveLoop(onMessage); });
}

void zmq_peer_transport::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void zmq_peer_transport::send(const node_id& peer, const wire::envelope& message)
{
    const auto bytes = message.SerializeAsString();
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_senders.find(peer);
    if (found == m_senders.end()) {
        if (m_senders.size() >= MaximumPeers)
            m_senders.erase(m_senders.begin());
        zmq::socket_t socket(*m_context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, QueuedMessagesPerPeer);
        socket.set(zmq::sockopt::reconnect_ivl_max, 2000);
        try {
            socket.connect("tcp://" + peer.value());
        } catch (const zmq::error_t&) {
            ++m_counters.droppedMessages;
            return;
        }
        found = m_senders.emplace(peer, std::move(socket)).first;
    }
    if (!found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        ++m_counters.droppedMessages;
        return;
    }
    ++m_counters.sentMessages;
    m_counters.sentBytes += bytes.size();
}

void zmq_peer_transport::receiveLoop(const handler& onMessage)
{
    while (!m_stopping) {
        std::array<zmq::pollitem_t, 1> items { { { m_receiver->handle(), 0, ZMQ_POLLIN, 0 } } };
        zmq::poll(items, ReceivePeriod);
        zmq::message_t frame;
        while (!m_stopping && m_receiver->recv(frame, zmq::recv_flags::dontwait)) {
            m_counters.receivedBytes += frame.size();
            wire::envelope message;
            if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size())) || message.sender().empty()
                || message.body_case() == wire::envelope::BODY_NOT_SET) {
                ++m_counters.malformedMessages;
                continue;
            }
            ++m_counters.receivedMessages;
            onMessage(message);
        }
    }
}

} // namespace oriolepick
