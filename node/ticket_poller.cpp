#include "node/ticket_poller.h"

#include "config/ticket_json.h"
#include "core/fleet_state.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/state_keeper.h"
#include "platform/table_service.h"

namespace oriolepick {

namespace {

    constexpr std::size_t TicketsPerRead = 256;

} // namespace

ticket_poller::ticket_poller(const table_service& table, state_keeper& states, node_status& status,
    node_metrics& metrics, std::chrono::milliseconds period, std::chrono::milliseconds timeout)
    : m_table(table)
    , m_states(states)
    , m_status(status)
    , m_metrics(metrics)
    , m_period(period)
    , m_timeout(timeout)
    , m_thread([this] { run(); })
{
}

ticket_poller::~ticket_poller()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
}

void ticket_poller::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        poll();
        lock.lock();
        m_stop.wait_for(lock, m_period, [this] { return m_stopping; });
    }
}

void ticket_poller::poll()
{
    const auto state = m_states.current();
    const auto rows = m_table.scan("ticket/", ticketRowKey(state->number()), TicketsPerRead, m_timeout);
    m_metrics.add(
        counter_metric::PlatformOperations, { { "operation", "tickets" }, { "outcome", rows ? "ok" : "failed" } });
    if (!rows)
        return;
    std::vector<ticket> tickets;
    for (const auto& row : rows.value()) {
        auto parsed = parseTicket(row.value);
        // A row that cannot be read, or a gap, must not be skipped: later tickets build on it.
        if (!parsed.value || parsed.value->number != state->number() + tickets.size() + 1) {
            m_metrics.add(counter_metric::BadInput, { { "entrance", "tickets" } });
            break;
        }
        tickets.push_back(std::move(*parsed.value));
    }
    if (!tickets.empty() && m_states.publish(state->after(tickets))) {
        m_metrics.set(gauge_metric::TicketInForce, {}, static_cast<double>(m_states.current()->number()));
        logInfo("ticket in force", { { "ticket", std::to_string(m_states.current()->number()) } });
    }
    if (m_states.current()->number() && !m_status.ready.exchange(true))
        logInfo("node", { { "to", "ready" } });
    m_metrics.set(gauge_metric::Ready, {}, m_status.ready && !m_status.draining ? 1 : 0);
}

} // namespace oriolepick
