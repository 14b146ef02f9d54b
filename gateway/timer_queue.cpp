#include "gateway/timer_queue.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

timer_queue::timer_queue(boost::asio::io_context& loop)
    : m_timer(loop)
{
}

timer_handle timer_queue::at(instant due, std::function<void()> action)
{
    const auto handle = ++m_lastHandle;
    m_actions.emplace(std::make_pair(due, handle), std::move(action));
    m_dueTimes.emplace(handle, due);
    arm();
    return handle;
}

void timer_queue::cancel(timer_handle& timer)
{
    const auto due = m_dueTimes.find(timer);
    if (due != m_dueTimes.end()) {
        m_actions.erase({ due->second, timer });
        m_dueTimes.erase(due);
    }
    timer = 0;
}

// The event loop's timer is only re-armed for an earlier time. A cancelled action thus costs at most one wake-up
// without work, instead of a system call to re-arm the timer.
void timer_queue::arm()
{
    if (m_actions.empty() || m_actions.begin()->first.first >= m_armedFor)
        return;
    m_armedFor = m_actions.begin()->first.first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_armedFor = instant::max();
        runDueActions();
    });
}

void timer_queue::runDueActions()
{
    const auto now = this->now();
    if (!m_actions.empty() && m_actions.begin()->first.first <= now)
        m_delay = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_actions.begin()->first.first);
    while (!m_actions.empty() && m_actions.begin()->first.first <= now) {
        const auto first = m_actions.begin();
        auto action = std::move(first->second);
        m_dueTimes.erase(first->first.second);
        m_actions.erase(first);
        action();
    }
    arm();
}

} // namespace oriolepick
