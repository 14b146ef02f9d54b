/// \file
/// The calls to targets that are under way, so that a planned stop can end them.
#pragma once

#include "targets/call_abort.h"

#include <mutex>
#include <set>

namespace oriolepick {

/// Thread-safe.
class active_calls {
public:
    void add(call_abort& call)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_calls.insert(&call);
        if (m_ended)
            call.abort();
    }

    void remove(call_abort& call)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_calls.erase(&call);
    }

    /// Ends all calls, also those that begin later.
    /// \return how many were under way
    std::size_t abortAll()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ended = true;
        for (auto* call : m_calls)
            call->abort();
        return m_calls.size();
    }

private:
    std::mutex m_mutex;
    std::set<call_abort*> m_calls;
    bool m_ended = false;
};

} // namespace oriolepick
