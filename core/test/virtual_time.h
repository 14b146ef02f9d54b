/// \file
/// Event queue in virtual time, for tests of many nodes without sockets.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <functional>
#include <map>
#include <utility>

namespace oriolepick {

/// Runs events in the order of their times.
class virtual_time {
public:
    using ms = std::chrono::milliseconds;

    void at(ms delay, std::function<void()> event) { atExactly(m_now + delay, std::move(event)); }
    void atExactly(instant time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

    void run(ms time)
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            m_now = m_events.begin()->first;
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_now = end;
    }

    instant now() const { return m_now; }

protected:
    instant m_now { std::chrono::seconds(1'000) };

private:
    std::multimap<instant, std::function<void()>> m_events;
};

} // namespace oriolepick
