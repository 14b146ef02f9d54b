/// \file
/// Background removal of call rows after their retention. An orphaned row is harmless, so nothing here is urgent.
#pragma once

#include "core/call_claim.h"
#include "core/table_transaction.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Pace of the collection.
struct collector_settings {
    std::chrono::hours retention { 24 };
    std::size_t pageRows = 500;
    std::chrono::milliseconds pageInterval { 1000 }; ///< one scan and at most one commit in each
};

/// A page to scan.
struct scan_call_rows {
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/// Scans the prefixes that this node is responsible for, page by page and again from the start.
class call_garbage_collector {
public:
    /// \param codec outlives the collector
    call_garbage_collector(collector_settings settings, const call_row_codec& codec);

    /// Sets the prefixes, usually callRowPrefix() of the teams that this node owns. Two nodes with the same prefix only
    /// waste work.
    void setPrefixes(std::vector<std::string> prefixes);

    /// \return the page to scan now, or nothing when none is due or a scan is under way
    std::optional<scan_call_rows> takeScan(instant now);

    /// Takes the page.
    /// \return the conditional deletions, or nothing when no row is old enough. A failed commit needs no handling:
    ///     the next pass finds the rows again.
    std::optional<table_transaction> finishScan(clock_reading time, const result<std::vector<table_row>>& page);

    std::uint64_t malformedRows() const { return m_malformedRows; }

private:
    void nextPrefix();

    collector_settings m_settings;
    const call_row_codec& m_codec;
    std::vector<std::string> m_prefixes;
    std::size_t m_prefix = 0;
    std::string m_after;
    bool m_scanning = false;
    instant m_dueAt;
    std::uint64_t m_malformedRows = 0;
};

} // namespace oriolepick
