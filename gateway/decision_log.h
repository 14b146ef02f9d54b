/// \file
/// Structured log lines of the gateway: JSON objects on standard output, bounded in number, never blocking.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace oriolepick {

/// Collects lines and writes them in batches: a call to the kernel for each line would cost more than the line.
class decision_log {
public:
    using field = std::pair<std::string_view, std::string>;

    /// \param node name that every line carries
    /// \param linesPerSecond lines beyond are counted and dropped
    decision_log(int descriptor, std::string node, std::uint32_t linesPerSecond);

    /// Adds one line: time, node, event and fields.
    void write(std::string_view event, std::initializer_list<field> fields);

    /// Hands what is collected to the descriptor; what it does not take at once stays, up to a bound.
    void flush();

    /// \return lines that were dropped so far
    std::uint64_t dropped() const { return m_dropped; }

private:
    static constexpr std::size_t MaxPendingBytes = 65'536; ///< about 300 lines; a reader that is slower loses lines

    int m_descriptor;
    std::string m_node;
    std::uint32_t m_linesPerSecond;
    std::string m_pending;
    instant m_second;
    std::uint32_t m_linesThisSecond = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace oriolepick
