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

/// Many writers, one reader. Thread-safe.
class event_channel {
public:
    void push(generation_event event)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_events.push_back(std::move(event));
        }
        m_changed.notify_one();
    }

    /// \return the next event, or nothing when none came until \p limit
    std::optional<generation_event> pop(instant limit)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!m_changed.wait_until(lock, limit, [this] { return !m_events.empty(); }))
            return std::nullopt;
        auto event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<generation_event> m_events;
};

} // namespace oriolepick
