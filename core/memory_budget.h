/// \file
/// Limit on the memory that all buffers of a process hold together.
#pragma once

#include <atomic>
#include <cstddef>

namespace oriolepick {

/// Memory budget with dynamic thresholds: a buffer may grow as long as its new size does not exceed the bytes that then
/// remain free. A few buffers may thus become large, while each of many buffers gets little. Together the buffers never
/// exceed the total by more than the bytes that are guaranteed to each buffer. Thread-safe.
class memory_budget {
public:
    /// \param total bytes for all buffers together
    /// \param guaranteedPerBuffer bytes that every buffer may always hold, so that messages of common size pass even
    ///        when the budget is exhausted
    memory_budget(std::size_t total, std::size_t guaranteedPerBuffer);

    /// \return whether a buffer that holds \p held bytes may grow to \p wanted bytes
    bool mayGrow(std::size_t held, std::size_t wanted) const;

    /// \return bytes that all buffers hold now
    std::size_t used() const { return m_used; }

    /// \return the highest value of used() so far
    std::size_t peak() const { return m_peak; }

private:
    friend class memory_reservation;
    bool mayGrow(std::size_t used, std::size_t held, std::size_t wanted) const;
    bool tryAdjustUsage(std::size_t held, std::size_t wanted);
    void adjustUsage(std::size_t before, std::size_t after);
    void recordPeak(std::size_t used);

    std::size_t m_total;
    std::size_t m_guaranteedPerBuffer;
    std::atomic<std::size_t> m_used { 0 };
    std::atomic<std::size_t> m_peak { 0 };
};

} // namespace oriolepick
