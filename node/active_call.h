/// \file
/// One call in active_calls.
#pragma once

#include "node/active_calls.h"

namespace oriolepick {

/// Registers a call as long as it lives.
class active_call {
public:
    explicit active_call(active_calls& calls)
        : m_calls(calls)
    {
        m_calls.add(m_abort);
    }
    ~active_call() { m_calls.remove(m_abort); }
    active_call(const active_call&) = delete;
    active_call& operator=(const active_call&) = delete;

    call_abort& handle() { return m_abort; }

private:
    active_calls& m_calls;
    call_abort m_abort;
};

} // namespace oriolepick
