/// \file
/// What one buffer takes of a memory budget.
#pragma once

#include "core/memory_budget.h"

namespace oriolepick {

/// Returns its bytes to the budget when it is destroyed.
class memory_reservation {
public:
    /// \param budget outlives this object
    explicit memory_reservation(memory_budget& budget)
        : m_budget(budget)
    {
    }
    ~memory_reservation() { set(0); }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// Takes \p bytes in all if the budget allows it.
    /// \return false when the buffer may not grow so far; its share is then unchanged
    bool tryResize(std::size_t bytes)
    {
        if (!m_budget.mayGrow(m_bytes, bytes))
            return false;
        set(bytes);
        return true;
    }

    /// Counts \p bytes that are held in any case.
    void set(std::size_t bytes)
    {
        m_budget.adjustUsage(m_bytes, bytes);
        m_bytes = bytes;
    }

    std::size_t bytes() const { return m_bytes; }

private:
    memory_budget& m_budget;
    std::size_t m_bytes = 0;
};

} // namespace oriolepick
