/// \file
/// Runs the table and object operations of tickets: reading the tail, submitting, and writing snapshots.
#pragma once

#include "core/error.h"
#include "core/ticket.h"
#include "core/ticket_distributor.h"

#include <chrono>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class object_store;
class table_service;

/// What became of a submission.
struct submission_report {
    bool acceptedEarlier = false; ///< an earlier submission of the same content had been accepted
};

/// The tickets in the platform. Thread-safe as far as its ports are.
class ticket_store {
public:
    /// Checks a ticket against the fold of all tickets up to \p number; PlatformUnavailable when it cannot be read.
    using validator = std::function<result<std::vector<field_error>>(ticket_number number)>;

    /// \param timeout for each single operation
    ticket_store(table_service& table, object_store& objects, std::chrono::milliseconds timeout);

    /// \return the last accepted number, 0 for none, in the store's epoch
    result<store_version> readHead() const;

    /// Reads at most one batch after \p after, from a snapshot on when rows have been compacted.
    /// \param upTo the snapshot used is the newest that is not after this number
    result<ticket_batch> readTail(
        ticket_number after, ticket_number upTo = std::numeric_limits<ticket_number>::max()) const;

    /// Reads everything up to the head number, as a batch that replaces the state in force.
    result<ticket_batch> readWhole() const;

    /// Files accepted tickets again that the table lost when it came back from a copy.
    /// \param head the position after which they follow
    /// \return whether all were written; false when the table's head is another one
    result<bool> restore(const store_version& head, const std::vector<std::string>& tickets);

    /// \return the stored text of one ticket, or nothing when it is not accepted or compacted
    result<std::optional<std::string>> readTicket(ticket_number number) const;

    /// Submits a ticket.
    /// \param content the canonical text
    /// \param pause called after each failed operation, before the next one
    result<submission_report> submit(ticket_number number, const std::string& content, const validator& validate,
        const std::function<void()>& pause);

    /// Writes the snapshot when it is due and removes the rows that the one before covers.
    /// \param number the number of the state that \p snapshot encodes
    /// \param epoch of the history that the state belongs to; a table of another epoch is left as it is
    /// \return whether the snapshot was written
    result<bool> compact(ticket_number number, const std::string& snapshot, store_epoch epoch);

private:
    result<ticket_batch> readRows(ticket_number after) const;
    result<ticket_batch> readConsistently(ticket_number after, ticket_number upTo) const;
    result<ticket_batch> readSnapshotAndRows(ticket_number after, ticket_number upTo) const;

    table_service& m_table;
    object_store& m_objects;
    std::chrono::milliseconds m_timeout;
};

} // namespace oriolepick
