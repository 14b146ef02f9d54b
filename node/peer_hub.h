/// \file
/// Messages to and from other nodes: stamps outgoing envelopes and hands incoming ones to the control parts on the
/// control loop.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/store_version.h"
#include "transport/peer_transport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace oriolepick {

class control_loop;
class node_metrics;
class state_keeper;

class peer_hub {
public:
    /// Handles one kind of message on the control loop.
    /// \return false when the message is malformed
    using handler = std::function<bool(const node_id& sender, const wire::envelope& message, instant now)>;

    peer_hub(node_id self, std::uint64_t incarnation, peer_transport& transport, control_loop& loop,
        const state_keeper& states, node_metrics& metrics);

    /// Registers the handler of one body case; called before start().
    /// \param bodyCase value of wire::envelope::BodyCase
    void handle(int bodyCase, handler onMessage);

    /// Registers a function that sees the ticket position which every message carries.
    void watchPositions(std::function<void(const node_id& sender, const store_version& position, instant now)> watcher);

    void start();

    /// Sends a message; sender, incarnation and ticket position are filled in here.
    void send(const node_id& peer, wire::envelope&& message);

    const node_id& self() const { return m_self; }
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    void publishCounters();
    void dispatch(const wire::envelope& message, instant now);

    node_id m_self;
    std::uint64_t m_incarnation;
    peer_transport& m_transport;
    control_loop& m_loop;
    const state_keeper& m_states;
    node_metrics& m_metrics;
    std::map<std::string, std::uint64_t> m_published; ///< counts that the metrics include, by direction
    std::map<int, handler> m_handlers;
    std::function<void(const node_id&, const store_version&, instant)> m_positionWatcher;
};

} // namespace oriolepick
