#include "gateway/timer_queue.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

namespace {

    constexpr std::chrono::seconds DelayMemory { 1 }; ///< how long a delay is reported unless a longer one follows

} // namespace

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
    if (!m_actions.empty() && m_actions.begin()->first.first < m_armedFor)
        armFor(m_actions.begin()->first.first);
}

// The event loop polls its sockets and then its timers, and handles the results in this order. So when its timer runs,
// input that had arrived by the time for which the timer was armed has been handled.
void timer_queue::armFor(instant due)
{
    m_armedFor = due;
    m_timer.expires_at(due);
    m_timer.async_wait([this, due](const boost::system::error_code& error) {
        if (!error)
            runDueActions(due);
    });
}

void timer_queue::runDueActions(instant polledAt)
{
    const auto now = this->now();
    if (!m_actions.empty() && m_actions.begin()->first.first <= now)
        recordDelay(m_actions.begin()->first.first, now);
    m_armedFor = instant::min(); // the actions need not arm the timer
    while (!m_actions.empty() && m_actions.begin()->first.first <= polledAt) {
        const auto first = m_actions.begin();
        auto action = std::move(first->second);
        m_dueTimes.erase(first->first.second);
        m_actions.erase(first);
        action();
    }
    m_armedFor = instant::max();
    // Actions that have become due since are run together, after one further poll.
    if (!m_actions.empty() && m_actions.begin()->first.first < now)
        armFor(now);
    else
        arm();
}

void timer_queue::recordDelay(instant due, instant now)
{
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(now - due);
    if (delay < m_delay && now < m_delayAt + DelayMemory)
        return;
    m_delay = delay;
    m_delayAt = now;
}

} // namespace oriolepick
