/// \file
/// Snapshots of the state in force, and the removal of the ticket rows that they cover.
#pragma once

#include "core/error.h"
#include "core/table_transaction.h"
#include "core/ticket.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

constexpr std::string_view SnapshotHeadKey = "snapshot-head"; ///< value: "<last snapshot> <the one before>"
constexpr ticket_number TicketsPerSnapshot = 500;

/// The numbers of the two newest snapshots; 0 for none. Rows after \c previous are kept, so that a reader that has
/// read an older pointer still finds its snapshot object and tail.
struct snapshot_pointer {
    ticket_number last = 0;
    ticket_number previous = 0;

    std::string text() const { return std::to_string(last) + " " + std::to_string(previous); }
    static std::optional<snapshot_pointer> parse(std::string_view text);
};

/// \return the name of the snapshot object
std::string snapshotObjectName(ticket_number number);

/// Writes one snapshot as a state machine: object first, then the pointer row, then removal of covered rows. A crash
/// between two steps leaves an unreferenced object or rows that the next run removes.
class ticket_compaction {
public:
    /// Read the pointer row, then call pointerRead().
    struct read_pointer { };
    /// Write the object, then call objectWritten().
    struct put_snapshot {
        std::string name;
        std::string bytes;
    };
    /// Commit, then call committed().
    struct commit_rows {
        table_transaction transaction;
    };
    /// List at most RowsPerDeletion ticket rows from the first, then call rowsListed().
    struct list_rows { };
    /// Remove an object that nothing refers to, then call objectRemoved().
    struct remove_snapshot {
        std::string name;
    };
    /// The end.
    struct compaction_done {
        std::optional<error> failure; ///< what the platform answered; a later run continues
        bool written = false; ///< whether this run moved the pointer
    };
    using action = std::variant<read_pointer, put_snapshot, commit_rows, list_rows, remove_snapshot, compaction_done>;

    static constexpr std::size_t RowsPerDeletion = 100;

    /// \param number the snapshot's number
    /// \param bytes the encoded state after ticket \p number
    /// \param ticketsPerSnapshot least distance from the snapshot before
    ticket_compaction(ticket_number number, std::string bytes, ticket_number ticketsPerSnapshot = TicketsPerSnapshot);

    const action& next() const { return m_action; }

    void pointerRead(const result<std::optional<table_row>>& answer);
    void objectWritten(const result<void>& answer);
    void committed(const result<table_outcome>& answer);
    void rowsListed(const result<std::vector<table_row>>& answer);
    void objectRemoved(const result<void>& answer);

private:
    void finish(std::optional<error> failure) { m_action = compaction_done { std::move(failure), m_written }; }

    ticket_number m_number;
    std::string m_bytes;
    ticket_number m_ticketsPerSnapshot;
    action m_action;
    std::optional<table_row> m_pointerRow;
    snapshot_pointer m_previousPointer;
    bool m_written = false;
};

} // namespace oriolepick
