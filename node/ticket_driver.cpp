#include "node/ticket_driver.h"

#include "config/snapshot_json.h"
#include "core/fleet_state.h"
#include "core/grant_owner.h"
#include "core/ticket_compaction.h"
#include "node/control_loop.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/peer_hub.h"
#include "node/state_keeper.h"
#include "node/task_pool.h"
#include "ports/ticket_store.h"
#include "wire/messages.pb.h"
#include "wire/ticket_codec.h"

namespace oriolepick {

ticket_driver::ticket_driver(ticket_store& store, state_keeper& states, node_status& status, peer_hub& peers,
    control_loop& loop, task_pool& tasks, node_metrics& metrics, const ticket_distributor_settings& settings,
    std::uint64_t seed)
    : m_store(store)
    , m_states(states)
    , m_status(status)
    , m_peers(peers)
    , m_loop(loop)
    , m_tasks(tasks)
    , m_metrics(metrics)
    , m_distributor(settings, seeded_random(seed))
{
    peers.handle(
        wire::envelope::kTicketAnnounce, [this](const node_id& sender, const wire::envelope& message, instant now) {
            const auto& announced = message.ticket_announce();
            execute(
                m_distributor.peerPositionReceived(now, sender, store_version(announced.epoch(), announced.number())),
                now);
            return true;
        });
    peers.handle(
        wire::envelope::kTicketFetch, [this](const node_id& sender, const wire::envelope& message, instant now) {
            execute(
                m_distributor.fetchRequested(sender, message.ticket_fetch().after(), message.ticket_fetch().whole()),
                now);
            return true;
        });
    peers.handle(
        wire::envelope::kTicketBatch, [this](const node_id& sender, const wire::envelope& message, instant now) {
            const auto batch = decode(message.ticket_batch());
            if (batch)
                execute(m_distributor.batchReceived(now, sender, *batch), now);
            return batch.has_value();
        });
    peers.watchPositions([this](const node_id& sender, const store_version& position, instant now) {
        execute(m_distributor.peerPositionReceived(now, sender, position), now);
    });
    loop.whenDue([this] { return std::optional<instant>(m_distributor.nextWake()); },
        [this](instant now) { execute(m_distributor.wake(now), now); });
}

void ticket_driver::setPeers(const std::vector<node_id>& usable)
{
    m_usable = usable;
    std::vector<node_id> others;
    for (const auto& node : usable) {
        if (node != m_peers.self())
            others.push_back(node);
    }
    m_distributor.setPeers(std::move(others));
}

void ticket_driver::execute(const ticket_distributor::actions& actions, instant now)
{
    m_now = now;
    m_states.setEpoch(m_distributor.position().epoch());
    for (const auto& action : actions)
        std::visit([this](const auto& typed) { run(typed); }, action);
    if (m_distributor.ready() && !m_status.ready.exchange(true)) {
        logInfo("node", { { "to", "ready" }, { "ticket", std::to_string(m_distributor.number()) } });
        m_metrics.set(gauge_metric::Ready, {}, 1);
    }
}

void ticket_driver::run(const ticket_distributor::announce& action)
{
    wire::envelope message;
    message.mutable_ticket_announce()->set_number(action.position.number());
    message.mutable_ticket_announce()->set_epoch(action.position.epoch());
    m_peers.send(action.peer, std::move(message));
}

void ticket_driver::run(const ticket_distributor::fetch& action)
{
    wire::envelope message;
    message.mutable_ticket_fetch()->set_after(action.after);
    message.mutable_ticket_fetch()->set_whole(action.whole);
    m_peers.send(action.peer, std::move(message));
}

void ticket_driver::run(const ticket_distributor::send_batch& action)
{
    wire::envelope message;
    encode(action.batch, *message.mutable_ticket_batch());
    m_peers.send(action.peer, std::move(message));
}

void ticket_driver::run(const ticket_distributor::send_snapshot& action)
{
    const auto state = m_states.current();
    auto batch = action.recent;
    batch.snapshotNumber = state->number();
    batch.snapshot = encodeSnapshot(*state);
    run(ticket_distributor::send_batch { action.peer, std::move(batch) });
}

void ticket_driver::run(const ticket_distributor::read_head&)
{
    m_tasks.submit([this] {
        const auto head = m_store.readHead();
        m_loop.post([this, head](instant now) {
            countOperation("ticket_head", head.has_value());
            execute(m_distributor.headRead(now, head ? std::optional<store_version>(head.value()) : std::nullopt), now);
        });
    });
}

void ticket_driver::run(const ticket_distributor::read_tail& action)
{
    m_tasks.submit([this, action] {
        auto batch = action.whole ? m_store.readWhole() : m_store.readTail(action.after);
        m_loop.post([this, batch = std::move(batch)](instant now) {
            countOperation("ticket_tail", batch.has_value());
            execute(
                m_distributor.platformBatchRead(now, batch ? std::optional<ticket_batch>(batch.value()) : std::nullopt),
                now);
        });
    });
}

void ticket_driver::run(const ticket_distributor::restore_tickets& action)
{
    logInfo("the ticket table came back from a copy",
        { { "head", action.head.text() }, { "restoring", std::to_string(action.tickets.size()) } });
    m_tasks.submit([this, action] {
        const auto restored = m_store.restore(action.head, action.tickets);
        m_loop.post([this, restored](instant now) {
            countOperation("ticket_restore", restored.has_value());
            execute(m_distributor.ticketsRestored(now), now);
        });
    });
}

void ticket_driver::run(const ticket_distributor::apply_batch& action)
{
    const auto before = m_states.current();
    const auto applied = m_states.apply(action.batch);
    if (!applied) {
        // An unreadable ticket is not skipped, because later tickets build on it; it is asked for again.
        m_metrics.add(counter_metric::BadInput, { { "entrance", "tickets" } });
        return;
    }
    if (m_states.current() != before) {
        m_metrics.set(gauge_metric::TicketInForce, {}, static_cast<double>(applied.value()));
        logInfo("ticket in force",
            { { "ticket", std::to_string(applied.value()) }, { "epoch", std::to_string(action.batch.epoch) } });
        maybeCompact(m_states.current(), action.batch.epoch);
    }
    execute(m_distributor.applied(store_version(action.batch.epoch, applied.value())), m_now);
}

void ticket_driver::maybeCompact(const std::shared_ptr<const fleet_state>& state, store_epoch epoch)
{
    if (state->number() < m_compactedAt + TicketsPerSnapshot)
        return;
    m_compactedAt = state->number();
    // One node writes, chosen like the owner of a grant. When it dies first, the next snapshot is due soon anyway.
    if (grantOwnerOf(team_id(fleet_name("system"), "snapshots"), m_usable) != m_peers.self())
        return;
    m_tasks.submit([this, state, epoch] {
        const auto written = m_store.compact(state->number(), encodeSnapshot(*state), epoch);
        m_loop.post([this, written](instant) { countOperation("ticket_snapshot", written.has_value()); });
    });
}

void ticket_driver::countOperation(const char* operation, bool succeeded)
{
    m_metrics.add(
        counter_metric::PlatformOperations, { { "operation", operation }, { "outcome", succeeded ? "ok" : "failed" } });
}

} // namespace oriolepick
