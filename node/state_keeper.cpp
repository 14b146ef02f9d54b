#include "node/state_keeper.h"

namespace oriolepick {

void state_keeper::addListener(listener onChange)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_listeners.push_back(std::move(onChange));
}

result<ticket_number> state_keeper::apply(const ticket_batch& batch)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto before = current();
    auto applied = m_states.apply(batch);
    if (!applied || current() == before)
        return applied;
    const auto state = current();
    for (const auto& onChange : m_listeners)
        onChange(state);
    return applied;
}

} // namespace oriolepick
