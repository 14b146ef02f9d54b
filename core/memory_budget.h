/// \file
/// One bound on the memory that all buffers of a process hold together.
#pragma once

#include <cstddef>

namespace oriolepick {

/// Dynamic thresholds: a buffer may grow while it is smaller than what is left. A few large buffers then find room,
/// many can each have little, and together they never exceed the total by more than the small ones. Not synchronized.
class memory_budget {
public:
    /// \param total bytes for all buffers
    /// \param small bytes that every buffer may hold, so that common messages pass whatever else goes on
    memory_budget(std::size_t total, std::size_t guaranteedPerBuffer);

    /// \return whether a buffer that holds \p held bytes may hold \p wanted
    bool mayGrow(std::size_t held, std::size_t wanted) const;

    std::size_t used() const { return m_used; }

    /// \return the most that was used at any time
    std::size_t peak() const { return m_peak; }

private:
    friend class memory_reservation;
    void adjustUsage(std::size_t before, std::size_t after);

    std::size_t m_total;
    std::size_t m_guaranteedPerBuffer;
    std::size_t m_used = 0;
    std::size_t m_peak = 0;
};

} // namespace oriolepick
