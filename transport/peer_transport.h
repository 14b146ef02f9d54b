/// \file
/// Port for messages between nodes. Messages can be lost, delayed and repeated; nothing may depend on delivery.
#pragma once

#include "core/names.h"

#include <functional>

namespace oriolepick {

struct transport_counters;

namespace wire {
    class envelope;
}

/// Sends and receives envelopes. Implementations are thread-safe.
class peer_transport {
public:
    using handler = std::function<void(const wire::envelope&)>;

    virtual ~peer_transport() = default;

    /// Starts reception; the handler runs on the transport's own thread.
    virtual void start(handler onMessage) = 0;

    /// Ends reception; no handler runs after it returns.
    virtual void stop() = 0;

    /// Queues a message for a peer; drops it when the peer's queue is full.
    virtual void send(const node_id& peer, const wire::envelope& message) = 0;

    virtual const transport_counters& counters() const = 0;
};

} // namespace oriolepick
