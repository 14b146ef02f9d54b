/// \file
/// The port to the tables of the platform's store, as far as a gateway reads them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oriolepick {

/// One row, or the trace of a removed one.
struct stored_row {
    std::string key;
    std::string value; ///< raw bytes
    bool removed = false;
};

/// How a reading ended.
enum class row_status {
    Done,
    Unavailable, ///< refused, unreachable or silent
    HistoryLost, ///< changes since the asked revision are no longer known
    Malformed, ///< an answer that cannot be read
};

/// Rows as of one revision.
struct row_answer {
    row_status status = row_status::Unavailable;
    std::vector<stored_row> rows;
    std::uint64_t revision = 0; ///< of the store; changes after it are read next
    std::chrono::milliseconds age { 0 }; ///< since the store said so
    std::string problem; ///< what went wrong, for the log
};

/// Reads tables without blocking. One reading at a time; starting another drops the one before.
class row_source {
public:
    using callback = std::function<void(row_answer)>;

    virtual ~row_source() = default;

    /// Reads all rows of \p table.
    virtual void readAll(const std::string& table, callback done) = 0;

    /// Reads the changes after \p revision, waiting up to \p wait for the first one.
    virtual void readChanges(
        const std::string& table, std::uint64_t revision, std::chrono::milliseconds wait, callback done)
        = 0;
};

} // namespace oriolepick
