#include "node/control_view.h"

#include <array>

namespace oriolepick {

const char* memberStateName(member_state state)
{
    static constexpr std::array<const char*, 5> Names { "alive", "suspect", "leaving", "left", "dead" };
    return Names.at(static_cast<std::size_t>(state));
}

control_view::control_view()
    : m_current(std::make_shared<const control_snapshot>())
{
}

void control_view::publish(control_snapshot next)
{
    auto shared = std::make_shared<const control_snapshot>(std::move(next));
    std::lock_guard<std::mutex> lock(m_mutex);
    m_current = std::move(shared);
}

std::shared_ptr<const control_snapshot> control_view::current() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_current;
}

} // namespace oriolepick
