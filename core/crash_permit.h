/// \file
/// The permit to run a request that crashed two targets: at most one attempt in the whole fleet, taken in the table, so
/// that two nodes with stale records cannot both lose a target to it.
#pragma once

#include "core/crash_row.h"
#include "core/table_transaction.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

/// Times of permits.
struct crash_permit_settings {
    std::chrono::minutes lifetime { 15 }; ///< the attempt is cancelled when it ends
    std::chrono::milliseconds clockSkew { 1000 }; ///< greatest difference between the wall clocks of two nodes
    unsigned maxConflicts = 8; ///< lost races before the permit counts as busy
};

/// Read the row of the request.
struct read_crash_row { };
/// Commit the transaction.
struct write_crash_row {
    table_transaction transaction;
};
/// How the acquisition or the release ended.
struct permit_ended {
    enum class end {
        Granted, ///< run it now
        Released, ///< the outcome is recorded
        Busy, ///< another node runs it, or too many races were lost
        Quarantined, ///< the table knows enough crashes
        Unavailable, ///< the table cannot be reached: the request must not run
    };
    end how = end::Unavailable;
};

using permit_action = std::variant<read_crash_row, write_crash_row, permit_ended>;

/// Acquires the permit, and after the attempt releases it with the outcome. One operation is outstanding at any time.
/// A permit that ends without a release counts as a crash: its holder is lost and its attempt may have crashed a
/// target. So a release that ends Unavailable has to be repeated.
class crash_permit {
public:
    /// \param ledger, codec outlive the permit; the ledger learns what the table knows
    /// \param holder unique to this permit: node, incarnation and counter
    crash_permit(crash_permit_settings settings, crash_ledger& ledger, const crash_row_codec& codec,
        request_fingerprint fingerprint, std::string holder);

    /// Asks for the permit; may be repeated after Busy or Unavailable. A caller that gives up instead calls
    /// release(false), so that a delayed grant cannot hold up other nodes.
    permit_action acquire();

    /// The attempt ended: records the crashes that the ledger knows now, or clears the request after a success.
    permit_action release(bool succeeded);

    permit_action rowRead(wall_time now, const result<std::optional<table_row>>& outcome);
    permit_action rowWritten(wall_time now, const result<table_outcome>& outcome);

    /// \return the request that the permit is for
    request_fingerprint fingerprint() const { return m_fingerprint; }

    /// \return when the attempt must be ended at the latest by this node's clock, once granted
    wall_time heldUntil() const { return m_heldUntil - m_settings.clockSkew; }

private:
    permit_action write(wall_time now, const crash_row& row);
    void addMarkForLostPermit(wall_time now, const crash_row& stored);
    permit_action decide(wall_time now, const crash_row& stored);
    static permit_action ended(permit_ended::end how) { return permit_ended { how }; }

    crash_permit_settings m_settings;
    crash_ledger& m_ledger;
    const crash_row_codec& m_codec;
    request_fingerprint m_fingerprint;
    std::string m_holder;
    bool m_releasing = false;
    bool m_succeeded = false;
    bool m_recordsCrashesOnly = false; ///< the write under way only records the crashes
    std::optional<std::uint64_t> m_version;
    unsigned m_conflicts = 0;
    wall_time m_heldUntil;
};

} // namespace oriolepick
