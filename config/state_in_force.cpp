#include "config/state_in_force.h"

#include "config/snapshot_json.h"
#include "config/ticket_json.h"

namespace oriolepick {

state_in_force::state_in_force()
    : m_state(std::make_shared<fleet_state>())
{
}

std::shared_ptr<const fleet_state> state_in_force::get() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_state;
}

result<ticket_number> state_in_force::apply(const ticket_batch& batch)
{
    const std::lock_guard<std::mutex> applying(m_applying);
    std::shared_ptr<const fleet_state> state = get();
    if (batch.replaces)
        state = std::make_shared<fleet_state>();
    if (batch.snapshotNumber > state->number()) {
        auto restored = parseSnapshot(batch.snapshot);
        if (!restored)
            return restored.error();
        if (restored.value()->number() != batch.snapshotNumber)
            return error { error_kind::TicketInvalid,
                "snapshot " + std::to_string(batch.snapshotNumber) + " holds number "
                    + std::to_string(restored.value()->number()) };
        state = restored.value();
    }
    std::vector<ticket> tail;
    for (std::size_t index = 0; index < batch.tickets.size(); ++index) {
        const auto number = batch.first + index;
        if (number <= state->number())
            continue;
        auto parsed = parseTicket(batch.tickets[index]);
        if (!parsed.value)
            return error { error_kind::TicketInvalid,
                "accepted ticket " + std::to_string(number) + ": " + toString(parsed.errors) };
        if (parsed.value->number != number || number != state->number() + tail.size() + 1)
            return error { error_kind::TicketInvalid,
                "ticket " + std::to_string(parsed.value->number) + " does not follow number "
                    + std::to_string(state->number() + tail.size()) };
        tail.push_back(std::move(*parsed.value));
    }
    if (!tail.empty())
        state = state->after(tail);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (batch.replaces || state->number() > m_state->number())
        m_state = state;
    return m_state->number();
}

} // namespace oriolepick
