#include "node/peer_hub.h"

#include "core/fleet_state.h"
#include "node/control_loop.h"
#include "node/node_metrics.h"
#include "node/process_usage.h"
#include "node/state_keeper.h"
#include "transport/transport_counters.h"
#include "wire/messages.pb.h"

namespace oriolepick {

namespace {

    constexpr std::size_t MaximumSenderBytes = 64;
    constexpr std::chrono::milliseconds PublishPeriod { 1000 };

} // namespace

peer_hub::peer_hub(node_id self, std::uint64_t incarnation, peer_transport& transport, control_loop& loop,
    const state_keeper& states, node_metrics& metrics)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_transport(transport)
    , m_loop(loop)
    , m_states(states)
    , m_metrics(metrics)
{
    loop.every(PublishPeriod, [this](instant) { publishCounters(); });
}

void peer_hub::publishCounters()
{
    const auto& counters = m_transport.counters();
    const auto publish = [this](counter_metric metric, const char* direction, std::uint64_t total) {
        auto& published = m_published[std::to_string(static_cast<int>(metric)) + direction];
        if (total != published)
            m_metrics.add(metric, { { "direction", direction } }, static_cast<double>(total - published));
        published = total;
    };
    m_metrics.set(gauge_metric::ControlCpu, {}, threadCpu().count());
    publish(counter_metric::PeerMessages, "sent", counters.sentMessages);
    publish(counter_metric::PeerMessages, "received", counters.receivedMessages);
    publish(counter_metric::PeerMessages, "malformed", counters.malformedMessages);
    publish(counter_metric::PeerMessages, "dropped", counters.droppedMessages);
    publish(counter_metric::PeerBytes, "sent", counters.sentBytes);
    publish(counter_metric::PeerBytes, "received", counters.receivedBytes);
}

void peer_hub::handle(int bodyCase, handler onMessage)
{
    m_handlers[bodyCase] = std::move(onMessage);
}

void peer_hub::watchPositions(std::function<void(const node_id&, const store_version&, instant)> watcher)
{
    m_positionWatcher = std::move(watcher);
}

void peer_hub::start()
{
    m_transport.start([this](const wire::envelope& message) {
        m_loop.post([this, message](instant now) { dispatch(message, now); });
    });
}

void peer_hub::send(const node_id& peer, wire::envelope&& message)
{
    message.set_sender(m_self.value());
    message.set_incarnation(m_incarnation);
    const auto position = m_states.position();
    message.set_ticket_number(position.number());
    message.set_ticket_epoch(position.epoch());
    m_transport.send(peer, message);
}

void peer_hub::dispatch(const wire::envelope& message, instant now)
{
    if (message.sender().size() > MaximumSenderBytes || message.sender() == m_self.value())
        return;
    const node_id sender(message.sender());
    const auto found = m_handlers.find(message.body_case());
    if (found == m_handlers.end() || !found->second(sender, message, now)) {
        m_metrics.add(counter_metric::BadInput, { { "entrance", "peers" } });
        return;
    }
    if (m_positionWatcher)
        m_positionWatcher(sender, store_version(message.ticket_epoch(), message.ticket_number()), now);
}

} // namespace oriolepick
