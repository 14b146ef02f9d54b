/// \file
/// Acquires and renews the lease of one target group in its table row, with a fencing number that grows with each
/// change of holder. Synchronized clocks are not required: a challenger waits until it has observed the row unchanged
/// for a whole lease duration on its own clock. Nodes do the same once the store came back from a copy.
#pragma once

#include "core/error.h"
#include "core/instant.h"
#include "core/table_transaction.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace oriolepick {

/// Times of a lease.
struct lease_settings {
    std::chrono::milliseconds duration { 10'000 };
    std::chrono::milliseconds renewEvery { 3'000 };
    std::chrono::milliseconds safetyMargin { 2'000 }; ///< between the holder's last use and a takeover
};

/// The state machine of one node for one lease row.
class lease_manager {
public:
    /// Read the row, then call rowRead().
    struct read_row {
        std::string key;
    };
    /// Commit, then call committed().
    struct commit_rows {
        table_transaction transaction;
    };
    using action = std::variant<read_row, commit_rows>;

    /// \param group deployment and zone, for example "atelier/manuals/zone-1"
    /// \param holder unique to the node's process: address and incarnation, without spaces
    lease_manager(const std::string& group, std::string holder, lease_settings settings);

    /// Must be called at least every renewEvery.
    /// \return the table operation to run now, or nothing
    std::optional<action> wake(instant now);
    /// \param epoch of the store, for an absent row
    void rowRead(instant now, const result<std::optional<table_row>>& answer, store_epoch epoch);
    void committed(instant now, const result<table_outcome>& answer);

    /// \return the fencing number, or nothing unless this node is certain to hold the lease; must be checked when each
    ///     order is sent
    std::optional<std::uint64_t> fencing(instant now) const;

    /// \return key of the lease row
    const std::string& key() const { return m_key; }

private:
    struct lease_value {
        std::string holder;
        std::uint64_t fencing = 0;
    };
    static std::optional<lease_value> parseValue(const std::string& text);
    action makeCommit(instant now, std::uint64_t fencing);

    std::string m_key;
    std::string m_holder;
    lease_settings m_settings;
    std::optional<table_row> m_row; ///< as last read or written
    lease_value m_value; ///< of m_row
    store_epoch m_epoch = 0; ///< of the last read
    bool m_rowKnown = false;
    instant m_unchangedSince {}; ///< when this version was first seen
    instant m_heldUntil {};
    instant m_lastConfirmed {};
    std::optional<instant> m_commitSentAt; ///< earliest commit on this version whose outcome is unknown
    instant m_lastSentAt {};
    bool m_mustRead = false; ///< the outcome of the last commit is unknown
    std::uint64_t m_commitFencing = 0;
    bool m_operationPending = false;
    instant m_operationExpiresAt {};
};

} // namespace oriolepick
