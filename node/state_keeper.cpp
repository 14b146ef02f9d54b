#include "node/state_keeper.h"

#include "core/fleet_state.h"

namespace oriolepick {

state_keeper::state_keeper()
    : m_state(std::make_shared<const fleet_state>())
{
}

void state_keeper::addListener(listener onChange)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_listeners.push_back(std::move(onChange));
}

bool state_keeper::publish(const std::shared_ptr<const fleet_state>& next)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (next->number() <= current()->number())
        return false;
    std::atomic_store(&m_state, next);
    for (const auto& onChange : m_listeners)
        onChange(next);
    return true;
}

} // namespace oriolepick
