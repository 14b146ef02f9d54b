/// \file
/// Queue of a generation's events between the threads that read engines and the thread that serves the caller.
#pragma once

#include "core/generation_events.h"
#include "core/instant.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace oriolepick {

/// An event and the time at which it came in.
struct arrived_event {
    generation_event event;
    instant arrived;
};

/// Many writers, one reader. Thread-safe.
class event_channel {
public:
    void push(generation_event event)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_events.push_back({ std::move(event), std::chrono::steady_clock::now() });
        }
        m_changed.notify_one();
    }

    /// \return the next event, or nothing when none came until \p limit
    std::optional<arrived_event> pop(instant limit)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!m_changed.wait_until(lock, limit, [this] { return !m_events.empty(); }))
            return std::nullopt;
        auto event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

    bool empty() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_events.empty();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<arrived_event> m_events;
};

} // namespace oriolepick
