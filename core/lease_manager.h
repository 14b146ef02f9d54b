/// \file
/// Acquires and renews the lease of one target group through its table row, with a fencing number that grows with each
/// change of holder. Needs no synchronized clocks: a challenger waits until it has seen the row unchanged for a whole
/// lease duration on its own clock.
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

/// Durations of a lease.
struct lease_settings {
    std::chrono::milliseconds duration { 10'000 };
    std::chrono::milliseconds renewEvery { 3'000 };
    std::chrono::milliseconds safetyMargin { 2'000 }; ///< the holder stops this long before others may take over
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

    /// Call at least every renewEvery.
    /// \return the table operation to run now, or nothing
    std::optional<action> wake(instant now);
    void rowRead(instant now, const result<std::optional<table_row>>& answer);
    void committed(instant now, const result<table_outcome>& answer);

    /// \return the fencing number while this node surely holds the lease; orders need it at the time of each send
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
    bool m_rowKnown = false;
    instant m_unchangedSince {}; ///< when this version was first seen
    instant m_heldUntil {};
    instant m_lastConfirmed {};
    std::optional<instant> m_commitSentAt; ///< earliest commit on this version whose outcome is not known
    instant m_lastSentAt {};
    bool m_mustRead = false; ///< the outcome of the last commit is not known
    std::uint64_t m_commitFencing = 0;
    bool m_operationPending = false;
    instant m_operationExpiresAt {};
};

} // namespace oriolepick
