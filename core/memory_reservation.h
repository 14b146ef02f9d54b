/// \file
/// Reservation of one buffer in a memory budget.
#pragma once

#include "core/memory_budget.h"

namespace oriolepick {

/// The bytes of a memory_budget that one buffer has reserved. The destructor returns them to the budget.
class memory_reservation {
public:
    /// \param budget must outlive this object
    explicit memory_reservation(memory_budget& budget)
        : m_budget(budget)
    {
    }
    ~memory_reservation() { set(0); }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// Changes the reservation to \p bytes in total if the budget allows it.
    /// \return false if the budget does not allow the growth; the reservation is then unchanged
    bool tryResize(std::size_t bytes)
    {
        if (!m_budget.tryAdjustUsage(m_bytes, bytes))
            return false;
        m_bytes = bytes;
        return true;
    }

    /// Changes the reservation to \p bytes in total without a check, for memory that is already held.
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
