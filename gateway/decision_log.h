/// \file
/// Structured log of the gateway: JSON objects on standard output, limited in rate, written without blocking.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace oriolepick {

/// Collects lines and writes them in batches: a system call for each line would cost more than formatting the line.
class decision_log {
public:
    using field = std::pair<std::string_view, std::string>;

    /// \param node name that every line contains
    /// \param linesPerSecond further lines of a second are dropped and counted
    decision_log(int descriptor, std::string node, std::uint32_t linesPerSecond);

    /// Adds one line with the time, the node, \p event and \p fields.
    void write(std::string_view event, std::initializer_list<field> fields);

    /// Writes the collected lines to the descriptor. What the descriptor does not accept at once stays, up to
    /// MaxPendingBytes.
    void flush();

    /// \return the number of lines that were dropped so far
    std::uint64_t dropped() const { return m_dropped; }

private:
    static constexpr std::size_t MaxPendingBytes = 65'536; ///< about 300 lines; a slower reader loses lines

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
