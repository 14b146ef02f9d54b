/// \file
/// ZeroMQ implementation of the port between nodes: one PULL socket that receives, one PUSH socket per peer.
#pragma once

#include "transport/peer_transport.h"
#include "transport/transport_counters.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace zmq {
class context_t;
class socket_t;
}

namespace oriolepick {

class zmq_peer_transport final : public peer_transport {
public:
    /// Binds at once.
    /// \param listen "ip:port"; port 0 lets the system choose
    /// \throws zmq::error_t when the address cannot be bound
    explicit zmq_peer_transport(const std::string& listen);
    ~zmq_peer_transport() override;

    void start(handler onMessage) override;
    void stop() override;
    void send(const node_id& peer, const wire::envelope& message) override;

    /// \return the bound "ip:port"
    const std::string& address() const { return m_address; }

    const transport_counters& counters() const override { return m_counters; }

private:
    void receiveLoop(const handler& onMessage);

    std::unique_ptr<zmq::context_t> m_context;
    std::unique_ptr<zmq::socket_t> m_receiver;
    std::string m_address;
    std::mutex m_mutex; ///< guards m_senders and their sockets
    std::map<node_id, zmq::socket_t> m_senders;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
    transport_counters m_counters;
};

} // namespace oriolepick
